"""The known backend servers, from their own announcements.

A `Directory` is a state machine that control hosts and gateways share. It takes
announcements in any order, however late, and keeps for each identity and for
each address only the latest start. It knows nothing of sockets and clocks.

Nothing here proves that a server is alive: a server that is silent is shown as
such, and whoever calls it decides by what calls show.
"""

import dataclasses

from brasstrail.core import servers

SILENT_BEATS = 4
# Late announcements arrive within seconds; those of a server that is gone must
# find it still remembered.
FORGET_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Known:
    """A server as announced, and when it was last heard (steady clock)."""

    announcement: servers.Announcement
    heard_ms: int

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

    def take(self, announcement, heard_ms):
        """Take an announcement; return whether it changes what is known.

        One that is older than what is known only shows that the server was
        heard, and not even that where its start is over.
        """
        held = self.known.get(announcement.identity)
        if announcement.phase is servers.ServerPhase.GONE:
            return self.take_end(announcement, heard_ms)
        if held is not None and announcement.sort_key < held.announcement.sort_key:
            return False
        if held is not None and announcement.sort_key == held.announcement.sort_key:
            if announcement.phase is held.phase:
                return self.hear_again(held, heard_ms)
        if self.is_ended(held, announcement):
            return False
        if self.is_replaced(announcement):
            if held is None:
                ended = dataclasses.replace(
                    announcement, phase=servers.ServerPhase.GONE
                )
                self.known[announcement.identity] = Known(ended, heard_ms)
            return False
        self.put(announcement, heard_ms)
        return held is None or differs(held.announcement, announcement)

    def take_end(self, announcement, heard_ms):
        """Take the word that a server is gone; return whether that is new.

        A word without the start that it speaks of (`born_ms` 0) ends whatever start
        is known. Of a server that is not known it is remembered, so that a late
        announcement does not bring it back.
        """
        held = self.known.get(announcement.identity)
        if held is None:
            self.known[announcement.identity] = Known(announcement, heard_ms)
            return True
        is_later = held.announcement.born_ms > announcement.born_ms
        if is_later and announcement.born_ms:
            return False
        if held.phase is servers.ServerPhase.GONE:
            return False
        self.end(announcement.identity)
        return True

    def hear_again(self, held, heard_ms):
        """Note that a server was heard through another control host."""
        if heard_ms > held.heard_ms:
            self.known[held.announcement.identity] = dataclasses.replace(
                held, heard_ms=heard_ms
            )
        return False

    def is_ended(self, held, announcement):
        """Return whether the start that an announcement is of has ended."""
        if held is None or held.phase is not servers.ServerPhase.GONE:
            return False
        return announcement.born_ms == held.announcement.born_ms

    def is_replaced(self, announcement):
        """Return whether a later start has taken the server's address."""
        holder = self.known.get(self.by_address.get(announcement.address))
        if holder is None or holder.announcement.identity == announcement.identity:
            return False
        return holder.announcement.born_ms > announcement.born_ms

    def put(self, announcement, heard_ms):
        """Keep an announcement; the earlier holder of its address is gone."""
        previous = self.by_address.get(announcement.address)
        if previous is not None and previous != announcement.identity:
            self.end(previous)
        self.by_address[announcement.address] = announcement.identity
        self.known[announcement.identity] = Known(announcement, heard_ms)

    def end(self, identity):
        """Mark a server as gone; return its last announcement, or None."""
        held = self.known.get(identity)
        if held is None:
            return None
        ended = dataclasses.replace(held.announcement, phase=servers.ServerPhase.GONE)
        self.known[identity] = dataclasses.replace(held, announcement=ended)
        return ended

    def is_silent(self, known, now_ms):
        """Return whether a server has missed several announcements."""
        return now_ms - known.heard_ms > SILENT_BEATS * self.interval_ms

    def forget(self, now_ms):
        """Forget what was last heard long ago; return it as it was known."""
        old = [
            known
            for known in self.known.values()
            if now_ms - known.heard_ms > FORGET_MS
        ]
        for known in old:
            self.drop(known.announcement.identity)
        return old

    def drop(self, identity):
        """Forget a server."""
        known = self.known.pop(identity, None)
        if known is None:
            return
        address = known.announcement.address
        if self.by_address.get(address) == identity:
            del self.by_address[address]

    def serving(self, service):
        """Return the servers of a service that take new work."""
        return [
            known
            for known in self.known.values()
            if known.announcement.service == service
            and known.phase is servers.ServerPhase.READY
        ]


def differs(old, new):
    """Return whether an announcement says more than that a server is alive."""
    return dataclasses.replace(old, sequence=new.sequence, cold_ms=new.cold_ms) != new
