"""Measures scheduling policies: goodput by tier and wasted prefill.

Real daemons, as many as a deployment has, run on loopback against fake backend
servers of different speeds. The transport between daemons adds the delay between
data centres and the delay and bandwidth between regions. Each policy gets the same
open-loop load for each seed, and one row is printed for each run. The work that a
backend server did is read from that server.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import pathlib
import statistics
import sys
import tempfile
import time

import click
import orjson

from brasstrail.fakes import batching
from brasstrail.protocol import chat
from brasstrail.roles import daemon
from brasstrail.tools import cluster, trace

CHAT_PATH = "/v1/chat/completions"
REPLY_TIMEOUT_S = 40.0
# The wait after the last response before the jobs are read from the servers.
DRAIN_S = 3.0
SLOTS = 6
# The link between regions carries 15 Mbit/s.
LINK_RATE_BYTES_PER_S = 15_000_000 // 8
# Prefill rate in tokens per second and milliseconds per decode round, for each
# backend server.
SERVER_SPEEDS = ((9000, 14), (9000, 14), (6000, 20), (6000, 20), (3000, 32), (3000, 32))
# The default of `batching.Speed.step_ms_per_request`.
ROUND_MS_PER_REQUEST = 0.5
# The batch size that `goodput_upper_bound` assumes; a larger one raises the bound.
MAX_BATCH_REQUESTS = 48
CACHE_BLOCKS = 120


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment to measure.

    Parameters
    ----------
    service : the name of the model service.
    locations : data centre and region of each host.
    server_speeds : prefill rate and round time of each backend server, as
        in `SERVER_SPEEDS`.
    delay_ms : the delay between data centres.
    kinds : the kinds of requests.
    requests_per_s : the mean request rate outside the burst.
    """

    service: str
    locations: tuple
    server_speeds: tuple
    delay_ms: float
    kinds: tuple
    requests_per_s: float


DEPLOYMENTS = {
    "khangai": Deployment(
        "assist-llm",
        (("ub-east", "ub"), ("ub-west", "ub"), ("dk-main", "dk")),
        SERVER_SPEEDS,
        0.5,
        trace.KHANGAI_KINDS,
        14.0,
    ),
    "association": Deployment(
        "proof-reader",
        (("almaty-east", "almaty"), ("almaty-west", "almaty"), ("astana-left", "as")),
        SERVER_SPEEDS[:5],
        1.5,
        trace.ASSOCIATION_KINDS,
        16.0,
    ),
}


@dataclasses.dataclass
class Outcome:
    """The result of one request as its caller observed it.

    `complete` is whether the whole stream arrived, `code` the error code of an
    incomplete answer. `caller_request_id` is the header `Brasstrail-Request` of the
    response.
    """

    arrival: trace.Arrival
    status: int
    complete: bool
    elapsed_ms: float
    code: str = ""
    caller_request_id: str = ""


def make_nodes(deployment):
    """Return the daemons: hosts with the roles entry and control, and agents."""
    shaping = (
        f"[shaping]\ndata_centre_delay_ms = {deployment.delay_ms}\n"
        f"region_delay_ms = 30.0\nrate_bytes = {LINK_RATE_BYTES_PER_S}\n"
    )
    nodes = []
    for number, location in enumerate(deployment.locations):
        roles = ("entry", "control")
        nodes.append(
            cluster.NodeSpec(f"c{number}", roles, *location, extra_settings=shaping)
        )
    for number in range(len(deployment.server_speeds)):
        location = deployment.locations[number % len(deployment.locations)]
        nodes.append(
            cluster.NodeSpec(
                f"m{number}", ("agent",), *location, extra_settings=shaping
            )
        )
    return nodes


def make_servers(deployment):
    """Return the fake backend servers, one for each agent."""
    servers = []
    for number, (prefill_rate, round_ms) in enumerate(deployment.server_speeds):
        options = (
            "--prefill-rate",
            str(prefill_rate),
            "--round-ms",
            str(round_ms),
            "--slots",
            str(SLOTS),
            "--cache-blocks",
            str(CACHE_BLOCKS),
            "--seed",
            str(number),
            "--draws-lengths",
        )
        servers.append(
            cluster.ServerSpec(f"m{number}", "model", deployment.service, options)
        )
    return servers


