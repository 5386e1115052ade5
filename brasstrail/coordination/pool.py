"""Which backend server a request goes to, and which request waits for which.

A `Pool` is a state machine without sockets and clocks. It knows the servers of
all services, what this gateway runs on each, what the other gateways say they
run, and what calls have shown of each server's speed and health.

Engines admit whatever comes and know no tiers. So a request is bound to a server
only when that server has room, by the sum over all gateways; until then it waits
here, the highest tier first and the oldest first within a tier. A request whose
time will be over before its turn is refused at once.
"""

import collections
import dataclasses
import itertools

from brasstrail.core import servers

# The part of the places that is kept from the lowest rank for those above it, and
# how long a rank is remembered.
RESERVED_CAPACITY_FRACTION = 0.55
RANK_ACTIVITY_WINDOW_MS = 5000
# Requests that may wait within an engine, so that its places do not stay empty until
# all gateways have heard that one is free.
ENGINE_QUEUE_REQUESTS = 2
# The pace of starts is measured over the last two seconds; the part of it that is
# left to a rank is never taken to be less than this.
START_RATE_WINDOW_MS = 2000
MIN_REMAINING_FRACTION = 0.1
# How long a request holds its place until that is known.
DEFAULT_SERVICE_TIME_MS = 300.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.05
# A plain server is given this many requests for each of its slots.
PLAIN_REQUESTS_PER_SLOT = 2.0
# Prompt tokens an engine reads in a millisecond until its own speed is known.
DEFAULT_PREFILL_TOKENS_PER_MS = 30.0
# Prompts are sent to an engine as long as it has less than this to read, by its
# own speed: enough to keep it busy across a round trip between regions.
MAX_PREFILL_BACKLOG_MS = 200.0
# Milliseconds that a token of output takes until the speed is known.
DEFAULT_OUTPUT_TOKEN_MS = 5.0
SPEED_SMOOTHING_FACTOR = 0.2
# What the way to a server is worth, in milliseconds of delay: its round trip, and
# the price of the bytes that cross.
SAME_DATA_CENTRE_COST_MS = 0.0
SAME_REGION_COST_MS = 15.0
OTHER_REGION_COST_MS = 110.0
# Added where an answer would come too late to be of use: more than any other delay.
MISSED_DEADLINE_PENALTY_MS = 20_000.0
# A server that failed is left alone for a while that doubles with each failure.
MIN_BACKOFF_MS = 300
MAX_BACKOFF_MS = 5000
# A failure rate above this keeps a server from what can go elsewhere.
FAILURE_RATE_SMOOTHING_FACTOR = 0.2
# Other gateways' shares count no more after this silence; they speak every second.
LOAD_SHARE_EXPIRY_MS = 2500


@dataclasses.dataclass(frozen=True)
class Work:
    """What a request asks of a server.

    `rank` orders work, lowest first: the tier that binds, then the route's own.
    `goal_at_ms` is when its first answer is due, `give_up_ms` is the time at which
    its caller waits no longer.
    """

    identity: str
    service: str
    rank: tuple[int, int]
    arrived_ms: int
    first_answer_due_ms: int
    caller_deadline_ms: int
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple = ()


@dataclasses.dataclass(frozen=True)
class LoadShare:
    """What one gateway runs on one server."""

    running: int
    input_tokens: int
    output_tokens: int


@dataclasses.dataclass
class Server:
    """A server and what is known of it here.

    Attributes
    ----------
    awaiting_first_answer : work whose first answer has not come yet, by identity.
    running : all work that this gateway has there, by identity.
    shares : (share, heard_ms) of the other gateways, by name.
    slowness : how many times as long as expected a first answer takes.
    token_ms : how long a token of output takes, under the load that it has.
    failures : the moving rate of failed calls, 0 to 1.
    """

    announcement: servers.Announcement
    silent: bool = False
    awaiting_first_answer: dict = dataclasses.field(default_factory=dict)
    running: dict = dataclasses.field(default_factory=dict)
    shares: dict = dataclasses.field(default_factory=dict)
    slowdown: float = 1.0
    token_ms: float = DEFAULT_OUTPUT_TOKEN_MS
    failure_rate: float = 0.0
    backoff_ms: int = 0
    backoff_until_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Choice:
    """The server chosen for a request, and what decided.

    `score_ms` is the expected delay with the way to the server, `load_ms` how long a
    server of usual speed takes for a first answer under that load.
    """

    identity: str
    score_ms: float
    expected_first_answer_ms: float
    running: int
    others: int
    candidates: int


