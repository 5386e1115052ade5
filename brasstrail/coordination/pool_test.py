"""Tests of the pool: capacity limits, queue order and server selection."""

import dataclasses
import gc
import sys
import types
import unittest

import hypothesis
from hypothesis import strategies

from brasstrail.coordination import limits, pool
from brasstrail.core import catalog, servers
from brasstrail.settings import settings
from brasstrail.tools import fuzzing

SINGLE_REQUEST_SLOTS = 1 - pool.ENGINE_QUEUE_REQUESTS
REGIONS = {"east": "one", "west": "one", "far": "two"}
NODE = settings.Node("g", ("gateway",), "one", "east")


def announce(identity, data_centre="east", slots=2, **changes):
    """Return an announcement of a ready model server."""
    announcement = servers.Announcement(
        identity, "llm", f"{identity}:1", data_centre, servers.ServerPhase.READY, 1, 1
    )
    return dataclasses.replace(announcement, slots=slots, **changes)


def make_pool(*announcements):
    """Return a pool with servers of one model service."""
    gateway_pool = pool.Pool(NODE, REGIONS)
    gateway_pool.configure((catalog.Service("llm", 100, "", catalog.Engine(2, 1000)),))
    for announcement in announcements:
        gateway_pool.put_server(announcement, False)
    return gateway_pool


def make_work(identity, rank=(1, 1), arrived_ms=0, tokens=100, goal_ms=1000):
    """Return a request for the service."""
    return pool.Work(
        identity, "llm", rank, arrived_ms, arrived_ms + goal_ms, 5000, tokens, 10
    )


def enqueue_work(gateway_pool, work, now_ms=0):
    """Record the arrival of a request and queue it; return its ticket."""
    gateway_pool.record_arrival(work)
    return gateway_pool.enqueue(work, frozenset())


