"""Tests of allotments: the bound on the sum over gateways, also when partitioned."""

import dataclasses
import random
import unittest

from brasstrail.coordination import allotments, urgency
from brasstrail.core import catalog

RATE = 1000.0
BURST = 2000.0
STEP_MS = 50
# Gateways have run for long enough to have full buckets.
UPTIME_MS = 10_000
# The users' bound allows this factor above rate and burst.
MAX_OVERRUN_FACTOR = 1.1


def make_access(rate=RATE, burst=BURST):
    """Return a workspace with an allotment of tokens."""
    allotment = catalog.Allotment(catalog.AllotmentUnit.TOKENS, rate, burst)
    return catalog.WorkspaceAccess("w", ("k",), allotment)


class Fleet:
    """Gateways with network partitions, overloaded by one workspace."""

    def __init__(self, count):
        self.names = [f"g{number}" for number in range(count)]
        self.gateways = {}
        self.partitioned = set()
        for name in self.names:
            self.gateways[name] = allotments.Allotments(-UPTIME_MS)
            self.gateways[name].configure((make_access(),), 0)
        for name, gateway in self.gateways.items():
            gateway.set_peers([other for other in self.names if other != name], 0)

    def exchange_spending(self, now_ms):
        """Send every gateway's totals to the others that it can reach."""
        for name, gateway in self.gateways.items():
            for other, peer in self.gateways.items():
                if other != name and not {name, other} & self.partitioned:
                    peer.record_report(name, 1, gateway.report(now_ms), now_ms)

    def request_excess(self, now_ms, generator):
        """Request far more than is allowed at every gateway; return what it admits."""
        admitted = 0.0
        for gateway in self.gateways.values():
            for _ in range(4):
                cost = generator.uniform(10, 60)
                if not gateway.acquire("w", cost, now_ms):
                    admitted += cost
        return admitted


class UrgentRequestsTest(unittest.TestCase):
    """Load: one workspace asks for half more than its limit, on routes of two tiers."""

    def test_less_urgent_routes_are_refused_first(self):
        """Guards against refusals by order of arrival, whatever a request is for."""
        fleet = Fleet(8)
        generator = random.Random(2)
        asked, admitted = {1: 0.0, 3: 0.0}, {1: 0.0, 3: 0.0}
        for now_ms in range(0, 12_000, STEP_MS):
            for tier, per_step in ((1, 0.5 * RATE), (3, RATE)):
                cost = generator.expovariate(1000 / (per_step * STEP_MS))
                gateway = fleet.gateways[generator.choice(fleet.names)]
                is_refused = gateway.acquire("w", cost, now_ms, tier)
                if now_ms >= 4000:
                    asked[tier] += cost
                    admitted[tier] += 0.0 if is_refused else cost
            fleet.exchange_spending(now_ms)
        self.assertGreater(admitted[1] / asked[1], 0.9)
        self.assertLess(admitted[3] / asked[3], 0.7)
        self.assertLess(sum(admitted.values()), 8 * RATE * MAX_OVERRUN_FACTOR + BURST)

    def test_workspace_with_one_tier_is_limited_as_before(self):
        """Guards against requests that prepay where there is nothing more urgent."""
        tiers = urgency.TierActivity()
        tiers.record("w", 2, 0)
        self.assertEqual(tiers.urgency("w", 2, 0), 1.0)
        tiers.record("w", 1, 0)
        self.assertEqual(tiers.urgency("w", 2, 0), 0.0)
        self.assertEqual(tiers.urgency("w", 2, urgency.ACTIVITY_WINDOW_MS + 1), 1.0)


