"""A randomized soak: the real programs under faults from outside.

Control hosts, gateways and backend servers run as processes on loopback; callers and
operators go on while faults, drawn from a seed, come in series and overlap. Processes
are killed, stopped, frozen and started again by signals; connections are delayed,
reset, cut in one direction or silenced by relays; a disk refuses what is written.
`soakcheck` judges the run. `--seed` may be given often; each run prints one line, and
with `--out` a row of JSON.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

import click
import orjson

from brasstrail.fakes import fleetcalls
from brasstrail.roles import daemon
from brasstrail.tools import cluster, soakcheck, soakfaults, soakload

CONTROLS = 3
# Servers of each service: (service, how many).
SERVERS = ((fleetcalls.PLAIN_SERVICE, 3), (fleetcalls.ENGINE_SERVICE, 3))
SLOTS = 6
READY_LIMIT_S = 20.0
# The users' bound on recovery, and calls after it.
RECOVERY_S = 12.0
FINAL_CALLS = 60
# How long after a fault's end a process may still be catching up: the users' bounds
# on catching up and on touch between hosts.
SETTLE_S = 4.0
GRACE_S = 8
REPORTED_VIOLATIONS = 20


@dataclasses.dataclass(frozen=True)
class Options:
    """What is run: a seed, its length, how many gateways, which faults."""

    seed: int
    seconds: float
    gateways: int
    only: tuple[str, ...] = ()


class Soak:
    """One run.

    Parameters
    ----------
    folder : where settings, logs, journals and data folders go.
    options : `Options`.
    """

    def __init__(self, folder, options):
        self.folder = pathlib.Path(folder)
        self.options = options
        self.random = random.Random(options.seed)
        self.seen = soakcheck.Seen()
        self.happened = collections.Counter()
        self.tasks = set()
        self.busy = set()
        self.running = None
        self.load = None
        self.servers = {}

    async def run(self):
        """Run it and return the violations."""
        async with cluster.Cluster(self.folder, self.make_nodes(), ()) as running:
            self.running = running
            controls = running.nodes_with_role("control")
            await self.start_servers(controls)
            ports = running.ports
            gateways = {
                name: f"127.0.0.1:{ports[name]['http']}"
                for name in running.nodes_with_role("gateway")
            }
            addresses = [f"127.0.0.1:{ports[each]['document']}" for each in controls]
            self.load = soakload.Load(gateways, addresses, self.options.seed, self.seen)
            await self.wait_ready()
            tasks = self.load.start()
            await self.bring_faults()
            await asyncio.sleep(RECOVERY_S)
            self.load.stopped = True
            await asyncio.wait(tasks)
            await self.load.call_at_the_end(FINAL_CALLS)
            self.seen.final_version = await self.read_at_the_end()
        self.seen.records = self.read_journals()
        return soakcheck.judge(self.seen)

    def make_nodes(self):
        """Return the daemons."""
        nodes = []
        for number in range(CONTROLS):
            extra = 'document_address = "127.0.0.1:{document}"\nsnapshot_every = 20\n'
            centre = f"dc-{number % 3 + 1}"
            name = f"c{number}"
            nodes.append(
                cluster.NodeSpec(name, ("control",), centre, extra_settings=extra)
            )
        extra = f"grace_s = {GRACE_S}\nallotment_slack = {soakload.SMALL_SLACK}\n"
        for number in range(self.options.gateways):
            centre = f"dc-{number % 3 + 1}"
            nodes.append(
                cluster.NodeSpec(
                    f"g{number}",
                    ("gateway",),
                    centre,
                    extra_settings=extra,
                    relayed=False,
                )
            )
        return nodes

    # Backend servers.

    async def start_servers(self, controls):
        """Start all backend servers, each behind a relay."""
        ports = self.running.ports
        addresses = ",".join(
            f"127.0.0.1:{ports[each]['document']}" for each in controls
        )
        for service, count in SERVERS:
            for _ in range(count):
                port = self.running.port_allocator.allocate()
                announced = self.running.port_allocator.allocate()
                name = f"server-{port}"
                await self.running.add_relay(name, announced, port)
                self.servers[name] = (
                    ("--port", port, "--announced-port", announced),
                    ("--controls", addresses, "--service", service),
                    ("--slots", SLOTS, "--journal", self.folder / f"{name}.runs"),
                    ("--zone", f"dc-{len(self.servers) % 3 + 1}"),
                )
                self.start_server(name)

    def start_server(self, name):
        """Start a backend server."""
        words = [word for pair in self.servers[name] for word in pair]
        self.running.run(name, "brasstrail.fakes.fleet", *words)

    def read_journals(self):
        """Return the records of all backend servers."""
        records = []
        for path in self.folder.glob("*.runs"):
            for line in path.read_bytes().splitlines():
                records.append(orjson.loads(line))
        return records

    # The run.

    async def wait_ready(self):
        """Wait until a document is in force and every gateway serves."""
        await self.running.wait_until(self.load.change, "the first document")
        caller = fleetcalls.Caller()
        for name in self.load.gateways:

            async def serves(name=name):
                reply = await self.load.call(caller, name, [])
                return reply.status == 200

            await self.running.wait_until(serves, name, READY_LIMIT_S)
        caller.close()

    async def read_at_the_end(self):
        """Return the newest version, asked for until it is told."""
        end = time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            version = await self.load.read()
            if version is not None:
                return version
            await asyncio.sleep(0.2)
        return None

    async def bring_faults(self):
        """Bring faults about, in series and overlapping, then wait for their ends."""
        names = [
            name
            for name in soakfaults.FAULTS
            if not self.options.only or any(text in name for text in self.options.only)
        ]
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            name = self.random.choice(names)
            task = asyncio.ensure_future(soakfaults.FAULTS[name](self))
            task.fault = name
            self.tasks.add(task)
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
        if self.tasks:
            await asyncio.wait(self.tasks)
        for task in self.tasks:
            task.result()

    def pick(self, names):
        """Return a process that has no fault now, or None, and reserve it."""
        free = sorted(set(names) - self.busy)
        if not free:
            return None
        name = self.random.choice(free)
        self.busy.add(name)
        return name

    def names(self, group):
        """Return the names of a group of processes: a role, all daemons, servers."""
        if group == "server":
            return list(self.servers)
        if group == "daemon":
            return list(self.running.nodes)
        return self.running.nodes_with_role(group)

    async def disturb(self, kind, name, seconds, disturbance):
        """Bring a fault about, end it later, and note it."""
        self.happened[kind] += 1
        place = len(self.seen.faults)
        lasting = soakcheck.Fault(
            name, time.time(), float("inf"), disturbance.ends_answers
        )
        self.seen.faults.append(lasting)
        disturbance.begin()
        await asyncio.sleep(seconds)
        outcome = disturbance.end()
        if outcome is not None:
            await outcome
        end_at = time.time() + SETTLE_S
        self.seen.faults[place] = dataclasses.replace(lasting, end_at=end_at)
        await asyncio.sleep(SETTLE_S)
        self.busy.discard(name)

    async def restart_when_ended(self, name, start):
        """Wait for a process that was told to stop; start it again."""
        deadline = time.monotonic() + GRACE_S + 2.0
        await self.running.wait_for_exit(self.running.processes[name], deadline)
        start(name)

    def is_quorum_safe(self):
        """Return whether no control host has a fault now."""
        return not self.busy & set(self.names("control"))


def show(options, soak, violations):
    """Print one line on a run and a line for each violation."""
    statuses = collections.Counter(reply.status for reply in soak.seen.replies)
    told = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    acknowledged = sum(each.acknowledged_at is not None for each in soak.seen.documents)
    click.echo(
        f"seed {options.seed}: {sum(soak.happened.values())} faults, "
        f"{len(soak.seen.replies)} requests ({told}), {acknowledged} of "
        f"{len(soak.seen.documents)} documents, {len(violations)} violations"
    )
    for promise, details in violations[:REPORTED_VIOLATIONS]:
        click.echo(f"  VIOLATION {promise}: {details}")


def write_row(out, options, soak, violations):
    """Add a row on a run to a file."""
    row = {
        "seed": options.seed,
        "faults": dict(soak.happened),
        "requests": len(soak.seen.replies),
        "documents": len(soak.seen.documents),
        "violations": [[promise, repr(details)] for promise, details in violations],
    }
    with open(out, "ab") as file:
        file.write(orjson.dumps(row) + b"\n")


def run_seed(options, keep):
    """Run one seed; return the run and its violations."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(keep) / str(options.seed) if keep else temporary
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        soak = Soak(folder, options)
        return soak, asyncio.run(soak.run())


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option("--seconds", type=float, default=20.0, help="How long faults come.")
@click.option("--gateways", type=int, default=4)
@click.option("--only", multiple=True, help="Draw only faults that hold this text.")
@click.option("--keep", type=click.Path(), help="Keep logs and journals here.")
@click.option("--out", type=click.Path(), help="Add a row of JSON a run to this file.")
def main(seeds, seconds, gateways, only, keep, out):
    """Run the soak for each seed."""
    daemon.configure_http()
    found = 0
    for seed in seeds:
        options = Options(seed, seconds, gateways, only)
        soak, violations = run_seed(options, keep)
        show(options, soak, violations)
        if out:
            write_row(out, options, soak, violations)
        found += len(violations)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
