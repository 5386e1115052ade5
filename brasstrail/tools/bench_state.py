"""Benchmark of the replicated state: commits, propagation, failover and restart.

Control hosts run as separate processes that write to real disks. Members are
simulated in this process; they attach to control hosts as entries and agents do.
"""

import asyncio
import json
import pathlib
import tempfile
import time

import click
import orjson

from brasstrail.core import data
from brasstrail.protocol import commands
from brasstrail.roles import attachment, daemon, hub, logs
from brasstrail.settings import settings
from brasstrail.tools import bench, cluster

REPLICA_COUNTS = (1, 3, 5)
MEMBER_COUNTS = (12, 100, 300)
BULK_COMMITS = 1500
CONCURRENT_COMMITS = 64
SEQUENTIAL_COMMITS = 200
CONFIG_CHANGES = 12
LEADER_KILLS = 4
RESTART_RECORD_COUNTS = (2000, 8000)
POLL_INTERVAL_S = 0.005
MEMBER_SETTINGS = """
[node]
name = "{name}"
roles = ["agent"]
region = "r"
data_centre = "d"
peer_port = {port}
[cluster]
name = "test"
secret = "{secret}"
seeds = {seeds}
[log]
level = "error"
"""


class AttachedMember:
    """A simulated process that attaches to a control host as an agent."""

    def __init__(self, running, name, port):
        seeds = [
            f"127.0.0.1:{running.ports[control_name]['peer']}"
            for control_name in running.nodes_with_role("control")
        ]
        text = MEMBER_SETTINGS.format(
            name=name, port=port, secret=cluster.SECRET, seeds=json.dumps(seeds)
        )
        node_settings = settings.parse(text)
        self.hub = hub.Hub(
            node_settings,
            1,
            logs.make_logger(node_settings, logs.make_output(node_settings)),
        )
        member = data.Member(name, 1, ("agent",), f"127.0.0.1:{port}", "r", "d")
        self.attachment = attachment.Attachment(self.hub, member)

    def start(self):
        """Attach to a control host, without listening on a port."""
        self.hub.ticker.start()
        self.attachment.start()

    def close(self):
        """Detach from the control host."""
        self.attachment.close()
        self.hub.close()


