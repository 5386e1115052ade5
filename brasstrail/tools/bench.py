"""Speed and size of the whole path, beside direct calls to the same engine.

It prints the time added to the first byte and to the whole answer, requests and
streamed chunks a second with the processor time that they cost in each process,
resident memory idle and under load, and the processor share of idle roles.
"""

import asyncio
import dataclasses
import json
import pathlib
import tempfile
import time

import click
import orjson
from tornado import httpclient

from brasstrail.roles import daemon
from brasstrail.tools import cluster, demo

CHAT_PATH = "/v1/chat/completions"
WARM_REQUESTS = 30
PROBES = 300
PROBE_PAUSE_S = 0.01
IDLE_S = 5.0
BULK_REQUESTS = 400
BULK_AT_ONCE = 32
STREAMS = 24
STREAM_TOKENS = 1500
MEGABYTE = 1024 * 1024

NODES = (
    cluster.NodeSpec("c1", ("control",)),
    cluster.NodeSpec("e1", ("entry",)),
    cluster.NodeSpec("m1", ("agent",)),
)
ENGINE = ("--round-ms", "0.2", "--prefill-rate", "2000000", "--slots", "64")
SERVERS = (cluster.ServerSpec("m1", "model", "assist-llm", ENGINE),)
CONFIG = {
    **demo.CONFIG,
    "services": demo.CONFIG["services"][:1],
    "classes": demo.CONFIG["classes"][:1],
}


@dataclasses.dataclass
class Clocked:
    """The times of one streamed request, in milliseconds."""

    first_ms: float
    whole_ms: float


class Bench:
    """The measurements on a running cluster."""

    def __init__(self, running):
        self.cluster = running
        self.direct = running.ports["m1"]["server"]
        self.through = running.ports["e1"]["http"]
        self.figures = {}

    async def run(self):
        """Take all measurements."""
        for port in (self.direct, self.through):
            for _ in range(WARM_REQUESTS):
                await self.clock(port, 4)
        await self.idle()
        await self.added_time()
        await self.requests_a_second()
        await self.tokens_a_second()
        return self.figures

    async def clock(self, port, tokens):
        """Stream one request and return its times."""
        body = orjson.dumps({**demo.CHAT, "stream": True, "max_tokens": tokens})
        first = []
        began = time.monotonic()

        def note(chunk):
            if not first:
                first.append(time.monotonic())

        request = httpclient.HTTPRequest(
            f"http://127.0.0.1:{port}{CHAT_PATH}",
            method="POST",
            body=body,
            streaming_callback=note,
            request_timeout=60,
        )
        await self.cluster.client.fetch(request)
        ended = time.monotonic()
        return Clocked((first[0] - began) * 1000, (ended - began) * 1000)

    async def idle(self):
        """Measure the idle processor share and memory of each role."""
        names = [node.name for node in NODES]
        before = {name: self.cluster.cpu_seconds(name) for name in names}
        await asyncio.sleep(IDLE_S)
        for name in names:
            used = self.cluster.cpu_seconds(name) - before[name]
            role = self.cluster.nodes[name].roles[0]
            self.figures[f"idle {role} share of a core"] = used / IDLE_S
            self.figures[f"idle {role} MB"] = self.megabytes(name)

    def megabytes(self, name):
        """Return the resident memory of a process in MB."""
        return self.cluster.memory_bytes(name) / MEGABYTE

    async def added_time(self):
        """Measure the time added to the first byte, call by call in turn."""
        direct, through = [], []
        for _ in range(PROBES):
            direct.append((await self.clock(self.direct, 8)).first_ms)
            through.append((await self.clock(self.through, 8)).first_ms)
            await asyncio.sleep(PROBE_PAUSE_S)
        for name, place in (("p50", 0.5), ("p99", 0.99)):
            base = quantile(direct, place)
            whole = quantile(through, place)
            self.figures[f"first byte direct {name} ms"] = base
            self.figures[f"first byte through {name} ms"] = whole
            self.figures[f"first byte added {name} ms"] = whole - base

    async def requests_a_second(self):
        """Measure short requests a second through one entry."""
        before = self.cpu()
        began = time.monotonic()
        await self.many(BULK_REQUESTS, BULK_AT_ONCE, 2)
        seconds = time.monotonic() - began
        self.figures["requests a second"] = BULK_REQUESTS / seconds
        for role, used in self.used(before).items():
            self.figures[f"{role} ms of processor a request"] = (
                used * 1000 / BULK_REQUESTS
            )

    async def tokens_a_second(self):
        """Measure streamed tokens a second through one entry and agent."""
        before = self.cpu()
        began = time.monotonic()
        await self.many(STREAMS, STREAMS, STREAM_TOKENS)
        seconds = time.monotonic() - began
        tokens = STREAMS * STREAM_TOKENS
        self.figures["tokens a second"] = tokens / seconds
        for role, used in self.used(before).items():
            self.figures[f"{role} us of processor a token"] = used * 1e6 / tokens
        for node in NODES:
            role = node.roles[0]
            self.figures[f"{role} MB under load"] = self.megabytes(node.name)

    def cpu(self):
        """Return the processor time used by entry and agent so far."""
        return {
            "entry": self.cluster.cpu_seconds("e1"),
            "agent": self.cluster.cpu_seconds("m1"),
        }

    def used(self, before):
        """Return the processor time used since `before`."""
        return {role: used - before[role] for role, used in self.cpu().items()}

    async def many(self, count, at_once, tokens):
        """Send requests, so many at once."""
        gate = asyncio.Semaphore(at_once)

        async def one():
            async with gate:
                await self.clock(self.through, tokens)

        await asyncio.gather(*(one() for _ in range(count)))


def quantile(values, place):
    """Return a quantile of some values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * place))]


async def measure():
    """Start a cluster and return all figures."""
    daemon.configure_http()
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.Cluster(folder, NODES, SERVERS, relayed=False) as running:
            await running.apply_config(CONFIG)
            await running.wait_ready()
            return await Bench(running).run()


@click.command()
@click.option("--out", type=click.Path(), help="Write JSON here.")
def main(out):
    """Measure the speed and the size of the whole path."""
    figures = asyncio.run(measure())
    for name, value in figures.items():
        click.echo(f"{value:12.3f}  {name}")
    if out:
        pathlib.Path(out).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
