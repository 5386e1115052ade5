"""Tests of the budget of second sendings: a bound on the sum over gateways."""

import unittest

from brasstrail.coordination import retries
from brasstrail.settings import settings

OPTIONS = settings.GatewayRole()
WINDOW_MS = int(OPTIONS.retry_window_s * 1000)


class BudgetTest(unittest.TestCase):
    """Sendings stay below the ratio of requests and the slack, in any window."""

    def test_every_request_failing_keeps_to_the_bound_in_any_window(self):
        count = 8
        budgets = [retries.Budget(OPTIONS) for _ in range(count)]
        sent = []
        requests = []
        for budget in budgets:
            budget.gateways = count
        for now_ms in range(0, 3 * WINDOW_MS, 20):
            budget = budgets[now_ms // 20 % count]
            budget.note_request("s", now_ms)
            requests.append(now_ms)
            while budget.take("s", now_ms):
                sent.append(now_ms)
        for begin_ms in range(0, 2 * WINDOW_MS, 500):
            end_ms = begin_ms + WINDOW_MS
            in_window = sum(begin_ms <= when < end_ms for when in sent)
            asked = sum(begin_ms <= when < end_ms for when in requests)
            bound = OPTIONS.retry_ratio * asked + OPTIONS.retry_slack
            self.assertLessEqual(in_window, bound)

    def test_a_gateway_that_knows_no_others_does_not_spend_the_whole_slack(self):
        budget = retries.Budget(OPTIONS)
        taken = 0
        while budget.take("s", 0):
            taken += 1
        self.assertLess(taken, OPTIONS.retry_slack / 4)

    def test_requests_of_long_ago_are_not_kept(self):
        budget = retries.Budget(OPTIONS)
        for now_ms in range(0, 10 * WINDOW_MS, 100):
            budget.note_request("s", now_ms)
        self.assertLessEqual(len(budget.requests["s"]), WINDOW_MS / 100)

    def test_the_budget_comes_back_with_time(self):
        budget = retries.Budget(OPTIONS)
        while budget.take("s", 0):
            pass
        self.assertTrue(budget.take("s", WINDOW_MS + 1))


if __name__ == "__main__":
    unittest.main()
