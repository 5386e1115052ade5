"""The messages that the system's processes send one another.

Each message is a frozen record; `MESSAGES` lists those that may travel in a
session, in the order of their numbers on the wire. A number is never given to
another message and a field is never moved: new ones are added at the end. The
schema `wire.capnp` is generated from these records.
"""

import dataclasses

from brasstrail.core import data

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True)
class Challenge:
    """First word of the listener: its nonce, which the dialer must sign."""

    version: int
    nonce: bytes


@dataclasses.dataclass(frozen=True)
class Hello:
    """Answer of the dialer: who it is and which session it resumes."""

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
    """Second word of the listener.

    `resumed` is false where the listener holds no such session, so that all
    that was under way in it is lost.
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

    `slack_ms` is the time left until the request's deadline.
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
    """The offer no longer stands."""

    offer_id: str


@dataclasses.dataclass(frozen=True)
class Grant:
    """The agent has room for the offered request and keeps it for a moment."""

    offer_id: str


@dataclasses.dataclass(frozen=True)
class Decline:
    """The agent will not take the offered request."""

    offer_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Start:
    """Run this request, in this incarnation of the agent only.

    `window` is the number of bytes that the agent may send before credit.
    `resume_text` is what a caller already holds of a moved stream. `key` is
    set for requests whose answer is to be recorded before it is sent.
    `fingerprint` names the request where it is to be suspected of a crash.
    `pushed` is set by policies that send a request without a grant.
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
    """The caller took `amount` bytes more of the stream."""

    dispatch_id: str
    amount: int


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Nobody waits for this answer any more."""

    dispatch_id: str


@dataclasses.dataclass(frozen=True)
class Revoke:
    """Never start this dispatch, if it has not been started.

    It says something only about the incarnation that it names.
    """

    dispatch_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Revoked:
    """Answer to `Revoke`; `started` is false where it will never be run."""

    dispatch_id: str
    started: bool


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of the answer."""

    dispatch_id: str
    status: int
    headers: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Part:
    """A piece of the answer's body; `tokens` counts the tokens in it."""

    dispatch_id: str
    payload: bytes
    tokens: int


@dataclasses.dataclass(frozen=True)
class Done:
    """The answer is whole."""

    dispatch_id: str
    cached_tokens: int
    prompt_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class Fault:
    """The request ended without a whole answer."""

    dispatch_id: str
    code: str
    message: str
    remedy: str
    ran: str


@dataclasses.dataclass(frozen=True)
class ServerState:
    """An agent's own account of its backend server.

    Rates are tokens a second, learned from what the agent saw. `waiting`
    counts offers that stand; `health` is the ratio of the present decode rate
    to the learned one. `prefill_peak` and `least_token_ms` are the speed of the
    server when a request has it to itself. `prefixes` are the cached blocks
    that are news; a new `cache_generation` means that the cache was lost.
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
    """An entry asks an agent for its `ServerState` from here on."""

    entry: str


@dataclasses.dataclass(frozen=True)
class RaiseFloor:
    """Start nothing of a tier below `tier` for `lease_ms`."""

    floor_id: str
    service: str
    tier: int
    lease_ms: int


@dataclasses.dataclass(frozen=True)
class FloorHeld:
    """The agent holds the floor."""

    floor_id: str
    agent: str


@dataclasses.dataclass(frozen=True)
class Join:
    """A member's announcement of itself to a control host."""

    member: data.Member


@dataclasses.dataclass(frozen=True)
class Beat:
    """A member's heartbeat: the index up to which its view is current."""

    index: int


@dataclasses.dataclass(frozen=True)
class Leave:
    """A member says that it stops."""

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class ViewSnapshot:
    """The whole view of a member: configuration, members, suspicions."""

    cluster_id: str
    index: int
    config: data.Config
    members: tuple[data.Member, ...]
    suspicions: tuple[data.Suspicion, ...] = ()


@dataclasses.dataclass(frozen=True)
class ViewChanges:
    """The commands that change the view from `after` up to `index`."""

    after: int
    index: int
    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True)
class Stamp:
    """A leader's stamp, which only rises while a quorum answers it."""

    number: int
    index: int


