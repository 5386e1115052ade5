"""The messages between the processes of the system.

Each message is a frozen record. `MESSAGES` lists those that are sent in a session,
in the order of their numbers on the wire. A number is never reassigned to another
message, and a field never changes its position: new messages and fields are added
at the end. The schema `wire.capnp` is generated from these records.
"""

import dataclasses

from brasstrail.core import data

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True)
class Challenge:
    """The listener's first message: the nonce that the dialer must sign."""

    version: int
    nonce: bytes


@dataclasses.dataclass(frozen=True)
class Hello:
    """The dialer's reply: its identity and the session that it resumes."""

    version: int
    cluster: str
    name: str
    incarnation: int
    session_id: str
    received: int
    nonce: bytes
    proof: bytes
    region: str = ""
    data_centre: str = ""


@dataclasses.dataclass(frozen=True)
class Welcome:
    """The listener's second message.

    `resumed` is false if the listener does not have the session; all messages in
    flight are then lost.
    """

    name: str
    incarnation: int
    received: int
    resumed: bool
    proof: bytes
    region: str = ""
    data_centre: str = ""


@dataclasses.dataclass(frozen=True)
class Offer:
    """A request that waits at an entry, offered to an agent.

    `slack_ms` is the remaining time until the request's deadline. `prefix` holds the
    hashes of the prompt's leading blocks.
    """

    offer_id: str
    service: str
    model: str
    workspace: str
    tier: int
    slack_ms: int
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...] = ()
    suspect: bool = False


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Withdraw an offer."""

    offer_id: str


@dataclasses.dataclass(frozen=True)
class Grant:
    """The agent has capacity for the offered request and reserves it.

    The reservation lasts for the setting `agent.grant_hold_ms`.
    """

    offer_id: str


@dataclasses.dataclass(frozen=True)
class Decline:
    """The agent rejects the offered request."""

    offer_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Start:
    """Run this request, in this incarnation of the agent only.

    `window` is the number of bytes that the agent may send before it receives
    credit. `resume_text` is the text that the caller has already received of a
    stream that moved to this agent. `key` is set for requests whose answer must be
    recorded before it is sent. `fingerprint` identifies the request if a crash of
    the backend server while it runs is to be recorded as a suspicion; otherwise it
    is empty. `pushed` is true if a policy sent the request without a grant.
    """

    dispatch_id: str
    incarnation: int
    work: data.Work
    slack_ms: int
    method: str
    path: str
    headers: tuple[str, ...]
    body: bytes
    window: int
    key: str = ""
    resume_text: str = ""
    fingerprint: str = ""
    pushed: bool = False


@dataclasses.dataclass(frozen=True)
class Credit:
    """The caller has consumed `amount` more bytes of the stream."""

    dispatch_id: str
    amount: int


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Cancel a dispatch, because no caller waits for its answer any more."""

    dispatch_id: str


@dataclasses.dataclass(frozen=True)
class Revoke:
    """Never start this dispatch, unless it was started before.

    It applies only to the given incarnation of the agent.
    """

    dispatch_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Revoked:
    """The reply to `Revoke`; `started` is false if the dispatch will never run."""

    dispatch_id: str
    started: bool


@dataclasses.dataclass(frozen=True)
class Head:
    """The status and the headers of the answer."""

    dispatch_id: str
    status: int
    headers: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Part:
    """A part of the answer's body; `tokens` is the number of tokens in it."""

    dispatch_id: str
    payload: bytes
    tokens: int


@dataclasses.dataclass(frozen=True)
class Done:
    """The answer is complete."""

    dispatch_id: str
    cached_tokens: int
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class Fault:
    """The request ended without a complete answer; `ran` is a `data.RunStatus`.

    `has_crashed` says that the server broke off while it ran the request.
    """

    dispatch_id: str
    code: str
    message: str
    remedy: str
    ran: str
    has_crashed: bool = False


@dataclasses.dataclass(frozen=True)
class ServerState:
    """The state of a backend server, reported by its agent.

    Rates are in tokens per second, learned from the agent's measurements.
    `waiting` is the number of open offers. `health` is the ratio of the present
    decode rate to the learned one. `prefill_peak` (tokens per second) and
    `least_token_ms` (milliseconds per output token) are the speed of the server
    while it runs a single request. `prefixes` are the cached blocks that were not
    reported before; a new `cache_generation` means that the cache was lost.
    """

    agent: str
    incarnation: int
    service: str
    kind: str
    models: tuple[str, ...]
    slots: int
    running: int
    waiting: int
    prefill_backlog: int
    prefill_rate: float
    decode_rate: float
    health: float
    leaving: bool
    prefixes: tuple[int, ...] = ()
    prefill_peak: float = 0.0
    least_token_ms: float = 0.0
    cache_generation: int = 0


