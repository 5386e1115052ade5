"""The commands of the replicated log and their results.

A command describes a change of the replicated state. Applying it gives a result,
which is returned to the proposer. Commands contain the time at which they were
proposed, so that applying them is deterministic on every replica.
"""

import dataclasses

from brasstrail.core import data
from brasstrail.protocol import messages


@dataclasses.dataclass(frozen=True)
class RetireServers:
    """Record servers that leave or are gone, so that no late report revives them.

    Without records it changes nothing. Builds that know no records read each as such,
    since it has the place of their command that changes nothing.
    """

    now_ms: int = 0
    records: tuple[messages.ServerRecord, ...] = ()


@dataclasses.dataclass(frozen=True)
class FoundCluster:
    """Set the cluster's identity, which never changes afterwards."""

    cluster_id: str


@dataclasses.dataclass(frozen=True)
class ChangeConfig:
    """Apply an operator's change of the configuration.

    The change applies only if `expected_version` is the current version. A
    repeated change with the same `change_id` gets the result of the first.
    """

    change_id: str
    expected_version: int
    operator: str
    now_ms: int
    services: tuple[data.Service, ...] = ()
    classes: tuple[data.WorkClass, ...] = ()
    workspaces: tuple[data.Workspace, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_classes: tuple[str, ...] = ()
    removed_workspaces: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class AddMember:
    """Add a process that joined, or that restarted with a higher incarnation."""

    member: data.Member


@dataclasses.dataclass(frozen=True)
class RemoveMember:
    """Remove a process that left or was lost.

    The command applies only to the attachment with the number `epoch`.
    """

    name: str
    incarnation: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class Receive:
    """Create the execution record of a key, or return the existing one."""

    workspace: str
    key: str
    digest: bytes
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Bind:
    """Choose the only dispatch that may run a received request."""

    workspace: str
    key: str
    dispatch: data.Dispatch
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Settle:
    """Store the answer that the chosen dispatch produced.

    If `kept` is false, the answer is too large, and only the fact that there was
    an answer is stored.
    """

    workspace: str
    key: str
    dispatch_id: str
    answer: data.Answer
    now_ms: int
    kept: bool = True


@dataclasses.dataclass(frozen=True)
class Release:
    """Release the chosen dispatch: its agent guarantees that it will never run."""

    workspace: str
    key: str
    dispatch_id: str
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Doubt:
    """Record that it cannot be known whether the chosen dispatch ran."""

    workspace: str
    key: str
    dispatch_id: str
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Expire:
    """Delete the stored answers that were settled before `before_ms`."""

    before_ms: int


@dataclasses.dataclass(frozen=True)
class Suspect:
    """Record that a backend server crashed while it ran a request.

    `server` is the name of the server's agent.
    """

    fingerprint: str
    server: str
    now_ms: int


@dataclasses.dataclass(frozen=True)
class LiftSuspicion:
    """Remove the suspicion of a request, for an operator or because it expired."""

    fingerprint: str


@dataclasses.dataclass(frozen=True)
class ReplaceDocument:
    """Replace the operators' document if the version is higher than the current.

    `packed` is the complete document as the operator sent it, compressed.
    """

    version: int
    packed: bytes


@dataclasses.dataclass(frozen=True)
class StartRollout:
    """Begin to move a service's traffic to the version `to`.

    `now_ms` is the leader's wall-clock time at the proposal, from which the deadline
    counts.
    """

    now_ms: int
    service: str
    to: str
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class AdvanceRollout:
    """Make the next step of a roll-out, which may be its end.

    It applies only to the order of `ordered_ms`, and only if the last change of its
    record was the log entry `expected_index`.
    """

    now_ms: int
    service: str
    ordered_ms: int
    expected_index: int
    state: str
    stage: int
    share: float
    reason: str


@dataclasses.dataclass(frozen=True)
class ConfigResult:
    """The result of `ChangeConfig`.

    If `applied` is false, `code` and `message` give the reason. `version` is the
    version of the current configuration, and `winner` the operator and the id of the
    change that created it. `index` is the index of the last log entry that changed
    the members' view.
    """

    applied: bool
    version: int
    index: int
    winner: str
    code: str = ""
    message: str = ""


@dataclasses.dataclass(frozen=True)
class ExecutionResult:
    """The result of a command on an execution record.

    `applied` is false if the state of the record did not permit the command.
    `record` is the current record, or None if there is none.
    """

    applied: bool
    record: data.Execution | None = None
    code: str = ""


@dataclasses.dataclass(frozen=True)
class Plain:
    """The result of all other commands."""

    applied: bool
    code: str = ""


COMMANDS = (
    RetireServers,
    ChangeConfig,
    AddMember,
    RemoveMember,
    Receive,
    Bind,
    Settle,
    Release,
    Doubt,
    Expire,
    Suspect,
    LiftSuspicion,
    FoundCluster,
    ReplaceDocument,
    StartRollout,
    AdvanceRollout,
)

RESULTS = (ConfigResult, ExecutionResult, Plain)
