"""A stateful property test of the ledger against a simple model."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brasstrail.core import data
from brasstrail.protocol import commands
from brasstrail.state import ledger
from brasstrail.tools import fuzzing

KEYS = st.sampled_from(["a", "b"])
DISPATCHES = st.sampled_from(["d1", "d2", "d3"])
DIGEST = b"digest"


def make_dispatch(dispatch_id):
    """Return a dispatch with an agent named after its id."""
    return data.Dispatch(dispatch_id, f"agent-{dispatch_id}", 1)


class LedgerStateMachine(RuleBasedStateMachine):
    """Concurrent entries and agents whose commands arrive late, repeated or reordered.

    The model holds the dispatches that were bound and not released since. There
    may be at most one for each key at any time.
    """

    def __init__(self):
        super().__init__()
        self.ledger = ledger.Ledger()
        self.bound_dispatches = {"a": set(), "b": set()}
        self.answers = {}
        self.now_ms = 0

    @rule(key=KEYS)
    def receive(self, key):
        self.now_ms += 1
        command = commands.Receive("w", key, DIGEST, self.now_ms)
        result = self.ledger.apply(command)
        assert result.record is not None

    @rule(key=KEYS)
    def receive_with_other_digest(self, key):
        command = commands.Receive("w", key, b"other", self.now_ms)
        known = self.ledger.find("w", key)
        if known is not None:
            result = self.ledger.apply(command)
            assert result.code == ledger.KEY_REUSED

    @rule(key=KEYS, dispatch_id=DISPATCHES)
    def bind(self, key, dispatch_id):
        command = commands.Bind("w", key, make_dispatch(dispatch_id), self.now_ms)
        if self.ledger.apply(command).applied:
            self.bound_dispatches[key].add(dispatch_id)

    @rule(key=KEYS, dispatch_id=DISPATCHES)
    def settle(self, key, dispatch_id):
        answer = data.Answer(200, (), dispatch_id.encode())
        command = commands.Settle("w", key, dispatch_id, answer, self.now_ms)
        if self.ledger.apply(command).applied:
            assert dispatch_id in self.bound_dispatches[key]
            assert self.answers.setdefault(key, dispatch_id) == dispatch_id

    @rule(key=KEYS, dispatch_id=DISPATCHES)
    def release(self, key, dispatch_id):
        command = commands.Release("w", key, dispatch_id, self.now_ms)
        if self.ledger.apply(command).applied:
            self.bound_dispatches[key].remove(dispatch_id)

    @rule(key=KEYS, dispatch_id=DISPATCHES)
    def mark_unknown(self, key, dispatch_id):
        command = commands.Doubt("w", key, dispatch_id, self.now_ms)
        if self.ledger.apply(command).applied:
            assert dispatch_id in self.bound_dispatches[key]

    @rule(age=st.integers(0, 5))
    def expire(self, age):
        self.ledger.apply(commands.Expire(self.now_ms - age))

    @rule()
    def reload(self):
        self.ledger = ledger.Ledger(tuple(self.ledger.records.values()))

    @invariant()
    def at_most_one_dispatch_is_bound(self):
        for key, dispatch_ids in self.bound_dispatches.items():
            assert len(dispatch_ids) <= 1, (key, dispatch_ids)

    @invariant()
    def answered_records_stay_answered(self):
        for key, dispatch_id in self.answers.items():
            record = self.ledger.find("w", key)
            assert record.state == data.ExecutionState.ANSWERED
            if record.answer_kept:
                assert record.answer.body == dispatch_id.encode()


LedgerFuzz = LedgerStateMachine.TestCase
LedgerFuzz.settings = settings(
    fuzzing.SETTINGS, max_examples=200, stateful_step_count=40
)


class LedgerTest(unittest.TestCase):
    """Single cases in addition to the property test."""

    def test_expired_answer_still_prevents_a_second_dispatch(self):
        execution_ledger = ledger.Ledger()
        execution_ledger.apply(commands.Receive("w", "k", DIGEST, 1))
        execution_ledger.apply(commands.Bind("w", "k", make_dispatch("d"), 2))
        execution_ledger.apply(commands.Settle("w", "k", "d", data.Answer(200), 3))
        execution_ledger.apply(commands.Expire(10))
        record = execution_ledger.apply(commands.Receive("w", "k", DIGEST, 11)).record
        self.assertEqual(record.state, data.ExecutionState.ANSWERED)
        self.assertFalse(record.answer_kept)
        second_bind = commands.Bind("w", "k", make_dispatch("e"), 12)
        self.assertFalse(execution_ledger.apply(second_bind).applied)

    def test_late_answer_resolves_an_unknown_outcome(self):
        execution_ledger = ledger.Ledger()
        execution_ledger.apply(commands.Receive("w", "k", DIGEST, 1))
        execution_ledger.apply(commands.Bind("w", "k", make_dispatch("d"), 2))
        execution_ledger.apply(commands.Doubt("w", "k", "d", 3))
        settle = commands.Settle("w", "k", "d", data.Answer(200), 4)
        self.assertTrue(execution_ledger.apply(settle).applied)


if __name__ == "__main__":
    unittest.main()