@dataclasses.dataclass(frozen=True)
class Follow:
    """An entry subscribes to the `ServerState` of an agent."""

    entry: str


@dataclasses.dataclass(frozen=True)
class RaiseFloor:
    """Start no request of a tier below `tier` for `lease_ms`."""

    floor_id: str
    service: str
    tier: int
    lease_ms: int


@dataclasses.dataclass(frozen=True)
class FloorHeld:
    """The agent confirms that it holds the floor."""

    floor_id: str
    agent: str


@dataclasses.dataclass(frozen=True)
class Join:
    """A member announces itself to a control host."""

    member: data.Member


@dataclasses.dataclass(frozen=True)
class Beat:
    """A member's heartbeat; its view is current up to the log index `index`."""

    index: int


@dataclasses.dataclass(frozen=True)
class Leave:
    """A member announces that it stops."""

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class ViewSnapshot:
    """The complete view of a member: configuration, members and suspicions."""

    cluster_id: str
    index: int
    config: data.Config
    members: tuple[data.Member, ...]
    suspicions: tuple[data.Suspicion, ...] = ()


@dataclasses.dataclass(frozen=True)
class ViewChanges:
    """The commands that update a view from the index `after` to `index`."""

    after: int
    index: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Stamp:
    """A leader's stamp, which increases only while a quorum answers the leader."""

    number: int
    index: int


