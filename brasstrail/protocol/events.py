"""Cuts an event stream into whole events and follows their ids.

>>> cutter = EventCutter()
>>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
b'id: 1\\ndata: a\\n\\n'
>>> cutter.last_id
'1'
"""

MAX_EVENT_BYTES = 1024 * 1024
END = b"\n\n"


class EventCutter:
    """Passes on whole events only, each once.

    Parameters
    ----------
    last_id : the id of the last event that the caller has, or an empty word.

    Attributes
    ----------
    last_id : the id of the last event that was passed on.
    events : how many events were passed on.
    """

    def __init__(self, last_id=""):
        self.last_id = last_id
        self.events = 0
        self.partial = b""

    def feed(self, chunk):
        """Take a part of the stream; return the events that are whole now."""
        self.partial += chunk
        end = self.partial.rfind(END)
        if end < 0:
            return b""
        whole = self.partial[: end + len(END)]
        self.partial = self.partial[end + len(END) :]
        passed = []
        for event in whole.split(END)[:-1]:
            if self.is_new(event):
                passed.append(event + END)
        return b"".join(passed)

    def is_new(self, event):
        """Note an event; return whether the caller does not have it yet."""
        identity = event_id(event)
        if identity is None:
            return True
        if is_number(identity) and is_number(self.last_id):
            if int(identity) <= int(self.last_id):
                return False
        self.last_id = identity
        self.events += 1
        return True

    def restart(self):
        """Drop the part of an event at which a server broke off."""
        self.partial = b""


def event_id(event):
    """Return the id in an event, or None."""
    for line in event.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin1")
    return None


def is_number(word):
    """Return whether an id is a whole number."""
    return word.isascii() and word.isdigit()
