"""The known backend servers, from their own announcements.

A `Directory` is a state machine that control hosts and gateways share. It takes
announcements in any order, however late, and keeps for each identity and for
each address only the latest start. It knows nothing of sockets and clocks.

Nothing here proves that a server is alive: a server that is silent is shown as
such, and whoever calls it decides by what calls show.
"""

import dataclasses

from brasstrail.core import servers

SILENT_AFTER_INTERVALS = 4
# Late announcements arrive within seconds; those of a server that is gone must
# find it still remembered.
RETENTION_MS = 60_000


@dataclasses.dataclass(frozen=True)
class KnownServer:
    """A server as announced, and when it was last heard (steady clock)."""

    announcement: servers.Announcement
    last_seen_ms: int

    @property
    def phase(self):
        """The phase that the server stated."""
        return self.announcement.phase


class Directory:
    """All known servers by identity.

    Parameters
    ----------
    interval_ms : how often servers announce themselves.
    """

    def __init__(self, interval_ms):
        self.interval_ms = interval_ms
        self.known = {}
        self.by_address = {}

    def record_announcement(self, announcement, seen_ms):
        """Take an announcement; return whether it changes what is known.

        One that is older than what is known only shows that the server was
        heard, and not even that where its start is over.
        """
        held = self.known.get(announcement.identity)
        if announcement.phase is servers.ServerPhase.GONE:
            return self.record_end(announcement, seen_ms)
        if held is not None and announcement.order < held.announcement.order:
            return False
        if held is not None and announcement.order == held.announcement.order:
            if announcement.phase is held.phase:
                return self.refresh_last_seen(held, seen_ms)
        if self.is_start_ended(held, announcement):
            return False
        if self.is_address_reassigned(announcement):
            if held is None:
                ended = dataclasses.replace(
                    announcement, phase=servers.ServerPhase.GONE
                )
                self.known[announcement.identity] = KnownServer(ended, seen_ms)
            return False
        self.store(announcement, seen_ms)
        return held is None or has_changed(held.announcement, announcement)

    def record_end(self, announcement, seen_ms):
        """Take the word that a server is gone; return whether that is new.

        A word without the start that it speaks of (`born_ms` 0) ends whatever start
        is known. Of a server that is not known it is remembered, so that a late
        announcement does not bring it back.
        """
        held = self.known.get(announcement.identity)
        if held is None:
            self.known[announcement.identity] = KnownServer(announcement, seen_ms)
            return True
        is_later = held.announcement.born_ms > announcement.born_ms
        if is_later and announcement.born_ms:
            return False
        if held.phase is servers.ServerPhase.GONE:
            return False
        self.mark_gone(announcement.identity)
        return True

    def refresh_last_seen(self, held, seen_ms):
        """Note that a server was heard through another control host."""
        if seen_ms > held.last_seen_ms:
            self.known[held.announcement.identity] = dataclasses.replace(
                held, last_seen_ms=seen_ms
            )
        return False

    def is_start_ended(self, held, announcement):
        """Return whether the start that an announcement is of has ended."""
        if held is None or held.phase is not servers.ServerPhase.GONE:
            return False
        return announcement.born_ms == held.announcement.born_ms

    def is_address_reassigned(self, announcement):
        """Return whether a later start has taken the server's address."""
        holder = self.known.get(self.by_address.get(announcement.address))
        if holder is None or holder.announcement.identity == announcement.identity:
            return False
        return holder.announcement.born_ms > announcement.born_ms

    def store(self, announcement, seen_ms):
        """Keep an announcement; the earlier holder of its address is gone."""
        previous = self.by_address.get(announcement.address)
        if previous is not None and previous != announcement.identity:
            self.mark_gone(previous)
        self.by_address[announcement.address] = announcement.identity
        self.known[announcement.identity] = KnownServer(announcement, seen_ms)

    def mark_gone(self, identity):
        """Mark a server as gone; return its last announcement, or None."""
        held = self.known.get(identity)
        if held is None:
            return None
        ended = dataclasses.replace(held.announcement, phase=servers.ServerPhase.GONE)
        self.known[identity] = dataclasses.replace(held, announcement=ended)
        return ended

    def is_silent(self, known, now_ms):
        """Return whether a server has missed several announcements."""
        return now_ms - known.last_seen_ms > SILENT_AFTER_INTERVALS * self.interval_ms

    def remove_expired(self, now_ms):
        """Forget what was last heard long ago; return it as it was known."""
        expired = [
            known
            for known in self.known.values()
            if now_ms - known.last_seen_ms > RETENTION_MS
        ]
        for known in expired:
            self.remove(known.announcement.identity)
        return expired

    def remove(self, identity):
        """Forget a server."""
        known = self.known.pop(identity, None)
        if known is None:
            return
        address = known.announcement.address
        if self.by_address.get(address) == identity:
            del self.by_address[address]

    def ready_servers(self, service):
        """Return the servers of a service that take new work."""
        return [
            known
            for known in self.known.values()
            if known.announcement.service == service
            and known.phase is servers.ServerPhase.READY
        ]


def has_changed(old, new):
    """Return whether an announcement says more than that a server is alive."""
    return dataclasses.replace(old, sequence=new.sequence, cold_ms=new.cold_ms) != new
