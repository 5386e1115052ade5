"""Plays policies under load in virtual time: `python -m brasstrail.tools.experiment`.

Prints for each policy the median and the range of the worth over the seeds, and what
became of each kind of work. Policies are pools registered here by name.
"""

import statistics

import click

from brasstrail.coordination import pool
from brasstrail.emulator import experiment, load

POLICIES = {}


def policy(name):
    """Register a maker of pools under a name, as a decorator."""

    def keep(maker):
        POLICIES[name] = maker
        return maker

    return keep


@policy("ranked")
class Ranked(pool.Pool):
    """The product's policy."""


@policy("arrival")
class Arrival(pool.Pool):
    """Baseline: in order of arrival, all places for all ranks."""

    def waiting_in_order(self, now_ms):
        """Return the waiting requests in order of arrival."""
        return sorted(self.waiting.items())

    def has_capacity_for_rank(self, work, now_ms):
        """Keep no places for higher ranks."""
        return True


@policy("nearest")
class Nearest(pool.Pool):
    """Baseline: the nearest server with room, whatever its speed."""

    def score(self, server, work, now_ms):
        """Return the way to a server."""
        return self.network_cost_ms(server.announcement.data_centre)


def summary(outcomes):
    """Yield the lines that tell of a policy's outcomes."""
    worths = [outcome.utility_fraction for outcome in outcomes]
    worst = [outcome.worst_windows_utility_fraction for outcome in outcomes]
    yield (
        f"worth {statistics.median(worths):.3f} "
        f"({min(worths):.3f} to {max(worths):.3f}), "
        f"two worst spans {statistics.median(worst):.3f}"
    )
    for place, kind in enumerate(outcomes[0].kinds):
        same = [outcome.kinds[place] for outcome in outcomes]
        asked = sum(each.request_count for each in same)
        on_time = sum(each.on_time for each in same) / asked
        late = sum(each.late for each in same) / asked
        refused = sum(each.refused for each in same) / asked
        yield (
            f"  {kind.name}: {asked} asked, on time {on_time:.3f}, "
            f"late {late:.3f}, refused {refused:.3f}"
        )


@click.command()
@click.option("--policy", "names", multiple=True, type=click.Choice(list(POLICIES)))
@click.option("--seeds", default=8, help="How many seeds, from 1 up.")
@click.option("--factor", default=1.0, help="Factor of all rates.")
def main(names, seeds, factor):
    """Compare policies on the same loads."""
    phases = tuple(
        load.Phase(phase.duration_ms, phase.rate_factor * factor)
        for phase in load.PHASES
    )
    for name in names or POLICIES:
        outcomes = [
            experiment.simulate(seed, phases=phases, make_pool=POLICIES[name])
            for seed in range(1, seeds + 1)
        ]
        click.echo(f"{name}: " + "\n".join(summary(outcomes)))


if __name__ == "__main__":
    main()
