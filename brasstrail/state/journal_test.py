"""Tests of the journal: what is on the disk survives, damage is never guessed."""

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
    """Return a `Ready` with only its durable part."""
    return raft.Ready(hard_state, snapshot, tuple(entries), (), ())


def make_entry(index, term=1, command=b"x"):
    """Return a record of the log."""
    return messages.Entry(index, term, command)


class FullDisk(files.Files):
    """A disk that has no space left after a number of bytes."""

    def __init__(self, room):
        self.room = room

    def append(self, file, chunk):
        taken = chunk[: self.room]
        self.room -= len(taken)
        super().append(file, taken)
        if len(taken) < len(chunk):
            raise errors.DiskFailed("No space left.", "Free space.")


class JournalTest(unittest.TestCase):
    """A folder is written, damaged, and read again."""

    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = pathlib.Path(holder.name) / "data"

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

    def test_what_was_synced_is_read_again(self):
        state = snapshots.HardState(3, "c1/d")
        self.write(make_ready([make_entry(1), make_entry(2)], state))
        loaded = self.open().load()
        self.assertEqual(loaded.hard_state, state)
        self.assertEqual([entry.index for entry in loaded.entries], [1, 2])

    def test_replaced_records_do_not_come_back(self):
        self.write(
            make_ready([make_entry(1), make_entry(2), make_entry(3)]),
            make_ready([make_entry(2, term=2)]),
        )
        loaded = self.open().load()
        terms = [(entry.index, entry.term) for entry in loaded.entries]
        self.assertEqual(terms, [(1, 1), (2, 2)])

    def test_torn_tail_is_cut_off(self):
        self.write(make_ready([make_entry(1)]), make_ready([make_entry(2)]))
        path = self.last_segment()
        os.truncate(path, path.stat().st_size - 3)
        loaded = self.open().load()
        self.assertEqual([entry.index for entry in loaded.entries], [1])
        self.assertGreater(loaded.torn_bytes, 0)

    def test_flipped_byte_before_the_tail_is_an_error(self):
        self.write(make_ready([make_entry(1, command=b"y" * 50)]))
        self.write(make_ready([make_entry(2)]), make_ready([make_entry(3)]))
        path = self.folder / "segment-00000002.log"
        chunk = bytearray(path.read_bytes())
        chunk[len(chunk) // 2] ^= 1
        path.write_bytes(bytes(chunk))
        with self.assertRaises(errors.CorruptFile):
            self.open().load()

    def test_flipped_byte_in_a_snapshot_is_an_error(self):
        snapshot = snapshots.SnapshotFile(1, 1, (), (), b"state")
        opened = self.open()
        opened.load()
        opened.persist(make_ready([make_entry(1)]))
        opened.save_snapshot(snapshot)
        path = opened.snapshot_paths()[0][1]
        chunk = bytearray(path.read_bytes())
        chunk[-2] ^= 1
        path.write_bytes(bytes(chunk))
        with self.assertRaises(errors.CorruptFile):
            self.open().load()

    def test_snapshot_drops_old_segments(self):
        self.write(make_ready([make_entry(1), make_entry(2)]))
        opened = self.open()
        opened.load()
        opened.persist(make_ready([make_entry(3)]))
        opened.save_snapshot(snapshots.SnapshotFile(2, 1, (), (), b"s"))
        self.assertEqual([number for number, _ in opened.segment_paths()], [2])
        loaded = self.open().load()
        self.assertEqual(loaded.snapshot.index, 2)
        self.assertEqual([entry.index for entry in loaded.entries], [3])

    def test_records_of_a_replaced_log_do_not_come_back(self):
        opened = self.open()
        opened.load()
        opened.persist(make_ready([make_entry(1), make_entry(2), make_entry(3)]))
        opened.write_snapshot(snapshots.SnapshotFile(2, 5, (), (), b"s"))
        loaded = self.open().load()
        self.assertEqual(loaded.entries, ())

    def test_full_disk_is_a_typed_error(self):
        opened = self.open(FullDisk(200))
        opened.load()
        with self.assertRaises(errors.DiskFailed):
            for index in range(1, 50):
                opened.persist(make_ready([make_entry(index)]))
        loaded = self.open().load()
        indexes = [entry.index for entry in loaded.entries]
        self.assertEqual(indexes, list(range(1, len(indexes) + 1)))

    def test_identity_and_moving_aside(self):
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
        """Return the segment with the newest records."""
        paths = sorted(self.folder.glob("segment-*.log"))
        return paths[-1]

    @settings(fuzzing.SETTINGS, max_examples=150)
    @given(st.data())
    def test_damage_never_gives_false_records(self, draw):
        with tempfile.TemporaryDirectory() as holder:
            self.folder = pathlib.Path(holder) / "data"
            count = draw.draw(st.integers(1, 8))
            commands = [bytes([number]) * 9 for number in range(1, count + 1)]
            batches = [
                make_ready([make_entry(index + 1, command=command)])
                for index, command in enumerate(commands)
            ]
            self.write(*batches)
            path = self.last_segment()
            chunk = bytearray(path.read_bytes())
            place = draw.draw(st.integers(0, len(chunk) - 1))
            if draw.draw(st.booleans()):
                chunk[place] ^= draw.draw(st.integers(1, 255))
            else:
                del chunk[place:]
            path.write_bytes(bytes(chunk))
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
    def test_power_loss_keeps_what_was_synced_and_never_a_part_of_a_batch(self, draw):
        """Each sector of the last write is kept, lost or torn by itself."""
        with tempfile.TemporaryDirectory() as holder:
            self.folder = pathlib.Path(holder) / "data"
            synced = draw.draw(st.integers(0, 3))
            batches = [[make_entry(index + 1)] for index in range(synced)]
            count = draw.draw(st.integers(1, 4))
            sizes = st.integers(1, 3000)
            last = [
                make_entry(synced + 1 + place, command=b"y" * draw.draw(sizes))
                for place in range(count)
            ]
            opened = self.open()
            opened.load()
            for batch in batches:
                opened.persist(make_ready(batch))
            path = self.last_segment()
            kept = path.stat().st_size
            opened.persist(make_ready(last, snapshots.HardState(9, "c1/d")))
            opened.close()
            chunk = bytearray(path.read_bytes())
            for begin in range(kept, len(chunk), SECTOR_BYTES):
                self.damage(chunk, begin, draw)
            del chunk[draw.draw(st.integers(kept, len(chunk))) :]
            path.write_bytes(bytes(chunk))
            opened = self.open()
            loaded = opened.load()
            opened.close()
            self.assertIn(len(loaded.entries), (synced, synced + count))
            again = self.open()
            self.assertEqual(again.load().entries, loaded.entries)
            again.close()

    def damage(self, chunk, begin, draw):
        """Keep, lose or tear one sector."""
        end = min(begin + SECTOR_BYTES, len(chunk))
        fate = draw.draw(st.sampled_from(("kept", "lost", "torn")))
        if fate == "lost":
            chunk[begin:end] = bytes(end - begin)
        elif fate == "torn":
            middle = draw.draw(st.integers(begin, end))
            chunk[middle:end] = bytes(end - middle)

    def test_a_batch_that_the_disk_refused_is_written_again(self):
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

    def test_a_device_without_room_leaves_nothing_that_fails_later(self):
        """What a full device refused must not be written when its file is closed."""
        opened = self.open()
        opened.load()
        opened.close()
        opened.segment = opened.stack.enter_context(opened.open_file("/dev/full"))
        batch = make_ready([make_entry(1, command=b"z" * 400)])
        with self.assertRaises(errors.DiskFailed):
            opened.persist(batch)
        opened.open_segment(opened.segment_number + 1)
        opened.persist(batch)
        opened.close()
        loaded = self.open().load()
        self.assertEqual([entry.index for entry in loaded.entries], [1])

    def test_a_record_missing_between_others_is_an_error(self):
        self.write(make_ready([make_entry(1)]), make_ready([make_entry(3)]))
        with self.assertRaises(errors.CorruptFile):
            self.open().load()


if __name__ == "__main__":
    unittest.main()
