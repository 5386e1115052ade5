"""Tests of workspaces at their limits, with losses of gateways, in virtual time."""

import unittest

from brasstrail.emulator import quota

USUAL = ((0.0, 0.55),)
# Six to seven times what the workspace usually sends, for ten seconds.
HOT = ((0.0, 0.55), (4.0, 3.6), (14.0, 0.55))
SECONDS = 18.0
RATES = (50_000.0, 200_000.0)
# The users' rule, and what a workspace within its allotment may lose to counts that are
# not exact.
MOST_IN_WINDOW = 1.0
MOST_OWED_REFUSED = 0.05
# Of a workspace beyond its allotment, what a single bucket would admit is admitted.
LEAST_DELIVERED = 0.85


def make_losses(count):
    """Return the kinds of losses by name, for a number of gateways."""
    everyone = tuple(range(count))
    third = everyone[: max(1, count // 3)]
    return {
        "none": (),
        "stopped in turn": quota.roll(count, 4, 10, 2.0),
        "killed in turn": quota.roll(count, 4, 10, 2.0, "killed"),
        "all killed": (quota.Loss("killed", everyone, 8.0, 1.5),),
        "half killed": (quota.Loss("killed", everyone[: count // 2], 8.0, 2.0),),
        "third cut off": (quota.Loss("cut", third, 5.0, 5.5),),
        "third cut off before": (quota.Loss("cut", third, 3.9, 5.5),),
        "third frozen": (quota.Loss("frozen", third, 5.0, 4.0),),
    }


class QuotaTest(unittest.TestCase):
    """Both sides: what is let through, and what is refused though it is owed."""

    def check(self, count, phases, check_outcome):
        for rate in RATES:
            for name, losses in make_losses(count).items():
                with self.subTest(name, rate=rate, gateways=count):
                    case = quota.Case(
                        count, SECONDS, phases, losses, rate=rate, burst=rate
                    )
                    check_outcome(quota.simulate(case))

    def check_hot(self, outcome):
        self.assertLessEqual(outcome.worst_window, MOST_IN_WINDOW)
        self.assertGreaterEqual(outcome.delivered, LEAST_DELIVERED)

    def check_usual(self, outcome):
        self.assertLessEqual(outcome.worst_window, MOST_IN_WINDOW)
        self.assertLessEqual(outcome.owed_refused, MOST_OWED_REFUSED)

    def test_three_gateways_keep_to_the_bound(self):
        """Guards against a workspace that gets more than its limit at a restart."""
        self.check(3, HOT, self.check_hot)

    def test_twenty_four_gateways_keep_to_the_bound(self):
        self.check(24, HOT, self.check_hot)

    def test_seventy_gateways_keep_to_the_bound(self):
        self.check(70, HOT, self.check_hot)

    def test_workspace_within_its_allotment_is_served(self):
        for count in (3, 70):
            self.check(count, USUAL, self.check_usual)

    def test_workspace_near_its_rate_is_served(self):
        outcome = quota.simulate(quota.Case(24, SECONDS, ((0.0, 0.95),)))
        self.check_usual(outcome)


if __name__ == "__main__":
    unittest.main()
