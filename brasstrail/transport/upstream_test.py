"""Tests of answers whose connection fails at their end."""

import asyncio
import socket
import unittest

from tornado import httputil, iostream

from brasstrail.transport import upstream


class Stream:
    """A stream that failed while the last bytes of an answer were read."""

    def __init__(self, error):
        self.error = error


class Connection:
    """Delivers a whole answer, as its framing tells, and nothing more."""

    def __init__(self, headers):
        self.headers = httputil.HTTPHeaders(headers)

    async def read_response(self, answer):
        start_line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        answer.headers_received(start_line, self.headers)
        await answer.data_received(b"body")
        answer.finish()


class ClosedClient:
    """Connects to a server that resets the connection at once."""

    async def connect(self, host, port):
        stream = iostream.IOStream(socket.socket())
        stream.close()
        return stream


class OpenTest(unittest.IsolatedAsyncioTestCase):
    """Connections that fail as soon as they are made."""

    async def test_a_connection_that_is_reset_at_once_has_carried_nothing(self):
        """Found by the soak, seed 2: the request got no answer at all."""
        connections = upstream.Connections()
        connections.client = ClosedClient()
        with self.assertRaises(upstream.ConnectFailed):
            await connections.open("127.0.0.1:1", 100)


class EndTest(unittest.IsolatedAsyncioTestCase):
    """A reset that is seen together with the end of an answer."""

    async def read(self, headers, error):
        used = upstream.Upstream(Stream(error), "h:1")
        used.answer = upstream.Answer()
        await used.read(Connection(headers), used.answer)
        return await used.read_body(100)

    async def test_an_answer_that_is_whole_by_its_framing_stays_whole(self):
        for headers in ({"Content-Length": "4"}, {"Transfer-Encoding": "chunked"}):
            body = await self.read(headers, ConnectionResetError())
            self.assertEqual(body, b"body")

    async def test_an_answer_without_length_is_not_ended_by_a_reset(self):
        with self.assertRaises(upstream.AnswerBroken):
            await self.read({}, ConnectionResetError())
        self.assertEqual(await self.read({}, None), b"body")

    async def test_interim_answers_are_passed_over(self):
        answer = upstream.Answer()
        interim = httputil.ResponseStartLine("HTTP/1.1", 103, "Early")
        answer.headers_received(interim, httputil.HTTPHeaders())
        self.assertFalse(answer.head.done())
        await asyncio.sleep(0)


if __name__ == "__main__":
    unittest.main()
