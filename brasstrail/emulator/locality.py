"""Simulates uneven demand on data centres: `python -m brasstrail.emulator.locality`.

Six data centres in two regions, with engines and loads of the two largest deployments,
K and T. Prints for each scenario the worth and the share of requests and bytes by
distance, with constants added to scores (before) and with `zones.Zones` (after).
"""

import collections
import dataclasses
import random
import statistics

import click

from brasstrail.coordination import pool, zones
from brasstrail.core import catalog, servers
from brasstrail.emulator import engine, experiment, load
from brasstrail.settings import settings

DATA_CENTRES = ("a1", "a2", "a3", "b1", "b2", "b3")
REGIONS = {each: each[0] for each in DATA_CENTRES}
# One-way delays in ms, and the rate of the link between regions, 30 Mbit/s.
DELAY_MS = {
    zones.Distance.DATA_CENTRE: 0.1,
    zones.Distance.REGION: 0.9,
    zones.Distance.OTHER_REGION: 30.0,
}
REGION_LINK_BYTES_PER_MS = 3750.0
# A body of 9 KB has 2,950 prompt tokens.
BODY_BYTES_PER_TOKEN = 3
# A third of the hosts needs 0.6 times the usual time, the others 1.7 times.
SLOWDOWNS = (0.6, 1.7, 1.7)


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The gateways, engines and kinds of requests of a deployment."""

    gateways: int
    engines: int
    speed: engine.EngineSpeed
    kinds: tuple[load.Kind, ...]


DEPLOYMENTS = {
    "K": Deployment(
        23,
        20,
        engine.EngineSpeed(slots=7, step_ms=6.12, prefill_tokens_per_ms=32.4),
        (
            load.Kind("1", 1, 23.7, 2950, 0.8, 52, 0.9, 1035, 8300, 8.7, 4.2, 400),
            load.Kind("2", 2, 54.5, 1860, 0.9, 24, 0.9, 1519, 4100, 1.1, 0.57, 400),
            load.Kind("3", 3, 35.2, 603, 0.8, 268, 0.9, 2015, 15100, 0.29, 0.14, 400),
        ),
    ),
    "T": Deployment(
        38,
        22,
        engine.EngineSpeed(slots=6, step_ms=5.47, prefill_tokens_per_ms=38.7),
        (
            load.Kind("1", 1, 43.2, 2950, 0.8, 52, 0.9, 1050, 6300, 6.5, 1.9, 400),
            load.Kind("2", 2, 55.0, 1860, 0.9, 24, 0.9, 827, 4100, 2.0, 0.59, 400),
            load.Kind("3", 3, 44.7, 603, 0.8, 280, 0.9, 821, 15400, 0.44, 0.13, 400),
        ),
    ),
}


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Where the callers are, and which servers there are.

    `weights` are the relative demands of the data centres, and `later_weights` those
    from the middle of the run on. `without_servers` names a data centre without any.
    If `knows_speeds`, the gateways know the speed of each engine from the start, as
    after some time with load reports; otherwise they learn it from their own requests.
    """

    weights: tuple[float, ...] = (1, 1, 1, 1, 1, 1)
    later_weights: tuple[float, ...] | None = None
    without_servers: str = ""
    knows_speeds: bool = True
    rate_factor: float = 1.0


SCENARIOS = {
    "calm": Scenario(rate_factor=0.5),
    "usual": Scenario(),
    "spike": Scenario(rate_factor=1.6),
    "double": Scenario(weights=(2, 1, 1, 1, 1, 1)),
    "without": Scenario(without_servers="a1"),
    "shift": Scenario(later_weights=(1 / 3, 1, 1, 5 / 3, 1, 1)),
}


