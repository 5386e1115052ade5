"""Rests that backend servers ask for, servers that say that they leave, and the checks.

While there is a file with the ending ".rest" beside its journal, a server turns some
requests away and asks for the rest that stands in the file; while there is one with the
ending ".leaving", it says in all answers that it leaves. The checks use the users'
bounds; they are registered in `soakcheck.CHECKS`.
"""

import bisect
import collections

from brasstrail.tools import soakcheck

# The users' bound: from this time after a server has turned a gateway away until the
# end of the rest that it asked for, that gateway sends it at most so many requests.
GRACE_S = 0.5
MAX_REQUESTS = 2
# Seconds of rest that are drawn.
REST_SECONDS = ("0.8", "1.5", "3", "6")


def arrivals_by_start(observations):
    """Return (time, gateway, record) of all arrivals of requests, by start of a server.

    A start is named by the server's identity and when it came up: some servers keep
    their identity over their starts.
    """
    gateways = {
        each.identity: each.gateway
        for each in (*observations.replies, *observations.probes)
    }
    ups = collections.defaultdict(list)
    for record in observations.records:
        if record["event"] == "up":
            ups[record["server"]].append(record["at"])
    arrivals = collections.defaultdict(list)
    for record in observations.records:
        if record["event"] == "arrived" and record["id"] in gateways:
            row = record["at"], gateways[record["id"]], record
            server, at = record["server"], record["at"]
            up_at = max((each for each in ups[server] if each <= at), default=0.0)
            arrivals[server, up_at].append(row)
    for rows in arrivals.values():
        rows.sort(key=lambda row: row[0])
    return arrivals


@soakcheck.check("a rest that a server asks for is kept")
def find_broken_rests(observations):
    """Find rests in which a server got too many requests from the gateway it told."""
    for (server, _), rows in arrivals_by_start(observations).items():
        times = collections.defaultdict(list)
        for at, gateway, _ in rows:
            times[gateway].append(at)
        for at, gateway, record in rows:
            rest_s = record.get("rest", 0.0)
            if rest_s <= GRACE_S:
                continue
            count = bisect.bisect_left(
                times[gateway], at + rest_s
            ) - bisect.bisect_right(times[gateway], at + GRACE_S)
            if count > MAX_REQUESTS and not observations.had_fault(
                gateway, at - soakcheck.CONTACT_LIMIT_S, at + rest_s, False
            ):
                yield server, gateway, at, rest_s, count


@soakcheck.check("a server that says that it leaves gets nothing more")
def find_sent_to_leaving(observations):
    """Find requests that were sent too late to a server that leaves.

    Counted from when the gateway that sends them has passed such an answer on.
    """
    replies = {each.identity: each for each in observations.replies}
    for (server, _), rows in arrivals_by_start(observations).items():
        told_at = {}
        for at, gateway, record in rows:
            reply = replies.get(record["id"])
            if reply is None:
                continue
            late_s = reply.sent_at - told_at.get(gateway, float("inf"))
            if late_s > soakcheck.DRAIN_LIMIT_S and not observations.had_fault(
                gateway, told_at[gateway], at, False
            ):
                yield server, gateway, reply.identity, late_s
            if record.get("leaving") and reply.is_complete:
                told_at.setdefault(gateway, reply.ended_at)


def describe(observations):
    """Return how many rests were asked for, and how many answers said "leaving"."""
    arrived = [each for each in observations.records if each["event"] == "arrived"]
    rests = sum(each.get("rest", 0.0) > 0 for each in arrived)
    leaving = sum(bool(each.get("leaving")) for each in arrived)
    return f"{rests} rests asked for, {leaving} answers of leaving servers"
