"""Power losses and ends of the process at every step of the journal's operations.

What was acknowledged before the loss must be read afterwards. What a started replica
has read counts as acknowledged, since it reports that to the leader.
"""

import itertools
import pathlib
import random
import tempfile
import unittest

from brasstrail.coordination import raft
from brasstrail.core import errors
from brasstrail.fakes import disks
from brasstrail.protocol import messages, snapshots
from brasstrail.state import journal

DRAWS = 12
NEXT_TERM = 9


def make_batch(first, last, term, snapshot=None, voted_term=None):
    """Return a `raft.Ready` with the entries from `first` to `last`."""
    entries = tuple(
        messages.Entry(index, term, b"c%d.%d" % (index, term))
        for index in range(first, last + 1)
    )
    state = snapshots.HardState(voted_term, "c1/d") if voted_term else None
    return raft.Ready(state, snapshot, entries, (), ())


def make_snapshot(index, term):
    """Return a snapshot at an index."""
    return snapshots.SnapshotFile(index, term, (), (), b"state %d" % index)


class Recorder:
    """A journal on a simulated disk, and the (index, term) that it must hold.

    `term` is the newest term whose election state was made durable.
    """

    def __init__(self, folder, disk):
        self.folder = folder
        self.disk = disk
        self.held = {}
        self.snapshot_index = 0
        self.term = 0
        self.journal = journal.Journal(folder, disk)

    def restart(self):
        """Start the process again and return what it reads."""
        self.journal.close()
        self.journal = journal.Journal(self.folder, self.disk)
        return self.journal.load()

    def persist(self, batch):
        """Write a batch, which is acknowledged once it is written.

        A leader's entry replaces held ones only if it conflicts with them.
        """
        first = batch.entries[0].index if batch.entries else None
        keeps = batch.snapshot is not None and (
            self.held.get(batch.snapshot.index) == batch.snapshot.term
        )
        if batch.snapshot is not None and not keeps:
            self.held = {}
        elif first is not None and not keeps:
            self.held = {i: t for i, t in self.held.items() if i < first}
        self.journal.persist(batch)
        if batch.hard_state is not None:
            self.term = batch.hard_state.term
        if batch.snapshot is not None:
            self.snapshot_index = batch.snapshot.index
        self.held.update((entry.index, entry.term) for entry in batch.entries)

    def hold(self, loaded):
        """Acknowledge what was read, and append an entry to it."""
        self.held.update((entry.index, entry.term) for entry in loaded.entries)
        self.snapshot_index = loaded.snapshot.index if loaded.snapshot else 0
        last_index = max(self.snapshot_index, *self.held, 0)
        self.persist(make_batch(last_index + 1, last_index + 1, NEXT_TERM))

    def save(self, index, term):
        """Compact the log up to an index."""
        self.journal.save_snapshot(make_snapshot(index, term))
        self.snapshot_index = index

    def check(self, loaded):
        """Raise `AssertionError` if something that was acknowledged is not read."""
        snapshot_index = loaded.snapshot.index if loaded.snapshot else 0
        read = {entry.index: entry.term for entry in loaded.entries}
        assert snapshot_index >= self.snapshot_index, "an older snapshot was read"
        for index, term in self.held.items():
            assert index <= snapshot_index or read.get(index) == term, (
                f"entry {index} of term {term} was acknowledged and is lost"
            )
        assert loaded.hard_state.term >= self.term, "the election state is older"


def append_and_compact(recorder):
    """Entries, snapshots of the own log, and a restart between them."""
    recorder.restart()
    recorder.persist(make_batch(1, 3, 1, voted_term=1))
    recorder.persist(make_batch(4, 6, 1))
    recorder.save(4, 1)
    recorder.restart()
    recorder.persist(make_batch(7, 8, 2, voted_term=2))
    recorder.save(7, 2)
    recorder.restart()
    recorder.persist(make_batch(9, 9, 2))
    recorder.save(9, 2)
    recorder.persist(make_batch(10, 10, 2))


def receive_snapshot_of_held_log(recorder):
    """A snapshot arrives although the log holds all of it and more."""
    recorder.restart()
    recorder.persist(make_batch(1, 6, 1, voted_term=1))
    recorder.persist(make_batch(7, 12, 1))
    recorder.persist(make_batch(9, 12, 1, make_snapshot(8, 1), voted_term=2))
    recorder.persist(make_batch(13, 13, 2))