def make_config(deployment):
    """Return the configuration of a deployment."""
    classes = [
        {
            "name": kind.work_class,
            "service": deployment.service,
            "tier": kind.tier,
            "idempotent": True,
            "target": {"fraction": 0.99, "within_ms": kind.within_ms},
        }
        for kind in deployment.kinds
    ]
    service = {"name": deployment.service, "kind": "model", "models": ["assist-1"]}
    return {
        "expected_version": 0,
        "change_id": "measure",
        "services": [service],
        "classes": classes,
        "workspaces": [{"name": name} for name, _ in trace.WORKSPACE_WEIGHTS],
    }


def make_body(arrival):
    """Return the encoded body of a chat request."""
    content = [{"type": "text", "text": arrival.prompt}]
    if arrival.photo:
        image = {"url": f"data:image/jpeg;base64,{arrival.photo}"}
        content.append({"type": "image_url", "image_url": image})
    return orjson.dumps(
        {
            "model": "assist-1",
            "stream": True,
            "max_tokens": arrival.max_tokens,
            "messages": [{"role": "user", "content": content}],
        }
    )


class Run:
    """One run of a policy under one load.

    `crash_every_s` is the interval between crashes of a backend server; 0 means
    no crashes. `jobs` collects the jobs of the fake backend servers: one for each
    attempt that was submitted to one of them.
    """

    def __init__(self, deployment, policy, arrivals, crash_every_s=0.0):
        self.deployment = deployment
        self.policy = policy
        self.arrivals = arrivals
        self.crash_every_s = crash_every_s
        self.outcomes = []
        self.jobs = []

    async def run(self, folder):
        """Start the cluster, send the load and return the row of figures."""
        nodes = make_nodes(self.deployment)
        servers = make_servers(self.deployment)
        async with cluster.Cluster(folder, nodes, servers, self.policy) as running:
            await running.apply_config(make_config(self.deployment))
            await running.wait_ready()
            await self.send_all(running)
            await asyncio.sleep(DRAIN_S)
            await self.collect_jobs(running)
        return self.make_row()

    async def send_all(self, running):
        """Send each request at its arrival time, whether or not others are done."""
        began = time.monotonic()
        crashes = asyncio.ensure_future(self.crash_servers(running))
        tasks = []
        for arrival in self.arrivals:
            body = make_body(arrival)
            await asyncio.sleep(max(0.0, began + arrival.at - time.monotonic()))
            tasks.append(asyncio.ensure_future(self.send(running, arrival, body)))
        await asyncio.gather(*tasks)
        crashes.cancel()

    async def crash_servers(self, running):
        """Kill the backend servers in turn at the crash interval and restart them.

        A killed server stays down for half of the interval.
        """
        names = list(running.servers)
        number = 0
        while self.crash_every_s:
            await asyncio.sleep(self.crash_every_s / 2)
            name = names[number % len(names)]
            number += 1
            self.jobs += await self.read_jobs(running, name)
            running.kill(f"server-{name}")
            await asyncio.sleep(self.crash_every_s / 2)
            running.start_server(name)

    async def send(self, running, arrival, body):
        """Send one request and record its outcome."""
        port = running.ports[f"c{arrival.entry}"]["http"]
        began = time.monotonic()
        reply = await running.fetch(
            port,
            CHAT_PATH,
            body,
            REPLY_TIMEOUT_S,
            headers={
                "Brasstrail-Class": arrival.kind.work_class,
                "Brasstrail-Workspace": arrival.workspace,
            },
        )
        elapsed_ms = (time.monotonic() - began) * 1000
        caller_request_id = (
            reply.headers.get("Brasstrail-Request", "") if reply.headers else ""
        )
        complete = reply.code == 200 and (reply.body or b"").endswith(
            chat.event(chat.STREAM_END)
        )
        code = "" if complete else read_code(reply)
        self.outcomes.append(
            Outcome(arrival, reply.code, complete, elapsed_ms, code, caller_request_id)
        )

    async def read_jobs(self, running, name):
        """Return the jobs submitted to a backend server since it was last started."""
        seen = await running.call_server(name, "/fake/seen")
        return seen["jobs"] if seen else []

    async def collect_jobs(self, running):
        """Add the jobs of all backend servers to those read before crashes."""
        for name in running.servers:
            self.jobs += await self.read_jobs(running, name)

    # Figures.

    def make_row(self):
        """Return the figures of the run."""
        row = {"policy": self.policy, "sent": len(self.outcomes)}
        for tier in (1, 2, 3):
            row[f"goodput_{tier}"] = self.goodput(tier)
            row[f"refused_{tier}"] = self.tier_share(tier, lambda o: o.status == 503)
        row["goodput"] = self.goodput(None)
        row.update(self.prefill_waste())
        row["p50_ms"], row["p95_ms"] = self.latency_quantiles()
        row["bound"] = self.goodput_upper_bound()
        row["fairness"] = self.fairness()
        row["outcomes"] = dict(collections.Counter(o.code for o in self.outcomes))
        return row

    def outcomes_of_tier(self, tier):
        """Return the outcomes of a tier, or of all tiers if it is None."""
        return [o for o in self.outcomes if tier in (None, o.arrival.kind.tier)]

    def tier_share(self, tier, predicate):
        """Return the share of a tier's requests that satisfy a predicate."""
        tier_outcomes = self.outcomes_of_tier(tier)
        return sum(map(predicate, tier_outcomes)) / max(1, len(tier_outcomes))

    def goodput(self, tier):
        """Return the share of requests answered completely and within the target."""
        return self.tier_share(tier, meets_target)

    def fairness(self):
        """Return the lowest goodput of a workspace divided by the total goodput."""
        groups = collections.defaultdict(list)
        for outcome in self.outcomes:
            groups[outcome.arrival.workspace].append(meets_target(outcome))
        shares = [sum(group) / len(group) for group in groups.values()]
        return min(shares) / max(1e-9, self.goodput(None))

    def latency_quantiles(self):
        """Return the median and 95th percentile latency of complete answers, in ms."""
        sorted_ms = sorted(o.elapsed_ms for o in self.outcomes if o.complete)
        if not sorted_ms:
            return 0.0, 0.0
        return sorted_ms[len(sorted_ms) // 2], sorted_ms[int(len(sorted_ms) * 0.95)]

    def prefill_waste(self):
        """Return the shares of prefill tokens that were wasted and repeated.

        Prefill is wasted if the request was not delivered or if a later attempt
        of it ran. It is repeated if the blocks were not in the server's cache
        but had been part of an earlier job's prompt. A job's `request_id` is the
        id of an attempt: the caller's request id, a dot and the attempt's number.
        """
        delivered_ids = {
            outcome.caller_request_id for outcome in self.outcomes if outcome.complete
        }
        last_attempts = {}
        for job in sorted(self.jobs, key=lambda job: job["at"]):
            last_attempts[job["request_id"].rpartition(".")[0]] = job["request_id"]
        total_tokens = wasted_tokens = repeated_tokens = 0
        seen_blocks = set()
        for job in sorted(self.jobs, key=lambda job: job["at"]):
            caller_request_id = job["request_id"].rpartition(".")[0]
            total_tokens += job["prefilled"]
            if (
                caller_request_id not in delivered_ids
                or last_attempts[caller_request_id] != job["request_id"]
            ):
                wasted_tokens += job["prefilled"]
            cached_blocks = job["cached_tokens"] // chat.BLOCK_TOKENS
            repeated_blocks = sum(
                block in seen_blocks for block in job["prefix"][cached_blocks:]
            )
            repeated_tokens += min(
                job["prefilled"], repeated_blocks * chat.BLOCK_TOKENS
            )
            seen_blocks.update(job["prefix"])
        total_tokens = max(1, total_tokens)
        return {
            "wasted": wasted_tokens / total_tokens,
            "again": repeated_tokens / total_tokens,
        }

    def goodput_upper_bound(self):
        """Return an upper bound on goodput from the time of all backend servers.

        Requests are counted by tier, the shortest first within a tier, until the
        time of all servers is used up. A prompt costs only the prefill of the
        part that no cache can hold, a token costs its time in the largest batch,
        and queues, deadlines and cache misses cost nothing. No policy can
        therefore exceed the bound.
        """
        longest_target_ms = max(kind.within_ms for kind in self.deployment.kinds)
        duration_s = self.arrivals[-1].at + longest_target_ms / 1000
        capacity_s = duration_s * sum(
            map(self.relative_speed, self.deployment.server_speeds)
        )
        ranked_times = sorted(
            (arrival.kind.tier, self.min_server_time_s(arrival))
            for arrival in self.arrivals
        )
        good_count = 0
        for _, needed_s in ranked_times:
            capacity_s -= needed_s
            if capacity_s < 0:
                break
            good_count += 1
        return good_count / len(self.arrivals)

    def relative_speed(self, speed):
        """Return the speed of a backend server relative to the first one.

        The higher of the relative prefill and decode speeds counts, so that the
        bound stays an upper bound.
        """
        reference_rate, reference_round_ms = self.deployment.server_speeds[0]
        return max(speed[0] / reference_rate, reference_round_ms / speed[1])

    def min_server_time_s(self, arrival):
        """Return the least time of a request on the first backend server, in s."""
        prefill_rate, round_ms = self.deployment.server_speeds[0]
        body_table = orjson.loads(make_body(arrival))
        parsed = chat.read_request(body_table)
        text, _ = chat.prompt_text(body_table["messages"])
        digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
        tokens = batching.draw_output_length(digest, arrival.max_tokens)
        shared_text = len(trace.make_shared_prefix(arrival.workspace, arrival.kind))
        cached_count = shared_text // chat.BLOCK_CHARS * chat.BLOCK_TOKENS
        prefill_count = max(1, parsed.prompt_tokens - cached_count)
        token_ms = round_ms / MAX_BATCH_REQUESTS + ROUND_MS_PER_REQUEST
        return prefill_count / prefill_rate + tokens * token_ms / 1000


def meets_target(outcome):
    """Return whether an answer was complete and within its target."""
    return outcome.complete and outcome.elapsed_ms <= outcome.arrival.kind.within_ms


def read_code(reply):
    """Return the error code of a reply, or its status if it has none."""
    try:
        return orjson.loads(reply.body)["error"]["code"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return f"status {reply.code}"


COLUMNS = (
    "policy",
    "seed",
    "sent",
    "goodput_1",
    "goodput_2",
    "goodput_3",
    "goodput",
    "bound",
    "refused_1",
    "refused_3",
    "wasted",
    "again",
    "fairness",
    "p50_ms",
    "p95_ms",
)


def show_row(row):
    """Print the figures of a run as one table row."""
    cells = []
    for name in COLUMNS:
        value = row[name]
        text = f"{value:.3f}" if isinstance(value, float) and value < 10 else value
        text = f"{value:.0f}" if isinstance(value, float) and value >= 10 else text
        cells.append(f"{text!s:>{max(9, len(name))}}")
    click.echo(" ".join(cells))


def show_summary(rows):
    """Print the median and the range of each policy over the seeds."""
    click.echo("\nmedian (lowest to highest) over the seeds")
    for policy in dict.fromkeys(row["policy"] for row in rows):
        policy_rows = [row for row in rows if row["policy"] == policy]
        parts = []
        for name in ("goodput_1", "goodput_2", "goodput_3", "goodput", "wasted"):
            values = sorted(row[name] for row in policy_rows)
            parts.append(
                f"{name} {statistics.median(values):.3f} "
                f"({values[0]:.3f} to {values[-1]:.3f})"
            )
        click.echo(f"{policy}: " + ", ".join(parts))


@click.command()
@click.option("--deployment", type=click.Choice(list(DEPLOYMENTS)), default="khangai")
@click.option("--policy", "policies", multiple=True, default=["granted"])
@click.option("--seed", "seeds", type=int, multiple=True, default=[1])
@click.option("--seconds", type=float, default=18.0)
@click.option("--load", type=float, default=1.0, help="Factor of the request rate.")
@click.option("--burst", type=float, default=2.0)
@click.option(
    "--crash-every",
    type=float,
    default=0.0,
    help="Seconds between crashes; 0 for none.",
)
@click.option("--out", type=click.Path(), help="Write the rows to this JSON file.")
def main(deployment, policies, seeds, seconds, load, burst, crash_every, out):
    """Measure policies under the same seeded loads."""
    daemon.configure_http()
    chosen_deployment = DEPLOYMENTS[deployment]
    load_shape = trace.LoadProfile(
        chosen_deployment.kinds,
        chosen_deployment.requests_per_s * load,
        burst,
        seconds,
        trace.WORKSPACE_WEIGHTS,
    )
    rows = []
    click.echo(" ".join(f"{name:>{max(9, len(name))}}" for name in COLUMNS))
    for seed in seeds:
        arrivals = trace.generate(load_shape, seed)
        for policy in policies:
            with tempfile.TemporaryDirectory() as folder:
                run = Run(chosen_deployment, policy, arrivals, crash_every)
                row = asyncio.run(run.run(folder))
            row["seed"] = seed
            rows.append(row)
            show_row(row)
    show_summary(rows)
    if out:
        details = {"deployment": deployment, "load": load, "burst": burst}
        pathlib.Path(out).write_text(json.dumps({**details, "rows": rows}, indent=1))
    sys.exit(0)


if __name__ == "__main__":
    main()
