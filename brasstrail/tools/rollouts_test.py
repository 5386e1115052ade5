"""Test of roll-outs with real processes: control hosts, gateways and fake servers."""

import asyncio
import pathlib
import tempfile
import time
import unittest

import orjson

from brasstrail.fakes import fleetcalls
from brasstrail.roles import daemon
from brasstrail.tools import cluster

WORKSPACES = (fleetcalls.Workspace("w", ("k",), 1e6, 1e6),)
CANARY_SHARE = 0.3
CANARY_SLACK = 50
# Callers that each send one request after the other, of 0.1 s on average.
CALLERS = 8
DURATION_S = 15
# A gateway that has not heard of a decision stops using the new version this long after
# its last confirmed heartbeat.
NEWS_S = 2.5


class RolloutProcessTest(unittest.IsolatedAsyncioTestCase):
    """A bad version is reverted, and then a good one is completed, under load."""

    async def asyncSetUp(self):
        daemon.configure_http()
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name)
        self.replies = []
        self.is_stopped = False

    def make_nodes(self):
        """Return the daemons: three control hosts and two gateways."""
        bounds = f"canary_share = {CANARY_SHARE}\ncanary_slack = {CANARY_SLACK}\n"
        address = 'document_address = "127.0.0.1:{document}"\n'
        return [
            *(
                cluster.NodeSpec(
                    f"c{number}", ("control",), extra_settings=address + bounds
                )
                for number in range(3)
            ),
            *(
                cluster.NodeSpec(f"g{number}", ("gateway",), extra_settings=bounds)
                for number in range(2)
            ),
        ]

    def start_server(self, name, version, *options):
        """Start a server of a version."""
        port = self.running.port_allocator.allocate()
        self.running.run(
            name,
            "brasstrail.fakes.fleet",
            *("--port", port, "--announced-port", port),
            *("--controls", ",".join(self.addresses)),
            *("--service", fleetcalls.PLAIN_SERVICE, "--version", version),
            *("--journal", self.folder / f"{name}.runs"),
            *options,
        )

    def starts(self, prefix):
        """Return the times at which servers with a name's prefix began requests."""
        return [
            record["at"]
            for path in self.folder.glob(f"{prefix}*.runs")
            for record in map(orjson.loads, path.read_bytes().splitlines())
            if record["event"] == "start"
        ]

    async def call_often(self, number):
        """Send one request after the other, at the gateways in turn."""
        caller, count = fleetcalls.Caller(), 0
        while not self.is_stopped:
            count += 1
            name = self.gateways[count % len(self.gateways)]
            identity = f"{number}-{count}"
            reply = fleetcalls.Reply(identity, "look", "k", name, time.time())
            address = f"127.0.0.1:{self.running.ports[name]['http']}"
            await caller.call(address, reply, 0, 6.0)
            self.replies.append(reply)
            await asyncio.sleep(0 if reply.status == 200 else 0.1)
        caller.close()

    async def order(self, to):
        """Order a roll-out, and wait until it is decided; return its state."""
        body = orjson.dumps(
            {"service": fleetcalls.PLAIN_SERVICE, "to": to, "duration_s": DURATION_S}
        )
        port = self.running.ports["c1"]["document"]
        reply = await self.running.fetch(port, "/v1/rollouts", body)
        self.assertEqual(reply.code, 200)
        end = time.monotonic() + DURATION_S + 2.0
        while time.monotonic() < end:
            port = self.running.ports["c2"]["document"]
            path = f"/v1/rollouts/{fleetcalls.PLAIN_SERVICE}"
            reply = await self.running.fetch(port, path)
            state = orjson.loads(reply.body).get("state")
            if state in ("completed", "reverted"):
                return state
            await asyncio.sleep(0.1)
        return state

    async def test_bad_version_is_reverted_and_good_one_completed(self):
        async with cluster.Cluster(self.folder, self.make_nodes(), ()) as self.running:
            ports = self.running.ports
            self.gateways = self.running.nodes_with_role("gateway")
            self.addresses = [
                f"127.0.0.1:{ports[each]['document']}"
                for each in self.running.nodes_with_role("control")
            ]
            for number in range(2):
                self.start_server(f"old-{number}", "v1")
            document = fleetcalls.make_document(1, WORKSPACES)

            async def is_acknowledged():
                put = fleetcalls.put_document(self.addresses[0], document, 2.0)
                return await put == 200

            await self.running.wait_until(is_acknowledged, "the document")
            callers = [
                asyncio.ensure_future(self.call_often(each)) for each in range(CALLERS)
            ]
            try:
                await self.running.wait_until(self.is_serving, "the gateways")
                await self.check_bad_version()
                await self.check_good_version()
            finally:
                self.is_stopped = True
                await asyncio.gather(*callers)

    async def is_serving(self):
        """Return whether requests are answered."""
        return [each.status for each in self.replies[-5:]] == [200] * 5

    async def check_bad_version(self):
        """Order a version half of whose answers fail."""
        before = len(self.replies)
        ordered_at = time.time()
        for number in range(2):
            self.start_server(f"bad-{number}", "v2", "--failure-fraction", 0.5)
        self.assertEqual(await self.order("v2"), "reverted")
        decided_at = time.time()
        # A version that was only not proven is reverted at the deadline.
        self.assertLess(decided_at, ordered_at + DURATION_S - 1.0)
        await asyncio.sleep(1.5 * NEWS_S)
        starts = [at for at in self.starts("bad") if at > ordered_at]
        sent = len(self.replies) - before
        self.assertGreater(len(starts), 0)
        self.assertLess(len(starts), CANARY_SHARE * sent + CANARY_SLACK)
        self.assertEqual([at for at in starts if at > decided_at + NEWS_S], [])

    async def check_good_version(self):
        """Order a good version, and end the old servers once it is completed."""
        for number in range(2):
            self.start_server(f"good-{number}", "v3")
        self.assertEqual(await self.order("v3"), "completed")
        decided_at = time.time()
        for number in range(2):
            self.running.kill(f"old-{number}")
        before = len(self.replies)
        await asyncio.sleep(2.0)
        late = [at for at in self.starts("old") if at > decided_at]
        self.assertEqual(late, [])
        statuses = {each.status for each in self.replies[before:]}
        self.assertEqual(statuses, {200})


if __name__ == "__main__":
    unittest.main()
