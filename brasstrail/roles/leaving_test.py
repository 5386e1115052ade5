"""Tests of servers that say in their answers that they leave, in memory."""

import asyncio
import unittest

from brasstrail.core import clock
from brasstrail.protocol import messages
from brasstrail.roles import rests_test


class LeavingTest(rests_test.RestCase):
    """Three gateways, and two servers of one service of which one leaves."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leaving, self.other = self.platform.servers

    async def reach_leaving(self, target="/unsafe/x", name="g0"):
        """Send requests until the leaving server has answered one; return the reply."""
        self.leaving.says_leaving = True
        for _ in range(20):
            before = len(self.leaving.visits)
            reply = await self.platform.call(name, target)
            if len(self.leaving.visits) > before:
                return reply
        raise AssertionError("No request has reached the server that leaves.")

    async def count_new(self, seconds=0.6):
        """Return how many requests the leaving server gets within some seconds."""
        before = len(self.leaving.visits)
        await self.press(seconds)
        return len(self.leaving.visits) - before

    # Guards against requests that go on to a server that says in its answers that it
    # leaves, while its announcements say nothing of it.
    async def test_server_that_says_it_leaves_gets_nothing_more(self):
        for target in ("/safe/x", "/unsafe/x", "/stream/x?count=3", "/unsafe/fail"):
            with self.subTest(target):
                await self.asyncSetUp()
                await self.reach_leaving(target)
                self.platform.exchange()
                self.assertEqual(await self.count_new(), 0)
                self.assertGreater(len(self.other.visits), 20)

    async def test_refusals_and_broken_answers_count(self):
        for target in ("/safe/x?break=1&count=3", "/stream/x?break=1", "/safe/interim"):
            with self.subTest(target):
                await self.asyncSetUp()
                await self.reach_leaving(target)
                self.platform.exchange()
                self.assertEqual(await self.count_new(), 0)
        await self.asyncSetUp()
        self.leaving.rests = ["0"] * 9
        await self.reach_leaving()
        self.leaving.rests = []
        self.platform.exchange()
        self.assertEqual(await self.count_new(), 0)

    async def test_other_gateways_are_told(self):
        await self.reach_leaving()
        self.leaving.says_leaving = False
        self.platform.exchange()
        before = len(self.leaving.visits)
        await self.press(0.5, {"g1": 4, "g2": 4})
        self.assertEqual(len(self.leaving.visits), before)

    async def test_announcements_do_not_bring_it_back(self):
        await self.reach_leaving()
        self.platform.exchange()
        gateway = self.platform.gateways["g0"]
        gateway.apply_directory(messages.Directory(True, ()))
        self.platform.announce(self.leaving, "silent")
        self.platform.announce(self.leaving, "ready")
        self.leaving.says_leaving = False
        self.assertEqual(await self.count_new(), 0)

    async def test_new_start_is_used(self):
        await self.reach_leaving()
        self.platform.exchange()
        self.leaving.says_leaving = False
        self.leaving.end()
        self.leaving.start()
        self.assertGreater(await self.count_new(), 10)

    async def test_what_it_runs_goes_on_to_its_end(self):
        self.leaving.gate.clear()
        self.other.gate.clear()
        tasks = [self.platform.begin("g0", "/stream/x?count=9") for _ in range(4)]
        await asyncio.sleep(0.05)
        self.leaving.says_leaving = True
        self.leaving.gate.set()
        self.other.gate.set()
        await self.platform.wait([task for task, _ in tasks])
        self.assertEqual([len(reply.events) for _, reply in tasks], [9] * 4)

    async def test_refusal_is_true_where_all_servers_leave(self):
        for server in self.platform.servers:
            server.says_leaving = True
        for _ in range(4):
            await self.platform.call("g0", "/unsafe/x")
        runs = self.platform.run_count()
        began_ms = clock.now_ms()
        reply = await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="3000")
        self.assertEqual((reply.status, self.platform.run_count()), (503, runs))
        self.assertIn("Retry-After", reply.headers)
        self.assertLess(clock.now_ms() - began_ms, 1500)

    async def test_gateway_that_starts_is_told(self):
        await self.reach_leaving()
        self.platform.exchange()
        self.platform.add_gateway("g2")
        self.leaving.says_leaving = False
        self.platform.exchange()
        before = len(self.leaving.visits)
        await self.press(0.5, {"g2": 4})
        self.assertEqual(len(self.leaving.visits), before)


if __name__ == "__main__":
    unittest.main()
