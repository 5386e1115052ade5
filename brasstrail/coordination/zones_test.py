"""Tests of locality-aware routing: what leaves a data centre, when and how much."""

import dataclasses
import random
import unittest

from brasstrail.coordination import pool, pool_test, zones
from brasstrail.emulator import locality
from brasstrail.settings import settings

COST = settings.LinkCost(0.2, 1.0)
DURATION_MS = 6000


def make_pool(*announcements):
    """Return a pool of the data centre east that decides on distances."""
    gateway_pool = pool_test.make_pool(*announcements)
    gateway_pool.zones = zones.Zones(pool_test.NODE, pool_test.REGIONS, COST)
    return gateway_pool


def fill(gateway_pool, identity):
    """Let other gateways use the whole capacity of a server."""
    share = pool.LoadShare(100, 0, 0)
    gateway_pool.update_load_shares(f"other {identity}", {identity: share}, 0)


def emulate(scenario, seed=1, link_cost=COST):
    """Return a short simulation of the deployment K."""
    return locality.simulate(
        seed, locality.DEPLOYMENTS["K"], scenario, link_cost, DURATION_MS
    )


class ChoiceTest(unittest.TestCase):
    """Single decisions of a gateway."""

    def choose(self, gateway_pool, work, now_ms=0):
        pool_test.enqueue_work(gateway_pool, work)
        return [choice for _, choice in gateway_pool.dispatch_waiting(now_ms)]

    def test_calm_request_stays_though_a_server_elsewhere_is_faster(self):
        """Guards against traffic that gains a caller nothing."""
        gateway_pool = make_pool(
            pool_test.announce("a", slots=8), pool_test.announce("w", "west", 8)
        )
        gateway_pool.servers["a"].slowdown = 3.0
        (choice,) = self.choose(gateway_pool, pool_test.make_work("1"))
        self.assertEqual((choice.identity, choice.reason), ("a", zones.Reason.LOCAL))
        self.assertIs(choice.distance, zones.Distance.DATA_CENTRE)

    def test_request_with_time_waits_and_urgent_one_leaves_at_once(self):
        """Guards against a full data centre that delays what is nearly late."""
        gateway_pool = make_pool(
            pool_test.announce("a"), pool_test.announce("w", "west")
        )
        fill(gateway_pool, "a")
        self.assertEqual(self.choose(gateway_pool, pool_test.make_work("1")), [])
        urgent = pool_test.make_work("2", goal_ms=150)
        (choice,) = self.choose(gateway_pool, urgent)
        self.assertEqual((choice.identity, choice.reason), ("w", zones.Reason.GOAL))
        self.assertIs(choice.distance, zones.Distance.REGION)

    def test_all_leave_at_once_without_local_servers_and_return_gradually(self):
        """Guards against requests that wait for lost servers, and a swing back."""
        gateway_pool = make_pool(
            pool_test.announce("a", slots=100), pool_test.announce("w", "west", 100)
        )
        gateway_pool.failed("a", 0, True)
        works = [pool_test.make_work(str(number)) for number in range(20)]
        choices = [each for work in works for each in self.choose(gateway_pool, work)]
        self.assertEqual({each.identity for each in choices}, {"w"})
        self.assertEqual(len(choices), 20)
        gateway_pool.succeeded("a")
        gateway_pool.servers["a"].failure_rate = 0.0
        local = []
        for index, number in enumerate(range(100, 220)):
            now_ms = pool.MIN_BACKOFF_MS + 10 * index
            work = pool_test.make_work(str(number), arrived_ms=now_ms)
            choice = gateway_pool.choose(work, (), now_ms)
            local.append(choice.identity == "a")
        self.assertLess(sum(local[:20]), 12)
        self.assertTrue(all(local[100:]))

    def test_short_data_centre_attracts_nothing_beyond_even_load(self):
        """Guards against a second data centre that is overrun after the first."""
        gateway_pool = make_pool(
            pool_test.announce("w", "west", 8), pool_test.announce("f", "far", 8)
        )
        gateway_pool.update_load_shares("g2", {"w": pool.LoadShare(8, 0, 0)}, 0)
        gateway_pool.zones.record_connect("far", 50)
        work = pool_test.make_work("1")
        self.assertEqual(gateway_pool.choose(work, (), 0).identity, "f")
        # The gain of 45 ms is more than a twentieth of the time to the goal.
        urgent = pool_test.make_work("2", goal_ms=400)
        self.assertEqual(gateway_pool.choose(urgent, (), 0).identity, "w")

    def test_cut_region_and_silent_server_are_avoided(self):
        """Guards against requests that wait for connects over a cut link."""
        gateway_pool = make_pool(
            pool_test.announce("f", "far", 8), pool_test.announce("w", "west", 8)
        )
        gateway_pool.update_load_shares("g2", {"w": pool.LoadShare(8, 0, 0)}, 0)
        gateway_pool.zones.record_connect("far", 30)
        for _ in range(zones.CUT_FAILURES):
            gateway_pool.zones.record_connect_failure("far", 0)
        work = pool_test.make_work("1", goal_ms=3000)
        self.assertEqual(gateway_pool.choose(work, (), 1).identity, "w")
        later_ms = zones.CUT_AVOIDANCE_MS
        self.assertEqual(gateway_pool.choose(work, (), later_ms).identity, "f")
        gateway_pool.servers["f"].silent = True
        self.assertEqual(gateway_pool.choose(work, (), later_ms).identity, "w")
        gateway_pool.put_server(pool_test.announce("a"), True)
        choice = gateway_pool.choose(work, (), later_ms)
        self.assertEqual(choice.identity, "w")
        self.assertEqual(choice.reason, zones.Reason.NO_LOCAL_SERVER)

    def test_price_counts_measured_round_trips_and_bytes(self):
        gateway_pool = make_pool()
        work = dataclasses.replace(pool_test.make_work("1"), transfer_bytes=10_000)
        for data_centre, price_ms in (("east", 0), ("west", 17), ("far", 120)):
            self.assertAlmostEqual(gateway_pool.price_ms(data_centre, work), price_ms)
        gateway_pool.zones.record_connect("far", 62)
        self.assertAlmostEqual(gateway_pool.price_ms("far", work), 134)

    def test_share_moves_by_at_most_a_tenth_in_100_ms(self):
        """Guards against oscillation: load that comes and goes in 40 ms."""
        spill, rng, before, now_ms = zones.Spill(), random.Random(1), 0.0, 0
        for _ in range(200):
            now_ms += rng.randrange(1, 40)
            elapsed_ms = now_ms - (spill.updated_ms or now_ms)
            spill.update(rng.random() < 0.5, now_ms)
            self.assertLessEqual(abs(spill.share - before), elapsed_ms / 1000 + 1e-9)
            before = spill.share
        self.assertTrue(0.2 < spill.share < 0.8)


