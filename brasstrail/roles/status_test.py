"""Tests of answers whose status is none."""

import asyncio
import unittest

from tornado import testing

from brasstrail.roles import backend, framing_test

# Words in the place of a status: not three digits from 100 to 599, or an interim one
# that nothing follows.
NO_STATUSES = (
    *("000", "001", "099", "600", "700", "999", "0200", "2000", "20", "2", ""),
    *("-200", "+200", "200.0", "2OO", "2e2", "0x0", "２００", "²00", "OK", "2 00"),
    *("100", "101", "103", "199"),
)


def answer_with_status(status, framing, body=b"part"):
    """Return a step that sends a signed answer with some status, and closes."""
    frames = {
        "length": (f"Content-Length: {len(body)}\r\n", body),
        "chunks": (
            "Transfer-Encoding: chunked\r\n",
            b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
        ),
        "connection": ("", body),
    }
    header, sent = frames[framing]

    async def step(request, writer):
        head = (
            f"HTTP/1.1 {status} Some\r\nX-Server-Signature: s\r\n"
            f"X-Attempt-Id: 42\r\n{header}\r\n"
        )
        writer.write(head.encode() + sent)
        await writer.drain()
        writer.close()

    return step


class StatusTest(framing_test.FramingCase):
    """What a caller gets where a server sends a status that is none."""

    async def test_status_that_is_none_is_no_answer(self):
        """Guards against an answer with such a status that reaches its caller."""
        for route in ("unsafe", "safe", "stream", "resumed"):
            for framing in framing_test.FRAMINGS:
                for word in NO_STATUSES:
                    with self.subTest(route=route, framing=framing, word=word):
                        step = answer_with_status(word, framing)
                        await self.serve([step])
                        status, headers, _ = await self.call(route)
                        self.remove_servers()
                        self.assertEqual(status, 502)
                        self.assertNotIn("x-server-signature", headers)

    async def test_status_that_is_none_says_nothing_of_its_server(self):
        """Guards against a server out of use after an answer that is none."""
        head = "000 Some\r\nServer-Leaving: 1\r\nX-Rest:"
        await self.serve([answer_with_status(head, "length")])
        await self.call("unsafe")
        start = "i0", self.gateway.pool.born_ms("i0")
        self.assertNotIn(start, self.gateway.pool.departures)


class CallTest(testing.AsyncTestCase):
    """The same for an agent's calls to its server."""

    @testing.gen_test
    async def test_status_that_is_none_fails_a_call(self):
        """Guards against an answer with such a status that reaches its caller."""
        for framing in framing_test.FRAMINGS:
            for word in NO_STATUSES:
                with self.subTest(framing=framing, word=word):
                    step = answer_with_status(word, framing)

                    async def serve(reader, writer, step=step):
                        await reader.readuntil(b"{}")
                        await step(None, writer)

                    server = await asyncio.start_server(serve, "127.0.0.1", 0)
                    port = server.sockets[0].getsockname()[1]
                    call = backend.Call(backend.make_client())
                    await call.run(f"http://127.0.0.1:{port}/", "POST", (), b"{}")
                    self.assertIsNotNone(call.failure)
                    server.close()


if __name__ == "__main__":
    unittest.main()