class SharedAllotmentTest(unittest.TestCase):
    """The sum keeps to rate and burst in any network partition."""

    def run_load(self, fleet, begin_ms, end_ms):
        generator = random.Random(3)
        total = 0.0
        for now_ms in range(begin_ms, end_ms, STEP_MS):
            total += fleet.request_excess(now_ms, generator)
            fleet.exchange_spending(now_ms)
        return total

    def test_connected_gateways_together_keep_to_allotment(self):
        total = self.run_load(Fleet(8), 0, 10_000)
        self.assertLess(total, (10 * RATE + BURST) * MAX_OVERRUN_FACTOR)
        self.assertGreater(total, 10 * RATE * 0.9)

    def test_partitioned_gateways_together_keep_to_allotment(self):
        fleet = Fleet(8)
        self.run_load(fleet, 0, 5_000)
        fleet.partitioned = {"g0", "g1", "g2"}
        self.run_load(fleet, 5_000, 5_000 + 2 * allotments.SILENT_AFTER_MS)
        begin_ms = 5_000 + 2 * allotments.SILENT_AFTER_MS
        total = self.run_load(fleet, begin_ms, begin_ms + 8_000)
        self.assertLess(total, (8 * RATE + BURST) * MAX_OVERRUN_FACTOR)

    def test_lowered_allotment_applies_immediately(self):
        fleet = Fleet(4)
        self.run_load(fleet, 0, 2_000)
        for gateway in fleet.gateways.values():
            gateway.configure((make_access(RATE / 10, BURST / 10),), 2_000)
        total = self.run_load(fleet, 2_000, 10_000)
        self.assertLess(total, (8 * RATE + BURST) / 10 * MAX_OVERRUN_FACTOR)

    def test_workspace_below_its_rate_is_never_refused(self):
        fleet = Fleet(8)
        generator = random.Random(5)
        for now_ms in range(0, 10_000, STEP_MS):
            gateway = fleet.gateways[generator.choice(fleet.names)]
            self.assertEqual(
                gateway.acquire("w", RATE * STEP_MS / 1000 * 0.9, now_ms), 0
            )
            fleet.exchange_spending(now_ms)

    def test_zero_rate_means_unlimited(self):
        gateway = allotments.Allotments(-UPTIME_MS)
        gateway.configure((make_access(rate=0.0),), 0)
        self.assertEqual(gateway.acquire("w", 1e9, 0), 0.0)

    def test_refusal_returns_time_until_enough_is_available(self):
        gateway = allotments.Allotments(-UPTIME_MS)
        gateway.configure((make_access(),), 0)
        gateway.acquire("w", BURST, 0)
        wait_s = gateway.acquire("w", 500, 0)
        self.assertAlmostEqual(wait_s, 0.5)
        self.assertEqual(gateway.acquire("w", 500, int(wait_s * 1000) + 1), 0.0)

    def test_cost_of_request_that_did_not_run_is_refunded(self):
        gateway = allotments.Allotments(-UPTIME_MS)
        gateway.configure((make_access(),), 0)
        gateway.acquire("w", BURST, 0)
        gateway.refund("w", BURST)
        self.assertEqual(gateway.acquire("w", BURST, 0), 0.0)


class ClockTest(unittest.TestCase):
    """Calls whose times are not in order."""

    def test_earlier_time_does_not_refill_twice(self):
        """Guards against requests that waited, each of which refilled the bucket."""
        gateway = allotments.Allotments(-UPTIME_MS)
        gateway.configure((make_access(),), 0)
        gateway.acquire("w", BURST, 0)
        for _ in range(10):
            gateway.acquire("w", 0.0, 0)
            gateway.acquire("w", 0.0, 1000)
        self.assertEqual(gateway.left("w", 1000), RATE)


