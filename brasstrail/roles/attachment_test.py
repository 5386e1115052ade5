"""Tests of attachments to three control hosts that run in this process."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

import structlog
from tornado import testing

from brasstrail.core import data, errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.roles import attachment, daemon, hub
from brasstrail.settings import settings
from brasstrail.tools import ports

TEST_TIMEOUT_S = 60
CONTROL_HOSTS = ("c1", "c2", "c3")
PORTS = ports.PortAllocator()
SETTINGS = """
[node]
name = "{name}"
roles = ["{role}"]
region = "r"
data_centre = "d"
peer_port = {peer}
[cluster]
name = "test"
secret = "0123456789abcdef"
seeds = {seeds}
[control]
data_folder = "{folder}"
admin_port = {admin}
initial_replicas = ["c1", "c2", "c3"]
member_timeout_ms = 20000
"""


class ControlCluster:
    """Three control hosts, and members that attach to them."""

    def __init__(self, stack):
        self.stack = stack
        self.folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.ports = {name: PORTS.allocate() for name in CONTROL_HOSTS}
        self.daemons = {}
        for name in CONTROL_HOSTS:
            loaded = self.make_settings(name, "control", self.ports[name])
            started = daemon.Daemon(loaded, structlog.get_logger())
            started.start()
            stack.callback(started.stack.close)
            self.daemons[name] = started

    def make_settings(self, name, role, peer):
        """Return the settings of a process."""
        seeds = [f"127.0.0.1:{port}" for port in self.ports.values()]
        return settings.parse(
            SETTINGS.format(
                name=name,
                role=role,
                peer=peer,
                seeds=json.dumps(seeds),
                folder=pathlib.Path(self.folder) / name,
                admin=PORTS.allocate(),
            )
        )

    def attach_member(self, name):
        """Start a new member and return its attachment."""
        loaded = self.make_settings(name, "agent", PORTS.allocate())
        owner = hub.Hub(loaded, 1, structlog.get_logger())
        owner.start()
        self.stack.callback(owner.close)
        address = loaded.node.advertised_address
        member = data.Member(name, 1, ("agent",), address, "r", "d")
        member_attachment = attachment.Attachment(owner, member)
        member_attachment.start()
        self.stack.callback(member_attachment.close)
        return member_attachment


async def wait_for(check):
    """Wait until a check returns true."""
    while not check():
        await asyncio.sleep(0.02)


def make_change(number, version):
    """Return a change that adds a workspace."""
    return commands.ChangeConfig(
        f"change-{number}",
        version,
        "operator",
        1,
        workspaces=(data.Workspace(f"w{number}"),),
    )


class AttachmentTest(testing.AsyncTestCase):
    """Views, proposals, and the change to another control host."""

    def setUp(self):
        super().setUp()
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        daemon.configure_http()
        self.stack = contextlib.ExitStack()

    def tearDown(self):
        self.stack.close()
        super().tearDown()

    @testing.gen_test(timeout=TEST_TIMEOUT_S)
    async def test_member_attaches_to_another_host_when_its_control_host_stops(self):
        cluster = ControlCluster(self.stack)
        member = cluster.attach_member("m1")
        other = cluster.attach_member("m2")
        await wait_for(lambda: member.fresh and other.fresh)
        first = await member.propose(make_change(1, 0), TEST_TIMEOUT_S)
        self.assertTrue(first.applied)
        await wait_for(lambda: other.view.config.version == 1)
        stopped_host = member.link.name
        cluster.daemons[stopped_host].stack.close()
        await wait_for(
            lambda: member.link.name not in ("", stopped_host) and member.fresh
        )
        second = await member.propose(make_change(2, 1), TEST_TIMEOUT_S)
        self.assertTrue(second.applied)
        await wait_for(lambda: member.view.config.version == 2)
        await wait_for(lambda: other.view.config.version == 2)

    @testing.gen_test(timeout=TEST_TIMEOUT_S)
    async def test_proposals_and_lookups_fail_without_a_quorum(self):
        cluster = ControlCluster(self.stack)
        member = cluster.attach_member("m1")
        await wait_for(lambda: member.fresh)
        for name in ("c1", "c2"):
            cluster.daemons[name].stack.close()
        with self.assertRaises(errors.NoQuorum):
            await member.propose(make_change(1, 0), 2.5)
        with self.assertRaises(errors.NoQuorum):
            await member.look_up("w", "k", False, 1.0)
        self.assertEqual(member.view.config.version, 0)

    @testing.gen_test(timeout=TEST_TIMEOUT_S)
    async def test_late_member_receives_the_current_view_after_200_changes(self):
        cluster = ControlCluster(self.stack)
        member = cluster.attach_member("m1")
        await wait_for(lambda: member.fresh)
        for number in range(200):
            result = await member.propose(make_change(number, number), TEST_TIMEOUT_S)
            self.assertTrue(result.applied)
        late = cluster.attach_member("m2")
        await wait_for(lambda: late.view.config.version == 200)
        repeat = await late.propose(make_change(0, 0), TEST_TIMEOUT_S)
        self.assertEqual((repeat.applied, repeat.version), (True, 1))

    @testing.gen_test(timeout=TEST_TIMEOUT_S)
    async def test_cluster_id_is_the_first_command_in_the_log(self):
        """A command may reach a leader before its first tick.

        The cluster id must still be committed first. A view without an id once
        accepted the id of any cluster.
        """
        cluster = ControlCluster(self.stack)
        for each in cluster.daemons.values():
            each.control.ticker.stop()
        replications = [each.control.replication for each in cluster.daemons.values()]
        await wait_for(lambda: any(each.is_leader for each in replications))
        (leading,) = (
            each.control
            for each in cluster.daemons.values()
            if each.control.replication.is_leader
        )
        change = codec.encode(codec.COMMAND, make_change(1, 0))
        for _ in range(2):
            leading.submit(change, lambda outcome: None)
        await wait_for(lambda: leading.view.config.version == 1)
        entries = leading.replication.replica.raft.log.entries
        kinds = [
            type(codec.decode(codec.COMMAND, entry.command)).__name__
            for entry in entries
            if entry.command
        ]
        self.assertEqual(kinds, ["FoundCluster", "ChangeConfig", "ChangeConfig"])
        self.assertTrue(leading.view.cluster_id)

    @testing.gen_test(timeout=TEST_TIMEOUT_S)
    async def test_foreign_and_older_views_are_rejected(self):
        cluster = ControlCluster(self.stack)
        member = cluster.attach_member("m1")
        await wait_for(lambda: member.fresh)
        await member.propose(make_change(1, 0), TEST_TIMEOUT_S)
        await wait_for(lambda: member.view.config.version == 1)
        known = member.view.cluster_id
        blank = data.Config()
        member.handle_snapshot(messages.ViewSnapshot("foreign", 10**6, blank, ()))
        member.handle_snapshot(messages.ViewSnapshot(known, 0, blank, ()))
        self.assertEqual(member.view.config.version, 1)
        self.assertEqual(member.view.cluster_id, known)