class CapacityTest(unittest.TestCase):
    """A request is dispatched only to a server with capacity left."""

    def test_full_server_receives_no_more_requests(self):
        gateway_pool = make_pool(announce("a"))
        capacity = 2 + pool.ENGINE_QUEUE_REQUESTS
        for number in range(capacity + 3):
            enqueue_work(gateway_pool, make_work(str(number)))
        self.assertEqual(len(gateway_pool.dispatch_waiting(0)), capacity)
        self.assertEqual(len(gateway_pool.waiting), 3)

    def test_requests_of_other_gateways_use_capacity(self):
        gateway_pool = make_pool(announce("a"))
        gateway_pool.update_load_shares(
            "other", {"a": pool.LoadShare(2 + pool.ENGINE_QUEUE_REQUESTS, 0, 0)}, 0
        )
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(gateway_pool.dispatch_waiting(0), [])
        gateway_pool.update_load_shares("other", {}, 10)
        self.assertEqual(len(gateway_pool.dispatch_waiting(10)), 1)

    def test_load_share_of_silent_gateway_expires(self):
        gateway_pool = make_pool(announce("a"))
        gateway_pool.update_load_shares(
            "other", {"a": pool.LoadShare(2 + pool.ENGINE_QUEUE_REQUESTS, 0, 0)}, 0
        )
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(
            len(gateway_pool.dispatch_waiting(pool.LOAD_SHARE_EXPIRY_MS + 1)), 1
        )

    def test_prefill_backlog_limits_dispatch(self):
        gateway_pool = make_pool(announce("a", slots=8))
        for number in range(4):
            enqueue_work(gateway_pool, make_work(str(number), tokens=7000))
        self.assertEqual(len(gateway_pool.dispatch_waiting(0)), 1)
        work = make_work("0", tokens=7000)
        gateway_pool.record_first_answer("a", work, 200, 200)
        self.assertEqual(len(gateway_pool.dispatch_waiting(200)), 1)

    def test_leaving_server_receives_no_requests(self):
        gateway_pool = make_pool(announce("a", phase=servers.ServerPhase.LEAVING))
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(gateway_pool.dispatch_waiting(0), [])
        self.assertFalse(gateway_pool.has_servers(make_work("x")))

    def test_bound_work_counts_servers_of_its_software_only(self):
        """Capacity, waits and dispatch leave servers of other versions out."""
        gateway_pool = make_pool(
            announce("a", version="v1"), announce("b", version="v2")
        )
        bound = dataclasses.replace(make_work("x"), software="v2")
        nowhere = dataclasses.replace(bound, software="")
        capacity = 2 + pool.ENGINE_QUEUE_REQUESTS
        self.assertEqual(gateway_pool.usable_capacity(bound, 0), (capacity, 0))
        self.assertEqual(
            gateway_pool.usable_capacity(make_work("y"), 0), (2 * capacity, 0)
        )
        self.assertEqual(gateway_pool.choose(bound, (), 0).identity, "b")
        self.assertIsNone(gateway_pool.choose(bound, ("b",), 0))
        self.assertFalse(gateway_pool.has_servers(bound, ("b",)))
        self.assertFalse(gateway_pool.has_servers(nowhere))
        self.assertEqual(len(gateway_pool.servers_left_out(bound)), 1)
        for number in range(capacity):
            gateway_pool.add_running("b", make_work(str(number)))
        enqueue_work(gateway_pool, bound)
        enqueue_work(gateway_pool, make_work("z"))
        ((_, choice),) = gateway_pool.dispatch_waiting(0)
        self.assertEqual(choice.identity, "a")
        other = dataclasses.replace(bound, identity="w", software="v1")
        self.assertEqual(gateway_pool.expected_wait_ms(other, 0), 0.0)
        self.assertGreater(gateway_pool.expected_wait_ms(bound, 0), 0.0)

    def test_permit_that_has_run_out_is_not_used(self):
        """Guards against a process that goes on with old permits after a pause."""
        gateway_pool = make_pool(announce("a"))
        server = gateway_pool.servers["a"]
        server.limit = limits.Limit(5.0, 0, 0)
        server.permits.append(types.SimpleNamespace(granted_ms=0))
        work = make_work("1")
        late_ms = limits.PERMIT_VALIDITY_MS + 1
        self.assertIsNotNone(gateway_pool.choose(work, (), late_ms - 1))
        self.assertIsNone(gateway_pool.choose(work, (), late_ms))
        self.assertEqual(gateway_pool.wanted, ["a"])

    def test_failed_server_is_used_again_after_backoff(self):
        gateway_pool = make_pool(announce("a"))
        gateway_pool.failed("a", 0, with_backoff=True)
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(gateway_pool.dispatch_waiting(100), [])
        self.assertEqual(len(gateway_pool.dispatch_waiting(pool.MIN_BACKOFF_MS)), 1)


