"""Integration tests of control hosts and gateways in one process on loopback."""

import asyncio
import dataclasses
import pathlib
import tempfile
import time
import types
import unittest
import unittest.mock

import orjson
import structlog
from tornado import httpclient

from brasstrail.coordination import pool
from brasstrail.core import errors, servers
from brasstrail.protocol import messages, session
from brasstrail.roles import control as control_module
from brasstrail.roles import daemon
from brasstrail.roles import publisher as publisher_module
from brasstrail.roles import registry as registry_module
from brasstrail.settings import settings
from brasstrail.tools import ports

PORTS = ports.PortAllocator()
SECRET = "a-secret-of-16-letters"
DOCUMENT = {
    "version": 4,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/a/",
            "type": "idempotent",
            "timeout_ms": 1000,
            "service": "s",
        }
    ],
    "services": [{"name": "s", "max_conns": 9}],
}
ANNOUNCEMENT = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "east",
    "slots": 2,
    "state": "ready",
    "sequence": 1,
    "born": 5,
}
# Fields of a `messages.ServerRecord` with which a server cannot be used.
UNUSABLE_FIELDS = (
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:0"},
    {"address": "nowhere.example:80"},
    {"address": "..:80"},
    {"phase": "asleep"},
    {"identity": "bad-\r\nX: 1"},
    {"identity": "bad-" + "x" * 300},
    {"service": ""},
    {"born_ms": -1},
    {"slots": 0},
    {"cold_ms": float("nan")},
)

WORK = pool.Work("x", "s", (1, 1), 0, 1000, 1000)


def drop_log_line(logger, method, event):
    """Drop the log entry."""
    raise structlog.DropEvent


