"""Judges a soak from what callers, operators and backend servers saw.

Every check is a function of a `Seen` that returns the violations of one promise, and
registers itself under that promise's name. None of them reads the system's logs.
"""

import bisect
import collections
import dataclasses
import re

# The users' bounds, in seconds: a removed key is dead, a document is in force, a
# leaving server gets nothing more, an earlier run has ended before a resumed one.
REVOKED_S = 5.0
IN_FORCE_S = 3.0
DRAIN_S = 3.0
OVERLAP_S = 0.4
WINDOW_S = 8.0
OVERRUN = 0.1
# Statuses that state that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
ATTEMPTS = {"look": 2, "act": 1, "talk": 1, "tale": 2}
STREAMS = ("talk", "tale")
# The share of calls that must succeed once all faults are over.
RECOVERED_PART = 0.9
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)/(\d+)\n\n")


@dataclasses.dataclass(frozen=True)
class Sent:
    """A document that operators sent: its keys, and when it was acknowledged."""

    version: int
    keys: frozenset
    sent_at: float
    acknowledged_at: float | None


@dataclasses.dataclass(frozen=True)
class Read:
    """A version that an operator read; `sent_at` is when the question was sent."""

    sent_at: float
    version: int


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of one process, with the time until it is over its effects.

    `ends_answers` is whether the process may break off what it serves.
    """

    name: str
    begin_at: float
    end_at: float
    ends_answers: bool = True


@dataclasses.dataclass
class Seen:
    """All that was seen of a run. `final` are the replies after all faults."""

    replies: list = dataclasses.field(default_factory=list)
    final: list = dataclasses.field(default_factory=list)
    records: list = dataclasses.field(default_factory=list)
    documents: list = dataclasses.field(default_factory=list)
    reads: list = dataclasses.field(default_factory=list)
    faults: list = dataclasses.field(default_factory=list)
    allotted: tuple = ("", 0.0, 0.0, 0.0)
    final_version: int | None = None

    def starts(self):
        """Return the starts of each request's runs, in order of time."""
        starts = collections.defaultdict(list)
        for record in sorted(self.records, key=lambda each: each["at"]):
            if record["event"] == "start":
                starts[record["id"]].append(record)
        return starts

    def ends(self):
        """Return when each run ended and whether whole, by request and server."""
        return {
            (record["id"], record["server"]): record
            for record in self.records
            if record["event"] == "end"
        }

    def is_disturbed(self, name, begin_at, end_at, only_ending=True):
        """Return whether a process had a fault at some time of an interval."""
        return any(
            fault.name == name
            and fault.begin_at < end_at
            and fault.end_at > begin_at
            and (fault.ends_answers or not only_ending)
            for fault in self.faults
        )


CHECKS = {}


def check(promise):
    """Register a check under the promise that it judges."""

    def register(function):
        CHECKS[promise] = function
        return function

    return register


def judge(seen):
    """Return (promise, details) pairs of all violations."""
    return [
        (promise, details)
        for promise, function in CHECKS.items()
        for details in function(seen)
    ]


@check("nothing runs more often than it may")
def find_repeats(seen):
    """Find requests that reached more servers than their route allows."""
    starts = seen.starts()
    for reply in seen.replies:
        ran = starts.get(reply.identity, ())
        if len(ran) > ATTEMPTS[reply.route]:
            yield reply.identity, reply.route, [each["at"] for each in ran]


@check("a stream goes on only where it is not running")
def find_overlaps(seen):
    """Find resumed streams whose earlier run went on."""
    starts, ends = seen.starts(), seen.ends()
    for reply in seen.replies:
        ran = starts.get(reply.identity, ())
        for earlier, later in zip(ran, ran[1:], strict=False):
            if reply.route not in STREAMS:
                continue
            end = ends.get((reply.identity, earlier["server"]))
            if end is None or is_server_disturbed(seen, earlier, end["at"]):
                continue
            if end["at"] > later["at"] + OVERLAP_S:
                yield reply.identity, earlier["at"], later["at"], end["at"]


def is_server_disturbed(seen, record, end_at):
    """Return whether a run's server or the way to it had a fault."""
    name = f"server-{record['server'].split('-')[1]}"
    return seen.is_disturbed(name, record["at"] - 1.0, end_at + 1.0, False)


@check("a refusal is true")
def find_false_refusals(seen):
    """Find requests that ran though the caller was told that they never would."""
    starts = seen.starts()
    for reply in seen.replies:
        if reply.status in NOT_RUN and starts.get(reply.identity):
            yield reply.identity, reply.status, reply.ended_at


@check("a refusal says when to come back")
def find_bare_refusals(seen):
    """Find refusals for lack of room that name no time."""
    for reply in seen.replies:
        if reply.status in (429, 503) and reply.is_complete and not reply.retry_after:
            yield reply.identity, reply.status, reply.sent_at


@check("an answer belongs to its request")
def find_foreign_answers(seen):
    """Find plain answers of another request."""
    for reply in seen.replies:
        if reply.route in STREAMS or reply.status != 200 or not reply.is_complete:
            continue
        if not reply.body.startswith(f"{reply.identity} done by ".encode()):
            yield reply.identity, reply.body[:80]


