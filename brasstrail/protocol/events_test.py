"""Tests that events are forwarded once, in order and complete."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brasstrail.protocol import events
from brasstrail.tools import fuzzing

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def make_event(number, line_end=b"\n"):
    """Return the event with the id `number`."""
    event = b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 7))
    return event.replace(b"\n", line_end)


def split_lines(stream):
    """Return the lines of a stream, whatever ends them."""
    return stream.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")


class EventCutterTest(unittest.TestCase):
    """Streams that end at any byte and are resumed by another server."""

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.data())
    def test_interrupted_streams_join_without_gaps_or_repeats(self, draw):
        count = draw.draw(st.integers(1, 12))
        line_end = draw.draw(st.sampled_from(LINE_ENDS))
        whole = [make_event(number, line_end) for number in range(1, count + 1)]
        cutter = events.EventCutter()
        forwarded = b""
        for _ in range(draw.draw(st.integers(0, 3))):
            # Each server resumes after the last event, or up to two events earlier.
            start = int(cutter.last_id or 0)
            start = max(0, start - draw.draw(st.integers(0, 2)))
            stream = b"".join(whole[start:])
            stream = stream[: draw.draw(st.integers(0, len(stream)))]
            forwarded += self.feed(cutter, stream, draw)
            cutter.begin_run()
        start = int(cutter.last_id or 0)
        forwarded += self.feed(cutter, b"".join(whole[start:]), draw)
        forwarded += cutter.partial
        self.assertEqual(split_lines(forwarded), split_lines(b"".join(whole)))

    def test_ids_of_any_length_are_compared(self):
        long_id = "9" * 5000
        cutter = events.EventCutter(long_id)
        repeated = f"id: {long_id}\ndata: a\n\nid: 7\ndata: b\n\n".encode()
        self.assertEqual(cutter.feed(repeated), b"")
        following = f"id: 1{'0' * 5000}\ndata: c\n\n".encode()
        self.assertEqual(cutter.feed(following), following)

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

    @settings(fuzzing.SETTINGS, max_examples=200)
    @given(st.data())
    def test_only_a_stream_between_events_is_outside_of_one(self, draw):
        line_end = draw.draw(st.sampled_from(LINE_ENDS))
        parts = [make_event(number, line_end) for number in (1, 2, 3)]
        parts.insert(draw.draw(st.integers(0, 3)), b": a comment" + line_end)
        stream = b"".join(parts)
        cut_at = draw.draw(st.integers(0, len(stream)))
        ends = [len(b"".join(parts[:count])) for count in range(len(parts) + 1)]
        if line_end == b"\r\n":
            # A line ends with its CR already.
            ends += [end - 1 for end in ends]
        cutter = events.EventCutter()
        self.feed(cutter, stream[:cut_at], draw)
        self.assertEqual(cutter.is_inside_event, cut_at not in ends)

    def test_events_without_ids_are_not_repeated_by_another_server(self):
        cutter = events.EventCutter()
        self.assertEqual(
            cutter.feed(b"id: 1\n\ndata: a\n\nid: 2\nda")[-9:], b"data: a\n\n"
        )
        cutter.begin_run()
        rest = b"data: a\n\n: a comment\n\ndata: b\n\nid: 2\n\ndata: c\n\n"
        self.assertEqual(cutter.feed(rest), rest[len(b"data: a\n\n") :])

    def test_large_event_is_searched_once(self):
        cutter = events.EventCutter()
        event = b"id: 1\ndata: " + b"x" * 10**6 + b"\r\n\r\n"
        chunks = [event[at : at + 1000] for at in range(0, len(event), 1000)]
        self.assertEqual(b"".join(map(cutter.feed, chunks)) + cutter.partial, event)

    def test_events_up_to_the_callers_last_id_are_dropped(self):
        cutter = events.EventCutter("2")
        stream = b"".join(make_event(number) for number in (1, 2, 3))
        self.assertEqual(cutter.feed(stream), make_event(3))


class BoundTest(unittest.TestCase):
    """Events that do not end."""

    def test_event_without_an_end_is_bounded(self):
        """Guards against memory that grows with an event that never ends."""
        for part in (b"data: x\n", b": x\n", b"x" * 4096):
            cutter = events.EventCutter()
            with self.assertRaises(events.EventTooLarge):
                for _ in range(2 * events.MAX_EVENT_BYTES // len(part)):
                    cutter.feed(part)
                    self.assertLessEqual(len(cutter.partial), events.MAX_EVENT_BYTES)
            self.assertEqual(cutter.partial, b"")


if __name__ == "__main__":
    unittest.main()
