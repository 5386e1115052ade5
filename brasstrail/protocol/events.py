"""Splits an event stream into complete events and tracks their ids.

An event ends at an empty line. A line ends with LF, CR LF or CR.

>>> cutter = EventCutter()
>>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
b'id: 1\\ndata: a\\n\\n'
>>> cutter.last_id, cutter.is_inside_event
('1', True)
"""

import re

MEDIA_TYPE = "text/event-stream"
# An event is passed on whole, and is held until it ends.
MAX_EVENT_BYTES = 1024 * 1024
# The end of a line and an empty line. The first CR must not be a half of CR LF.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
LINE_END = re.compile(rb"\r\n|\n|\r")
# An end of an event may begin this many bytes before the end of what was searched.
MAX_EVENT_END_BYTES = 4
COMMENT = b":"


class EventTooLarge(Exception):
    """An event exceeds `MAX_EVENT_BYTES`."""


class EventCutter:
    """Forwards complete events only, and each event once.

    Parameters
    ----------
    last_id : the id of the last event that the caller received, or an empty
        string.

    Attributes
    ----------
    last_id : the id of the last event that was forwarded.
    events : the number of events with an id that were forwarded.
    partial : the bytes after the last complete event.
    expects_event : whether the caller lacks at least one event, as far as known: it has
        none yet, or an earlier server's stream ended within the next one.
    has_event_of_run : whether the present server has sent an event.
    """

    def __init__(self, last_id=""):
        self.last_id = last_id
        self.events = 0
        self.partial = bytearray()
        self.searched_bytes = 0
        self.expects_event = not last_id
        self.has_event_of_run = False
        # Events without an id that were forwarded after the one with `last_id`, and how
        # many of them the present server still repeats.
        self.unnumbered = 0
        self.unnumbered_to_drop = 0

    @property
    def is_inside_event(self):
        """Whether the stream has stopped before the end of an event, or of a line.

        Empty lines and comments between events belong to no event.
        """
        last_line = LINE_END.split(self.partial)[-1]
        return bool(last_line or find_fields(self.partial))

    def feed(self, chunk):
        """Add a part of the stream; return the new events that it completes.

        Raises `EventTooLarge` if an event exceeds the limit; it is dropped.
        """
        self.partial += chunk
        forwarded = []
        begin = 0
        search_from = max(0, self.searched_bytes - MAX_EVENT_END_BYTES)
        while match := EVENT_END.search(self.partial, search_from):
            event = bytes(self.partial[begin : match.end()])
            if self.record_event(event):
                forwarded.append(event)
            begin = search_from = match.end()
        del self.partial[:begin]
        self.searched_bytes = len(self.partial)
        if len(self.partial) > MAX_EVENT_BYTES:
            self.partial.clear()
            raise EventTooLarge(f"An event exceeds {MAX_EVENT_BYTES} bytes.")
        return b"".join(forwarded)

    def record_event(self, event):
        """Record an event; return whether the caller has not received it yet.

        An event is a repeat if its id and `last_id` are both numbers and its id is not
        above `last_id`. Events without an id are not counted in `events`. A server that
        continues a stream sends those after `last_id` again; as many as were forwarded
        are repeats. Blocks of comments are no events.
        """
        fields = find_fields(event)
        if not fields:
            return True
        self.has_event_of_run = True
        identity = find_id(fields)
        if identity is None:
            return self.record_unnumbered()
        self.unnumbered_to_drop = 0
        if is_number(identity) and is_number(self.last_id):
            if number_key(identity) <= number_key(self.last_id):
                return False
        self.last_id = identity
        self.events += 1
        self.unnumbered = 0
        self.expects_event = False
        return True

    def record_unnumbered(self):
        """Record an event without an id; return whether it is new to the caller."""
        if self.unnumbered_to_drop:
            self.unnumbered_to_drop -= 1
            return False
        self.unnumbered += 1
        self.expects_event = False
        return True

    def begin_run(self):
        """Prepare for the stream of another server, which goes on after `last_id`."""
        self.expects_event = self.expects_event or self.is_inside_event
        self.has_event_of_run = False
        self.partial.clear()
        self.searched_bytes = 0
        self.unnumbered_to_drop = self.unnumbered


def is_event_stream(content_type):
    """Return whether a Content-Type header names an event stream.

    >>> is_event_stream("text/event-stream; charset=utf-8")
    True
    """
    return content_type.partition(";")[0].strip().lower() == MEDIA_TYPE


def find_fields(event):
    """Return the lines of an event that are neither empty nor comments."""
    return [
        line for line in LINE_END.split(event) if line and not line.startswith(COMMENT)
    ]


def find_id(fields):
    """Return the id among the fields of an event, or None if it has none."""
    for line in fields:
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin1")
    return None


def is_number(text):
    """Return whether an id is a whole number."""
    return text.isascii() and text.isdigit()


def number_key(text):
    """Return a key that orders whole numbers of any length.

    >>> number_key("9") < number_key("0010")
    True
    """
    significant = text.lstrip("0")
    return len(significant), significant
