"""Plain immutable records of the domain.

The other modules exchange these records. They are immutable, have no behaviour
beyond simple derived values, and do not depend on sockets, files or codecs. Times
are in milliseconds unless a name says otherwise. Tier 1 is the highest tier; a
larger number is a lower tier.
"""

import dataclasses
import enum


class ServiceKind(enum.StrEnum):
    """The two kinds of backend service."""

    MODEL = "model"
    PLAIN = "plain"


class RunStatus(enum.StrEnum):
    """Whether a request that was not answered is known to have run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Target:
    """The service level target of a class of work.

    `fraction` (0 to 1) of the requests must be answered completely within
    `within_ms`. Their first token must arrive within `first_token_within_ms`
    if that is not 0.
    """

    fraction: float
    within_ms: int
    first_token_within_ms: int = 0


@dataclasses.dataclass(frozen=True)
class WorkClass:
    """A class of work, defined by an operator."""

    name: str
    service: str
    tier: int
    idempotent: bool
    target: Target


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that backend servers offer.

    `checks_fencing` says whether its backend servers refuse an order that
    carries an outdated fencing number.
    """

    name: str
    kind: str
    models: tuple[str, ...] = ()
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer that sends requests to the services."""

    name: str


@dataclasses.dataclass(frozen=True)
class Config:
    """The current configuration, as one immutable value."""

    version: int = 0
    services: tuple[Service, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    workspaces: tuple[Workspace, ...] = ()

    def find_class(self, name):
        """Return the class of work named `name`, or None."""
        return find_by_name(self.classes, name)

    def find_service(self, name):
        """Return the service named `name`, or None."""
        return find_by_name(self.services, name)

    def find_workspace(self, name):
        """Return the workspace named `name`, or None."""
        return find_by_name(self.workspaces, name)


def find_by_name(items, name):
    """Return the first of `items` whose `name` matches, or None."""
    for item in items:
        if item.name == name:
            return item
    return None


@dataclasses.dataclass(frozen=True)
class Member:
    """A process of the system, as recorded in the membership.

    `incarnation` increases each time the process starts, so that a message for
    an earlier start of the process can be refused. `epoch` increases each time
    the process attaches to a control host, so that a late report that an earlier
    attachment was lost does not remove the member.
    """

    name: str
    incarnation: int
    roles: tuple[str, ...]
    address: str
    region: str
    data_centre: str
    service: str = ""
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class Server:
    """A backend server, as it announced itself to its agent.

    `slots` is the number of requests that it can run concurrently without
    degraded performance. A server that is `leaving` accepts no new requests.
    """

    service: str
    kind: str
    url: str
    models: tuple[str, ...] = ()
    slots: int = 1
    leaving: bool = False


class ExecutionState(enum.StrEnum):
    """The states of an execution record.

    `received`: no dispatch is bound. `dispatched`: a dispatch is bound and may run.
    `answered`: the bound dispatch was answered. `unknown`: it cannot be determined
    whether the bound dispatch ran.
    """

    RECEIVED = "received"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """The only permitted dispatch of a request to an agent."""

    dispatch_id: str
    agent: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer of a plain service."""

    status: int
    headers: tuple[str, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Execution:
    """The execution record of a request of a non-idempotent class.

    The pair of `workspace` and `key` identifies it. `digest` is the hash of the
    request, so that reuse of the key for a different request is detected.
    `answer_kept` is false when the record does not hold the answer: its retention
    period is over, or it was too large to keep.
    """

    workspace: str
    key: str
    digest: bytes
    state: str
    updated_ms: int
    dispatch: Dispatch | None = None
    answer: Answer | None = None
    answer_kept: bool = True


@dataclasses.dataclass(frozen=True)
class Work:
    """A caller's request, classified and ready for scheduling.

    `request_id` identifies one attempt to run the request: the request's number, a
    dot and the number of the attempt. Offers and the dispatch of the attempt have the
    same id. `tier` and `idempotent` are those of its class at the time of arrival.
    `deadline_ms` is for the complete answer and `first_deadline_ms` for its first
    token (0 for none); both are on the clock of the entry. `prefix` holds the
    hashes of the leading blocks of the prompt, the longest last. `output_tokens`
    is the expected number of output tokens.
    """

    request_id: str
    service: str
    class_name: str
    workspace: str
    tier: int
    idempotent: bool
    arrived_ms: int
    deadline_ms: int
    first_deadline_ms: int = 0
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: tuple[int, ...] = ()
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A request that was running when backend servers crashed.

    `fingerprint` is the hash of its service and body. `servers` holds the names of
    the agents whose backend servers crashed while they ran it.
    """

    fingerprint: str
    servers: tuple[str, ...]
    updated_ms: int
