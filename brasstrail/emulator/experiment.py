"""Simulates a load on emulated engines behind the pools of several gateways.

The simulation is event-driven in virtual time. It covers arrivals, engine steps,
network delays between gateways and engines, and the load shares that gateways exchange.
The pools are those of the product, so a change of policy is measured as it will run.

>>> outcome = simulate(1, load.KINDS, (load.Phase(500, 1.0),))
>>> 0 <= outcome.utility_fraction <= 1
True
"""

import dataclasses
import heapq
import itertools
import random

from brasstrail.coordination import pool
from brasstrail.core import catalog, servers
from brasstrail.emulator import engine, load
from brasstrail.settings import settings

DATA_CENTRES = ("east", "far", "west")
REGIONS = {"east": "one", "west": "one", "far": "two"}
# A slow moment of an engine: by how much its steps take longer, for how long, and the
# mean time between two of them. The last is assumed; the others are those of LOAD.md.
SLOW_MOMENT_FACTOR = 2.5
SLOW_MOMENT_MS = (1000.0, 2000.0)
SLOW_MOMENT_INTERVAL_MS = 15_000.0
# Time from a change of a gateway's load shares until they are sent; further changes
# in this time go into the same update.
LOAD_SHARE_DELAY_MS = 20.0
TICK_INTERVAL_MS = 50.0
# One-way delay by distance: 0 is the same data centre, 1 the same region, 2 another
# region.
NETWORK_DELAY_MS = {0: 0.4, 1: 1.4, 2: 30.0}
SERVICE = "llm"
# Callers that are refused lose nothing while they are held for up to this fraction of
# their goal.
FREE_HOLD_FRACTION = 1 / 8
# Callers try once more if Retry-After is at most this fraction of the time they have
# left.
MAX_RETRY_WAIT_FRACTION = 1 / 3
# Round trip of callers that try again at once.
CALLER_DELAY_MS = 10.0
# The size of a request in prompt tokens: an output token counts as this many.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10
# The ranges of size for which outcomes are told apart, as parts of a kind's requests.
SIZE_RANGES = {
    "smaller half": (0.0, 0.5),
    "next fifth": (0.5, 0.7),
    "fifth below the largest tenth": (0.7, 0.9),
    "largest tenth": (0.9, 1.0),
}
LARGEST = "largest tenth"


@dataclasses.dataclass(frozen=True)
class Setup:
    """The gateways and engines of a simulation.

    `slowdowns` has the `engine.EngineSpeed.slowdown` of each engine. `has_slow_moments`
    is whether each engine is slow for a second or two at times, and `reports_load`
    whether answers tell the load and the host factor of their engine. Refused callers
    try again `retries` times, each time at any gateway, after the time that the refusal
    names if `heeds_retry_after`, else at once.
    """

    gateway_count: int = 8
    slowdowns: tuple[float, ...] = (0.6, 1.7, 1.7, 0.6, 1.7)
    speed: engine.EngineSpeed = engine.EngineSpeed()
    has_slow_moments: bool = False
    reports_load: bool = False
    retries: int = 0
    heeds_retry_after: bool = True


# The engines of the two deployments in docs/design/LOAD.md. They have fewer gateways
# than there, as the time of a run grows with the square of that number.
SETUP_K = Setup(
    slowdowns=(0.6, 1.7, 1.7) * 6 + (0.6, 1.7),
    speed=engine.EngineSpeed(7, 6.12, prefill_tokens_per_ms=32.4),
    has_slow_moments=True,
    reports_load=True,
)
SETUP_T = Setup(
    slowdowns=(0.6, 1.7, 1.7) * 7 + (0.6,),
    speed=engine.EngineSpeed(6, 5.47, prefill_tokens_per_ms=38.7),
    has_slow_moments=True,
    reports_load=True,
)