class Simulation(experiment.Simulation):
    """A simulation of a `Scenario` in a `Deployment`.

    Attributes
    ----------
    sent : requests by `zones.Distance`.
    sent_bytes : bytes of requests and answers by `zones.Distance`.
    dispatches : (time, gateway, whether the request stayed) of each dispatch.
    link_free_ms : when the link from each region to the other one is free.
    """

    def __init__(self, seed, deployment, scenario, link_cost, duration_ms):
        self.deployment = deployment
        self.scenario = scenario
        self.link_cost = link_cost
        self.sent = collections.Counter()
        self.sent_bytes = collections.Counter()
        self.dispatches = []
        self.link_free_ms = collections.defaultdict(float)
        rng = random.Random(seed)
        super().__init__(
            rng,
            deployment.kinds,
            (load.Phase(duration_ms, scenario.rate_factor),),
            pool.Pool,
        )
        self.place_callers(rng, duration_ms)

    def make_gateways(self, make_pool):
        """Create the gateways, spread over the data centres."""
        for number in range(self.deployment.gateways):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            node = settings.Node(
                f"g{number}", ("gateway",), REGIONS[data_centre], data_centre
            )
            gateway = make_pool(node, REGIONS)
            gateway.gateway_count = self.deployment.gateways
            if self.link_cost.is_set:
                gateway.zones = zones.Zones(node, REGIONS, self.link_cost)
                for other, distance in self.other_data_centres(node):
                    gateway.zones.record_connect(other, 2 * DELAY_MS[distance])
            self.gateways.append(gateway)

    def other_data_centres(self, node):
        """Return (data centre, distance) of all data centres."""
        return [
            (each, zones.find_distance(node, REGIONS, each)) for each in DATA_CENTRES
        ]

    def make_engines(self):
        """Create the engines and announce them to all gateways."""
        places = [
            each for each in DATA_CENTRES if each != self.scenario.without_servers
        ]
        service = catalog.Service(experiment.SERVICE, 100, "", catalog.Engine(5, 10**6))
        for gateway in self.gateways:
            gateway.configure((service,))
        for number in range(self.deployment.engines):
            identity, data_centre = f"s{number}", places[number % len(places)]
            slowdown = SLOWDOWNS[number // len(places) % len(SLOWDOWNS)]
            speed = dataclasses.replace(self.deployment.speed, slowdown=slowdown)
            self.engines[identity] = engine.Engine(speed)
            self.engine_data_centres[identity] = data_centre
            announcement = servers.Announcement(
                identity,
                experiment.SERVICE,
                f"{identity}:1",
                data_centre,
                servers.ServerPhase.READY,
                1,
                1,
                speed.slots,
            )
            for gateway in self.gateways:
                gateway.put_server(announcement, False)
                if self.scenario.knows_speeds:
                    gateway.servers[identity].slowdown = slowdown

    def place_callers(self, rng, duration_ms):
        """Draw the gateway of each request by the weights of the data centres."""
        for result in self.results.values():
            weights = self.scenario.weights
            if self.scenario.later_weights and result.arrival.at_ms > duration_ms / 2:
                weights = self.scenario.later_weights
            data_centre = rng.choices(range(len(DATA_CENTRES)), weights)[0]
            local_gateways = range(
                data_centre, self.deployment.gateways, len(DATA_CENTRES)
            )
            object.__setattr__(result.arrival, "gateway", rng.choice(local_gateways))

    def make_work(self, arrival):
        """Return the `pool.Work` of a request, with its size."""
        body_bytes = BODY_BYTES_PER_TOKEN * arrival.prompt_tokens
        size = zones.transfer_bytes(body_bytes, arrival.expected_output_tokens)
        return dataclasses.replace(super().make_work(arrival), transfer_bytes=size)

    def record_dispatch(self, number, arrival, choice):
        """Count a sent request and the bytes of its way there and back."""
        self.sent[choice.distance] += 1
        body_bytes = BODY_BYTES_PER_TOKEN * arrival.prompt_tokens
        size = zones.transfer_bytes(body_bytes, arrival.output_tokens)
        self.sent_bytes[choice.distance] += size
        is_local = choice.distance is zones.Distance.DATA_CENTRE
        self.dispatches.append((self.now_ms, number, is_local))
        if choice.distance is not zones.Distance.OTHER_REGION:
            return 0.0
        region = self.gateways[number].node.region
        start_ms = max(self.now_ms, self.link_free_ms[region])
        self.link_free_ms[region] = start_ms + body_bytes / REGION_LINK_BYTES_PER_MS
        return self.link_free_ms[region] - self.now_ms

    def network_delay_ms(self, number, identity):
        """Return the one-way network delay between a gateway and an engine."""
        node = self.gateways[number].node
        data_centre = self.engine_data_centres[identity]
        return DELAY_MS[zones.find_distance(node, REGIONS, data_centre)]

    def share(self, counts, distance):
        """Return the share of a distance in some counts."""
        return counts[distance] / max(1, sum(counts.values()))


def simulate(seed, deployment, scenario, link_cost, duration_ms=12_000):
    """Run a simulation to its end and return it."""
    simulation = Simulation(seed, deployment, scenario, link_cost, duration_ms)
    simulation.run()
    return simulation


def summary(simulations):
    """Return the median worth, the mean shares by distance and each worth as text."""
    outcomes = [each.outcome() for each in simulations]
    worth = [each.utility_fraction for each in outcomes]
    parts = [
        f"worth {statistics.median(worth):.4f} ({min(worth):.4f} to {max(worth):.4f})"
    ]
    for distance in zones.Distance:
        requests = statistics.mean(
            each.share(each.sent, distance) for each in simulations
        )
        kilobytes = statistics.mean(each.sent_bytes[distance] for each in simulations)
        parts.append(f"{distance} {requests:.3f} ({kilobytes / 1000:.0f} KB)")
    return ", ".join(parts) + " " + ",".join(f"{each:.4f}" for each in worth)


@click.command()
@click.option("--deployment", "names", multiple=True, default=tuple(DEPLOYMENTS))
@click.option("--scenario", "scenarios", multiple=True, default=tuple(SCENARIOS))
@click.option("--seeds", default=4, help="Number of seeds, counted from 1.")
@click.option("--region", default=0.2, help="Price between data centres, ms per KB.")
@click.option("--other-region", default=1.0, help="Price between regions, ms per KB.")
@click.option("--seconds", default=12, help="Length of the load, in seconds.")
def main(names, scenarios, seeds, region, other_region, seconds):
    """Compare constants with locality-aware routing under the same loads."""
    costs = {
        "before": settings.LinkCost(),
        "after": settings.LinkCost(region, other_region),
    }
    for name in names:
        for scenario in scenarios:
            for label, cost in costs.items():
                runs = [
                    simulate(
                        seed,
                        DEPLOYMENTS[name],
                        SCENARIOS[scenario],
                        cost,
                        1000 * seconds,
                    )
                    for seed in range(1, seeds + 1)
                ]
                click.echo(f"{name} {scenario} {label}: {summary(runs)}")


if __name__ == "__main__":
    main()
