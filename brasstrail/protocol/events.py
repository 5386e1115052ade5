"""Splits an event stream into complete events and tracks their ids.

>>> cutter = EventCutter()
>>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
b'id: 1\\ndata: a\\n\\n'
>>> cutter.last_id
'1'
"""

MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = b"\n\n"


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
    partial : the bytes of an event that is not complete yet.
    """

    def __init__(self, last_id=""):
        self.last_id = last_id
        self.events = 0
        self.partial = b""

    def feed(self, chunk):
        """Add a part of the stream; return the new events that it completes."""
        self.partial += chunk
        end = self.partial.rfind(EVENT_END)
        if end < 0:
            return b""
        whole = self.partial[: end + len(EVENT_END)]
        self.partial = self.partial[end + len(EVENT_END) :]
        forwarded = []
        for event in whole.split(EVENT_END)[:-1]:
            if self.record_event(event):
                forwarded.append(event + EVENT_END)
        return b"".join(forwarded)

    def record_event(self, event):
        """Record an event; return whether the caller has not received it yet.

        Events without an id always count as new and are not counted in `events`. An
        event is a repeat if its id and `last_id` are both numbers and its id is not
        above `last_id`.
        """
        identity = event_id(event)
        if identity is None:
            return True
        if is_number(identity) and is_number(self.last_id):
            if int(identity) <= int(self.last_id):
                return False
        self.last_id = identity
        self.events += 1
        return True

    def drop_partial_event(self):
        """Drop the incomplete event with which a server's stream ended."""
        self.partial = b""


def event_id(event):
    """Return the id of an event, or None if it has none."""
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin1")
    return None


def is_number(text):
    """Return whether an id is a whole number."""
    return text.isascii() and text.isdigit()
