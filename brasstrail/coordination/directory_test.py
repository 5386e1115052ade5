"""Tests of the directory: late, out-of-order and repeated announcements."""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.coordination import directory
from brasstrail.core import servers
from brasstrail.tools import fuzzing

READY = servers.ServerPhase.READY
LEAVING = servers.ServerPhase.LEAVING
GONE = servers.ServerPhase.GONE


def announce(identity="a", address="h:1", phase=READY, born_ms=10, sequence=1):
    """Return an announcement."""
    return servers.Announcement(
        identity, "svc", address, "east", phase, born_ms, sequence
    )


class AnnouncementOrderTest(unittest.TestCase):
    """Only the latest announcement of the latest start applies."""

    def setUp(self):
        self.directory = directory.Directory(1000)

    def phase(self, identity="a"):
        return self.directory.known[identity].phase

    def test_late_announcement_does_not_revert_leaving_phase(self):
        self.directory.record_announcement(announce(phase=LEAVING, sequence=5), 0)
        self.assertFalse(self.directory.record_announcement(announce(sequence=4), 10))
        self.assertIs(self.phase(), LEAVING)

    def test_later_start_of_same_identity_restarts_sequence(self):
        self.directory.record_announcement(announce(phase=LEAVING, sequence=5), 0)
        self.assertTrue(
            self.directory.record_announcement(announce(born_ms=20, sequence=1), 10)
        )
        self.assertIs(self.phase(), READY)

    def test_gone_server_stays_gone(self):
        self.directory.record_announcement(announce(sequence=3), 0)
        self.directory.mark_gone("a")
        self.directory.record_announcement(announce(sequence=4), 10)
        self.assertIs(self.phase(), GONE)

    def test_new_start_at_address_marks_earlier_server_gone(self):
        self.directory.record_announcement(announce("a", born_ms=10), 0)
        self.directory.record_announcement(announce("b", born_ms=20), 5)
        self.assertIs(self.phase("a"), GONE)
        self.assertIs(self.phase("b"), READY)

    def test_delayed_announcement_of_replaced_server_is_ignored(self):
        self.directory.record_announcement(announce("b", born_ms=20), 5)
        self.assertFalse(
            self.directory.record_announcement(announce("a", born_ms=10), 10)
        )
        self.assertEqual(
            [
                item.announcement.identity
                for item in self.directory.ready_servers("svc")
            ],
            ["b"],
        )

    def test_end_of_unknown_server_is_remembered(self):
        self.assertTrue(
            self.directory.record_announcement(announce(phase=GONE, sequence=0), 0)
        )
        self.assertFalse(self.directory.record_announcement(announce(sequence=4), 10))
        self.assertIs(self.phase(), GONE)

    def test_end_without_start_time_ends_known_start(self):
        self.directory.record_announcement(announce(sequence=3), 0)
        end_announcement = announce(address="", phase=GONE, born_ms=0, sequence=0)
        self.assertTrue(self.directory.record_announcement(end_announcement, 10))
        self.assertIs(self.phase(), GONE)

    def test_late_end_of_earlier_start_is_ignored(self):
        self.directory.record_announcement(announce(born_ms=20), 0)
        self.assertFalse(
            self.directory.record_announcement(announce(phase=GONE, born_ms=10), 10)
        )
        self.assertIs(self.phase(), READY)

    def test_version_of_a_start_is_kept_when_it_is_passed_on_without_it(self):
        """A control host of an earlier build does not know the field."""
        for first, second in (("v1", ""), ("", "v1")):
            for sequence in (1, 2):
                state = directory.Directory(1000)
                stated = announce(born_ms=1)
                state.record_announcement(dataclasses.replace(stated, version=first), 0)
                later = dataclasses.replace(stated, version=second, sequence=sequence)
                state.record_announcement(later, 1)
                self.assertEqual(state.known["a"].announcement.version, "v1")
        state.record_announcement(announce(born_ms=2), 2)
        self.assertEqual(state.known["a"].announcement.version, "")

    def test_expired_server_may_be_announced_again(self):
        self.directory.record_announcement(announce(), 0)
        self.directory.remove_expired(directory.RETENTION_MS + 1)
        self.assertTrue(
            self.directory.record_announcement(announce(), directory.RETENTION_MS + 2)
        )

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.permutations(range(6)))
    def test_result_is_independent_of_arrival_order(self, order):
        announcements = [
            announce("a", born_ms=10, sequence=1),
            announce("a", born_ms=10, sequence=2, phase=LEAVING),
            announce("a", born_ms=30, sequence=1),
            announce("b", born_ms=20, sequence=1),
            announce("b", born_ms=20, sequence=2),
            dataclasses.replace(announce("c", "h:2"), sequence=9),
        ]
        for position in order:
            self.directory.record_announcement(announcements[position], position)
        self.assertIs(self.phase("a"), READY)
        self.assertIs(self.phase("b"), GONE)
        self.assertIs(self.phase("c"), READY)
        self.directory = directory.Directory(1000)


if __name__ == "__main__":
    unittest.main()
