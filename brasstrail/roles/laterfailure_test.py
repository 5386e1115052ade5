"""Tests of streams that have begun and break off, and of what the next server answers.

Guards against the head, the text or the end of another answer within a stream.
"""

import asyncio
import unittest

from brasstrail.fakes import scripted
from brasstrail.roles import framing_test, gateway_test

EVENTS = framing_test.EVENTS
STREAM = framing_test.STREAM
FRAMINGS = framing_test.FRAMINGS
FIRST_TWO = framing_test.FIRST_TWO
# The framing of a stream that breaks off, and after how many bytes it does. Where only
# its connection frames it, it can be told from a whole one within an event.
BREAKS = (
    ("length", FIRST_TWO),
    ("length", FIRST_TWO + 4),
    ("chunks", FIRST_TWO),
    ("chunks", FIRST_TWO + 4),
    ("connection", FIRST_TWO + 4),
)
COMPLETE = b"0\r\n\r\n"
FAILURE = b"what went wrong"
PLAIN = {"content_type": "text/plain"}
UNTYPED = {"content_type": ""}
ROUTE = "thrice"
DOCUMENT = {
    **gateway_test.DOCUMENT,
    "version": 2,
    "routes": [
        *gateway_test.DOCUMENT["routes"],
        gateway_test.make_route(
            ROUTE, "streaming", resumable=True, timeout_ms=20_000, max_attempts=3
        ),
    ],
}


def failures():
    """Return steps that answer with no rest of a stream, by name."""
    steps = {}
    for framing in FRAMINGS:
        for status in (302, 404, 429, 500, 503):
            steps[f"{status} {framing}"] = scripted.framed(
                FAILURE, framing, status=status, **PLAIN
            )
        steps[f"empty 500 {framing}"] = scripted.framed(
            b"", framing, status=500, **PLAIN
        )
        steps[f"500 as events {framing}"] = scripted.framed(STREAM, framing, status=500)
        steps[f"plain 200 {framing}"] = scripted.framed(STREAM, framing, **PLAIN)
        steps[f"empty plain 200 {framing}"] = scripted.framed(b"", framing, **PLAIN)
        steps[f"empty untyped 200 {framing}"] = scripted.framed(b"", framing, **UNTYPED)
        steps[f"other status {framing}"] = scripted.framed(STREAM, framing, status=206)
    steps["empty 204"] = scripted.reply(204, b"")
    steps["empty stream without a length"] = scripted.framed(b"", "connection")
    steps["no answer"] = scripted.send_and_close()
    steps["not run"] = scripted.reply(503, X_Not_Executed="1")
    return steps


class LaterFailureCase(framing_test.FramingCase):
    """A gateway with routes that allow two and three servers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.put_document(DOCUMENT)
        # Each server has announced itself, so that no request waits for others.
        self.gateway.lease.started_ms -= 60_000

    async def receive(self, protocol):
        """Return all bytes that a caller receives after the head of an answer.

        They are None if the connection was reset. If it stays open, the answer counts
        as complete.
        """
        reader, writer = await self.connect()
        self.write_request(writer, ROUTE, protocol=protocol)
        received = b""
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            while part := await asyncio.wait_for(reader.read(65536), 1):
                received += part
        except ConnectionResetError:
            return None
        except TimeoutError:
            # The connection is still open, so that the answer is complete.
            return received + COMPLETE
        return received


def break_off(framing, cut_at):
    """Return a step that sends two events and breaks off."""
    # The parser drops chunks that it reads together with the end of the connection.
    return scripted.framed(STREAM, framing, cut_at=cut_at, linger_s=0.02)


class LaterFailureTest(LaterFailureCase):
    """A stream of two events that breaks off, and one later server or two."""

    async def test_failure_of_a_later_server_cuts_the_stream(self):
        for name, step in failures().items():
            for framing, cut_at in BREAKS:
                with self.subTest(name, framing=framing, cut_at=cut_at):
                    await self.serve([break_off(framing, cut_at)], [step])
                    received = await self.receive("HTTP/1.1")
                    self.assert_only_events(received)
                    self.assertFalse(received.endswith(COMPLETE))
                    self.remove_servers()

    async def test_failure_of_a_later_server_resets_callers_of_http_1_0(self):
        for name, step in failures().items():
            with self.subTest(name):
                await self.serve([break_off("chunks", FIRST_TWO)], [step])
                self.assertIsNone(await self.receive("HTTP/1.0"))
                self.remove_servers()

    async def test_stream_goes_on_at_a_further_server(self):
        for name, step in failures().items():
            with self.subTest(name):
                await self.serve(
                    [break_off("chunks", FIRST_TWO + 4)],
                    [step],
                    [framing_test.resume_stream("length")],
                )
                status, _, body = await self.call(ROUTE)
                self.assertEqual((status, body), (200, STREAM))
                self.remove_servers()

    async def test_failure_before_the_stream_is_not_sent_within_it(self):
        """Guards against a failure that was kept until after a stream had begun."""
        for framing, cut_at in BREAKS:
            for protocol in ("HTTP/1.1", "HTTP/1.0"):
                with self.subTest(framing=framing, protocol=protocol):
                    failure = scripted.framed(FAILURE, framing, status=500, **PLAIN)
                    await self.serve([failure], [break_off(framing, cut_at)])
                    received = await self.receive(protocol)
                    if protocol == "HTTP/1.0":
                        self.assertIsNone(received)
                    else:
                        self.assert_only_events(received)
                        self.assertFalse(received.endswith(COMPLETE))
                    self.remove_servers()

    async def test_end_of_the_answer_is_logged(self):
        failure = scripted.framed(FAILURE, "length", status=500, **PLAIN)
        await self.serve([break_off("chunks", FIRST_TWO)], [failure])
        await self.receive("HTTP/1.1")
        line = self.last_request_line()
        self.assertEqual((line["caller_end"], line["outcome"]), ("cut", "stream_cut"))

    def assert_only_events(self, received):
        """Assert that a caller of HTTP/1.1 has received chunks of events only."""
        events = b""
        while received and received != COMPLETE:
            size, _, rest = received.partition(b"\r\n")
            self.assertRegex(size, rb"^[0-9a-f]+$")
            length = int(size, 16)
            events += rest[:length]
            received = rest[length + 2 :]
        self.assertEqual(events, STREAM[: len(events)])


if __name__ == "__main__":
    unittest.main()
