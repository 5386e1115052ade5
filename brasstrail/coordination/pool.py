"""Server selection and request queueing at a gateway.

A `Pool` is a state machine without sockets or clocks. It holds the backend servers
of all services, the requests that this gateway runs on each, the load that the other
gateways report, and the speed and health measured from calls.

Engines admit every request and have no notion of tiers. A request is therefore
dispatched to a server only when that server has capacity left, counted over all
gateways. Until then it waits in the pool, ordered by tier, highest first, and by age
within a tier. A request whose time would be over before it is dispatched is refused
at once; the gateway checks this with `Pool.expected_wait_ms`.
"""

import collections
import dataclasses
import functools
import itertools
import math
import random

from brasstrail.coordination import (
    departures,
    limits,
    loadreports,
    rests,
    shares,
    waits,
    zones,
)
from brasstrail.core import servers

# Fraction of the capacity that is withheld from the lowest rank and reserved for the
# ranks above it, and the time for which a rank counts as active after a request.
RESERVED_CAPACITY_FRACTION = 0.55
RANK_ACTIVITY_WINDOW_MS = 5000
# Requests that may queue inside an engine beyond its slots. Without them a slot would
# stay empty until all gateways have received the report that it is free.
ENGINE_QUEUE_REQUESTS = 2
# How long a request occupies capacity, assumed until a service has measurements, and
# the weight of a new measurement in the moving average.
DEFAULT_SERVICE_TIME_MS = 300.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.05
# Requests dispatched to a plain server for each of its slots.
PLAIN_REQUESTS_PER_SLOT = 2.0
# Prompt tokens that an engine prefills in a millisecond, assumed until its own speed
# is known.
DEFAULT_PREFILL_TOKENS_PER_MS = 30.0
# Prompts are sent to an engine as long as its prefill backlog is no longer than this
# at its measured speed: enough to keep it busy during a round trip between regions.
MAX_PREFILL_BACKLOG_MS = 200.0
# Milliseconds for each output token, assumed until the speed is known.
DEFAULT_OUTPUT_TOKEN_MS = 5.0
SPEED_SMOOTHING_FACTOR = 0.2
# Cost of the network path to a server, in milliseconds of delay: its round trip plus
# the price of the bytes that cross it.
SAME_DATA_CENTRE_COST_MS = 0.0
SAME_REGION_COST_MS = 15.0
OTHER_REGION_COST_MS = 110.0
# Added to the score where an answer would end too late to be of use: more than any
# other delay. As an expectation it counts by the chance of that.
MISSED_DEADLINE_PENALTY_MS = 20_000.0
# Standard deviation of the logarithm of an answer's length against its estimate, which
# is right at the median and often off by half.
LENGTH_ERROR_SIGMA = 0.5
# After a failure a server receives no requests for a back-off period, which doubles
# with each further failure.
MIN_BACKOFF_MS = 300
MAX_BACKOFF_MS = 5000
# Weight of a new outcome in the moving average of a server's failure rate. A high rate
# directs requests to other servers where there are any.
FAILURE_RATE_SMOOTHING_FACTOR = 0.2
# Load shares of a gateway are ignored when it has sent no update for this long;
# gateways send one every second.
LOAD_SHARE_EXPIRY_MS = 2500


@dataclasses.dataclass(frozen=True)
class Work:
    """The resources and times that a request needs from a server.

    It is to a gateway what `data.Work` is to an entry. `rank` orders work, lowest
    first: the tier that applies (the workspace's if it has one), then the route's own.
    `first_answer_due_ms` is when the first answer is due; the first answer is the head
    of a successful answer. `caller_deadline_ms` is when the caller stops waiting.
    `output_tokens` is the expected length of the answer. `software` limits the work to
    servers with this `servers.Announcement.software`: None to none, and an empty string
    to no server at all. `transfer_bytes` is the expected size of the request and its
    answer. `rule` is the `canaries.VersionRule` of a service that has had a roll-out,
    or None.
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
    software: str | None = None
    transfer_bytes: int = 0
    rule: object = None

    def may_run_on(self, server):
        """Return whether a server is of the work's service, software and version."""
        announcement = server.announcement
        if announcement.service != self.service:
            return False
        if self.software is not None and announcement.software != self.software:
            return False
        return self.rule is None or self.rule.permits(announcement)


@dataclasses.dataclass(frozen=True)
class LoadShare:
    """The load that one gateway has placed on one server.

    `input_tokens` are prompt tokens of requests without a first answer;
    `output_tokens` are the expected output tokens of all `running` requests.
    """

    running: int
    input_tokens: int
    output_tokens: int