@dataclasses.dataclass
class RequestResult:
    """Times and outcome of one request.

    Times are in milliseconds of virtual time; `dispatched_ms`, `first_event_ms` and
    `last_event_ms` are points in time at the gateway.
    `predicted_first_answer_ms` is the pool's prediction of the time from dispatch to
    the first event, `predicted_wait_ms` the one of the wait of the last attempt, which
    began at `attempted_ms`. `held_ms` is how long attempts were held that ended
    refused, and `attempts` how many were made. `server` is the engine that it was
    dispatched to, and `is_cut` whether the caller left before the end of the answer.
    """

    arrival: load.Arrival
    dispatched_ms: float | None = None
    predicted_first_answer_ms: float = 0.0
    first_event_ms: float | None = None
    last_event_ms: float | None = None
    longest_pause_ms: float = 0.0
    is_refused: bool = False
    is_complete: bool = False
    predicted_wait_ms: float = 0.0
    attempted_ms: float = 0.0
    held_ms: float = 0.0
    attempts: int = 0
    server: str = ""
    is_cut: bool = False

    @property
    def size(self):
        """The size of the request in prompt tokens."""
        output_tokens = self.arrival.output_tokens
        return (
            self.arrival.prompt_tokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * output_tokens
        )

    @property
    def utility(self):
        """The utility of the answer; 0 for an incomplete one."""
        kind = self.arrival.kind
        if not self.is_complete:
            return 0.0
        on_time = self.first_event_ms - self.arrival.at_ms <= kind.goal_ms
        if on_time and self.longest_pause_ms <= kind.max_pause_ms:
            return kind.on_time_utility
        return kind.late_utility


@dataclasses.dataclass(frozen=True)
class SizeOutcome:
    """Counts of the requests of a kind in a range of sizes.

    `served` are those with a complete answer, `cut` those whose callers left after the
    request was dispatched.
    """

    request_count: int
    served: int
    refused: int
    cut: int

    def __add__(self, other):
        """Return the sum of two outcomes."""
        return SizeOutcome(
            self.request_count + other.request_count,
            self.served + other.served,
            self.refused + other.refused,
            self.cut + other.cut,
        )


