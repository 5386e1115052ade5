"""Charts and summarizes the outcomes of requests from the logs of gateways.

The charts show, by second of arrival: for each tier the requests that were answered,
refused, failed or abandoned by their caller; quantiles of the wait for a backend
server; and the attempts at each server. `count_requests`, `wait_quantiles` and
`count_attempts_by_server` compute these figures from parsed requests; `draw` writes
them all into one file.
"""

import collections
import dataclasses
import datetime

from brasstrail.tools import logreader

REQUEST_ENDED = "forwarding: A request ended."
ANSWERED = "answered"
CALLER_GONE = "caller_gone"
FAILED_OUTCOMES = (
    "fault",
    "cut_at_time_limit",
    "time_limit",
    "broken",
    "broken_stream",
)
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
    """A request, parsed from the log line of its end.

    `second` is the second of arrival and `kind` one of `KINDS`. `waited_ms` is the
    wait for the lease and for backend servers, `total_ms` the time from arrival to end.
    `servers` are the backend servers that it was sent to, one for each attempt.
    """

    second: int
    tier: int
    kind: str
    outcome: str
    waited_ms: float
    total_ms: float
    servers: tuple[str, ...]


def read_requests(lines):
    """Return the requests in log lines; `second` counts from the first arrival."""
    requests = []
    for line in lines:
        if line.event == REQUEST_ENDED:
            requests.append(parse_request(line))
    first_second = min((request.second for request in requests), default=0)
    return [
        dataclasses.replace(request, second=request.second - first_second)
        for request in requests
    ]


def parse_request(line):
    """Parse a line that logs the end of a request; `second` is in Unix time."""
    fields = line.fields
    ended = datetime.datetime.fromisoformat(line.timestamp).timestamp()
    servers = tuple(name for name in fields.get("servers", "").split(",") if name)
    return Request(
        int(ended - fields["total_ms"] / 1000),
        fields.get("tier", 0),
        classify_outcome(fields["outcome"], fields.get("status", 0)),
        fields["outcome"],
        fields.get("waited_ms") or 0,
        fields["total_ms"],
        servers,
    )


def classify_outcome(outcome, status):
    """Return which of `KINDS` an outcome and HTTP status belong to.

    "left" means that the caller abandoned the request. Otherwise a request failed if
    its outcome is in `FAILED_OUTCOMES`, or if its status is missing or a 5xx other
    than 503. All others were refused.
    """
    if outcome == ANSWERED:
        return "answered"
    if outcome == CALLER_GONE:
        return "left"
    if outcome in FAILED_OUTCOMES or status >= 500 and status != 503 or not status:
        return "failed"
    return "refused"


def count_requests(requests):
    """Return the number of requests by tier, kind and second of arrival."""
    counts = collections.defaultdict(
        lambda: collections.defaultdict(collections.Counter)
    )
    for request in requests:
        counts[request.tier][request.kind][request.second] += 1
    return counts


def wait_quantiles(requests):
    """Return `WAIT_QUANTILES` of the wait in ms for a server, by second of arrival."""
    by_second = collections.defaultdict(list)
    for request in requests:
        if request.servers:
            by_second[request.second].append(request.waited_ms)
    return {
        second: tuple(quantile(sorted(values), fraction) for fraction in WAIT_QUANTILES)
        for second, values in sorted(by_second.items())
    }


def quantile(values, fraction):
    """Return the value at a fraction (0 to 1) of a sorted list."""
    return values[min(len(values) - 1, int(fraction * len(values)))]


def count_attempts_by_server(requests):
    """Return the number of attempts at each server, by second of arrival."""
    counts = collections.defaultdict(collections.Counter)
    for request in requests:
        for server in request.servers:
            counts[server][request.second] += 1
    return counts


def summarize(requests):
    """Return lines of text: a table of kinds by tier, then outcomes by frequency.

    The outcomes are those of the requests that were not answered.
    """
    counts = count_requests(requests)
    rows = [f"{'tier':>4} " + " ".join(f"{kind:>9}" for kind in KINDS)]
    for tier in sorted(counts):
        totals = [sum(counts[tier][kind].values()) for kind in KINDS]
        rows.append(f"{tier:>4} " + " ".join(f"{total:>9}" for total in totals))
    reasons = collections.Counter(
        request.outcome for request in requests if request.outcome != ANSWERED
    )
    rows.extend(f"{count:>9}  {outcome}" for outcome, count in reasons.most_common())
    return rows


def draw(requests, path):
    """Draw all charts into one file; its suffix selects the format."""
    # Imported here because only this function needs it and loading takes 1 s.
    from matplotlib import figure

    counts = count_requests(requests)
    last_second = max((request.second for request in requests), default=0)
    seconds = range(last_second + 1)
    chart = figure.Figure(FIGURE_INCHES, layout="constrained")
    axes = chart.subplots(len(counts) + 2, 1, sharex=True, squeeze=False)[:, 0]
    for index, tier in enumerate(sorted(counts)):
        draw_tier(axes[index], tier, counts[tier], seconds)
    draw_waits(axes[-2], wait_quantiles(requests))
    draw_attempts(axes[-1], count_attempts_by_server(requests), seconds)
    axes[-1].set_xlabel("seconds since the first request")
    chart.savefig(path)


def draw_tier(axes, tier, by_kind, seconds):
    """Draw the requests of one tier per second, stacked by kind."""
    rows = [[by_kind[kind][second] for second in seconds] for kind in KINDS]
    colors = [COLORS[kind] for kind in KINDS]
    axes.stackplot(seconds, rows, labels=KINDS, colors=colors, step="mid")
    axes.set_ylabel(f"tier {tier}, requests/s")
    axes.legend(loc="upper right", fontsize="small")


def draw_waits(axes, by_second):
    """Draw the quantiles of the wait for a server."""
    for index, fraction in enumerate(WAIT_QUANTILES):
        values = [pair[index] for pair in by_second.values()]
        axes.plot(list(by_second), values, label=f"quantile {fraction:g}")
    axes.set_ylabel("wait, ms")
    axes.legend(loc="upper right", fontsize="small")


def draw_attempts(axes, by_server, seconds):
    """Draw the attempts at each of the `SHOWN_SERVERS` busiest servers."""
    totals = {
        server: sum(by_second.values()) for server, by_second in by_server.items()
    }
    for server in sorted(totals, key=totals.get, reverse=True)[:SHOWN_SERVERS]:
        values = [by_server[server][second] for second in seconds]
        axes.plot(seconds, values, label=server)
    axes.set_ylabel("sent to each server/s")
    if by_server:
        axes.legend(loc="upper right", fontsize="x-small", ncols=3)


def make_report(files, path):
    """Chart the logs in open files; return the lines of the summary.

    Without requests no chart is written.
    """
    requests = read_requests(logreader.read(files))
    if requests:
        draw(requests, path)
    return summarize(requests)
