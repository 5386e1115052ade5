"""The journal: a replica's durable log, election state and snapshots.

A data folder holds segments of records, `segment-N.log`, one snapshot file for
each of the last two snapshots, `snapshot-N.bin`, and the replica's identity.
Each record and each file carries a checksum. A record replaces earlier ones of
the same and of later indexes, so a log that was cut back needs no marker.

What is written between two syncs is one frame with one checksum. After a loss of
power each part of an unsynced write may be kept, lost or torn by itself, so that
the end of a batch can be whole where its beginning is not; a frame is taken
whole or not at all.

Damage is told apart when the folder is read. A frame at the end of a segment that
is not whole is a torn write, and is cut off: it was never synced, or else the
other replicas know that this one acknowledged more, and it comes back as a new
replica. A checksum that fails before a whole frame, or a record that is missing
between others, raises `errors.CorruptFile`.

A batch that the disk refuses is written again, to a new segment, until it takes
it. Meanwhile the replica is as silent as one with a slow disk.
"""

import contextlib
import dataclasses
import os
import pathlib
import struct
import zlib

from brasstrail.core import errors
from brasstrail.protocol import codec, snapshots
from brasstrail.state import files

FRAME_HEADER = struct.Struct("!II")
PAYLOAD_LENGTH = struct.Struct("!I")
SEGMENT_ROLL_BYTES = 8 * 1024 * 1024
MAX_RECORD_BYTES = 64 * 1024 * 1024
RETAINED_SNAPSHOTS = 2


@dataclasses.dataclass(frozen=True)
class LoadedState:
    """What a data folder held."""

    hard_state: snapshots.HardState
    snapshot: snapshots.SnapshotFile | None
    entries: tuple
    torn_bytes: int


def join_payloads(payloads):
    """Return several payloads as one.

    >>> split_payloads(join_payloads([b"a", b"bc"]))
    [b'a', b'bc']
    """
    return b"".join(PAYLOAD_LENGTH.pack(len(payload)) + payload for payload in payloads)


def split_payloads(joined):
    """Return the payloads that were joined."""
    payloads = []
    offset = 0
    while offset < len(joined):
        (length,) = PAYLOAD_LENGTH.unpack_from(joined, offset)
        start = offset + PAYLOAD_LENGTH.size
        payloads.append(joined[start : start + length])
        offset = start + length
    return payloads


def encode_frame(payload):
    """Return a payload with its length and checksum before it."""
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def corrupt_file_error(path, offset):
    """Return the error for a file that fails its checksum."""
    return errors.CorruptFile(
        f"{path} is damaged at byte {offset}.",
        "Move the data folder aside and start the process again; "
        "it comes back as a new replica.",
    )


def read_segment_payloads(path, content):
    """Return the payloads in a segment, and the bytes torn off its end."""
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
    """Return the payload at an offset, or None where it is not whole."""
    start = offset + FRAME_HEADER.size
    if start > len(content):
        return None
    length, checksum = FRAME_HEADER.unpack_from(content, offset)
    payload = content[start : start + length]
    if not length or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def is_torn(content, offset):
    """Return whether the damage at an offset reaches to the end.

    Where a whole record follows the damaged one, the damage is no torn write.
    """
    start = offset + FRAME_HEADER.size
    if start > len(content):
        return True
    length, _ = FRAME_HEADER.unpack_from(content, offset)
    following = start + length
    return following >= len(content) or read_frame(content, following) is None