def receive_snapshot_of_another_log(recorder):
    """A snapshot replaces entries that were never committed, and more follow."""
    recorder.restart()
    recorder.persist(make_batch(1, 12, 1, voted_term=1))
    recorder.restart()
    recorder.persist(make_batch(13, 14, 1))
    recorder.persist(make_batch(11, 11, 2, make_snapshot(10, 2), voted_term=2))
    recorder.persist(make_batch(12, 13, 2))
    recorder.restart()
    recorder.persist(make_batch(14, 14, 2))


def replace_entries_and_compact(recorder):
    """Entries that were never committed are replaced, then both are compacted."""
    recorder.restart()
    recorder.persist(make_batch(1, 4, 1, voted_term=1))
    recorder.restart()
    recorder.persist(make_batch(4, 4, 2, voted_term=2))
    recorder.restart()
    recorder.persist(make_batch(5, 8, 2))
    recorder.save(4, 2)
    recorder.persist(make_batch(9, 9, 2))


SCENARIOS = (
    append_and_compact,
    receive_snapshot_of_held_log,
    receive_snapshot_of_another_log,
    replace_entries_and_compact,
)


class PowerLossTest(unittest.TestCase):
    """Each scenario is ended before each of its steps, many times."""

    def run_scenario(self, scenario, last_step, seed, ends_first):
        """Run a scenario up to a step, and check what is read after a power loss.

        If `ends_first`, only the process ends first; what it reads when it has started
        again is acknowledged, and one more entry is. Returns whether the scenario was
        ended.
        """
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = pathlib.Path(temporary_folder) / "data"
            folder.mkdir()
            disk = disks.PowerLossDisk(folder, random.Random(seed))
            disk.last_step = last_step
            recorder = Recorder(folder, disk)
            try:
                scenario(recorder)
                ended = False
            except disks.PowerLost:
                ended = True
            disk.last_step = None
            if ends_first:
                loaded = recorder.restart()
                recorder.check(loaded)
                recorder.hold(loaded)
            recorder.journal.close()
            disk.lose_power()
            try:
                recorder.check(recorder.restart())
            finally:
                recorder.journal.close()
            return ended

    def check_all_steps(self, ends_first):
        failures = []
        for scenario in SCENARIOS:
            step = 0
            is_ended = True
            while is_ended:
                step += 1
                for seed in range(DRAWS):
                    try:
                        is_ended = self.run_scenario(scenario, step, seed, ends_first)
                    except (AssertionError, errors.CorruptFile) as error:
                        failures.append((scenario.__name__, step, seed, str(error)))
        self.assertEqual(failures, [])

    def test_power_loss_at_any_step_loses_nothing_acknowledged(self):
        """Guards against entries that are lost while a snapshot is installed.

        Also against removed segments that come back.
        """
        self.check_all_steps(ends_first=False)

    def test_power_loss_after_an_end_of_the_process_loses_nothing_read(self):
        """Guards against a start that reports entries which were never synced."""
        self.check_all_steps(ends_first=True)

    def test_identity_never_stays_without_its_records(self):
        """Guards against a replica that votes although its records were moved aside.

        The others would have to know what it had acknowledged, and may have restarted.
        """
        identity = snapshots.Identity("c1", "d1", "cluster")
        for step in itertools.count(1):
            for seed in range(DRAWS):
                with tempfile.TemporaryDirectory() as temporary_folder:
                    folder = pathlib.Path(temporary_folder) / "data"
                    folder.mkdir()
                    disk = disks.PowerLossDisk(folder, random.Random(seed))
                    recorder = Recorder(folder, disk)
                    recorder.journal.write_identity(identity)
                    append_and_compact(recorder)
                    disk.last_step = disk.steps + step
                    is_ended = False
                    try:
                        recorder.journal.move_aside("1")
                    except disks.PowerLost:
                        is_ended = True
                    disk.lose_power()
                    with journal.Journal(folder, disk) as reopened:
                        if reopened.read_identity() is not None:
                            recorder.check(reopened.load())
            if not is_ended:
                break


if __name__ == "__main__":
    unittest.main()
