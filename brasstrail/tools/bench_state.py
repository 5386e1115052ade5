"""Speed of the replicated state: commits, changes in force, a lost leader.

Control hosts run as processes with real disks. Members are stand-ins in this
process that attach to them as entries and agents do.
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

REPLICAS = (1, 3, 5)
MEMBERS = (12, 100, 300)
COMMITS = 1500
AT_ONCE = 64
SINGLE_COMMITS = 200
CHANGES = 12
LEADER_KILLS = 4
RESTART_RECORDS = (2000, 8000)
POLL_S = 0.005
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


class Member:
    """A stand-in for a process that attaches to a control host."""

    def __init__(self, running, name, port):
        seeds = [
            f"127.0.0.1:{running.ports[each]['peer']}"
            for each in running.nodes_with_role("control")
        ]
        text = MEMBER_SETTINGS.format(
            name=name, port=port, secret=cluster.SECRET, seeds=json.dumps(seeds)
        )
        loaded = settings.parse(text)
        self.hub = hub.Hub(
            loaded, 1, logs.make_logger(loaded, logs.make_output(loaded))
        )
        member = data.Member(name, 1, ("agent",), f"127.0.0.1:{port}", "r", "d")
        self.attachment = attachment.Attachment(self.hub, member)

    def start(self):
        """Attach, without listening."""
        self.hub.ticker.start()
        self.attachment.start()

    def close(self):
        """Leave."""
        self.attachment.close()
        self.hub.close()


class StateBench:
    """The measurements on one cluster of control hosts."""

    def __init__(self, running, figures, size):
        self.cluster = running
        self.figures = figures
        self.size = size
        self.member = Member(running, "bench", 1)
        self.number = 0

    def note(self, name, value):
        """Keep and print a figure."""
        self.figures[name] = value
        click.echo(f"{value:12.3f}  {name}")

    async def ready(self):
        """Attach and wait for the first view."""
        self.member.start()
        while not self.member.attachment.has_view:
            await asyncio.sleep(POLL_S)

    async def commit(self):
        """Commit one execution record and return the time it took, in ms."""
        self.number += 1
        command = commands.Receive("w", f"key-{self.number}", bytes(32), 1)
        began = time.monotonic()
        await self.member.attachment.propose(command, 30)
        return (time.monotonic() - began) * 1000

    async def commits(self):
        """Measure commits one at a time and many at once."""
        label = f"{self.size} replicas"
        times = [await self.commit() for _ in range(SINGLE_COMMITS)]
        self.note(f"commit p50 ms, {label}", bench.quantile(times, 0.5))
        self.note(f"commit p99 ms, {label}", bench.quantile(times, 0.99))
        began = time.monotonic()
        await self.bulk(COMMITS)
        rate = COMMITS / (time.monotonic() - began)
        self.note(f"commits a second, {AT_ONCE} at once, {label}", rate)

    async def bulk(self, count):
        """Commit many records, so many at once."""
        gate = asyncio.Semaphore(AT_ONCE)

        async def one():
            async with gate:
                await self.commit()

        await asyncio.gather(*(one() for _ in range(count)))

    async def in_force(self, count):
        """Measure the time from a change's acceptance until all members have it."""
        members = [
            Member(self.cluster, f"member-{count}-{number}", 2 + number)
            for number in range(count)
        ]
        for each in members:
            each.start()
        while not all(self.sees(each, count + 1) for each in members):
            await asyncio.sleep(POLL_S)
        times = [await self.change(members, number) for number in range(CHANGES)]
        self.note(f"in force on {count} members, median ms", bench.quantile(times, 0.5))
        self.note(f"in force on {count} members, worst ms", max(times))
        for each in members:
            each.close()

    def sees(self, member, count):
        """Return whether a member's view holds so many members."""
        return len(member.attachment.view.members) >= count

    async def change(self, members, number):
        """Make one change and return the time until all have it, in ms."""
        name = f"w-{len(members)}-{number}"
        version = self.member.attachment.view.config.version
        command = commands.ChangeConfig(
            name, version, "bench", 1, workspaces=(data.Workspace(name),)
        )
        result = await self.member.attachment.propose(command)
        accepted = time.monotonic()
        waiting = [*members, self.member]
        while any(
            each.attachment.view.config.version < result.version for each in waiting
        ):
            await asyncio.sleep(POLL_S)
        return (time.monotonic() - accepted) * 1000

    async def lose_leader(self):
        """Measure the time without a leader after the leader is killed."""
        times = []
        for _ in range(LEADER_KILLS):
            leader = await self.find_leader()
            began = time.monotonic()
            self.cluster.kill(leader)
            while await self.find_leader() in ("", leader):
                await asyncio.sleep(POLL_S)
            times.append(time.monotonic() - began)
            self.cluster.start(leader)
            await asyncio.sleep(3.0)
        self.note("seconds without a leader, median", bench.quantile(times, 0.5))
        self.note("seconds without a leader, worst", max(times))

    async def find_leader(self):
        """Return the host that says that it leads, or an empty word."""
        for name in self.cluster.nodes_with_role("control"):
            if not self.cluster.is_running(name):
                continue
            reply = await self.cluster.call_admin(name, "/status", timeout_s=1.0)
            if reply.code == 200 and orjson.loads(reply.body)["role"] == "leader":
                return name
        return ""

    async def restart(self):
        """Measure how long a single host takes to come back with its records."""
        for count in RESTART_RECORDS:
            await self.bulk(count - self.number)
            name = self.cluster.nodes_with_role("control")[0]
            self.cluster.kill(name)
            began = time.monotonic()
            self.cluster.start(name)
            while await self.find_leader() != name:
                await asyncio.sleep(POLL_S)
            self.note(
                f"seconds until a host leads again with {count} records",
                time.monotonic() - began,
            )
            self.note(
                f"control MB with {count} records",
                self.cluster.memory_bytes(name) / bench.MEGABYTE,
            )


async def measure(figures):
    """Take all measurements."""
    daemon.configure_http()
    for size in REPLICAS:
        nodes = [cluster.NodeSpec(f"c{n}", ("control",)) for n in range(size)]
        with tempfile.TemporaryDirectory() as folder:
            async with cluster.Cluster(folder, nodes, (), relayed=False) as running:
                await running.apply_config(
                    {"expected_version": 0, "change_id": "first"}
                )
                taken = StateBench(running, figures, size)
                await taken.ready()
                await taken.commits()
                if size == 1:
                    await taken.restart()
                if size == 3:
                    for count in MEMBERS:
                        await taken.in_force(count)
                    await taken.lose_leader()
                taken.member.close()


@click.command()
@click.option("--out", type=click.Path(), help="Write JSON here.")
def main(out):
    """Measure the replicated state."""
    figures = {}
    asyncio.run(measure(figures))
    if out:
        pathlib.Path(out).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
