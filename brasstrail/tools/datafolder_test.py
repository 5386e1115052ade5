"""Tests of reading a data folder without changing it."""

import pathlib
import tempfile
import unittest
import unittest.mock

from brasstrail.core import errors
from brasstrail.protocol import codec, commands, messages, snapshots
from brasstrail.state import documents, journal, machine
from brasstrail.tools import datafolder

VOTERS = (messages.Replica("a", "1"), messages.Replica("b", "2"))


def make_entry(index, version):
    """Return a record that replaces the document; its body is the version number."""
    command = commands.ReplaceDocument(version, documents.pack(b"%d" % version))
    return messages.Entry(index, 1, codec.encode(codec.COMMAND, command))


class DataFolderTest(unittest.TestCase):
    """A folder with a snapshot and records after it."""

    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.path = pathlib.Path(temporary_folder.name)
        state = machine.Machine()
        state.restore(b"")
        state.apply(make_entry(1, 4))
        with journal.Journal(self.path) as folder_journal:
            folder_journal.write_identity(
                snapshots.Identity("a", "1", "cluster", VOTERS)
            )
            folder_journal.load()
            self.persist(folder_journal, (make_entry(1, 4), make_entry(2, 7)))
            folder_journal.save_snapshot(
                snapshots.SnapshotFile(1, 1, VOTERS, (), state.dump())
            )
            self.persist(folder_journal, (make_entry(3, 6),))

    def persist(self, folder_journal, entries):
        ready = unittest.mock.Mock(
            snapshot=None, hard_state=snapshots.HardState(3, "a/1"), entries=entries
        )
        folder_journal.persist(ready)

    def file_contents(self):
        return {path.name: path.read_bytes() for path in self.path.iterdir()}

    def test_read_describes_folder_without_changing_it(self):
        before = self.file_contents()
        contents = datafolder.read(self.path)
        self.assertEqual(self.file_contents(), before)
        self.assertEqual((contents.last_index, contents.snapshot.index), (3, 1))
        self.assertEqual(contents.hard_state.term, 3)
        self.assertEqual(contents.voters, VOTERS)
        self.assertEqual(contents.document.version, 7)
        text = "\n".join(datafolder.describe(contents))
        self.assertIn("version 7", text)

    def test_rollout_is_shown_with_the_reason_of_its_last_step(self):
        order = commands.StartRollout(1000, "s", "v2", 60_000)
        step = commands.AdvanceRollout(
            2000, "s", 1000, 4, "reverted", 1, 0.0, "failures on chat"
        )
        with journal.Journal(self.path) as folder_journal:
            folder_journal.load()
            for index, command in ((4, order), (5, step)):
                payload = codec.encode(codec.COMMAND, command)
                self.persist(folder_journal, (messages.Entry(index, 1, payload),))
        rows = datafolder.describe(datafolder.read(self.path))
        expected = "roll-out     s to v2: reverted (failures on chat)"
        self.assertIn(expected, rows)

    def test_export_writes_document_as_received(self):
        target = self.path / "document.json"
        datafolder.export_document(datafolder.read(self.path), target)
        self.assertEqual(target.read_bytes(), b"7")

    def test_torn_write_is_reported_and_corruption_raises(self):
        (segment,) = self.path.glob("segment-*.log")
        complete_bytes = segment.read_bytes()
        segment.write_bytes(complete_bytes[:-3])
        contents = datafolder.read(self.path)
        self.assertEqual(len(contents.torn_writes), 1)
        self.assertEqual(segment.read_bytes(), complete_bytes[:-3])
        segment.write_bytes(complete_bytes[:12] + b"\xff" + complete_bytes[13:])
        with self.assertRaises(errors.CorruptFile):
            datafolder.read(self.path)

    def test_empty_folder(self):
        with tempfile.TemporaryDirectory() as folder:
            contents = datafolder.read(folder)
            self.assertEqual(datafolder.describe(contents)[0], "blank")
            with self.assertRaises(errors.NotFound):
                datafolder.export_document(contents, "unused")


if __name__ == "__main__":
    unittest.main()
