"""Plays a load against engines through the pools of several gateways.

Everything happens in virtual time: arrivals, rounds of the engines, the way
between gateways and engines, and what gateways tell one another. The pools are
those of the product, so that a change of policy is measured as it will run.

>>> outcome = play(1, load.KINDS, (load.Phase(500, 1.0),))
>>> 0 <= outcome.worth <= 1
True
"""

import dataclasses
import heapq
import itertools
import random as randoms

from brasstrail.coordination import pool
from brasstrail.core import catalog, servers
from brasstrail.emulator import engine, load
from brasstrail.settings import settings

GATEWAYS = 8
DATA_CENTRES = ("east", "far", "west")
REGIONS = {"east": "one", "west": "one", "far": "two"}
FACTORS = (0.6, 1.7, 1.7, 0.6, 1.7)
GOSSIP_MS = 20.0
TICK_MS = 50.0
WAY_MS = {0: 0.4, 1: 1.4, 2: 30.0}
SERVICE = "llm"


@dataclasses.dataclass
class Fate:
    """What has become of a request."""

    arrival: load.Arrival
    started_ms: float | None = None
    load_ms: float = 0.0
    first_ms: float | None = None
    last_ms: float | None = None
    longest_pause_ms: float = 0.0
    is_refused: bool = False
    is_whole: bool = False

    @property
    def worth(self):
        """What the answer was worth."""
        kind = self.arrival.kind
        if not self.is_whole:
            return 0.0
        on_time = self.first_ms - self.arrival.at_ms <= kind.goal_ms
        if on_time and self.longest_pause_ms <= kind.max_pause_ms:
            return kind.worth
        return kind.late_worth


