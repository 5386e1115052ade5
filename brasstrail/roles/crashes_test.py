"""Tests of requests that end the servers that run them, without a network."""

import asyncio
import unittest

import brasstrail.platform  # noqa: F401
from brasstrail.core import clock
from brasstrail.fakes import memory
from brasstrail.protocol import messages
from brasstrail.roles import crashes

# The users' bound: servers that a request may end before it is refused.
MAX_SERVERS_ENDED = 3


def make_route(name, kind, **changes):
    """Return a route of the operators' document."""
    return {
        "name": name,
        "host": memory.HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 600_000,
        "goal_ms": 300_000,
        "service": "s",
        "max_attempts": 2,
        **changes,
    }


DOCUMENT = {
    "version": 1,
    "routes": [
        make_route("safe", "idempotent"),
        make_route("unsafe", "non_idempotent"),
        make_route("stream", "streaming"),
        make_route("resumed", "streaming", resumable=True),
        make_route("outer", "idempotent", service="o"),
    ],
    "services": [{"name": "s", "max_conns": 9}, {"name": "o", "max_conns": 9}],
    "tenants": [
        {"name": "w", "api_keys": ["k"]},
        {"name": "v", "api_keys": ["other"]},
    ],
}
ROUTES = ("safe", "unsafe", "stream", "resumed")


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Three gateways and four servers of one service."""

    async def asyncSetUp(self):
        self.platform = memory.Platform(DOCUMENT)
        self.platform.add_servers("s", 4)

    def restart_servers(self):
        """Start the servers that have ended, and let the gateways use all of them."""
        for server in self.platform.servers:
            if not server.is_up:
                server.start()
        self.platform.forget_failures()
        self.platform.exchange()

    async def call_until_run(self, name, target):
        """Send a request, and leave as soon as a server runs it or it has ended."""
        before = self.platform.run_count()
        task, reply = self.platform.begin(name, target)
        while not task.done() and self.platform.run_count() == before:
            await asyncio.sleep(0)
        task.cancel()
        await self.platform.wait([task])
        return reply

    async def repeat(self, target, times, keys=("k",)):
        """Send a request to the gateways in turn; return the servers ended by it."""
        before = self.platform.run_count()
        names = self.platform.names
        for attempt in range(times):
            key = keys[attempt % len(keys)]
            name = names[attempt % len(names)]
            if "end=silent" in target:
                await self.call_until_run(name, target)
            else:
                await self.platform.call(name, target, key)
            self.restart_servers()
        return self.platform.run_count() - before


class RepeatedRequestTest(PlatformCase):
    """A request that ends its servers comes again at gateways in turn."""

    async def test_request_that_ends_its_servers_is_refused_after_three(self):
        """Guards against a request that ends one server for each time it is sent.

        Each attempt has a new id and comes to another gateway, so that the limits of a
        single attempt never apply.
        """
        for route in ROUTES:
            with self.subTest(route):
                before = self.platform.run_count()
                names = self.platform.names
                for attempt in range(12):
                    gateway_name = names[attempt % len(names)]
                    await self.platform.call(gateway_name, f"/{route}/x?end=reset")
                    self.restart_servers()
                ended = self.platform.run_count() - before
                self.assertLessEqual(ended, MAX_SERVERS_ENDED)

    async def test_each_way_in_which_servers_end(self):
        for route in ROUTES:
            for ending in memory.ENDINGS:
                with self.subTest(route=route, ending=ending):
                    ended = await self.repeat(f"/{route}/x?end={ending}", 8)
                    self.assertLessEqual(ended, MAX_SERVERS_ENDED)
                    self.assertGreater(ended, 0)

    async def test_request_comes_from_several_callers(self):
        ended = await self.repeat("/unsafe/x?end=reset", 8, ("k", "other"))
        self.assertEqual(ended, MAX_SERVERS_ENDED)

    async def test_request_comes_at_all_gateways_at_the_same_moment(self):
        for route in ROUTES:
            with self.subTest(route):
                target = f"/{route}/x?end=reset"
                begun = self.platform.run_count()
                for _ in range(4):
                    before = self.platform.run_count()
                    calls = [
                        self.platform.call(name, target) for name in self.platform.names
                    ]
                    await asyncio.gather(*calls)
                    self.restart_servers()
                    if before - begun >= MAX_SERVERS_ENDED:
                        self.assertEqual(self.platform.run_count(), before)
                self.assertGreaterEqual(
                    self.platform.run_count() - begun, MAX_SERVERS_ENDED
                )

    async def test_caller_resumes_a_stream_with_the_last_event(self):
        before = self.platform.run_count()
        for number in range(8):
            name = self.platform.names[number % 3]
            resumed_after = {"Last_Event_Id": str(number)}
            await self.platform.call(
                name, "/stream/x?end=partial", "k", **resumed_after
            )
            self.restart_servers()
        self.assertEqual(self.platform.run_count() - before, MAX_SERVERS_ENDED)

    async def test_caller_sends_a_new_idempotency_key_each_time(self):
        before = self.platform.run_count()
        for number in range(8):
            headers = {"Idempotency_Key": str(number)}
            await self.platform.call("g0", "/unsafe/x?end=reset", "k", **headers)
            self.restart_servers()
        self.assertEqual(self.platform.run_count() - before, MAX_SERVERS_ENDED)

    async def test_run_of_another_request_makes_the_call(self):
        """The inner request is held back; the outer one, which completes, is not."""
        self.platform.add_servers("o", 1)
        outer = self.platform.servers[-1]
        for _ in range(8):
            reply = await self.platform.call(
                "g1", "/outer/x?call=%2Funsafe%2Fx%3Fend%3Dreset"
            )
            self.assertEqual(reply.status, 200)
            self.restart_servers()
        self.assertEqual(len(outer.runs), 8)
        inner = self.platform.run_count() - len(outer.runs)
        self.assertEqual(inner, MAX_SERVERS_ENDED)

    async def test_request_ends_servers_for_one_workspace_only(self):
        target = "/unsafe/x?end=reset&only=w"
        reply = await self.platform.call("g0", target, "other")
        self.assertEqual(reply.status, 200)
        self.assertEqual(await self.repeat(target, 8), MAX_SERVERS_ENDED)
        reply = await self.platform.call("g1", target, "other")
        self.assertEqual(reply.status, 200)


class LostProcessTest(PlatformCase):
    """Processes of the system are lost between the crashes."""

    async def test_gateway_that_saw_a_crash_is_killed(self):
        target = "/unsafe/x?end=reset"
        before = self.platform.run_count()
        for name in ("g0", "g1", "g2", "g0", "g1", "g2"):
            await self.platform.call(name, target)
            self.restart_servers()
            self.platform.add_gateway(name)
            self.platform.exchange()
        self.assertEqual(self.platform.run_count() - before, MAX_SERVERS_ENDED)

    async def test_gateway_that_was_cut_off_learns_of_the_crashes(self):
        self.platform.cut.add("g2")
        self.assertEqual(await self.repeat("/unsafe/x?end=reset", 2), 2)
        self.platform.cut.clear()
        self.platform.exchange()
        self.assertEqual(await self.repeat("/unsafe/x?end=reset", 6), 1)

    async def test_harmless_content_while_gateways_restart_one_after_another(self):
        """Guards against a content that is held back as none remembers its answers.

        Many callers send it, so that it has runs on every server that ends.
        """
        for name in self.platform.names:
            reply = await self.platform.call(name, "/unsafe/hot")
            self.assertEqual(reply.status, 200)
        for name in self.platform.names:
            self.platform.add_gateway(name)
            self.platform.exchange()
        for number in range(4):
            name = self.platform.names[number % 3]
            for server in self.platform.servers:
                server.gate.clear()
            before = self.platform.run_count()
            task, _ = self.platform.begin(name, "/unsafe/hot")
            while not task.done() and self.platform.run_count() == before:
                await asyncio.sleep(0)
            for server in self.platform.servers:
                server.end()
                server.gate.set()
            await self.platform.wait([task])
            self.restart_servers()
        for name in self.platform.names:
            reply = await self.platform.call(name, "/unsafe/hot")
            self.assertEqual(reply.status, 200)

    async def test_started_gateway_knows_at_once_what_is_held_back(self):
        """Guards against retries through gateways that have just started."""
        for number in range(60):
            await self.platform.call("g0", f"/unsafe/{number}?end=reset")
            self.restart_servers()
        target = "/unsafe/x?end=reset"
        self.assertEqual(await self.repeat(target, MAX_SERVERS_ENDED), 3)
        for name in self.platform.names:
            self.platform.add_gateway(name)
            started = self.platform.gateways[name].gossip
            started.send(started.own_region)
            self.platform.deliver()
            before = self.platform.run_count()
            reply = await self.platform.call(name, target)
            self.assertEqual(reply.code, crashes.REFUSAL_REASON)
            self.assertEqual(self.platform.run_count(), before)

    async def test_gateways_hear_nothing_of_servers(self):
        """Without control hosts a broken connection is all that gateways see."""
        self.platform.has_controls = False
        ended = await self.repeat("/unsafe/x?end=reset", 8)
        self.assertEqual(ended, MAX_SERVERS_ENDED)

    async def test_silent_server_is_found_when_its_announcements_stop(self):
        for number in range(8):
            name = self.platform.names[number % 3]
            await self.call_until_run(name, "/unsafe/x?end=silent")
            for server in self.platform.servers:
                if not server.is_up:
                    self.platform.announce(server, "silent")
            self.restart_servers()
        self.assertEqual(self.platform.run_count(), MAX_SERVERS_ENDED)

    async def test_silent_server_is_missing_in_the_list_of_a_new_control_host(self):
        """Guards against a crash that no news confirms: the control host was lost."""
        await self.call_until_run("g0", "/unsafe/x?end=silent")
        gateway = self.platform.gateways["g0"]
        self.assertEqual(gateway.crashes.suspects.record_count(), 0)
        gateway.apply_directory(messages.Directory(True, ()))
        ((crash, evidence),) = gateway.crashes.suspects.all_records()
        self.assertTrue(evidence.is_confirmed)
        self.assertEqual(crash.server, "s-0")


class AnswerTest(PlatformCase):
    """What the caller of a request that is held back gets, and what the log says."""

    async def test_refusal_is_typed_and_true(self):
        target = "/unsafe/x?end=reset"
        await self.repeat(target, MAX_SERVERS_ENDED)
        before = self.platform.run_count()
        reply = await self.platform.call("g0", target)
        self.assertEqual((reply.status, reply.code), (503, crashes.REFUSAL_REASON))
        self.assertGreater(float(reply.headers["Retry-After"]), 1)
        self.assertEqual(self.platform.run_count(), before)

    async def test_attempt_that_has_run_is_not_called_not_run(self):
        target = "/safe/x?end=reset"
        self.assertEqual(await self.repeat(target, 1), 2)
        reply = await self.platform.call("g1", target)
        self.assertEqual((reply.status, reply.code), (502, crashes.REFUSAL_REASON))

    async def test_log_names_request_and_servers(self):
        target = "/unsafe/x?end=reset"
        await self.repeat(target, MAX_SERVERS_ENDED + 1)
        held = [
            line
            for line in self.platform.lines
            if line["event"] == "crashes: A request is held back."
        ]
        self.assertEqual(len(held), 1)
        ended = [
            line
            for line in self.platform.lines
            if line["event"].startswith("crashes: A server ended") and line["id"]
        ]
        self.assertEqual({line["content"] for line in ended}, {held[0]["content"]})
        self.assertEqual(
            {line["server"] for line in ended}, set(held[0]["servers"].split(","))
        )
        (last,) = [
            line
            for line in self.platform.lines
            if line["event"] == "forwarding: A request ended."
            and line["id"] == held[0]["id"]
        ]
        self.assertEqual(last["outcome"], crashes.REFUSAL_REASON)


class InnocentRequestTest(PlatformCase):
    """Other requests are served and retried, whatever happens to their servers."""

    async def call_beside(self, target, fatal_target):
        """Begin a request and, while it runs, send one that ends its server."""
        for server in self.platform.servers:
            server.gate.clear()
        task, reply = self.platform.begin("g0", target)
        await asyncio.sleep(0.01)
        (server,) = [each for each in self.platform.servers if each.connections]
        for each in self.platform.servers:
            each.gate.set()
            if each is not server:
                self.platform.announce(each, "leaving")
        await self.platform.call("g1", fatal_target)
        for each in self.platform.servers:
            each.is_up = False
        self.restart_servers()
        await self.platform.wait([task])
        return reply

    async def test_requests_beside_a_fatal_one_are_served_when_they_come_again(self):
        for number in range(10):
            target = f"/unsafe/{number}"
            reply = await self.call_beside(target, "/unsafe/x?end=reset")
            self.assertIn(reply.status, (200, 502))
            reply = await self.platform.call("g2", target)
            self.assertEqual(reply.status, 200)

    async def test_content_that_many_callers_send_is_never_held_back(self):
        for _ in range(10):
            reply = await self.platform.call("g0", "/unsafe/hot")
            self.assertEqual(reply.status, 200)
            await self.call_beside("/unsafe/hot", "/unsafe/x?end=reset")
        self.assertFalse(
            [line for line in self.platform.lines if line.get("outcome") == "fault"]
        )

    async def test_all_servers_crash_by_themselves_again_and_again(self):
        """Requests run on servers that end without being the cause, for ten rounds.

        Each caller sends its request again once.
        """
        held = 0
        for number in range(10):
            for server in self.platform.servers:
                server.gate.clear()
            begun = [
                self.platform.begin(name, f"/{route}/{name}-{number}")
                for name in self.platform.names
                for route in ROUTES
            ]
            await asyncio.sleep(0.01)
            for server in self.platform.servers:
                server.end()
                server.gate.set()
            self.restart_servers()
            await self.platform.wait([task for task, _ in begun])
            for _, reply in begun:
                held += reply.code == crashes.REFUSAL_REASON
            for name in self.platform.names:
                for route in ROUTES:
                    reply = await self.platform.call(name, f"/{route}/{name}-{number}")
                    self.assertEqual(reply.status, 200)
        self.assertEqual(held, 0)

    async def test_server_that_is_cut_off_from_control_hosts_only(self):
        """A server that still answers has not ended, though nobody hears of it."""
        for server in self.platform.servers:
            server.gate.clear()
        task, _ = self.platform.begin("g0", "/unsafe/x")
        await asyncio.sleep(0.01)
        tracker = self.platform.gateways["g0"].crashes
        for server in self.platform.servers:
            self.platform.gateways["g0"].pool.record_heard(
                server.identity, clock.now_ms()
            )
            self.platform.announce(server, "silent")
        self.assertEqual(tracker.suspects.record_count(), 0)
        for server in self.platform.servers:
            server.gate.set()
        await self.platform.wait([task])


if __name__ == "__main__":
    unittest.main()