class Pool:
    """The servers and the waiting requests of one gateway.

    Parameters
    ----------
    node : `settings.Node` of the process.
    regions : the region of each data centre.

    Attributes
    ----------
    gateways : how many gateways send work to the same servers.
    """

    def __init__(self, node, regions):
        self.node = node
        self.regions = regions
        self.servers = {}
        self.engines = {}
        self.waiting = {}
        self.ticket_numbers = itertools.count()
        self.recent_starts = collections.deque()
        self.rank_arrivals_ms = {}
        self.service_times_ms = {}
        self.gateway_count = 1

    # What is known of servers.

    def configure(self, services):
        """Take the services of a catalog."""
        self.engines = {each.name: each.engine for each in services}

    def put_server(self, announcement, silent):
        """Take what control hosts say of a server."""
        server = self.servers.get(announcement.identity)
        if announcement.phase is servers.ServerPhase.GONE:
            self.servers.pop(announcement.identity, None)
            return
        if server is None or server.announcement.born_ms != announcement.born_ms:
            self.servers[announcement.identity] = Server(announcement, silent)
            return
        server.announcement = announcement
        server.silent = silent

    def remove_server(self, identity):
        """Forget a server."""
        self.servers.pop(identity, None)

    def update_load_shares(self, name, shares, now_ms):
        """Take what another gateway runs.

        Parameters
        ----------
        shares : `Share` by server identity; servers that are not named run nothing.
        """
        for identity, server in self.servers.items():
            share = shares.get(identity)
            if share is None:
                server.shares.pop(name, None)
            else:
                server.shares[name] = (share, now_ms)

    def own_load_shares(self):
        """Return what this gateway runs, by server identity."""
        return {
            identity: LoadShare(
                len(server.running),
                sum(
                    work.input_tokens for work in server.awaiting_first_answer.values()
                ),
                sum(work.output_tokens for work in server.running.values()),
            )
            for identity, server in self.servers.items()
            if server.running
        }

    # What calls show.

    def add_running(self, identity, work):
        """Note that a request was sent to a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.running[work.identity] = work
            server.awaiting_first_answer[work.identity] = work

    def record_first_answer(self, identity, work, elapsed_ms, expected_ms):
        """Note that a server has begun to answer."""
        server = self.servers.get(identity)
        if server is None:
            return
        server.awaiting_first_answer.pop(work.identity, None)
        ratio = min(20.0, max(0.2, elapsed_ms / max(1.0, expected_ms)))
        server.slowdown += SPEED_SMOOTHING_FACTOR * (ratio - server.slowdown)

    def record_token_time(self, identity, token_ms):
        """Note how long each token of an answer took at a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.token_ms += SPEED_SMOOTHING_FACTOR * (token_ms - server.token_ms)

    def remove_running(self, identity, work):
        """Note that a request is no longer at a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.running.pop(work.identity, None)
            server.awaiting_first_answer.pop(work.identity, None)

    def succeeded(self, identity):
        """Note that a server has answered well."""
        server = self.servers.get(identity)
        if server is not None:
            server.failure_rate -= FAILURE_RATE_SMOOTHING_FACTOR * server.failure_rate
            server.backoff_ms = 0

    def failed(self, identity, now_ms, with_backoff):
        """Note that a server has failed; `rests` leaves it alone for a while."""
        server = self.servers.get(identity)
        if server is None:
            return
        server.failure_rate += FAILURE_RATE_SMOOTHING_FACTOR * (
            1.0 - server.failure_rate
        )
        if with_backoff:
            doubled = max(MIN_BACKOFF_MS, 2 * server.backoff_ms)
            server.backoff_ms = min(MAX_BACKOFF_MS, doubled)
            server.backoff_until_ms = now_ms + server.backoff_ms

    # Choosing.

    def choose(self, work, tried, now_ms):
        """Return the `Choice` for a request, or None where there is no room.

        Parameters
        ----------
        tried : the identities of servers not to be chosen again.
        """
        best = None
        candidates = 0
        if not self.has_capacity_for_rank(work, now_ms):
            return None
        for identity, server in self.servers.items():
            if not self.is_usable(server, work.service, now_ms) or identity in tried:
                continue
            if not self.has_room(server, now_ms):
                continue
            candidates += 1
            score = self.score(server, work, now_ms)
            if best is None or score < best[0]:
                best = (score, identity, server)
        if best is None:
            return None
        score, identity, server = best
        own_running = len(server.running)
        others = self.total_running(server, now_ms) - own_running
        first_answer_ms = self.expected_first_answer_ms(server, work, now_ms)
        return Choice(identity, score, first_answer_ms, own_running, others, candidates)

    def record_arrival(self, work):
        """Remember which ranks ask for a service."""
        self.rank_arrivals_ms.setdefault(work.service, {})[work.rank] = work.arrived_ms

    def has_capacity_for_rank(self, work, now_ms):
        """Return whether places are left for a request of its rank.

        The lower a rank, the more places it leaves to those above it, so that
        long work of low rank does not hold every place when they come; the middle
        ranks leave little. A rank that has not asked lately is left nothing.
        """
        active_ranks = sorted(
            rank
            for rank, arrived_ms in self.rank_arrivals_ms.get(work.service, {}).items()
            if now_ms - arrived_ms <= RANK_ACTIVITY_WINDOW_MS
        )
        higher_ranks = sum(rank < work.rank for rank in active_ranks)
        if not higher_ranks:
            return True
        depth = higher_ranks / max(1, len(active_ranks) - 1)
        usable_fraction = 1.0 - RESERVED_CAPACITY_FRACTION * depth * depth
        capacity, running = self.service_capacity(work.service, now_ms)
        return running < usable_fraction * capacity

    def service_capacity(self, service, now_ms):
        """Return how many places the servers of a service have, and the taken."""
        total_capacity = 0.0
        running = 0
        for server in self.servers.values():
            if self.is_usable(server, service, now_ms):
                total_capacity += self.capacity(server)
                running += self.total_running(server, now_ms)
        return total_capacity, running

    def is_usable(self, server, service, now_ms):
        """Return whether a server takes new work of a service."""
        announcement = server.announcement
        if announcement.service != service:
            return False
        if announcement.phase is not servers.ServerPhase.READY:
            return False
        return now_ms >= server.backoff_until_ms

    def has_servers(self, service):
        """Return whether any server of a service is known to be ready."""
        return any(
            server.announcement.service == service
            and server.announcement.phase is servers.ServerPhase.READY
            for server in self.servers.values()
        )

    def total_running(self, server, now_ms):
        """Return how many requests all gateways have at a server."""
        return len(server.running) + sum(
            share.running for share in self.unexpired_load_shares(server, now_ms)
        )

    def unexpired_load_shares(self, server, now_ms):
        """Yield the other gateways' shares that are not too old."""
        for share, heard_ms in server.shares.values():
            if now_ms - heard_ms <= LOAD_SHARE_EXPIRY_MS:
                yield share

    def capacity(self, server):
        """Return how many requests a server is given at a time."""
        if self.engines.get(server.announcement.service) is not None:
            return server.announcement.slots + ENGINE_QUEUE_REQUESTS
        return server.announcement.slots * PLAIN_REQUESTS_PER_SLOT

    def has_room(self, server, now_ms):
        """Return whether a server may be given one more request.

        An engine reads one prompt after the other. What waits there can no longer
        be ordered, so a prompt is sent only where little is left to be read.
        """
        if self.total_running(server, now_ms) >= self.capacity(server):
            return False
        backlog_ms = (
            self.pending_prefill_tokens(server, now_ms) / DEFAULT_PREFILL_TOKENS_PER_MS
        )
        return backlog_ms * server.slowdown <= MAX_PREFILL_BACKLOG_MS

    def pending_prefill_tokens(self, server, now_ms):
        """Return the prompt tokens that a server has yet to read."""
        own_tokens = sum(
            work.input_tokens for work in server.awaiting_first_answer.values()
        )
        others = self.unexpired_load_shares(server, now_ms)
        return own_tokens + sum(share.input_tokens for share in others)

    def score(self, server, work, now_ms):
        """Return the expected delay of a first answer, with what the way costs."""
        delay_ms = self.expected_first_answer_ms(server, work, now_ms) * server.slowdown
        delay_ms += self.deadline_risk_ms(server, work, now_ms + delay_ms)
        if server.silent:
            delay_ms += OTHER_REGION_COST_MS
        delay_ms *= 1.0 + 4.0 * server.failure_rate
        return delay_ms + self.network_cost_ms(server.announcement.data_centre)

    def deadline_risk_ms(self, server, work, decode_start_ms):
        """Return what the length of an answer adds to a server's score.

        The more of the time that is left an answer takes, the likelier it does not
        end in it: long answers go to fast servers, and a server on which one would
        not end comes after all others.
        """
        decode_ms = work.output_tokens * server.token_ms
        remaining_ms = max(1.0, work.caller_deadline_ms - decode_start_ms)
        if decode_ms > remaining_ms:
            return MISSED_DEADLINE_PENALTY_MS
        return decode_ms * decode_ms / remaining_ms

    def expected_first_answer_ms(self, server, work, now_ms):
        """Return how long a first answer takes under a server's present load."""
        running = self.total_running(server, now_ms)
        pending_tokens = self.pending_prefill_tokens(server, now_ms)
        return (
            self.prefill_time_ms(work, pending_tokens)
            + running * DEFAULT_OUTPUT_TOKEN_MS
        )

    def prefill_time_ms(self, work, pending_tokens):
        """Return how long a first answer takes at a server of usual speed."""
        return (
            20.0 + (work.input_tokens + pending_tokens) / DEFAULT_PREFILL_TOKENS_PER_MS
        )

    def network_cost_ms(self, data_centre):
        """Return what the way to a data centre is worth."""
        if data_centre == self.node.data_centre:
            return SAME_DATA_CENTRE_COST_MS
        if self.regions.get(data_centre) == self.node.region:
            return SAME_REGION_COST_MS
        return OTHER_REGION_COST_MS

    # Waiting.

    def enqueue(self, work, tried):
        """Let a request wait for room; return its ticket."""
        ticket = next(self.ticket_numbers)
        self.waiting[ticket] = (work, tried)
        return ticket

    def remove_waiting(self, ticket):
        """Take a request out of the queue."""
        self.waiting.pop(ticket, None)

    def dispatch_waiting(self, now_ms):
        """Return (ticket, choice) pairs for those whose turn has come.

        The work counts as started at the chosen server.
        """
        dispatches = []
        blocked = set()
        for ticket, (work, tried) in self.waiting_in_order(now_ms):
            if (work.service, work.rank) in blocked:
                continue
            choice = self.choose(work, tried, now_ms)
            if choice is None:
                if not tried:
                    blocked.add((work.service, work.rank))
                continue
            del self.waiting[ticket]
            self.add_running(choice.identity, work)
            self.record_start(work, now_ms)
            dispatches.append((ticket, choice))
        return dispatches

    def waiting_in_order(self, now_ms):
        """Return the waiting requests, those to be served first at the head.

        Within a rank, those that can still reach their goal go first.
        """

        def sort_key(item):
            ticket, (work, _) = item
            is_late = now_ms + self.prefill_time_ms(work, 0) > work.first_answer_due_ms
            return (work.rank, is_late, ticket)

        return sorted(self.waiting.items(), key=sort_key)

    def record_start(self, work, now_ms):
        """Remember a start, from which the pace of a service is measured."""
        self.recent_starts.append((now_ms, work.service, work.rank))
        while (
            self.recent_starts
            and self.recent_starts[0][0] < now_ms - START_RATE_WINDOW_MS
        ):
            self.recent_starts.popleft()

    def expected_wait_ms(self, work, now_ms):
        """Return how long a request that waits will wait, by the present pace.

        The other gateways are taken to have as much waiting as this one. What is
        above in rank goes first: the part of the places that it takes does not come
        free for others.
        """
        ahead = sum(
            1
            for other, _ in self.waiting.values()
            if other.service == work.service and other.rank <= work.rank
        )
        if not ahead:
            return 0.0
        capacity, _ = self.service_capacity(work.service, now_ms)
        start_interval_ms = (
            self.service_time_ms(work.service) * self.gateway_count / max(1.0, capacity)
        )
        higher_rank_starts = sum(
            1
            for started_ms, service, rank in self.recent_starts
            if service == work.service
            and rank < work.rank
            and started_ms >= now_ms - START_RATE_WINDOW_MS
        )
        remaining_fraction = (
            1.0 - higher_rank_starts * start_interval_ms / START_RATE_WINDOW_MS
        )
        return (
            ahead * start_interval_ms / max(MIN_REMAINING_FRACTION, remaining_fraction)
        )

    def service_time_ms(self, service):
        """Return how long a request of a service holds its place."""
        return self.service_times_ms.get(service, DEFAULT_SERVICE_TIME_MS)

    def record_service_time(self, service, observed_ms):
        """Note how long a request has held its place."""
        previous_ms = self.service_time_ms(service)
        self.service_times_ms[service] = previous_ms + SERVICE_TIME_SMOOTHING_FACTOR * (
            observed_ms - previous_ms
        )