@dataclasses.dataclass
class LoadTotal:
    """The sum of the `LoadShare`s of all other gateways on one server."""

    running: int = 0
    input_tokens: int = 0

    def add(self, share, sign=1):
        """Add a `LoadShare`, or subtract it with a `sign` of -1."""
        self.running += sign * share.running
        self.input_tokens += sign * share.input_tokens


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """The `LoadShare`s of one gateway by server, received at `received_ms`."""

    shares: dict
    received_ms: int


@dataclasses.dataclass
class Server:
    """A backend server and this gateway's measurements of it.

    Attributes
    ----------
    silent : whether the server has missed several announcements.
    capacity : how many requests may be at the server at the same time.
    awaiting_first_answer : work without a first answer so far, by identity.
    running : all work that this gateway runs on the server, by identity.
    others : the `LoadTotal` of the other gateways.
    slowdown : moving average of the measured over the expected time of a first answer.
    token_ms : moving average of the time for each output token, under present load.
    failure_rate : moving average of failed calls, 0 to 1.
    backoff_ms : length of the last back-off; 0 after a success.
    backoff_until_ms : the time until which the server receives no requests.
    heard_ms : when this gateway last received anything from the server.
    limit : `limits.Limit`, or None if the server has named none.
    permits : the permits to send requests to a limited server, the oldest first.
    host : what the server's answers have reported.
    """

    announcement: servers.Announcement
    silent: bool = False
    capacity: float = 0.0
    awaiting_first_answer: dict = dataclasses.field(default_factory=dict)
    running: dict = dataclasses.field(default_factory=dict)
    others: LoadTotal = dataclasses.field(default_factory=LoadTotal)
    slowdown: float = 1.0
    token_ms: float = DEFAULT_OUTPUT_TOKEN_MS
    failure_rate: float = 0.0
    backoff_ms: int = 0
    backoff_until_ms: int = 0
    heard_ms: int = 0
    limit: limits.Limit | None = None
    permits: collections.deque = dataclasses.field(default_factory=collections.deque)
    host: loadreports.HostLoad = dataclasses.field(default_factory=loadreports.HostLoad)

    @functools.cached_property
    def start(self):
        """The identity of the server and when it started, which never change."""
        return self.announcement.identity, self.announcement.born_ms

    @property
    def total_running(self):
        """How many requests all gateways run on the server."""
        return len(self.running) + self.others.running

    @property
    def is_limited(self):
        """Whether the server names a limit."""
        return self.limit is not None and self.limit.per_s is not None

    def has_permit(self, now_ms):
        """Return whether there is a permit that has not run out."""
        return bool(self.permits) and limits.is_valid(self.permits[0], now_ms)


@dataclasses.dataclass(frozen=True)
class Choice:
    """The server chosen for a request, and the inputs of the decision.

    `score_ms` is the expected delay including the cost of the network path.
    `expected_first_answer_ms` is how long a server of default speed takes for a first
    answer under the present load. `running` counts this gateway's requests on the
    server, `others` those of the other gateways, and `candidates` the servers that had
    capacity. `software` is that of the work. `permit` is the one that is used for a
    limited server, or None. `host_factor` is what the server tells of its host, and
    `host_factor_age_ms` how old the last report is; None if it tells none. `distance`
    is that of the server, and `reason` why a gateway that decides on distances sent it
    there.
    """

    identity: str
    score_ms: float
    expected_first_answer_ms: float
    running: int
    others: int
    candidates: int
    software: str | None = None
    permit: object = None
    host_factor: float | None = None
    host_factor_age_ms: float | None = None
    distance: zones.Distance = zones.Distance.DATA_CENTRE
    reason: str = ""


class Openings:
    """The servers that have room while waiting requests are dispatched.

    They are found once for all requests that wait, and not again for each.

    Parameters
    ----------
    server_pool : `Pool`.
    now_ms : the current time.

    Attributes
    ----------
    loads : (a work, capacity, running requests) of the usable servers, by the service,
        software and version rule that works are limited to.
    zone_loads : `zones.ZoneLoad` by data centre, by the same.
    """

    def __init__(self, server_pool, now_ms):
        self.pool = server_pool
        self.now_ms = now_ms
        self.loads = {}
        self.zone_loads = {}

    @functools.cached_property
    def accepting(self):
        """All servers that accept new works, whether or not they have room."""
        return [
            server
            for server in self.pool.servers.values()
            if self.pool.is_accepting(server, self.now_ms)
        ]

    @functools.cached_property
    def servers(self):
        """The servers that have room, by identity; found when first needed."""
        return {
            identity: server
            for identity, server in self.pool.servers.items()
            if self.pool.has_capacity(server, self.now_ms)
            and self.pool.is_accepting(server, self.now_ms)
        }

    def load(self, work):
        """Return what `Pool.usable_capacity` does for a work."""
        key = work.service, work.software, work.rule
        if key not in self.loads:
            capacity, running = self.pool.sum_capacity(work, self.accepting)
            self.loads[key] = work, capacity, running
        return self.loads[key][1:]

    def record_start(self, identity):
        """Take note that a work was dispatched to a server."""
        server = self.servers[identity]
        for key, (work, capacity, running) in list(self.loads.items()):
            if work.may_run_on(server):
                self.loads[key] = work, capacity, running + 1
        if not self.pool.has_capacity(server, self.now_ms):
            del self.servers[identity]


