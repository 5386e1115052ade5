"""An entry's view of the backend servers of a service.

The agents' state reports (`messages.ServerState`) arrive late. The view therefore
tracks itself what this entry has sent since, and uses reports only for what it cannot
know: the requests that other entries have in progress, and the measured speeds.
"""

import dataclasses

from brasstrail.coordination import cache
from brasstrail.protocol import chat

# No request body is sent while it would wait longer than this for the link.
MAX_LINK_WAIT_MS = 300
# The time from the start to the end of a request, assumed until it is measured, and the
# weight of a new measurement in the moving average.
DEFAULT_SERVICE_TIME_MS = 500.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.1
# Lower bound of the reported rates, so that no estimate divides by 0.
MIN_TOKENS_PER_S = 1.0
MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class Estimate:
    """The expected times of a request on a server, in milliseconds.

    `wait_ms` is the wait for a slot at the server; `network_ms` includes the wait for
    the link between regions.
    """

    wait_ms: float
    prefill_ms: float
    decode_ms: float
    network_ms: float

    @property
    def first_ms(self):
        """The time from the start to the first token."""
        return self.prefill_ms + self.network_ms

    @property
    def run_ms(self):
        """The time from the start to the end of the answer."""
        return self.first_ms + self.decode_ms

    @property
    def total_ms(self):
        """The time from now to the end of the answer."""
        return self.wait_ms + self.run_ms


class LinkPacer:
    """Paces what an entry sends over its share of the link between regions.

    Pacing keeps a request body from waiting long behind others on the link, and keeps
    the link available for heartbeats.

    Parameters
    ----------
    bytes_per_ms : the entry's share of the link's bandwidth.

    Attributes
    ----------
    busy_until_ms : when all bytes sent so far will have passed the link.
    """

    def __init__(self, bytes_per_ms):
        self.bytes_per_ms = bytes_per_ms
        self.now_ms = 0
        self.busy_until_ms = 0.0

    def advance(self, now_ms):
        """Set the current time."""
        self.now_ms = now_ms

    def wait_ms(self):
        """Return how long new bytes would wait behind those already sent, in ms."""
        return max(0.0, self.busy_until_ms - self.now_ms)

    def can_send(self):
        """Return whether one more request body may be sent."""
        return self.wait_ms() <= MAX_LINK_WAIT_MS

    def transmission_ms(self, size):
        """Return the time that `size` bytes take on the idle link, in ms."""
        return size / self.bytes_per_ms

    def record_sent(self, size):
        """Record that `size` bytes are sent now."""
        self.busy_until_ms = self.now_ms + self.wait_ms() + self.transmission_ms(size)


class ServerView:
    """An entry's view of one backend server.

    Parameters
    ----------
    agent : the name of the server's agent.
    remote : whether requests to the server cross the link between regions.
    round_trip_ms : the round trip to the server.
    link : the `LinkPacer` of the entry.

    Attributes
    ----------
    state : the last `messages.ServerState`, or None.
    connected : whether its agent can be reached now.
    outstanding : the `data.Work` in progress there that this entry sent, by request id.
    open_offers : the `scheduler.WaitingRequest`s offered there, by request id.
    cache : the expected content of the server's prefix cache.
    service_ms : moving average of the time from the start to the end of a request.
    """

    def __init__(self, agent, remote, round_trip_ms, link):
        self.agent = agent
        self.remote = remote
        self.link = link
        self.round_trip_ms = round_trip_ms
        self.state = None
        self.connected = True
        self.outstanding = {}
        self.open_offers = {}
        self.cache = cache.PrefixCacheIndex()
        self.service_ms = DEFAULT_SERVICE_TIME_MS

    def update_state(self, state):
        """Store a report; clear the cache index if the engine's cache was reset."""
        previous = self.state
        if previous is not None and previous.cache_generation != state.cache_generation:
            self.cache.clear()
        self.state = state
        for block in reversed(state.prefixes):
            self.cache.record_prefilled((block,))

    def can_run(self, work):
        """Return whether a request may be offered to the server."""
        if not self.connected or self.state is None or self.state.leaving:
            return False
        return not work.model or work.model in self.state.models

    def record_start(self, work):
        """Record that this entry sent a request to the server."""
        if self.remote:
            self.link.record_sent(work.body_bytes)
        self.outstanding[work.request_id] = work
        self.cache.record_prefilled(work.prefix)

    def record_end(self, work, elapsed_ms):
        """Record the end of a request; `elapsed_ms` is None on failure."""
        self.outstanding.pop(work.request_id, None)
        if elapsed_ms is not None:
            change = elapsed_ms - self.service_ms
            self.service_ms += SERVICE_TIME_SMOOTHING_FACTOR * change

    def load(self):
        """Return the number of requests known to run or wait at the server."""
        return max(self.state.running, len(self.outstanding)) + self.state.waiting

    def tokens_to_prefill(self, work):
        """Return the prompt tokens not in the server's cache, at least 1."""
        held = self.cache.held(work.prefix) * chat.BLOCK_TOKENS
        return max(1, work.prompt_tokens - held)

    def estimate(self, work):
        """Return the `Estimate` of a request on this server."""
        state = self.state
        others = self.load() + len(self.open_offers)
        if work.request_id in self.open_offers:
            others -= 1
        queued = max(0, others + 1 - state.slots)
        wait_ms = queued * self.service_ms / max(1, state.slots)
        if not work.model:
            return Estimate(
                wait_ms, 0.0, self.service_ms, self.network_with_wait_ms(work)
            )
        tokens_per_ms = (
            max(MIN_TOKENS_PER_S, state.prefill_rate * state.health) / MS_PER_SECOND
        )
        prefill_ms = (
            self.tokens_to_prefill(work) + state.prefill_backlog
        ) / tokens_per_ms
        token_ms = MS_PER_SECOND / max(MIN_TOKENS_PER_S, state.decode_rate)
        decode_ms = work.output_tokens * token_ms
        return Estimate(wait_ms, prefill_ms, decode_ms, self.network_with_wait_ms(work))

    def min_run_ms(self, work):
        """Return the least time from the start to the end of the answer, in ms.

        This is the time that the request takes on an otherwise idle server. A request
        that would miss its deadline even then is given up; any other may wait.
        """
        return self.min_first_token_ms(work) + work.output_tokens * (
            self.state.least_token_ms if work.model else 0.0
        )

    def min_first_token_ms(self, work):
        """Return the least time from the start to the first token, in ms."""
        network_ms = self.network_ms(work)
        if not work.model:
            return network_ms
        tokens_per_ms = max(MIN_TOKENS_PER_S, self.state.prefill_peak) / MS_PER_SECOND
        return network_ms + self.tokens_to_prefill(work) / tokens_per_ms

    def network_with_wait_ms(self, work):
        """Return the network time including the wait for the link, in ms."""
        wait_ms = self.link.wait_ms() if self.remote else 0.0
        return wait_ms + self.network_ms(work)

    def network_ms(self, work):
        """Return the network time of a request without the wait for the link, in ms."""
        if not self.remote:
            return self.round_trip_ms
        return self.round_trip_ms + self.link.transmission_ms(work.body_bytes)

    def can_send_now(self):
        """Return whether the link allows a request to be sent now."""
        return not self.remote or self.link.can_send()
