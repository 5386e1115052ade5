"""The load of an experiment: kinds of work, and when their requests come.

A kind's sizes are drawn from a log-normal distribution whose mean and spread are
given; requests come as a Poisson process whose rate changes by phase.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of work. Times are milliseconds, rates requests a second.

    `worth` is what an answer on time is worth, `late_worth` any other answer.
    """

    name: str
    tier: int
    rate: float
    prompt_tokens: float
    prompt_spread: float
    output_tokens: float
    output_spread: float
    goal_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    max_pause_ms: float
    stride: int = 4


@dataclasses.dataclass(frozen=True)
class Phase:
    """A part of an experiment: how long, and the factor of all rates."""

    length_ms: float
    factor: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of an experiment."""

    identity: str
    kind: Kind
    at_ms: float
    gateway: int
    workspace_tier: int
    prompt_tokens: int
    output_tokens: int
    expected_output: int


def draw_size(random, mean, spread):
    """Return a size drawn around a mean."""
    middle = math.log(mean) - spread * spread / 2
    return max(1, int(random.lognormvariate(middle, spread)))


def make_arrivals(random, kinds, phases, gateways):
    """Return all requests of an experiment, in the order of their arrival."""
    arrivals = []
    for kind in kinds:
        begin_ms = 0.0
        for phase in phases:
            end_ms = begin_ms + phase.length_ms
            rate = kind.rate * phase.factor / 1000
            at_ms = begin_ms + random.expovariate(rate)
            while at_ms < end_ms:
                arrivals.append(make_arrival(random, kind, at_ms, gateways))
                at_ms += random.expovariate(rate)
            begin_ms = end_ms
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return arrivals


def make_arrival(random, kind, at_ms, gateways):
    """Return one request."""
    output = draw_size(random, kind.output_tokens, kind.output_spread)
    guess = random.lognormvariate(0, 0.5)
    return Arrival(
        f"{random.getrandbits(64):x}",
        kind,
        at_ms,
        random.randrange(gateways),
        1 if random.random() < 0.15 else 2,
        draw_size(random, kind.prompt_tokens, kind.prompt_spread),
        output,
        max(1, int(output * guess)),
    )


KINDS = (
    Kind("review", 1, 9.9, 2950, 0.8, 52, 0.9, 800, 6000, 7.0, 0.7, 400),
    Kind("check", 2, 10.6, 1860, 0.9, 24, 0.9, 1500, 4000, 1.1, 0.11, 400),
    Kind("narrative", 3, 5.5, 600, 0.8, 280, 0.9, 2000, 15000, 0.54, 0.054, 400),
)
# A busy day with two bursts, as factors of the usual rates.
PHASES = (
    Phase(4000, 1.3),
    Phase(5000, 2.2),
    Phase(4000, 1.3),
    Phase(2500, 2.7),
    Phase(8000, 1.3),
)
