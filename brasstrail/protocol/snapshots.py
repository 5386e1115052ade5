"""The records that store the replicated state on disk and in snapshots."""

import dataclasses

from brasstrail.core import data
from brasstrail.protocol import commands, messages


@dataclasses.dataclass(frozen=True)
class ChangeMemory:
    """The result of a configuration change, kept for repeats of the change."""

    change_id: str
    result: commands.ConfigResult


@dataclasses.dataclass(frozen=True)
class Retirement:
    """The record of a server that leaves or is gone, and when it was committed."""

    record: messages.ServerRecord
    time_ms: int


@dataclasses.dataclass(frozen=True)
class MachineState:
    """The complete replicated state after the log entry at `index`.

    `time_ms` is the latest time of a command. `last_change` holds the operator and the
    id of the last applied configuration change. `view_index` is the index of the last
    log entry that changed the members' view. `document` is compressed.
    """

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
    retirements: tuple[Retirement, ...] = ()
    rollouts: tuple[messages.Rollout, ...] = ()


@dataclasses.dataclass(frozen=True)
class HardState:
    """The election state that a replica must store durably.

    `vote` is the replica that it voted for in `term`, or an empty string.
    """

    term: int
    vote: str


@dataclasses.dataclass(frozen=True)
class Identity:
    """The replica and the cluster to which a data folder belongs.

    `cluster_id` is empty while the replica is blank. `founders` are the first
    voters of the cluster.
    """

    name: str
    disk: str
    cluster_id: str = ""
    founders: tuple[messages.Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class SnapshotFile:
    """A snapshot in its format on disk."""

    index: int
    term: int
    voters: tuple[messages.Replica, ...]
    learners: tuple[messages.Replica, ...]
    state: bytes
    outgoing: tuple[messages.Replica, ...] = ()


@dataclasses.dataclass(frozen=True)
class LogStart:
    """The start of a replica's log after a snapshot that it received.

    `index` and `term` are those of the snapshot.
    """

    index: int
    term: int


SNAPSHOT_RECORDS = (MachineState, Identity, SnapshotFile)
JOURNAL_RECORDS = (HardState, messages.Entry, LogStart)
