"""Synthetic load of a simulation: kinds of requests and their arrival times.

Prompt and output lengths of a kind follow a log-normal distribution with the given
mean and sigma. Requests arrive as a Poisson process whose rate depends on the phase.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of requests. Times are in milliseconds, rates in requests per second.

    `on_time_utility` is the utility of a complete answer whose first event arrives
    within `goal_ms` and whose pauses between events are at most `max_pause_ms`.
    `late_utility` is that of any other complete answer. `goal_ms` and `deadline_ms`
    count from the arrival. `rate_per_s` is the rate at a `Phase.rate_factor` of 1. The
    lengths in tokens are means; each sigma is that of the logarithm. `stride` is the
    number of tokens in each event.
    """

    name: str
    tier: int
    rate_per_s: float
    prompt_tokens: float
    prompt_sigma: float
    output_tokens: float
    output_sigma: float
    goal_ms: float
    deadline_ms: float
    on_time_utility: float
    late_utility: float
    max_pause_ms: float
    stride: int = 4


@dataclasses.dataclass(frozen=True)
class Phase:
    """A part of a simulation: its duration, and the factor applied to the rates.

    The factor applies to the kinds named in `kinds`, or to all if that is empty; the
    others keep their usual rate.
    """

    duration_ms: float
    rate_factor: float
    kinds: tuple[str, ...] = ()

    def factor(self, kind):
        """Return the factor of a kind's rate in this phase."""
        is_affected = not self.kinds or kind.name in self.kinds
        return self.rate_factor if is_affected else 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of a simulation.

    `at_ms` is its arrival time, `gateway` the index of the gateway that receives it,
    and `expected_output_tokens` the estimate of `output_tokens` known to that gateway.
    """

    identity: str
    kind: Kind
    at_ms: float
    gateway: int
    workspace_tier: int
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int


def draw_size(rng, mean, sigma):
    """Draw a number of tokens, at least 1, from a log-normal distribution."""
    mu = math.log(mean) - sigma * sigma / 2
    return max(1, int(rng.lognormvariate(mu, sigma)))


def make_arrivals(rng, kinds, phases, gateway_count):
    """Return all requests of a simulation in order of arrival."""
    arrivals = []
    for kind in kinds:
        start_ms = 0.0
        for phase in phases:
            end_ms = start_ms + phase.duration_ms
            rate_per_ms = kind.rate_per_s * phase.factor(kind) / 1000
            at_ms = start_ms + rng.expovariate(rate_per_ms)
            while at_ms < end_ms:
                arrivals.append(make_arrival(rng, kind, at_ms, gateway_count))
                at_ms += rng.expovariate(rate_per_ms)
            start_ms = end_ms
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return arrivals


def make_arrival(rng, kind, at_ms, gateway_count):
    """Return one request with lengths and gateway drawn from `rng`."""
    output = draw_size(rng, kind.output_tokens, kind.output_sigma)
    estimate_factor = rng.lognormvariate(0, 0.5)
    return Arrival(
        f"{rng.getrandbits(64):x}",
        kind,
        at_ms,
        rng.randrange(gateway_count),
        1 if rng.random() < 0.15 else 2,
        draw_size(rng, kind.prompt_tokens, kind.prompt_sigma),
        output,
        max(1, int(output * estimate_factor)),
    )


# The positional arguments are in the order of the fields of `Kind`.
KINDS = (
    Kind("review", 1, 9.9, 2950, 0.8, 52, 0.9, 800, 6000, 7.0, 0.7, 400),
    Kind("check", 2, 10.6, 1860, 0.9, 24, 0.9, 1500, 4000, 1.1, 0.11, 400),
    Kind("narrative", 3, 5.5, 600, 0.8, 280, 0.9, 2000, 15000, 0.54, 0.054, 400),
)
# The classes of the two deployments in docs/design/LOAD.md. The
# sigmas are those of `KINDS`; pauses between events are not limited there.
KINDS_K = (
    Kind("one", 1, 23.7, 2950, 0.8, 52, 0.9, 1035, 8300, 8.7, 4.2, 10_000),
    Kind("two", 2, 54.5, 1860, 0.9, 24, 0.9, 1519, 4100, 1.1, 0.57, 10_000),
    Kind("three", 3, 35.2, 603, 0.8, 268, 0.9, 2015, 15_100, 0.29, 0.14, 10_000),
)
KINDS_T = (
    Kind("one", 1, 43.2, 2950, 0.8, 52, 0.9, 1050, 6300, 6.5, 1.9, 10_000),
    Kind("two", 2, 55.0, 1860, 0.9, 24, 0.9, 827, 4100, 2.0, 0.59, 10_000),
    Kind("three", 3, 44.7, 603, 0.8, 280, 0.9, 821, 15_400, 0.44, 0.13, 10_000),
)
# The usual rates, with a spike of all classes and a higher one.
SPIKES = (
    Phase(5000, 1.0),
    Phase(4000, 1.6),
    Phase(4000, 1.0),
    Phase(2500, 2.5),
    Phase(5000, 1.0),
)
# A constant load of 1.3 times the usual rates, with two bursts.
PHASES = (
    Phase(4000, 1.3),
    Phase(5000, 2.2),
    Phase(4000, 1.3),
    Phase(2500, 2.7),
    Phase(8000, 1.3),
)

# The engine traffic of deployment K in docs/design/LOAD.md at a quarter of its size:
# five engines of seven slots, so that a run takes seconds.
LARGE_SLOTS = 7
LARGE_STEP_MS = 6.12
LARGE_PREFILL_TOKENS_PER_MS = 32.4
LARGE_KINDS = (
    Kind("urgent", 0, 5.9, 2950, 0.8, 52, 0.9, 1035, 8300, 8.7, 4.2, 400),
    Kind("check", 1, 13.6, 1860, 0.9, 24, 0.9, 1519, 4100, 1.1, 0.57, 400),
    Kind("chat", 2, 8.8, 603, 0.8, 268, 0.9, 2015, 15100, 0.29, 0.14, 400),
)
# Bursts over a constant load, by the kinds that have them.
LARGE_PHASES = {
    "constant": (Phase(40_000, 1.0),),
    "constant 1.3": (Phase(40_000, 1.3),),
    "constant 1.8": (Phase(40_000, 1.8),),
    "calm": (Phase(16_000, 0.4),),
    "burst of chats": (
        Phase(8000, 0.7),
        Phase(6000, 2.5, ("chat",)),
        Phase(20_000, 0.7),
    ),
    "burst of prompts": (
        Phase(8000, 1.0),
        Phase(5000, 2.5, ("urgent", "check")),
        Phase(20_000, 1.0),
    ),
    "burst of all": (Phase(8000, 1.0), Phase(5000, 2.2), Phase(20_000, 1.0)),
}
