"""Tests of looking at a data folder."""

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
    """Return the record of a document."""
    command = commands.ReplaceDocument(version, documents.pack(b"%d" % version))
    return messages.Entry(index, 1, codec.encode(codec.COMMAND, command))


class FolderTest(unittest.TestCase):
    """A folder with a snapshot and a few records after it."""

    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.path = pathlib.Path(holder.name)
        state = machine.Machine()
        state.restore(b"")
        state.apply(make_entry(1, 4))
        with journal.Journal(self.path) as held:
            held.write_identity(snapshots.Identity("a", "1", "cluster", VOTERS))
            held.load()
            self.persist(held, (make_entry(1, 4), make_entry(2, 7)))
            held.save_snapshot(snapshots.SnapshotFile(1, 1, VOTERS, (), state.dump()))
            self.persist(held, (make_entry(3, 6),))

    def persist(self, held, entries):
        ready = unittest.mock.Mock(
            snapshot=None, hard_state=snapshots.HardState(3, "a/1"), entries=entries
        )
        held.persist(ready)

    def names(self):
        return {path.name: path.read_bytes() for path in self.path.iterdir()}

    def test_what_is_held_is_shown_and_nothing_changes(self):
        before = self.names()
        shown = datafolder.read(self.path)
        self.assertEqual(self.names(), before)
        self.assertEqual((shown.last_index, shown.snapshot.index), (3, 1))
        self.assertEqual(shown.hard_state.term, 3)
        self.assertEqual(shown.voters, VOTERS)
        self.assertEqual(shown.document.version, 7)
        text = "\n".join(datafolder.describe(shown))
        self.assertIn("version 7", text)

    def test_a_document_is_exported_as_it_was_sent(self):
        target = self.path / "document.json"
        datafolder.export_document(datafolder.read(self.path), target)
        self.assertEqual(target.read_bytes(), b"7")

    def test_torn_writes_are_shown_and_damage_is_an_error(self):
        (segment,) = self.path.glob("segment-*.log")
        whole = segment.read_bytes()
        segment.write_bytes(whole[:-3])
        shown = datafolder.read(self.path)
        self.assertEqual(len(shown.torn), 1)
        self.assertEqual(segment.read_bytes(), whole[:-3])
        segment.write_bytes(whole[:12] + b"\xff" + whole[13:])
        with self.assertRaises(errors.CorruptFile):
            datafolder.read(self.path)

    def test_a_blank_folder(self):
        with tempfile.TemporaryDirectory() as folder:
            shown = datafolder.read(folder)
            self.assertEqual(datafolder.describe(shown)[0], "blank")
            with self.assertRaises(errors.NotFound):
                datafolder.export_document(shown, "unused")


if __name__ == "__main__":
    unittest.main()