@check("events come once, in order, to the last")
def find_broken_streams(seen):
    """Find streams with a gap, a repeat, foreign events or a false end."""
    for reply in seen.replies:
        if reply.route not in STREAMS or reply.status != 200:
            continue
        found = EVENT.findall(reply.body)
        numbers = [int(number) for number, _, _, _ in found]
        if numbers != list(range(1, len(numbers) + 1)):
            yield reply.identity, "order", numbers
        if any(identity != reply.identity.encode() for _, identity, _, _ in found):
            yield reply.identity, "foreign", found[:3]
        if reply.is_complete and len(numbers) != reply.events:
            yield reply.identity, "end", len(numbers), reply.events


@check("what was read is answered")
def find_lost(seen):
    """Find requests without a whole answer at a gateway that had no fault."""
    starts, ends = seen.starts(), seen.ends()
    for reply in seen.replies:
        if reply.is_complete or not reply.is_sent:
            continue
        span = reply.sent_at - 1.0, reply.ended_at
        if seen.is_disturbed(reply.gateway, *span):
            continue
        ran = starts.get(reply.identity, ())
        is_stopping = seen.is_disturbed(reply.gateway, *span, False)
        if is_stopping and not ran:
            continue
        if reply.route not in STREAMS or reply.status != 200:
            yield reply.identity, reply.route, reply.gateway, reply.sent_at
            continue
        end = ends.get((reply.identity, ran[-1]["server"])) if ran else None
        if end is None or is_server_disturbed(seen, ran[-1], end["at"]):
            continue
        if end["whole"]:
            yield reply.identity, "ended well at its server", reply.gateway


@check("a removed key is dead")
def find_lapsed_keys(seen):
    """Find runs of requests whose key had been removed for long enough."""
    starts = seen.starts()
    for reply in seen.replies:
        if not starts.get(reply.identity):
            continue
        removed_at = removal_of(seen, reply.key)
        if removed_at is not None and reply.sent_at > removed_at + REVOKED_S:
            yield reply.identity, reply.key, reply.sent_at - removed_at


def removal_of(seen, key):
    """Return when a key's removal was first acknowledged, or None."""
    with_key = [each.version for each in seen.documents if key in each.keys]
    newest = max(with_key, default=0)
    return min(
        (
            each.acknowledged_at
            for each in seen.documents
            if each.version > newest and each.acknowledged_at is not None
        ),
        default=None,
    )


@check("a key in force is let in")
def find_refused_keys(seen):
    """Find requests whose key had been in force long enough and was refused."""
    for reply in seen.replies:
        if reply.status != 401:
            continue
        since = [
            each.acknowledged_at
            for each in seen.documents
            if reply.key in each.keys and each.acknowledged_at is not None
        ]
        is_new = not since or min(since) > reply.sent_at - IN_FORCE_S
        newest = max(
            (each.version for each in seen.documents if reply.key in each.keys),
            default=0,
        )
        may_be_gone = any(
            each.version > newest and each.sent_at < reply.ended_at
            for each in seen.documents
        )
        if is_new or may_be_gone:
            continue
        if not seen.is_disturbed(
            reply.gateway, reply.sent_at - REVOKED_S, reply.ended_at, False
        ):
            yield reply.identity, reply.key, reply.gateway, reply.sent_at


@check("the server sees the workspace, not the key")
def find_shown_keys(seen):
    """Find runs to which a caller's key was passed on."""
    for record in seen.records:
        if record["event"] == "start" and record["has_key"]:
            yield record["id"], record["server"]


@check("an allotment is kept")
def find_overruns(seen):
    """Find windows in which a workspace's requests ran too often."""
    workspace, rate, burst, slack = seen.allotted
    if not rate:
        return
    times = sorted(
        record["at"]
        for record in seen.records
        if record["event"] == "start" and record["workspace"] == workspace
    )
    most = (rate * WINDOW_S + burst) * (1.0 + OVERRUN) + slack
    for place, at in enumerate(times):
        count = bisect.bisect_right(times, at + WINDOW_S) - place
        if count > most:
            yield workspace, at, count, most
            return


@check("a leaving server gets nothing more")
def find_late_work(seen):
    """Find runs that began too late after a server's leave was acknowledged."""
    leaving = {
        record["server"]: record["at"]
        for record in seen.records
        if record["event"] == "leaving"
    }
    gateways = {reply.identity: reply.gateway for reply in seen.replies}
    for record in seen.records:
        left_at = leaving.get(record["server"])
        if record["event"] != "start" or left_at is None:
            continue
        if record["at"] <= left_at + DRAIN_S:
            continue
        gateway = gateways.get(record["id"], "")
        if not seen.is_disturbed(gateway, left_at - 1.0, record["at"], False):
            yield record["id"], record["server"], record["at"] - left_at


@check("an acknowledged document stays")
def find_lost_documents(seen):
    """Find reads that show less than what was acknowledged before they were sent."""
    for read in seen.reads:
        newest = newest_acknowledged(seen, read.sent_at)
        if read.version < newest:
            yield read.sent_at, read.version, newest
    newest = newest_acknowledged(seen, float("inf"))
    if seen.final_version is None or seen.final_version < newest:
        yield "at the end", seen.final_version, newest


def newest_acknowledged(seen, before):
    """Return the newest version that was acknowledged before a time."""
    return max(
        (
            each.version
            for each in seen.documents
            if each.acknowledged_at is not None and each.acknowledged_at < before
        ),
        default=0,
    )


@check("all is well soon after the faults")
def find_no_recovery(seen):
    """Find too few successes after the last fault."""
    served = sum(reply.status == 200 and reply.is_complete for reply in seen.final)
    if served < RECOVERED_PART * len(seen.final):
        yield served, len(seen.final)
