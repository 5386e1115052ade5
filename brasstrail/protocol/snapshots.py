"""The records in which replicated state is kept on disk and sent whole."""

import dataclasses

from brasstrail.core import data
from brasstrail.protocol import commands, messages


@dataclasses.dataclass(frozen=True)
class ChangeMemory:
    """The result that a change of configuration got, kept for repeats."""

    change_id: str
    result: commands.ConfigResult


@dataclasses.dataclass(frozen=True)
class MachineState:
    """The whole replicated state after the command at `index`."""

    cluster_id: str
    index: int
    time_ms: int
    config: data.Config
    changes: tuple[ChangeMemory, ...]
    members: tuple[data.Member, ...]
    executions: tuple[data.Execution, ...]
    suspicions: tuple[data.Suspicion, ...]
    last_change: str = ""
    view_index: int = 0
    document_version: int = 0
    document: bytes = b""


@dataclasses.dataclass(frozen=True)
class HardState:
    """What a replica must remember of elections."""

    term: int
    vote: str


@dataclasses.dataclass(frozen=True)
class Identity:
    """Which replica of which cluster a data folder belongs to.

    `cluster_id` is empty as long as the replica is blank. `founders` are the
    cluster's first voters.
    """

    name: str
    disk: str
    cluster_id: str = ""
    founders: tuple[messages.Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class SnapshotFile:
    """A snapshot as it lies on disk."""

    index: int
    term: int
    voters: tuple[messages.Replica, ...]
    learners: tuple[messages.Replica, ...]
    state: bytes


SNAPSHOT_RECORDS = (MachineState, Identity, SnapshotFile)
JOURNAL_RECORDS = (HardState, messages.Entry)