class StartTest(unittest.TestCase):
    """Gateways that have just started, beside others that have spent all."""

    def make_gateway(self, started_ms=0, incarnation=1):
        gateway = allotments.Allotments(started_ms, 0.0, incarnation)
        gateway.configure((make_access(),), 0)
        return gateway

    def left(self, gateway, now_ms):
        return round(gateway.left("w", now_ms))

    def test_bucket_starts_empty_and_one_of_a_later_document_full(self):
        gateway = self.make_gateway()
        self.assertEqual(self.left(gateway, 0), 0)
        self.assertEqual(self.left(gateway, 1000), RATE)
        later = dataclasses.replace(make_access(), workspace="v")
        gateway.configure((make_access(), later), 1000)
        self.assertEqual(round(gateway.left("v", 1000)), BURST)

    def test_bucket_is_full_once_what_came_before_counts_no_more(self):
        """Guards against a burst that a slow rate gives back over minutes."""
        allotment = catalog.Allotment(catalog.AllotmentUnit.TOKENS, 1.0, BURST)
        gateway = allotments.Allotments(0, window_s=8.0)
        access = dataclasses.replace(make_access(), allotment=allotment)
        gateway.configure((access,), 0)
        self.assertEqual(self.left(gateway, 7000), 7)
        gateway.acquire("w", 5, 7000)
        self.assertEqual(self.left(gateway, 8000), BURST)

    def test_level_is_taken_over_from_a_gateway_that_has_run(self):
        """Guards against a whole bucket for each gateway that starts."""
        earlier = self.make_gateway(-UPTIME_MS)
        earlier.acquire("w", BURST - 300, 0)
        gateway = self.make_gateway(incarnation=2)
        gateway.set_peers(["g0"], 0)
        gateway.record_report("g0", 1, earlier.report(0), 0)
        self.assertEqual(self.left(gateway, 0), 300)
        self.assertFalse(gateway.is_learning(0))

    def test_gateway_that_starts_tells_no_levels(self):
        self.assertIsNone(self.make_gateway().report(0).levels)
        self.assertEqual(self.make_gateway(-UPTIME_MS).report(0).levels, {})

    def test_spending_of_a_later_start_counts_from_its_beginning(self):
        """Guards against spending before the first report that nobody counts."""
        gateway = self.make_gateway(-UPTIME_MS, incarnation=5)
        cases = (
            ("a later start", [(7, 400)], BURST - 400),
            ("one that has run for longer", [(3, 400)], BURST),
            ("a start after another one", [(3, 400), (4, 100)], BURST - 100),
        )
        for number, (name, reports, expected) in enumerate(cases):
            with self.subTest(name):
                gateway = self.make_gateway(-UPTIME_MS, incarnation=5)
                for incarnation, total in reports:
                    report = allotments.Report({"w": total})
                    gateway.record_report("g0", incarnation, report, 0)
                self.assertEqual(self.left(gateway, 0), expected)

    def test_returned_cost_is_returned_at_the_others(self):
        gateway = self.make_gateway(-UPTIME_MS)
        for total in (0, 700, 200):
            gateway.record_report("g0", 9, allotments.Report({"w": total}), 0)
        self.assertEqual(self.left(gateway, 0), BURST - 200)

    def test_report_without_totals_keeps_a_gateway_from_being_silent(self):
        gateway = self.make_gateway(-UPTIME_MS)
        gateway.record_report("g0", 9, allotments.Report({"w": 0}), 0)
        for now_ms in range(0, 5000, 500):
            gateway.record_report("g0", 9, allotments.Report(), now_ms)
            gateway.check_silence(now_ms)
        self.assertEqual(gateway.silent_count, 0)
        self.assertEqual(self.left(gateway, 5000), BURST)

    def test_what_is_set_aside_for_a_silent_gateway_is_returned(self):
        gateway = self.make_gateway(-UPTIME_MS)
        gateway.record_report("g0", 9, allotments.Report({"w": 0}), 0)
        self.assertEqual(self.left(gateway, 1600), BURST / 2)
        gateway.acquire("w", BURST / 2, 1600)
        gateway.record_report("g0", 9, allotments.Report(), 1650)
        self.assertLess(self.left(gateway, 1700), BURST / 2)
        gateway.record_report("g0", 9, allotments.Report({"w": 100}), 1700)
        own_share = RATE / 2 * 0.1
        self.assertEqual(self.left(gateway, 1700), BURST / 2 + 2 * own_share - 100)

    def test_gateway_that_is_cut_off_with_a_control_host_keeps_to_its_share(self):
        """Guards against a list without the others, which no quorum has confirmed."""
        gateway = self.make_gateway(-UPTIME_MS)
        gateway.set_peers(["g0", "g1"], 0)
        for name in ("g0", "g1"):
            gateway.record_report(name, 9, allotments.Report({"w": 0}), 0)
        for now_ms in range(0, 6000, 500):
            gateway.set_peers([], now_ms)
            gateway.check_silence(now_ms)
        self.assertEqual(
            gateway.usable_rate(gateway.workspace_allotments["w"]), RATE / 3
        )
        gateway.drop_unlisted(6500)
        self.assertEqual(gateway.usable_rate(gateway.workspace_allotments["w"]), RATE)

    def test_total_of_a_gateway_that_was_dropped_is_not_new(self):
        gateway = self.make_gateway(-UPTIME_MS, incarnation=5)
        gateway.record_report("g0", 7, allotments.Report({"w": 100}), 0)
        gateway.drop_unlisted(7000)
        gateway.record_report("g0", 7, allotments.Report({"w": 1900}), 7000)
        self.assertEqual(self.left(gateway, 7000), BURST)

    def test_pause_refills_no_more_than_others_have_left(self):
        gateway = self.make_gateway(-UPTIME_MS)
        gateway.record_report("g0", 9, allotments.Report({"w": 0}), 0)
        gateway.begin_catch_up(5000)
        gateway.record_report("g0", 9, allotments.Report({"w": 5 * RATE}), 5000)
        gateway.end_catch_up(5000, 5000)
        self.assertEqual(gateway.buckets["w"].level, BURST)
        self.assertTrue(gateway.is_learning(5000))


if __name__ == "__main__":
    unittest.main()
