"""Simulates policies under load: `python -m brasstrail.tools.experiment`.

Runs in virtual time. Prints for each policy the median and the range of the utility
fraction (as `worth`) over the seeds, and the outcomes of each kind of request. A
policy is a subclass of `pool.Pool` that is registered here under a name.
"""

import dataclasses
import math
import statistics

import click

from brasstrail.coordination import pool
from brasstrail.emulator import experiment, load

POLICIES = {}
# The kinds, the phases and the setup of each deployment.
DEPLOYMENTS = {
    "small": (load.KINDS, load.PHASES, experiment.Setup()),
    "k": (load.KINDS_K, load.SPIKES, experiment.SETUP_K),
    "t": (load.KINDS_T, load.SPIKES, experiment.SETUP_T),
}


def register_policy(name):
    """Return a decorator that registers a pool class under a name."""

    def register(pool_class):
        POLICIES[name] = pool_class
        return pool_class

    return register


@register_policy("ranked")
class Ranked(pool.Pool):
    """The policy that gateways use."""


@register_policy("demand")
class DemandReserve(pool.Pool):
    """Reserves places by the demand of higher ranks instead of a constant part.

    Not used: of the margins 2.5, 4 and 5.5 none was worth more than the constant on
    most loads of `load.LARGE_PHASES`; the commit that added this has the figures.
    """

    # Standard deviations of the higher ranks' places that are kept free.
    DEVIATIONS = 2.5

    def usable_fraction(self, service, rank, now_ms):
        """Return the fraction of a service's capacity that a rank may use."""
        depth = self.depth(service, rank, now_ms)
        servers = self.servers.values()
        capacity = sum(server.capacity for server in servers)
        if not depth or not capacity:
            return 1.0
        higher = self.estimates.higher_demand(
            service, rank, self.gateway_count, now_ms
        ).slot_ms
        reserve = pool.ENGINE_QUEUE_REQUESTS * len(servers)
        reserve += self.DEVIATIONS * math.sqrt(higher)
        return max(0.1, 1.0 - reserve * depth * depth / capacity)


@register_policy("strict")
class StrictOrder(pool.Pool):
    """Baseline: by rank alone; a rank is owed nothing while higher ones wait."""

    def split_owed(self, waiting):
        """Return that no request is owed."""
        return [], waiting

    def is_owed_next(self, work):
        """Return False: no request is owed."""
        return False


@register_policy("arrival")
class ArrivalOrder(pool.Pool):
    """Baseline: requests in order of arrival, all capacity open to all ranks."""

    def waiting_in_order(self, now_ms):
        """Return the waiting requests in order of arrival."""
        return sorted(self.waiting.items())

    def has_capacity_for_rank(self, work, now_ms, openings):
        """Reserve no capacity for higher ranks."""
        return True


@register_policy("nearest")
class Nearest(pool.Pool):
    """Baseline: the nearest server with free capacity, regardless of its speed."""

    def score(self, server, work, now_ms):
        """Return the network cost of a server in ms; the lowest score wins."""
        return self.network_cost_ms(server.announcement.data_centre)


def summary_lines(outcomes):
    """Yield the report lines on a policy's outcomes, one outcome for each seed.

    The lines call the utility fraction `worth`, windows `spans`, and requests that
    were made `asked`.
    """
    worth_values = [outcome.utility_fraction for outcome in outcomes]
    worst_values = [outcome.worst_windows_utility_fraction for outcome in outcomes]
    yield (
        f"worth {statistics.median(worth_values):.3f} "
        f"({min(worth_values):.3f} to {max(worth_values):.3f}), "
        f"two worst spans {statistics.median(worst_values):.3f}"
    )
    for index, kind in enumerate(outcomes[0].kinds):
        kind_outcomes = [outcome.kinds[index] for outcome in outcomes]
        asked_count = sum(kind_outcome.request_count for kind_outcome in kind_outcomes)
        on_time_share = (
            sum(kind_outcome.on_time for kind_outcome in kind_outcomes) / asked_count
        )
        late_share = (
            sum(kind_outcome.late for kind_outcome in kind_outcomes) / asked_count
        )
        refused_share = (
            sum(kind_outcome.refused for kind_outcome in kind_outcomes) / asked_count
        )
        yield (
            f"  {kind.name}: {asked_count} asked, on time {on_time_share:.3f}, "
            f"late {late_share:.3f}, refused {refused_share:.3f}"
            f"{held_text(kind_outcomes)}"
        )
        yield from size_lines(kind_outcomes)


def size_lines(kind_outcomes):
    """Yield a line on each range of sizes of a kind's requests."""
    for name in experiment.SIZE_RANGES:
        total = sum(
            (outcome.sizes[name] for outcome in kind_outcomes),
            experiment.SizeOutcome(0, 0, 0, 0),
        )
        asked_count = max(1, total.request_count)
        yield (
            f"    {name}: {total.request_count} asked, "
            f"served {total.served / asked_count:.3f}, "
            f"refused {total.refused / asked_count:.3f}, "
            f"cut {total.cut / asked_count:.3f}"
        )


def held_text(kind_outcomes):
    """Return how long refused requests were held, and how many of them for long."""
    refused = sum(each.refused for each in kind_outcomes)
    if not refused:
        return ""
    held_ms = sum(each.mean_held_ms * each.refused for each in kind_outcomes) / refused
    held_long = sum(each.held_long for each in kind_outcomes)
    return f" (held {held_ms:.0f} ms, {held_long} of {refused} too long)"


@click.command()
@click.option("--policy", "names", multiple=True, type=click.Choice(list(POLICIES)))
@click.option("--seeds", default=8, help="Number of seeds, counted from 1.")
@click.option("--factor", default=1.0, help="Factor of all request rates.")
@click.option("--deployment", type=click.Choice(list(DEPLOYMENTS)), default="small")
@click.option("--gateways", default=8, help="Number of gateways.")
@click.option("--reports/--no-reports", default=True, help="Engines of k and t report.")
@click.option("--load", "load_name", type=click.Choice(list(load.LARGE_PHASES)))
def main(names, seeds, factor, deployment, gateways, reports, load_name):
    """Compare policies under the same loads.

    With `--load` that is one of a large deployment, whose callers try once more.
    """
    if load_name:
        for name in names or POLICIES:
            outcomes = [
                experiment.simulate_large(
                    seed, load.LARGE_PHASES[load_name], POLICIES[name]
                )
                for seed in range(1, seeds + 1)
            ]
            click.echo(f"{name}: " + "\n".join(summary_lines(outcomes)))
        return
    kinds, usual_phases, setup = DEPLOYMENTS[deployment]
    setup = dataclasses.replace(
        setup,
        gateway_count=gateways,
        reports_load=setup.reports_load and reports,
    )
    phases = tuple(
        load.Phase(phase.duration_ms, phase.rate_factor * factor)
        for phase in usual_phases
    )
    for name in names or POLICIES:
        outcomes = [
            experiment.simulate(seed, kinds, phases, POLICIES[name], setup)
            for seed in range(1, seeds + 1)
        ]
        click.echo(f"{name}: " + "\n".join(summary_lines(outcomes)))


if __name__ == "__main__":
    main()
