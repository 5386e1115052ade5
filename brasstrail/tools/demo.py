"""The demonstration: two daemons, two fake backend servers and a few requests.

All processes run on loopback; this program starts and stops them. It prints the
response to each request and exits with status 0 if every response is as expected,
otherwise with status 1.
"""

import asyncio
import sys
import tempfile

import click
import orjson

from brasstrail.roles import daemon
from brasstrail.tools import cluster

# The plain service has an agent in a process of its own.
NODES = (
    cluster.NodeSpec("demo", ("entry", "agent", "control")),
    cluster.NodeSpec("demo-filing", ("agent",)),
)
SERVERS = (
    cluster.ServerSpec("demo", "model", "assist-llm"),
    cluster.ServerSpec("demo-filing", "plain", "filing-app"),
)
CONFIG = {
    "expected_version": 0,
    "change_id": "demo",
    "services": [
        {"name": "assist-llm", "kind": "model", "models": ["assist-1"]},
        {"name": "filing-app", "kind": "plain"},
    ],
    "classes": [
        {
            "name": "review",
            "service": "assist-llm",
            "tier": 1,
            "idempotent": True,
            "target": {"fraction": 0.99, "within_ms": 10000},
        },
        {
            "name": "submit",
            "service": "filing-app",
            "tier": 1,
            "idempotent": False,
            "target": {"fraction": 0.999, "within_ms": 10000},
        },
        {
            "name": "status",
            "service": "filing-app",
            "tier": 2,
            "idempotent": True,
            "target": {"fraction": 0.99, "within_ms": 10000},
        },
    ],
    "workspaces": [{"name": "bottler"}],
}
CHAT = {
    "model": "assist-1",
    "max_tokens": 12,
    "messages": [{"role": "user", "content": "Is this return complete?"}],
}
CHAT_PATH = "/v1/chat/completions"
SUBMIT_PATH = "/services/filing-app/returns"
MAX_SHOWN_CHARACTERS = 110


class Demo:
    """Sends the requests of the demonstration and counts unexpected results."""

    def __init__(self, demo_cluster):
        self.cluster = demo_cluster
        self.failures = 0

    async def send_and_print(self, title, expected, path, body=None, **options):
        """Send a request, check the status of its response and print the result."""
        port = self.cluster.ports["demo"]["http"]
        reply = await self.cluster.fetch(port, path, body, **options)
        as_expected = reply.code == expected
        self.failures += not as_expected
        lines = (reply.body or b"").decode().strip().splitlines()
        label = "ok  " if as_expected else "BAD "
        click.echo(
            f"{label}{title}: {reply.code} in {reply.request_time * 1000:.0f} ms"
        )
        click.echo(f"      {lines[-1][:MAX_SHOWN_CHARACTERS] if lines else ''}")
        return reply

    async def send_chat_requests(self):
        """Send requests to the model service."""
        await self.send_and_print(
            "a complete answer", 200, CHAT_PATH, orjson.dumps(CHAT)
        )
        streaming_body = orjson.dumps({**CHAT, "stream": True})
        await self.send_and_print("a streamed answer", 200, CHAT_PATH, streaming_body)
        await self.send_and_print("a body that is not JSON", 400, CHAT_PATH, b"{")

    async def send_submissions(self):
        """Send requests to the plain service.

        The submission is sent twice with one idempotency key. It must run once and
        give the same response both times.
        """
        headers = {"Brasstrail-Class": "submit", "Idempotency-Key": "return-2026-q4"}
        first_reply = await self.send_and_print(
            "a submission", 201, SUBMIT_PATH, b"{}", headers=headers
        )
        repeated_reply = await self.send_and_print(
            "the same submission again", 201, SUBMIT_PATH, b"{}", headers=headers
        )
        await self.send_and_print(
            "the same key with another body", 422, SUBMIT_PATH, b"{1}", headers=headers
        )
        lookup_headers = {"Brasstrail-Class": "status"}
        await self.send_and_print("a look-up", 200, SUBMIT_PATH, headers=lookup_headers)
        observed = await self.cluster.call_server("demo-filing", "/fake/seen")
        click.echo(f"the filing service ran {len(observed['acts'])} submission")
        self.failures += len(observed["acts"]) != 1
        self.failures += first_reply.body != repeated_reply.body


async def run():
    """Run the demonstration and return the number of unexpected results."""
    daemon.configure_http()
    with tempfile.TemporaryDirectory() as folder:
        async with cluster.Cluster(folder, NODES, SERVERS) as demo_cluster:
            applied = await demo_cluster.apply_config(CONFIG)
            click.echo(f"configuration: version {applied['version']} is in force")
            await demo_cluster.wait_ready()
            demo = Demo(demo_cluster)
            await demo.send_chat_requests()
            await demo.send_submissions()
            return demo.failures


@click.command()
def main():
    """Run the demonstration."""
    failures = asyncio.run(run())
    click.echo("done" if not failures else f"{failures} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