class QueueOrderTest(unittest.TestCase):
    """Load patterns of the days with the highest load.

    A server of `SINGLE_REQUEST_SLOTS` runs one request at a time.
    """

    def test_top_rank_burst_is_dispatched_before_earlier_lower_rank(self):
        gateway_pool = make_pool(announce("a", slots=SINGLE_REQUEST_SLOTS))
        low_ticket = enqueue_work(gateway_pool, make_work("low", rank=(2, 3)))
        top_ticket = enqueue_work(
            gateway_pool, make_work("top", rank=(2, 1), arrived_ms=5)
        )
        self.assertEqual(
            [ticket for ticket, _ in gateway_pool.dispatch_waiting(10)], [top_ticket]
        )
        self.assertIn(low_ticket, gateway_pool.waiting)

    def test_workspace_tier_takes_precedence_over_route_tier(self):
        gateway_pool = make_pool(announce("a", slots=SINGLE_REQUEST_SLOTS))
        enqueue_work(gateway_pool, make_work("second", rank=(2, 1)))
        first_ticket = enqueue_work(
            gateway_pool, make_work("first", rank=(1, 3), arrived_ms=5)
        )
        self.assertEqual(
            [ticket for ticket, _ in gateway_pool.dispatch_waiting(10)], [first_ticket]
        )

    def test_low_rank_work_leaves_capacity_for_higher_ranks(self):
        gateway_pool = make_pool(*(announce(name, slots=5) for name in "ab"))
        gateway_pool.record_arrival(make_work("seen", rank=(1, 1)))
        capacity = 2 * (5 + pool.ENGINE_QUEUE_REQUESTS)
        for number in range(capacity):
            enqueue_work(gateway_pool, make_work(f"low{number}", rank=(1, 3)))
        started = gateway_pool.dispatch_waiting(0)
        self.assertLess(len(started), capacity)
        enqueue_work(gateway_pool, make_work("top", rank=(1, 1)))
        self.assertEqual(len(gateway_pool.dispatch_waiting(1)), 1)

    def test_no_capacity_is_reserved_for_inactive_ranks(self):
        gateway_pool = make_pool(*(announce(name, slots=5) for name in "ab"))
        capacity = 2 * (5 + pool.ENGINE_QUEUE_REQUESTS)
        for number in range(capacity):
            enqueue_work(gateway_pool, make_work(f"low{number}", rank=(1, 3), tokens=1))
        self.assertEqual(len(gateway_pool.dispatch_waiting(0)), capacity)

    def test_late_requests_are_dispatched_after_timely_ones(self):
        gateway_pool = make_pool(announce("a", slots=SINGLE_REQUEST_SLOTS))
        late_ticket = enqueue_work(gateway_pool, make_work("late", goal_ms=1000))
        timely_ticket = enqueue_work(
            gateway_pool, make_work("timely", arrived_ms=1200, goal_ms=1000)
        )
        self.assertEqual(
            [ticket for ticket, _ in gateway_pool.dispatch_waiting(1200)],
            [timely_ticket],
        )
        self.assertIn(late_ticket, gateway_pool.waiting)

    def test_higher_rank_starts_lengthen_expected_wait(self):
        gateway_pool = make_pool(announce("a", slots=4))
        for number in range(3):
            enqueue_work(gateway_pool, make_work(f"low{number}", rank=(1, 3)))
        work = make_work("new", rank=(1, 3))
        idle_wait_ms = gateway_pool.expected_wait_ms(work, 10)
        for number in range(15):
            gateway_pool.record_start(make_work(f"top{number}", rank=(1, 1)), 10)
        self.assertGreater(gateway_pool.expected_wait_ms(work, 10), 1.5 * idle_wait_ms)

    def test_short_queue_without_recent_starts_has_short_expected_wait(self):
        gateway_pool = make_pool(*(announce(name, slots=4) for name in "abcdef"))
        gateway_pool.gateway_count = 8
        for number in range(3):
            enqueue_work(gateway_pool, make_work(str(number)))
        self.assertLess(gateway_pool.expected_wait_ms(make_work("new"), 10), 1000)

    def test_failure_of_a_third_of_servers_moves_work_to_the_rest(self):
        gateway_pool = make_pool(
            *(announce(name, slots=SINGLE_REQUEST_SLOTS + 1) for name in "abc")
        )
        gateway_pool.failed("c", 0, with_backoff=True)
        for number in range(6):
            enqueue_work(gateway_pool, make_work(str(number), tokens=1))
        chosen = [choice.identity for _, choice in gateway_pool.dispatch_waiting(1)]
        self.assertEqual(sorted(chosen), ["a", "a", "b", "b"])


