"""Estimates of how long requests wait at a gateway, by the demand of each rank.

A fluid model of each service, over all gateways. A request of a rank starts once the
work ahead of it has started: that of higher ranks, and the older work of its own rank.
Each work needs a place at a server for some time, and prefill; the slower of the two
decides. The places that a rank may use are available to it less those that the demand
of higher ranks takes, that is, their arrivals per second times their time at a server.

A request that misses its goal goes behind all of its rank that do not. It is therefore
served only by the capacity that the usual demand of its own rank leaves, too: bursts
end, so that a request with a long deadline is still served late after a burst.

Gateways tell each other `Row`s, a few numbers for each rank of a service. A gateway
that has told none is taken to be like those that are known.

>>> standing = Standing(usable=10.0, running=10, higher_running=0, prefill_speed=2.0)
>>> pace = standing.pace(own=Need(1000.0, 30.0), higher=Need())
>>> round(pace.wait_ms(ahead=Need(slot_ms=3000.0, prefill_ms=100.0)))
400
"""

import bisect
import collections
import dataclasses
import itertools
import math

# Time constant of the measured demand. Bursts last 2 to 10 s, so that it follows them,
# and covers some hundred requests over all gateways.
DEMAND_TIME_CONSTANT_MS = 3000.0
# Time constant of the usual demand of a rank, which is expected again after a burst.
USUAL_TIME_CONSTANT_MS = 20_000.0
# Lowest number of places, and of servers that prefill, that a wait is based on.
MIN_LEFT_PLACES = 0.05
# Where servers name limits: the lowest capacity that a wait is based on, and the
# fraction of it that is left to a rank at least.
MIN_CAPACITY = 0.01
MIN_LEFT_FRACTION = 0.1
# The rate of starts is measured over the last two seconds.
START_RATE_WINDOW_MS = 2000
# A rank of which this part of a decayed arrival is left has no demand to speak of.
MIN_COUNT = 0.02
# Prefill time and time for an output token that are assumed before a measurement; the
# time that a request occupies a place is this nominal time times a learned ratio.
NOMINAL_PREFILL_TOKENS_PER_MS = 30.0
NOMINAL_OUTPUT_TOKEN_MS = 5.0
# Fixed time of each request at an engine, and the time of one without tokens.
OVERHEAD_MS = 20.0
NOMINAL_PLAIN_MS = 300.0
# What is kept of the sums of a ratio at each new measurement, and the nominal time that
# a rank's sums begin with: few measurements say little, as estimates of lengths are off
# by half.
RATIO_DECAY = 0.97
PRIOR_NOMINAL_MS = 3000.0
# What is kept of the sums behind the mean need of a rank at each new work: some fifty
# works, however many gateways share the requests.
MEAN_NEED_DECAY = 0.98
# Works that need this many times the mean of their rank are of the next size.
SIZE_LIMITS = (1.0, 2.0)
SIZE_NAMES = ("small", "large", "largest")
# Rows in a gateway's state: the bound on what it adds to each datagram.
MAX_ROWS = 32
# A waiting request is refused when its estimate has been beyond its latest start for
# this many ticks in succession (of 50 ms), and by this factor. Two ticks are under an
# eighth of any goal in use, for which callers lose nothing by being held.
MIN_MISSES = 2
MISS_MARGIN = 1.15
# At its arrival, a request of the lowest rank that will miss its goal is admitted only
# if it would be served in time even if that took this many times as long: it depends on
# what arrives later, and a request that is held and then refused loses more than one
# that is refused at once. For ranks between, the factor grows with the square of their
# depth.
LATE_MARGIN = 5.0


@dataclasses.dataclass(frozen=True)
class Need:
    """What works need: time in a place and prefill time, in ms.

    As a demand, both are per ms: the places, and the servers that only prefill.
    """

    slot_ms: float = 0.0
    prefill_ms: float = 0.0

    def __add__(self, other):
        """Return the sum of two needs."""
        return Need(self.slot_ms + other.slot_ms, self.prefill_ms + other.prefill_ms)

    def times(self, factor):
        """Return the need of `factor` times the work."""
        return Need(self.slot_ms * factor, self.prefill_ms * factor)


