"""Tests of how answers of unknown length end for callers of each version of HTTP."""

import asyncio
import unittest

from tornado import httpserver, web

from brasstrail.tools import ports
from brasstrail.transport import callers

PART = b"part"
TIMEOUT_S = 10


class Handler(web.RequestHandler):
    """Answers with one part, and ends or cuts the answer, as entries do."""

    async def get(self, ending):
        callers.begin_answer(self.request.connection)
        self.write(PART)
        await self.flush()
        if ending == "cut":
            callers.cut_answer(self.request.connection)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Callers of HTTP/1.0, with and without keep-alive, and of HTTP/1.1."""

    async def asyncSetUp(self):
        port = ports.PortAllocator().allocate()
        app = web.Application(
            [(r"/(end|cut)", Handler)], log_function=lambda handler: None
        )
        server = httpserver.HTTPServer(app)
        server.listen(port, "127.0.0.1")
        self.addCleanup(server.stop)
        self.port = port

    async def call(self, protocol, ending, connection="close"):
        """Return all bytes of the answer's body, or None if it was reset."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        lines = [f"GET /{ending} {protocol}", "Host: h", f"Connection: {connection}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            received = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        except ConnectionResetError:
            return None
        return received.partition(b"\r\n\r\n")[2]

    async def test_http_1_0_answer_ends_with_its_connection(self):
        for connection in ("close", "keep-alive"):
            self.assertEqual(await self.call("HTTP/1.0", "end", connection), PART)

    async def test_http_1_0_answer_that_is_cut_is_reset(self):
        """Guards against a cut answer that the caller takes for complete."""
        for connection in ("close", "keep-alive"):
            self.assertIsNone(await self.call("HTTP/1.0", "cut", connection))

    async def test_http_1_1_answer_that_is_cut_lacks_its_last_chunk(self):
        whole = await self.call("HTTP/1.1", "end")
        cut = await self.call("HTTP/1.1", "cut")
        self.assertTrue(whole.endswith(b"0\r\n\r\n"))
        self.assertEqual(whole, cut + b"0\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
