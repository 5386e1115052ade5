"""Real processes under load and faults, judged by what the fakes saw.

A cluster of three hosts with entry and control, four agents and their servers
runs under a load of submissions, chats and changes of configuration. Rounds of
faults, drawn from a seed, kill, freeze, cut off and wipe processes. At the end
the faults stop, every submission is sent once more, and an oracle counts the
violations of the promises. It reads the journals of the fake services and the
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
FAULT_S = 4.0
CALM_S = 5.0
SETTLE_S = 12.0
FINAL_TRIES = 20
ACT_MS = 60


def make_config():
    """Return the configuration that the run begins with."""
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
    """Return the daemons of the cluster."""
    nodes = []
    for place, name in enumerate(HOSTS):
        roles = ("entry", "control")
        extra = "snapshot_every = 100\n"
        nodes.append(
            cluster.NodeSpec(name, roles, f"dc-{place + 1}", extra_settings=extra)
        )
    for name in (*MODEL_AGENTS, *PLAIN_AGENTS):
        nodes.append(cluster.NodeSpec(name, ("agent",)))
    return nodes


def make_servers(folder):
    """Return the fake servers of the cluster."""
    servers = [cluster.ServerSpec(name, "model", "assist-llm") for name in MODEL_AGENTS]
    for name in PLAIN_AGENTS:
        options = (
            "--delay-ms",
            str(ACT_MS),
            "--journal",
            str(pathlib.Path(folder) / f"{name}.acts"),
        )
        servers.append(cluster.ServerSpec(name, "plain", "filing-app", options))
    return servers


# Faults.

FAULTS = {}


def fault(name):
    """Register a fault: it is begun, and it returns how it is ended."""

    def register(function):
        FAULTS[name] = function
        return function

    return register


@fault("kill a host with entry and control")
def kill_host(running, draw):
    name = draw.choice(HOSTS)
    running.kill(name)
    return name, lambda: running.start(name)


@fault("lose the disk of a host")
def lose_disk(running, draw):
    name = draw.choice(HOSTS)
    running.kill(name)
    running.delete_data_folder(name)
    return name, lambda: running.start(name)


@fault("freeze a host past its lease")
def freeze_host(running, draw):
    name = draw.choice(HOSTS)
    running.suspend(name)
    return name, lambda: running.resume(name)


@fault("cut a host off silently")
def cut_host(running, draw):
    name = draw.choice(HOSTS)
    running.relays[name].drop_traffic()
    return name, running.relays[name].restore


@fault("cut a host off in one direction")
def cut_one_way(running, draw):
    name = draw.choice(HOSTS)
    running.relays[name].silent_out = True
    return name, running.relays[name].restore


@fault("break all connections of an agent")
def break_agent(running, draw):
    name = draw.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.relays[name].close_connections()
    return name, lambda: None


@fault("cut an agent off silently")
def cut_agent(running, draw):
    name = draw.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.relays[name].drop_traffic()
    return name, running.relays[name].restore


@fault("kill an agent; its server lives on")
def kill_agent(running, draw):
    name = draw.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.kill(name)
    return name, lambda: running.start(name)


@fault("kill a backend server")
def kill_server(running, draw):
    name = draw.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.kill(f"server-{name}")
    return name, lambda: running.start_server(name)


@fault("freeze a backend server")
def freeze_server(running, draw):
    name = draw.choice(MODEL_AGENTS)
    running.suspend(f"server-{name}")
    return name, lambda: running.resume(f"server-{name}")


@fault("stop an agent gracefully")
def stop_agent(running, draw):
    name = draw.choice(MODEL_AGENTS + PLAIN_AGENTS)
    running.request_stop(name)

    def restart():
        if running.is_running(name):
            running.kill(name)
        running.start(name)

    return name, restart


class Run:
    """One run: rounds of faults under load, then the verdict."""

    def __init__(self, folder, seed, rounds, names):
        self.folder = pathlib.Path(folder)
        self.random = random.Random(seed)
        self.rounds = rounds
        self.names = names
        self.tally = faultload.Tally()
        self.happened = collections.Counter()

    async def run(self):
        """Run all rounds and judge."""
        servers = make_servers(self.folder)
        async with cluster.Cluster(self.folder, make_nodes(), servers) as running:
            await running.apply_config(make_config())
            await running.wait_ready()
            load = faultload.Load(running, self.random, self.tally, HOSTS)
            tasks = load.start()
            for number in range(self.rounds):
                await self.round(running, number)
            load.stopped = True
            await asyncio.wait(tasks)
            await asyncio.sleep(SETTLE_S)
            await self.judge(running, load)

    async def round(self, running, number):
        """Bring about one or two faults at once, then end them."""
        count = self.random.choice((1, 1, 2))
        ends = []
        touched = set()
        for name in self.random.sample(self.names, min(count, len(self.names))):
            place, end = FAULTS[name](running, self.random)
            self.happened[name] += 1
            ends.append(end)
            touched.add(place)
            click.echo(f"round {number + 1}: {name} ({place})")
            if touched & set(HOSTS):
                break
        await asyncio.sleep(self.random.uniform(FAULT_S / 4, FAULT_S))
        for end in ends:
            end()
        await asyncio.sleep(CALM_S)

    async def judge(self, running, load):
        """Check every promise against what callers and fakes saw."""
        for item in load.submissions:
            await self.final_answer(load, item)
        acts = self.read_acts()
        for item in load.submissions:
            self.judge_submission(item, acts.get(item.key, []))
        await self.judge_config(running, load)

    async def final_answer(self, load, item):
        """Send a submission until its outcome is final."""
        for _ in range(FINAL_TRIES):
            if item.receipt or item.unknown:
                break
            await load.submit(item)
        if not item.receipt and not item.unknown:
            self.tally.violated("lost submission", (item.key, item.replies[-1]))
        self.tally.counts["final answered"] += bool(item.receipt)
        self.tally.counts["final unknown"] += not item.receipt

    def read_acts(self):
        """Return the times of all acts by key, from the services' journals."""
        acts = collections.defaultdict(list)
        for path in self.folder.glob("*.acts"):
            for line in path.read_bytes().splitlines():
                record = orjson.loads(line)
                acts[record["key"]].append(record["at"])
        return acts

    def judge_submission(self, item, times):
        """Check one submission."""
        if len(times) > 1:
            self.tally.violated("ran twice", (item.key, times))
        if item.receipt and not times:
            self.tally.violated("answer without an act", item.key)
        for at, code, body in item.replies:
            said_not_run = b'"ran":"not_run"' in body
            if code != 201 and said_not_run and any(when < at for when in times):
                self.tally.violated("false not_run", (item.key, at, times))

    async def judge_config(self, running, load):
        """Check that every acknowledged change stands, on every host."""
        reply = await running.call_admin(HOSTS[0], "/config")
        if reply.code != 200:
            self.tally.violated("no configuration after the faults", reply.code)
            return
        config = orjson.loads(reply.body)
        names = {item["name"] for item in config["workspaces"]}
        for name in load.changes:
            if name not in names:
                self.tally.violated("lost change", name)
        for name in HOSTS:
            port = running.ports[name]["http"]
            view = await running.fetch(port, "/admin/v1/view")
            if orjson.loads(view.body)["version"] != config["version"]:
                self.tally.violated("not in force", (name, view.body))

    def show(self):
        """Print the table of faults, counts and violations."""
        click.echo("\nfaults")
        for name, count in sorted(self.happened.items()):
            click.echo(f"  {count:4d}  {name}")
        click.echo("outcomes")
        for name, count in sorted(self.tally.counts.items()):
            click.echo(f"  {count:6d}  {name}")
        click.echo(f"violations: {len(self.tally.violations)}")


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--rounds", type=int, default=8)
@click.option("--only", multiple=True, help="Draw only faults that hold this text.")
@click.option("--keep", type=click.Path(), help="Keep logs and files here.")
def main(seed, rounds, only, keep):
    """Run rounds of faults under load."""
    daemon.configure_http()
    names = [name for name in FAULTS if not only or any(text in name for text in only)]
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or temporary
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        run = Run(folder, seed, rounds, names)
        asyncio.run(run.run())
    run.show()
    sys.exit(1 if run.tally.violations else 0)


if __name__ == "__main__":
    main()
