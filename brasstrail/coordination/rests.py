"""The rests that backend servers ask for when they turn requests away.

A server that answers 503 may say for how long it wants nothing more from the gateway
that it has answered. A rest belongs to one start of a server, and is kept by the
gateway that was told, for itself: the server may take what other gateways send.

After its end a server is tried with one request at a time, until one was answered: a
server that turns all requests away gets a few tries, not all that waits.
"""

import dataclasses

# A longer rest counts as one of this length: a server that means less by its answer is
# tried again, and one that means more gets one request in that time.
MAX_REST_S = 3600.0
# A try that was not answered within this time no longer keeps others back.
TRY_TIMEOUT_MS = 1000
# Starts of servers whose rests are kept; the ones that end first are forgotten.
MAX_RESTS = 4096


@dataclasses.dataclass(frozen=True)
class Rest:
    """A rest that a server has asked for.

    `attempt_id` identifies the request that it has turned away at `asked_ms`.
    `tried_ms` is when it was tried after the end, or None.
    """

    asked_ms: int
    until_ms: float
    attempt_id: str
    tried_ms: int | None = None


class Rests:
    """The rests of servers at one gateway.

    Attributes
    ----------
    known : the `Rest` by identity and start of a server. One that has ended is kept
        until the server has answered another request.
    """

    def __init__(self):
        self.known = {}

    def ask(self, start, seconds, attempt_id, now_ms):
        """Record that a server wants nothing for some seconds; return its `Rest`.

        A later end replaces an earlier one, and not the reverse.

        Parameters
        ----------
        start : the identity of the server and when it started.
        seconds : how long, from now on.
        attempt_id : that of the request that the server has turned away.
        """
        until_ms = now_ms + 1000 * min(seconds, MAX_REST_S)
        known = self.known.get(start)
        if known is not None and known.until_ms >= until_ms:
            return known
        while len(self.known) >= MAX_RESTS and start not in self.known:
            del self.known[min(self.known, key=lambda key: self.known[key].until_ms)]
        rest = Rest(now_ms, until_ms, attempt_id)
        self.known[start] = rest
        return rest

    def until_ms(self, start, now_ms):
        """Return when the rest of a server ends, or None if it does not rest."""
        rest = self.known.get(start)
        return rest.until_ms if rest is not None and now_ms < rest.until_ms else None

    def is_tried(self, start, now_ms):
        """Return whether a server is being tried after its rest."""
        rest = self.known.get(start)
        if rest is None or rest.tried_ms is None:
            return False
        return now_ms - rest.tried_ms < TRY_TIMEOUT_MS

    def record_sent(self, start, now_ms):
        """Record that a request is sent to a server: a try, if it has rested."""
        rest = self.known.get(start)
        if rest is not None:
            self.known[start] = dataclasses.replace(rest, tried_ms=now_ms)

    def record_answer(self, start, now_ms):
        """Forget a rest that has ended, as the server has answered a request."""
        if start in self.known and self.until_ms(start, now_ms) is None:
            del self.known[start]

    def remove_expired(self, now_ms):
        """Forget the rests whose servers were not tried for as long again."""
        for start, rest in list(self.known.items()):
            if now_ms - rest.until_ms > max(60_000, rest.until_ms - rest.asked_ms):
                del self.known[start]
