"""A fault injection run on real processes under load.

A cluster of three hosts with the entry and control roles, four agents and their fake
backend servers runs under a load of submissions, chat requests and configuration
changes. Faults are injected in rounds, drawn from a seed: processes are killed, frozen
or stopped, connections are cut, data folders deleted. After the last round each
submission without a final outcome is sent again, and the violations of the system's
guarantees are counted. The checks read the journals of the fake services and the
replies to the callers, never the system's own logs.
"""

import asyncio
import collections
import pathlib
import random
import sys
import tempfile

import click
import orjson

from brasstrail.roles import daemon
from brasstrail.tools import cluster, faultload

HOSTS = ("c1", "c2", "c3")
MODEL_AGENTS = ("m1", "m2")
PLAIN_AGENTS = ("p1", "p2")
# The duration of a round's faults is drawn between a quarter of this and this.
MAX_FAULT_DURATION_S = 4.0
# Time from the end of a round's faults until the next round.
RECOVERY_PAUSE_S = 5.0
# Time from the end of the load until the guarantees are checked.
SETTLE_TIME_S = 12.0
MAX_FINAL_ATTEMPTS = 20
PLAIN_SERVICE_DELAY_MS = 60


def make_config():
    """Return the change that sets up services, request classes and the workspace."""
    target = {"fraction": 0.99, "within_ms": 8000}

    def make_class(name, service, tier, idempotent):
        return {
            "name": name,
            "service": service,
            "tier": tier,
            "idempotent": idempotent,
            "target": target,
        }

    return {
        "expected_version": 0,
        "change_id": "first",
        "services": [
            {"name": "assist-llm", "kind": "model", "models": ["assist-1"]},
            {"name": "filing-app", "kind": "plain"},
        ],
        "classes": [
            make_class("review", "assist-llm", 1, True),
            make_class("submit", "filing-app", 1, False),
        ],
        "workspaces": [{"name": faultload.WORKSPACE}],
    }


def make_nodes():
    """Return the `NodeSpec`s of the cluster's daemons."""
    nodes = []
    for index, name in enumerate(HOSTS):
        roles = ("entry", "control")
        extra = "snapshot_every = 100\n"
        nodes.append(
            cluster.NodeSpec(name, roles, f"dc-{index + 1}", extra_settings=extra)
        )
    for name in (*MODEL_AGENTS, *PLAIN_AGENTS):
        nodes.append(cluster.NodeSpec(name, ("agent",)))
    return nodes


def make_servers(folder):
    """Return the `ServerSpec`s of the fake backend servers.

    The plain servers write their journals, `*.acts`, to `folder`.
    """
    servers = [cluster.ServerSpec(name, "model", "assist-llm") for name in MODEL_AGENTS]
    for name in PLAIN_AGENTS:
        options = (
            "--delay-ms",
            str(PLAIN_SERVICE_DELAY_MS),
            "--journal",
            str(pathlib.Path(folder) / f"{name}.acts"),
        )
        servers.append(cluster.ServerSpec(name, "plain", "filing-app", options))
    return servers


# Faults.

# Functions that begin a fault, by the name of the fault.
FAULTS = {}


def fault(name):
    """Return a decorator that registers a fault.

    The decorated function takes the `cluster.Cluster` and a `random.Random`. It begins
    the fault and returns the name of the affected process and a function that ends the
    fault.
    """

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("kill a host with entry and control")
def kill_host(running, rng):
    name = rng.choice(HOSTS)
    running.kill(name)
    return name, lambda: running.start(name)


@fault("lose the disk of a host")
def lose_disk(running, rng):
    name = rng.choice(HOSTS)
    running.kill(name)
    running.delete_data_folder(name)
    return name, lambda: running.start(name)


@fault("freeze a host past its lease")
def freeze_host(running, rng):
    name = rng.choice(HOSTS)
    running.suspend(name)
    return name, lambda: running.resume(name)


@fault("cut a host off silently")
def cut_host(running, rng):
    name = rng.choice(HOSTS)
    running.relays[name].drop_traffic()
    return name, running.relays[name].restore


@fault("cut a host off in one direction")
def cut_host_outbound(running, rng):
    name = rng.choice(HOSTS)
    running.relays[name].silent_out = True
    return name, running.relays[name].restore


@fault("break all connections of an agent")
def break_agent_connections(running, rng):
    name = rng.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.relays[name].close_connections()
    return name, lambda: None


@fault("cut an agent off silently")
def cut_agent(running, rng):
    name = rng.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.relays[name].drop_traffic()
    return name, running.relays[name].restore


@fault("kill an agent; its server lives on")
def kill_agent(running, rng):
    name = rng.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.kill(name)
    return name, lambda: running.start(name)


@fault("kill a backend server")
def kill_server(running, rng):
    name = rng.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.kill(f"server-{name}")
    return name, lambda: running.start_server(name)


@fault("freeze a backend server")
def freeze_server(running, rng):
    name = rng.choice(MODEL_AGENTS)
    running.suspend(f"server-{name}")
    return name, lambda: running.resume(f"server-{name}")


@fault("stop an agent gracefully")
def stop_agent(running, rng):
    name = rng.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.request_stop(name)

    def restart():
        if running.is_running(name):
            running.kill(name)
        running.start(name)

    return name, restart


