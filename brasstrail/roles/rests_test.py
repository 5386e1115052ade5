"""Tests of servers that turn requests away and ask for rest, in memory."""

import asyncio
import unittest
import unittest.mock

from brasstrail.core import clock
from brasstrail.fakes import memory
from brasstrail.roles import crashes_test, limits_test

# The users' bound: from this time after a server has turned a gateway away until the
# end of the rest that it asked for, that gateway sends it at most so many requests.
GRACE_MS = 500
MAX_REQUESTS = 2
# A server that does not ask for rest any more is used again within this time.
RETURN_LIMIT_S = 2.0


class RestCase(limits_test.LimitCase):
    """Three gateways, and two servers of one service."""

    def broken_rests(self):
        """Return the rests in which a server got too many requests from the gateway."""
        found = []
        for server in self.platform.servers:
            for gateway, at_ms, seconds in server.asked:
                begin_ms, end_ms = at_ms + GRACE_MS, at_ms + 1000 * seconds
                count = sum(
                    name == gateway and begin_ms < visit_ms < end_ms
                    for name, visit_ms in server.visits
                )
                if count > MAX_REQUESTS:
                    found.append((server.identity, gateway, seconds, count))
        return found

    def rest_all(self, text):
        """Let all servers turn requests away and ask for rest."""
        for server in self.platform.servers:
            server.rest = text

    def tick(self):
        """Run the periodic work of all gateways."""
        for gateway in self.platform.gateways.values():
            gateway.tick()
        self.platform.deliver()


class RestTest(RestCase):
    """A rest is kept by every path, and by each gateway for itself."""

    # Guards against requests that go on to a server that wants none from this gateway.
    async def test_rest_of_one_server_is_kept(self):
        for route in crashes_test.ROUTES:
            with self.subTest(route):
                await self.asyncSetUp()
                self.platform.servers[0].rest = "1.5"
                await self.press(2.5, route=route)
                self.assertEqual(self.broken_rests(), [])
                self.assertGreater(len(self.platform.servers[1].visits), 50)

    async def test_rest_is_kept_where_all_servers_rest(self):
        self.rest_all("1.5")
        await self.press(2.5)
        self.assertEqual(self.broken_rests(), [])

    async def test_longer_rest_replaces_a_shorter_one_and_not_the_reverse(self):
        for rests in (["0.6", "2"], ["2", "0.6"]):
            with self.subTest(rests):
                await self.asyncSetUp()
                server, other = self.platform.servers
                other.end()
                server.gate.clear()
                server.rests = list(rests)
                tasks = [self.platform.begin("g0", "/unsafe/x")[0] for _ in rests]
                await self.platform.wait(tasks)
                server.gate.set()
                self.platform.forget_failures()
                await self.press(2.2, {"g0": 4})
                self.assertEqual(self.broken_rests(), [])

    async def test_times_in_a_head(self):
        for text, rests in (
            ("1.4", True),
            ("0.7\n1.4", True),
            ("1.4\n0.7", True),
            ("99999999999999999999", True),
            ("0", False),
            ("-3", False),
            ("soon", False),
            ("", False),
            ("nan", False),
            ("Fri, 04 Dec 2026 15:00:00 GMT", False),
        ):
            with self.subTest(text):
                await self.asyncSetUp()
                server, other = self.platform.servers
                other.end()
                server.rests = [text]
                # A gateway that has just started would wait for other servers, longer
                # than some of these rests.
                await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="100")
                self.platform.forget_failures()
                await asyncio.sleep(0.6)
                reply = await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="300")
                self.assertEqual(reply.status == 200, not rests)

    async def test_rest_belongs_to_the_start_of_a_server(self):
        server, other = self.platform.servers
        other.end()
        server.rests = ["9"]
        await self.platform.call("g0", "/unsafe/x")
        server.end()
        server.start()
        reply = await self.platform.call("g0", "/unsafe/x")
        self.assertEqual(reply.status, 200)

    async def test_rest_outlives_lists_that_lack_the_server(self):
        server, other = self.platform.servers
        other.end()
        server.rests = ["2"]
        await self.platform.call("g0", "/unsafe/x")
        gateway = self.platform.gateways["g0"]
        gateway.apply_directory(memory.messages.Directory(True, ()))
        self.platform.announce(server, "ready")
        self.platform.forget_failures()
        reply = await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="500")
        self.assertEqual(reply.status, 503)

    async def test_other_gateways_go_on(self):
        server, other = self.platform.servers
        other.end()
        server.rests = ["9"]
        await self.platform.call("g0", "/unsafe/x")
        self.platform.exchange()
        reply = await self.platform.call("g1", "/unsafe/x")
        self.assertEqual(reply.status, 200)


class AfterRestTest(RestCase):
    """What callers get meanwhile, and how a server is used again."""

    # Guards against a server that is failed, or shunned, since it has asked for rest.
    async def test_server_is_used_again_right_after(self):
        server, other = self.platform.servers
        other.end()
        server.rest = "1"
        await self.press(1.5)
        server.rest = None
        end_ms = clock.now_ms() + 1000
        await self.press(RETURN_LIMIT_S)
        used = [at_ms for _, at_ms in server.visits if at_ms > end_ms]
        self.assertGreater(len(used), 20)
        for gateway in self.platform.gateways.values():
            known = gateway.pool.servers[server.identity]
            self.assertEqual((known.failure_rate, known.backoff_ms), (0.0, 0))

    # Guards against all that waits going to a server in the moment its rest ends.
    async def test_server_that_goes_on_resting_gets_a_few_tries(self):
        self.rest_all("1")
        await self.press(0.5, callers=30)
        before = sum(len(server.visits) for server in self.platform.servers)
        await self.press(1.2, callers=30)
        tries = sum(len(server.visits) for server in self.platform.servers) - before
        self.assertGreater(tries, 0)
        self.assertLessEqual(tries, 4 * len(self.platform.names))

    async def test_refusal_names_when_the_first_server_is_back(self):
        server, other = self.platform.servers
        server.rest, other.rest = "4", "3"
        for _ in range(3):
            await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="900")
        reply = await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="900")
        self.assertEqual(reply.status, 503)
        self.assertTrue(2.0 <= float(reply.headers["Retry-After"]) <= 4.6)
        self.assertEqual(self.platform.run_count(), 0)

    async def test_caller_with_time_waits_for_the_first_server(self):
        self.rest_all("1")
        await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="500")
        self.rest_all(None)
        reply = await self.platform.call("g0", "/unsafe/x", X_Deadline_Ms="4000")
        self.assertEqual(reply.status, 200)

    async def test_gateway_that_was_frozen_lets_no_burst_out(self):
        server, other = self.platform.servers
        other.end()
        server.rest = "1"
        tasks = [
            self.platform.begin("g0", "/unsafe/x", X_Deadline_Ms="6000")[0]
            for _ in range(30)
        ]
        await asyncio.sleep(0.3)
        before = len(server.visits)
        with unittest.mock.patch.object(
            clock, "now_ms", lambda now=clock.now_ms: now() + 3000
        ):
            self.tick()
            await asyncio.sleep(0.05)
        self.assertLessEqual(len(server.visits) - before, MAX_REQUESTS)
        for task in tasks:
            task.cancel()
        await self.platform.wait(tasks)


if __name__ == "__main__":
    unittest.main()
