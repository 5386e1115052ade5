"""Tests of the directory: late, out-of-order and repeated announcements."""

import dataclasses
import unittest

from hypothesis import given, settings, stateful
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
        self.directory.record_announcement(servers.make_end("a", 10), 5)
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
        end_announcement = servers.make_end("a", None)
        self.assertTrue(self.directory.record_announcement(end_announcement, 10))
        self.assertIs(self.phase(), GONE)

    def end_without_start(self, wall_ms, identity="a"):
        """Record an end that states no start, at a wall-clock time."""
        known = self.directory.known.get(identity)
        earlier = [known.announcement] if known else []
        end = directory.with_end_time(
            servers.make_end(identity, None), earlier, wall_ms
        )
        return self.directory.record_announcement(end, wall_ms)

    def test_late_announcement_of_a_start_that_was_unknown_at_its_end(self):
        """Guards against a withdrawn server in use again after a delayed report."""
        for earlier in ((), (announce(born_ms=10_000),)):
            for end in (None, servers.make_end("a", 50_000)):
                self.directory = directory.Directory(1000)
                for each in earlier:
                    self.directory.record_announcement(each, 10_000)
                if end is None:
                    self.assertTrue(self.end_without_start(53_000))
                else:
                    self.directory.record_announcement(end, 53_000)
                late = announce(born_ms=50_000, sequence=2)
                with self.subTest(earlier=earlier, end=end):
                    self.assertFalse(self.directory.record_announcement(late, 57_000))
                    self.assertIs(self.phase(), GONE)

    def test_start_after_an_end_without_a_start_is_used_at_once(self):
        self.end_without_start(53_000)
        self.assertTrue(self.directory.record_announcement(announce(born_ms=56_500), 0))
        self.assertIs(self.phase(), READY)

    def test_start_within_the_error_of_the_clocks_is_used_in_the_end(self):
        self.end_without_start(53_000)
        start = announce(born_ms=53_500)
        self.assertFalse(self.directory.record_announcement(start, 53_900))
        self.assertTrue(self.directory.record_announcement(start, 69_000))

    def test_restart_of_a_server_that_said_that_it_leaves_is_used_at_once(self):
        self.directory.record_announcement(announce(phase=LEAVING), 0)
        self.end_without_start(53_000)
        self.assertTrue(self.directory.record_announcement(announce(born_ms=53_100), 0))

    def test_end_that_is_heard_of_late_does_not_end_a_later_start(self):
        """Guards against a committed end that ends the start after it."""
        self.directory.record_announcement(announce(born_ms=60_000), 60_000)
        self.assertFalse(
            self.directory.record_announcement(
                directory.with_end_time(servers.make_end("a", None), [], 53_000), 61_000
            )
        )
        self.assertIs(self.phase(), READY)

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


MAX_DELAY_MS = 10_000
IDENTITIES = st.sampled_from(["a", "b"])


class WithdrawalMachine(stateful.RuleBasedStateMachine):
    """Servers that start, crash and withdraw, and reports that arrive in any order.

    A control host acknowledges withdrawals, which outlive a loss of its memory; its
    clock differs from those of the servers.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 100_000
        self.error_ms = 0
        self.directory = directory.Directory(1000)
        self.running = {}
        self.sequences = {}
        self.under_way = []
        self.withdrawn = set()
        self.committed = {}
        self.withdrawn_ms = {}

    @stateful.initialize(error_ms=st.integers(-1900, 1900))
    def set_clock(self, error_ms):
        self.error_ms = error_ms

    @stateful.rule(delta_ms=st.integers(1, 4000))
    def wait(self, delta_ms):
        self.now_ms += delta_ms
        self.under_way = [
            each for each in self.under_way if self.now_ms - each[0] <= MAX_DELAY_MS
        ]

    @stateful.rule(identity=IDENTITIES)
    def start(self, identity):
        if self.now_ms - self.withdrawn_ms.get(identity, 0) > 3000:
            self.running.setdefault(identity, self.now_ms)

    @stateful.rule(identity=IDENTITIES)
    def crash(self, identity):
        self.running.pop(identity, None)

    @stateful.rule(identity=IDENTITIES)
    def report(self, identity):
        if identity in self.running:
            start = identity, self.running[identity]
            self.sequences[start] = self.sequences.get(start, 0) + 1
            report = announce(*start[:1], identity, READY, start[1])
            report = dataclasses.replace(report, sequence=self.sequences[start])
            self.under_way.append((self.now_ms, report))

    @stateful.rule(choice=st.integers(0, 99))
    def deliver(self, choice):
        if self.under_way:
            _, report = self.under_way[choice % len(self.under_way)]
            self.directory.record_announcement(report, self.now_ms)

    @stateful.rule(identity=IDENTITIES, states_start=st.booleans())
    def withdraw(self, identity, states_start):
        if identity not in self.running:
            return
        born_ms = self.running.pop(identity)
        end = servers.make_end(identity, born_ms if states_start else None)
        if not states_start:
            known = self.directory.known.get(identity)
            earlier = [known.announcement] if known else []
            end = directory.with_end_time(end, earlier, self.now_ms + self.error_ms)
        self.directory.record_announcement(end, self.now_ms)
        self.committed[identity] = end
        self.withdrawn.add((identity, born_ms))
        self.withdrawn_ms[identity] = self.now_ms

    @stateful.rule()
    def lose_memory(self):
        self.directory = directory.Directory(1000)
        for each in self.committed.values():
            self.directory.record_announcement(each, self.now_ms)

    @stateful.invariant()
    def withdrawn_starts_are_not_used(self):
        ready = {
            (identity, known.announcement.born_ms)
            for identity, known in self.directory.known.items()
            if known.phase is READY
        }
        assert not ready & self.withdrawn

    def teardown(self):
        """A server that runs and reports is used in the end."""
        self.wait(MAX_DELAY_MS)
        self.wait(directory.REPORT_DELAY_MS)
        for identity, born_ms in self.running.items():
            self.report(identity)
            self.directory.record_announcement(self.under_way[-1][1], self.now_ms)
            known = self.directory.known[identity]
            assert (known.phase, known.announcement.born_ms) == (READY, born_ms)


class WithdrawalTest(WithdrawalMachine.TestCase):
    """No order of reports, crashes, ends and losses brings a withdrawn server back."""

    settings = settings(fuzzing.SETTINGS, max_examples=200, stateful_step_count=40)


if __name__ == "__main__":
    unittest.main()
