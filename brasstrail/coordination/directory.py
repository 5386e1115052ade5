"""The known backend servers, built from their own announcements.

A `Directory` is a state machine that control hosts and gateways both use. It accepts
announcements in any order and with any delay, and keeps only the latest start for each
identity and for each address. It uses neither sockets nor clocks.

A recorded server need not be running. A server without recent announcements
is reported as silent, and gateways judge its health by the results of their calls.
"""

import dataclasses

from brasstrail.core import servers

SILENT_AFTER_INTERVALS = 4
# Delayed announcements arrive within seconds. A server that is gone must still be
# recorded then, so that they do not bring it back.
RETENTION_MS = 60_000
# How long after an end without a start an announcement of a start that may have ended
# is taken for a delayed one. Channels that were cut deliver within seconds.
REPORT_DELAY_MS = 15_000
# By how much the clocks of a server and of a control host may differ.
CLOCK_ERROR_MS = 2_000


@dataclasses.dataclass(frozen=True)
class KnownServer:
    """A server's last announcement, and when it was received, on the monotonic clock.

    At a gateway, it is the time at which a control host received it.
    """

    announcement: servers.Announcement
    last_seen_ms: int

    @property
    def phase(self):
        """The phase in the last announcement."""
        return self.announcement.phase


class Directory:
    """All known servers by identity.

    Parameters
    ----------
    interval_ms : how often servers announce themselves.
    report_delay_ms : how long an announcement may be under way. Gateways use less than
        control hosts: what these believe must not be ignored there.
    """

    def __init__(self, interval_ms, report_delay_ms=REPORT_DELAY_MS):
        self.interval_ms = interval_ms
        self.report_delay_ms = report_delay_ms
        self.known = {}
        self.by_address = {}

    def record_announcement(self, announcement, seen_ms):
        """Apply an announcement; return whether it changes the directory.

        An announcement older than the recorded one changes nothing. A repeated one
        only updates the time when the server was last seen. Announcements of a start
        that has ended are ignored, and an unknown server whose address belongs to a
        later start is recorded as gone.
        """
        held = self.known.get(announcement.identity)
        if announcement.phase is servers.ServerPhase.GONE:
            return self.record_end(announcement, seen_ms)
        if self.is_start_ended(held, announcement, seen_ms):
            return False
        if held is not None and held.announcement.born_ms is not None:
            if announcement.sort_key < held.announcement.sort_key:
                return False
            if announcement.sort_key == held.announcement.sort_key:
                adds_version = announcement.version and not held.announcement.version
                if announcement.phase is held.phase and not adds_version:
                    return self.refresh_last_seen(held, seen_ms)
        if self.is_address_reassigned(announcement):
            if held is None:
                ended = dataclasses.replace(
                    announcement, phase=servers.ServerPhase.GONE
                )
                self.known[announcement.identity] = KnownServer(ended, seen_ms)
            return False
        if held is not None:
            announcement = with_known_version(announcement, held.announcement)
        self.store(announcement, seen_ms)
        return held is None or has_changed(held.announcement, announcement)

    def record_end(self, announcement, seen_ms):
        """Apply an announcement that a server is gone; return whether that is new.

        It ends the recorded start unless that began later. If the server is unknown,
        its end is recorded, so that a delayed announcement does not bring it back.
        """
        held = self.known.get(announcement.identity)
        if held is None:
            self.known[announcement.identity] = KnownServer(announcement, seen_ms)
            return True
        if is_later_start(held.announcement, announcement):
            return False
        ended = dataclasses.replace(
            held.announcement,
            phase=servers.ServerPhase.GONE,
            born_ms=latest(held.announcement.born_ms, announcement.born_ms),
            ended_by_ms=latest(held.announcement.ended_by_ms, announcement.ended_by_ms),
        )
        last_seen_ms = max(held.last_seen_ms, seen_ms)
        self.known[announcement.identity] = KnownServer(ended, last_seen_ms)
        return ended != held.announcement

    def running_starts(self, announcement):
        """Return the announcements of ready servers that an announcement may replace.

        They have its identity or its address.
        """
        identities = (
            announcement.identity,
            self.by_address.get(announcement.address, announcement.identity),
        )
        return [
            self.known[each].announcement
            for each in dict.fromkeys(identities)
            if each in self.known
            and self.known[each].phase is servers.ServerPhase.READY
        ]

    def is_replaced(self, announcement):
        """Return whether a later start has the identity or address of a start."""
        known = self.known.get(announcement.identity)
        if known is not None and (known.announcement.born_ms or 0) > (
            announcement.born_ms
        ):
            return True
        holder = self.by_address.get(announcement.address, announcement.identity)
        return holder != announcement.identity

    def refresh_last_seen(self, held, seen_ms):
        """Record a repeat, received through another control host; return False."""
        if seen_ms > held.last_seen_ms:
            self.known[held.announcement.identity] = dataclasses.replace(
                held, last_seen_ms=seen_ms
            )
        return False

    def is_start_ended(self, held, announcement, seen_ms):
        """Return whether an announcement belongs to a start that has ended.

        After an end that stated no start it is uncertain for starts that began before
        it. They count as ended while their announcements may have been delayed.
        """
        if held is None or held.phase is not servers.ServerPhase.GONE:
            return False
        born_ms, ended_by_ms = held.announcement.born_ms, held.announcement.ended_by_ms
        if born_ms is not None and announcement.born_ms <= born_ms:
            return True
        if ended_by_ms is not None and announcement.born_ms > ended_by_ms:
            return False
        if born_ms is not None and ended_by_ms is None:
            return False
        return seen_ms - held.last_seen_ms <= self.report_delay_ms

    def is_address_reassigned(self, announcement):
        """Return whether a server that started later uses the same address."""
        holder = self.known.get(self.by_address.get(announcement.address))
        if holder is None or holder.announcement.identity == announcement.identity:
            return False
        return holder.announcement.born_ms > announcement.born_ms

    def store(self, announcement, seen_ms):
        """Store an announcement and mark the previous server at its address gone."""
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
        """Remove and return the servers not seen for `RETENTION_MS`."""
        expired = [
            known
            for known in self.known.values()
            if now_ms - known.last_seen_ms > RETENTION_MS
        ]
        for known in expired:
            self.remove(known.announcement.identity)
        return expired

    def remove(self, identity):
        """Remove a server."""
        known = self.known.pop(identity, None)
        if known is None:
            return
        address = known.announcement.address
        if self.by_address.get(address) == identity:
            del self.by_address[address]

    def ready_servers(self, service):
        """Return the servers of a service that accept new work."""
        return [
            known
            for known in self.known.values()
            if known.announcement.service == service
            and known.phase is servers.ServerPhase.READY
        ]