@dataclasses.dataclass(frozen=True)
class Propose:
    """Ask the leader to put a command into the log."""

    proposal_id: str
    command: bytes


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of a proposal: `result` is an encoded result record."""

    proposal_id: str
    committed: bool
    result: bytes


@dataclasses.dataclass(frozen=True)
class Report:
    """A control host's report to the leader of the members attached to it.

    The two tuples run side by side: names, and up to which index each is
    current.
    """

    names: tuple[str, ...]
    indexes: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Read:
    """Ask the leader for the index that a read must have reached."""

    read_id: str


@dataclasses.dataclass(frozen=True)
class ReadIndex:
    """The answer to `Read`; `index` is 0 where there is no confirmed leader.

    `behind` names the members that are known not to have reached `index`.
    """

    read_id: str
    index: int
    members: int
    behind: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Lookup:
    """Ask for an execution record, confirmed by the quorum.

    Where `wait` is set, a record that is under way is answered only when it
    has changed, or after a while.
    """

    lookup_id: str
    workspace: str
    key: str
    wait: bool


@dataclasses.dataclass(frozen=True)
class Found:
    """The answer to `Lookup`; `confirmed` is false where no quorum answered."""

    lookup_id: str
    confirmed: bool
    record: data.Execution | None = None


@dataclasses.dataclass(frozen=True)
class Replica:
    """A replica of the log: a name, and the identity of its disk."""

    name: str
    disk: str


@dataclasses.dataclass(frozen=True)
class Entry:
    """A record of the replicated log.

    Where `voters` is not empty the record changes who replicates the log and
    carries no command.
    """

    index: int
    term: int
    command: bytes
    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class VoteAsk:
    """A candidate asks for a vote; `trial` marks the round before the vote."""

    sender: str
    term: int
    last_index: int
    last_term: int
    trial: bool


@dataclasses.dataclass(frozen=True)
class VoteReply:
    """The answer to `VoteAsk`."""

    sender: str
    term: int
    granted: bool
    trial: bool


@dataclasses.dataclass(frozen=True)
class Append:
    """The leader's records for a follower; without records, a heartbeat.

    `round_id` numbers the leader's rounds, by which reads are confirmed.
    `stamp` rises only while a quorum answers the leader. `matches` tells, as
    "replica=index", what each replica has acknowledged.
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


@dataclasses.dataclass(frozen=True)
class AppendReply:
    """The follower's answer: `match` is the last index it holds durably."""

    sender: str
    term: int
    success: bool
    match: int
    round_id: int


@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """The leader's state machine, for a follower that is too far behind."""

    sender: str
    term: int
    index: int
    index_term: int
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...]
    state: bytes
    round_id: int


@dataclasses.dataclass(frozen=True)
class ReplicaProbe:
    """A control host shows itself to another, until it may vote.

    `blank` is true where its disk holds no log yet.
    """

    replica: Replica
    cluster_id: str
    blank: bool


@dataclasses.dataclass(frozen=True)
class ProbeReply:
    """The answer to `ReplicaProbe`, with the sender's own identity.

    `acknowledged` is the highest index that the prober is known to have
    acknowledged. `founders` are the first voters of the sender's cluster.
    """

    replica: Replica
    cluster_id: str
    blank: bool
    acknowledged: int
    founders: tuple[Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class Watch:
    """A gateway's beat to the control host that it follows.

    `document_version` is the document that it holds, `needs_directory` asks for
    all known servers. The answer is `Current`, with what the gateway lacks sent
    before it. `address` is where the other gateways reach this one.
    """

    beat_id: int
    document_version: int
    needs_directory: bool
    address: str


@dataclasses.dataclass(frozen=True)
class Current:
    """Confirms a beat: a quorum knew of no newer document after it arrived."""

    beat_id: int
    document_version: int


@dataclasses.dataclass(frozen=True)
class Document:
    """The operators' document of a version, compressed."""

    version: int
    packed: bytes


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """A backend server as control hosts and gateways know it."""

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


@dataclasses.dataclass(frozen=True)
class Directory:
    """What has changed of the known servers.

    `complete` says that servers which are not named here are not known to a
    control host that has listened for long enough.
    """

    complete: bool
    records: tuple[ServerRecord, ...]


@dataclasses.dataclass(frozen=True)
class Gateways:
    """The gateways that are alive, and the peer addresses of control hosts."""

    names: tuple[str, ...]
    addresses: tuple[str, ...]
    control_addresses: tuple[str, ...]
    data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ServerShare:
    """The work that one gateway has at one server."""

    identity: str
    running: int
    input_tokens: int
    output_tokens: int


@dataclasses.dataclass(frozen=True)
class Spent:
    """What a workspace has spent at one gateway since the gateway started."""

    workspace: str
    amount: float


@dataclasses.dataclass(frozen=True)
class GatewayState:
    """What a gateway tells the others, in one datagram.

    `spent` holds nothing where it was told shortly before.
    """

    name: str
    incarnation: int
    number: int
    shares: tuple[ServerShare, ...]
    spent: tuple[Spent, ...]


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
)

HANDSHAKE_MESSAGES = (Challenge, Hello, Welcome)