class ServerChoiceTest(unittest.TestCase):
    """Distance, speed and failures decide which server is chosen."""

    def test_servers_in_own_data_centre_are_preferred(self):
        gateway_pool = make_pool(
            announce("f", "far"),
            announce("w", "west"),
            announce("n"),
        )
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(gateway_pool.dispatch_waiting(0)[0][1].identity, "n")

    def test_server_with_slow_first_answers_is_avoided(self):
        gateway_pool = make_pool(announce("a"), announce("b"))
        work = make_work("x")
        for _ in range(20):
            gateway_pool.add_running("a", work)
            gateway_pool.record_first_answer("a", work, 1000, 50)
            gateway_pool.remove_running("a", work)
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(gateway_pool.dispatch_waiting(0)[0][1].identity, "b")

    def test_long_answers_go_to_faster_server_and_short_ones_to_nearer(self):
        gateway_pool = make_pool(announce("slow"), announce("fast", "west"))
        gateway_pool.servers["slow"].token_ms = 10.0
        gateway_pool.servers["fast"].token_ms = 3.0
        long_work = dataclasses.replace(make_work("l"), output_tokens=400)
        self.assertEqual(gateway_pool.choose(long_work, (), 0).identity, "fast")
        short_work = dataclasses.replace(make_work("s"), output_tokens=5)
        self.assertEqual(gateway_pool.choose(short_work, (), 0).identity, "slow")

    def test_long_answer_avoids_slower_server_that_was_not_measured_here(self):
        """Guards against long answers that are cut at their deadline on slow hosts.

        A gateway that has measured one server knows what the others' host factors mean.
        """
        gateway_pool = make_pool(
            announce("measured"), announce("slow"), announce("fast", "west")
        )
        factors = {"measured": 1.0, "slow": 1.2, "fast": 0.8}
        for identity, factor in factors.items():
            report = servers.LoadReport(0, 0, 2, factor)
            gateway_pool.record_report((identity, 1), report, 0)
        gateway_pool.record_token_time("measured", 6.0)
        tried = frozenset(("measured",))
        long_work = dataclasses.replace(make_work("l"), output_tokens=400)
        self.assertEqual(gateway_pool.choose(long_work, tried, 0).identity, "fast")
        short_work = dataclasses.replace(make_work("s"), output_tokens=5)
        self.assertEqual(gateway_pool.choose(short_work, tried, 0).identity, "slow")

    def test_answer_of_usual_length_leaves_distant_fast_server_to_longer_ones(self):
        """Guards against answers with time to spare that all crowd on fast hosts."""
        gateway_pool = make_pool(announce("slow"), announce("fast", "far"))
        gateway_pool.servers["slow"].token_ms = 12.0
        gateway_pool.servers["fast"].token_ms = 5.0
        usual = dataclasses.replace(
            make_work("u"), output_tokens=280, caller_deadline_ms=15_000
        )
        self.assertEqual(gateway_pool.choose(usual, (), 0).identity, "slow")
        longer = dataclasses.replace(usual, output_tokens=1000)
        self.assertEqual(gateway_pool.choose(longer, (), 0).identity, "fast")

    def test_failing_server_announced_as_ready_is_avoided(self):
        gateway_pool = make_pool(announce("a"), announce("b"))
        for _ in range(5):
            gateway_pool.failed("a", 0, with_backoff=False)
        enqueue_work(gateway_pool, make_work("1"))
        self.assertEqual(gateway_pool.dispatch_waiting(0)[0][1].identity, "b")

    def test_restarted_server_has_no_failure_history(self):
        gateway_pool = make_pool(announce("a"))
        gateway_pool.failed("a", 0, with_backoff=True)
        gateway_pool.put_server(announce("a", born_ms=2), False)
        self.assertEqual(gateway_pool.servers["a"].failure_rate, 0.0)


