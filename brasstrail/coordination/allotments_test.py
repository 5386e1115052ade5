"""Tests of allotments: the bound on the sum over gateways, also when partitioned."""

import random
import unittest

from brasstrail.coordination import allotments
from brasstrail.core import catalog

RATE = 1000.0
BURST = 2000.0
STEP_MS = 50
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
            self.gateways[name] = allotments.Allotments(0)
            self.gateways[name].configure((make_access(),), 0)
        for name, gateway in self.gateways.items():
            gateway.set_peers([other for other in self.names if other != name], 0)

    def exchange_spending(self, now_ms):
        """Send every gateway's totals to the others that it can reach."""
        for name, gateway in self.gateways.items():
            for other, peer in self.gateways.items():
                if other != name and not {name, other} & self.partitioned:
                    peer.record_peer_spending(name, 1, dict(gateway.spent), now_ms)

    def request_excess(self, now_ms, generator):
        """Request far more than is allowed at every gateway; return what it admits."""
        admitted = 0.0
        for gateway in self.gateways.values():
            for _ in range(4):
                cost = generator.uniform(10, 60)
                if not gateway.acquire("w", cost, now_ms):
                    admitted += cost
        return admitted


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
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(rate=0.0),), 0)
        self.assertEqual(gateway.acquire("w", 1e9, 0), 0.0)

    def test_refusal_returns_time_until_enough_is_available(self):
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(),), 0)
        gateway.acquire("w", BURST, 0)
        wait_s = gateway.acquire("w", 500, 0)
        self.assertAlmostEqual(wait_s, 0.5)
        self.assertEqual(gateway.acquire("w", 500, int(wait_s * 1000) + 1), 0.0)

    def test_cost_of_request_that_did_not_run_is_refunded(self):
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(),), 0)
        gateway.acquire("w", BURST, 0)
        gateway.refund("w", BURST)
        self.assertEqual(gateway.acquire("w", BURST, 0), 0.0)


class ClockTest(unittest.TestCase):
    """Calls whose times are not in order."""

    def test_earlier_time_does_not_refill_twice(self):
        """Guards against requests that waited, each of which refilled the bucket."""
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(),), 0)
        gateway.acquire("w", BURST, 0)
        for _ in range(10):
            gateway.acquire("w", 0.0, 0)
            gateway.acquire("w", 0.0, 1000)
        self.assertEqual(gateway.buckets["w"].level, RATE)


if __name__ == "__main__":
    unittest.main()
