"""A randomized soak test: real processes under fault injection.

Control hosts, gateways and backend servers run as processes on loopback. Callers and
operators send requests throughout, while faults drawn from a seed are injected; several
may be active at once. Signals kill processes, ask them to stop, or suspend them; they
are started or resumed later. Relays delay or reset connections, cut them in one
direction, or drop their data silently. A limit on the file size makes a disk refuse
writes. `soakcheck` checks what was observed against the system's guarantees. `--seed`
may be repeated; each run prints a summary, and with `--out` it appends a row of JSON to
a file.
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
from brasstrail.tools import (
    cluster,
    soakcheck,
    soakcrowds,
    soakfaults,
    soaklimits,
    soakload,
    soakparts,
    soakrests,
    soakretries,
    soakroutes,
    soakstreams,
)

CONTROL_HOST_COUNT = 3
# (service, number of backend servers) for each service.
SERVER_COUNTS = ((fleetcalls.PLAIN_SERVICE, 3), (fleetcalls.ENGINE_SERVICE, 4))
SLOTS_PER_SERVER = 6
READY_TIMEOUT_S = 20.0
# The users' bound on recovery after the last fault, and the number of calls sent once
# it has passed.
RECOVERY_TIME_S = 12.0
FINAL_CALL_COUNT = 60
# A process may still be catching up for this long after its fault has ended. The time
# covers the users' bounds on catching up and on contact between hosts.
SETTLE_TIME_S = 4.0
# A server that a request has ended is started again within this time.
MAX_RESTART_DELAY_S = 4.0
# The gateways' setting `grace_s`: seconds in which a stopping gateway may finish
# its requests.
GRACE_S = 8
MAX_PRINTED_VIOLATIONS = 20
# The users' link between regions: 15 Mbit/s and 30 ms.
NARROW_LINK = "[shaping]\nregion_delay_ms = 30.0\nrate_bytes = 1875000\n"
# Calls come for this long before the first fault.
CALM_TIME_S = 3.0


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a run.

    `seconds` is how long faults are injected. Each document has `routes` routes that
    nobody requests. With `has_narrow_link` one data centre of three is in another
    region, behind a link of the users' rate and delay. Only faults whose name contains
    one of `fault_filters` are drawn; without filters, all of them.
    """

    seed: int
    seconds: float
    gateways: int
    fault_filters: tuple[str, ...] = ()
    routes: int = 0
    has_narrow_link: bool = False


