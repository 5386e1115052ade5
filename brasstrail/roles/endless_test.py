"""Tests of answers of servers that never end, on real sockets."""

import asyncio
import unittest

from brasstrail.fakes import endless
from brasstrail.roles import gateway_test

# What a gateway may take of an answer: a body or an event of 1 MB, and the buffers of
# the sockets and of the connection between them.
MAX_TAKEN_BYTES = 16 * 1024 * 1024
# What a caller can have received when the answer to it is cut.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# After this time a gateway that has answered its caller has failed to close a server.
CLOSE_TIMEOUT_S = 60.0
STREAM_NAMES = tuple(
    name for name in endless.ANSWERS if "event" in name or "comments" in name
)


class EndlessAnswerTest(gateway_test.GatewayCase):
    """A server sends bytes that are no whole answer, until it is closed."""

    async def send(self, name, pause_s=0.0):
        """Send a request to a server with an endless answer.

        Each answer has a request of its own: one whose servers break off and then leave
        is held back.

        Returns what the caller received, and the `endless.EndlessAnswer`.
        """
        route = "stream" if name in STREAM_NAMES or name == "chunk size" else "unsafe"
        server, answer = endless.serve(name, pause_s)
        await server.start()
        self.addCleanup(server.close)
        self.announce("i0", server.address)
        self.renew_lease()
        reader, writer = await self.connect()
        target = f"/{route}/{name.replace(' ', '-')}"
        head = f"POST {target} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
        head += "Authorization: Token k\r\nX-Deadline-Ms: 1500\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        received = await self.read_answer(reader)
        writer.close()
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while not server.peer_closed_count:
                await asyncio.sleep(0.01)
        self.remove_servers()
        return received, answer

    async def read_answer(self, reader):
        """Read an answer up to its end, or to that of the connection."""
        received = b""
        while chunk := await reader.read(65_536):
            received += chunk
            if received.endswith(b"}") or len(received) > MAX_ANSWER_BYTES:
                break
        return received

    def assert_not_complete(self, received):
        """Assert that the caller does not take what it received for an answer."""
        is_failure = received.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))
        is_cut = not received.endswith(b"0\r\n\r\n")
        self.assertTrue(is_failure or is_cut, received[:100])

    async def test_answer_that_never_ends_is_bounded(self):
        """Guards against a gateway that grows with an event that never ends."""
        for name in endless.ANSWERS:
            if name == "blocks of comments":
                continue
            with self.subTest(name):
                received, answer = await self.send(name)
                self.assertLess(answer.sent_bytes, MAX_TAKEN_BYTES)
                self.assert_not_complete(received)

    async def test_blocks_of_comments_end_at_the_deadline(self):
        """They are whole parts of the stream, which the caller takes."""
        received, _ = await self.send("blocks of comments")
        self.assert_not_complete(received)

    async def test_answer_that_trickles_ends_at_the_deadline(self):
        sendings = []
        for name in ("head of one line", "event", "comments", "body of a failure"):
            sendings.append((name, await self.send(name, 0.2)))
        for name, (received, answer) in sendings:
            with self.subTest(name):
                self.assertLess(answer.sent_bytes, MAX_TAKEN_BYTES)
                self.assert_not_complete(received)

    async def test_server_is_judged_as_for_any_failed_answer(self):
        server, _ = endless.serve("event")
        await server.start()
        self.addCleanup(server.close)
        self.announce("i0", server.address)
        reader, writer = await self.connect()
        head = "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
        head += "Authorization: Token k\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        await self.read_answer(reader)
        writer.close()
        self.assertGreater(self.gateway.pool.servers["i0"].failure_rate, 0)
        self.assertEqual(self.gateway.crashes.suspects.record_count(), 0)


if __name__ == "__main__":
    unittest.main()