class EmulationTest(unittest.TestCase):
    """Many gateways and engines under the loads that the decisions answer."""

    def local_share(self, simulation, start_ms, end_ms):
        """Return the share of the first data centre's requests that stayed."""
        stayed = [
            is_local
            for at_ms, number, is_local in simulation.dispatches
            if start_ms <= at_ms < end_ms
            and simulation.gateways[number].node.data_centre == "a1"
        ]
        return sum(stayed) / max(1, len(stayed))

    def test_calm_load_stays_local(self):
        calm = emulate(locality.SCENARIOS["calm"])
        self.assertGreater(calm.share(calm.sent, zones.Distance.DATA_CENTRE), 0.85)

    def test_demand_of_four_data_centres_spills_without_oscillation(self):
        """Guards against a data centre that swings over as a whole and back."""
        scenario = locality.Scenario(weights=(5, 1, 1, 1, 1, 1))
        simulation = emulate(scenario)
        spans = [
            self.local_share(simulation, start_ms, start_ms + 1000)
            for start_ms in range(1000, DURATION_MS, 1000)
        ]
        self.assertTrue(all(0.1 < each < 0.95 for each in spans), spans)
        self.assertLess(max(spans) - min(spans), 0.5)

    def test_data_centre_without_servers_is_served_elsewhere(self):
        simulation = emulate(locality.SCENARIOS["without"])
        self.assertEqual(self.local_share(simulation, 0, DURATION_MS), 0.0)
        self.assertGreater(simulation.outcome().utility_fraction, 0.9)


if __name__ == "__main__":
    unittest.main()
