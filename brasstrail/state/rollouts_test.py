"""Tests of the replicated roll-outs over drawn orders, steps, repeats and restores."""

import base64
import unittest
import zlib

import hypothesis
from hypothesis import strategies

from brasstrail.core import errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.state import machine, rollouts

ORDERS = strategies.tuples(
    strategies.just("start"),
    strategies.sampled_from(("s", "t")),
    strategies.sampled_from(("v1", "v2", "v3")),
    strategies.sampled_from((60_000, 90_000)),
    strategies.sampled_from((0, 1000, 20_000)),
)
STEPS = strategies.tuples(
    strategies.just("advance"),
    strategies.sampled_from(("s", "t")),
    strategies.sampled_from(("in_progress", "completed", "reverted")),
    strategies.booleans(),
    strategies.sampled_from((0, 1000, 20_000)),
)

# The compressed state of a machine at a6ec298, the build before roll-outs: a cluster's
# identity, a document with the version 4 and a retired server.
FORMER_STATE = (
    "eNpjYGBg0GGAAEYgRAYsDJwMzFA2O1wNTA4CFIFYCogVwHLMDISALBBzQWkpKC0OxJkpDCSBlPxk"
    "uDtA7mZHkmNlYANiVPcy4jBHFIiF0OgkIJYEYi00GuTuRKi+YihtaGSuZwCEhlaWYH5qYnEJiE7P"
    "z0tFtgcAGgwLHg=="
)


class Harness:
    """Two replicas that apply the same log; one is restored before each entry."""

    def __init__(self):
        self.replicas = [machine.Machine(), machine.Machine()]
        self.index = 0

    def apply(self, command):
        """Apply a command at both replicas; return its result."""
        self.index += 1
        payload = codec.encode(codec.COMMAND, command)
        self.replicas[1].restore(self.replicas[1].dump())
        results = [
            each.apply(messages.Entry(self.index, 1, payload)).result
            for each in self.replicas
        ]
        assert results[0] == results[1]
        assert self.replicas[0].dump() == self.replicas[1].dump()
        return codec.decode(codec.RESULT, results[0])

    def held(self, service="s"):
        """Return the record of a service, or None."""
        return self.replicas[0].rollouts.by_service.get(service)

    def order(self, now_ms, to="v2", duration_ms=60_000, service="s"):
        """Apply an order; return whether it was accepted."""
        return self.apply(commands.StartRollout(now_ms, service, to, duration_ms))

    def advance(self, now_ms, state, held, share=0.02):
        """Apply a step that was decided with a record."""
        return self.apply(
            commands.AdvanceRollout(
                now_ms,
                held.service,
                held.ordered_ms,
                held.index,
                state,
                held.stage + 1,
                share,
                "r",
            )
        ).applied


class RolloutsTest(unittest.TestCase):
    """Orders, repeats, conflicts and steps that come too late."""

    @hypothesis.settings(deadline=None, max_examples=150)
    @hypothesis.given(strategies.lists(strategies.one_of(ORDERS, STEPS), max_size=25))
    def test_drawn_orders_and_steps(self, drawn):
        """Guards against a decision that is lost, changed, or made by an old leader."""
        harness, now_ms, old = Harness(), 1000, {}
        for kind, service, *rest, pause_ms in drawn:
            now_ms += pause_ms
            before = harness.held(service)
            if kind == "start":
                result = harness.order(now_ms, *rest, service=service)
                self.check_order(before, harness.held(service), result, rest, now_ms)
                old.setdefault(service, harness.held(service))
                continue
            state, is_stale = rest
            held = old.get(service) if is_stale else before
            if held is None:
                continue
            is_applied = harness.advance(now_ms, state, held)
            self.assertEqual(is_applied, held.index == before.index and is_open(before))
            if not is_applied:
                self.assertEqual(harness.held(service), before)

    def check_order(self, before, after, result, order, now_ms):
        """Check the record after an order against the one before."""
        to, duration_ms = order
        if result.code == errors.RolloutInProgress.code:
            self.assertTrue(is_open(before))
            self.assertNotEqual((before.to, before.duration_ms), (to, duration_ms))
            self.assertEqual(after, before)
            return
        self.assertTrue(result.applied)
        self.assertEqual(after.to, to)
        if before is not None and is_open(before):
            self.assertEqual(after, before)
        elif after != before:
            self.assertEqual(after.deadline_ms, now_ms + duration_ms)
            self.assertNotIn(to, after.reverted)
            if before is not None and before.state == "reverted" and before.to != to:
                self.assertIn(before.to, after.reverted)

    def test_repeat_after_the_decision_is_acknowledged_and_later_one_starts(self):
        harness = Harness()
        harness.order(1000)
        self.assertTrue(harness.advance(2000, "reverted", harness.held(), 0.0))
        decided = harness.held()
        self.assertTrue(harness.order(7000).applied)
        self.assertEqual(harness.held(), decided)
        self.assertTrue(harness.order(1001 + rollouts.REPEAT_MS).applied)
        self.assertEqual(harness.held().state, "in_progress")

    def test_order_to_the_completed_version_changes_nothing(self):
        """Guards against a service whose only version becomes the one under test."""
        harness = Harness()
        harness.order(1000)
        harness.advance(2000, "completed", harness.held(), 1.0)
        completed = harness.held()
        self.assertTrue(harness.order(100_000).applied)
        self.assertEqual(harness.held(), completed)
        harness.order(200_000, "v3")
        self.assertEqual(harness.held().base_version, "v2")
        self.assertEqual(harness.held().base_ms, 2000)

    def test_snapshot_of_the_build_before_has_no_rollouts(self):
        """Guards against a state that cannot be read after an update of the build."""
        restored = machine.Machine()
        restored.restore(zlib.decompress(base64.b64decode(FORMER_STATE)))
        self.assertEqual(
            (restored.view.cluster_id, restored.document.version), ("id", 4)
        )
        self.assertIn("a", restored.retirements.by_identity)
        self.assertEqual(
            (restored.rollouts.by_service, restored.rollouts.index), ({}, 0)
        )


def is_open(rollout):
    """Return whether a roll-out is in progress."""
    return rollout.state == "in_progress"


if __name__ == "__main__":
    unittest.main()