@dataclasses.dataclass(frozen=True)
class KindOutcome:
    """Counts of the requests of a kind, and the fraction of their utility achieved.

    `mean_held_ms` is how long refused requests were held on average, and `held_long`
    how many of them were held for longer than `FREE_HOLD_FRACTION` of their goal.
    `wait_error_ms` is the mean difference of the predicted and the actual wait of those
    that were dispatched. `sizes` has the `SizeOutcome` by name of `SIZE_RANGES`.
    """

    name: str
    request_count: int
    on_time: int
    late: int
    refused: int
    utility_fraction: float
    mean_held_ms: float = 0.0
    held_long: int = 0
    wait_error_ms: float = 0.0
    sizes: dict = dataclasses.field(default_factory=dict)

    @property
    def all_sizes(self):
        """The `SizeOutcome` of all requests of the kind."""
        return sum(self.sizes.values(), SizeOutcome(0, 0, 0, 0))


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a simulation.

    `utility_fraction` is the achieved fraction of the utility of all requests,
    `worst_windows_utility_fraction` the mean of this fraction over the two worst
    windows of two seconds, by time of arrival.
    """

    utility_fraction: float
    worst_windows_utility_fraction: float
    kinds: tuple[KindOutcome, ...]


class Simulation:
    """One simulation run.

    Parameters
    ----------
    rng : a `random.Random`, the source of all random draws.
    kinds, phases : the load.
    make_pool : returns the pool of a gateway, from its `settings.Node` and the regions.
    setup : `Setup`.
    """

    def __init__(self, rng, kinds, phases, make_pool, setup=Setup()):
        self.rng = rng
        self.setup = setup
        self.now_ms = 0.0
        self.event_numbers = itertools.count()
        self.events = []
        self.results = {}
        self.engines = {}
        self.engine_data_centres = {}
        self.active_engines = set()
        self.arrivals_by_ticket = {}
        self.gateways = []
        self.pending_load_share_sends = set()
        self.kinds = kinds
        self.make_gateways(make_pool)
        self.make_engines()
        for arrival in load.make_arrivals(rng, kinds, phases, setup.gateway_count):
            self.results[arrival.identity] = RequestResult(arrival)
            self.schedule(arrival.at_ms, self.handle_arrival, arrival)
            deadline_ms = arrival.at_ms + arrival.kind.deadline_ms
            self.schedule(deadline_ms, self.handle_deadline, arrival.identity)
        self.end_ms = sum(phase.duration_ms for phase in phases) + 15_000
        self.schedule(TICK_INTERVAL_MS, self.tick)
        if setup.has_slow_moments:
            for identity in self.engines:
                self.schedule_slow_moments(rng, identity)

    def make_gateways(self, make_pool):
        """Create the pools of the gateways, spread over the data centres."""
        for number in range(self.setup.gateway_count):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            node = settings.Node(
                f"g{number}", ("gateway",), REGIONS[data_centre], data_centre
            )
            gateway = make_pool(node, REGIONS)
            gateway.gateway_count = self.setup.gateway_count
            gateway.rng = random.Random(number)
            self.gateways.append(gateway)

    def make_engines(self):
        """Create the engines and announce them to all gateways."""
        for number, slowdown in enumerate(self.setup.slowdowns):
            identity = f"s{number}"
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            speed = dataclasses.replace(self.setup.speed, slowdown=slowdown)
            self.engines[identity] = engine.Engine(speed)
            self.engine_data_centres[identity] = data_centre
            announcement = servers.Announcement(
                identity,
                SERVICE,
                f"{identity}:1",
                data_centre,
                servers.ServerPhase.READY,
                1,
                1,
                speed.slots,
            )
            service = catalog.Service(SERVICE, 100, "", catalog.Engine(5, 10**6))
            for gateway in self.gateways:
                gateway.configure((service,))
                gateway.put_server(announcement, False)

    def schedule_slow_moments(self, rng, identity):
        """Schedule all slow moments of an engine."""
        begin_ms = rng.expovariate(1 / SLOW_MOMENT_INTERVAL_MS)
        while begin_ms < self.end_ms:
            end_ms = begin_ms + rng.uniform(*SLOW_MOMENT_MS)
            self.schedule(begin_ms, self.set_slowdown, identity, SLOW_MOMENT_FACTOR)
            self.schedule(end_ms, self.set_slowdown, identity, 1.0)
            begin_ms = end_ms + rng.expovariate(1 / SLOW_MOMENT_INTERVAL_MS)

    def set_slowdown(self, identity, factor):
        """Begin or end a slow moment of an engine."""
        self.engines[identity].momentary_slowdown = factor

    def schedule(self, when_ms, action, *arguments):
        """Schedule a call of `action` at a point in virtual time."""
        item = (when_ms, next(self.event_numbers), action, arguments)
        heapq.heappush(self.events, item)

    def run(self):
        """Process events until none is left or the end time is reached."""
        while self.events:
            when_ms, _, action, arguments = heapq.heappop(self.events)
            if when_ms > self.end_ms:
                return
            self.now_ms = when_ms
            action(*arguments)

    # Gateways.

    def handle_arrival(self, arrival):
        """Enqueue a request at its gateway, or refuse it if it would start too late.

        It must start early enough to be prefilled before the caller's deadline.
        """
        gateway = self.gateways[arrival.gateway]
        work = self.make_work(arrival)
        now_ms = int(self.now_ms)
        gateway.record_arrival(work)
        service_ms = 30 + arrival.prompt_tokens / pool.DEFAULT_PREFILL_TOKENS_PER_MS
        latest_ms = work.caller_deadline_ms - service_ms
        wait_ms = gateway.expected_wait_ms(work, now_ms)
        result = self.results[arrival.identity]
        result.arrival = arrival
        result.attempts += 1
        result.attempted_ms = self.now_ms
        result.predicted_wait_ms = wait_ms
        if now_ms + wait_ms > latest_ms:
            self.refuse(arrival)
            return
        ticket = gateway.enqueue(work, frozenset(), latest_ms)
        self.arrivals_by_ticket[arrival.gateway, ticket] = arrival
        self.schedule(latest_ms, self.refuse_waiting, arrival, ticket)
        self.dispatch_requests(arrival.gateway)

    def make_work(self, arrival):
        """Return the `pool.Work` of a request."""
        kind = arrival.kind
        result = self.results[arrival.identity]
        arrived_ms = result.attempted_ms or arrival.at_ms
        return pool.Work(
            arrival.identity,
            SERVICE,
            (arrival.workspace_tier, kind.tier),
            int(arrived_ms),
            int(arrived_ms + kind.goal_ms),
            int(arrival.at_ms + kind.deadline_ms),
            arrival.prompt_tokens,
            arrival.expected_output_tokens,
        )

    def refuse(self, arrival):
        """Refuse an attempt; the caller may try again at another gateway."""
        result = self.results[arrival.identity]
        result.held_ms += self.now_ms - result.attempted_ms
        work = self.make_work(arrival)
        gateway = self.gateways[arrival.gateway]
        wait_ms = gateway.room_wait_ms(work, int(self.now_ms))
        wait_ms = min(10_000.0, max(100.0, wait_ms)) * self.rng.uniform(1.0, 2.0)
        left_ms = work.caller_deadline_ms - self.now_ms
        if not self.setup.heeds_retry_after:
            wait_ms = CALLER_DELAY_MS
        if result.attempts > self.setup.retries:
            result.is_refused = True
        elif wait_ms > MAX_RETRY_WAIT_FRACTION * left_ms:
            result.is_refused = True
        else:
            number = self.rng.randrange(len(self.gateways))
            again = dataclasses.replace(arrival, gateway=number)
            self.schedule(self.now_ms + wait_ms, self.handle_arrival, again)

    def refuse_waiting(self, arrival, ticket):
        """Refuse a request if it still waits, as at its latest useful start time."""
        gateway = self.gateways[arrival.gateway]
        if ticket in gateway.waiting:
            gateway.remove_waiting(ticket)
            self.refuse(arrival)

    def handle_deadline(self, identity):
        """Let the caller leave whose request still runs."""
        result = self.results[identity]
        if result.is_complete or result.is_refused or result.dispatched_ms is None:
            return
        result.is_cut = True
        gateway = self.gateways[result.arrival.gateway]
        gateway.remove_running(result.server, self.make_work(result.arrival))
        self.engines[result.server].cancel(identity)
        self.schedule_load_share_send(result.arrival.gateway)

    def dispatch_requests(self, number):
        """Dispatch the waiting requests that the gateway's pool admits now."""
        gateway = self.gateways[number]
        if not gateway.waiting:
            return
        for ticket, choice in gateway.dispatch_waiting(int(self.now_ms)):
            arrival = self.arrivals_by_ticket.pop((number, ticket))
            result = self.results[arrival.identity]
            result.dispatched_ms = self.now_ms
            result.server = choice.identity
            result.predicted_first_answer_ms = choice.expected_first_answer_ms
            delay_ms = self.network_delay_ms(number, choice.identity)
            delay_ms += self.record_dispatch(number, arrival, choice)
            self.schedule(
                self.now_ms + delay_ms, self.deliver_to_engine, arrival, choice
            )
            self.schedule_load_share_send(number)

    def network_delay_ms(self, number, identity):
        """Return the one-way network delay between a gateway and an engine."""
        gateway_location = self.gateways[number].node.data_centre
        engine_location = self.engine_data_centres[identity]
        if gateway_location == engine_location:
            return NETWORK_DELAY_MS[0]
        return NETWORK_DELAY_MS[
            1 if REGIONS[gateway_location] == REGIONS[engine_location] else 2
        ]

    def record_dispatch(self, number, arrival, choice):
        """Return how long a dispatched request waits for the network, in ms."""
        return 0.0

    def schedule_load_share_send(self, number):
        """Schedule one update of a gateway's load shares, unless one is pending."""
        if number not in self.pending_load_share_sends:
            self.pending_load_share_sends.add(number)
            self.schedule(
                self.now_ms + LOAD_SHARE_DELAY_MS, self.send_load_shares, number
            )

    def send_load_shares(self, number):
        """Send a gateway's load shares to all other gateways.

        They arrive after 1 ms in the same region and after 30 ms in another.
        """
        self.pending_load_share_sends.discard(number)
        shares = self.gateways[number].own_load_shares()
        reports = self.gateways[number].own_reports(self.now_ms)
        rows = self.gateways[number].own_rows(int(self.now_ms))
        own_region = self.gateways[number].node.region
        for other, gateway in enumerate(self.gateways):
            if other != number:
                delay_ms = 1.0 if gateway.node.region == own_region else 30.0
                self.schedule(
                    self.now_ms + delay_ms,
                    self.receive_load_shares,
                    other,
                    number,
                    shares,
                    reports,
                    rows,
                )

    def receive_load_shares(self, number, sender, shares, reports, rows):
        """Apply the load shares, reports and rows of another gateway, then dispatch."""
        gateway, now_ms = self.gateways[number], int(self.now_ms)
        gateway.update_load_shares(f"g{sender}", shares, now_ms, rows)
        for each in reports:
            gateway.record_report(
                each.start, each.report, self.now_ms - each.age_ms, is_own=False
            )
        self.dispatch_requests(number)

    def tick(self):
        """Dispatch at every gateway; send all load shares every 20 ticks."""
        for number in range(len(self.gateways)):
            self.dispatch_requests(number)
            for ticket in self.gateways[number].find_unserved(int(self.now_ms)):
                arrival = self.arrivals_by_ticket[number, ticket]
                self.refuse_waiting(arrival, ticket)
            if int(self.now_ms / TICK_INTERVAL_MS) % 20 == 0:
                self.send_load_shares(number)
        self.schedule(self.now_ms + TICK_INTERVAL_MS, self.tick)

    # Engines.

    def deliver_to_engine(self, arrival, choice):
        """Add a request to its engine and start the engine if it is idle."""
        if self.results[arrival.identity].is_cut:
            return
        emulated_engine = self.engines[choice.identity]
        emulated_engine.add_request(
            arrival.identity, arrival.prompt_tokens, arrival.output_tokens
        )
        if choice.identity not in self.active_engines:
            self.active_engines.add(choice.identity)
            self.step_engine(choice.identity)

    def step_engine(self, identity):
        """Run one step of an engine and schedule the next."""
        emulated_engine = self.engines[identity]
        if emulated_engine.is_idle:
            self.active_engines.discard(identity)
            return
        step_ms, generated = emulated_engine.step()
        end_ms = self.now_ms + step_ms
        for token in generated:
            self.handle_generated_token(identity, token, end_ms)
        self.schedule(end_ms, self.step_engine, identity)

    def handle_generated_token(self, identity, token, when_ms):
        """Schedule the arrival of the event that this token completes, if any."""
        arrival = self.results[token.identity].arrival
        ends_event = token.number % arrival.kind.stride == 0 or token.is_last
        if ends_event:
            received_ms = when_ms + self.network_delay_ms(arrival.gateway, identity)
            report = self.report(identity)
            self.schedule(received_ms, self.handle_event, identity, token, report)

    def report(self, identity):
        """Return the `servers.LoadReport` of an engine, or None if none are told."""
        if not self.setup.reports_load:
            return None
        emulated_engine = self.engines[identity]
        return servers.LoadReport(
            len(emulated_engine.running),
            len(emulated_engine.waiting),
            emulated_engine.speed.slots,
            emulated_engine.host_factor,
        )

    def handle_event(self, identity, token, report):
        """Record an answer's event at the gateway and update its pool."""
        result = self.results[token.identity]
        if result.is_cut:
            return
        arrival = result.arrival
        gateway = self.gateways[arrival.gateway]
        work = self.make_work(arrival)
        if result.first_event_ms is None and report is not None:
            gateway.record_report((identity, 1), report, self.now_ms)
        if result.first_event_ms is None:
            result.first_event_ms = self.now_ms
            elapsed_ms = self.now_ms - result.dispatched_ms
            gateway.record_first_answer(
                identity, work, elapsed_ms, result.predicted_first_answer_ms
            )
            self.schedule_load_share_send(arrival.gateway)
        else:
            pause_ms = self.now_ms - result.last_event_ms
            result.longest_pause_ms = max(result.longest_pause_ms, pause_ms)
        result.last_event_ms = self.now_ms
        if token.is_last:
            result.is_complete = True
            gateway.remove_running(identity, work)
            gateway.succeeded(identity)
            held_ms = self.now_ms - result.dispatched_ms
            gateway.record_service_time(SERVICE, held_ms, work)
            if token.number > 2 * arrival.kind.stride:
                decode_ms = result.last_event_ms - result.first_event_ms
                tokens = token.number - arrival.kind.stride
                gateway.record_token_time(identity, decode_ms / tokens)
            self.schedule_load_share_send(arrival.gateway)
        self.dispatch_requests(arrival.gateway)

    # Results.

    def outcome(self):
        """Return the `Outcome` of the run."""
        kinds = tuple(self.kind_outcome(kind) for kind in self.kinds)
        results = self.results.values()
        max_utility = sum(result.arrival.kind.on_time_utility for result in results)
        earned_utility = sum(result.utility for result in results)
        return Outcome(
            earned_utility / max_utility, self.worst_windows_fraction(), kinds
        )

    def kind_outcome(self, kind):
        """Return the `KindOutcome` of the requests of a kind."""
        results = [
            result for result in self.results.values() if result.arrival.kind is kind
        ]
        on_time = sum(result.utility == kind.on_time_utility for result in results)
        late = sum(result.utility == kind.late_utility for result in results)
        refused = sum(result.is_refused for result in results)
        earned_utility = sum(result.utility for result in results)
        max_utility = max(1, len(results)) * kind.on_time_utility
        held = [result.held_ms for result in results if result.is_refused]
        errors_ms = [
            abs(result.dispatched_ms - result.attempted_ms - result.predicted_wait_ms)
            for result in results
            if result.dispatched_ms is not None
        ]
        return KindOutcome(
            kind.name,
            len(results),
            on_time,
            late,
            refused,
            earned_utility / max_utility,
            sum(held) / max(1, len(held)),
            sum(each > FREE_HOLD_FRACTION * kind.goal_ms for each in held),
            sum(errors_ms) / max(1, len(errors_ms)),
            size_outcomes(results),
        )

    def worst_windows_fraction(self):
        """Return the mean utility fraction of the two worst windows of 2 s."""
        windows = {}
        for result in self.results.values():
            window = windows.setdefault(int(result.arrival.at_ms // 2000), [0.0, 0.0])
            window[0] += result.utility
            window[1] += result.arrival.kind.on_time_utility
        fractions = sorted(
            earned_utility / max_utility
            for earned_utility, max_utility in windows.values()
        )
        return sum(fractions[:2]) / len(fractions[:2])


def size_outcomes(results):
    """Return the `SizeOutcome` of some `RequestResult`s by name of `SIZE_RANGES`."""
    by_size = sorted(results, key=lambda result: result.size)
    outcomes = {}
    for name, (begin, end) in SIZE_RANGES.items():
        chosen = by_size[round(begin * len(by_size)) : round(end * len(by_size))]
        outcomes[name] = SizeOutcome(
            len(chosen),
            sum(each.is_complete for each in chosen),
            sum(each.is_refused for each in chosen),
            sum(each.is_cut for each in chosen),
        )
    return outcomes


def simulate(
    seed,
    kinds=load.KINDS,
    phases=load.PHASES,
    make_pool=pool.Pool,
    setup=Setup(),
):
    """Run a simulation and return its `Outcome`."""
    simulation = Simulation(random.Random(seed), kinds, phases, make_pool, setup)
    simulation.run()
    return simulation.outcome()


def simulate_large(
    seed,
    phases,
    make_pool=pool.Pool,
    retries=1,
    heeds_retry_after=True,
    gateway_count=8,
):
    """Return the `Outcome` of `load.LARGE_KINDS`, whose callers try again."""
    speed = engine.EngineSpeed(
        slots=load.LARGE_SLOTS,
        step_ms=load.LARGE_STEP_MS,
        prefill_tokens_per_ms=load.LARGE_PREFILL_TOKENS_PER_MS,
    )
    setup = Setup(
        gateway_count=gateway_count,
        speed=speed,
        reports_load=True,
        retries=retries,
        heeds_retry_after=heeds_retry_after,
    )
    return simulate(seed, load.LARGE_KINDS, phases, make_pool, setup)