class LoadOfManyGatewaysTest(unittest.TestCase):
    """Gateways that all send requests to the same servers, hundreds of each."""

    @hypothesis.settings(fuzzing.SETTINGS)
    @hypothesis.given(strategies.data())
    def test_totals_are_the_sums_of_the_shares(self, data):
        """Totals are kept up while gateways report and are silent, servers restart."""
        gateway_pool = make_pool(*(announce(name) for name in "abc"))
        reported, now_ms, born_ms = {}, 0, 1
        for _ in range(data.draw(strategies.integers(1, 25))):
            now_ms += data.draw(strategies.sampled_from((0, 100, 2000)))
            step = data.draw(strategies.sampled_from(("report", "restart", "leave")))
            name = data.draw(strategies.sampled_from("abcd"))
            if step == "report":
                counts = data.draw(
                    strategies.dictionaries(
                        strategies.sampled_from("abcd"), strategies.integers(1, 5)
                    )
                )
                shares = {key: pool.LoadShare(n, 7 * n, n) for key, n in counts.items()}
                gateway_pool.update_load_shares(name, shares, now_ms)
                known = set(shares) & set(gateway_pool.servers)
                reported[name] = now_ms, {key: counts[key] for key in known}
            else:
                born_ms += 1
                gateway_pool.remove_server(name)
                if step == "restart":
                    gateway_pool.put_server(announce(name, born_ms=born_ms), False)
                for _, counts in reported.values():
                    counts.pop(name, None)
            gateway_pool.drop_expired_load_shares(now_ms)
            for identity, server in gateway_pool.servers.items():
                count = sum(
                    counts.get(identity, 0)
                    for at_ms, counts in reported.values()
                    if now_ms - at_ms <= pool.LOAD_SHARE_EXPIRY_MS
                )
                totals = server.others.running, server.others.input_tokens
                self.assertEqual(totals, (count, 7 * count))

    def count_calls(self, function):
        """Return how many functions are called while one runs.

        The garbage collector must not run meanwhile: Hypothesis has it call functions.
        """
        count = 0

        def trace(frame, event, argument):
            nonlocal count
            count += event in ("call", "c_call")

        gc.disable()
        sys.setprofile(trace)
        try:
            function()
        finally:
            sys.setprofile(None)
            gc.enable()
        return count

    def test_choosing_does_not_take_longer_with_more_gateways(self):
        counts = []
        for gateway_count in (3, 1900):
            gateway_pool = make_pool(*(announce(f"s{n}", slots=4) for n in range(60)))
            for number in range(gateway_count):
                shares = {f"s{number % 60}": pool.LoadShare(0, 10, 1)}
                gateway_pool.update_load_shares(f"g{number}", shares, 0)
            work = make_work("x")
            counts.append(self.count_calls(lambda: gateway_pool.choose(work, (), 0)))
        self.assertEqual(counts[0], counts[1])

    def test_load_is_kept_up_while_requests_are_dispatched(self):
        """The load that is found once equals the one that is counted anew."""
        gateway_pool = make_pool(
            *(announce(f"s{n}", version=f"v{n % 2}") for n in range(6))
        )
        openings = gateway_pool.find_openings(0)
        works = [
            dataclasses.replace(make_work(f"w{software}"), software=software)
            for software in (None, "v0", "v1", "")
        ]
        for number in range(12):
            for work in works:
                self.assertEqual(
                    openings.load(work), gateway_pool.usable_capacity(work, 0)
                )
            work = dataclasses.replace(works[number % 3], identity=str(number))
            choice = gateway_pool.choose(work, (), 0, openings)
            gateway_pool.add_running(choice.identity, work)
            openings.record_start(choice.identity)

    def test_capacity_follows_announcements_and_documents(self):
        gateway_pool = make_pool(announce("a", slots=4))
        engine_capacity = 4 + pool.ENGINE_QUEUE_REQUESTS
        self.assertEqual(gateway_pool.servers["a"].capacity, engine_capacity)
        gateway_pool.put_server(announce("a", slots=6), False)
        self.assertEqual(gateway_pool.servers["a"].capacity, engine_capacity + 2)
        gateway_pool.configure((catalog.Service("llm", 100, "", None),))
        plain_capacity = 6 * pool.PLAIN_REQUESTS_PER_SLOT
        self.assertEqual(gateway_pool.servers["a"].capacity, plain_capacity)

    def test_queue_before_full_servers_costs_one_pass_over_the_servers(self):
        """Guards against a comparison of all servers for each request that waits."""
        counts = []
        for waiting in (1, 200):
            gateway_pool = make_pool(*(announce(f"s{n}") for n in range(60)))
            full = {f"s{n}": pool.LoadShare(9, 0, 0) for n in range(60)}
            gateway_pool.update_load_shares("other", full, 0)
            for number in range(waiting):
                enqueue_work(gateway_pool, make_work(str(number)))
            counts.append(self.count_calls(lambda: gateway_pool.dispatch_waiting(0)))
        self.assertEqual(counts[0], counts[1])


if __name__ == "__main__":
    unittest.main()