@dataclasses.dataclass(frozen=True)
class Propose:
    """Ask the leader to append a command to the log."""

    proposal_id: str
    command: bytes


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of a proposal; `result` is an encoded result record."""

    proposal_id: str
    committed: bool
    result: bytes


@dataclasses.dataclass(frozen=True)
class Report:
    """A control host reports the members attached to it to the leader.

    `indexes` holds, in the order of `names`, the index up to which the view of
    each member is current.
    """

    names: tuple[str, ...]
    indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Read:
    """Ask the leader for the index up to which a host must have applied the log.

    The host serves the read after that.
    """

    read_id: str


@dataclasses.dataclass(frozen=True)
class ReadIndex:
    """The reply to `Read`; `index` is 0 if there is no confirmed leader.

    `members` is the number of members. `behind` names those that are known not to
    have reached `index`.
    """

    read_id: str
    index: int
    members: int
    behind: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Lookup:
    """Ask for an execution record, confirmed by the quorum.

    If `wait` is set and the execution is in progress, the reply is sent when the
    record changes, or after a time-out.
    """

    lookup_id: str
    workspace: str
    key: str
    wait: bool


@dataclasses.dataclass(frozen=True)
class Found:
    """The reply to `Lookup`; `confirmed` is false if no quorum answered."""

    lookup_id: str
    confirmed: bool
    record: data.Execution | None = None


@dataclasses.dataclass(frozen=True)
class Replica:
    """A replica of the log: its name and the identity of its disk."""

    name: str
    disk: str


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry of the replicated log; unrelated to the entry role.

    An entry with `voters` changes the set of replicas and has no command. With
    `outgoing`, the voters before the change, it takes a majority of both sets to
    decide, until an entry without them follows.
    """

    index: int
    term: int
    command: bytes
    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()
    outgoing: tuple[Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class VoteAsk:
    """A candidate's request for a vote; `trial` marks the pre-vote round."""

    sender: str
    term: int
    last_index: int
    last_term: int
    trial: bool


@dataclasses.dataclass(frozen=True)
class VoteReply:
    """The reply to `VoteAsk`."""

    sender: str
    term: int
    granted: bool
    trial: bool


@dataclasses.dataclass(frozen=True)
class Append:
    """The leader's log entries for a follower; without entries, a heartbeat.

    `round_id` is the number of the leader's round of messages; reads are
    confirmed by rounds. `stamp` increases only while a quorum answers the leader.
    `matches` holds the index that each replica has acknowledged, as
    "replica=index", and `match_terms` the term of each of these.
    """

    sender: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round_id: int
    stamp: int
    matches: tuple[str, ...] = ()
    match_terms: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class AppendReply:
    """The follower's reply; `match` is the last index that it has stored durably."""

    sender: str
    term: int
    success: bool
    match: int
    round_id: int


@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """A snapshot of the leader's state, for a follower that is too far behind."""

    sender: str
    term: int
    index: int
    index_term: int
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]
    state: bytes
    round_id: int
    outgoing: tuple[Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class ReplicaProbe:
    """A control host's probe of another one, sent until the sender may vote.

    `blank` is true if the sender's disk has no log yet.
    """

    replica: Replica
    cluster_id: str
    blank: bool


@dataclasses.dataclass(frozen=True)
class ProbeReply:
    """The reply to `ReplicaProbe`, with the identity of the replying host.

    `acknowledged` is the highest index that the replica `subject` is known to have
    acknowledged, and `acknowledged_term` its term. `founders` are the first voters of
    the replying host's cluster.
    """

    replica: Replica
    cluster_id: str
    blank: bool
    acknowledged: int
    founders: tuple[Replica, ...] = ()
    acknowledged_term: int = 0
    subject: str = ""


@dataclasses.dataclass(frozen=True)
class Watch:
    """A gateway's heartbeat to the control host that it subscribes to.

    `document_version` is the version of the gateway's document. `needs_directory`
    requests all known servers. `address` is the address at which other gateways
    reach this one. The control host first sends the data that the gateway lacks,
    and then replies with `Current`. `received_version` is the version of the newest
    document that has arrived and been read, whether or not it could be applied.
    """

    beat_id: int
    document_version: int
    needs_directory: bool
    address: str
    received_version: int = 0


@dataclasses.dataclass(frozen=True)
class Current:
    """Confirm a heartbeat: after it arrived, a quorum had no newer document."""

    beat_id: int
    document_version: int


@dataclasses.dataclass(frozen=True)
class Document:
    """A version of the operators' document, compressed."""

    version: int
    packed: bytes


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """A backend server in the directory of a control host or a gateway.

    The fields are those of `servers.Announcement`, with 0 for an unknown time.
    `age_ms` is the time since the announcement was received.
    """

    identity: str
    service: str
    address: str
    data_centre: str
    phase: str
    born_ms: int
    sequence: int
    slots: int
    cold_ms: float
    age_ms: int = 0
    version: str = ""
    ended_by_ms: int = 0
    is_contested: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceVersion:
    """A software that servers of a service have or had; it was seen `age_ms` ago."""

    service: str
    software: str
    age_ms: int


@dataclasses.dataclass(frozen=True)
class Directory:
    """The changes of the known servers.

    `complete` says that `records` holds all servers known to a control host that
    has received announcements for long enough; other servers are unknown to it. A list
    of all servers also has the versions that the host has seen of each service, and
    `history_ms`, for how long it has missed none.
    """

    complete: bool
    records: tuple[ServerRecord, ...]
    history_ms: int = 0
    versions: tuple[ServiceVersion, ...] = ()


@dataclasses.dataclass(frozen=True)
class Gateways:
    """The live gateways, and the peer addresses of the control hosts."""

    names: tuple[str, ...]
    addresses: tuple[str, ...]
    control_addresses: tuple[str, ...]
    data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ServerShare:
    """The load that one gateway has placed on one backend server.

    `running` counts requests; the other numbers are their tokens.
    """

    identity: str
    running: int
    input_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class Spent:
    """The amount that a workspace spent at one gateway since the gateway started."""

    workspace: str
    amount: float


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """A backend server that ended, or broke off, while it ran a request.

    `content` is the digest of the request, and `born_ms` with `ordinal` identify the
    server's start. `age_ms` is how long ago the run ended, `duration_ms` how long it
    had lasted. `parts` are the `parts.shared_parts` of its prompt. The flags are those
    of `suspects.Evidence`, and `version` is that of the server's software.
    """

    content: str
    workspace: str
    server: str
    born_ms: int
    ordinal: int
    age_ms: int
    duration_ms: int
    is_confirmed: bool
    is_disproved: bool
    is_disproved_for_workspace: bool
    parts: tuple[int, ...] = ()
    is_withdrawn: bool = False
    completed_after: int = 0
    completed_before: int = 0
    version: str = ""


@dataclasses.dataclass(frozen=True)
class PartCompletion:
    """A request with a part of a prompt has completed, `age_ms` ago."""

    part: int
    age_ms: int


@dataclasses.dataclass(frozen=True)
class TrialQuestion:
    """Asks the gateway that coordinates the trials of a part for one."""

    part: int
    number: int


@dataclasses.dataclass(frozen=True)
class TrialAnswer:
    """The answer to a `TrialQuestion`."""

    number: int
    is_granted: bool


@dataclasses.dataclass(frozen=True)
class TrialEnd:
    """The request that was tried with a part has ended."""

    part: int
    number: int


@dataclasses.dataclass(frozen=True)
class Completion:
    """A server gave its whole answer to a content, `age_ms` ago.

    It is the last one of a workspace, or of all workspaces if `is_of_all` is set, at
    servers whose software has the `version`.
    """

    content: str
    workspace: str
    is_of_all: bool
    age_ms: int
    version: str = ""


@dataclasses.dataclass(frozen=True)
class CrashHistory:
    """What a gateway tells one that has just started of crashes and completions."""

    crashes: tuple[CrashReport, ...]
    completions: tuple[Completion, ...]
    parts: tuple[PartCompletion, ...] = ()


@dataclasses.dataclass(frozen=True)
class ServerLimit:
    """The limit that a start of a backend server named in an answer.

    It is in requests a second, and void unless `is_named`. The request of the answer
    was sent, and its head was received, some time ago.
    """

    identity: str
    born_ms: int
    is_named: bool
    per_s: float
    sent_ms_ago: int
    received_ms_ago: int


@dataclasses.dataclass(frozen=True)
class PermitQuestion:
    """Asks for a permit to send a request to a limited server.

    `tier` and `route_tier` are the rank of the request that wants it.
    """

    limit: ServerLimit
    number: int
    tier: int
    route_tier: int


@dataclasses.dataclass(frozen=True)
class PermitGrant:
    """Grants the permit that a `PermitQuestion` asked for.

    `granted_per_s` is the rate at which permits of the server are granted.
    """

    identity: str
    born_ms: int
    number: int
    granted_per_s: float


@dataclasses.dataclass(frozen=True)
class PermitReturn:
    """Gives a permit back that was not used."""

    identity: str
    born_ms: int


@dataclasses.dataclass(frozen=True)
class ServerDeparture:
    """A start of a backend server that has said in an answer that it leaves."""

    identity: str
    born_ms: int
    heard_ms_ago: int


@dataclasses.dataclass(frozen=True)
class GatewayState:
    """The state that a gateway sends to other gateways, in one datagram.

    `number` is the sequence number of the datagram. `spent` and `crashes` are empty if
    they were sent shortly before.

    The load and the spending are in the records `shares` and `spent` or, if all other
    gateways read that, in columns, which are decoded in a fraction of the time: the
    four from `identities` on have a row for each server, the next two one for each
    workspace. `reads_columns` tells that the sender reads columns.

    If it `tells_levels`, the next two columns hold what is left of the allotments that
    are not full, and the spending is told, too.

    The columns from `report_identities` on have a row for each load report that the
    sender has read in an answer within a second: the server and its start, its running
    and waiting requests and its slots, its host factor in percent, and how old the
    report is. They are sent to gateways that read columns only.

    If it `tells_waits`, the columns from `wait_services` on have a row for each rank of
    a service, at most `waits.MAX_ROWS`: a `waits.Row`, whose demand is in `wait_places`
    and `wait_prefill`.
    """

    name: str
    incarnation: int
    number: int
    shares: tuple[ServerShare, ...]
    spent: tuple[Spent, ...]
    crashes: tuple[CrashReport, ...] = ()
    limits: tuple[ServerLimit, ...] = ()
    departures: tuple[ServerDeparture, ...] = ()
    reads_columns: bool = False
    identities: tuple[str, ...] = ()
    running: tuple[int, ...] = ()
    input_tokens: tuple[int, ...] = ()
    output_tokens: tuple[int, ...] = ()
    workspaces: tuple[str, ...] = ()
    amounts: tuple[float, ...] = ()
    tells_levels: bool = False
    level_workspaces: tuple[str, ...] = ()
    levels: tuple[float, ...] = ()
    report_identities: tuple[str, ...] = ()
    report_born_ms: tuple[int, ...] = ()
    report_running: tuple[int, ...] = ()
    report_waiting: tuple[int, ...] = ()
    report_slots: tuple[int, ...] = ()
    report_host_percents: tuple[int, ...] = ()
    report_ages_ms: tuple[int, ...] = ()
    tells_waits: bool = False
    wait_services: tuple[str, ...] = ()
    wait_tiers: tuple[int, ...] = ()
    wait_route_tiers: tuple[int, ...] = ()
    wait_queued: tuple[int, ...] = ()
    wait_running: tuple[int, ...] = ()
    wait_places: tuple[float, ...] = ()
    wait_prefill: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began; the fields are those of `origins.Origin`.

    `key` is `origins.stream_key`. `age_ms` is how long ago the stream began, `left_ms`
    how much longer it may be taken up.
    """

    key: str
    workspace: str
    service: str
    software: str
    age_ms: int
    left_ms: int


@dataclasses.dataclass(frozen=True)
class StreamOrigins:
    """Origins that a gateway tells another one, which is to hold them."""

    origins: tuple[StreamOrigin, ...]


@dataclasses.dataclass(frozen=True)
class OriginQuestion:
    """A gateway asks where a stream began; `number` identifies the question."""

    number: int
    key: str


@dataclasses.dataclass(frozen=True)
class OriginAnswer:
    """The answer to a question: the origin, or none if the gateway does not know it."""

    number: int
    origins: tuple[StreamOrigin, ...]


@dataclasses.dataclass(frozen=True)
class Rollout:
    """The latest roll-out of a service, as it is stored and sent to gateways.

    Times are those of the leader's wall clock, in milliseconds. `state` is a
    `rolloutstates.RolloutState`. `share` is the part of the requests that the version
    `to` may get; it is 1.0 once all new requests go to it. `reason` states why the last
    step was made. `base_version` is the version that an earlier roll-out completed at
    `base_ms`, and `reverted` are the versions that earlier ones have reverted.
    `index` is the log entry of the last change.
    """

    service: str
    to: str
    duration_ms: int
    ordered_ms: int
    deadline_ms: int
    state: str
    stage: int
    share: float
    reason: str
    decided_ms: int
    base_version: str
    base_ms: int
    reverted: tuple[str, ...]
    index: int


@dataclasses.dataclass(frozen=True)
class Rollouts:
    """The roll-outs of all services after the log entry `index`."""

    index: int
    rollouts: tuple[Rollout, ...]


@dataclasses.dataclass(frozen=True)
class RolloutProgress:
    """How far a gateway is with an order, which `ordered_ms` identifies.

    `running_old` counts the requests that the gateway runs on servers of other versions
    than the new one, and `requests` all that have reached it for the service.
    """

    service: str
    ordered_ms: int
    running_old: int
    requests: int


@dataclasses.dataclass(frozen=True)
class RouteOutcomes:
    """What became of a route's requests at the new version, or at all others.

    All are counts since the gateway has known the order. `cuts` are the answers that
    broke off, and `failures` the other failures. `first_times` and `paces` are the
    histograms of `canaries.time_bucket`, of the time to the first answer and of the
    time for each later event: the number of each bucket that is not empty, and its
    count.
    """

    service: str
    route: str
    is_new: bool
    answers: int
    failures: int
    cuts: int
    first_times: tuple[int, ...]
    paces: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class RolloutOutcomes:
    """A gateway's outcomes of the roll-outs in progress, for the leader.

    The gateway applies the records of the log entry `index`.
    """

    gateway: str
    incarnation: int
    index: int
    progress: tuple[RolloutProgress, ...]
    routes: tuple[RouteOutcomes, ...]


MESSAGES = (
    Offer,
    Withdraw,
    Grant,
    Decline,
    Start,
    Credit,
    Cancel,
    Revoke,
    Revoked,
    Head,
    Part,
    Done,
    Fault,
    ServerState,
    RaiseFloor,
    FloorHeld,
    Join,
    Beat,
    Leave,
    ViewSnapshot,
    ViewChanges,
    Stamp,
    Propose,
    Outcome,
    Report,
    Read,
    ReadIndex,
    Lookup,
    Found,
    VoteAsk,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    ReplicaProbe,
    ProbeReply,
    Follow,
    Watch,
    Current,
    Document,
    Directory,
    Gateways,
    GatewayState,
    StreamOrigins,
    OriginQuestion,
    OriginAnswer,
    CrashHistory,
    TrialQuestion,
    TrialAnswer,
    TrialEnd,
    PermitQuestion,
    PermitGrant,
    PermitReturn,
    Rollouts,
    RolloutOutcomes,
)

HANDSHAKE_MESSAGES = (Challenge, Hello, Welcome)