async def wait_until(condition):
    """Wait up to about 20 s until a condition holds."""
    for _ in range(4000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("The condition did not hold in time.")


class ControlAndGatewayTest(unittest.IsolatedAsyncioTestCase):
    """Three control hosts and two gateways."""

    async def asyncSetUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name)
        self.log = structlog.wrap_logger(None, processors=[drop_log_line])
        self.peers = [f"127.0.0.1:{PORTS.allocate()}" for _ in range(3)]
        self.controls = [
            await self.start(self.control_settings(peer)) for peer in self.peers
        ]
        self.gateways = [
            await self.start(self.gateway_settings(name)) for name in ("g1", "g2")
        ]
        await wait_until(self.is_settled)

    def is_settled(self):
        return all(
            gateway.gateway.budget.gateway_count == 2
            and gateway.gateway.lease.renewed_ms is not None
            for gateway in self.gateways
        ) and all(control.publisher.is_confirmed for control in self.controls)

    async def start(self, loaded):
        started = daemon.Daemon(loaded, self.log)
        await started.start_all()
        self.addCleanup(started.stack.close)
        return started

    def control_settings(self, peer):
        port = int(peer.rpartition(":")[2])
        return settings.Settings(
            settings.Node(peer, ("control",), "one", "east", peer_port=port),
            settings.Cluster("c", SECRET, tuple(self.peers)),
            control=settings.ControlRole(
                data_folder=str(self.folder / str(port)),
                admin_port=0,
                seeds_found=True,
                document_address=f"127.0.0.1:{PORTS.allocate()}",
            ),
        )

    def gateway_settings(self, name):
        return settings.Settings(
            settings.Node(
                name, ("gateway",), "one", "east", peer_port=PORTS.allocate()
            ),
            settings.Cluster("c", SECRET, tuple(self.peers)),
            gateway=settings.GatewayRole(
                f"127.0.0.1:{PORTS.allocate()}", f"127.0.0.1:{PORTS.allocate()}"
            ),
        )

    async def call(self, control, method, path, body=None):
        address = control.settings.control.document_address
        request = httpclient.HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            allow_nonstandard_methods=True,
        )
        client = httpclient.AsyncHTTPClient(force_instance=True)
        self.addCleanup(client.close)
        return await client.fetch(request, raise_error=False)

    async def test_document_is_committed_readable_and_applied(self):
        body = orjson.dumps(DOCUMENT)
        reply = await self.call(self.controls[1], "PUT", "/v1/configuration", body)
        self.assertEqual(reply.code, 200)
        for control in self.controls:
            reply = await self.call(control, "GET", "/v1/configuration")
            self.assertEqual((reply.code, reply.body), (200, body))
        await wait_until(
            lambda: all(each.gateway.document_version == 4 for each in self.gateways)
        )
        other = orjson.dumps({**DOCUMENT, "routes": []})
        reply = await self.call(self.controls[0], "PUT", "/v1/configuration", other)
        self.assertEqual(reply.code, 200)
        reply = await self.call(self.controls[2], "GET", "/v1/configuration")
        self.assertEqual(reply.body, body)
        reply = await self.call(
            self.controls[0], "PUT", "/v1/configuration", b'{"version": 9, "routes": 1}'
        )
        self.assertEqual(reply.code, 422)

    async def test_each_gateway_knows_the_other_gateways(self):
        for _ in range(30):
            counts = {each.gateway.budget.gateway_count for each in self.gateways}
            self.assertEqual(counts, {2})
            peers = [
                each.gateway.gossip.topology.local_addresses for each in self.gateways
            ]
            self.assertEqual([len(addresses) for addresses in peers], [1, 1])
            await asyncio.sleep(0.1)

    async def test_an_announcement_reaches_every_gateway(self):
        announcement = dict(ANNOUNCEMENT)
        path = "/v1/instances/i-1"
        reply = await self.call(
            self.controls[0], "PUT", path, orjson.dumps(announcement)
        )
        self.assertEqual(reply.code, 200)
        await wait_until(
            lambda: all("i-1" in each.gateway.pool.servers for each in self.gateways)
        )
        announcement.update(state="draining", sequence=2)
        await self.call(self.controls[2], "PUT", path, orjson.dumps(announcement))
        await wait_until(
            lambda: (
                not any(each.gateway.pool.has_servers(WORK) for each in self.gateways)
            )
        )
        reply = await self.call(self.controls[0], "PUT", path, b'{"service": 3}')
        self.assertEqual(reply.code, 400)

    async def test_foreign_announcement_does_not_end_links_for_good(self):
        """Guards against an unsendable announcement that stops all reconnections.

        It was stored before it was sent, and each new link tried to send it.
        """
        body = orjson.dumps(DOCUMENT)
        await self.call(self.controls[0], "PUT", "/v1/configuration", body)
        for control in self.controls:
            reply = await self.call(
                control,
                "PUT",
                "/v1/instances/m-1",
                orjson.dumps({**ANNOUNCEMENT, "sequence": 2**64 - 999}),
            )
            self.assertEqual(reply.code, 400)
        for each in (*self.controls, *self.gateways):
            for link in [*each.hub.dialed.values(), *each.hub.accepted.values()]:
                link.drop_stream()
        await asyncio.sleep(0.5)
        reply = await self.call(self.controls[1], "GET", "/v1/configuration")
        self.assertEqual((reply.code, reply.body), (200, body))

    async def test_link_is_dialed_again_after_an_error_of_a_handler(self):
        hub = self.controls[0].hub

        def fail(*arguments):
            raise AttributeError("a fault")

        hub.handlers.insert(
            0, types.SimpleNamespace(link_up=fail, link_message=fail, link_reset=fail)
        )
        hub.dialed[self.peers[1]].drop_stream()
        await wait_until(lambda: hub.dialed[self.peers[1]].connected)
        body = orjson.dumps(DOCUMENT)
        reply = await self.call(self.controls[0], "PUT", "/v1/configuration", body)
        self.assertEqual(reply.code, 200)

    async def test_record_that_no_server_can_have_is_dropped_alone(self):
        """A control host of an earlier build passes on what it has accepted."""
        good = registry_module.to_record(make_announcement("i-5"), 0)
        bad = [
            dataclasses.replace(good, **{"identity": f"bad-{number}", **fields})
            for number, fields in enumerate(UNUSABLE_FIELDS)
        ]
        update = messages.Directory(False, (*bad, good))
        for control in self.controls:
            control.publisher.registry.handle_directory(None, update)
            known = control.publisher.registry.directory.known
            self.assertEqual([name for name in known if name.startswith("bad")], [])
            self.assertIn("i-5", known)
        for each in self.gateways:
            each.gateway.apply_directory(update)
            self.assertEqual(set(each.gateway.pool.servers), {"i-5"})

    async def test_peer_without_acknowledgements_holds_nobody_else_up(self):
        """Guards against a stuck peer whose full session ends the replica's task."""
        leader = next(
            each for each in self.controls if each.control.replication.is_leader
        )
        stuck, *_ = [
            link for link in leader.control.replication.peers.values() if link.connected
        ]
        stuck.session.max_unacked_bytes = 0
        body = orjson.dumps(DOCUMENT)
        reply = await self.call(leader, "PUT", "/v1/configuration", body)
        self.assertEqual(reply.code, 200)
        stuck.session.max_unacked_bytes = session.MAX_UNACKED_BYTES
        await wait_until(
            lambda: all(each.publisher.document.version == 4 for each in self.controls)
        )

    async def test_command_that_cannot_be_read_is_not_proposed(self):
        """Guards against a log entry that ends each replica that applies it."""
        leader = next(
            each for each in self.controls if each.control.replication.is_leader
        )
        answers = []
        link = types.SimpleNamespace(name="x", send=answers.append)
        before = leader.control.machine.index
        leader.control.handle_propose(link, messages.Propose("p", b"\xff" * 16))
        self.assertEqual([each.committed for each in answers], [False])
        self.assertEqual(leader.control.replication.replica.raft.log.last_index, before)

    async def restart_all(self):
        """Stop all processes at once and start them again."""
        everything = (*self.controls, *self.gateways)
        loaded = [each.settings for each in everything]
        for each in everything:
            each.stack.close()
        count = len(self.controls)
        self.controls = [await self.start(each) for each in loaded[:count]]
        self.gateways = [await self.start(each) for each in loaded[count:]]

    async def report(self, control, identity, method="PUT", **fields):
        """Send a report of a server, or its withdrawal; return the status."""
        body = orjson.dumps({**ANNOUNCEMENT, **fields})
        if method == "DELETE":
            body = None if not fields else orjson.dumps(fields)
        path = f"/v1/instances/{identity}"
        reply = await self.call(control, method, path, body)
        return reply.code

    async def report_until_acknowledged(self, identity, **options):
        """Send a report to the control hosts in turn until one acknowledges it."""
        for _ in range(200):
            for control in self.controls:
                if await self.report(control, identity, **options) == 200:
                    return
            await asyncio.sleep(0.05)
        raise AssertionError("The report was not acknowledged.")

    async def test_server_that_has_left_stays_out_after_a_restart_of_all(self):
        """Guards against a late report that brings a server back that had left."""
        ends = {
            "leaving": {"state": "draining", "sequence": 7},
            "gone": {"method": "DELETE", "born": 5},
            "gone-unnamed": {"method": "DELETE"},
            "ready": {"sequence": 7},
        }
        for identity, fields in ends.items():
            address = f"127.0.0.1:{1000 + len(identity)}"
            await self.report_until_acknowledged(identity, address=address)
            if fields.get("method") != "DELETE":
                fields["address"] = address
            await self.report_until_acknowledged(identity, **fields)
        await self.restart_all()
        for identity in ends:
            address = f"127.0.0.1:{1000 + len(identity)}"
            await self.report(self.controls[0], identity, address=address, sequence=6)
        await wait_until(self.is_settled)
        for identity in ends:
            address = f"127.0.0.1:{1000 + len(identity)}"
            await self.report_until_acknowledged(identity, address=address, sequence=6)
        for each in self.gateways:
            server_pool = each.gateway.pool
            await wait_until(lambda pool=server_pool: pool.has_servers(WORK))
            ready = [
                identity
                for identity, server in server_pool.servers.items()
                if server_pool.is_ready(server)
            ]
            self.assertEqual(ready, ["ready"])

    async def test_new_start_of_a_server_that_has_left_is_used(self):
        await self.report_until_acknowledged("i-6")
        await self.report_until_acknowledged("i-6", method="DELETE", born=5)
        await self.restart_all()
        await wait_until(self.is_settled)
        await self.report_until_acknowledged("i-6", born=6)
        for each in self.gateways:
            server_pool = each.gateway.pool
            await wait_until(lambda pool=server_pool: pool.has_servers(WORK))

    async def test_late_report_of_a_start_that_was_unknown_at_its_withdrawal(self):
        """Guards against a withdrawn server in use again after a delayed report."""
        born = int(time.time() * 1000) - 3000
        for each in self.controls:
            each.publisher.registry.started_ms -= 60_000
        await self.report_until_acknowledged("i-9", method="DELETE")
        await self.report_until_acknowledged("i-9", born=born)
        await self.report_until_acknowledged("i-10", address="127.0.0.1:10")
        for each in self.gateways:
            server_pool = each.gateway.pool
            await wait_until(lambda pool=server_pool: "i-10" in pool.servers)
            self.assertNotIn("i-9", server_pool.servers)

    async def test_end_of_an_unknown_start_is_not_acknowledged_too_early(self):
        """A control host that has just started does not know which start is meant."""
        first = self.controls[0]
        registry = first.publisher.registry
        self.assertEqual(await self.report(first, "i-7", method="DELETE"), 503)
        registry.started_ms -= 60_000
        self.assertEqual(await self.report(first, "i-7", method="DELETE"), 200)

    async def test_end_of_a_server_is_not_acknowledged_without_a_commit(self):
        first = self.controls[0]
        await self.report_until_acknowledged("i-8")
        submit = first.control.submit
        self.addCleanup(setattr, first.control, "submit", submit)
        first.control.submit = lambda payload, answer: answer(
            messages.Outcome("", False, b"")
        )
        status = await self.report(first, "i-8", method="DELETE", born=5)
        self.assertEqual(status, 503)
        first.control.submit = submit
        status = await self.report(first, "i-8", method="DELETE", born=5)
        self.assertEqual(status, 200)
        committed = first.control.machine.retirements
        await wait_until(lambda: "i-8" in committed.by_identity)

    async def test_control_host_without_quorum_confirms_nothing(self):
        body = orjson.dumps(DOCUMENT)
        await self.call(self.controls[0], "PUT", "/v1/configuration", body)
        for control in self.controls[1:]:
            control.stack.close()
        await wait_until(lambda: not self.controls[0].publisher.is_confirmed)
        reply = await self.call(self.controls[0], "GET", "/v1/configuration")
        self.assertEqual(reply.code, 503)
        with self.assertRaises(errors.NoQuorum):
            await self.controls[0].publisher.registry.announce(make_announcement("i-2"))
        known_servers = self.controls[0].publisher.registry.directory.known
        self.assertIn("i-2", known_servers)
        renewed = self.gateways[0].gateway.lease.renewed_ms
        await asyncio.sleep(1.0)
        self.assertEqual(self.gateways[0].gateway.lease.renewed_ms, renewed)

    async def test_operator_gets_an_answer_from_a_control_host_that_stops(self):
        """Guards against a stop that cuts a call that waits for its commit."""
        for control in self.controls[1:]:
            control.stack.close()
        body = orjson.dumps(DOCUMENT)
        call = asyncio.ensure_future(
            self.call(self.controls[0], "PUT", "/v1/configuration", body)
        )
        await asyncio.sleep(0.3)
        self.assertFalse(call.done())
        await self.controls[0].shut_down()
        # The process ends now; its connections close.
        _, waiting = await asyncio.wait([call], timeout=0.1)
        self.assertEqual(len(waiting), 0)
        self.assertEqual((await call).code, 503)

    async def order(self, control, **changes):
        """Send an order of a roll-out; return the status."""
        order = {"service": "s", "to": "v2", "duration_s": 60, **changes}
        reply = await self.call(control, "POST", "/v1/rollouts", orjson.dumps(order))
        return reply.code

    async def read_rollout(self, control):
        """Return the status, and the state of the roll-out of the service."""
        reply = await self.call(control, "GET", "/v1/rollouts/s")
        return reply.code, orjson.loads(reply.body).get("state")

    async def test_rollout_is_ordered_once_and_reaches_gateways(self):
        """Guards against an order that is acknowledged and lost, or made twice."""
        first = self.controls[0]
        self.assertEqual(await self.order(first), 404)
        body = orjson.dumps(DOCUMENT)
        await self.call(first, "PUT", "/v1/configuration", body)
        for changes in (
            {"service": 3},
            {"to": ""},
            {"duration_s": "60"},
            {"duration_s": 0},
            {"duration_s": float("nan")},
        ):
            self.assertEqual(await self.order(first, **changes), 400)
        self.assertEqual(await self.order(first, service="t"), 404)
        self.assertEqual((await self.read_rollout(first))[0], 404)
        self.assertTrue(all(not each.gateway.canary.records for each in self.gateways))
        for control in self.controls:
            self.assertEqual(await self.order(control), 200)
        self.assertEqual(await self.order(first, to="v3"), 409)
        ordered_ms = first.control.machine.rollouts.by_service["s"].ordered_ms
        await self.restart_all()
        await wait_until(self.is_settled)
        for control in self.controls:
            self.assertEqual(await self.read_rollout(control), (200, "in_progress"))
            held = control.control.machine.rollouts.by_service["s"]
            self.assertEqual(held.ordered_ms, ordered_ms)
        await wait_until(
            lambda: all("s" in each.gateway.canary.records for each in self.gateways)
        )

    async def test_new_leader_keeps_the_deadline_of_a_rollout(self):
        """Guards against a roll-out that ends late, or never, after its leader."""
        body = orjson.dumps(DOCUMENT)
        await self.call(self.controls[0], "PUT", "/v1/configuration", body)
        await self.report_until_acknowledged("i-9", version="v2")
        self.assertEqual(await self.order(self.controls[0], duration_s=8), 200)
        await wait_until(
            lambda: all(
                [rollout.stage for rollout in each.control.machine.rollouts.in_progress]
                == [1]
                for each in self.controls
            )
        )
        leader = next(
            each for each in self.controls if each.control.replication.is_leader
        )
        others = [each for each in self.controls if each is not leader]
        leader.stack.close()
        rollouts = others[0].control.machine.rollouts
        deadline_ms = rollouts.by_service["s"].deadline_ms
        await wait_until(lambda: not others[0].control.machine.rollouts.in_progress)
        decided = others[0].control.machine.rollouts.by_service["s"]
        self.assertEqual(
            (decided.state, decided.deadline_ms), ("reverted", deadline_ms)
        )
        self.assertLessEqual(decided.decided_ms, deadline_ms + 1000)
        await wait_until(
            lambda: all(
                not each.gateway.canary.exposures and each.gateway.canary.records
                for each in self.gateways
            )
        )

    async def test_late_commit_result_is_ignored(self):
        """Guards against a commit result that arrives after the caller timed out.

        It raised an exception that ended the task of the replica. Found by the soak
        test with seed 24.
        """
        publisher = self.controls[0].publisher
        answers = []
        submit, publisher.control.submit = (
            publisher.control.submit,
            lambda payload, answer: answers.append(answer),
        )
        self.addCleanup(setattr, publisher.control, "submit", submit)
        with unittest.mock.patch.object(publisher_module, "COMMIT_TIMEOUT_S", 0.01):
            with self.assertRaises(errors.NoQuorum):
                await publisher.replace_document(4, orjson.dumps(DOCUMENT))
        answers[0](messages.Outcome("", True, b""))

    async def test_a_callback_that_fails_does_not_stop_the_replica(self):
        control = self.controls[0].control

        def fail(*arguments):
            raise AttributeError("a fault")

        control.listeners.append(fail)
        pending = control_module.PendingCall(fail, 10**12, 1)
        index = control.machine.index + 1
        control.proposals[index] = [pending]
        body = orjson.dumps(DOCUMENT)
        for version in (4, 5):
            body = orjson.dumps({**DOCUMENT, "version": version})
            reply = await self.call(self.controls[1], "PUT", "/v1/configuration", body)
            self.assertEqual(reply.code, 200)
        await wait_until(lambda: self.controls[0].publisher.document.version == 5)

    async def test_unconfirmed_heartbeat_is_confirmed_by_next_round(self):
        """After a restart of all hosts the gateways need their leases at once."""
        publisher = self.controls[0].publisher
        publisher.close()
        for gateway in self.gateways:
            gateway.gateway.subscription.close()
        await wait_until(lambda: not publisher.is_confirming)
        answered = []
        link = types.SimpleNamespace(connected=True, send=answered.append)
        subscriber = publisher_module.Subscriber("g9", "a:1", "east", 0, link, 10**6)
        publisher.pending_heartbeats = [
            publisher_module.PendingHeartbeat(subscriber, 7),
            publisher_module.PendingHeartbeat(subscriber, 8),
        ]
        wait_for_read_index = publisher.wait_for_read_index

        async def fail():
            return False

        publisher.wait_for_read_index = fail
        publisher.is_confirming = True
        await publisher.run_confirmation_round()
        self.assertEqual(answered, [])
        publisher.wait_for_read_index = wait_for_read_index
        publisher.is_confirming = True
        await publisher.run_confirmation_round()
        self.assertEqual([each.beat_id for each in answered], [8])

    async def test_control_hosts_share_only_announced_phases(self):
        server_registry = self.controls[0].publisher.registry
        server_registry.record_announcement(make_announcement("i-4"), 0, False)
        server_registry.detect_silent_servers(10**9)
        self.assertEqual(server_registry.snapshot().records[0].phase, "silent")
        sent = []
        server_registry.send_all(types.SimpleNamespace(send=sent.append))
        self.assertEqual(sent[0].records[0].phase, "ready")

    async def test_silent_leaving_server_stays_leaving(self):
        server_registry = self.controls[0].publisher.registry
        leaving = make_announcement("i-3", servers.ServerPhase.LEAVING)
        server_registry.record_announcement(leaving, 0, False)
        server_registry.detect_silent_servers(10**9)
        (record,) = server_registry.snapshot().records
        self.assertEqual(record.phase, "leaving")
        self.assertIsInstance(record, messages.ServerRecord)


def make_announcement(identity, phase=servers.ServerPhase.READY):
    """Return an announcement."""
    return servers.Announcement(identity, "s", "127.0.0.1:9", "east", phase, 1, 1)


if __name__ == "__main__":
    unittest.main()
