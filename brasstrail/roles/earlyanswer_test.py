"""Tests of answers that come while their upload is still being written.

Guards against a part of an answer that its caller takes for the whole one.
"""

import asyncio
import itertools
import re
import socket
import unittest

from tornado import testing

from brasstrail.roles import backend, framing_test, gateway_test
from brasstrail.transport import sockets

# The last one is more than the buffers of both ends hold.
UPLOAD_SIZES = (40_000, 400_000, 8_000_000)
PART = b"id: 1\ndata: x\n\n"
HEADS = {
    "length": b"Content-Length: 900\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "connection": b"",
    "closing": b"Connection: close\r\n",
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
ENDINGS = ("reset", "end", "half")


class EarlyServer:
    """Answers at the head of an upload, sends a part of its answer and breaks off.

    Parameters
    ----------
    framing : a key of `HEADS`.
    ending : "reset"; "end", after which it does not read on; or "half": it ends its own
        direction only, as a relay does that has seen the reset, and reads on.
    delay_s : the time between the part and the end.
    interim : what is sent before the answer.
    """

    def __init__(self, framing, ending, delay_s=0.0, interim=b""):
        self.framing = framing
        self.ending = ending
        self.delay_s = delay_s
        self.interim = interim
        self.answered = False
        self.server = None

    async def start(self):
        """Listen on a free port with a small buffer; return the address."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=4096)
        return "127.0.0.1:%d" % listener.getsockname()[1]

    async def serve(self, reader, writer):
        """Answer one request."""
        request = await reader.readuntil(b"\r\n\r\n")
        self.answered = True
        named = re.search(rb"X-Attempt-Id: \S+\r\n", request)
        head = (
            b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
            b"Content-Type: text/event-stream\r\n"
        )
        if named:
            head += named[0]
        part = PART
        if self.framing == "chunks":
            part = b"%x\r\n%s\r\n" % (len(PART), PART)
        writer.write(self.interim + head + HEADS[self.framing] + b"\r\n" + part)
        await writer.drain()
        await asyncio.sleep(self.delay_s)
        if self.ending == "reset":
            sockets.reset(writer)
        elif self.ending == "half":
            writer.write_eof()
            while await reader.read(4096):
                await asyncio.sleep(0.001)
        writer.close()


def variants(size, max_size_in_order):
    """Return the servers that are tried with an upload of some size.

    An answer without a length that ends in order after its upload was sent is whole:
    those with smaller uploads than `max_size_in_order` are left out.
    """
    for framing, ending in itertools.product(HEADS, ENDINGS):
        is_framed = framing in ("length", "chunks")
        if ending == "half" and not is_framed and size < max_size_in_order:
            continue
        for delay_s, interim in ((0.0, b""), (0.05, b""), (0.0, INTERIM)):
            yield EarlyServer(framing, ending, delay_s, interim)


class EarlyAnswerTest(framing_test.FramingCase):
    """What a caller of a gateway gets."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 2 * UPLOAD_SIZES[-1],
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        }
        self.put_document({**gateway_test.DOCUMENT, "version": 2, "limits": limits})

    async def test_part_of_an_early_answer_is_not_a_whole_one(self):
        for route, size in itertools.product(
            ("unsafe", "safe", "stream"), UPLOAD_SIZES
        ):
            for server in variants(size, UPLOAD_SIZES[-1]):
                names = server.framing, server.ending, server.delay_s, server.interim
                with self.subTest(route=route, size=size, server=names):
                    self.announce("i0", await server.start(), "east")
                    identity = str(next(self.numbers))
                    status, _, body = await self.call(
                        route, body=b"x" * size, identity=identity
                    )
                    server.server.close()
                    self.remove_servers()
                    self.gateway.crashes.suspects.clear()
                    self.assertFalse(status == 200 and body is not None)
                    self.assertTrue(server.answered)


class CallTest(testing.AsyncTestCase):
    """The same for an agent's calls to its server."""

    @testing.gen_test(timeout=60)
    async def test_part_of_an_early_answer_fails_a_call(self):
        for size in UPLOAD_SIZES:
            for server in variants(size, UPLOAD_SIZES[-1] + 1):
                names = server.framing, server.ending, server.delay_s, server.interim
                with self.subTest(size=size, server=names):
                    address = await server.start()
                    call = backend.Call(backend.make_client())
                    await call.run(f"http://{address}/", "POST", (), b"x" * size)
                    self.assertIsNotNone(call.failure)
                    server.server.close()


if __name__ == "__main__":
    unittest.main()
