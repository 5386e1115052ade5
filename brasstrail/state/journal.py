"""The journal: a replica's durable log, election state and snapshots.

A data folder contains segments of records, `segment-N.log`, one snapshot file for
each of the last two snapshots, `snapshot-N.bin`, and the replica's identity.
Each frame of a segment and each other file has a checksum. A record is a log entry,
the election state or the start of the log after a snapshot of the leader. An entry
replaces earlier entries with the same or a higher index, so truncating the log needs no
marker. The start of the log replaces all earlier entries: those that a snapshot has
replaced must not be read again, also if the removal of their segments comes undone.

The records that are written between two syncs form one frame with one checksum.
After a power failure each part of an unsynced write may be kept, lost or torn
independently, so the end of a batch can be intact although its beginning is not.
A frame is therefore loaded completely or not at all.

Two kinds of damage are distinguished when the folder is read. An incomplete frame
at the end of a segment is a torn write and is truncated: either it was never
synced, or the other replicas know that this one acknowledged more than its disk
holds, and it rejoins as a new replica. A failed checksum before an intact frame, or a
gap in the entry indexes, raises `errors.CorruptFile`.

A batch that the disk failed to write is written again to a new segment until that
succeeds. Until then the replica does not answer, like a replica with a slow disk.
"""

import contextlib
import dataclasses
import pathlib
import struct
import zlib

from brasstrail.core import errors
from brasstrail.protocol import codec, snapshots
from brasstrail.state import files

# The length of the payload and its CRC-32.
FRAME_HEADER = struct.Struct("!II")
PAYLOAD_LENGTH = struct.Struct("!I")
# A new segment is started once the open one has reached this size.
SEGMENT_ROLL_BYTES = 8 * 1024 * 1024
MAX_RECORD_BYTES = 64 * 1024 * 1024
RETAINED_SNAPSHOTS = 2


@dataclasses.dataclass(frozen=True)
class LoadedState:
    """The state read from a data folder.

    `torn_bytes` is the size of the torn write removed from the last segment.
    """

    hard_state: snapshots.HardState
    snapshot: snapshots.SnapshotFile | None
    entries: tuple
    torn_bytes: int


def join_payloads(payloads):
    """Return several payloads as one, each with its length before it.

    >>> split_payloads(join_payloads([b"a", b"bc"]))
    [b'a', b'bc']
    """
    return b"".join(PAYLOAD_LENGTH.pack(len(payload)) + payload for payload in payloads)


def split_payloads(joined):
    """Return the payloads that `join_payloads` joined."""
    payloads = []
    offset = 0
    while offset < len(joined):
        (length,) = PAYLOAD_LENGTH.unpack_from(joined, offset)
        start = offset + PAYLOAD_LENGTH.size
        payloads.append(joined[start : start + length])
        offset = start + length
    return payloads


def encode_frame(payload):
    """Return a payload with a header of its length and checksum."""
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def corrupt_file_error(path, offset):
    """Return the error for a file that is damaged at a byte offset."""
    return errors.CorruptFile(
        f"{path} is damaged at byte {offset}.",
        "Move the data folder aside and start the process again; "
        "it comes back as a new replica.",
    )


def read_segment_payloads(path, content):
    """Return the payloads in a segment, and the size of a torn write at its end.

    Raises `errors.CorruptFile` if the segment is damaged before its end.
    """
    payloads = []
    offset = 0
    while offset < len(content):
        payload = read_frame(content, offset)
        if payload is None:
            if is_torn(content, offset):
                return payloads, len(content) - offset
            raise corrupt_file_error(path, offset)
        payloads.extend(split_payloads(payload))
        offset += FRAME_HEADER.size + len(payload)
    return payloads, 0


def read_frame(content, offset):
    """Return the payload of the frame at an offset, or None if it is not intact."""
    start = offset + FRAME_HEADER.size
    if start > len(content):
        return None
    length, checksum = FRAME_HEADER.unpack_from(content, offset)
    payload = content[start : start + length]
    if not length or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def is_torn(content, offset):
    """Return whether the damaged frame at an offset is a torn write.

    It is not one if an intact frame follows the damaged one.
    """
    start = offset + FRAME_HEADER.size
    if start > len(content):
        return True
    length, _ = FRAME_HEADER.unpack_from(content, offset)
    following = start + length
    return following >= len(content) or read_frame(content, following) is None


