"""Tests of the emulator, and of the policy under the load of a busy day."""

import random
import unittest

from brasstrail.emulator import engine, experiment, load
from brasstrail.tools import experiment as tool

BURST = (load.Phase(1500, 1.0), load.Phase(2500, 2.5), load.Phase(1500, 1.0))
SEEDS = (1, 2, 3)


class EngineTest(unittest.TestCase):
    """Rounds, batches and chunks."""

    def run_all(self, served):
        """Return when each request made its last token."""
        now_ms, ends = 0.0, {}
        while not served.is_idle:
            length_ms, made = served.step()
            now_ms += length_ms
            ends.update({each.identity: now_ms for each in made if each.is_last})
        return ends

    def test_a_request_takes_its_prompt_and_its_tokens(self):
        speed = engine.EngineSpeed(first_ms=0.0)
        served = engine.Engine(speed)
        served.admit("a", 3600, 10)
        expected_ms = 3600 / speed.tokens_a_ms + 11 * speed.round_ms
        self.assertAlmostEqual(self.run_all(served)["a"], expected_ms, delta=10)

    def test_what_does_not_fit_into_the_batch_waits(self):
        served = engine.Engine(engine.EngineSpeed(slots=1))
        served.admit("a", 10, 100)
        served.admit("b", 10, 1)
        ends = self.run_all(served)
        self.assertGreater(ends["b"], ends["a"])

    def test_a_long_prompt_delays_its_neighbours(self):
        alone, beside = engine.Engine(engine.EngineSpeed()), None
        alone.admit("a", 10, 50)
        beside = engine.Engine(engine.EngineSpeed())
        beside.admit("a", 10, 50)
        beside.admit("b", 30_000, 1)
        self.assertGreater(self.run_all(beside)["a"], 1.5 * self.run_all(alone)["a"])

    def test_a_cancelled_request_makes_no_more_tokens(self):
        served = engine.Engine(engine.EngineSpeed())
        served.admit("a", 10, 50)
        served.step()
        served.cancel("a")
        self.assertTrue(served.is_idle)


class LoadTest(unittest.TestCase):
    """The same seed gives the same load; rates are kept."""

    def test_arrivals_repeat_and_follow_the_rate(self):
        made = [
            load.make_arrivals(random.Random(4), load.KINDS, load.PHASES, 8)
            for _ in range(2)
        ]
        self.assertEqual(made[0], made[1])
        expected = sum(
            kind.rate * phase.factor * phase.length_ms / 1000
            for kind in load.KINDS
            for phase in load.PHASES
        )
        self.assertAlmostEqual(len(made[0]), expected, delta=0.15 * expected)


class BurstOfAllKindsTest(unittest.TestCase):
    """A burst of all kinds of work at two and a half times the usual rate."""

    def play(self, maker):
        return [experiment.play(seed, phases=BURST, make_pool=maker) for seed in SEEDS]

    def test_the_top_kind_is_never_refused_and_beats_the_baseline(self):
        ranked = self.play(tool.POLICIES["ranked"])
        arrival = self.play(tool.POLICIES["arrival"])
        for ours, theirs in zip(ranked, arrival, strict=True):
            self.assertEqual(ours.kinds[0].refused, 0)
            self.assertGreater(ours.worth, theirs.worth)
            self.assertGreaterEqual(ours.kinds[0].on_time, theirs.kinds[0].on_time)

    def test_every_request_has_one_fate(self):
        world = experiment.World(
            random.Random(2), load.KINDS, BURST, tool.POLICIES["ranked"]
        )
        world.run()
        for fate in world.fates.values():
            self.assertNotEqual(fate.is_refused, fate.is_whole)
        for gateway in world.gateways:
            self.assertEqual(gateway.own_load_shares(), {})
            self.assertEqual(gateway.waiting, {})


if __name__ == "__main__":
    unittest.main()