class Journal:
    """The journal of one data folder.

    Use it as a context manager, which closes its files.

    Parameters
    ----------
    folder : the data folder; it is made where it does not exist.
    disk : the operations on files.
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
        """Close the open segment."""
        self.exit_stack.close()

    # Identity.

    def read_identity(self):
        """Return the replica's identity, or None where the disk is blank."""
        path = self.folder / "identity.bin"
        if not path.exists():
            return None
        return self.read_file(path)

    def write_identity(self, identity):
        """Keep the replica's identity."""
        self.make_folder()
        self.write_file(self.folder / "identity.bin", identity)

    def make_folder(self):
        """Make the data folder where it does not exist."""
        with files.translate_os_errors(self.folder):
            self.folder.mkdir(parents=True, exist_ok=True)

    def read_file(self, path):
        """Return the one record in a file."""
        content = path.read_bytes()
        payload = read_frame(content, 0)
        if payload is None:
            raise corrupt_file_error(path, 0)
        return codec.decode(codec.SNAPSHOT, payload)

    def write_file(self, path, record):
        """Put a file with one record in place."""
        payload = codec.encode(codec.SNAPSHOT, record)
        self.disk.replace(path, encode_frame(payload))

    def move_aside(self, stamp):
        """Move all files to a folder of their own, and become blank."""
        self.close()
        target = self.folder / f"aside-{stamp}"
        with files.translate_os_errors(self.folder):
            target.mkdir()
            for path in self.folder.glob("*.*"):
                os.replace(path, target / path.name)
        self.disk.sync_folder(self.folder)
        self.hard_state = snapshots.HardState(0, "")
        self.segment_last_index = {}

    # Reading.

    def load(self):
        """Read the folder and open a new segment."""
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
        return LoadedState(self.hard_state, snapshot, joined, torn_bytes)

    def load_snapshot(self):
        """Return the newest snapshot, or None."""
        paths = self.snapshot_paths()
        return self.read_file(paths[-1][1]) if paths else None

    def load_segment(self, number, path, entries):
        """Read a segment into `entries`; return the bytes torn off its end."""
        content = path.read_bytes()
        payloads, torn_bytes = read_segment_payloads(path, content)
        if torn_bytes:
            with files.translate_os_errors(path), open(path, "r+b") as file:
                file.truncate(len(content) - torn_bytes)
                self.disk.sync(file)
        self.segment_last_index[number] = 0
        for payload in payloads:
            record = codec.decode(codec.JOURNAL, payload)
            self.replay_record(number, record, entries)
        return torn_bytes

    def replay_record(self, number, record, entries):
        """Note one record that was read."""
        if isinstance(record, snapshots.HardState):
            self.hard_state = record
            return
        index = record.index + 1
        while entries.pop(index, None) is not None:
            index += 1
        entries[record.index] = record
        self.update_last_index(number, record.index)

    def update_last_index(self, number, index):
        """Remember the highest index that a segment holds."""
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
        """Begin a new segment with the election state."""
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
        """Return a file to append to; nothing is kept back until it is closed."""
        return open(path, "ab", buffering=0)

    def write_batch(self, records):
        """Write records to the segment in one piece."""
        payloads = [codec.encode(codec.JOURNAL, record) for record in records]
        content = encode_frame(join_payloads(payloads))
        self.disk.append(self.segment, content)
        self.segment_bytes += len(content)

    def persist(self, ready):
        """Make the durable part of a `raft.Ready` durable, with one sync.

        Raises `errors.DiskFailed`; the journal must not be used after that.
        """
        if ready.snapshot is not None:
            self.install_snapshot(ready.snapshot)
        records = list(ready.entries)
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
            records.insert(0, ready.hard_state)
        if not records:
            return
        self.write_batch(records)
        self.disk.sync(self.segment)
        if ready.entries:
            self.update_last_index(self.segment_number, ready.entries[-1].index)
        if self.segment_bytes >= SEGMENT_ROLL_BYTES:
            self.open_segment(self.segment_number + 1)

    def write_snapshot(self, snapshot):
        """Keep a snapshot, in place of older ones."""
        path = self.folder / f"snapshot-{snapshot.index:012d}.bin"
        self.write_file(path, snapshot)
        for _, old in self.snapshot_paths()[:-RETAINED_SNAPSHOTS]:
            old.unlink(missing_ok=True)

    def install_snapshot(self, snapshot):
        """Keep a snapshot that takes the place of the whole log.

        The records that still follow it are written again by the caller.
        """
        self.write_snapshot(snapshot)
        self.open_segment(self.segment_number + 1)
        self.delete_segments(None)

    def save_snapshot(self, snapshot):
        """Keep a snapshot, then drop the segments that it makes needless."""
        self.write_snapshot(snapshot)
        self.delete_segments(snapshot.index)

    def delete_segments(self, index):
        """Remove closed segments with no record after `index`; None: all."""
        for number, path in self.segment_paths():
            if number >= self.segment_number:
                break
            if index is not None and self.segment_last_index[number] > index:
                break
            path.unlink(missing_ok=True)


def list_numbered_files(folder, pattern):
    """Return the files of a pattern with the numbers in their names."""
    found = []
    for path in folder.glob(pattern):
        found.append((int(path.stem.rpartition("-")[2]), path))
    return sorted(found)


def collect_contiguous_entries(entries, snapshot):
    """Return the unbroken run of records that follows a snapshot.

    None means that a record is missing between others. Where the record at the
    snapshot's index is of another term, the records after it were replaced by the
    snapshot and count no more.
    """
    index = snapshot.index if snapshot else 0
    stale = entries.get(index)
    if stale is not None and stale.term != snapshot.term:
        return ()
    joined = []
    while index + 1 in entries:
        index += 1
        joined.append(entries[index])
    if any(other_index > index for other_index in entries):
        return None
    return tuple(joined)
