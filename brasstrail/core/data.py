"""Plain immutable records of the domain.

Every other module speaks in these records. They hold no behaviour beyond
simple derived values, they never change after they are made, and they know
nothing of sockets, files or codecs. Times are milliseconds unless a name says
otherwise. Tier 1 is the highest tier; a larger number is a lower tier.
"""

import dataclasses
import enum


class ServiceKind(enum.StrEnum):
    """The two kinds of backend service."""

    MODEL = "model"
    PLAIN = "plain"


class RunStatus(enum.StrEnum):
    """What is known about the execution of a request that was not answered."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Target:
    """The outcome that a class of work must reach.

    `fraction` (0 to 1) of the requests must be answered whole within
    `within_ms`, and their first token must come within
    `first_token_within_ms` where that is not zero.
    """

    fraction: float
    within_ms: int
    first_token_within_ms: int = 0


@dataclasses.dataclass(frozen=True)
class WorkClass:
    """A class of work, stated by an operator."""

    name: str
    service: str
    tier: int
    idempotent: bool
    target: Target


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that backend servers offer.

    `checks_fencing` says whether its backend servers refuse an order whose
    fencing number is old.
    """

    name: str
    kind: str
    models: tuple[str, ...] = ()
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer of the services."""

    name: str


@dataclasses.dataclass(frozen=True)
class Config:
    """The configuration in force, as one immutable value."""

    version: int = 0
    services: tuple[Service, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    workspaces: tuple[Workspace, ...] = ()

    def find_class(self, name):
        """Return the class of work called `name`, or None."""
        return find_by_name(self.classes, name)

    def find_service(self, name):
        """Return the service called `name`, or None."""
        return find_by_name(self.services, name)

    def find_workspace(self, name):
        """Return the workspace called `name`, or None."""
        return find_by_name(self.workspaces, name)


def find_by_name(items, name):
    """Return the first of `items` whose `name` matches, or None."""
    for item in items:
        if item.name == name:
            return item
    return None


@dataclasses.dataclass(frozen=True)
class Member:
    """A process of the system, as the membership knows it.

    `incarnation` rises each time the process starts, so that a message meant
    for an earlier life of the process can be refused. `epoch` rises each time
    the process attaches to a control host, so that a late report of its loss
    does not remove it.
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
    """A backend server, as it announced itself to the agent beside it.

    `slots` is the number of requests that it runs well at once.
    """

    service: str
    kind: str
    url: str
    models: tuple[str, ...] = ()
    slots: int = 1
    leaving: bool = False


class ExecutionState(enum.StrEnum):
    """The states of an execution record."""

    RECEIVED = "received"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """The one permitted dispatch of a request to an agent."""

    dispatch_id: str
    agent: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Answer:
    """The whole answer of a plain service."""

    status: int
    headers: tuple[str, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Execution:
    """The record of a request of a non-idempotent class.

    The pair of `workspace` and `key` names it. `digest` is the hash of the
    request, so that a key that comes back with another request is seen.
    `answer_kept` is false once the answer has passed its retention.
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
    """A caller's request, classified and ready to be placed.

    `tier` and `idempotent` come from its class at the time of arrival.
    The deadlines, for the whole answer and for its first token (0 for none),
    are on the clock of the entry. `prefix` names the leading blocks of the
    prompt by hash, longest last. `output_tokens` is what is expected.
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
    """A request that was running when backend servers died.

    `fingerprint` is the hash of its service and body; `servers` names the
    agents whose backend servers died under it.
    """

    fingerprint: str
    servers: tuple[str, ...]
    updated_ms: int
