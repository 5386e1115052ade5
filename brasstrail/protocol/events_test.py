"""Tests of event streams: each event once, in order, whole."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.protocol import events
from brasstrail.tools import fuzzing


def make_event(number):
    """Return one event."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 7))


class CutterTest(unittest.TestCase):
    """Streams cut anywhere, and continued by another server."""

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.data())
    def test_streams_of_servers_that_break_off_join_without_gap_or_repeat(self, draw):
        count = draw.draw(st.integers(1, 12))
        whole = [make_event(number) for number in range(1, count + 1)]
        cutter = events.EventCutter()
        passed = b""
        for _ in range(draw.draw(st.integers(0, 3))):
            # Each server begins after the last event, or a little before it.
            begin = int(cutter.last_id or 0)
            begin = max(0, begin - draw.draw(st.integers(0, 2)))
            stream = b"".join(whole[begin:])
            stream = stream[: draw.draw(st.integers(0, len(stream)))]
            passed += self.feed(cutter, stream, draw)
            cutter.restart()
        begin = int(cutter.last_id or 0)
        passed += self.feed(cutter, b"".join(whole[begin:]), draw)
        self.assertEqual(passed, b"".join(whole))

    def feed(self, cutter, stream, draw):
        passed = b""
        while stream:
            size = draw.draw(st.integers(1, len(stream)))
            passed += cutter.feed(stream[:size])
            stream = stream[size:]
        return passed

    def test_events_without_ids_pass(self):
        cutter = events.EventCutter()
        self.assertEqual(cutter.feed(b"data: a\n\n"), b"data: a\n\n")

    def test_the_callers_own_last_event_is_where_it_begins(self):
        cutter = events.EventCutter("2")
        stream = b"".join(make_event(number) for number in (1, 2, 3))
        self.assertEqual(cutter.feed(stream), make_event(3))


if __name__ == "__main__":
    unittest.main()
