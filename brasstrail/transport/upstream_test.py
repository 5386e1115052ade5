"""Tests of connections that fail when they are opened or at an answer's end."""

import asyncio
import socket
import unittest

from tornado import httputil, iostream

from brasstrail.transport import upstream


class FailedStream:
    """A stream whose error was set while the last bytes of an answer were read."""

    def __init__(self, error):
        self.error = error


class Connection:
    """Delivers an answer that is complete according to its framing."""

    def __init__(self, headers):
        self.headers = httputil.HTTPHeaders(headers)

    async def read_response(self, answer):
        start_line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        answer.headers_received(start_line, self.headers)
        await answer.data_received(b"body")
        answer.finish()


class ClosedClient:
    """Connects to a server that resets the connection immediately."""

    async def connect(self, host, port):
        stream = iostream.IOStream(socket.socket())
        stream.close()
        return stream


class WaitingClient:
    """Connects once it is told to; if it `is_deaf`, it also does when cancelled."""

    def __init__(self, is_deaf=False):
        self.is_deaf = is_deaf
        self.is_connected = asyncio.Event()
        self.stream = iostream.IOStream(socket.socket())

    async def connect(self, host, port):
        try:
            await self.is_connected.wait()
        except asyncio.CancelledError:
            if not self.is_deaf:
                raise
            await self.is_connected.wait()
        return self.stream


class ConnectionOpenTest(unittest.IsolatedAsyncioTestCase):
    """Connections that fail as soon as they are established."""

    async def test_connection_reset_at_once_raises_connect_failed(self):
        """Guards against a request that gets no answer at all.

        That happened when the connection was reset before its first use. The soak
        test found it with seed 2.
        """
        connections = upstream.ConnectionPool()
        connections.client = ClosedClient()
        with self.assertRaises(upstream.ConnectFailed):
            await connections.open("127.0.0.1:1", 100)

    async def test_caller_that_leaves_as_the_connection_opens_is_noticed(self):
        """Guards against a request that is sent although its caller has left."""
        for turns in range(4):
            connections = upstream.ConnectionPool()
            connections.client = WaitingClient()
            opening = asyncio.ensure_future(connections.open("127.0.0.1:1", 1000))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            connections.client.is_connected.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            is_early = not opening.done()
            opening.cancel()
            await asyncio.wait((opening,))
            await asyncio.sleep(0)
            self.assertEqual(opening.cancelled(), is_early)
            closed = connections.client.stream.closed()
            self.assertEqual(closed, is_early)
            connections.client.stream.close()

    async def test_connection_that_takes_too_long_is_closed_when_it_comes(self):
        connections = upstream.ConnectionPool()
        connections.client = WaitingClient(is_deaf=True)
        with self.assertRaises(upstream.ConnectFailed):
            await connections.open("127.0.0.1:1", 1)
        connections.client.is_connected.set()
        await asyncio.sleep(0.01)
        self.assertTrue(connections.client.stream.closed())

    async def test_address_that_cannot_be_used_raises_connect_failed(self):
        for address in ("x", "a..b:1", "127.0.0.1:99999", "127.0.0.1:x", "host:1"):
            with self.subTest(address), self.assertRaises(upstream.ConnectFailed):
                await upstream.ConnectionPool().open(address, 100)


class AnswerEndTest(unittest.IsolatedAsyncioTestCase):
    """Resets that are detected together with the end of an answer."""

    async def read_answer(self, headers, error):
        connection = upstream.Upstream(FailedStream(error), "h:1")
        connection.answer = upstream.Answer()
        await connection.read_answer(Connection(headers), connection.answer)
        return await connection.read_body(100)

    async def test_reset_after_a_length_delimited_answer_is_ignored(self):
        for headers in ({"Content-Length": "4"}, {"Transfer-Encoding": "chunked"}):
            body = await self.read_answer(headers, ConnectionResetError())
            self.assertEqual(body, b"body")

    async def test_reset_makes_an_answer_without_length_incomplete(self):
        with self.assertRaises(upstream.AnswerIncomplete):
            await self.read_answer({}, ConnectionResetError())
        self.assertEqual(await self.read_answer({}, None), b"body")

    async def test_interim_answers_are_ignored(self):
        answer = upstream.Answer()
        interim = httputil.ResponseStartLine("HTTP/1.1", 103, "Early")
        answer.headers_received(interim, httputil.HTTPHeaders())
        self.assertFalse(answer.head.done())
        with self.assertRaises(httputil.HTTPInputError):
            for _ in range(upstream.MAX_INTERIM_ANSWERS):
                answer.headers_received(interim, httputil.HTTPHeaders())
        await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()