class FaultRun:
    """One run: rounds of faults under load, then the checks of the guarantees.

    Parameters
    ----------
    folder : folder for settings, logs, journals and data folders.
    seed : seed of the random draws.
    rounds : number of rounds.
    names : names of the faults that may be drawn.
    """

    def __init__(self, folder, seed, rounds, names):
        self.folder = pathlib.Path(folder)
        self.random = random.Random(seed)
        self.rounds = rounds
        self.fault_names = names
        self.results = faultload.RunResults()
        self.fault_counts = collections.Counter()

    async def run(self):
        """Run all rounds, then check the guarantees."""
        servers = make_servers(self.folder)
        async with cluster.Cluster(self.folder, make_nodes(), servers) as running:
            await running.apply_config(make_config())
            await running.wait_ready()
            load = faultload.Load(running, self.random, self.results, HOSTS)
            tasks = load.start()
            for number in range(self.rounds):
                await self.run_round(running, number)
            load.stopped = True
            await asyncio.wait(tasks)
            await asyncio.sleep(SETTLE_TIME_S)
            await self.check_guarantees(running, load)

    async def run_round(self, running, number):
        """Inject one or two faults at once, end them, and wait for recovery.

        No further fault is injected in a round once a host has one.
        """
        count = self.random.choice((1, 1, 2))
        end_functions = []
        affected_names = set()
        for name in self.random.sample(
            self.fault_names, min(count, len(self.fault_names))
        ):
            target_name, end_fault = FAULTS[name](running, self.random)
            self.fault_counts[name] += 1
            end_functions.append(end_fault)
            affected_names.add(target_name)
            click.echo(f"round {number + 1}: {name} ({target_name})")
            if affected_names & set(HOSTS):
                break
        await asyncio.sleep(
            self.random.uniform(MAX_FAULT_DURATION_S / 4, MAX_FAULT_DURATION_S)
        )
        for end_fault in end_functions:
            end_fault()
        await asyncio.sleep(RECOVERY_PAUSE_S)

    async def check_guarantees(self, running, load):
        """Check every guarantee against the replies and the journals of the fakes."""
        for submission in load.submissions:
            await self.resolve_submission(load, submission)
        acts = self.read_acts()
        for submission in load.submissions:
            self.check_submission(submission, acts.get(submission.key, []))
        await self.check_config(running, load)

    async def resolve_submission(self, load, submission):
        """Send a submission until its outcome is known, and count that outcome.

        It is lost if there is none after `MAX_FINAL_ATTEMPTS` attempts.
        """
        for _ in range(MAX_FINAL_ATTEMPTS):
            if submission.receipt or submission.unknown:
                break
            await load.submit(submission)
        if not submission.receipt and not submission.unknown:
            self.results.add_violation(
                "lost submission", (submission.key, submission.replies[-1])
            )
        self.results.counts["final answered"] += bool(submission.receipt)
        self.results.counts["final unknown"] += not submission.receipt

    def read_acts(self):
        """Return the times of all executions by key, from the services' journals."""
        acts = collections.defaultdict(list)
        for path in self.folder.glob("*.acts"):
            for line in path.read_bytes().splitlines():
                record = orjson.loads(line)
                acts[record["key"]].append(record["at"])
        return acts

    def check_submission(self, submission, times):
        """Check one submission against the times at which it was executed."""
        if len(times) > 1:
            self.results.add_violation("ran twice", (submission.key, times))
        if submission.receipt and not times:
            self.results.add_violation("answer without an execution", submission.key)
        for at, code, body in submission.replies:
            is_reported_not_run = b'"ran":"not_run"' in body
            if (
                code != 201
                and is_reported_not_run
                and any(executed_at < at for executed_at in times)
            ):
                self.results.add_violation("false not_run", (submission.key, at, times))

    async def check_config(self, running, load):
        """Check that acknowledged changes are present and in force on every host."""
        reply = await running.call_admin(HOSTS[0], "/config")
        if reply.code != 200:
            self.results.add_violation("no configuration after the faults", reply.code)
            return
        config = orjson.loads(reply.body)
        workspace_names = {workspace["name"] for workspace in config["workspaces"]}
        for name in load.acknowledged_versions:
            if name not in workspace_names:
                self.results.add_violation("lost change", name)
        for name in HOSTS:
            port = running.ports[name]["http"]
            view = await running.fetch(port, "/admin/v1/view")
            if orjson.loads(view.body)["version"] != config["version"]:
                self.results.add_violation("not in force", (name, view.body))

    def show(self):
        """Print the counts of faults and outcomes, and the number of violations."""
        click.echo("\nfaults")
        for name, count in sorted(self.fault_counts.items()):
            click.echo(f"  {count:4d}  {name}")
        click.echo("outcomes")
        for name, count in sorted(self.results.counts.items()):
            click.echo(f"  {count:6d}  {name}")
        click.echo(f"violations: {len(self.results.violations)}")


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--rounds", type=int, default=8)
@click.option(
    "--only", multiple=True, help="Inject only faults whose name contains this."
)
@click.option("--keep", type=click.Path(), help="Keep logs and files here.")
def main(seed, rounds, only, keep):
    """Inject rounds of faults into a cluster under load."""
    daemon.configure_http()
    names = [name for name in FAULTS if not only or any(text in name for text in only)]
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or temporary
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        run = FaultRun(folder, seed, rounds, names)
        asyncio.run(run.run())
    run.show()
    sys.exit(1 if run.results.violations else 0)


if __name__ == "__main__":
    main()
