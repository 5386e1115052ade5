"""Draws a picture of a time from the logs of gateways.

By second and tier: what was asked, answered within its goal where the log tells,
answered, refused, failed, and left by its caller; how long it waited; and what each
backend server was sent. `counts` and the other functions work on parsed lines and
draw nothing; `draw` makes one file of all of them.
"""

import collections
import dataclasses
import datetime

from brasstrail.tools import logreader

REQUEST_ENDED = "forwarding: A request ended."
ANSWERED = "answered"
LEFT = "caller_gone"
FAILED = ("fault", "cut_at_time_limit", "time_limit", "broken", "broken_stream")
KINDS = ("answered", "refused", "failed", "left")
COLORS = {
    "answered": "tab:green",
    "refused": "tab:orange",
    "failed": "tab:red",
    "left": "tab:gray",
}
FIGURE_INCHES = (11, 14)
SHOWN_SERVERS = 12
WAIT_QUANTILES = (0.5, 0.95)


@dataclasses.dataclass(frozen=True)
class Request:
    """A request, as the log tells of its end; times in seconds and milliseconds."""

    second: int
    tier: int
    kind: str
    outcome: str
    waited_ms: float
    total_ms: float
    servers: tuple[str, ...]


def read_requests(lines):
    """Return the requests in lines of the log, by the second of their arrival."""
    found = []
    for line in lines:
        if line.event == REQUEST_ENDED:
            found.append(to_request(line))
    first = min((request.second for request in found), default=0)
    return [
        dataclasses.replace(request, second=request.second - first) for request in found
    ]


def to_request(line):
    """Return the request that a line tells of."""
    fields = line.fields
    ended = datetime.datetime.fromisoformat(line.timestamp).timestamp()
    servers = tuple(name for name in fields.get("servers", "").split(",") if name)
    return Request(
        int(ended - fields["total_ms"] / 1000),
        fields.get("tier", 0),
        kind_of(fields["outcome"], fields.get("status", 0)),
        fields["outcome"],
        fields.get("waited_ms") or 0,
        fields["total_ms"],
        servers,
    )


def kind_of(outcome, status):
    """Return how a request ended, in one of `KINDS`."""
    if outcome == ANSWERED:
        return "answered"
    if outcome == LEFT:
        return "left"
    if outcome in FAILED or status >= 500 and status != 503 or not status:
        return "failed"
    return "refused"


def counts(requests):
    """Return how many requests ended in each way, by tier, kind and second."""
    table = collections.defaultdict(
        lambda: collections.defaultdict(collections.Counter)
    )
    for request in requests:
        table[request.tier][request.kind][request.second] += 1
    return table


def waits(requests):
    """Return the quantiles of the wait for a server, by second of arrival."""
    by_second = collections.defaultdict(list)
    for request in requests:
        if request.servers:
            by_second[request.second].append(request.waited_ms)
    return {
        second: tuple(quantile(sorted(values), part) for part in WAIT_QUANTILES)
        for second, values in sorted(by_second.items())
    }


def quantile(values, part):
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(part * len(values)))]


def sendings(requests):
    """Return how many requests each server was sent, by second of arrival."""
    table = collections.defaultdict(collections.Counter)
    for request in requests:
        for server in request.servers:
            table[server][request.second] += 1
    return table


def summary(requests):
    """Return lines of text: how requests of each tier ended, and why not well."""
    table = counts(requests)
    rows = [f"{'tier':>4} " + " ".join(f"{kind:>9}" for kind in KINDS)]
    for tier in sorted(table):
        totals = [sum(table[tier][kind].values()) for kind in KINDS]
        rows.append(f"{tier:>4} " + " ".join(f"{total:>9}" for total in totals))
    reasons = collections.Counter(
        request.outcome for request in requests if request.outcome != ANSWERED
    )
    rows.extend(f"{count:>9}  {outcome}" for outcome, count in reasons.most_common())
    return rows


def draw(requests, path):
    """Draw the picture into a file of any kind that matplotlib writes."""
    # Only this command needs it, and it takes a second to load.
    from matplotlib import figure

    table = counts(requests)
    last = max((request.second for request in requests), default=0)
    seconds = range(last + 1)
    sheet = figure.Figure(FIGURE_INCHES, layout="constrained")
    axes = sheet.subplots(len(table) + 2, 1, sharex=True, squeeze=False)[:, 0]
    for place, tier in enumerate(sorted(table)):
        draw_tier(axes[place], tier, table[tier], seconds)
    draw_waits(axes[-2], waits(requests))
    draw_sendings(axes[-1], sendings(requests), seconds)
    axes[-1].set_xlabel("seconds since the first request")
    sheet.savefig(path)


def draw_tier(axis, tier, by_kind, seconds):
    """Draw how the requests of one tier ended."""
    rows = [[by_kind[kind][second] for second in seconds] for kind in KINDS]
    colors = [COLORS[kind] for kind in KINDS]
    axis.stackplot(seconds, rows, labels=KINDS, colors=colors, step="mid")
    axis.set_ylabel(f"tier {tier}, requests/s")
    axis.legend(loc="upper right", fontsize="small")


def draw_waits(axis, by_second):
    """Draw the wait for a server."""
    for place, part in enumerate(WAIT_QUANTILES):
        values = [pair[place] for pair in by_second.values()]
        axis.plot(list(by_second), values, label=f"quantile {part:g}")
    axis.set_ylabel("wait, ms")
    axis.legend(loc="upper right", fontsize="small")


def draw_sendings(axis, by_server, seconds):
    """Draw what the servers with most requests were sent."""
    totals = {
        server: sum(by_second.values()) for server, by_second in by_server.items()
    }
    for server in sorted(totals, key=totals.get, reverse=True)[:SHOWN_SERVERS]:
        values = [by_server[server][second] for second in seconds]
        axis.plot(seconds, values, label=server)
    axis.set_ylabel("sent to each server/s")
    if by_server:
        axis.legend(loc="upper right", fontsize="x-small", ncols=3)


def make(files, path):
    """Draw the logs in open files; return the lines of the summary."""
    requests = read_requests(logreader.read(files))
    if requests:
        draw(requests, path)
    return summary(requests)
