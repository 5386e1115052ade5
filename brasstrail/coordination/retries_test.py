"""Tests of the retry budget: a bound on the sum over gateways."""

import unittest

from brasstrail.coordination import retries
from brasstrail.settings import settings

OPTIONS = settings.GatewayRole()
WINDOW_MS = int(OPTIONS.retry_window_s * 1000)


class RetryBudgetTest(unittest.TestCase):
    """Retries stay within the ratio of requests plus the slack, in any window."""

    def test_retries_keep_to_bound_in_any_window_when_all_requests_fail(self):
        count = 8
        budgets = [retries.RetryBudget(OPTIONS) for _ in range(count)]
        retried = []
        requests = []
        for budget in budgets:
            budget.gateway_count = count
        for now_ms in range(0, 3 * WINDOW_MS, 20):
            budget = budgets[now_ms // 20 % count]
            budget.record_request("s", now_ms)
            requests.append(now_ms)
            while budget.acquire("s", now_ms):
                retried.append(now_ms)
        for begin_ms in range(0, 2 * WINDOW_MS, 500):
            end_ms = begin_ms + WINDOW_MS
            retries_in_window = sum(begin_ms <= time_ms < end_ms for time_ms in retried)
            requests_in_window = sum(
                begin_ms <= time_ms < end_ms for time_ms in requests
            )
            bound = OPTIONS.retry_ratio * requests_in_window + OPTIONS.retry_slack
            self.assertLessEqual(retries_in_window, bound)

    def test_slack_is_not_spent_twice_while_gateways_know_too_few_others(self):
        """Guards against retries beyond the bound after a loss of control hosts.

        Control hosts that have just started report only the gateways that have
        subscribed so far: first one, then two, and so on.
        """
        count = 8
        budgets = [retries.RetryBudget(OPTIONS) for _ in range(count)]
        retried = []
        for start_ms in (0, 3 * WINDOW_MS):
            for now_ms in range(start_ms, start_ms + 2 * WINDOW_MS, 100):
                known = min(count, 1 + (now_ms - start_ms) // 200)
                for budget in budgets:
                    budget.set_gateway_count(known, now_ms)
                    while budget.acquire("s", now_ms):
                        retried.append(now_ms)
        for begin_ms in range(0, 5 * WINDOW_MS, 500):
            in_window = sum(
                begin_ms <= time_ms < begin_ms + WINDOW_MS for time_ms in retried
            )
            self.assertLessEqual(in_window, OPTIONS.retry_slack)

    def test_fewer_gateways_share_the_slack_after_a_window(self):
        budget = retries.RetryBudget(OPTIONS)
        budget.set_gateway_count(4, 0)
        budget.set_gateway_count(2, 10)
        self.assertEqual(budget.sharing_gateways(WINDOW_MS), 4)
        self.assertEqual(budget.sharing_gateways(WINDOW_MS + 10), 2)
        self.assertEqual(budget.former_counts, [])

    def test_gateway_with_unknown_peers_does_not_spend_whole_slack(self):
        budget = retries.RetryBudget(OPTIONS)
        acquired = 0
        while budget.acquire("s", 0):
            acquired += 1
        self.assertLess(acquired, OPTIONS.retry_slack / 4)

    def test_requests_before_window_are_dropped(self):
        budget = retries.RetryBudget(OPTIONS)
        for now_ms in range(0, 10 * WINDOW_MS, 100):
            budget.record_request("s", now_ms)
        self.assertLessEqual(len(budget.requests["s"]), WINDOW_MS / 100)

    def test_budget_recovers_after_window(self):
        budget = retries.RetryBudget(OPTIONS)
        while budget.acquire("s", 0):
            pass
        self.assertTrue(budget.acquire("s", WINDOW_MS + 1))


if __name__ == "__main__":
    unittest.main()
