"""An entry's picture of the backend servers of a service.

Reports come late, so the picture keeps its own account of what this entry has
sent since, and takes from reports only what it cannot know: what other entries
have under way, and the learned speeds.
"""

import dataclasses

from brasstrail.coordination import cache
from brasstrail.protocol import chat

MAX_LINK_WAIT_MS = 300
DEFAULT_SERVICE_TIME_MS = 500.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.1
MIN_TOKENS_PER_S = 1.0
MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True)
class Estimate:
    """The expected times of a request on a server, in milliseconds."""

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
        """The time from the start to the whole answer."""
        return self.first_ms + self.decode_ms

    @property
    def total_ms(self):
        """The time from now to the whole answer."""
        return self.wait_ms + self.run_ms


class LinkPacer:
    """An entry's account of its share of the link between regions.

    What it sends is paced, so that a body never waits long behind others on
    the way and heartbeats always get through.

    Parameters
    ----------
    rate : the entry's share of the link, in bytes a millisecond.
    """

    def __init__(self, bytes_per_ms):
        self.bytes_per_ms = bytes_per_ms
        self.now_ms = 0
        self.busy_until_ms = 0.0

    def advance(self, now_ms):
        """Note the time."""
        self.now_ms = now_ms

    def wait_ms(self):
        """Return how long what is sent now waits behind what was sent."""
        return max(0.0, self.busy_until_ms - self.now_ms)

    def can_send(self):
        """Return whether one more body may be sent."""
        return self.wait_ms() <= MAX_LINK_WAIT_MS

    def transmission_ms(self, size):
        """Return the time that so many bytes take by themselves."""
        return size / self.bytes_per_ms

    def record_sent(self, size):
        """Account for bytes that are sent now."""
        self.busy_until_ms = self.now_ms + self.wait_ms() + self.transmission_ms(size)


class ServerView:
    """One backend server, as an entry sees it.

    Attributes
    ----------
    state : the last `messages.ServerState`.
    connected : whether its agent can be reached now.
    sent : the works under way there that this entry sent, by request.
    standing : the works that this entry has offered there, by request.
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
        """Take a report."""
        previous = self.state
        if previous is not None and previous.cache_generation != state.cache_generation:
            self.cache.clear()
        self.state = state
        for block in reversed(state.prefixes):
            self.cache.record_prefilled((block,))

    def can_run(self, work):
        """Return whether the server may be offered a request."""
        if not self.connected or self.state is None or self.state.leaving:
            return False
        return not work.model or work.model in self.state.models

    def record_start(self, work):
        """Account for a request that this entry sent."""
        if self.remote:
            self.link.record_sent(work.body_bytes)
        self.outstanding[work.request_id] = work
        self.cache.record_prefilled(work.prefix)

    def record_end(self, work, elapsed_ms):
        """Account for the end of a request; `elapsed_ms` is None on failure."""
        self.outstanding.pop(work.request_id, None)
        if elapsed_ms is not None:
            change = elapsed_ms - self.service_ms
            self.service_ms += SERVICE_TIME_SMOOTHING_FACTOR * change

    def load(self):
        """Return the requests that run or wait there, as far as is known."""
        return max(self.state.running, len(self.outstanding)) + self.state.waiting

    def uncached_tokens(self, work):
        """Return the prompt tokens that the server would have to prefill."""
        held = self.cache.held(work.prefix) * chat.BLOCK_TOKENS
        return max(1, work.prompt_tokens - held)

    def estimate(self, work):
        """Return the expected times of a request here."""
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
            self.uncached_tokens(work) + state.prefill_backlog
        ) / tokens_per_ms
        token_ms = MS_PER_SECOND / max(MIN_TOKENS_PER_S, state.decode_rate)
        decode_ms = work.output_tokens * token_ms
        return Estimate(wait_ms, prefill_ms, decode_ms, self.network_with_wait_ms(work))

    def min_run_ms(self, work):
        """Return the least time from the start to the whole answer.

        It is what the request would take with the server to itself. A request
        that could not end in time even so is given up; any other may wait.
        """
        return self.min_first_token_ms(work) + work.output_tokens * (
            self.state.least_token_ms if work.model else 0.0
        )

    def min_first_token_ms(self, work):
        """Return the least time from the start to the first token."""
        network_ms = self.network_ms(work)
        if not work.model:
            return network_ms
        tokens_per_ms = max(MIN_TOKENS_PER_S, self.state.prefill_peak) / MS_PER_SECOND
        return network_ms + self.uncached_tokens(work) / tokens_per_ms

    def network_with_wait_ms(self, work):
        """Return the time to the server, the wait for the link included."""
        wait_ms = self.link.wait_ms() if self.remote else 0.0
        return wait_ms + self.network_ms(work)

    def network_ms(self, work):
        """Return the time that a request itself spends on the way."""
        if not self.remote:
            return self.round_trip_ms
        return self.round_trip_ms + self.link.transmission_ms(work.body_bytes)

    def can_send_now(self):
        """Return whether a request may be sent on its way now."""
        return not self.remote or self.link.can_send()