class Soak:
    """One run of the soak.

    `busy` holds the names of the processes that have a fault now or had one in the last
    `SETTLE_TIME_S`, `running` is the `cluster.Cluster` once it has been started,
    `fatal_parts` the number of parts that end servers now, and `is_reserved` whether no
    further faults are drawn until one has ended.

    Parameters
    ----------
    folder : folder for settings, logs, journals and data folders.
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
        self.server_versions = {}
        self.fatal_parts = 0
        self.is_reserved = False

    async def run(self):
        """Run the soak and return (guarantee, details) pairs of all violations."""
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
            self.load = soakload.Load(
                gateways,
                addresses,
                self.options.seed,
                self.observations,
                self.options.routes,
            )
            self.load.server_addresses = self.server_addresses()
            await self.wait_ready()
            load_tasks = self.load.start()
            restarts = asyncio.ensure_future(self.restart_ended_servers())
            await asyncio.sleep(CALM_TIME_S)
            await self.bring_faults()
            await asyncio.sleep(RECOVERY_TIME_S)
            restarts.cancel()
            self.load.stopped = True
            await asyncio.gather(*load_tasks)
            await self.load.make_final_calls(FINAL_CALL_COUNT)
            self.observations.final_version = await self.read_final_version()
            self.observations.peak_memory_mb = self.read_peak_memory()
        self.observations.internal_errors = soakcrowds.read_internal_errors(self.folder)
        self.observations.records = self.read_journals()
        self.observations.faults.extend(
            soakcheck.find_server_ends(self.observations.records)
        )
        return soakcheck.find_violations(self.observations)

    def make_nodes(self):
        """Return the `NodeSpec`s of the control hosts and gateways."""
        nodes = []
        for number in range(CONTROL_HOST_COUNT):
            extra = 'document_address = "127.0.0.1:{document}"\n'
            if not self.options.has_narrow_link:
                # Snapshots come often, so that faults meet them.
                extra += "snapshot_every = 20\n"
            nodes.append(self.make_node(f"c{number}", "control", number, extra))
        extra = (
            f"grace_s = {GRACE_S}\n"
            f"allotment_slack = {soakload.LIMITED_SLACK_REQUESTS}\n"
        )
        for number in range(self.options.gateways):
            nodes.append(self.make_node(f"g{number}", "gateway", number, extra))
        return nodes

    def make_node(self, name, role, number, extra):
        """Return the `NodeSpec` of a control host or a gateway."""
        is_far = self.options.has_narrow_link and number % 3 == 2
        if self.options.has_narrow_link:
            extra += NARROW_LINK
        return cluster.NodeSpec(
            name,
            (role,),
            f"dc-{number % 3 + 1}",
            "region-2" if is_far else "region-1",
            extra_settings=extra,
            relayed=role == "control",
        )

    # Backend servers.

    async def start_servers(self, controls):
        """Start all backend servers, each behind a relay.

        A server announces the port of its relay to the control hosts `controls`.
        """
        ports = self.running.ports
        addresses = ",".join(
            f"127.0.0.1:{ports[each]['document']}" for each in controls
        )
        for service, count in SERVER_COUNTS:
            for _ in range(count):
                port = self.running.port_allocator.allocate()
                announced = self.running.port_allocator.allocate()
                name = f"server-{port}"
                first_versions = soakstreams.VERSIONS[:2]
                self.server_versions[name] = first_versions[
                    len(self.server_versions) % 2
                ]
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
                    ("--keep-identity",) if len(self.server_arguments) % 2 else (),
                )
                self.start_server(name)

    def server_addresses(self):
        """Return the addresses that the backend servers announce."""
        return [
            f"127.0.0.1:{arguments[0][3]}"
            for arguments in self.server_arguments.values()
        ]

    def start_server(self, name):
        """Start the process of a backend server."""
        arguments = [
            argument for group in self.server_arguments[name] for argument in group
        ]
        version = ("--version", self.server_versions[name])
        self.running.run(name, "brasstrail.fakes.fleet", *arguments, *version)

    async def restart_ended_servers(self):
        """Start servers again that a request has ended, some of them at once."""
        draw = random.Random(self.options.seed)
        delays = {}
        while True:
            now = time.monotonic()
            for name in self.server_arguments:
                if name in self.busy or self.running.is_running(name):
                    continue
                delay = draw.choice((0.0, draw.uniform(0.5, MAX_RESTART_DELAY_S)))
                if now >= delays.setdefault(name, now + delay):
                    del delays[name]
                    self.start_server(name)
            await asyncio.sleep(cluster.POLL_INTERVAL_S)

    def read_journals(self):
        """Return the records of the journals of all backend servers."""
        records = []
        for path in self.folder.glob("*.runs"):
            for line in path.read_bytes().splitlines():
                records.append(orjson.loads(line))
        return records

    def read_peak_memory(self):
        """Return the largest memory in MB of each gateway's process that runs."""
        peaks = {}
        for name in self.running.nodes_with_role("gateway"):
            if not self.running.is_running(name):
                continue
            status = pathlib.Path(f"/proc/{self.running.processes[name].pid}/status")
            (line,) = [
                line
                for line in status.read_text().splitlines()
                if line.startswith("VmHWM:")
            ]
            peaks[name] = int(line.split()[1]) // 1024
        return peaks

    # Phases of a run.

    async def wait_ready(self):
        """Wait until a document is acknowledged and every gateway answers with 200."""
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
        """Return the newest document version, or None if no control host returns it.

        Retries until `RECOVERY_TIME_S` has passed.
        """
        end = time.monotonic() + RECOVERY_TIME_S
        while time.monotonic() < end:
            version = await self.load.read_newest_version()
            if version is not None:
                return version
            await asyncio.sleep(0.2)
        return None

    async def bring_faults(self):
        """Inject randomly drawn faults, which may overlap; wait until all have ended.

        A new fault is drawn every 0.3 s to 3 s. An exception of a fault is raised here.
        """
        fault_names = [
            name
            for name in soakfaults.FAULTS
            if not self.options.fault_filters
            or any(text in name for text in self.options.fault_filters)
        ]
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            if self.is_reserved:
                await asyncio.sleep(cluster.POLL_INTERVAL_S)
                continue
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
        """Draw a process that is not busy, mark it as busy and return its name.

        Returns None if each of `names` is busy.
        """
        free = sorted(set(names) - self.busy)
        if not free:
            return None
        name = self.random.choice(free)
        self.busy.add(name)
        return name

    def process_names(self, group):
        """Return the names of the processes of a group.

        `group` is "server" for the backend servers, "engine" for those that make
        streams, "daemon" for all daemons, or the name of a role.
        """
        if group == "server":
            return list(self.server_arguments)
        if group == "engine":
            return [
                name
                for name, arguments in self.server_arguments.items()
                if fleetcalls.ENGINE_SERVICE in arguments[1]
            ]
        if group == "daemon":
            return list(self.running.nodes)
        return self.running.nodes_with_role(group)

    async def disturb(self, kind, name, seconds, injection):
        """Inject a fault into a process, end it after some seconds, and record it.

        `kind` is the name of the fault, `injection` a `soakfaults.FaultInjection`.
        The process stays busy until `SETTLE_TIME_S` after the end of the fault.
        """
        self.fault_counts[kind] += 1
        index = len(self.observations.faults)
        open_fault = soakcheck.Fault(
            name, time.time(), float("inf"), injection.interrupts_requests
        )
        self.observations.faults.append(open_fault)
        injection.begin()
        await asyncio.sleep(seconds)
        outcome = injection.end()
        if outcome is not None:
            await outcome
        end_at = time.time() + SETTLE_TIME_S
        self.observations.faults[index] = dataclasses.replace(open_fault, end_at=end_at)
        await asyncio.sleep(SETTLE_TIME_S)
        self.busy.discard(name)

    async def restart_after_exit(self, name, start):
        """Wait until a process that was asked to stop has ended, and start it again.

        The process is killed if it is still running 2 s after the grace period.
        """
        deadline = time.monotonic() + GRACE_S + 2.0
        await self.running.wait_for_exit(self.running.processes[name], deadline)
        start(name)

    def are_controls_healthy(self):
        """Return whether no control host is busy."""
        return not self.busy & set(self.process_names("control"))


