"""Checks of a soak run, based on what callers, operators and backend servers observed.

Every check is a function that takes `Observations` and yields the details of each
violation of one guarantee. The decorator `check` registers it under the name of the
guarantee. No check reads the system's own logs.

A run of a request is one execution of it by a backend server, as its journal states.
"""

import bisect
import collections
import dataclasses
import re

# The users' bounds, in seconds: until a removed key is refused, until a document is in
# force, until a leaving server gets no more requests, and how long an earlier run of a
# stream may go on after a resumed run has started.
KEY_REMOVAL_LIMIT_S = 5.0
DOCUMENT_IN_FORCE_LIMIT_S = 3.0
DRAIN_LIMIT_S = 3.0
# The users' bound on a request that crosses the close of its connection, and the time
# to connect and to write it on a busy machine.
CROSSING_LIMIT_S = 0.2 + 0.3
MAX_OVERLAP_S = 0.4
ALLOTMENT_WINDOW_S = 8.0
ALLOTMENT_TOLERANCE_FRACTION = 0.1
# Statuses which state that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# By route; the routes are those of `fleetcalls.ROUTES`.
MAX_RUNS_PER_REQUEST = {"look": 2, "act": 1, "talk": 1, "tale": 2}
STREAM_ROUTES = ("talk", "tale")
# The fraction of calls that must succeed once all faults are over.
MIN_RECOVERED_FRACTION = 0.9
# The users' bound after a loss of everything: a quarter of what is sent later than this
# after the return is served. Ours is `MIN_RECOVERED_FRACTION` after a shorter time.
RECOVERY_LIMIT_S = 12.0
USERS_RECOVERED_FRACTION = 0.25
OWN_RECOVERY_LIMIT_S = 5.0
# The users' bounds on a request that ends its servers: it may reach servers in this
# many retries sent later than this time after it has ended this many.
MAX_SERVERS_ENDED = 3
HOLD_BACK_LIMIT_S = 4.0
MAX_LATE_RETRIES = 3
# The users' bound on proper requests that are refused: a number, and a fraction of all.
MAX_WRONG_REFUSALS = 5
MAX_WRONG_REFUSAL_FRACTION = 1 / 500
# The memory of the users' smallest host.
MAX_GATEWAY_MEMORY_MB = 150
# The codes of refusals of requests that are held to end their servers.
SUSPECT_CODES = (b'"suspect_request"', b'"suspect_part"')
# A server that a request ended is back and known again within this time: its silence,
# the delay of its start and the time in which it is announced.
SERVER_RETURN_S = 12.0
# Hosts that had a fault within this time are left out of checks that need contact.
CONTACT_LIMIT_S = 4.0
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+)/(\d+) (\S+)\n\n")
# Endless answers of the fake servers have blocks of these, which are part of a stream.
COMMENTS_PATTERN = re.compile(rb"^(?:: x\n)+\n", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class SentDocument:
    """A document that an operator sent, with the keys that it contains.

    Times are in seconds since the epoch. `acknowledged_at` is None until a control host
    has acknowledged the document. `routes` are the services of its changing routes, by
    name. Two operators may send unlike documents with one version.
    """

    version: int
    keys: frozenset
    sent_at: float
    acknowledged_at: float | None
    routes: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Read:
    """A document that an operator read; `sent_at` is when it sent the read.

    `routes` are the names of its changing routes.
    """

    sent_at: float
    version: int
    routes: frozenset = frozenset()


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of one process, and the interval in which it may have effects.

    `interrupts_requests` is whether the process may break off requests in progress.
    """

    name: str
    begin_at: float
    end_at: float
    interrupts_requests: bool = True


@dataclasses.dataclass
class Observations:
    """Everything that was observed in a run.

    `replies` are `fleetcalls.Reply`s, `final_replies` those among them that came after
    all faults. `records` are dicts from the journals of the backend servers,
    `documents` are `SentDocument`s, `reads` are `Read`s and `faults` are `Fault`s.
    `allotment` is (workspace, requests per second, burst, slack). `final_version` is
    the document version that was read after all faults, or None. `peak_memory_mb` is
    the largest memory of each gateway's last process. `probes` are `soakroutes.Probe`s,
    `refused_documents` are `soakroutes.RefusedDocument`s. `returns` are pairs of when
    all processes ran again after a loss of everything, and when faults may come again.
    `foreign_reports` are (time, status, text) of another writer's reports, `phantoms`
    are `soakforeign.Phantom`s, and `internal_errors` (process, line) of logs.
    """

    replies: list = dataclasses.field(default_factory=list)
    final_replies: list = dataclasses.field(default_factory=list)
    records: list = dataclasses.field(default_factory=list)
    documents: list = dataclasses.field(default_factory=list)
    reads: list = dataclasses.field(default_factory=list)
    faults: list = dataclasses.field(default_factory=list)
    allotment: tuple = ("", 0.0, 0.0, 0.0)
    peak_memory_mb: dict = dataclasses.field(default_factory=dict)
    final_version: int | None = None
    probes: list = dataclasses.field(default_factory=list)
    refused_documents: list = dataclasses.field(default_factory=list)
    returns: list = dataclasses.field(default_factory=list)
    foreign_reports: list = dataclasses.field(default_factory=list)
    phantoms: list = dataclasses.field(default_factory=list)
    internal_errors: list = dataclasses.field(default_factory=list)

    def starts_by_request(self):
        """Return the start records of runs by request, each list ordered by time."""
        starts = collections.defaultdict(list)
        for record in sorted(self.records, key=lambda each: each["at"]):
            if record["event"] == "start":
                starts[record["id"]].append(record)
        return starts

    def ends_by_run(self):
        """Return the end record of each run, by (request, server)."""
        return {
            (record["id"], record["server"]): record
            for record in self.records
            if record["event"] == "end"
        }

    def had_fault(self, name, begin_at, end_at, only_interrupting=True):
        """Return whether a process had a fault at any time within an interval.

        With `only_interrupting`, only faults that may break off requests count.
        """
        return any(
            fault.name == name
            and fault.begin_at < end_at
            and fault.end_at > begin_at
            and (fault.interrupts_requests or not only_interrupting)
            for fault in self.faults
        )


def find_server_ends(records):
    """Return a `Fault` for each end of a server that a request has caused."""
    return [
        Fault(
            f"server-{record['server'].split('-')[1]}",
            record["at"],
            record["at"] + SERVER_RETURN_S,
        )
        for record in records
        if record["event"] == "ended"
    ]


CHECKS = {}


def check(guarantee):
    """Return a decorator that registers a function as the check of a guarantee."""

    def register(function):
        CHECKS[guarantee] = function
        return function

    return register


def find_violations(observations):
    """Return (guarantee, details) pairs of all violations."""
    return [
        (guarantee, details)
        for guarantee, function in CHECKS.items()
        for details in function(observations)
    ]


@check("nothing runs more often than it may")
def find_excess_runs(observations):
    """Find requests that were run more often than their route allows."""
    starts = observations.starts_by_request()
    for reply in observations.replies:
        ran = starts.get(reply.identity, ())
        if len(ran) > MAX_RUNS_PER_REQUEST[reply.route]:
            yield reply.identity, reply.route, [each["at"] for each in ran]


@check("a stream goes on only where it is not running")
def find_overlapping_runs(observations):
    """Find resumed streams whose earlier run continued beside the later one.

    Runs whose server, or the connection to it, had a fault are skipped.
    """
    starts, ends = observations.starts_by_request(), observations.ends_by_run()
    for reply in observations.replies:
        ran = starts.get(reply.identity, ())
        for earlier, later in zip(ran, ran[1:], strict=False):
            if reply.route not in STREAM_ROUTES:
                continue
            end = ends.get((reply.identity, earlier["server"]))
            if end is None or server_had_fault(observations, earlier, end["at"]):
                continue
            if end["at"] > later["at"] + MAX_OVERLAP_S:
                yield reply.identity, earlier["at"], later["at"], end["at"]


def server_had_fault(observations, record, end_at):
    """Return whether a run's server, or the connection to it, had a fault."""
    name = f"server-{record['server'].split('-')[1]}"
    return observations.had_fault(name, record["at"] - 1.0, end_at + 1.0, False)


@check("a refusal is true")
def find_false_refusals(observations):
    """Find requests that ran although the status stated that they never would."""
    starts = observations.starts_by_request()
    for reply in observations.replies:
        if reply.status in NOT_RUN_STATUSES and starts.get(reply.identity):
            yield reply.identity, reply.status, reply.ended_at


@check("a refusal says when to come back")
def find_refusals_without_retry_after(observations):
    """Find refusals with status 429 or 503 that have no Retry-After header."""
    for reply in observations.replies:
        if reply.status in (429, 503) and reply.is_complete and not reply.retry_after:
            yield reply.identity, reply.status, reply.sent_at


@check("an answer belongs to its request")
def find_foreign_answers(observations):
    """Find plain answers that belong to another request."""
    for reply in observations.replies:
        if reply.route in STREAM_ROUTES or reply.status != 200 or not reply.is_complete:
            continue
        if not reply.body.startswith(f"{reply.identity} done by ".encode()):
            yield reply.identity, reply.body[:80]


@check("events come once, in order, to the last")
def find_broken_streams(observations):
    """Find streams with missing, repeated or foreign events or a premature end."""
    for reply in observations.replies:
        if reply.route not in STREAM_ROUTES or reply.status != 200:
            continue
        event_matches = EVENT_PATTERN.findall(reply.body)
        numbers = [int(number) for number, *_ in event_matches]
        last = reply.after + len(numbers)
        if numbers != list(range(reply.after + 1, last + 1)):
            yield reply.identity, "order", reply.after, numbers
        if any(
            identity != reply.identity.encode() for _, identity, *_ in event_matches
        ):
            yield reply.identity, "foreign", event_matches[:3]
        if reply.is_complete and last != reply.events:
            yield reply.identity, "end", last, reply.events


@check("a stream holds nothing but its events")
def find_strays_in_streams(observations):
    """Find streams with bytes of another answer within them, or in place of a chunk."""
    for reply in observations.replies:
        if reply.route not in STREAM_ROUTES or reply.status != 200:
            continue
        body = COMMENTS_PATTERN.sub(b"", EVENT_PATTERN.sub(b"", reply.body))
        rest = reply.stray + body
        if rest:
            yield reply.identity, rest[:80]


@check("what was read is answered")
def find_lost_requests(observations):
    """Find requests without a complete answer from a gateway that had no fault.

    A gateway that was asked to stop may drop a request that has not been run within
    the users' bound: it may have crossed the close of its connection. A stream counts
    as lost only if its server completed it and neither the server nor the connection to
    it had a fault.
    """
    starts, ends = observations.starts_by_request(), observations.ends_by_run()
    for reply in observations.replies:
        if reply.is_complete or not reply.is_sent or reply.has_left:
            continue
        interval = reply.sent_at - 1.0, reply.ended_at
        if observations.had_fault(reply.gateway, *interval):
            continue
        ran = starts.get(reply.identity, ())
        is_stopping = observations.had_fault(reply.gateway, *interval, False)
        waited_s = reply.ended_at - reply.sent_at
        if is_stopping and not ran and waited_s <= CROSSING_LIMIT_S:
            continue
        if reply.route not in STREAM_ROUTES or reply.status != 200:
            yield reply.identity, reply.route, reply.gateway, reply.sent_at
            continue
        end = ends.get((reply.identity, ran[-1]["server"])) if ran else None
        if end is None or server_had_fault(observations, ran[-1], end["at"]):
            continue
        if end["whole"]:
            yield reply.identity, "ended well at its server", reply.gateway


@check("a removed key is dead")
def find_runs_with_removed_keys(observations):
    """Find runs of requests sent later than the limit after their key was removed."""
    starts = observations.starts_by_request()
    for reply in observations.replies:
        if not starts.get(reply.identity):
            continue
        removed_at = removal_acknowledged_at(observations, reply.key)
        if removed_at is not None and reply.sent_at > removed_at + KEY_REMOVAL_LIMIT_S:
            yield reply.identity, reply.key, reply.sent_at - removed_at


def removal_acknowledged_at(observations, key):
    """Return when a key's removal was first acknowledged, or None."""
    versions_with_key = [
        each.version for each in observations.documents if key in each.keys
    ]
    newest = max(versions_with_key, default=0)
    return min(
        (
            each.acknowledged_at
            for each in observations.documents
            if each.version > newest and each.acknowledged_at is not None
        ),
        default=None,
    )


@check("a key in force is let in")
def find_wrongly_refused_keys(observations):
    """Find requests refused with 401 although their key had long been in force.

    Skipped are keys that became valid too recently or may have been removed, and
    gateways that had a fault.
    """
    for reply in observations.replies:
        if reply.status != 401:
            continue
        acknowledged_times = [
            each.acknowledged_at
            for each in observations.documents
            if reply.key in each.keys and each.acknowledged_at is not None
        ]
        is_recent = (
            not acknowledged_times
            or min(acknowledged_times) > reply.sent_at - DOCUMENT_IN_FORCE_LIMIT_S
        )
        newest = max(
            (each.version for each in observations.documents if reply.key in each.keys),
            default=0,
        )
        may_be_removed = any(
            each.version > newest and each.sent_at < reply.ended_at
            for each in observations.documents
        )
        if is_recent or may_be_removed:
            continue
        if not observations.had_fault(
            reply.gateway, reply.sent_at - KEY_REMOVAL_LIMIT_S, reply.ended_at, False
        ):
            yield reply.identity, reply.key, reply.gateway, reply.sent_at


@check("the server sees the workspace, not the key")
def find_forwarded_keys(observations):
    """Find runs whose server received the caller's key."""
    for record in observations.records:
        if record["event"] == "start" and record["has_key"]:
            yield record["id"], record["server"]


@check("an allotment is kept")
def find_allotment_overruns(observations):
    """Find the first window in which a workspace's runs exceeded its allotment.

    Within `ALLOTMENT_WINDOW_S` the rate allows rate * window + burst runs. The fraction
    `ALLOTMENT_TOLERANCE_FRACTION` of that, and the slack, are tolerated beyond it.
    """
    workspace, rate, burst, slack = observations.allotment
    if not rate:
        return
    times = sorted(
        record["at"]
        for record in observations.records
        if record["event"] == "start" and record["workspace"] == workspace
    )
    max_count = (rate * ALLOTMENT_WINDOW_S + burst) * (
        1.0 + ALLOTMENT_TOLERANCE_FRACTION
    ) + slack
    for index, at in enumerate(times):
        count = bisect.bisect_right(times, at + ALLOTMENT_WINDOW_S) - index
        if count > max_count:
            yield workspace, at, count, max_count
            return


@check("a leaving server gets nothing more")
def find_runs_after_leave(observations):
    """Find runs that began later than the limit after a server recorded that it drains.

    A server writes the record "leaving" once a control host has acknowledged that it
    drains, or after having announced this for its drain period.
    """
    leaving = {
        record["server"]: record["at"]
        for record in observations.records
        if record["event"] == "leaving"
    }
    gateways = {reply.identity: reply.gateway for reply in observations.replies}
    for record in observations.records:
        left_at = leaving.get(record["server"])
        if record["event"] != "start" or left_at is None:
            continue
        if record["at"] <= left_at + DRAIN_LIMIT_S:
            continue
        gateway = gateways.get(record["id"], "")
        if not observations.had_fault(gateway, left_at - 1.0, record["at"], False):
            yield record["id"], record["server"], record["at"] - left_at


@check("an acknowledged document stays")
def find_lost_documents(observations):
    """Find reads of a version older than one acknowledged before the read was sent."""
    for read in observations.reads:
        newest = newest_acknowledged_version(observations, read.sent_at)
        if read.version < newest:
            yield read.sent_at, read.version, newest
    newest = newest_acknowledged_version(observations, float("inf"))
    if observations.final_version is None or observations.final_version < newest:
        yield "at the end", observations.final_version, newest


def newest_acknowledged_version(observations, before):
    """Return the newest version that was acknowledged before a time."""
    return max(
        (
            each.version
            for each in observations.documents
            if each.acknowledged_at is not None and each.acknowledged_at < before
        ),
        default=0,
    )


@check("all is well soon after the faults")
def find_failed_recovery(observations):
    """Find a run in which too few calls succeeded after the last fault."""
    served = sum(
        reply.status == 200 and reply.is_complete
        for reply in observations.final_replies
    )
    if served < MIN_RECOVERED_FRACTION * len(observations.final_replies):
        yield served, len(observations.final_replies)


@check("a gateway's memory is bounded")
def find_large_gateways(observations):
    """Find gateways that needed more memory than the users' smallest host has."""
    for name, peak_mb in observations.peak_memory_mb.items():
        if peak_mb > MAX_GATEWAY_MEMORY_MB:
            yield name, peak_mb


@check("a request that ends its servers is held back")
def find_repeats_of_fatal_requests(observations):
    """Find requests that were sent on although they had ended several servers.

    Retries sent by gateways that had a fault shortly before are not counted: the users'
    rule leaves out hosts that were disturbed within the same limit.
    """
    gateways = {reply.identity: reply.gateway for reply in observations.replies}
    names = {reply.identity: reply.fatal for reply in observations.replies}
    ends, starts = collections.defaultdict(list), collections.defaultdict(list)
    for record in sorted(observations.records, key=lambda each: each["at"]):
        if names.get(record["id"] if "id" in record else ""):
            events = {"ended": ends, "start": starts}.get(record["event"])
            if events is not None:
                events[names[record["id"]]].append(record)
    for name, ended in ends.items():
        if len(ended) < MAX_SERVERS_ENDED:
            continue
        limit_at = ended[MAX_SERVERS_ENDED - 1]["at"] + HOLD_BACK_LIMIT_S
        late = [
            record["at"] - limit_at
            for record in starts[name]
            if record["at"] > limit_at
            and not observations.had_fault(
                gateways[record["id"]],
                record["at"] - HOLD_BACK_LIMIT_S,
                record["at"],
                False,
            )
        ]
        if len(late) > MAX_LATE_RETRIES:
            yield name, len(ended), [round(each, 1) for each in late]


def find_wrong_refusals(observations):
    """Return the requests that were refused as suspect although they end no server."""
    return [
        reply
        for reply in observations.replies
        if any(code in reply.body for code in SUSPECT_CODES)
        and not (reply.fatal or reply.fatal_part)
    ]


@check("other requests are not held back")
def find_excess_wrong_refusals(observations):
    """Find a run in which too many harmless requests were refused as suspect."""
    wrong = find_wrong_refusals(observations)
    allowed = MAX_WRONG_REFUSALS + MAX_WRONG_REFUSAL_FRACTION * len(
        observations.replies
    )
    if len(wrong) > allowed:
        yield len(wrong), [(each.identity, each.route) for each in wrong[:5]]
