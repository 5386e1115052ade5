"""Tests of answers that an engine gives once a part of an answer is with the caller."""

import types
import unittest

from brasstrail.core import data, errors
from brasstrail.protocol import chat, messages
from brasstrail.roles import exchange, sinks

EVENT = chat.event(b'{"id":"a","choices":[{"delta":{"content":"one"}}]}')
REFUSAL = b'{"error":"no such resume"}'


class Handler:
    """The caller's side of a chat request; collects what is written."""

    def __init__(self):
        self.status = 200
        self.written = b""
        self.is_finished = False
        connection = types.SimpleNamespace(
            _request_start_line=types.SimpleNamespace(version="HTTP/1.1")
        )
        self.request = types.SimpleNamespace(connection=connection)

    def set_status(self, status):
        """Store the status."""
        self.status = status

    def set_header(self, name, value):
        """Do nothing."""

    def write(self, payload):
        """Store a part of the body."""
        self.written += payload

    async def flush(self):
        """Do nothing."""

    async def finish(self, body=b""):
        """Store the rest of the body, and that the answer is complete."""
        self.written += body
        self.is_finished = True


class Entry:
    """An entry whose agents send the events of a script, one list for each attempt."""

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.attachment = types.SimpleNamespace(
            make_unique_id=lambda: "r", view=types.SimpleNamespace(suspicions={})
        )
        self.recent_crashes = types.SimpleNamespace(agents=lambda *arguments: set())
        self.settings = types.SimpleNamespace(stream_window_bytes=10**6)

    def submit(self, running):
        """Return an attempt that has all events of the next script."""
        running.attempts += 1
        attempt = exchange.Attempt(
            self, running.request, types.SimpleNamespace(request_id="d")
        )
        attempt.agent = f"a{running.attempts}"
        for each in self.scripts.pop(0):
            attempt.push_event(each)
        return attempt

    def spend_retry(self):
        """Allow each retry."""
        return True

    def ignore(self, *arguments):
        """Do nothing."""

    end_attempt = clear_suspicion = record_output_length = ignore


class LaterRefusalTest(unittest.IsolatedAsyncioTestCase):
    """An engine breaks off, and the next one answers with an error status.

    Guards against the text of an error within a stream, and its end as if complete.
    """

    begun = (
        messages.Part("d", EVENT, 1),
        messages.Fault("d", errors.ServerFailed.code, "broke off", "again", "unknown"),
    )
    refused = (
        messages.Head("d", 404, ()),
        messages.Part("d", REFUSAL, 0),
        messages.Done("d", 0, 0, 0),
    )
    rest = (messages.Part("d", EVENT, 1), messages.Done("d", 0, 0, 0))

    async def run_exchange(self, sink_class, *scripts):
        """Run an exchange; return what the caller has, and the error or None."""
        handler = Handler()
        request = exchange.Request(
            "POST", "/", (), b"", data.Service("s", "model"), None, "w", "", object()
        )
        try:
            await exchange.Exchange(Entry(scripts), request, sink_class(handler)).run()
        except errors.BrasstrailError as error:
            return handler, error
        return handler, None

    async def test_refusal_of_the_rest_is_not_written(self):
        for sink_class in (sinks.EventStreamSink, sinks.BufferedSink):
            with self.subTest(sink_class.__name__):
                handler, error = await self.run_exchange(
                    sink_class, self.begun, self.refused, self.refused
                )
                self.assertNotIn(REFUSAL, handler.written)
                self.assertFalse(handler.is_finished)
                self.assertEqual(error.code, errors.ServerFailed.code)
                self.assertEqual(error.ran, data.RunStatus.UNKNOWN)

    async def test_answer_goes_on_at_a_further_engine(self):
        handler, error = await self.run_exchange(
            sinks.EventStreamSink, self.begun, self.refused, self.rest
        )
        self.assertIsNone(error)
        self.assertTrue(handler.is_finished)
        self.assertNotIn(REFUSAL, handler.written)
        self.assertEqual(handler.written.count(b"one"), 2)

    async def test_refusal_before_the_stream_is_passed_on(self):
        handler, error = await self.run_exchange(sinks.EventStreamSink, self.refused)
        self.assertIsNone(error)
        self.assertEqual((handler.status, handler.written), (404, REFUSAL))


if __name__ == "__main__":
    unittest.main()
