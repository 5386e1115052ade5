"""Power losses and ends of the process at every step of the journal's operations.

What was acknowledged before the loss must be read afterwards. What a started replica
has read counts as acknowledged, since it reports that to the leader.
"""

import itertools
import pathlib
import random
import tempfile
import unittest

from brasstrail.core import errors
from brasstrail.fakes import disks, recorders
from brasstrail.protocol import snapshots
from brasstrail.state import journal

DRAWS = 12


def append_and_compact(recorder):
    """Entries, snapshots of the own log, and a restart between them."""
    recorder.restart()
    recorder.persist(recorders.make_batch(1, 3, 1, voted_term=1))
    recorder.persist(recorders.make_batch(4, 6, 1))
    recorder.save(4, 1)
    recorder.restart()
    recorder.persist(recorders.make_batch(7, 8, 2, voted_term=2))
    recorder.save(7, 2)
    recorder.restart()
    recorder.persist(recorders.make_batch(9, 9, 2))
    recorder.save(9, 2)
    recorder.persist(recorders.make_batch(10, 10, 2))


def receive_snapshot_of_held_log(recorder):
    """A snapshot arrives although the log holds all of it and more."""
    recorder.restart()
    recorder.persist(recorders.make_batch(1, 6, 1, voted_term=1))
    recorder.persist(recorders.make_batch(7, 12, 1))
    recorder.persist(
        recorders.make_batch(9, 12, 1, recorders.make_snapshot(8, 1), voted_term=2)
    )
    recorder.persist(recorders.make_batch(13, 13, 2))


def receive_snapshot_of_another_log(recorder):
    """A snapshot replaces entries that were never committed, and more follow."""
    recorder.restart()
    recorder.persist(recorders.make_batch(1, 12, 1, voted_term=1))
    recorder.restart()
    recorder.persist(recorders.make_batch(13, 14, 1))
    recorder.persist(
        recorders.make_batch(11, 11, 2, recorders.make_snapshot(10, 2), voted_term=2)
    )
    recorder.persist(recorders.make_batch(12, 13, 2))
    recorder.restart()
    recorder.persist(recorders.make_batch(14, 14, 2))


def replace_entries_and_compact(recorder):
    """Entries that were never committed are replaced, then both are compacted."""
    recorder.restart()
    recorder.persist(recorders.make_batch(1, 4, 1, voted_term=1))
    recorder.restart()
    recorder.persist(recorders.make_batch(4, 4, 2, voted_term=2))
    recorder.restart()
    recorder.persist(recorders.make_batch(5, 8, 2))
    recorder.save(4, 2)
    recorder.persist(recorders.make_batch(9, 9, 2))


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
            recorder = recorders.Recorder(folder, disk)
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
                    recorder = recorders.Recorder(folder, disk)
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
