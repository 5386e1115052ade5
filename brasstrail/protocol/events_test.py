"""Tests that events are forwarded once, in order and complete."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.protocol import events
from brasstrail.tools import fuzzing


def make_event(number):
    """Return the event with the id `number`."""
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 7))


class EventCutterTest(unittest.TestCase):
    """Streams that end at any byte and are resumed by another server."""

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.data())
    def test_interrupted_streams_join_without_gaps_or_repeats(self, draw):
        count = draw.draw(st.integers(1, 12))
        whole = [make_event(number) for number in range(1, count + 1)]
        cutter = events.EventCutter()
        forwarded = b""
        for _ in range(draw.draw(st.integers(0, 3))):
            # Each server resumes after the last event, or up to two events earlier.
            start = int(cutter.last_id or 0)
            start = max(0, start - draw.draw(st.integers(0, 2)))
            stream = b"".join(whole[start:])
            stream = stream[: draw.draw(st.integers(0, len(stream)))]
            forwarded += self.feed(cutter, stream, draw)
            cutter.drop_partial_event()
        start = int(cutter.last_id or 0)
        forwarded += self.feed(cutter, b"".join(whole[start:]), draw)
        self.assertEqual(forwarded, b"".join(whole))

    def feed(self, cutter, stream, draw):
        forwarded = b""
        while stream:
            size = draw.draw(st.integers(1, len(stream)))
            forwarded += cutter.feed(stream[:size])
            stream = stream[size:]
        return forwarded

    def test_events_without_ids_are_forwarded(self):
        cutter = events.EventCutter()
        self.assertEqual(cutter.feed(b"data: a\n\n"), b"data: a\n\n")

    def test_events_up_to_the_callers_last_id_are_dropped(self):
        cutter = events.EventCutter("2")
        stream = b"".join(make_event(number) for number in (1, 2, 3))
        self.assertEqual(cutter.feed(stream), make_event(3))


if __name__ == "__main__":
    unittest.main()
