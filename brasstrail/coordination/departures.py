"""The backend servers that have said in an answer that they leave.

A server that leaves serves for some seconds more and then ends. It may say so in its
answers before its announcements do, or while no control host hears them. From its
first such answer a start of a server gets no new requests, whatever is announced
meanwhile and whatever it says later; a new start does.
"""

import dataclasses

# Longer than a server that leaves goes on, and than late announcements of it arrive.
RETENTION_MS = 600_000
# Starts of servers that are kept; the ones that were heard of first are forgotten.
MAX_DEPARTURES = 4096
# Departures in one message to other gateways.
MAX_REPORTED = 128


@dataclasses.dataclass(frozen=True)
class Departure:
    """A start of a server that leaves.

    `source` is the attempt id of the request whose answer said so, or the name of the
    gateway that has told of it, and `heard_ms` when the first answer came.
    """

    source: str
    heard_ms: int


class Departures:
    """The servers that leave, as far as one gateway knows.

    Attributes
    ----------
    known : the `Departure` by identity and start of a server, the oldest first.
    """

    def __init__(self):
        self.known = {}

    def __contains__(self, start):
        return start in self.known

    def record(self, start, source, heard_ms):
        """Record that a start of a server leaves; return whether that is new."""
        if start in self.known:
            return False
        while len(self.known) >= MAX_DEPARTURES:
            del self.known[next(iter(self.known))]
        self.known[start] = Departure(source, heard_ms)
        return True

    def latest(self):
        """Return up to `MAX_REPORTED` (start, `Departure`) pairs, the latest ones."""
        return list(self.known.items())[-MAX_REPORTED:]

    def remove_expired(self, now_ms):
        """Forget the starts that must have ended long ago."""
        for start, departure in list(self.known.items()):
            if now_ms - departure.heard_ms > RETENTION_MS:
                del self.known[start]
