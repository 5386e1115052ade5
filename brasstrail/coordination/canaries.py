"""Which versions of a service a gateway may use, and what it has seen of them.

While a roll-out is in progress, a gateway draws for each request whether it goes to the
new version. The draws are bounded by the gateway's own counts, so that the bound over
all gateways holds without a message per request, whatever part of them is cut off.
"""

import dataclasses
import math
import random

from brasstrail.core.rolloutstates import RolloutState
from brasstrail.protocol import messages

# A gateway that started after an order does not know how many requests it has sent to
# the new version before. It sends none there until it has counted so many requests.
MIN_OWN_REQUESTS = 50
# Each bucket of a histogram is wider by this ratio than the one before, from 1 ms on:
# a factor of 2 is told apart, and 50 buckets reach up to a minute.
BUCKET_RATIO = 1.25
BUCKETS = 50


def time_bucket(time_ms):
    """Return the number of the bucket of a time.

    >>> time_bucket(1.0), time_bucket(2.0), time_bucket(10.0**9)
    (0, 3, 49)
    """
    if time_ms <= 1.0:
        return 0
    return min(BUCKETS - 1, int(math.log(time_ms) / math.log(BUCKET_RATIO)))


@dataclasses.dataclass(frozen=True)
class VersionRule:
    """The servers of a service that one request may run on, by version.

    `to` is the version in roll-out, or empty; the request may run on it if `uses_new`,
    and on others if `uses_old`. Servers that started before `base_ms` with another
    version than `base_version` are excluded if that is set, and so are those of the
    `reverted` versions.
    """

    to: str = ""
    uses_new: bool = False
    uses_old: bool = True
    base_version: str = ""
    base_ms: int = 0
    reverted: tuple[str, ...] = ()

    def permits(self, announcement):
        """Return whether the request may run on the server of an announcement."""
        if announcement.version in self.reverted:
            return False
        if self.to and announcement.version == self.to:
            return self.uses_new
        is_replaced = (
            self.base_version
            and announcement.version != self.base_version
            and announcement.born_ms < self.base_ms
        )
        return self.uses_old and not is_replaced

    def excludes_servers_of(self, other):
        """Return whether no server may run a request of either rule."""
        shares_new = self.uses_new and other.uses_new
        shares_old = self.uses_old and other.uses_old
        return self.to == other.to and not shares_new and not shares_old


def make_rule(rollout, uses_new=False, uses_old=True):
    """Return the `VersionRule` of a `messages.Rollout` for one request.

    Once the roll-out is decided, it is the same for all requests.
    """
    if rollout.state == RolloutState.COMPLETED:
        return VersionRule(
            base_version=rollout.to,
            base_ms=rollout.decided_ms,
            reverted=rollout.reverted,
        )
    base = {"base_version": rollout.base_version, "base_ms": rollout.base_ms}
    if rollout.state == RolloutState.REVERTED:
        return VersionRule(reverted=(*rollout.reverted, rollout.to), **base)
    return VersionRule(
        rollout.to, uses_new, uses_old, reverted=rollout.reverted, **base
    )


@dataclasses.dataclass
class RouteCounts:
    """What became of a route's requests at one of the two sides of a roll-out.

    The fields are those of `messages.RouteOutcomes`.
    """

    answers: int = 0
    failures: int = 0
    cuts: int = 0
    first_times: list = dataclasses.field(default_factory=lambda: [0] * BUCKETS)
    paces: list = dataclasses.field(default_factory=lambda: [0] * BUCKETS)


class Exposure:
    """What a gateway sends to the version of one order, and what became of it.

    Parameters
    ----------
    rollout : `messages.Rollout`.
    is_restart : whether the gateway started after the order.
    draw : a `random.Random`.

    Attributes
    ----------
    requests : the service's requests since the gateway has known the order.
    sent : how many of them were assigned to the new version.
    counts : `RouteCounts` by route and whether it is of the new version.
    told : the `messages.RouteOutcomes` that were last told, by the same.
    """

    def __init__(self, rollout, is_restart, draw=random):
        self.rollout = rollout
        self.is_restart = is_restart
        self.draw = draw
        self.requests = 0
        self.sent = 0
        self.counts = {}
        self.told = {}

    def record_request(self):
        """Count a request of the service."""
        self.requests += 1

    def draws_new(self, slack):
        """Return whether the request that was counted last goes to the new version.

        `slack` is how many requests the gateway may send there beyond the share.
        `record_sent` must follow if it does.
        """
        if self.is_restart and self.requests < MIN_OWN_REQUESTS:
            return False
        share = self.rollout.share
        is_within = self.sent + 1 <= share * self.requests + slack
        return is_within and self.draw.random() < share

    def record_sent(self):
        """Count a request that goes to the new version."""
        self.sent += 1

    def counts_of(self, route, is_new):
        """Return the `RouteCounts` of a route at one side."""
        return self.counts.setdefault((route, is_new), RouteCounts())

    def take_outcomes(self, is_whole):
        """Return the `messages.RouteOutcomes` to tell.

        They are those that have changed since the last call, or all if `is_whole`.
        """
        outcomes = {
            key: make_outcomes(self.rollout.service, *key, each)
            for key, each in self.counts.items()
        }
        changed = tuple(
            each
            for key, each in outcomes.items()
            if is_whole or each != self.told.get(key)
        )
        self.told = outcomes
        return changed


def make_outcomes(service, route, is_new, counts):
    """Return the `messages.RouteOutcomes` of the `RouteCounts` of a route."""
    return messages.RouteOutcomes(
        service,
        route,
        is_new,
        counts.answers,
        counts.failures,
        counts.cuts,
        pack_histogram(counts.first_times),
        pack_histogram(counts.paces),
    )


def pack_histogram(numbers):
    """Return the buckets of a histogram that are not empty, each with its number.

    >>> pack_histogram([0, 3, 0, 1])
    (1, 3, 3, 1)
    """
    return tuple(
        each
        for bucket, number in enumerate(numbers)
        if number
        for each in (bucket, number)
    )


def unpack_histogram(packed):
    """Return the numbers of all buckets; those out of range are ignored."""
    numbers = [0] * BUCKETS
    for bucket, number in zip(packed[::2], packed[1::2], strict=False):
        if 0 <= bucket < BUCKETS:
            numbers[bucket] = number
    return numbers
