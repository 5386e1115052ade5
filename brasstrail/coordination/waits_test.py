"""Tests of the estimated waits, and of early refusals by them, under several loads."""

import dataclasses
import math
import random
import unittest

from brasstrail.coordination import pool, pool_test, waits
from brasstrail.core import servers
from brasstrail.emulator import engine, experiment, load

CHAT_RANK, TOP_RANK = (2, 2), (2, 0)
CHATS, URGENT = 2, 0
SEEDS = (1,)


def simulate(phases):
    """Return the outcomes of a load for each seed."""
    return [experiment.simulate_large(seed, phases) for seed in SEEDS]


def held_ms(outcomes, kind):
    """Return for how long refused requests of a kind were held on average."""
    kinds = [outcome.kinds[kind] for outcome in outcomes]
    refused = max(1, sum(each.refused for each in kinds))
    return sum(each.mean_held_ms * each.refused for each in kinds) / refused


class LoadTest(unittest.TestCase):
    """What the emulator's requests get under the loads of docs/design/LOAD.md."""

    def test_burst_of_lowest_kind_is_refused_early_and_harms_no_urgent_request(self):
        """Guards against chats that are held, for 14.6 s before, and then refused."""
        outcomes = simulate(load.LARGE_PHASES["burst of chats"])
        self.assertLess(held_ms(outcomes, CHATS), 500)
        for outcome in outcomes:
            self.assertEqual(outcome.kinds[URGENT].refused, 0)
            self.assertGreater(outcome.kinds[URGENT].utility_fraction, 0.95)

    def test_burst_of_long_prompts_is_refused_early(self):
        outcomes = simulate(load.LARGE_PHASES["burst of prompts"])
        self.assertLess(held_ms(outcomes, CHATS), 500)
        self.assertEqual(sum(each.kinds[URGENT].refused for each in outcomes), 0)

    def test_callers_that_repeat_at_once_harm_no_urgent_request(self):
        """Guards against repeated requests that crowd out others as demand."""
        phases = load.LARGE_PHASES["burst of chats"]
        for seed in SEEDS:
            outcome = experiment.simulate_large(
                seed, phases, retries=5, heeds_retry_after=False
            )
            self.assertEqual(outcome.kinds[URGENT].refused, 0)
            self.assertGreater(outcome.kinds[URGENT].utility_fraction, 0.95)
            chats = outcome.kinds[CHATS]
            self.assertLess(chats.refused, 0.5 * chats.request_count)

    def test_nothing_is_refused_in_calm(self):
        """Guards against refusals while servers have free places."""
        for outcome in simulate(load.LARGE_PHASES["calm"]):
            self.assertEqual([each.refused for each in outcome.kinds], [0, 0, 0])

    def test_lowest_kind_is_not_starved(self):
        """Guards against a kind that is served less than a quarter as often as all."""
        for outcome in simulate((load.Phase(25_000, 1.5),)):
            total = sum(each.request_count for each in outcome.kinds)
            served = total - sum(each.refused for each in outcome.kinds)
            chats = outcome.kinds[CHATS]
            fraction = 1 - chats.refused / chats.request_count
            self.assertGreater(fraction, 0.25 * served / total)

    def test_predicted_waits_are_near_the_actual_ones(self):
        """Guards against predictions that say nothing of what then happens."""
        speed = engine.EngineSpeed(slots=load.LARGE_SLOTS, step_ms=load.LARGE_STEP_MS)
        phases = load.LARGE_PHASES["burst of chats"]
        simulation = experiment.Simulation(
            random.Random(1),
            load.LARGE_KINDS,
            phases,
            pool.Pool,
            experiment.Setup(speed=speed, reports_load=True, retries=1),
        )
        simulation.run()
        short, long = [], []
        for result in simulation.results.values():
            if result.dispatched_ms is not None:
                waits_ms = short if result.predicted_wait_ms < 500 else long
                waits_ms.append(result.dispatched_ms - result.attempted_ms)
        self.assertLess(sorted(short)[int(0.95 * len(short))], 500)
        self.assertGreater(sum(long) / len(long), 500)


