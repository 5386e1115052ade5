"""Announcements that would take a running server out of use.

Anybody who reaches a control host may announce a server under the identity or at the
address of another one. A server that has really been replaced announces itself no more.
An announcement that would replace a running start therefore waits until that start's
announcements have stopped. If both go on, both stand: requests name the server that
they are for, and the wrong one refuses them. Neither sockets nor clocks are used.
"""

import dataclasses

from brasstrail.coordination import directory
from brasstrail.core import servers

# An announcement may be lost, and another control host passes it on a second later.
STOPPED_AFTER_INTERVALS = 3
MAX_CLAIMS = 1000


@dataclasses.dataclass(frozen=True)
class Claim:
    """An announcement that waits, and when its start was first and last heard of."""

    announcement: servers.Announcement
    first_seen_ms: int
    last_seen_ms: int


class Claims:
    """The announcements that wait, by identity.

    Parameters
    ----------
    known : the `directory.Directory` of the running servers.
    """

    def __init__(self, known):
        self.directory = known
        self.waiting = {}

    def hold_back(self, announcement, seen_ms):
        """Return whether an announcement has to wait, and keep it if so.

        Only one that says that a server is ready waits: what says that a server leaves
        or is gone takes effect at once.
        """
        identity = announcement.identity
        is_gone = announcement.phase is servers.ServerPhase.GONE
        if is_gone and announcement.is_contested:
            return self.is_disproved(announcement, seen_ms)
        if announcement.phase is not servers.ServerPhase.READY:
            self.waiting.pop(identity, None)
            return False
        if not self.rivals(announcement):
            self.waiting.pop(identity, None)
            return False
        known = self.directory.known.get(identity)
        if known is not None and is_contested_server(known, announcement):
            return False
        held = self.waiting.get(identity)
        first_seen_ms = seen_ms
        if held is not None and is_same_start(held.announcement, announcement):
            if announcement.sequence <= held.announcement.sequence:
                return True
            first_seen_ms = held.first_seen_ms
        self.waiting[identity] = Claim(announcement, first_seen_ms, seen_ms)
        if len(self.waiting) > MAX_CLAIMS:
            del self.waiting[next(iter(self.waiting))]
        return True

    def rivals(self, announcement):
        """Return the running servers that an announcement may take out of use.

        A later start of the same server at its address does not.
        """
        return [
            each
            for each in self.directory.rivals(announcement)
            if not is_restart(each.announcement, announcement)
        ]

    def is_disproved(self, announcement, now_ms):
        """Return whether a server that is said to be replaced still goes on."""
        known = self.directory.known.get(announcement.identity)
        return (
            known is not None
            and known.phase is not servers.ServerPhase.GONE
            and is_same_start(known.announcement, announcement)
            and not self.has_stopped(known, now_ms)
        )

    def take_proved(self, identity, now_ms):
        """Return the claim of an identity if it may take effect now, or None.

        One that its rivals disprove no more replaces them. One that goes on beside
        them is marked as contested, and takes effect beside them if they have other
        identities. One that was not repeated is forgotten.
        """
        claim = self.waiting.get(identity)
        if claim is None:
            return None
        if self.has_stopped(claim, now_ms):
            del self.waiting[identity]
            return None
        if self.is_undisputed(claim, now_ms):
            return self.waiting.pop(identity)
        if not self.is_contested(claim, now_ms):
            return None
        del self.waiting[identity]
        contested = dataclasses.replace(claim.announcement, is_contested=True)
        return dataclasses.replace(claim, announcement=contested)

    def is_undisputed(self, claim, now_ms):
        """Return whether the announcements of all rivals have stopped.

        A start that began before one of its rivals is probably not the one that
        replaced it: it also has to go on itself.
        """
        rivals = self.rivals(claim.announcement)
        if not all(self.has_stopped(each, now_ms) for each in rivals):
            return False
        born_ms = claim.announcement.born_ms
        is_later = all(each.announcement.born_ms <= born_ms for each in rivals)
        return is_later or self.goes_on(claim, self.directory.interval_ms)

    def is_contested(self, claim, now_ms):
        """Return whether a claim has gone on as long as a rival needs to stop."""
        rivals = self.rivals(claim.announcement)
        if any(each.announcement.identity in self.waiting for each in rivals):
            return False
        return self.goes_on(claim, self.stopped_after_ms)

    def goes_on(self, claim, duration_ms):
        """Return whether a claim was repeated for some time."""
        return claim.last_seen_ms - claim.first_seen_ms >= duration_ms

    @property
    def stopped_after_ms(self):
        """How long nothing is heard of a server whose announcements have stopped."""
        return STOPPED_AFTER_INTERVALS * self.directory.interval_ms

    def has_stopped(self, known, now_ms):
        """Return whether a server or claim is not announced any more."""
        return now_ms - known.last_seen_ms > self.stopped_after_ms


def is_same_start(first, second):
    """Return whether two announcements are of one start."""
    return (first.identity, first.born_ms) == (second.identity, second.born_ms)


def is_restart(earlier, later):
    """Return whether a server has started again with its identity and address."""
    if later.born_ms < earlier.born_ms:
        return False
    return all(
        getattr(earlier, name) == getattr(later, name)
        for name in ("identity", "address", "service")
    )


def is_contested_server(known, announcement):
    """Return whether a server is in use though another one has its address."""
    is_ready = known.phase is servers.ServerPhase.READY
    return (
        is_ready
        and known.announcement.is_contested
        and is_same_start(known.announcement, announcement)
    )


def find_replaced(known, announcement):
    """Return the rivals that started later than the start that replaces them.

    `known` is a `directory.Directory`. Gateways replace earlier starts by themselves.
    """
    return [
        directory.as_replaced(each.announcement)
        for each in known.rivals(announcement)
        if each.announcement.born_ms > announcement.born_ms
    ]
