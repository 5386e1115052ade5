"""Tests that what is counted as taken is given back, whenever callers leave."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies as st

from brasstrail.coordination import pool
from brasstrail.core import clock
from brasstrail.fakes import memory
from brasstrail.roles import crashes_test
from brasstrail.tools import fuzzing

SLOTS = 4
BURST = 1e6
# A plain server takes two requests for each of its slots.
PLACES = 2 * SLOTS
DOCUMENT = {
    **crashes_test.DOCUMENT,
    "tenants": [
        {"name": "w", "api_keys": ["k"], "rate_per_s": 1e-6, "burst": BURST},
    ],
}
TARGETS = (
    "/safe/1",
    "/unsafe/2",
    "/stream/3",
    "/resumed/4?break=1",
    "/safe/fail",
    "/safe/5?end=reset",
    "/unsafe/6?end=head",
)
STEPS = st.one_of(
    st.tuples(st.just("begin"), st.integers(1, 12), st.sampled_from(TARGETS)),
    st.tuples(st.just("turn"), st.integers(1, 6), st.none()),
    st.tuples(st.just("leave"), st.integers(0, 60), st.integers(1, 40)),
    st.tuples(st.just("gate"), st.booleans(), st.integers(0, 1)),
    st.tuples(st.just("end"), st.integers(0, 1), st.none()),
    st.tuples(st.just("start"), st.integers(0, 1), st.none()),
    st.tuples(st.just("dispatch"), st.none(), st.none()),
    st.tuples(st.just("limit"), st.integers(0, 1), st.sampled_from(("3", None))),
)


class Crowd:
    """Callers of one gateway with two servers, some of whom leave at any moment."""

    def __init__(self):
        self.platform = memory.Platform(DOCUMENT, 1)
        self.platform.add_servers("s", 2)
        self.gateway = self.platform.gateways["g0"]
        self.gateway.allotments.buckets["w"].level = BURST
        self.tasks = []
        self.requests = []

    def begin(self, count, target):
        """Send requests."""
        for _ in range(count):
            task, _ = self.platform.begin("g0", target)
            self.tasks.append(task)
            self.requests.append(self.gateway.running[task])

    async def turn(self, count, _):
        """Let the event loop turn some times."""
        for _ in range(count):
            await asyncio.sleep(0)

    def leave(self, first, count):
        """Let some callers leave at the same moment."""
        for task in self.tasks[first : first + count]:
            task.cancel()

    def gate(self, is_open, number):
        """Let a server answer from now on, or hold its answers back."""
        gate = self.platform.servers[number].gate
        gate.set() if is_open else gate.clear()

    def end(self, number, _):
        """End a server."""
        self.platform.servers[number].end(is_reset=True)

    def start(self, number, _):
        """Start a server that has ended."""
        if not self.platform.servers[number].is_up:
            self.platform.servers[number].start()
        self.platform.forget_failures()

    def dispatch(self, *_):
        """Dispatch what waits, as the periodic work does."""
        self.gateway.dispatch_waiting()

    def limit(self, number, per_s):
        """Let a server name a limit, or none any more."""
        self.platform.servers[number].limit = per_s

    def taken(self):
        """Return the places that count as taken, as (server, attempt id) pairs."""
        return sorted(
            (identity, work.identity)
            for identity, server in self.gateway.pool.servers.items()
            for work in server.running.values()
        )

    def owned(self):
        """Return the places that have an owner on servers that run."""
        return sorted(
            (each.choice.identity, each.work.identity)
            for each in self.gateway.places
            if self.gateway.pool.born_ms(each.choice.identity) == each.start[1]
        )

    def errors(self):
        """Return the log lines of faults."""
        return [
            line
            for line in self.platform.lines
            if line["event"]
            in (
                "hub: A callback failed.",
                "forwarding: A request failed within.",
                "gateway: A request failed with an internal error.",
                "gateway: A place at a server had no owner and was freed.",
            )
        ]

    async def empty(self):
        """Let all callers leave, and wait until their requests have ended."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Callers that leave at the same moment."""

    async def test_places_are_free_once_all_callers_have_left(self):
        """Guards against a service that is never served again.

        The place of a caller that had just left was given to another one that had left,
        too, and nobody gave it back.
        """
        crowd = Crowd()
        for number in range(2):
            crowd.gate(False, number)
        crowd.begin(2 * PLACES + 24, "/safe/1")
        await crowd.turn(4, None)
        self.assertEqual(len(crowd.taken()), 2 * PLACES)
        await crowd.empty()
        self.assertEqual(crowd.taken(), [])
        self.assertEqual(crowd.errors(), [])
        for number in range(2):
            crowd.gate(True, number)
        crowd.platform.forget_failures()
        connection = await crowd.platform.call("g0", "/safe/1")
        self.assertEqual(connection.status, 200)

    async def test_servers_stop_when_all_callers_have_left(self):
        crowd = Crowd()
        crowd.gate(False, 0)
        crowd.gate(False, 1)
        crowd.begin(2 * PLACES + 24, "/safe/1")
        await crowd.turn(4, None)
        await crowd.empty()
        left = [len(each.connections) for each in crowd.platform.servers]
        self.assertEqual(left, [0, 0])

    async def test_place_without_an_owner_is_freed(self):
        crowd = Crowd()
        work = pool.Work("lost", "s", (1, 1), 0, 1000, 1000)
        crowd.gateway.pool.add_running("s-0", work)
        crowd.gateway.last_sweep_ms = clock.now_ms() - 10_000
        crowd.gateway.tick()
        self.assertEqual(crowd.taken(), [])
        self.assertEqual(len(crowd.errors()), 1)

    async def test_retry_that_was_not_sent_is_not_charged(self):
        """Guards against a budget that retries use up which no server receives."""
        crowd = Crowd()
        crowd.end(1, None)
        crowd.gate(False, 0)
        budget = crowd.gateway.budget
        crowd.begin(1, "/safe/1")
        await crowd.turn(6, None)
        crowd.end(0, None)
        await asyncio.wait(crowd.tasks, timeout=5)
        self.assertEqual(len(budget.retries["s"]), 0)


class AnyMomentTest(unittest.TestCase):
    """Callers that come and leave while servers answer, end and start."""

    @hypothesis.settings(fuzzing.SETTINGS, max_examples=150)
    @hypothesis.given(st.lists(STEPS, min_size=4, max_size=30))
    def test_taken_is_what_is_at_work(self, steps):
        asyncio.run(self.play(steps))

    async def play(self, steps):
        crowd = Crowd()
        level = crowd.gateway.allotments.buckets["w"].level
        for name, *arguments in steps:
            result = getattr(crowd, name)(*arguments)
            if result is not None:
                await result
            self.assertEqual(crowd.taken(), crowd.owned())
        for server in crowd.platform.servers:
            server.gate.set()
        await crowd.empty()
        gateway = crowd.gateway
        self.assertEqual(crowd.errors(), [])
        self.assertEqual((crowd.taken(), gateway.places), ([], set()))
        self.assertEqual((gateway.waiters, gateway.pool.waiting), ({}, {}))
        self.assertEqual((gateway.held_bytes, gateway.running), (0, {}))
        self.assertEqual(
            [each.connections for each in crowd.platform.servers], 2 * [set()]
        )
        charged = sum(request.may_have_run for request in crowd.requests)
        left = gateway.allotments.buckets["w"].level
        self.assertAlmostEqual(left, level - charged, 3)
        self.assertEqual(dict(gateway.crashes.suspects.running_counts), {})


if __name__ == "__main__":
    unittest.main()
