"""Tests of the emulator, and of the scheduling policy under a burst of load."""

import random
import unittest

from brasstrail.emulator import engine, experiment, load
from brasstrail.tools import experiment as tool

BURST = (load.Phase(1500, 1.0), load.Phase(2500, 2.5), load.Phase(1500, 1.0))
SEEDS = (1, 2, 3)


def check_outcome(test, result):
    """Check that a request was refused, completed or cut at its deadline, and only one.

    A cut one was running: its caller left before its answer was complete.
    """
    outcomes = (result.is_refused, result.is_complete, result.is_cut)
    test.assertEqual(sum(outcomes), 1)
    if result.is_cut:
        deadline_ms = result.arrival.at_ms + result.arrival.kind.deadline_ms
        test.assertLess(result.dispatched_ms, deadline_ms)
        test.assertLessEqual(result.last_event_ms or 0.0, deadline_ms)


class EngineTest(unittest.TestCase):
    """Engine steps, batch size and chunked prefill."""

    def run_to_completion(self, emulated_engine):
        """Return the time in ms at which each request generated its last token."""
        now_ms, completion_ms = 0.0, {}
        while not emulated_engine.is_idle:
            step_ms, generated = emulated_engine.step()
            now_ms += step_ms
            completion_ms.update(
                {each.identity: now_ms for each in generated if each.is_last}
            )
        return completion_ms

    def test_request_time_is_prefill_plus_decode(self):
        speed = engine.EngineSpeed(request_overhead_ms=0.0)
        emulated_engine = engine.Engine(speed)
        emulated_engine.add_request("a", 3600, 10)
        expected_ms = 3600 / speed.prefill_tokens_per_ms + 11 * speed.step_ms
        self.assertAlmostEqual(
            self.run_to_completion(emulated_engine)["a"], expected_ms, delta=10
        )

    def test_request_beyond_batch_size_waits(self):
        emulated_engine = engine.Engine(engine.EngineSpeed(slots=1))
        emulated_engine.add_request("a", 10, 100)
        emulated_engine.add_request("b", 10, 1)
        completion_ms = self.run_to_completion(emulated_engine)
        self.assertGreater(completion_ms["b"], completion_ms["a"])

    def test_long_prompt_delays_other_requests_in_batch(self):
        unshared_engine, shared_engine = engine.Engine(engine.EngineSpeed()), None
        unshared_engine.add_request("a", 10, 50)
        shared_engine = engine.Engine(engine.EngineSpeed())
        shared_engine.add_request("a", 10, 50)
        shared_engine.add_request("b", 30_000, 1)
        self.assertGreater(
            self.run_to_completion(shared_engine)["a"],
            1.5 * self.run_to_completion(unshared_engine)["a"],
        )

    def test_cancelled_request_generates_no_more_tokens(self):
        emulated_engine = engine.Engine(engine.EngineSpeed())
        emulated_engine.add_request("a", 10, 50)
        emulated_engine.step()
        emulated_engine.cancel("a")
        self.assertTrue(emulated_engine.is_idle)


class LoadTest(unittest.TestCase):
    """Arrivals are the same for the same seed and follow the configured rates."""

    def test_arrivals_are_deterministic_and_follow_the_rate(self):
        arrival_lists = [
            load.make_arrivals(random.Random(4), load.KINDS, load.PHASES, 8)
            for _ in range(2)
        ]
        self.assertEqual(arrival_lists[0], arrival_lists[1])
        expected = sum(
            kind.rate_per_s * phase.rate_factor * phase.duration_ms / 1000
            for kind in load.KINDS
            for phase in load.PHASES
        )
        self.assertAlmostEqual(len(arrival_lists[0]), expected, delta=0.15 * expected)


class BurstOfAllKindsTest(unittest.TestCase):
    """A burst of all kinds of requests at two and a half times the usual rate."""

    def simulate_all_seeds(self, pool_class):
        return [
            experiment.simulate(seed, phases=BURST, make_pool=pool_class)
            for seed in SEEDS
        ]

    def test_top_kind_is_never_refused_and_ranked_beats_arrival_order(self):
        ranked = self.simulate_all_seeds(tool.POLICIES["ranked"])
        arrival = self.simulate_all_seeds(tool.POLICIES["arrival"])
        for ranked_outcome, arrival_outcome in zip(ranked, arrival, strict=True):
            self.assertEqual(ranked_outcome.kinds[0].refused, 0)
            self.assertGreater(
                ranked_outcome.utility_fraction, arrival_outcome.utility_fraction
            )
            self.assertGreaterEqual(
                ranked_outcome.kinds[0].on_time, arrival_outcome.kinds[0].on_time
            )

    def test_every_request_is_either_refused_or_completed(self):
        simulation = experiment.Simulation(
            random.Random(2), load.KINDS, BURST, tool.POLICIES["ranked"]
        )
        simulation.run()
        for result in simulation.results.values():
            check_outcome(self, result)
        for gateway in simulation.gateways:
            self.assertEqual(gateway.own_load_shares(), {})
            self.assertEqual(gateway.waiting, {})


class UnevenEnginesTest(unittest.TestCase):
    """A third of the engines are fast, and each is slow by turns."""

    def test_reports_reach_all_gateways_and_no_request_is_lost(self):
        """Guards against an emulation in which the reports change nothing."""
        phases = (load.Phase(1000, 1.0),)
        simulation = experiment.Simulation(
            random.Random(1),
            load.KINDS_K,
            phases,
            tool.POLICIES["ranked"],
            experiment.SETUP_K,
        )
        simulation.run()
        for result in simulation.results.values():
            check_outcome(self, result)
        for gateway in simulation.gateways:
            told = [
                identity
                for identity, server in gateway.servers.items()
                if server.host.slow_factor is not None
            ]
            self.assertGreater(len(told), len(gateway.servers) / 2)


if __name__ == "__main__":
    unittest.main()
