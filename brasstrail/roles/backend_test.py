"""Tests of calls to backend servers that fail during a request."""

import asyncio
import contextlib

from tornado import testing

from brasstrail.fakes import endless, scripted
from brasstrail.roles import backend

# A short answer, and the buffers of the sockets.
MAX_TAKEN_BYTES = 16 * 1024 * 1024
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FlakyServer:
    """Answers `answer_limit` requests, then closes on the next without an answer.

    Attributes
    ----------
    requests : how many requests it has read whole.
    """

    def __init__(self, answer_limit):
        self.answer_limit = answer_limit
        self.requests = 0
        self.server = None

    async def start(self):
        """Listen on a free port and return its number."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n{}"):
                self.requests += 1
                if self.requests > self.answer_limit:
                    break
                writer.write(RESPONSE)
        writer.close()


class CallTest(testing.AsyncTestCase):
    """Results of a call whose server fails or whose caller reads slowly."""

    def setUp(self):
        super().setUp()
        self.client = backend.make_client()

    async def run_call(self, port):
        """Run a call to its end; return the call and the body."""
        call = backend.Call(self.client)
        task = asyncio.create_task(
            call.run(f"http://127.0.0.1:{port}/x", "POST", (), b"{}")
        )
        body = b""
        while chunk := await call.read(None):
            body += chunk
        await task
        return call, body

    @testing.gen_test
    async def test_request_is_never_sent_twice(self):
        server = FlakyServer(answer_limit=1)
        port = await server.start()
        first, body = await self.run_call(port)
        self.assertIsNone(first.failure)
        self.assertEqual(body, b"ok")
        second, _ = await self.run_call(port)
        self.assertTrue(second.failure.sent)
        self.assertEqual(server.requests, 2)

    @testing.gen_test
    async def test_refused_connection_has_sent_nothing(self):
        server = FlakyServer(answer_limit=0)
        port = await server.start()
        server.server.close()
        await server.server.wait_closed()
        call, _ = await self.run_call(port)
        self.assertFalse(call.failure.sent)

    @testing.gen_test
    async def test_unread_answer_is_held_within_bounds(self):
        size = 8 * backend.MAX_HELD_BYTES

        async def serve(reader, writer):
            await reader.readuntil(b"{}")
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
            writer.write(head.encode() + bytes(size))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        call = backend.Call(self.client)
        task = asyncio.create_task(
            call.run(f"http://127.0.0.1:{port}/x", "POST", (), b"{}")
        )
        while not call.paused:
            await asyncio.sleep(0.01)
        self.assertLess(call.held_bytes, 2 * backend.MAX_HELD_BYTES)
        received = 0
        while chunk := await call.read(None):
            received += len(chunk)
        await task
        self.assertEqual(received, size)
        self.assertIsNone(call.failure)

    @testing.gen_test
    async def test_short_call_takes_a_bounded_part_of_an_answer_without_end(self):
        """Guards against an agent that keeps all that a faulty engine sends."""
        for name in endless.ANSWERS:
            with self.subTest(name):
                server, answer = endless.serve(name)
                await server.start()
                url = f"http://{server.address}/models"
                self.assertIsNone(await backend.fetch_json(self.client, url))
                self.assertLess(answer.sent_bytes, MAX_TAKEN_BYTES)
                server.close()

    @testing.gen_test
    async def test_head_without_end_is_bounded(self):
        for name in ("head of one line", "head of many lines", "interim answers"):
            with self.subTest(name):
                server, answer = endless.serve(name)
                await server.start()
                call = backend.Call(self.client)
                await call.run(f"http://{server.address}/", "POST", (), b"{}")
                self.assertIsNotNone(call.failure)
                self.assertLess(answer.sent_bytes, MAX_TAKEN_BYTES)
                server.close()

    @testing.gen_test
    async def test_answer_after_a_short_call_is_not_bounded(self):
        """The client uses its handles again, with their options."""
        body = bytes(2 * backend.MAX_FETCHED_BYTES)
        step = scripted.reply(body=body)
        server = scripted.ScriptedServer(step)
        await server.start()
        for _ in range(2):
            url = f"http://{server.address}/x"
            self.assertIsNone(await backend.fetch_json(self.client, url))
            call = backend.Call(self.client)
            task = asyncio.create_task(call.run(url, "POST", (), b"{}"))
            received = 0
            while chunk := await call.read(None):
                received += len(chunk)
            await task
            self.assertEqual((received, call.failure), (len(body), None))
        server.close()
