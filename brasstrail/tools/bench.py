"""Benchmark of the full request path against direct calls to a backend server.

It prints the latency that is added to the first byte, the rates of requests and
of streamed tokens with the processor time that they cost in each process, the
resident memory when idle and under load, and the processor share of idle roles.
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
WARMUP_REQUESTS = 30
LATENCY_PROBES = 300
PROBE_PAUSE_S = 0.01
IDLE_S = 5.0
BULK_REQUESTS = 400
BULK_CONCURRENCY = 32
STREAMS = 24
STREAM_TOKENS = 1500
MEGABYTE = 1024 * 1024

NODES = (
    cluster.NodeSpec("c1", ("control",)),
    cluster.NodeSpec("e1", ("entry",)),
    cluster.NodeSpec("m1", ("agent",)),
)
SERVER_OPTIONS = ("--round-ms", "0.2", "--prefill-rate", "2000000", "--slots", "64")
SERVERS = (cluster.ServerSpec("m1", "model", "assist-llm", SERVER_OPTIONS),)
CONFIG = {
    **demo.CONFIG,
    "services": demo.CONFIG["services"][:1],
    "classes": demo.CONFIG["classes"][:1],
}


@dataclasses.dataclass
class RequestTimes:
    """Times from a request to the first byte and the end of its response, in ms."""

    first_ms: float
    total_time_ms: float


class Bench:
    """The measurements on a running cluster.

    `figures` maps the name of each figure to its value.
    """

    def __init__(self, running):
        self.cluster = running
        self.direct_port = running.ports["m1"]["server"]
        self.entry_port = running.ports["e1"]["http"]
        self.figures = {}

    async def run(self):
        """Take all measurements, after warm-up requests on both paths."""
        for port in (self.direct_port, self.entry_port):
            for _ in range(WARMUP_REQUESTS):
                await self.time_request(port, 4)
        await self.measure_idle()
        await self.measure_added_latency()
        await self.measure_request_rate()
        await self.measure_token_rate()
        return self.figures

    async def time_request(self, port, tokens):
        """Send one streaming request to a port and return its times."""
        body = orjson.dumps({**demo.CHAT, "stream": True, "max_tokens": tokens})
        first_chunk_times = []
        began = time.monotonic()

        def record_first_chunk(chunk):
            if not first_chunk_times:
                first_chunk_times.append(time.monotonic())

        request = httpclient.HTTPRequest(
            f"http://127.0.0.1:{port}{CHAT_PATH}",
            method="POST",
            body=body,
            streaming_callback=record_first_chunk,
            request_timeout=60,
        )
        await self.cluster.client.fetch(request)
        ended = time.monotonic()
        return RequestTimes(
            (first_chunk_times[0] - began) * 1000, (ended - began) * 1000
        )

    async def measure_idle(self):
        """Measure processor share and resident memory of each role without load."""
        names = [node.name for node in NODES]
        before = {name: self.cluster.cpu_seconds(name) for name in names}
        await asyncio.sleep(IDLE_S)
        for name in names:
            used_seconds = self.cluster.cpu_seconds(name) - before[name]
            role = self.cluster.nodes[name].roles[0]
            self.figures[f"idle {role} share of a core"] = used_seconds / IDLE_S
            self.figures[f"idle {role} MB"] = self.memory_mb(name)

    def memory_mb(self, name):
        """Return the resident memory of a process in MB."""
        return self.cluster.memory_bytes(name) / MEGABYTE

    async def measure_added_latency(self):
        """Measure the latency added to the first byte.

        Calls alternate between the direct path and the entry.
        """
        direct_ms, entry_ms = [], []
        for _ in range(LATENCY_PROBES):
            direct_ms.append((await self.time_request(self.direct_port, 8)).first_ms)
            entry_ms.append((await self.time_request(self.entry_port, 8)).first_ms)
            await asyncio.sleep(PROBE_PAUSE_S)
        for name, quantile_fraction in (("p50", 0.5), ("p99", 0.99)):
            direct_quantile_ms = quantile(direct_ms, quantile_fraction)
            entry_quantile_ms = quantile(entry_ms, quantile_fraction)
            self.figures[f"first byte direct {name} ms"] = direct_quantile_ms
            self.figures[f"first byte through {name} ms"] = entry_quantile_ms
            self.figures[f"first byte added {name} ms"] = (
                entry_quantile_ms - direct_quantile_ms
            )

    async def measure_request_rate(self):
        """Measure the rate of short requests, per second, through one entry."""
        before = self.cpu_seconds_by_role()
        began = time.monotonic()
        await self.send_many(BULK_REQUESTS, BULK_CONCURRENCY, 2)
        seconds = time.monotonic() - began
        self.figures["requests a second"] = BULK_REQUESTS / seconds
        for role, used_seconds in self.cpu_seconds_since(before).items():
            self.figures[f"{role} ms of processor a request"] = (
                used_seconds * 1000 / BULK_REQUESTS
            )

    async def measure_token_rate(self):
        """Measure streamed tokens per second through one entry and one agent."""
        before = self.cpu_seconds_by_role()
        began = time.monotonic()
        await self.send_many(STREAMS, STREAMS, STREAM_TOKENS)
        seconds = time.monotonic() - began
        tokens = STREAMS * STREAM_TOKENS
        self.figures["tokens a second"] = tokens / seconds
        for role, used_seconds in self.cpu_seconds_since(before).items():
            self.figures[f"{role} us of processor a token"] = (
                used_seconds * 1e6 / tokens
            )
        for node in NODES:
            role = node.roles[0]
            self.figures[f"{role} MB under load"] = self.memory_mb(node.name)

    def cpu_seconds_by_role(self):
        """Return the total processor time of entry and agent, in seconds."""
        return {
            "entry": self.cluster.cpu_seconds("e1"),
            "agent": self.cluster.cpu_seconds("m1"),
        }

    def cpu_seconds_since(self, before):
        """Return the processor time of each role since `before`, in seconds."""
        return {
            role: used_seconds - before[role]
            for role, used_seconds in self.cpu_seconds_by_role().items()
        }

    async def send_many(self, count, concurrency, tokens):
        """Send `count` requests, at most `concurrency` of them at a time."""
        semaphore = asyncio.Semaphore(concurrency)

        async def send_one():
            async with semaphore:
                await self.time_request(self.entry_port, tokens)

        await asyncio.gather(*(send_one() for _ in range(count)))


def quantile(values, quantile_fraction):
    """Return the value at a quantile, without interpolation."""
    sorted_values = sorted(values)
    return sorted_values[
        min(len(sorted_values) - 1, int(len(sorted_values) * quantile_fraction))
    ]


async def measure():
    """Start a cluster, run the benchmark and return its figures."""
    daemon.configure_http()
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.Cluster(folder, NODES, SERVERS, relayed=False) as running:
            await running.apply_config(CONFIG)
            await running.wait_ready()
            return await Bench(running).run()


@click.command()
@click.option("--out", type=click.Path(), help="Write the figures to this JSON file.")
def main(out):
    """Measure speed and memory of the full request path."""
    figures = asyncio.run(measure())
    for name, value in figures.items():
        click.echo(f"{value:12.3f}  {name}")
    if out:
        pathlib.Path(out).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
