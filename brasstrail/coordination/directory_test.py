"""Tests of the directory: late, forged and repeated announcements."""

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


class OrderTest(unittest.TestCase):
    """Only the latest word of the latest start counts."""

    def setUp(self):
        self.directory = directory.Directory(1000)

    def phase(self, identity="a"):
        return self.directory.known[identity].phase

    def test_a_late_announcement_does_not_take_leaving_back(self):
        self.directory.take(announce(phase=LEAVING, sequence=5), 0)
        self.assertFalse(self.directory.take(announce(sequence=4), 10))
        self.assertIs(self.phase(), LEAVING)

    def test_a_later_start_of_the_same_identity_counts_from_one(self):
        self.directory.take(announce(phase=LEAVING, sequence=5), 0)
        self.assertTrue(self.directory.take(announce(born_ms=20, sequence=1), 10))
        self.assertIs(self.phase(), READY)

    def test_a_server_that_is_gone_stays_gone(self):
        self.directory.take(announce(sequence=3), 0)
        self.directory.end("a")
        self.directory.take(announce(sequence=4), 10)
        self.assertIs(self.phase(), GONE)

    def test_a_new_start_at_an_address_ends_the_earlier_server(self):
        self.directory.take(announce("a", born_ms=10), 0)
        self.directory.take(announce("b", born_ms=20), 5)
        self.assertIs(self.phase("a"), GONE)
        self.assertIs(self.phase("b"), READY)

    def test_a_delayed_word_of_a_dead_server_names_nothing(self):
        self.directory.take(announce("b", born_ms=20), 5)
        self.assertFalse(self.directory.take(announce("a", born_ms=10), 10))
        self.assertEqual(
            [item.announcement.identity for item in self.directory.serving("svc")],
            ["b"],
        )

    def test_the_end_of_a_server_that_is_not_known_is_remembered(self):
        self.assertTrue(self.directory.take(announce(phase=GONE, sequence=0), 0))
        self.assertFalse(self.directory.take(announce(sequence=4), 10))
        self.assertIs(self.phase(), GONE)

    def test_an_end_without_its_start_ends_what_is_known(self):
        self.directory.take(announce(sequence=3), 0)
        end = announce(address="", phase=GONE, born_ms=0, sequence=0)
        self.assertTrue(self.directory.take(end, 10))
        self.assertIs(self.phase(), GONE)

    def test_a_late_end_of_an_earlier_start_ends_nothing(self):
        self.directory.take(announce(born_ms=20), 0)
        self.assertFalse(self.directory.take(announce(phase=GONE, born_ms=10), 10))
        self.assertIs(self.phase(), READY)

    def test_what_is_forgotten_may_come_again(self):
        self.directory.take(announce(), 0)
        self.directory.forget(directory.FORGET_MS + 1)
        self.assertTrue(self.directory.take(announce(), directory.FORGET_MS + 2))

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.permutations(range(6)))
    def test_any_order_of_arrival_gives_the_same(self, order):
        said = [
            announce("a", born_ms=10, sequence=1),
            announce("a", born_ms=10, sequence=2, phase=LEAVING),
            announce("a", born_ms=30, sequence=1),
            announce("b", born_ms=20, sequence=1),
            announce("b", born_ms=20, sequence=2),
            dataclasses.replace(announce("c", "h:2"), sequence=9),
        ]
        for place in order:
            self.directory.take(said[place], place)
        self.assertIs(self.phase("a"), READY)
        self.assertIs(self.phase("b"), GONE)
        self.assertIs(self.phase("c"), READY)
        self.directory = directory.Directory(1000)


if __name__ == "__main__":
    unittest.main()
