"""Tests of the journal: synced records are loaded and damage is detected."""

import os
import pathlib
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.coordination import raft
from brasstrail.core import errors
from brasstrail.protocol import messages, snapshots
from brasstrail.state import files, journal
from brasstrail.tools import fuzzing

SECTOR_BYTES = 512


def make_ready(entries=(), hard_state=None, snapshot=None):
    """Return a `raft.Ready` with only its persistent part."""
    return raft.Ready(hard_state, snapshot, tuple(entries), (), ())


def make_entry(index, term=1, command=b"x"):
    """Return a log entry."""
    return messages.Entry(index, term, command)


class FullDisk(files.Files):
    """A disk that is full after a number of bytes."""

    def __init__(self, free_bytes):
        self.free_bytes = free_bytes

    def append(self, file, content):
        written = content[: self.free_bytes]
        self.free_bytes -= len(written)
        super().append(file, written)
        if len(written) < len(content):
            raise errors.DiskFailed("No space left.", "Free space.")


class JournalTest(unittest.TestCase):
    """Data folders that are written, damaged and read again."""

    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name) / "data"

    def open(self, disk=None):
        opened = journal.Journal(self.folder, disk)
        self.addCleanup(opened.close)
        return opened

    def write(self, *batches):
        opened = self.open()
        opened.load()
        for batch in batches:
            opened.persist(batch)
        opened.close()

    def test_synced_records_are_loaded(self):
        state = snapshots.HardState(3, "c1/d")
        self.write(make_ready([make_entry(1), make_entry(2)], state))
        loaded = self.open().load()
        self.assertEqual(loaded.hard_state, state)
        self.assertEqual([entry.index for entry in loaded.entries], [1, 2])

    def test_replaced_records_are_not_loaded(self):
        self.write(
            make_ready([make_entry(1), make_entry(2), make_entry(3)]),
            make_ready([make_entry(2, term=2)]),
        )
        loaded = self.open().load()
        terms = [(entry.index, entry.term) for entry in loaded.entries]
        self.assertEqual(terms, [(1, 1), (2, 2)])

    def test_torn_write_at_the_end_is_truncated(self):
        self.write(make_ready([make_entry(1)]), make_ready([make_entry(2)]))
        path = self.last_segment()
        os.truncate(path, path.stat().st_size - 3)
        loaded = self.open().load()
        self.assertEqual([entry.index for entry in loaded.entries], [1])
        self.assertGreater(loaded.torn_bytes, 0)

    def test_flipped_byte_before_the_last_frame_is_an_error(self):
        self.write(make_ready([make_entry(1, command=b"y" * 50)]))
        self.write(make_ready([make_entry(2)]), make_ready([make_entry(3)]))
        path = self.folder / "segment-00000002.log"
        content = bytearray(path.read_bytes())
        content[len(content) // 2] ^= 1
        path.write_bytes(bytes(content))
        with self.assertRaises(errors.CorruptFile):
            self.open().load()

    def test_flipped_byte_in_a_snapshot_is_an_error(self):
        snapshot = snapshots.SnapshotFile(1, 1, (), (), b"state")
        opened = self.open()
        opened.load()
        opened.persist(make_ready([make_entry(1)]))
        opened.save_snapshot(snapshot)
        path = opened.snapshot_paths()[0][1]
        content = bytearray(path.read_bytes())
        content[-2] ^= 1
        path.write_bytes(bytes(content))
        with self.assertRaises(errors.CorruptFile):
            self.open().load()

    def test_snapshot_deletes_old_segments(self):
        self.write(make_ready([make_entry(1), make_entry(2)]))
        opened = self.open()
        opened.load()
        opened.persist(make_ready([make_entry(3)]))
        opened.save_snapshot(snapshots.SnapshotFile(2, 1, (), (), b"s"))
        self.assertEqual([number for number, _ in opened.segment_paths()], [2])
        loaded = self.open().load()
        self.assertEqual(loaded.snapshot.index, 2)
        self.assertEqual([entry.index for entry in loaded.entries], [3])

    def test_records_replaced_by_a_snapshot_are_not_loaded(self):
        opened = self.open()
        opened.load()
        opened.persist(make_ready([make_entry(1), make_entry(2), make_entry(3)]))
        opened.write_snapshot(snapshots.SnapshotFile(2, 5, (), (), b"s"))
        loaded = self.open().load()
        self.assertEqual(loaded.entries, ())

    def test_full_disk_raises_disk_failed(self):
        opened = self.open(FullDisk(200))
        opened.load()
        with self.assertRaises(errors.DiskFailed):
            for index in range(1, 50):
                opened.persist(make_ready([make_entry(index)]))
        loaded = self.open().load()
        indexes = [entry.index for entry in loaded.entries]
        self.assertEqual(indexes, list(range(1, len(indexes) + 1)))

    def test_move_aside_removes_identity_and_records(self):
        opened = self.open()
        identity = snapshots.Identity("c1", "disk", "cluster")
        opened.write_identity(identity)
        opened.load()
        opened.persist(make_ready([make_entry(1)]))
        self.assertEqual(opened.read_identity(), identity)
        opened.move_aside("1")
        self.assertIsNone(opened.read_identity())
        self.assertEqual(opened.load().entries, ())

    def last_segment(self):
        """Return the path of the segment with the newest records."""
        paths = sorted(self.folder.glob("segment-*.log"))
        return paths[-1]

    @settings(fuzzing.SETTINGS, max_examples=150)
    @given(st.data())
    def test_damaged_segment_never_loads_wrong_records(self, data):
        with tempfile.TemporaryDirectory() as temporary_folder:
            self.folder = pathlib.Path(temporary_folder) / "data"
            count = data.draw(st.integers(1, 8))
            commands = [bytes([number]) * 9 for number in range(1, count + 1)]
            batches = [
                make_ready([make_entry(index + 1, command=command)])
                for index, command in enumerate(commands)
            ]
            self.write(*batches)
            path = self.last_segment()
            content = bytearray(path.read_bytes())
            position = data.draw(st.integers(0, len(content) - 1))
            if data.draw(st.booleans()):
                content[position] ^= data.draw(st.integers(1, 255))
            else:
                del content[position:]
            path.write_bytes(bytes(content))
            opened = self.open()
            try:
                loaded = opened.load()
            except errors.CorruptFile:
                return
            finally:
                opened.close()
            found = [entry.command for entry in loaded.entries]
            self.assertEqual(found, commands[: len(found)])

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.data())
    def test_power_loss_keeps_synced_batches_and_no_partial_batch(self, data):
        """Each sector of the last write is kept, lost or torn independently.

        The last batch must then be loaded completely or not at all.
        """
        with tempfile.TemporaryDirectory() as temporary_folder:
            self.folder = pathlib.Path(temporary_folder) / "data"
            synced_batches = data.draw(st.integers(0, 3))
            batches = [[make_entry(index + 1)] for index in range(synced_batches)]
            count = data.draw(st.integers(1, 4))
            sizes = st.integers(1, 3000)
            last = [
                make_entry(
                    synced_batches + 1 + position, command=b"y" * data.draw(sizes)
                )
                for position in range(count)
            ]
            opened = self.open()
            opened.load()
            for batch in batches:
                opened.persist(make_ready(batch))
            path = self.last_segment()
            synced_bytes = path.stat().st_size
            opened.persist(make_ready(last, snapshots.HardState(9, "c1/d")))
            opened.close()
            content = bytearray(path.read_bytes())
            for start in range(synced_bytes, len(content), SECTOR_BYTES):
                self.damage_sector(content, start, data)
            del content[data.draw(st.integers(synced_bytes, len(content))) :]
            path.write_bytes(bytes(content))
            opened = self.open()
            loaded = opened.load()
            opened.close()
            self.assertIn(len(loaded.entries), (synced_batches, synced_batches + count))
            reopened = self.open()
            self.assertEqual(reopened.load().entries, loaded.entries)
            reopened.close()

    def damage_sector(self, content, start, data):
        """Keep, zero or partly zero one sector."""
        end = min(start + SECTOR_BYTES, len(content))
        outcome = data.draw(st.sampled_from(("kept", "lost", "torn")))
        if outcome == "lost":
            content[start:end] = bytes(end - start)
        elif outcome == "torn":
            middle = data.draw(st.integers(start, end))
            content[middle:end] = bytes(end - middle)

    def test_batch_that_failed_to_write_is_written_to_a_new_segment(self):
        opened = self.open(FullDisk(300))
        opened.load()
        batch = make_ready([make_entry(1, command=b"z" * 400)])
        with self.assertRaises(errors.DiskFailed):
            opened.persist(batch)
        opened.disk = files.Files()
        opened.open_segment(opened.segment_number + 1)
        opened.persist(batch)
        opened.close()
        loaded = self.open().load()
        self.assertEqual([entry.index for entry in loaded.entries], [1])

    def test_write_refused_by_a_full_device_is_not_retried_on_close(self):
        """Bytes buffered for a full device would fail again when its file is closed."""
        opened = self.open()
        opened.load()
        opened.close()
        opened.segment = opened.exit_stack.enter_context(opened.open_file("/dev/full"))
        batch = make_ready([make_entry(1, command=b"z" * 400)])
        with self.assertRaises(errors.DiskFailed):
            opened.persist(batch)
        opened.open_segment(opened.segment_number + 1)
        opened.persist(batch)
        opened.close()
        loaded = self.open().load()
        self.assertEqual([entry.index for entry in loaded.entries], [1])

    def test_missing_record_is_an_error(self):
        self.write(make_ready([make_entry(1)]), make_ready([make_entry(3)]))
        with self.assertRaises(errors.CorruptFile):
            self.open().load()


if __name__ == "__main__":
    unittest.main()