class SizesTest(unittest.TestCase):
    """Load: more than fits, at thirty gateways that get few requests of a rank each."""

    GATEWAY_COUNT = 30
    PHASES = (load.Phase(25_000, 1.2),)
    LOAD_SEEDS = (1, 2, 3)

    def test_refusals_do_not_depend_on_the_length_of_a_request(self):
        """Guards against long requests that are refused for their own length.

        The part that is refused may differ by two standard errors, that is by chance.
        """
        outcomes = [
            experiment.simulate_large(
                seed, self.PHASES, gateway_count=self.GATEWAY_COUNT
            )
            for seed in self.LOAD_SEEDS
        ]
        chats = [outcome.kinds[CHATS] for outcome in outcomes]
        nothing = experiment.SizeOutcome(0, 0, 0, 0)
        all_sizes = sum((each.all_sizes for each in chats), nothing)
        largest = sum((each.sizes[experiment.LARGEST] for each in chats), nothing)
        refused = all_sizes.refused / all_sizes.request_count
        self.assertGreater(refused, 0.2)
        error = math.sqrt(refused * (1 - refused) / largest.request_count)
        self.assertLess(largest.refused / largest.request_count, refused + 2 * error)


def make_reporting_pool():
    """Return a pool with one server, which has reported a host factor."""
    gateway_pool = pool_test.make_pool(pool_test.announce("a"))
    report = servers.LoadReport(0, 0, 2, 1.0)
    start = gateway_pool.servers["a"].start
    gateway_pool.record_report(start, report, 0, is_own=True)
    return gateway_pool


class RefusalTest(unittest.TestCase):
    """Which of the waiting requests are refused."""

    def make_full_pool(self, count, latest_ms):
        """Return a pool with a full server and as many waiting chats."""
        gateway_pool = make_reporting_pool()
        for number in range(2 + pool.ENGINE_QUEUE_REQUESTS):
            running = pool_test.make_work(f"r{number}", CHAT_RANK)
            gateway_pool.add_running("a", running)
        for number in range(count):
            work = pool_test.make_work(str(number), CHAT_RANK, goal_ms=5000)
            gateway_pool.record_arrival(work)
            gateway_pool.enqueue(work, frozenset(), latest_ms)
        return gateway_pool

    def find_unserved(self, gateway_pool, ticks=waits.MIN_MISSES):
        """Return the tickets found after some ticks."""
        for _ in range(ticks):
            unserved = gateway_pool.find_unserved(0)
        return unserved

    def test_last_ones_are_refused_and_only_those_that_do_not_fit(self):
        gateway_pool = self.make_full_pool(40, latest_ms=200)
        tickets = list(gateway_pool.waiting)
        unserved = self.find_unserved(gateway_pool)
        self.assertTrue(0 < len(unserved) < 40)
        self.assertEqual(unserved, tickets[-len(unserved) :])

    def test_nothing_is_refused_while_a_place_is_free(self):
        """Guards against refusals by the demand that is expected but not there yet."""
        standing = waits.Standing(20.0, 15, higher_running=9, prefill_speed=4.0)
        own, higher = waits.Need(3000.0, 40.0), waits.Need(25.0, 2.0)
        pace = standing.pace(own, higher)
        self.assertLess(pace.wait_ms(own), 100)
        self.assertGreater(pace.wait_ms(own.times(6)), 5000)

    def test_single_tick_refuses_nothing(self):
        gateway_pool = self.make_full_pool(40, latest_ms=200)
        self.assertEqual(self.find_unserved(gateway_pool, 1), [])

    def test_request_that_may_have_run_is_never_refused_early(self):
        """Guards against a refusal that says falsely that nothing has run."""
        gateway_pool = self.make_full_pool(40, latest_ms=None)
        self.assertEqual(self.find_unserved(gateway_pool), [])

    def test_plain_service_is_refused_by_its_own_time(self):
        """Guards against estimates for short work that assume long answers."""
        gateway_pool = make_reporting_pool()
        gateway_pool.configure(())
        work = pool_test.make_work("w", tokens=0)
        for _ in range(200):
            gateway_pool.estimates.record_time(work, 90)
        need_ms = gateway_pool.estimates.need(work).slot_ms
        self.assertAlmostEqual(need_ms, 90, delta=10)


class HigherRanksTest(unittest.TestCase):
    """Load: requests of a higher rank arrive while those of the lowest wait."""

    def test_higher_rank_arrivals_lengthen_expected_wait(self):
        gateway_pool = make_reporting_pool()
        for number in range(2 + pool.ENGINE_QUEUE_REQUESTS):
            gateway_pool.add_running("a", pool_test.make_work(str(number), CHAT_RANK))
        for number in range(3):
            work = pool_test.make_work(f"low{number}", CHAT_RANK)
            pool_test.enqueue_work(gateway_pool, work)
        work = pool_test.make_work("new", CHAT_RANK)
        idle_wait_ms = gateway_pool.expected_wait_ms(work, 10)
        for number in range(15):
            top = pool_test.make_work(f"top{number}", TOP_RANK)
            gateway_pool.record_arrival(top)
        self.assertGreater(gateway_pool.expected_wait_ms(work, 10), 1.5 * idle_wait_ms)