@dataclasses.dataclass(frozen=True)
class Row:
    """What gateways tell of one rank of a service.

    `queued` counts requests that wait and `running` those at servers, `demand` is the
    `Need` that arrives per ms.
    """

    queued: float = 0.0
    running: float = 0.0
    demand: Need = Need()

    def plus(self, other, sign=1):
        """Return the sum with another row, or the difference with a `sign` of -1."""
        return Row(
            max(0.0, self.queued + sign * other.queued),
            max(0.0, self.running + sign * other.running),
            Need(
                max(0.0, self.demand.slot_ms + sign * other.demand.slot_ms),
                max(0.0, self.demand.prefill_ms + sign * other.demand.prefill_ms),
            ),
        )


@dataclasses.dataclass(frozen=True)
class Standing:
    """The capacity of a service as a rank sees it, over all gateways.

    `usable` are the places that the rank may use, `running` those that are taken, and
    `higher_running` of these those of higher ranks. `prefill_speed` is how many servers
    of nominal speed prefill as fast as all.
    """

    usable: float
    running: int
    higher_running: float
    prefill_speed: float

    def places_left(self, higher_places):
        """Return the mean number of places that higher ranks leave.

        The places that they take vary as the square root of their mean does (random
        arrivals), so that some are left at times even when the mean leaves none.
        """
        spread = math.sqrt(max(1.0, higher_places))
        deviations = (self.usable - higher_places) / spread
        density = math.exp(-deviations * deviations / 2) / math.sqrt(2 * math.pi)
        chance = (1.0 + math.erf(deviations / math.sqrt(2))) / 2
        return max(MIN_LEFT_PLACES, spread * (deviations * chance + density))

    def pace(self, own, higher):
        """Return the `Pace` of works of a rank.

        Parameters
        ----------
        own : the mean `Need` of the works.
        higher : the demand that goes before them, a `Need` per ms.
        """
        left = self.places_left(higher.slot_ms)
        lower = max(0.0, self.running - self.higher_running)
        # Places of this rank and lower ones that must come free before a work starts.
        excess = lower + 1.0 - left
        speed = max(MIN_LEFT_PLACES, self.prefill_speed - higher.prefill_ms)
        free_ms = (self.usable - self.running - 1.0) * own.slot_ms
        return Pace(excess * own.slot_ms, max(left, lower), speed, free_ms)


@dataclasses.dataclass(frozen=True)
class Pace:
    """How fast the work ahead of a rank starts.

    `excess_ms` is the time in places that is waited for before any of it starts (less
    than 0 if places are free), `places` how many places end, and `speed` how many
    servers prefill for it. Work of `free_ms` in places can start at this moment.
    """

    excess_ms: float
    places: float
    speed: float
    free_ms: float

    def wait_ms(self, ahead):
        """Return how long a work waits, in ms, with a `Need` ahead of it."""
        slots_ms = max(0.0, ahead.slot_ms + self.excess_ms) / self.places
        if ahead.slot_ms <= self.free_ms:
            slots_ms = 0.0
        return max(slots_ms, ahead.prefill_ms / self.speed)


@dataclasses.dataclass
class Flow:
    """The decayed arrivals of one rank since `since_ms`: their count and need."""

    since_ms: int
    updated_ms: int
    count: float = 0.0
    need: Need = Need()

    def decay(self, now_ms):
        """Let the sums decay up to a time."""
        elapsed_ms = max(0, now_ms - self.updated_ms)
        factor = math.exp(-elapsed_ms / DEMAND_TIME_CONSTANT_MS)
        self.updated_ms = max(now_ms, self.updated_ms)
        self.count *= factor
        self.need = self.need.times(factor)

    def record(self, need, now_ms):
        """Add an arrival."""
        self.decay(now_ms)
        self.count += 1.0
        self.need += need

    def demand(self, now_ms):
        """Return the need that arrives per ms, without bias by the sum's short past."""
        self.decay(now_ms)
        age_ms = max(1.0, now_ms - self.since_ms)
        # Before a second has passed, a single arrival would count as a high rate.
        seen = 1.0 - math.exp(-max(1000.0, age_ms) / DEMAND_TIME_CONSTANT_MS)
        return self.need.times(1.0 / (DEMAND_TIME_CONSTANT_MS * seen))