def show(options, soak, violations):
    """Print a summary line of a run and a line for each of its first violations."""
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
        f"{len(soakcheck.find_wrong_refusals(soak.observations))} wrongly held back, "
        f"{soakstreams.count_shares(soak.observations)}, "
        f"{soakparts.count_harmless_shares(soak.observations)}, "
        f"{soaklimits.describe_use(soak.observations)}, "
        f"{soakretries.describe_use(soak.observations)}, "
        f"{soakroutes.describe(soak.observations)}, "
        f"{soakrests.describe(soak.observations)}, "
        f"{len(violations)} violations"
    )
    for guarantee, details in violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"  VIOLATION {guarantee}: {details}")


def write_row(out, options, soak, violations):
    """Append the results of a run to a file, as a row of JSON."""
    row = {
        "seed": options.seed,
        "faults": dict(soak.fault_counts),
        "requests": len(soak.observations.replies),
        "documents": len(soak.observations.documents),
        "streams": str(soakstreams.count_shares(soak.observations)),
        "harmless": str(soakparts.count_harmless_shares(soak.observations)),
        "retries": soakretries.describe_use(soak.observations),
        "limits": soaklimits.describe_use(soak.observations),
        "routes": soakroutes.describe(soak.observations),
        "rests": soakrests.describe(soak.observations),
        "peak_memory_mb": max(soak.observations.peak_memory_mb.values(), default=0),
        "wrongly_held_back": len(soakcheck.find_wrong_refusals(soak.observations)),
        "violations": [[guarantee, repr(details)] for guarantee, details in violations],
    }
    with open(out, "ab") as file:
        file.write(orjson.dumps(row) + b"\n")


def run_seed(options, keep):
    """Run one seed; return the `Soak` and its violations.

    Files go to a subfolder of `keep`, or to a temporary folder if `keep` is empty.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(keep) / str(options.seed) if keep else temporary
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        soak = Soak(folder, options)
        return soak, asyncio.run(soak.run())


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option("--seconds", type=float, default=20.0, help="Seconds of fault injection.")
@click.option("--gateways", type=int, default=4)
@click.option("--routes", type=int, default=0, help="Further routes a document.")
@click.option(
    "--narrow-link", is_flag=True, help="Put one data centre in another region."
)
@click.option(
    "--only", multiple=True, help="Inject only faults whose name contains this."
)
@click.option("--keep", type=click.Path(), help="Keep logs and journals here.")
@click.option(
    "--out", type=click.Path(), help="Append a JSON row per run to this file."
)
def main(seeds, seconds, gateways, routes, narrow_link, only, keep, out):
    """Run the soak test for each seed."""
    daemon.configure_http()
    found = 0
    for seed in seeds:
        options = Options(seed, seconds, gateways, only, routes, narrow_link)
        soak, violations = run_seed(options, keep)
        show(options, soak, violations)
        if out:
            write_row(out, options, soak, violations)
        found += len(violations)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