class OwnLengthTest(unittest.TestCase):
    """What the length of a request adds to the wait that is estimated for it."""

    def make_chat(self, identity, output_tokens):
        """Return a request with an expected length whose goal is far away."""
        work = pool_test.make_work(identity, CHAT_RANK, goal_ms=60_000)
        return dataclasses.replace(work, output_tokens=output_tokens)

    def wait_ms(self, output_tokens):
        """Return the estimate for a request behind others of usual length."""
        gateway_pool = make_reporting_pool()
        for number in range(2 + pool.ENGINE_QUEUE_REQUESTS):
            gateway_pool.add_running("a", self.make_chat(f"r{number}", 280))
        for number in range(3):
            pool_test.enqueue_work(gateway_pool, self.make_chat(str(number), 280))
        work = self.make_chat("new", output_tokens)
        gateway_pool.record_arrival(work)
        return gateway_pool.expected_wait_ms(work, 10)

    def test_request_waits_for_others_as_long_whatever_its_own_length(self):
        """Guards against a wait that is estimated from the request's own length."""
        self.assertGreater(self.wait_ms(280), 100)
        self.assertAlmostEqual(self.wait_ms(2800), self.wait_ms(280), delta=1)


class ReportedSizesTest(unittest.TestCase):
    """What logs and metrics tell of a request's length."""

    def test_size_is_relative_to_the_mean_of_the_others_of_its_rank(self):
        gateway_pool = make_reporting_pool()
        works = [pool_test.make_work(str(number), CHAT_RANK) for number in range(20)]
        for work in works:
            gateway_pool.record_arrival(work)
        names = []
        for output_tokens in (5, 15, 60):
            work = dataclasses.replace(works[0], output_tokens=output_tokens)
            gateway_pool.record_arrival(work)
            names.append(gateway_pool.estimates.size_name(work))
        self.assertEqual(tuple(names), waits.SIZE_NAMES)

    def test_refusal_is_explained_where_the_capacity_is_known(self):
        work = pool_test.make_work("w", CHAT_RANK)
        self.assertEqual(pool_test.make_pool().explain_wait(work, 0), {})
        gateway_pool = make_reporting_pool()
        pool_test.enqueue_work(gateway_pool, pool_test.make_work("q", CHAT_RANK))
        fields = gateway_pool.explain_wait(work, 0)
        self.assertEqual(fields["mean_need_ms"], fields["ahead_ms"])
        self.assertEqual(fields["running"], 0)


class OtherGatewaysTest(unittest.TestCase):
    """What other gateways tell, or do not."""

    def wait_ms(self, *told, gateway_count=3):
        """Return the estimate with one own request and what others have told."""
        gateway_pool = make_reporting_pool()
        gateway_pool.gateway_count = gateway_count
        for number in range(2 + pool.ENGINE_QUEUE_REQUESTS):
            running = pool_test.make_work(f"r{number}", CHAT_RANK)
            gateway_pool.add_running("a", running)
        pool_test.enqueue_work(gateway_pool, pool_test.make_work("q", CHAT_RANK))
        for number, rows in enumerate(told):
            gateway_pool.update_load_shares(f"g{number}", {}, 0, rows)
        work = pool_test.make_work("w", CHAT_RANK, goal_ms=9000)
        return gateway_pool.expected_wait_ms(work, 0)

    def test_queue_of_gateway_that_is_not_heard_is_taken_to_be_like_the_own(self):
        own = {("llm", CHAT_RANK): waits.Row(queued=1)}
        self.assertAlmostEqual(self.wait_ms(), self.wait_ms(own, own))
        self.assertLess(self.wait_ms({}, {}), self.wait_ms())

    def test_rows_of_a_gateway_are_forgotten_with_it(self):
        estimates = waits.Estimates()
        rows = {("llm", TOP_RANK): waits.Row(2, 1, waits.Need(3.0, 0.5))}
        estimates.update("g", rows)
        estimates.drop("g")
        self.assertEqual(estimates.totals, {})


if __name__ == "__main__":
    unittest.main()
