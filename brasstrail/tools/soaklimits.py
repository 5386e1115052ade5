"""Limits that backend servers name, and the check that they are kept.

A server names the limit that stands in a file of its own, as long as there is one. The
check uses the users' bounds; it is registered in `soakcheck.CHECKS`.
"""

import bisect
import collections
import dataclasses

from brasstrail.tools import soakcheck

# The users' bound: from this time after a server first named its limit, it gets in so
# many seconds no more than this multiple of what the limit allows, and some requests.
IN_FORCE_LIMIT_S = 4.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
SLACK_REQUESTS = 5
# A gateway counts from this time after it has passed on an answer with the limit.
TOLD_DELAY_S = 0.5
# Limits that are drawn, in requests a second.
RATES_PER_S = (0.5, 1.1, 2.0, 5.0, 20.0)


@dataclasses.dataclass
class LimitPeriod:
    """A time in which a server named one limit in all its answers.

    `begin_at` is when it first did, `end_at` when it first did not any more.
    `told_at` is when each gateway had passed on an answer with it.
    """

    rate_per_s: float
    begin_at: float
    end_at: float
    told_at: dict

    @property
    def allowed(self):
        """How many requests the server may get within `WINDOW_S`."""
        return LIMIT_FACTOR * self.rate_per_s * WINDOW_S + SLACK_REQUESTS


def find_periods(records, gateways):
    """Return the `LimitPeriod`s of one server from the records of its journal.

    `gateways` are the names of the gateways by request.
    """
    periods = []
    for record in sorted(records, key=lambda each: each["at"]):
        if record["event"] != "arrived" or record["id"] not in gateways:
            continue
        rate, at = record["limit"], record["at"]
        current = periods[-1] if periods and periods[-1].end_at is None else None
        if current is not None and rate != current.rate_per_s:
            current.end_at = at
            current = None
        if rate and current is None:
            current = LimitPeriod(rate, at, None, {})
            periods.append(current)
        if current is not None:
            current.told_at.setdefault(gateways[record["id"]], at)
    for period in periods:
        if period.end_at is None:
            period.end_at = float("inf")
    return periods


@soakcheck.check("a server's limit is kept")
def find_exceeded_limits(observations):
    """Find servers that got more requests than their limit allows, over all gateways.

    Arrivals from gateways that had a fault shortly before are not counted.
    """
    gateways = {reply.identity: reply.gateway for reply in observations.replies}
    by_server = collections.defaultdict(list)
    for record in observations.records:
        by_server[record["server"]].append(record)
    for server, records in by_server.items():
        for period in find_periods(records, gateways):
            times = sorted(counted_times(observations, records, gateways, period))
            for index, at in enumerate(times):
                count = bisect.bisect_right(times, at + WINDOW_S) - index
                if count > period.allowed:
                    yield server, period.rate_per_s, count, period.allowed
                    break


def counted_times(observations, records, gateways, period):
    """Yield the times of the arrivals that count against a limit."""
    for record in records:
        if record["event"] != "arrived" or record["id"] not in gateways:
            continue
        at, gateway = record["at"], gateways[record["id"]]
        told_at = period.told_at.get(gateway, float("inf")) + TOLD_DELAY_S
        begin_at = max(period.begin_at + IN_FORCE_LIMIT_S, told_at)
        if begin_at <= at < period.end_at and not observations.had_fault(
            gateway, at - soakcheck.CONTACT_LIMIT_S, at, False
        ):
            yield at


def count_arrivals(observations):
    """Return how many requests limited servers got, and how many their limits allow.

    Counted are the times from when each limit is in force.
    """
    gateways = {reply.identity: reply.gateway for reply in observations.replies}
    last_at = max((record["at"] for record in observations.records), default=0.0)
    arrived, allowed = 0, 0.0
    by_server = collections.defaultdict(list)
    for record in observations.records:
        by_server[record["server"]].append(record)
    for records in by_server.values():
        for period in find_periods(records, gateways):
            begin_at = period.begin_at + IN_FORCE_LIMIT_S
            seconds = min(period.end_at, last_at) - begin_at
            if seconds > 0:
                allowed += seconds * period.rate_per_s
                arrived += sum(
                    record["event"] == "arrived"
                    and begin_at <= record["at"] < period.end_at
                    for record in records
                )
    return arrived, allowed


def describe_use(observations):
    """Return the result of `count_arrivals` as a text."""
    arrived, allowed = count_arrivals(observations)
    return f"{arrived} arrivals where limits allow {allowed:.0f}"
