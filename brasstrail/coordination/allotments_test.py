"""Tests of allotments: a bound on the sum over gateways that may be cut apart."""

import random
import unittest

from brasstrail.coordination import allotments
from brasstrail.core import catalog

RATE = 1000.0
BURST = 2000.0
STEP_MS = 50
# What the users' bound leaves above rate and burst.
OVERRUN = 1.1


def make_access(rate=RATE, burst=BURST):
    """Return a workspace with an allotment of tokens."""
    allotment = catalog.Allotment(catalog.AllotmentUnit.TOKENS, rate, burst)
    return catalog.WorkspaceAccess("w", ("k",), allotment)


class Fleet:
    """Gateways that a workspace floods, with cuts between them."""

    def __init__(self, count):
        self.names = [f"g{number}" for number in range(count)]
        self.gateways = {}
        self.cut = set()
        for name in self.names:
            self.gateways[name] = allotments.Allotments(0)
            self.gateways[name].configure((make_access(),), 0)
        for name, gateway in self.gateways.items():
            gateway.set_peers([other for other in self.names if other != name], 0)

    def tell(self, now_ms):
        """Let every gateway tell the others what it has let in."""
        for name, gateway in self.gateways.items():
            for other, peer in self.gateways.items():
                if other != name and not {name, other} & self.cut:
                    peer.hear(name, 1, dict(gateway.spent), now_ms)

    def flood(self, now_ms, draw):
        """Ask every gateway for far more than is allowed; return what was let in."""
        taken = 0.0
        for gateway in self.gateways.values():
            for _ in range(4):
                cost = draw.uniform(10, 60)
                if not gateway.take("w", cost, now_ms):
                    taken += cost
        return taken


class SumTest(unittest.TestCase):
    """The sum keeps to rate and burst, however gateways are cut off."""

    def run_for(self, fleet, from_ms, until_ms):
        draw = random.Random(3)
        total = 0.0
        for now_ms in range(from_ms, until_ms, STEP_MS):
            total += fleet.flood(now_ms, draw)
            fleet.tell(now_ms)
        return total

    def test_gateways_in_touch_keep_to_the_allotment_together(self):
        total = self.run_for(Fleet(8), 0, 10_000)
        self.assertLess(total, (10 * RATE + BURST) * OVERRUN)
        self.assertGreater(total, 10 * RATE * 0.9)

    def test_gateways_that_are_cut_off_do_not_each_spend_the_whole(self):
        fleet = Fleet(8)
        self.run_for(fleet, 0, 5_000)
        fleet.cut = {"g0", "g1", "g2"}
        self.run_for(fleet, 5_000, 5_000 + 2 * allotments.SILENT_AFTER_MS)
        begin_ms = 5_000 + 2 * allotments.SILENT_AFTER_MS
        total = self.run_for(fleet, begin_ms, begin_ms + 8_000)
        self.assertLess(total, (8 * RATE + BURST) * OVERRUN)

    def test_a_lowered_allotment_binds_at_once(self):
        fleet = Fleet(4)
        self.run_for(fleet, 0, 2_000)
        for gateway in fleet.gateways.values():
            gateway.configure((make_access(RATE / 10, BURST / 10),), 2_000)
        total = self.run_for(fleet, 2_000, 10_000)
        self.assertLess(total, (8 * RATE + BURST) / 10 * OVERRUN)

    def test_a_workspace_below_its_rate_is_never_refused(self):
        fleet = Fleet(8)
        draw = random.Random(5)
        for now_ms in range(0, 10_000, STEP_MS):
            gateway = fleet.gateways[draw.choice(fleet.names)]
            self.assertEqual(gateway.take("w", RATE * STEP_MS / 1000 * 0.9, now_ms), 0)
            fleet.tell(now_ms)

    def test_no_rate_sets_no_bound(self):
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(rate=0.0),), 0)
        self.assertEqual(gateway.take("w", 1e9, 0), 0.0)

    def test_a_refused_caller_is_told_when_to_come_back(self):
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(),), 0)
        gateway.take("w", BURST, 0)
        wait_s = gateway.take("w", 500, 0)
        self.assertAlmostEqual(wait_s, 0.5)
        self.assertEqual(gateway.take("w", 500, int(wait_s * 1000) + 1), 0.0)

    def test_what_no_server_ran_is_given_back(self):
        gateway = allotments.Allotments(0)
        gateway.configure((make_access(),), 0)
        gateway.take("w", BURST, 0)
        gateway.give_back("w", BURST)
        self.assertEqual(gateway.take("w", BURST, 0), 0.0)


if __name__ == "__main__":
    unittest.main()