@dataclasses.dataclass
class MeanNeed:
    """The mean `Need` of the last works of a rank, without the newest one.

    The newest one is judged by the mean. If it were part of it, it would be judged by
    itself where one gateway gets few requests.

    >>> mean = MeanNeed()
    >>> for slot_ms in (1000.0, 1000.0, 9000.0):
    ...     mean.record(Need(slot_ms))
    >>> mean.value.slot_ms
    1000.0
    """

    count: float = 0.0
    total: Need = Need()
    newest: Need | None = None

    def record(self, need):
        """Add a work."""
        if self.newest is not None:
            self.count = self.count * MEAN_NEED_DECAY + 1.0
            self.total = self.total.times(MEAN_NEED_DECAY) + self.newest
        self.newest = need

    @property
    def value(self):
        """The mean, or the need of the only work so far."""
        return self.total.times(1.0 / self.count) if self.count else self.newest


class Estimates:
    """The demand by service and rank, and the waits that follow from it.

    Attributes
    ----------
    flows : the own `Flow` by (service, rank).
    means : the `MeanNeed` by (service, rank) and by service.
    times : decayed sums of the measured and the nominal time at a server, by (service,
        rank) and by service.
    told : the rows of each other gateway by its name; a row's key is (service, rank).
    totals : the sum of all of `told`, a `Row` by key.
    usual : the average demand of all gateways by key, and when it was updated.
    misses : for how many ticks the estimate of a waiting request was beyond its latest
        start, by ticket.
    """

    def __init__(self):
        self.flows = {}
        self.means = {}
        self.times = {}
        self.told = {}
        self.totals = {}
        self.usual = {}
        self.misses = collections.Counter()

    # Measurements.

    def need(self, work):
        """Return the expected `Need` of a work."""
        ratio = self.ratio(work.service, work.rank)
        prefill_ms = OVERHEAD_MS + work.input_tokens / NOMINAL_PREFILL_TOKENS_PER_MS
        return Need(nominal_ms(work) * ratio, prefill_ms if work.input_tokens else 0.0)

    def record_time(self, work, observed_ms):
        """Record how long a work has occupied its place at a server."""
        for key in ((work.service, work.rank), work.service):
            measured_ms, nominal = self.times.get(key, (0.0, 0.0))
            self.times[key] = (
                measured_ms * RATIO_DECAY + observed_ms,
                nominal * RATIO_DECAY + nominal_ms(work),
            )

    def ratio(self, service, rank):
        """Return the measured over the nominal time of a rank's works at a server."""
        measured_ms, nominal = self.times.get(service, (1.0, 1.0))
        usual = measured_ms / nominal
        measured_ms, nominal = self.times.get((service, rank), (0.0, 0.0))
        return (measured_ms + usual * PRIOR_NOMINAL_MS) / (nominal + PRIOR_NOMINAL_MS)

    def record_arrival(self, work, now_ms, gateway_count):
        """Record that a request has arrived here, one of some gateways."""
        key = work.service, work.rank
        if key not in self.flows:
            self.flows[key] = Flow(now_ms, now_ms)
        need = self.need(work)
        self.flows[key].record(need, now_ms)
        for each in (key, work.service):
            self.means.setdefault(each, MeanNeed()).record(need)
        self.update_usual(key, now_ms, gateway_count)

    def size_name(self, work):
        """Return the name of a work's size, relative to the mean of its rank."""
        mean = self.means.get((work.service, work.rank))
        if mean is None:
            return SIZE_NAMES[0]
        ratio = self.need(work).slot_ms / mean.value.slot_ms
        return SIZE_NAMES[bisect.bisect_right(SIZE_LIMITS, ratio)]

    def update_usual(self, key, now_ms, gateway_count):
        """Let the usual demand of a rank follow the present one."""
        demand = self.rank_demand(key, now_ms)
        demand = demand.times(self.others_scale(gateway_count))
        usual, updated_ms = self.usual.get(key, (demand, now_ms))
        elapsed_ms = max(0, now_ms - updated_ms)
        kept = math.exp(-elapsed_ms / USUAL_TIME_CONSTANT_MS)
        self.usual[key] = usual.times(kept) + demand.times(1.0 - kept), now_ms

    # Exchange with other gateways.

    def rows(self, queued, running, now_ms):
        """Return the own `Row` by key, at most `MAX_ROWS`, the most urgent first.

        `queued` and `running` count requests by service and rank.
        """
        keys = sorted(self.flows, key=lambda key: (key[1], key[0]))
        rows = {
            key: Row(queued[key], running[key], self.flows[key].demand(now_ms))
            for key in keys
            if queued[key] or running[key] or self.flows[key].count >= MIN_COUNT
        }
        return dict(itertools.islice(rows.items(), MAX_ROWS))

    def update(self, name, rows):
        """Replace the rows of another gateway."""
        self.drop(name)
        self.told[name] = rows
        for key, row in rows.items():
            self.totals[key] = self.totals.get(key, Row()).plus(row)

    def drop(self, name):
        """Forget the rows of another gateway."""
        for key, row in self.told.pop(name, {}).items():
            self.totals[key] = self.totals[key].plus(row, -1)
        if not self.told:
            self.totals.clear()

    # Estimates.

    def others_scale(self, gateway_count):
        """Return how many gateways each known one stands for, itself included."""
        return max(1.0, gateway_count / (1 + len(self.told)))

    def rank_demand(self, key, now_ms):
        """Return the `Need` per ms of a rank, over the gateways that are known."""
        told = self.totals.get(key, Row()).demand
        return told + self.flows[key].demand(now_ms) if key in self.flows else told

    def higher_demand(self, service, rank, gateway_count, now_ms):
        """Return the `Need` per ms of the ranks above one, over all gateways."""
        total = Need()
        for key in {*self.flows, *self.totals}:
            if key[0] == service and key[1] < rank:
                total += self.rank_demand(key, now_ms)
        return total.times(self.others_scale(gateway_count))

    def usual_demand(self, service, rank):
        """Return the usual `Need` per ms of a rank and those above it."""
        total = Need()
        for key, (usual, _) in self.usual.items():
            if key[0] == service and key[1] <= rank:
                total += usual
        return total

    def mean_need(self, key, default):
        """Return the mean `Need` of the requests of a rank.

        Of a rank that was never seen here it is that of all ranks of the service, and
        the default where there is none.
        """
        mean = self.means.get(key) or self.means.get(key[0])
        return mean.value if mean is not None else default

    def told_running(self, service, rank):
        """Return how many requests above a rank other gateways run."""
        return sum(
            row.running
            for key, row in self.totals.items()
            if key[0] == service and key[1] < rank
        )

    def told_queue(self, service, rank, default):
        """Return the `Need` queued elsewhere above a rank, and the count at it."""
        above, count = Need(), 0.0
        for key, row in self.totals.items():
            if key[0] != service or key[1] > rank:
                continue
            if key[1] == rank:
                count += row.queued
            else:
                above += self.mean_need(key, default).times(row.queued)
        return above, count


