"""The commands of the replicated log and their results.

A command says what is to become of the replicated state; applying it gives a
result, which goes back to whoever proposed it. Commands carry the time at
which they were proposed, so that every replica applies them alike.
"""

import dataclasses

from brasstrail.core import data


@dataclasses.dataclass(frozen=True)
class Nothing:
    """Holds no change; a new leader commits it to learn what is committed."""

    now_ms: int = 0


@dataclasses.dataclass(frozen=True)
class FoundCluster:
    """Gives the cluster the identity that it keeps for good."""

    cluster_id: str


@dataclasses.dataclass(frozen=True)
class ChangeConfig:
    """An operator's change of the configuration.

    It applies only if `expected_version` is the current version. A second
    change with the same `change_id` gets the result of the first.
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
    """A process joined, or started again with a higher incarnation."""

    member: data.Member


@dataclasses.dataclass(frozen=True)
class RemoveMember:
    """A process left, or was lost.

    It applies only to the attachment that `epoch` numbers.
    """

    name: str
    incarnation: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class Receive:
    """Open the execution record of a key, or return the one that exists."""

    workspace: str
    key: str
    digest: bytes
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Bind:
    """Choose the one dispatch of a received request."""

    workspace: str
    key: str
    dispatch: data.Dispatch
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Settle:
    """Keep the answer that the chosen dispatch produced.

    Where `kept` is false the answer is too large, and only the fact is kept.
    """

    workspace: str
    key: str
    dispatch_id: str
    answer: data.Answer
    now_ms: int
    kept: bool = True


@dataclasses.dataclass(frozen=True)
class Release:
    """The chosen dispatch will never run: its agent has ruled it out."""

    workspace: str
    key: str
    dispatch_id: str
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Doubt:
    """It cannot be known whether the chosen dispatch ran."""

    workspace: str
    key: str
    dispatch_id: str
    now_ms: int


@dataclasses.dataclass(frozen=True)
class Expire:
    """Drop the kept answers that were settled before `before_ms`."""

    before_ms: int


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request ran on a backend server that died under it."""

    fingerprint: str
    server: str
    now_ms: int


@dataclasses.dataclass(frozen=True)
class LiftSuspicion:
    """An operator, or the passing of time, clears a suspected request."""

    fingerprint: str


@dataclasses.dataclass(frozen=True)
class ReplaceDocument:
    """An operator's whole document; it applies only if its version is higher.

    `packed` is the document as the operator sent it, compressed.
    """

    version: int
    packed: bytes


@dataclasses.dataclass(frozen=True)
class ConfigResult:
    """The result of `ChangeConfig`.

    Where `applied` is false, `code` and `message` say why, and `version` and
    `winner` show the configuration that stands and the change that made it.
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

    `applied` is false where the record did not permit the command; `record` is
    the record as it stands, or None where there is none.
    """

    applied: bool
    record: data.Execution | None = None
    code: str = ""


@dataclasses.dataclass(frozen=True)
class Plain:
    """The result of the other commands."""

    applied: bool
    code: str = ""


COMMANDS = (
    Nothing,
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
)

RESULTS = (ConfigResult, ExecutionResult, Plain)
