"""Shows and verifies the data folder of a control host without changing it.

`Journal.load` truncates torn writes and opens a new segment. This module only reads
the files, so that a folder can be inspected after a failure and used unchanged
afterwards.
"""

import dataclasses
import pathlib

from brasstrail.core import errors
from brasstrail.protocol import codec, commands, snapshots
from brasstrail.state import documents, journal, machine, rollouts


@dataclasses.dataclass(frozen=True)
class DataFolder:
    """The contents of a data folder.

    `entries` are the log entries after the snapshot in order of their index.
    `torn_writes` holds (path, byte count) of each segment that ends in an incomplete
    write.
    """

    identity: snapshots.Identity | None
    hard_state: snapshots.HardState
    snapshot: snapshots.SnapshotFile | None
    entries: tuple
    torn_writes: tuple
    document: documents.LatestDocument
    rollouts: tuple = ()

    @property
    def last_index(self):
        """The index of the last log entry, or of the snapshot if none follows it."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    @property
    def voters(self):
        """The voting replicas by the newest log entry or snapshot that lists them.

        Without log entries and snapshot these are the founders of the cluster.
        """
        for entry in reversed(self.entries):
            if entry.voters:
                return entry.voters
        if self.snapshot:
            return self.snapshot.voters
        return self.identity.founders if self.identity else ()


def read(path):
    """Return the `DataFolder` at a path.

    Raises `errors.CorruptFile` if a file is damaged or log entries are missing.
    """
    path = pathlib.Path(path)
    folder_journal = journal.Journal(path)
    identity = folder_journal.read_identity()
    snapshot = folder_journal.load_snapshot()
    entries = {}
    torn_writes = []
    for number, segment in folder_journal.segment_paths():
        payloads, torn_bytes = journal.read_segment_payloads(
            segment, segment.read_bytes()
        )
        if torn_bytes:
            torn_writes.append((segment, torn_bytes))
        for payload in payloads:
            folder_journal.replay_record(
                number, codec.decode(codec.JOURNAL, payload), entries
            )
    contiguous_entries = journal.collect_contiguous_entries(entries, snapshot)
    if contiguous_entries is None:
        raise journal.corrupt_file_error(path, 0)
    state = latest_state(snapshot, contiguous_entries)
    return DataFolder(
        identity,
        folder_journal.hard_state,
        snapshot,
        contiguous_entries,
        tuple(torn_writes),
        state.document,
        tuple(state.rollouts.by_service.values()),
    )


def latest_state(snapshot, entries):
    """Return a `machine.Machine` with the latest document and roll-outs.

    They are those of the snapshot and the log entries. They may be uncommitted, as the
    entries after the snapshot may be.
    """
    state_machine = machine.Machine()
    state_machine.restore(snapshot.state if snapshot else b"")
    document = state_machine.document
    for entry in entries:
        if not entry.command:
            continue
        command = codec.decode(codec.COMMAND, entry.command)
        if isinstance(command, commands.ReplaceDocument):
            document.replace(command)
        if type(command) in rollouts.HANDLERS:
            timed = state_machine.with_monotonic_time(command)
            state_machine.rollouts.apply(timed, entry.index)
    return state_machine


def describe(folder):
    """Return lines of text that describe a folder.

    One folder does not show whether the log entries after the snapshot, which are
    listed as `records`, are committed.
    """
    identity = folder.identity
    rows = [
        f"replica      {identity.name}/{identity.disk}" if identity else "blank",
        f"cluster      {identity.cluster_id if identity else ''}",
        f"term, vote   {folder.hard_state.term}, {folder.hard_state.vote or 'none'}",
        f"snapshot     {folder.snapshot.index if folder.snapshot else 'none'}",
        f"records      {len(folder.entries)}, the last is {folder.last_index}",
        f"voters       {', '.join(voter.name for voter in folder.voters)}",
        f"document     version {folder.document.version}",
    ]
    for rollout in folder.rollouts:
        rows.append(f"roll-out     {rollouts.describe(rollout)}")
    for path, torn_bytes in folder.torn_writes:
        rows.append(f"torn write   {torn_bytes} bytes at the end of {path.name}")
    rows.append("checksums    valid for all complete frames")
    return rows


def export_document(folder, path):
    """Write the latest document to a file, byte for byte as it was received.

    Raises `errors.NotFound` if the folder holds none.
    """
    if not folder.document.version:
        raise errors.NotFound(
            "The data folder holds no document.", "Try the data folder of another host."
        )
    body = documents.unpack(folder.document.packed)
    pathlib.Path(path).write_bytes(body)