class Forecast:
    """The waits of requests at one moment; what they share is found once.

    Parameters
    ----------
    server_pool : `pool.Pool`.
    now_ms : the current time.
    """

    def __init__(self, server_pool, now_ms):
        self.pool = server_pool
        self.estimates = server_pool.estimates
        self.now_ms = now_ms
        self.cache = {}

    def shared(self, method, *arguments):
        """Return the result of a method, found once for the same arguments."""
        key = method, *arguments
        if key not in self.cache:
            self.cache[key] = getattr(self, method)(*arguments)
        return self.cache[key]

    def accepting(self):
        """Return the servers that accept new works."""
        return [
            server
            for server in self.pool.servers.values()
            if self.pool.is_accepting(server, self.now_ms)
        ]

    def capacity(self, service, software):
        """Return the places, those taken and the prefill speed of a service."""
        places, running, speed = 0.0, 0, 0.0
        for server in self.shared("accepting"):
            announcement = server.announcement
            is_usable = software is None or announcement.software == software
            if announcement.service == service and is_usable:
                places += self.pool.usable_part(server, service)
                running += self.pool.total_running(server)
                speed += 1.0 / server.slowdown
        return places, running, speed

    def standing(self, service, rank, software):
        """Return the `Standing` of a service for a rank."""
        places, running, speed = self.shared("capacity", service, software)
        usable = places * self.pool.usable_fraction(service, rank, self.now_ms)
        higher_running = self.estimates.told_running(service, rank)
        for key, count in self.shared("own_running").items():
            if key[0] == service and key[1] < rank:
                higher_running += count
        scale = self.estimates.others_scale(self.pool.gateway_count)
        return Standing(usable, running, min(running, higher_running * scale), speed)

    def own_running(self):
        """Return how many requests this gateway runs, by service and rank."""
        return self.pool.count_running()

    def higher_demand(self, service, rank):
        """Return the demand above a rank."""
        return self.estimates.higher_demand(
            service, rank, self.pool.gateway_count, self.now_ms
        )

    def own_ahead(self, work):
        """Return the `Need` of the own works that start before one that arrives now."""
        counts = collections.Counter(
            (other.service, other.rank)
            for other, _ in self.pool.waiting.values()
            if other.service == work.service
            and other.rank <= work.rank
            and self.pool.compete(other, work)
            and (other.rank < work.rank or not self.is_late(other))
        )
        total = Need()
        for key, count in counts.items():
            total += self.estimates.mean_need(key, self.estimates.need(work)).times(
                count
            )
        return total

    def is_late(self, work):
        """Return whether a work that starts now misses its goal."""
        return self.goal_left_ms(work) < 0

    def goal_left_ms(self, work):
        """Return how much longer a work may wait for its goal."""
        prefill_ms = self.pool.prefill_time_ms(work, 0)
        return work.first_answer_due_ms - prefill_ms - self.now_ms

    def arrival_wait_ms(self, work):
        """Return how long a work waits that arrives now."""
        if not self.is_known(work):
            return self.limited_wait_ms(work)
        own = self.own_ahead(work)
        above, told = self.told_ahead(work)
        ahead = own + above + told
        if ahead == Need():
            return 0.0
        depth = self.pool.depth(work.service, work.rank, self.now_ms)
        return self.wait_ms(work, ahead, 1.0 + (LATE_MARGIN - 1.0) * depth * depth)

    def room_wait_ms(self, work):
        """Return when there is room for a work that arrives then and not now, in ms.

        What waits now has started by then.
        """
        if not self.is_known(work):
            return self.limited_wait_ms(work)
        above, told = self.told_ahead(work)
        ahead = self.own_ahead(work) + above + told
        scale = self.estimates.others_scale(self.pool.gateway_count)
        return self.paces(work)[0].wait_ms(ahead.times(scale))

    def wait_ms(self, work, ahead, late_margin=1.0):
        """Return how long a work waits.

        Parameters
        ----------
        ahead : the `Need` queued before it.
        late_margin : factor of the wait from the goal on.
        """
        ahead = ahead.times(self.estimates.others_scale(self.pool.gateway_count))
        pace, late_pace = self.paces(work)
        wait_ms = pace.wait_ms(ahead)
        goal_left_ms = max(0.0, self.goal_left_ms(work))
        if wait_ms <= goal_left_ms:
            return wait_ms
        # From its goal on, the work is behind all of its rank that are not late.
        left_fraction = 1.0 - goal_left_ms / wait_ms
        late_ms = late_pace.wait_ms(ahead) * left_fraction
        return goal_left_ms + late_margin * late_ms

    def explain(self, work):
        """Return what decides how long a work waits, as fields of a log line."""
        key = work.service, work.rank
        standing = self.standing(*key, work.software)
        above, told = self.told_ahead(work)
        ahead = self.own_ahead(work) + above + told
        need = self.estimates.need(work)
        fields = {
            "usable_places": standing.usable,
            "running": standing.running,
            "higher_running": standing.higher_running,
            "higher_demand": self.higher_demand(*key).slot_ms,
            "need_ms": need.slot_ms,
            "mean_need_ms": self.estimates.mean_need(key, need).slot_ms,
            "ahead_ms": ahead.slot_ms,
            "goal_left_ms": self.goal_left_ms(work),
        }
        return {name: round(value) for name, value in fields.items()}

    def limited_wait_ms(self, work):
        """Return how long a work waits that arrives now, by the rate of starts.

        For services whose capacity in places is not known. Every other gateway is taken
        to have as many requests waiting as this one.
        """
        ahead = sum(
            other.service == work.service
            and other.rank <= work.rank
            and self.pool.compete(other, work)
            for other, _ in self.pool.waiting.values()
        )
        places, _, _ = self.shared("capacity", work.service, work.software)
        interval_ms = (
            self.pool.service_time_ms(work.service)
            * self.pool.gateway_count
            / max(MIN_CAPACITY, places)
        )
        higher_starts = self.pool.count_starts_above(work, self.now_ms)
        used_fraction = higher_starts * interval_ms / START_RATE_WINDOW_MS
        left_fraction = max(MIN_LEFT_FRACTION, 1.0 - used_fraction)
        return ahead * interval_ms / left_fraction

    def paces(self, work):
        """Return the `Pace` of a rank's works before and after their goal."""
        key = work.service, work.rank, work.software
        if key not in self.cache:
            service, rank, software = key
            estimates, standing = self.estimates, self.standing(*key)
            own = estimates.mean_need((service, rank), estimates.need(work))
            higher = self.higher_demand(service, rank)
            usual = estimates.usual_demand(service, rank)
            self.cache[key] = standing.pace(own, higher), standing.pace(own, usual)
        return self.cache[key]

    # Checks while requests wait.

    def find_unserved(self):
        """Return the tickets of waiting requests that are to be refused now.

        In the order in which they are dispatched, each is judged by the works before it
        that stay. So the last ones of a rank go, and only as many as do not fit.
        """
        ahead = collections.defaultdict(Need)
        counts = collections.Counter()
        unserved, misses = [], collections.Counter()
        for ticket, (work, _) in self.pool.waiting_in_order(self.now_ms):
            left_ms = self.pool.latest_ms.get(ticket, math.inf) - self.now_ms
            wait_ms = 0.0
            if left_ms < math.inf and self.is_known(work):
                wait_ms = self.queued_wait_ms(work, ahead[work.service], counts)
            if wait_ms > MISS_MARGIN * left_ms:
                misses[ticket] = self.estimates.misses[ticket] + 1
            if misses[ticket] >= MIN_MISSES:
                unserved.append(ticket)
                continue
            ahead[work.service] += self.estimates.need(work)
            counts[work.service, work.rank] += 1
        self.estimates.misses = +misses
        return unserved

    def is_known(self, work):
        """Return whether the capacity for a work is known.

        It is not while no server accepts works, as after a start, where servers name
        limits, at which permits decide, and where none of them reports a host factor:
        how fast such servers are is known only from own measurements.
        """
        return self.shared("is_service_known", work.service, work.software)

    def is_service_known(self, service, software):
        """Return whether the capacity of a service is known."""
        places, _, _ = self.shared("capacity", service, software)
        accepting = [
            server
            for server in self.shared("accepting")
            if server.announcement.service == service
        ]
        if places <= 0 or any(server.is_limited for server in accepting):
            return False
        return any(server.host.factor(self.now_ms) is not None for server in accepting)

    def queued_wait_ms(self, work, own_ahead, counts):
        """Return how long a work waits from now on.

        Parameters
        ----------
        own_ahead : the `Need` of the own works before it.
        counts : how many of these there are, by service and rank.
        """
        key = work.service, work.rank
        above, told = self.told_ahead(work)
        # Other gateways take turns with this one: as much of their queue is before a
        # work as of this one's.
        queued = self.shared("queued").get(key, 1)
        before = told.times(counts[key] / queued)
        return self.wait_ms(work, own_ahead + above + before)

    def told_ahead(self, work):
        """Return the `Need` queued elsewhere above a work's rank, and that at it."""
        key = "told", work.service, work.rank
        if key not in self.cache:
            default = self.estimates.need(work)
            above, count = self.estimates.told_queue(*key[1:], default)
            self.cache[key] = (
                above,
                self.estimates.mean_need(key[1:], default).times(count),
            )
        return self.cache[key]

    def queued(self):
        """Return how many requests wait here, by service and rank."""
        return self.pool.count_waiting()


def nominal_ms(work):
    """Return how long a work occupies a place, in ms, before the learned ratio."""
    if not work.input_tokens and not work.output_tokens:
        return NOMINAL_PLAIN_MS
    return (
        OVERHEAD_MS
        + work.input_tokens / NOMINAL_PREFILL_TOKENS_PER_MS
        + work.output_tokens * NOMINAL_OUTPUT_TOKEN_MS
    )