class StateBench:
    """The measurements on one cluster of control hosts.

    Parameters
    ----------
    running : the running cluster.
    figures : the table that receives each figure under its name.
    size : the number of replicas.
    """

    def __init__(self, running, figures, size):
        self.cluster = running
        self.figures = figures
        self.size = size
        self.member = AttachedMember(running, "bench", 1)
        self.commit_count = 0

    def record_figure(self, name, value):
        """Store and print a figure."""
        self.figures[name] = value
        click.echo(f"{value:12.3f}  {name}")

    async def attach(self):
        """Attach and wait until the first view has arrived."""
        self.member.start()
        while not self.member.attachment.has_view:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def commit_record(self):
        """Commit a command that adds an execution record; return the latency in ms."""
        self.commit_count += 1
        command = commands.Receive("w", f"key-{self.commit_count}", bytes(32), 1)
        began = time.monotonic()
        await self.member.attachment.propose(command, 30)
        return (time.monotonic() - began) * 1000

    async def measure_commits(self):
        """Measure the latency of sequential and the rate of concurrent commits."""
        label = f"{self.size} replicas"
        times = [await self.commit_record() for _ in range(SEQUENTIAL_COMMITS)]
        self.record_figure(f"commit p50 ms, {label}", bench.quantile(times, 0.5))
        self.record_figure(f"commit p99 ms, {label}", bench.quantile(times, 0.99))
        began = time.monotonic()
        await self.commit_many(BULK_COMMITS)
        commits_per_s = BULK_COMMITS / (time.monotonic() - began)
        self.record_figure(
            f"commits a second, {CONCURRENT_COMMITS} at once, {label}", commits_per_s
        )

    async def commit_many(self, count):
        """Commit `count` records, at most `CONCURRENT_COMMITS` at a time."""
        semaphore = asyncio.Semaphore(CONCURRENT_COMMITS)

        async def commit_one():
            async with semaphore:
                await self.commit_record()

        await asyncio.gather(*(commit_one() for _ in range(count)))

    async def measure_propagation(self, count):
        """Measure the time from accepting a change until all members apply it."""
        members = [
            AttachedMember(self.cluster, f"member-{count}-{number}", 2 + number)
            for number in range(count)
        ]
        for member in members:
            member.start()
        while not all(self.sees_members(member, count + 1) for member in members):
            await asyncio.sleep(POLL_INTERVAL_S)
        times = [
            await self.time_config_change(members, number)
            for number in range(CONFIG_CHANGES)
        ]
        self.record_figure(
            f"in force on {count} members, median ms", bench.quantile(times, 0.5)
        )
        self.record_figure(f"in force on {count} members, worst ms", max(times))
        for member in members:
            member.close()

    def sees_members(self, member, count):
        """Return whether a member's view contains at least `count` members."""
        return len(member.attachment.view.members) >= count

    async def time_config_change(self, members, number):
        """Commit one change and return the time until all members have it, in ms."""
        name = f"w-{len(members)}-{number}"
        version = self.member.attachment.view.config.version
        command = commands.ChangeConfig(
            name, version, "bench", 1, workspaces=(data.Workspace(name),)
        )
        result = await self.member.attachment.propose(command)
        accepted = time.monotonic()
        waiting = [*members, self.member]
        while any(
            waiting_member.attachment.view.config.version < result.version
            for waiting_member in waiting
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        return (time.monotonic() - accepted) * 1000

    async def measure_failover(self):
        """Measure how long there is no leader after the leader is killed."""
        times = []
        for _ in range(LEADER_KILLS):
            leader = await self.find_leader()
            began = time.monotonic()
            self.cluster.kill(leader)
            while await self.find_leader() in ("", leader):
                await asyncio.sleep(POLL_INTERVAL_S)
            times.append(time.monotonic() - began)
            self.cluster.start(leader)
            # Gives the restarted host time to rejoin before the next kill.
            await asyncio.sleep(3.0)
        self.record_figure(
            "seconds without a leader, median", bench.quantile(times, 0.5)
        )
        self.record_figure("seconds without a leader, worst", max(times))

    async def find_leader(self):
        """Return the host that reports itself as leader, or an empty string."""
        for name in self.cluster.nodes_with_role("control"):
            if not self.cluster.is_running(name):
                continue
            reply = await self.cluster.call_admin(name, "/status", timeout_s=1.0)
            if reply.code == 200 and orjson.loads(reply.body)["role"] == "leader":
                return name
        return ""

    async def measure_restart(self):
        """Measure restart time and memory of a single host by its record count."""
        for count in RESTART_RECORD_COUNTS:
            await self.commit_many(count - self.commit_count)
            name = self.cluster.nodes_with_role("control")[0]
            self.cluster.kill(name)
            began = time.monotonic()
            self.cluster.start(name)
            while await self.find_leader() != name:
                await asyncio.sleep(POLL_INTERVAL_S)
            self.record_figure(
                f"seconds until a host leads again with {count} records",
                time.monotonic() - began,
            )
            self.record_figure(
                f"control MB with {count} records",
                self.cluster.memory_bytes(name) / bench.MEGABYTE,
            )


async def measure(figures):
    """Take all measurements and store them in `figures`."""
    daemon.configure_http()
    for size in REPLICA_COUNTS:
        nodes = [cluster.NodeSpec(f"c{n}", ("control",)) for n in range(size)]
        with tempfile.TemporaryDirectory() as folder:
            async with cluster.Cluster(folder, nodes, (), relayed=False) as running:
                await running.apply_config(
                    {"expected_version": 0, "change_id": "first"}
                )
                state_bench = StateBench(running, figures, size)
                await state_bench.attach()
                await state_bench.measure_commits()
                if size == 1:
                    await state_bench.measure_restart()
                if size == 3:
                    for count in MEMBER_COUNTS:
                        await state_bench.measure_propagation(count)
                    await state_bench.measure_failover()
                state_bench.member.close()


@click.command()
@click.option("--out", type=click.Path(), help="Write the figures to this JSON file.")
def main(out):
    """Measure commits, propagation, failover and restart of control hosts."""
    figures = {}
    asyncio.run(measure(figures))
    if out:
        pathlib.Path(out).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