class Journal:
    """The journal of one data folder.

    It is a context manager that closes its files on exit.

    Parameters
    ----------
    folder : the data folder; it is created if it does not exist.
    disk : the file operations, as `files.Files`.
    """

    def __init__(self, folder, disk=None):
        self.folder = pathlib.Path(folder)
        self.disk = disk or files.Files()
        self.segment = None
        self.segment_number = 0
        self.segment_bytes = 0
        self.segment_last_index = {}
        self.hard_state = snapshots.HardState(0, "")
        self.exit_stack = contextlib.ExitStack()

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self.close()

    def close(self):
        """Close the open segment.

        Raises `errors.DiskFailed` if the disk fails only now to write; the segment is
        closed all the same.
        """
        with files.translate_os_errors(self.folder):
            self.exit_stack.close()

    # Identity.

    @property
    def identity_path(self):
        """The path of the replica's identity."""
        return self.folder / "identity.bin"

    def record_paths(self):
        """Return the paths of all files but the identity."""
        return [path for path in self.folder.glob("*.*") if path != self.identity_path]

    def read_identity(self):
        """Return the replica's identity, or None if the data folder has none."""
        if not self.identity_path.exists():
            return None
        return self.read_file(self.identity_path)

    def write_identity(self, identity):
        """Store the replica's identity."""
        self.make_folder()
        self.write_file(self.identity_path, identity)

    def make_folder(self):
        """Create the data folder if it does not exist."""
        with files.translate_os_errors(self.folder):
            self.folder.mkdir(parents=True, exist_ok=True)

    def read_file(self, path):
        """Return the record in a file that contains a single record."""
        content = path.read_bytes()
        payload = read_frame(content, 0)
        if payload is None:
            raise corrupt_file_error(path, 0)
        return codec.decode(codec.SNAPSHOT, payload)

    def write_file(self, path, record):
        """Create or replace a file that contains a single record."""
        payload = codec.encode(codec.SNAPSHOT, record)
        self.disk.replace(path, encode_frame(payload))

    def move_aside(self, stamp):
        """Move all files to a subfolder, which leaves the journal empty.

        The identity goes first: without its records it must not be read again. `stamp`
        makes the name of the subfolder unique.
        """
        self.close()
        target = self.folder / f"aside-{stamp}"
        with files.translate_os_errors(self.folder):
            target.mkdir()
        for path in (self.identity_path, *self.record_paths()):
            if path.exists():
                self.disk.rename(path, target / path.name)
                self.disk.sync_folder(self.folder)
        self.hard_state = snapshots.HardState(0, "")
        self.segment_last_index = {}

    # Reading.

    def load(self):
        """Read the folder, open a new segment and return a `LoadedState`."""
        self.make_folder()
        snapshot = self.load_snapshot()
        entries = {}
        torn_bytes = 0
        paths = self.segment_paths()
        for number, path in paths:
            torn_bytes = self.load_segment(number, path, entries)
        joined = collect_contiguous_entries(entries, snapshot)
        if joined is None:
            raise corrupt_file_error(self.folder, 0)
        self.open_segment(paths[-1][0] + 1 if paths else 1)
        if is_replaced(entries, snapshot):
            self.write_batch([snapshots.LogStart(snapshot.index, snapshot.term)])
            self.disk.sync(self.segment)
        return LoadedState(self.hard_state, snapshot, joined, torn_bytes)

    def load_snapshot(self):
        """Return the newest snapshot, or None."""
        paths = self.snapshot_paths()
        return self.read_file(paths[-1][1]) if paths else None

    def load_segment(self, number, path, entries):
        """Read a segment into `entries`, and truncate a torn write at its end.

        The segment is synced, since the process may have ended before the last write
        was, and the replica acknowledges all that it has read. Returns the size of the
        torn write in bytes.
        """
        content = path.read_bytes()
        payloads, torn_bytes = read_segment_payloads(path, content)
        with files.translate_os_errors(path), open(path, "r+b") as file:
            file.truncate(len(content) - torn_bytes)
            self.disk.sync(file)
        self.segment_last_index[number] = 0
        for payload in payloads:
            record = codec.decode(codec.JOURNAL, payload)
            self.replay_record(number, record, entries)
        return torn_bytes

    def replay_record(self, number, record, entries):
        """Apply a record read from a segment to `hard_state` or `entries`.

        An entry removes the entries that follow its index without a gap, the start of
        the log all entries.
        """
        if isinstance(record, snapshots.HardState):
            self.hard_state = record
            return
        if isinstance(record, snapshots.LogStart):
            entries.clear()
            return
        index = record.index + 1
        while entries.pop(index, None) is not None:
            index += 1
        entries[record.index] = record
        self.update_last_index(number, record.index)

    def update_last_index(self, number, index):
        """Update the highest entry index in a segment."""
        held = self.segment_last_index.get(number, 0)
        self.segment_last_index[number] = max(held, index)

    def segment_paths(self):
        """Return the numbers and paths of the segments, in order."""
        return list_numbered_files(self.folder, "segment-*.log")

    def snapshot_paths(self):
        """Return the indexes and paths of the snapshots, in order."""
        return list_numbered_files(self.folder, "snapshot-*.bin")

    # Writing.

    def open_segment(self, number):
        """Start a new segment, with the election state as its first record."""
        self.close()
        path = self.folder / f"segment-{number:08d}.log"
        with files.translate_os_errors(path):
            self.segment = self.exit_stack.enter_context(self.open_file(path))
        self.segment_number = number
        self.segment_bytes = 0
        self.segment_last_index[number] = 0
        self.write_batch([self.hard_state])
        self.disk.sync(self.segment)
        self.disk.sync_folder(self.folder)

    def open_file(self, path):
        """Open a file for appending, without buffering.

        Buffered bytes of a failed write would be written again, and fail, on close.
        """
        return open(path, "ab", buffering=0)

    def write_batch(self, records):
        """Append records to the open segment as one frame."""
        payloads = [codec.encode(codec.JOURNAL, record) for record in records]
        content = encode_frame(join_payloads(payloads))
        self.disk.append(self.segment, content)
        self.segment_bytes += len(content)

    def persist(self, ready):
        """Write the persistent part of a `raft.Ready` and sync it once.

        A snapshot replaces the whole log: the entries that follow it are part of the
        same `raft.Ready` and are written again, to a new segment. The earlier segments
        are deleted after that, since they may hold the same entries.

        Raises `errors.DiskFailed`. After that, `open_segment` must start a new
        segment before the next write.
        """
        if ready.snapshot is not None:
            self.write_snapshot(ready.snapshot)
            self.open_segment(self.segment_number + 1)
        records = self.make_records(ready)
        if not records:
            return
        self.write_batch(records)
        self.disk.sync(self.segment)
        if ready.entries:
            self.update_last_index(self.segment_number, ready.entries[-1].index)
        if ready.snapshot is not None:
            self.delete_segments(None)
        if self.segment_bytes >= SEGMENT_ROLL_BYTES:
            self.open_segment(self.segment_number + 1)

    def make_records(self, ready):
        """Return the records of a `raft.Ready`, and keep its election state."""
        records = []
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
            records.append(ready.hard_state)
        if ready.snapshot is not None:
            start = snapshots.LogStart(ready.snapshot.index, ready.snapshot.term)
            records.append(start)
        return [*records, *ready.entries]

    def write_snapshot(self, snapshot):
        """Store a snapshot and delete all but the last `RETAINED_SNAPSHOTS`."""
        path = self.folder / f"snapshot-{snapshot.index:012d}.bin"
        self.write_file(path, snapshot)
        for _, old in self.snapshot_paths()[:-RETAINED_SNAPSHOTS]:
            self.disk.remove(old)

    def save_snapshot(self, snapshot):
        """Store a snapshot, then delete the segments that it covers."""
        self.write_snapshot(snapshot)
        self.delete_segments(snapshot.index)

    def delete_segments(self, index):
        """Delete closed segments with no entry after `index`, or all if it is None.

        Each removal is made durable before the next one: a segment that comes back
        must not lack later ones, which may have replaced some of its entries.
        """
        for number, path in self.segment_paths():
            if number >= self.segment_number:
                break
            if index is not None and self.segment_last_index[number] > index:
                break
            self.disk.remove(path)
            self.disk.sync_folder(self.folder)


def list_numbered_files(folder, pattern):
    """Return (number, path) for the files that match a pattern, sorted by number."""
    found = []
    for path in folder.glob(pattern):
        found.append((int(path.stem.rpartition("-")[2]), path))
    return sorted(found)


def is_replaced(entries, snapshot):
    """Return whether a snapshot is that of a log other than these entries.

    Their entry at the snapshot's index has a different term then.
    """
    if snapshot is None or snapshot.index not in entries:
        return False
    return entries[snapshot.index].term != snapshot.term


def collect_contiguous_entries(entries, snapshot):
    """Return the contiguous entries that follow a snapshot.

    Returns None if an entry is missing between others, and no entries if the snapshot
    has replaced them.
    """
    if is_replaced(entries, snapshot):
        return ()
    index = snapshot.index if snapshot else 0
    joined = []
    while index + 1 in entries:
        index += 1
        joined.append(entries[index])
    if any(other_index > index for other_index in entries):
        return None
    return tuple(joined)