def with_end_time(end, earlier, wall_ms):
    """Return the announcement of an end without a start, with the time of that end.

    The start that has ended may be one that is not known. A server that withdraws
    without having said that it leaves still runs for some time, so that no later start
    of it begins within the error of the clocks.

    Parameters
    ----------
    end : the announcement that a server is gone.
    earlier : what is known of the server, as announcements.
    wall_ms : the wall-clock time.
    """
    phases = [each.phase for each in earlier]
    error_ms = 0 if servers.ServerPhase.LEAVING in phases else CLOCK_ERROR_MS
    born_ms = latest(*[each.born_ms for each in earlier])
    return dataclasses.replace(end, born_ms=born_ms, ended_by_ms=wall_ms + error_ms)


def is_later_start(announcement, end):
    """Return whether a start began after another one of its identity had ended.

    `end` is the announcement of that end.
    """
    ended_ms = latest(end.born_ms, end.ended_by_ms)
    if ended_ms is None or announcement.born_ms is None:
        return False
    return announcement.born_ms > ended_ms


def latest(*times_ms):
    """Return the latest of some times of which any may be None."""
    return max((each for each in times_ms if each is not None), default=None)


def with_known_version(announcement, held):
    """Return an announcement with the version that its start has stated before.

    A control host of an earlier build passes announcements on without the version.
    """
    is_same_start = announcement.born_ms == held.born_ms
    if announcement.version or not is_same_start:
        return announcement
    return dataclasses.replace(announcement, version=held.version)


def has_changed(old, new):
    """Return whether a later announcement reports a change of the server.

    The sequence and the remaining time of slowness after a start are ignored.
    """
    return dataclasses.replace(old, sequence=new.sequence, cold_ms=new.cold_ms) != new
