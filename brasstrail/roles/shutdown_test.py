"""Tests of a gateway's planned stop, with real sockets and a short grace period."""

import asyncio
import contextlib
import dataclasses
import socket
import unittest
from unittest import mock

from brasstrail.core import clock
from brasstrail.fakes import scripted
from brasstrail.protocol import messages
from brasstrail.roles import gateway_test, shutdown

GRACE_S = 2.0
ACCEPT_MS = 300
# A server of the cases takes two requests for each of its four slots.
PLACES = 8
# How a slow caller receives: about 1.5 MB a second.
SEGMENT_BYTES = 1460
READ_BYTES = 8192
READ_INTERVAL_S = 0.005
LONG_EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(1, 200)]
DOCUMENT = {
    **gateway_test.DOCUMENT,
    "version": 2,
    "routes": [
        *gateway_test.DOCUMENT["routes"],
        gateway_test.make_route("slow", "non_idempotent", timeout_ms=20_000),
        gateway_test.make_route("quiet", "idempotent", timeout_ms=20_000),
        gateway_test.make_route(
            "model", "streaming", timeout_ms=20_000, service="m", resumable=True
        ),
    ],
    "services": [
        *gateway_test.DOCUMENT["services"],
        {"name": "m", "max_conns": 9, "runtime": {"slots": 4, "kv_capacity": 10**6}},
    ],
}


