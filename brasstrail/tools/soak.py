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

CONTROL_HOST_COUNT = 3
# Servers of each service: (service, how many).
SERVER_COUNTS = ((fleetcalls.PLAIN_SERVICE, 3), (fleetcalls.ENGINE_SERVICE, 3))
SLOTS_PER_SERVER = 6
READY_TIMEOUT_S = 20.0
# The users' bound on recovery, and calls after it.
RECOVERY_TIME_S = 12.0
FINAL_CALL_COUNT = 60
# How long after a fault's end a process may still be catching up: the users' bounds
# on catching up and on touch between hosts.
SETTLE_TIME_S = 4.0
GRACE_S = 8
MAX_PRINTED_VIOLATIONS = 20


@dataclasses.dataclass(frozen=True)
class Options:
    """What is run: a seed, its length, how many gateways, which faults."""

    seed: int
    seconds: float
    gateways: int
    fault_filters: tuple[str, ...] = ()


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
        self.observations = soakcheck.Observations()
        self.fault_counts = collections.Counter()
        self.fault_tasks = set()
        self.busy = set()
        self.running = None
        self.load = None
        self.server_arguments = {}

    async def run(self):
        """Run it and return the violations."""
        async with cluster.Cluster(self.folder, self.make_nodes(), ()) as running:
            self.running = running
            controls = running.with_role("control")
            await self.start_servers(controls)
            ports = running.ports
            gateways = {
                name: f"127.0.0.1:{ports[name]['http']}"
                for name in running.with_role("gateway")
            }
            addresses = [f"127.0.0.1:{ports[each]['document']}" for each in controls]
            self.load = soakload.Load(
                gateways, addresses, self.options.seed, self.observations
            )
            await self.wait_ready()
            load_tasks = self.load.start()
            await self.bring_faults()
            await asyncio.sleep(RECOVERY_TIME_S)
            self.load.stopped = True
            await asyncio.wait(load_tasks)
            await self.load.make_final_calls(FINAL_CALL_COUNT)
            self.observations.final_version = await self.read_final_version()
        self.observations.records = self.read_journals()
        return soakcheck.find_violations(self.observations)

    def make_nodes(self):
        """Return the daemons."""
        nodes = []
        for number in range(CONTROL_HOST_COUNT):
            extra = 'document_address = "127.0.0.1:{document}"\nsnapshot_every = 20\n'
            data_centre = f"dc-{number % 3 + 1}"
            name = f"c{number}"
            nodes.append(cluster.NodeSpec(name, ("control",), data_centre, extra=extra))
        extra = (
            f"grace_s = {GRACE_S}\n"
            f"allotment_slack = {soakload.LIMITED_SLACK_REQUESTS}\n"
        )
        for number in range(self.options.gateways):
            data_centre = f"dc-{number % 3 + 1}"
            nodes.append(
                cluster.NodeSpec(
                    f"g{number}", ("gateway",), data_centre, extra=extra, relayed=False
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
        for service, count in SERVER_COUNTS:
            for _ in range(count):
                port = self.running.given_ports.take()
                announced = self.running.given_ports.take()
                name = f"server-{port}"
                await self.running.add_relay(name, announced, port)
                self.server_arguments[name] = (
                    ("--port", port, "--announced-port", announced),
                    ("--controls", addresses, "--service", service),
                    (
                        "--slots",
                        SLOTS_PER_SERVER,
                        "--journal",
                        self.folder / f"{name}.runs",
                    ),
                    ("--zone", f"dc-{len(self.server_arguments) % 3 + 1}"),
                )
                self.start_server(name)

    def start_server(self, name):
        """Start a backend server."""
        arguments = [
            argument for group in self.server_arguments[name] for argument in group
        ]
        self.running.run(name, "brasstrail.fakes.fleet", *arguments)

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
        await self.running.wait_until(
            self.load.send_next_document, "the first document"
        )
        caller = fleetcalls.Caller()
        for name in self.load.gateways:

            async def is_serving(name=name):
                reply = await self.load.call(caller, name, [])
                return reply.status == 200

            await self.running.wait_until(is_serving, name, READY_TIMEOUT_S)
        caller.close()

    async def read_final_version(self):
        """Return the newest version, asked for until it is told."""
        end = time.monotonic() + RECOVERY_TIME_S
        while time.monotonic() < end:
            version = await self.load.read_newest_version()
            if version is not None:
                return version
            await asyncio.sleep(0.2)
        return None

    async def bring_faults(self):
        """Bring faults about, in series and overlapping, then wait for their ends."""
        fault_names = [
            name
            for name in soakfaults.FAULTS
            if not self.options.fault_filters
            or any(text in name for text in self.options.fault_filters)
        ]
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            name = self.random.choice(fault_names)
            task = asyncio.ensure_future(soakfaults.FAULTS[name](self))
            task.fault = name
            self.fault_tasks.add(task)
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
        if self.fault_tasks:
            await asyncio.wait(self.fault_tasks)
        for task in self.fault_tasks:
            task.result()

    def reserve_process(self, names):
        """Return a process that has no fault now, or None, and reserve it."""
        free = sorted(set(names) - self.busy)
        if not free:
            return None
        name = self.random.choice(free)
        self.busy.add(name)
        return name

    def process_names(self, group):
        """Return the names of a group of processes: a role, all daemons, servers."""
        if group == "server":
            return list(self.server_arguments)
        if group == "daemon":
            return list(self.running.nodes)
        return self.running.with_role(group)

    async def disturb(self, kind, name, seconds, disturbance):
        """Bring a fault about, end it later, and note it."""
        self.fault_counts[kind] += 1
        index = len(self.observations.faults)
        open_fault = soakcheck.Fault(
            name, time.time(), float("inf"), disturbance.interrupts_requests
        )
        self.observations.faults.append(open_fault)
        disturbance.begin()
        await asyncio.sleep(seconds)
        outcome = disturbance.end()
        if outcome is not None:
            await outcome
        end_at = time.time() + SETTLE_TIME_S
        self.observations.faults[index] = dataclasses.replace(open_fault, end_at=end_at)
        await asyncio.sleep(SETTLE_TIME_S)
        self.busy.discard(name)

    async def restart_after_exit(self, name, start):
        """Wait for a process that was told to stop; start it again."""
        deadline = time.monotonic() + GRACE_S + 2.0
        await self.running.wait_ended(self.running.processes[name], deadline)
        start(name)

    def are_controls_healthy(self):
        """Return whether no control host has a fault now."""
        return not self.busy & set(self.process_names("control"))


def show(options, soak, violations):
    """Print one line on a run and a line for each violation."""
    statuses = collections.Counter(reply.status for reply in soak.observations.replies)
    status_counts = " ".join(
        f"{status}:{count}" for status, count in sorted(statuses.items())
    )
    acknowledged = sum(
        each.acknowledged_at is not None for each in soak.observations.documents
    )
    click.echo(
        f"seed {options.seed}: {sum(soak.fault_counts.values())} faults, "
        f"{len(soak.observations.replies)} requests ({status_counts}), "
        f"{acknowledged} of {len(soak.observations.documents)} documents, "
        f"{len(violations)} violations"
    )
    for guarantee, details in violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"  VIOLATION {guarantee}: {details}")


def write_row(out, options, soak, violations):
    """Add a row on a run to a file."""
    row = {
        "seed": options.seed,
        "faults": dict(soak.fault_counts),
        "requests": len(soak.observations.replies),
        "documents": len(soak.observations.documents),
        "violations": [[guarantee, repr(details)] for guarantee, details in violations],
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
