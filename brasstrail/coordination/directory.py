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
            if announcement.is_contested:
                return self.record_replacement(announcement, seen_ms)
            return self.record_end(announcement, seen_ms)
        if self.is_start_ended(held, announcement, seen_ms):
            return False
        if held is not None and is_replaced_start(held.announcement, announcement):
            held = None
        if held is not None and held.announcement.born_ms is not None:
            if contradicts(held.announcement, announcement):
                return False
            announcement = with_sequence_of_departure(announcement, held)
            if announcement.sort_key < held.announcement.sort_key:
                return False
            if announcement.sort_key == held.announcement.sort_key:
                adds_version = announcement.version and not held.announcement.version
                if announcement.phase is held.phase and not adds_version:
                    return self.refresh_last_seen(held, seen_ms)
        if self.is_address_reassigned(announcement):
            if held is None:
                ended = as_replaced(announcement)
                self.known[announcement.identity] = KnownServer(ended, seen_ms)
            return False
        if held is not None:
            announcement = with_known_fields(announcement, held.announcement)
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
            is_contested=False,
        )
        last_seen_ms = max(held.last_seen_ms, seen_ms)
        self.known[announcement.identity] = KnownServer(ended, last_seen_ms)
        return ended != held.announcement

    def record_replacement(self, announcement, seen_ms):
        """Apply that a start was replaced; return whether that is new."""
        held = self.known.get(announcement.identity)
        if held is None:
            self.known[announcement.identity] = KnownServer(announcement, seen_ms)
            return True
        is_same_start = held.announcement.born_ms == announcement.born_ms
        if not is_same_start or held.phase is servers.ServerPhase.GONE:
            return False
        self.mark_replaced(announcement.identity)
        return True

    def rivals(self, announcement):
        """Return the ready servers of other starts that an announcement may replace."""
        return [
            self.known[each.identity]
            for each in self.running_starts(announcement)
            if (each.identity, each.born_ms)
            != (announcement.identity, announcement.born_ms)
        ]

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
        if held.announcement.is_contested:
            return announcement.sort_key <= held.announcement.sort_key and (
                announcement.born_ms == born_ms
            )
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
        if holder.announcement.is_contested or announcement.is_contested:
            return False
        return holder.announcement.born_ms > announcement.born_ms

    def store(self, announcement, seen_ms):
        """Store an announcement, and that the server before at its address is replaced.

        A server that leaves, or that is contested, replaces no other one.
        """
        identity, address = announcement.identity, announcement.address
        held = self.known.get(identity)
        if held is not None and held.announcement.address != address:
            self.release_address(held.announcement)
        if not announcement.is_contested:
            previous = self.by_address.setdefault(address, identity)
            is_ready = announcement.phase is servers.ServerPhase.READY
            if is_ready and previous != identity:
                self.mark_replaced(previous)
                self.by_address[address] = identity
        self.known[identity] = KnownServer(announcement, seen_ms)

    def release_address(self, announcement):
        """Forget that a server holds its address, if it does."""
        if self.by_address.get(announcement.address) == announcement.identity:
            del self.by_address[announcement.address]

    def mark_replaced(self, identity):
        """Mark a server as gone that did not say so, and may announce itself again."""
        held = self.known[identity]
        if held.phase is not servers.ServerPhase.GONE:
            self.release_address(held.announcement)
            ended = as_replaced(held.announcement)
            self.known[identity] = dataclasses.replace(held, announcement=ended)

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
        self.release_address(known.announcement)

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


def with_known_fields(announcement, held):
    """Return an announcement with what is known of its start, and not stated in it.

    A control host of an earlier build passes announcements on without the version.
    """
    if announcement.born_ms != held.born_ms:
        return announcement
    is_contested = held.is_contested and held.phase is servers.ServerPhase.READY
    return dataclasses.replace(
        announcement,
        version=announcement.version or held.version,
        is_contested=announcement.is_contested or is_contested,
    )


def contradicts(held, announcement):
    """Return whether an announcement moves a start to another address or service."""
    return announcement.born_ms == held.born_ms and (
        (announcement.address, announcement.service) != (held.address, held.service)
    )


def with_sequence_of_departure(announcement, held):
    """Return an announcement that applies, if it says that a ready start leaves.

    It does so whatever its sequence, since another writer may have stated a later one.
    """
    is_departure = (
        announcement.phase is servers.ServerPhase.LEAVING
        and held.phase is servers.ServerPhase.READY
        and announcement.born_ms == held.announcement.born_ms
    )
    if not is_departure:
        return announcement
    sequence = max(announcement.sequence, held.announcement.sequence)
    return dataclasses.replace(announcement, sequence=sequence)


def as_replaced(announcement):
    """Return an announcement as that of a start that another one has replaced."""
    return dataclasses.replace(
        announcement, phase=servers.ServerPhase.GONE, is_contested=True
    )


def is_replaced_start(held, announcement):
    """Return whether the recorded start was replaced, and another one is announced."""
    is_replaced = held.phase is servers.ServerPhase.GONE and held.is_contested
    return is_replaced and held.born_ms != announcement.born_ms


def has_changed(old, new):
    """Return whether a later announcement reports a change of the server.

    The sequence and the remaining time of slowness after a start are ignored.
    """
    return dataclasses.replace(old, sequence=new.sequence, cold_ms=new.cold_ms) != new