class SlowCaller:
    """A caller behind a slow link, with a small buffer and small segments.

    `received` is what it has received of the answer.
    """

    def __init__(self, case, read_interval_s=READ_INTERVAL_S):
        self.read_interval_s = read_interval_s
        self.address = case.settings.gateway.http_address
        self.received = b""

    async def call(self):
        """Send a request; return what was received until the connection ended."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as channel:
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
            channel.setblocking(False)
            await loop.sock_connect(channel, (host, int(port)))
            head = b"GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 42\r\n"
            head += b"Authorization: Token k\r\n\r\n"
            await loop.sock_sendall(channel, head)
            with contextlib.suppress(ConnectionResetError):
                while part := await loop.sock_recv(channel, READ_BYTES):
                    self.received += part
                    await asyncio.sleep(self.read_interval_s)
        return self.received


class ShutdownTest(gateway_test.GatewayCase):
    """A gateway that is told to stop; each row is a state of a request."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        patch = mock.patch.object(shutdown, "ACCEPT_MS", ACCEPT_MS)
        patch.start()
        self.addCleanup(patch.stop)
        self.gateway.settings = dataclasses.replace(
            self.gateway.settings, grace_s=GRACE_S
        )
        self.put_document(DOCUMENT)

    async def stop(self):
        """Tell the gateway to stop; return how long it took in milliseconds."""
        began_ms = clock.now_ms()
        await self.gateway.shutdown.run()
        return clock.now_ms() - began_ms

    def call_many(self, route, count, **options):
        """Return the tasks of some calls."""
        return [
            asyncio.ensure_future(self.call(route, identity=f"{route}-{n}", **options))
            for n in range(count)
        ]

    async def settle(self, count):
        """Wait until that many requests are at the gateway."""
        while len(self.gateway.running) < count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)

    async def test_waiting_requests_are_refused_before_the_end(self):
        """Guards against requests that are cut without an answer at a planned stop."""
        (server,) = await self.serve([scripted.never_answer])
        tasks = self.call_many("slow", PLACES + 5)
        await self.settle(PLACES + 5)
        self.assertLess(await self.stop(), 1000 * GRACE_S)
        answers = await asyncio.gather(*tasks)
        statuses = sorted(status for status, *_ in answers)
        self.assertEqual(statuses, 5 * [503] + PLACES * [504])
        self.assertEqual(len(server.requests), PLACES)
        for status, headers, body in answers:
            self.assertEqual(headers["connection"], "close")
            self.assertEqual("retry-after" in headers, status == 503)
            self.assertIn(b"not_run" if status == 503 else b"unknown", body)

    async def test_waiting_requests_are_served_once_there_is_room(self):
        (server,) = await self.serve(
            [scripted.never_answer] * PLACES + [scripted.reply()]
        )
        held = self.call_many("slow", PLACES)
        await self.settle(PLACES)
        waiting = self.call_many("quiet", 3)
        await self.settle(PLACES + 3)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(0.1)
        for task, request in list(self.gateway.running.items()):
            if request.route.name == "slow":
                task.cancel()
        self.assertEqual(
            [status for status, *_ in await asyncio.gather(*waiting)], 3 * [200]
        )
        await stopping
        for task in held:
            task.cancel()

    async def test_each_kind_of_request_at_work_gets_an_answer_or_is_cut(self):
        rows = (
            ("slow", scripted.never_answer, 504),
            ("quiet", scripted.never_answer, 504),
            ("resumed", scripted.never_answer, 504),
            ("resumed", scripted.stream(LONG_EVENTS, pause_s=0.05), None),
            ("slow", scripted.reply(), 200),
        )
        await self.serve([step for _, step, _ in rows])
        tasks = []
        for route, _, _ in rows:
            tasks += self.call_many(route, 1)
            await asyncio.sleep(0.1)
        await self.stop()
        for task, (route, _, expected) in zip(tasks, rows, strict=True):
            status, _, body = await task
            with self.subTest(route):
                if expected is None:
                    self.assertEqual((status, body), (200, None))
                else:
                    self.assertEqual(status, expected)

    async def test_answers_that_are_still_being_sent_are_not_cut(self):
        """Guards against a stop that drops what slow callers have not received."""
        body = bytes(900_000)
        await self.serve([scripted.reply(body=body)])
        callers = [SlowCaller(self) for _ in range(3)]
        tasks = [asyncio.ensure_future(each.call()) for each in callers]
        await gateway_test.wait_until(lambda: all(each.received for each in callers))
        await gateway_test.wait_until(lambda: not self.gateway.running)
        self.assertLess(await self.stop(), 1000 * GRACE_S)
        for received in await asyncio.gather(*tasks):
            self.assertTrue(received.endswith(b"\r\n\r\n" + body))

    async def test_stop_does_not_outlast_the_grace_for_callers_that_do_not_read(self):
        await self.serve([scripted.reply(body=bytes(900_000))])
        caller = SlowCaller(self, read_interval_s=60)
        calling = asyncio.ensure_future(caller.call())
        await gateway_test.wait_until(lambda: caller.received)
        self.assertLess(await self.stop(), 1000 * GRACE_S)
        calling.cancel()

    async def test_answer_that_would_end_too_late_is_not_begun(self):
        """Guards against a long answer that is begun only to be cut."""
        await self.serve([scripted.stream(LONG_EVENTS[:2])])
        address = self.gateway.pool.servers["i0"].announcement.address
        record = messages.ServerRecord(
            "m0", "m", address, "east", "ready", 2, 1, 4, 0.0, version="v1"
        )
        self.gateway.apply_directory(messages.Directory(False, (record,)))
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep(0)
        status, headers, body = await self.call("model", X_Token_Usage="10,100000")
        self.assertEqual((status, headers["connection"]), (503, "close"))
        self.assertIn(b"stopping", body)
        status, _, body = await self.call("model", X_Token_Usage="10,10")
        self.assertEqual((status, body), (200, b"".join(LONG_EVENTS[:2])))
        await stopping

    async def test_request_on_a_kept_connection_is_refused_late_in_the_grace(self):
        """Guards against requests that are taken late and cut at the end."""
        (server,) = await self.serve([scripted.reply(), scripted.never_answer])
        reader, writer = await self.connect()
        self.write_request(writer, "safe", identity="first")
        await gateway_test.read_answer(reader)
        held = self.call_many("slow", 1)
        await self.settle(1)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep((ACCEPT_MS + 200) / 1000)
        self.write_request(writer, "slow", identity="late")
        status, headers, _ = await gateway_test.read_answer(reader)
        self.assertEqual((status, headers["connection"]), (503, "close"))
        await stopping
        self.assertEqual((await held[0])[0], 504)
        self.assertEqual(len(server.requests), 2)

    async def test_body_that_is_complete_late_is_refused(self):
        (server,) = await self.serve([scripted.never_answer])
        held = self.call_many("slow", 1)
        await self.settle(1)
        rows = (
            "Content-Length: 4\r\n",
            "Content-Length: 4\r\nExpect: 100-continue\r\n",
        )
        connections = []
        for row in rows:
            reader, writer = await self.connect()
            head = f"POST /slow/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\n{row}\r\n"
            writer.write(head.encode() + b"ab")
            connections.append((reader, writer, "Expect" in row))
        _, unfinished = await self.connect()
        unfinished.write(
            b"POST /slow/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(self.stop())
        await asyncio.sleep((ACCEPT_MS + 200) / 1000)
        for reader, writer, interim in connections:
            writer.write(b"cd")
            if interim:
                await reader.readuntil(b"\r\n\r\n")
            status, headers, _ = await gateway_test.read_answer(reader)
            self.assertEqual((status, headers["connection"]), (503, "close"))
        self.assertLess(await stopping, 1000 * GRACE_S)
        await asyncio.gather(*held)
        self.assertEqual(len(server.requests), 1)


if __name__ == "__main__":
    unittest.main()