class Pool:
    """The servers and the waiting requests of one gateway.

    Parameters
    ----------
    node : `settings.Node` of the process.
    regions : the region of each data centre.

    Attributes
    ----------
    peer_loads : `PeerLoad` by gateway, the one heard of longest ago first.
    waiting : (work, identities of servers already tried) by ticket.
    recent_starts : (time, service, rank) of the starts in the rate window.
    latest_ms : the latest useful start of waiting requests by ticket, for those that
        may be refused before it.
    estimates : `waits.Estimates`, the demand from which waits are estimated.
    rank_arrivals_ms : the last arrival of each rank, by service.
    rank_shares : `shares.RankShares` by service.
    service_times_ms : moving average of how long requests occupy capacity, by service.
    usual_token_ms : moving average of the time for each output token at a host factor
        of 1, by service.
    gateway_count : how many gateways send work to the same servers.
    wants : the ranks of the works that would go to a limited server if there were a
        permit, by server.
    wanted : the servers that the last work would have gone to.
    rests : `rests.Rests`, the servers that want no requests from this gateway.
    departures : `departures.Departures`, the servers that leave.
    rng : `random.Random`, which draws among servers that are equally good.
    zones : `zones.Zones`, or None if distances only add constants to scores.
    is_held : whether the last work waits although a server elsewhere has room.
    """

    def __init__(self, node, regions):
        self.node = node
        self.regions = regions
        self.servers = {}
        self.engines = {}
        self.peer_loads = {}
        self.waiting = {}
        self.ticket_numbers = itertools.count()
        self.recent_starts = collections.deque()
        self.latest_ms = {}
        self.estimates = waits.Estimates()
        self.rank_arrivals_ms = {}
        self.rank_shares = collections.defaultdict(shares.RankShares)
        self.service_times_ms = {}
        self.usual_token_ms = {}
        self.gateway_count = 1
        self.wants = {}
        self.wanted = []
        self.rests = rests.Rests()
        self.departures = departures.Departures()
        self.rng = random.Random()
        self.zones = None
        self.is_held = False

    # Server state.

    def configure(self, services):
        """Set the services from a catalog."""
        self.engines = {each.name: each.engine for each in services}
        for server in self.servers.values():
            server.capacity = self.find_capacity(server.announcement)

    def put_server(self, announcement, silent):
        """Add, update or remove a server as control hosts report it.

        A server with a new start time replaces the old entry, so that a restarted
        server has no history.
        """
        server = self.servers.get(announcement.identity)
        if announcement.phase is servers.ServerPhase.GONE:
            self.remove_server(announcement.identity)
            return
        if server is None or server.announcement.born_ms != announcement.born_ms:
            self.remove_server(announcement.identity)
            server = self.servers[announcement.identity] = Server(announcement)
        server.announcement = announcement
        server.silent = silent
        server.capacity = self.find_capacity(announcement)

    def born_ms(self, identity):
        """Return when a server's present start began, or 0 if it is not known."""
        server = self.servers.get(identity)
        return server.announcement.born_ms if server else 0

    def version(self, identity):
        """Return the software version of a server, or "" if it is not known."""
        server = self.servers.get(identity)
        return server.announcement.version if server else ""

    def record_heard(self, identity, now_ms):
        """Record that something was received from a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.heard_ms = now_ms

    def remove_server(self, identity):
        """Remove a server, and the load that other gateways have told of it."""
        if self.servers.pop(identity, None) is not None:
            for load in self.peer_loads.values():
                load.shares.pop(identity, None)

    def update_load_shares(self, name, shares, now_ms, rows=None):
        """Replace the load shares of another gateway.

        Parameters
        ----------
        name : the other gateway.
        shares : `LoadShare` by server identity; on servers that are not listed the
            gateway runs nothing.
        rows : its `waits.Row` by service and rank, or None if it has told none.
        """
        self.drop_load_shares(name)
        known = {
            identity: share
            for identity, share in shares.items()
            if identity in self.servers
        }
        for identity, share in known.items():
            self.servers[identity].others.add(share)
        self.peer_loads[name] = PeerLoad(known, now_ms)
        if rows is not None:
            self.estimates.update(name, rows)

    def drop_load_shares(self, name):
        """Forget the load shares of another gateway."""
        load = self.peer_loads.pop(name, None)
        self.estimates.drop(name)
        for identity, share in load.shares.items() if load else ():
            self.servers[identity].others.add(share, -1)

    def drop_expired_load_shares(self, now_ms):
        """Forget the load shares of the gateways that have not been heard of lately."""
        while self.peer_loads:
            name, load = next(iter(self.peer_loads.items()))
            if now_ms - load.received_ms <= LOAD_SHARE_EXPIRY_MS:
                return
            self.drop_load_shares(name)

    def own_load_shares(self):
        """Return this gateway's `LoadShare` of each server on which it runs work."""
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

    def count_running(self):
        """Return how many requests this gateway runs, by service and rank."""
        return collections.Counter(
            (work.service, work.rank)
            for server in self.servers.values()
            for work in server.running.values()
        )

    def count_waiting(self):
        """Return how many requests wait here, by service and rank."""
        return collections.Counter(
            (work.service, work.rank) for work, _ in self.waiting.values()
        )

    def own_rows(self, now_ms):
        """Return this gateway's `waits.Row` by service and rank."""
        return self.estimates.rows(self.count_waiting(), self.count_running(), now_ms)

    # Measurements from calls.

    def add_running(self, identity, work):
        """Record that a request is dispatched to a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.running[work.identity] = work
            server.awaiting_first_answer[work.identity] = work

    def record_report(self, start, report, reported_ms, is_own=True):
        """Record the `servers.LoadReport` of one start of a server.

        `is_own` is whether it came in an answer to this gateway.
        """
        server = self.servers.get(start[0])
        if server is not None and server.start == start:
            server.host.record(report, reported_ms, server.total_running, is_own)

    def own_reports(self, now_ms):
        """Return the `loadreports.SharedReport`s to send to other gateways."""
        return loadreports.reports_to_share(self.servers.values(), now_ms)

    def record_first_answer(self, identity, work, elapsed_ms, expected_ms):
        """Record that a server has begun to answer, and update its slowdown.

        The measured ratio is limited to the range from 0.2 to 20.
        """
        server = self.servers.get(identity)
        if server is None:
            return
        server.awaiting_first_answer.pop(work.identity, None)
        ratio = min(20.0, max(0.2, elapsed_ms / max(1.0, expected_ms)))
        server.slowdown += SPEED_SMOOTHING_FACTOR * (ratio - server.slowdown)
        server.host.record_first_answer(elapsed_ms, expected_ms)

    def record_token_time(self, identity, token_ms):
        """Record how long each token of an answer took at a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.token_ms += SPEED_SMOOTHING_FACTOR * (token_ms - server.token_ms)
            server.host.record_token_time(token_ms)
            self.record_usual_token_time(server, token_ms)

    def record_usual_token_time(self, server, token_ms):
        """Update the usual time per token of a service, which tells its host factors.

        One gateway gets few answers of each server, and many of a service.
        """
        usual_ms = server.host.usual_time(token_ms)
        if usual_ms is not None:
            service = server.announcement.service
            previous_ms = self.usual_token_ms.setdefault(service, usual_ms)
            self.usual_token_ms[service] += SPEED_SMOOTHING_FACTOR * (
                usual_ms - previous_ms
            )

    def token_ms(self, server, now_ms):
        """Return the expected time for each output token at a server."""
        usual_ms = self.usual_token_ms.get(server.announcement.service)
        return server.host.token_ms(server.token_ms, now_ms, usual_ms)

    def remove_running(self, identity, work):
        """Record that a request has left a server."""
        server = self.servers.get(identity)
        if server is not None:
            server.running.pop(work.identity, None)
            server.awaiting_first_answer.pop(work.identity, None)

    def succeeded(self, identity):
        """Record a successful answer of a server and reset its back-off."""
        server = self.servers.get(identity)
        if server is not None:
            server.failure_rate -= FAILURE_RATE_SMOOTHING_FACTOR * server.failure_rate
            server.backoff_ms = 0

    def failed(self, identity, now_ms, with_backoff):
        """Record a failure of a server; `with_backoff` also starts a back-off."""
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

    # Server selection.

    def choose(self, work, tried, now_ms, openings=None, is_owed=False):
        """Return the `Choice` for a request, or None if no server has capacity.

        Parameters
        ----------
        tried : the identities of servers that must not be chosen again.
        openings : the `Openings`, if they have been found already.
        is_owed : whether its rank is owed the request, so that it may use the capacity
            that is reserved for higher ranks.
        """
        openings = openings or self.find_openings(now_ms)
        candidates = []
        without_permit = []
        reason = ""
        self.wanted = []
        self.is_held = False
        if not is_owed and not self.has_capacity_for_rank(work, now_ms, openings):
            return None
        for identity, server in openings.servers.items():
            if identity in tried or not work.may_run_on(server):
                continue
            score = self.score(server, work, now_ms)
            if server.is_limited and not server.has_permit(now_ms):
                without_permit.append((score, identity))
                continue
            candidates.append(loadreports.Candidate(score, identity, server))
        if self.zones is None:
            best = loadreports.select(candidates, now_ms, self.rng)
        else:
            found = [(each.score_ms, each.identity, each.server) for each in candidates]
            selection = self.zones.select(found, work, tried, now_ms, self, openings)
            best, reason = None, selection.reason
            self.is_held = selection.best is None and bool(found)
            if selection.best is not None:
                best = loadreports.Candidate(*selection.best)
        self.wanted = [
            identity
            for score, identity in without_permit
            if best is None or score < best.score_ms
        ]
        self.add_wants(self.wanted, work.rank)
        if best is None:
            return None
        server = best.server
        own_running = len(server.running)
        first_answer_ms = self.expected_first_answer_ms(server, work)
        host_factor = server.host.factor(now_ms)
        return Choice(
            best.identity,
            best.score_ms,
            first_answer_ms,
            own_running,
            server.others.running,
            len(candidates),
            work.software,
            server.permits[0] if server.is_limited else None,
            host_factor,
            None if host_factor is None else server.host.age_ms(now_ms),
            self.distance(server.announcement.data_centre),
            reason,
        )

    def find_openings(self, now_ms):
        """Return the `Openings` at a time."""
        self.drop_expired_load_shares(now_ms)
        return Openings(self, now_ms)

    def add_wants(self, identities, rank):
        """Record that a work of a rank would go to one of some limited servers."""
        for identity in identities:
            self.wants.setdefault(identity, []).append(rank)

    def take_wants(self):
        """Return the wants for permits since the last time, and forget them."""
        wants, self.wants = self.wants, {}
        return wants

    def record_arrival(self, work):
        """Record that a rank has requested a service."""
        self.rank_arrivals_ms.setdefault(work.service, {})[work.rank] = work.arrived_ms
        self.rank_shares[work.service].record_arrival(work.rank, work.arrived_ms)
        self.estimates.record_arrival(work, work.arrived_ms, self.gateway_count)

    def has_capacity_for_rank(self, work, now_ms, openings):
        """Return whether capacity is left for a request of its rank.

        The lower a rank, the more capacity it must leave to the ranks above it, so
        that long requests of low rank do not occupy all of it when higher ranks
        arrive. The fraction grows with the square of the depth, so the middle ranks
        leave little. Nothing is reserved for ranks without recent requests.
        """
        fraction = self.usable_fraction(work.service, work.rank, now_ms)
        if fraction == 1.0:
            return True
        capacity, running = openings.load(work)
        return running < fraction * capacity

    def usable_fraction(self, service, rank, now_ms):
        """Return the fraction of a service's capacity that a rank may use."""
        depth = self.depth(service, rank, now_ms)
        return 1.0 - RESERVED_CAPACITY_FRACTION * depth * depth

    def depth(self, service, rank, now_ms):
        """Return how low a rank is among the active ones, 0 (highest) to 1 (lowest)."""
        active_ranks = {
            other
            for other, arrived_ms in self.rank_arrivals_ms.get(service, {}).items()
            if now_ms - arrived_ms <= RANK_ACTIVITY_WINDOW_MS
        }
        higher_ranks = sum(other < rank for other in active_ranks)
        # The rank itself counts as active while a request of it waits.
        return higher_ranks / max(1, len(active_ranks | {rank}) - 1)

    def usable_capacity(self, work, now_ms):
        """Return the capacity of the servers that may run a work now, and its use.

        Both count requests, over all gateways.
        """
        return self.sum_capacity(
            work,
            [
                server
                for server in self.servers.values()
                if self.is_accepting(server, now_ms)
            ],
        )

    def sum_capacity(self, work, accepting):
        """Return what `usable_capacity` does, given the servers that accept works."""
        total_capacity = 0.0
        running = 0
        for server in accepting:
            if work.may_run_on(server):
                total_capacity += self.usable_part(server, work.service)
                running += self.total_running(server)
        return total_capacity, running

    def usable_part(self, server, service):
        """Return how many requests a server runs at once, within its limit."""
        capacity = server.capacity
        if not server.is_limited:
            return capacity
        rate_per_s = max(limits.MIN_RATE_PER_S, server.limit.per_s)
        return min(capacity, rate_per_s * self.service_time_ms(service) / 1000)

    def is_accepting(self, server, now_ms):
        """Return whether a server accepts new works now, whatever they are."""
        if now_ms < server.backoff_until_ms or not self.is_ready(server):
            return False
        is_resting = self.rests.known and (
            self.rests.until_ms(server.start, now_ms) is not None
        )
        return not is_resting

    def is_ready(self, server):
        """Return whether a server takes new requests, now or after its rest."""
        if server.announcement.phase is not servers.ServerPhase.READY:
            return False
        return not (self.departures.known and server.start in self.departures)

    def has_servers(self, work, tried=()):
        """Return whether any server is known to be ready that may run a work.

        `tried` are the identities of servers that must not be chosen again.
        """
        return any(
            identity not in tried and self.is_ready(server) and work.may_run_on(server)
            for identity, server in self.servers.items()
        )

    def servers_left_out(self, work):
        """Return the servers of a work's service that its software excludes."""
        return [
            server
            for server in self.servers.values()
            if server.announcement.service == work.service
            and not work.may_run_on(server)
        ]

    def total_running(self, server):
        """Return how many requests all gateways run on a server."""
        return server.total_running

    def find_capacity(self, announcement):
        """Return how many requests may be at a server at the same time."""
        if self.engines.get(announcement.service) is not None:
            return announcement.slots + ENGINE_QUEUE_REQUESTS
        return announcement.slots * PLAIN_REQUESTS_PER_SLOT

    def has_capacity(self, server, now_ms):
        """Return whether one more request may be dispatched to a server.

        An engine prefills one prompt after the other. Prompts in its queue can no
        longer be reordered, so a prompt is sent only while the backlog is short.
        """
        if self.total_running(server) >= server.capacity:
            return False
        if self.rests.known and self.rests.is_tried(server.start, now_ms):
            return False
        backlog_ms = self.pending_prefill_tokens(server) / DEFAULT_PREFILL_TOKENS_PER_MS
        slowdown = server.host.slowdown(server.slowdown, now_ms)
        return backlog_ms * slowdown <= MAX_PREFILL_BACKLOG_MS

    def pending_prefill_tokens(self, server):
        """Return the prompt tokens that a server has yet to prefill."""
        if not server.awaiting_first_answer:
            return server.others.input_tokens
        own_tokens = sum(
            work.input_tokens for work in server.awaiting_first_answer.values()
        )
        return own_tokens + server.others.input_tokens

    def score(self, server, work, now_ms):
        """Return the expected delay of a first answer plus the network cost, in ms.

        The delay is scaled by the host factor that the server tells, or else by the
        measured slowdown, and by a factor of 1 to 5 for the failure rate; a silent
        server is penalised like one in another region.
        """
        slowdown = server.host.slowdown(server.slowdown, now_ms)
        delay_ms = self.expected_first_answer_ms(server, work) * slowdown
        delay_ms += self.deadline_risk_ms(server, work, now_ms + delay_ms)
        if server.silent:
            delay_ms += OTHER_REGION_COST_MS
        delay_ms *= 1.0 + 4.0 * server.failure_rate
        return delay_ms + self.price_ms(server.announcement.data_centre, work)

    def deadline_risk_ms(self, server, work, decode_start_ms):
        """Return what the length of an answer adds to a server's score, in ms.

        It is the penalty times the chance that the answer misses the deadline, as its
        expected length is an estimate. Long answers therefore go to fast servers, which
        short ones leave to them, and a server that would miss the deadline ranks behind
        all others.
        """
        token_ms = self.token_ms(server, decode_start_ms)
        decode_ms = work.output_tokens * token_ms
        remaining_ms = max(1.0, work.caller_deadline_ms - decode_start_ms)
        if decode_ms > remaining_ms:
            return MISSED_DEADLINE_PENALTY_MS
        return MISSED_DEADLINE_PENALTY_MS * miss_chance(decode_ms / remaining_ms)

    def expected_first_answer_ms(self, server, work):
        """Return how long a first answer takes under a server's present load.

        This assumes the default speed; `score` applies the server's slowdown.
        """
        running = self.total_running(server)
        pending_tokens = self.pending_prefill_tokens(server)
        return (
            self.prefill_time_ms(work, pending_tokens)
            + running * DEFAULT_OUTPUT_TOKEN_MS
        )

    def prefill_time_ms(self, work, pending_tokens):
        """Return how long a first answer takes at a server of default speed.

        It is a fixed 20 ms plus the prefill of the prompt and of `pending_tokens`, the
        prompt tokens that the server prefills before it.
        """
        return (
            20.0 + (work.input_tokens + pending_tokens) / DEFAULT_PREFILL_TOKENS_PER_MS
        )

    def price_ms(self, data_centre, work):
        """Return what the distance to a data centre adds to a score, in ms."""
        cost_ms = self.network_cost_ms(data_centre)
        if self.zones is None:
            return cost_ms
        return self.zones.price_ms(data_centre, cost_ms, work)

    def distance(self, data_centre):
        """Return the `zones.Distance` of a data centre."""
        return zones.find_distance(self.node, self.regions, data_centre)

    def network_cost_ms(self, data_centre):
        """Return the cost of the network path to a data centre, in ms."""
        if data_centre == self.node.data_centre:
            return SAME_DATA_CENTRE_COST_MS
        if self.regions.get(data_centre) == self.node.region:
            return SAME_REGION_COST_MS
        return OTHER_REGION_COST_MS

    # Queue.

    def enqueue(self, work, tried, latest_ms=None):
        """Add a request to the queue; return its ticket.

        `latest_ms` is its latest useful start if it may be refused before that.
        """
        ticket = next(self.ticket_numbers)
        if latest_ms is not None:
            self.latest_ms[ticket] = latest_ms
        self.waiting[ticket] = (work, tried)
        return ticket

    def remove_waiting(self, ticket):
        """Remove a request from the queue."""
        self.waiting.pop(ticket, None)
        self.latest_ms.pop(ticket, None)

    def find_unserved(self, now_ms):
        """Return the tickets of waiting requests that will not be served in time."""
        if not self.latest_ms:
            return []
        return waits.Forecast(self, now_ms).find_unserved()

    def dispatch_waiting(self, now_ms):
        """Dispatch waiting requests to servers; return (ticket, choice) pairs.

        Dispatched work leaves the queue and counts as running on the chosen server.
        When a request without earlier attempts finds no server, all further requests
        of its service, rank, software and rule keep waiting. Requests that their rank
        is owed go first, and may use the capacity that is reserved for higher ranks.
        """
        dispatches = []
        blocked = {}
        openings = self.find_openings(now_ms)
        waiting = self.waiting_in_order(now_ms) if openings.servers else ()
        owed, others = self.split_owed(waiting)
        owed_tickets = {ticket for ticket, _ in owed}
        for ticket, (work, tried) in (*owed, *others):
            group = work.service, work.rank, work.software, work.rule
            if group in blocked:
                self.add_wants(blocked[group], work.rank)
                continue
            is_owed = ticket in owed_tickets
            choice = self.choose(work, tried, now_ms, openings, is_owed)
            if choice is None:
                # Others of its group may leave the data centre before a held request.
                if not tried and not self.is_held:
                    blocked[group] = self.wanted
                continue
            self.remove_waiting(ticket)
            self.add_running(choice.identity, work)
            self.rests.record_sent(self.servers[choice.identity].start, now_ms)
            openings.record_start(choice.identity)
            if choice.permit is not None:
                self.servers[choice.identity].permits.popleft()
            self.record_start(work, now_ms)
            if not tried:
                self.rank_shares[work.service].record_start(work.rank, now_ms)
            dispatches.append((ticket, choice))
        return dispatches

    def split_owed(self, waiting):
        """Return the waiting requests that their ranks are owed, and the others."""
        owed, others = [], []
        left = {}
        for ticket, (work, tried) in waiting:
            key = work.service, work.rank
            if key not in left:
                left[key] = self.rank_shares[work.service].owed(work.rank)
            left[key] -= 1
            chosen = owed if left[key] >= 0 else others
            chosen.append((ticket, (work, tried)))
        return owed, others

    def waiting_in_order(self, now_ms):
        """Return the waiting requests in the order in which they are dispatched.

        Within a rank, requests that can still meet their goal go first, then the older
        ones.
        """

        def sort_key(item):
            ticket, (work, _) = item
            is_late = now_ms + self.prefill_time_ms(work, 0) > work.first_answer_due_ms
            return (work.rank, is_late, ticket)

        return sorted(self.waiting.items(), key=sort_key)

    def expected_wait_ms(self, work, now_ms):
        """Return how long a request would wait that arrives now; see `waits`."""
        rest_ms = self.rest_wait_ms(work, now_ms)
        if self.is_owed_next(work):
            return rest_ms
        forecast = waits.Forecast(self, now_ms + rest_ms)
        return rest_ms + forecast.arrival_wait_ms(work)

    def explain_wait(self, work, now_ms):
        """Return what decides `expected_wait_ms`, as fields of a log line."""
        forecast = waits.Forecast(self, now_ms)
        return forecast.explain(work) if forecast.is_known(work) else {}

    def record_start(self, work, now_ms):
        """Record a start, from which the start rate of a service is measured."""
        self.recent_starts.append((now_ms, work.service, work.rank))
        oldest_ms = now_ms - waits.START_RATE_WINDOW_MS
        while self.recent_starts and self.recent_starts[0][0] < oldest_ms:
            self.recent_starts.popleft()

    def count_starts_above(self, work, now_ms):
        """Return how many works above the rank of one were started lately."""
        return sum(
            1
            for started_ms, service, rank in self.recent_starts
            if service == work.service
            and rank < work.rank
            and started_ms >= now_ms - waits.START_RATE_WINDOW_MS
        )

    def knows_capacity(self, work, now_ms):
        """Return whether waits are estimated from the capacity of a work's servers."""
        return waits.Forecast(self, now_ms).is_known(work)

    def room_wait_ms(self, work, now_ms):
        """Return when there will be room for a request that comes again, in ms."""
        rest_ms = self.rest_wait_ms(work, now_ms)
        return rest_ms + waits.Forecast(self, now_ms + rest_ms).room_wait_ms(work)

    def is_owed_next(self, work):
        """Return whether a rank is owed more requests than those of it that wait."""
        same_rank = sum(
            (other.service, other.rank) == (work.service, work.rank)
            for other, _ in self.waiting.values()
        )
        return same_rank < self.rank_shares[work.service].owed(work.rank)

    def rest_wait_ms(self, work, now_ms):
        """Return how long all servers that may run a work rest; 0 if one does not."""
        if not self.rests.known:
            return 0.0
        ends = [
            self.rests.until_ms(server.start, now_ms)
            for server in self.servers.values()
            if self.is_ready(server) and work.may_run_on(server)
        ]
        if not ends or None in ends:
            return 0.0
        return min(ends) - now_ms

    def compete(self, work, other):
        """Return whether a server may run either of two works of a service."""
        if work.rule is not None and other.rule is not None:
            if work.rule.excludes_servers_of(other.rule):
                return False
        is_bound = work.software is not None and other.software is not None
        return not is_bound or work.software == other.software

    def service_time_ms(self, service):
        """Return how long a request of a service occupies capacity, in ms."""
        return self.service_times_ms.get(service, DEFAULT_SERVICE_TIME_MS)

    def expected_answer_ms(self, work, now_ms):
        """Return how long a whole answer takes, in ms, at the fastest ready server.

        Other requests at the server are not counted.
        """
        if self.engines.get(work.service) is None:
            return self.service_time_ms(work.service)
        token_ms = min(
            (
                self.token_ms(server, now_ms)
                for server in self.servers.values()
                if self.is_ready(server) and work.may_run_on(server)
            ),
            default=DEFAULT_OUTPUT_TOKEN_MS,
        )
        return self.prefill_time_ms(work, 0) + work.output_tokens * token_ms

    def record_service_time(self, service, observed_ms, work=None):
        """Record how long a request has occupied capacity.

        `work` is given if it ran to its end, so that the time tells how long such works
        take.
        """
        if work is not None:
            self.estimates.record_time(work, observed_ms)
        previous_ms = self.service_time_ms(service)
        self.service_times_ms[service] = previous_ms + SERVICE_TIME_SMOOTHING_FACTOR * (
            observed_ms - previous_ms
        )


def miss_chance(expected_fraction):
    """Return the chance that an answer takes longer than the time that is left.

    `expected_fraction` is the part of that time that it is expected to take.

    >>> round(miss_chance(1.0), 2), round(miss_chance(0.5), 2)
    (0.5, 0.08)
    """
    if expected_fraction <= 0.0:
        return 0.0
    deviations = math.log(expected_fraction) / LENGTH_ERROR_SIGMA
    return (1.0 + math.erf(deviations / math.sqrt(2))) / 2