@dataclasses.dataclass(frozen=True)
class KindOutcome:
    """What became of the requests of a kind; counts, and a part of the worth."""

    name: str
    asked: int
    on_time: int
    late: int
    refused: int
    worth: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of an experiment.

    `worth` is the part of the worth that was earned, `worst` that of the two worst
    spans of two seconds.
    """

    worth: float
    worst: float
    kinds: tuple[KindOutcome, ...]


class World:
    """One experiment.

    Parameters
    ----------
    random : a `random.Random`.
    kinds, phases : the load.
    make_pool : makes the pool of a gateway, from `settings.Node` and the regions.
    """

    def __init__(self, random, kinds, phases, make_pool):
        self.now_ms = 0.0
        self.numbers = itertools.count()
        self.events = []
        self.fates = {}
        self.engines = {}
        self.places = {}
        self.stepping = set()
        self.owner = {}
        self.gateways = []
        self.gossip_due = set()
        self.kinds = kinds
        for number in range(GATEWAYS):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            node = settings.Node(f"g{number}", ("gateway",), REGIONS[centre], centre)
            made = make_pool(node, REGIONS)
            made.gateway_count = GATEWAYS
            self.gateways.append(made)
        self.make_engines()
        for arrival in load.make_arrivals(random, kinds, phases, GATEWAYS):
            self.fates[arrival.identity] = Fate(arrival)
            self.at(arrival.at_ms, self.arrive, arrival)
        self.end_ms = sum(phase.length_ms for phase in phases) + 15_000
        self.at(TICK_MS, self.tick)

    def make_engines(self):
        """Put the engines in their places and make them known."""
        for number, factor in enumerate(FACTORS):
            identity = f"s{number}"
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            speed = engine.EngineSpeed(factor=factor)
            self.engines[identity] = engine.Engine(speed)
            self.places[identity] = centre
            announcement = servers.Announcement(
                identity,
                SERVICE,
                f"{identity}:1",
                centre,
                servers.ServerPhase.READY,
                1,
                1,
                speed.slots,
            )
            service = catalog.Service(SERVICE, 100, "", catalog.Engine(5, 10**6))
            for gateway in self.gateways:
                gateway.configure((service,))
                gateway.put_server(announcement, False)

    def at(self, when_ms, action, *arguments):
        """Let something happen at a time."""
        item = (when_ms, next(self.numbers), action, arguments)
        heapq.heappush(self.events, item)

    def run(self):
        """Play to the end."""
        while self.events:
            when_ms, _, action, arguments = heapq.heappop(self.events)
            if when_ms > self.end_ms:
                return
            self.now_ms = when_ms
            action(*arguments)

    # Gateways.

    def arrive(self, arrival):
        """A request reaches its gateway."""
        gateway = self.gateways[arrival.gateway]
        work = self.work_of(arrival)
        now_ms = int(self.now_ms)
        gateway.record_arrival(work)
        service_ms = 30 + arrival.prompt_tokens / pool.DEFAULT_PREFILL_TOKENS_PER_MS
        wait_ms = gateway.expected_wait_ms(work, now_ms)
        if now_ms + wait_ms > work.caller_deadline_ms - service_ms:
            self.fates[arrival.identity].is_refused = True
            return
        ticket = gateway.enqueue(work, frozenset())
        self.owner[arrival.gateway, ticket] = arrival
        self.at(work.caller_deadline_ms - service_ms, self.give_up, arrival, ticket)
        self.take_turns(arrival.gateway)

    def work_of(self, arrival):
        """Return what a request asks of a server."""
        kind = arrival.kind
        return pool.Work(
            arrival.identity,
            SERVICE,
            (arrival.workspace_tier, kind.tier),
            int(arrival.at_ms),
            int(arrival.at_ms + kind.goal_ms),
            int(arrival.at_ms + kind.deadline_ms),
            arrival.prompt_tokens,
            arrival.expected_output,
        )

    def give_up(self, arrival, ticket):
        """Refuse a request whose turn has not come in time."""
        gateway = self.gateways[arrival.gateway]
        if ticket in gateway.waiting:
            gateway.remove_waiting(ticket)
            self.fates[arrival.identity].is_refused = True

    def take_turns(self, number):
        """Send what a gateway may send now."""
        gateway = self.gateways[number]
        if not gateway.waiting:
            return
        for ticket, choice in gateway.dispatch_waiting(int(self.now_ms)):
            arrival = self.owner.pop((number, ticket))
            fate = self.fates[arrival.identity]
            fate.started_ms = self.now_ms
            fate.load_ms = choice.expected_first_answer_ms
            way_ms = self.way_ms(number, choice.identity)
            self.at(self.now_ms + way_ms, self.reach, arrival, choice)
            self.gossip_soon(number)

    def way_ms(self, number, identity):
        """Return the time from a gateway to an engine."""
        here = self.gateways[number].node.data_centre
        there = self.places[identity]
        if here == there:
            return WAY_MS[0]
        return WAY_MS[1 if REGIONS[here] == REGIONS[there] else 2]

    def gossip_soon(self, number):
        """Let a gateway tell the others what it runs."""
        if number not in self.gossip_due:
            self.gossip_due.add(number)
            self.at(self.now_ms + GOSSIP_MS, self.gossip, number)

    def gossip(self, number):
        """Send a gateway's shares to the others."""
        self.gossip_due.discard(number)
        shares = self.gateways[number].own_load_shares()
        here = self.gateways[number].node.region
        for other, gateway in enumerate(self.gateways):
            if other != number:
                way_ms = 1.0 if gateway.node.region == here else 30.0
                self.at(self.now_ms + way_ms, self.hear, other, number, shares)

    def hear(self, number, other, shares):
        """A gateway hears another one."""
        self.gateways[number].update_load_shares(f"g{other}", shares, int(self.now_ms))
        self.take_turns(number)

    def tick(self):
        """Let every gateway look at what waits."""
        for number in range(GATEWAYS):
            self.take_turns(number)
            if int(self.now_ms / TICK_MS) % 20 == 0:
                self.gossip(number)
        self.at(self.now_ms + TICK_MS, self.tick)

    # Engines.

    def reach(self, arrival, choice):
        """A request reaches its engine."""
        served = self.engines[choice.identity]
        served.admit(arrival.identity, arrival.prompt_tokens, arrival.output_tokens)
        if choice.identity not in self.stepping:
            self.stepping.add(choice.identity)
            self.step(choice.identity)

    def step(self, identity):
        """Let an engine do a round."""
        served = self.engines[identity]
        if served.is_idle:
            self.stepping.discard(identity)
            return
        length_ms, made = served.step()
        end_ms = self.now_ms + length_ms
        for token in made:
            self.token_made(identity, token, end_ms)
        self.at(end_ms, self.step, identity)

    def token_made(self, identity, token, when_ms):
        """A token leaves an engine; it is seen with the event that holds it."""
        arrival = self.fates[token.identity].arrival
        is_event = token.number % arrival.kind.stride == 0 or token.is_last
        if is_event:
            seen_ms = when_ms + self.way_ms(arrival.gateway, identity)
            self.at(seen_ms, self.event_seen, identity, token)

    def event_seen(self, identity, token):
        """A gateway sees an event."""
        fate = self.fates[token.identity]
        arrival = fate.arrival
        gateway = self.gateways[arrival.gateway]
        work = self.work_of(arrival)
        if fate.first_ms is None:
            fate.first_ms = self.now_ms
            elapsed_ms = self.now_ms - fate.started_ms
            gateway.record_first_answer(identity, work, elapsed_ms, fate.load_ms)
            self.gossip_soon(arrival.gateway)
        else:
            pause_ms = self.now_ms - fate.last_ms
            fate.longest_pause_ms = max(fate.longest_pause_ms, pause_ms)
        fate.last_ms = self.now_ms
        if token.is_last:
            fate.is_whole = True
            gateway.remove_running(identity, work)
            gateway.succeeded(identity)
            gateway.record_service_time(SERVICE, self.now_ms - fate.started_ms)
            if token.number > 2 * arrival.kind.stride:
                length_ms = fate.last_ms - fate.first_ms
                tokens = token.number - arrival.kind.stride
                gateway.record_token_time(identity, length_ms / tokens)
            self.gossip_soon(arrival.gateway)
        self.take_turns(arrival.gateway)

    # Outcome.

    def outcome(self):
        """Return what became of all requests."""
        kinds = tuple(self.kind_outcome(kind) for kind in self.kinds)
        fates = self.fates.values()
        owed = sum(fate.arrival.kind.worth for fate in fates)
        earned = sum(fate.worth for fate in fates)
        return Outcome(earned / owed, self.worst_spans(), kinds)

    def kind_outcome(self, kind):
        """Return what became of the requests of a kind."""
        fates = [fate for fate in self.fates.values() if fate.arrival.kind is kind]
        on_time = sum(fate.worth == kind.worth for fate in fates)
        late = sum(fate.worth == kind.late_worth for fate in fates)
        refused = sum(fate.is_refused for fate in fates)
        earned = sum(fate.worth for fate in fates)
        owed = max(1, len(fates)) * kind.worth
        return KindOutcome(kind.name, len(fates), on_time, late, refused, earned / owed)

    def worst_spans(self):
        """Return the part of the worth earned in the two worst spans."""
        spans = {}
        for fate in self.fates.values():
            span = spans.setdefault(int(fate.arrival.at_ms // 2000), [0.0, 0.0])
            span[0] += fate.worth
            span[1] += fate.arrival.kind.worth
        parts = sorted(earned / owed for earned, owed in spans.values())
        return sum(parts[:2]) / len(parts[:2])


def play(seed, kinds=load.KINDS, phases=load.PHASES, make_pool=pool.Pool):
    """Play an experiment and return its `Outcome`."""
    world = World(randoms.Random(seed), kinds, phases, make_pool)
    world.run()
    return world.outcome()
