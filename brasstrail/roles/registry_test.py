"""Tests of what a registry and a gateway believe of servers that are claimed."""

import contextlib
import dataclasses
import types
import unittest
import unittest.mock

import structlog
from hypothesis import settings, stateful
from hypothesis import strategies as st

from brasstrail.coordination import directory
from brasstrail.core import clock, servers
from brasstrail.roles import registry
from brasstrail.state import retirements
from brasstrail.tools import fuzzing

INTERVAL_MS = 1000
READY = servers.ServerPhase.READY
LEAVING = servers.ServerPhase.LEAVING


class Installation:
    """A control host's registry, and the directory of a gateway that follows it.

    `now_ms` is the time. `sequences` counts the announcements of each start.
    """

    def __init__(self):
        self.now_ms = 1_000_000
        self.sequences = {}
        self.gateway = directory.Directory(0)
        self.log = structlog.get_logger()
        control = types.SimpleNamespace(announce_interval_ms=INTERVAL_MS)
        hub = types.SimpleNamespace(
            log=unittest.mock.Mock(),
            settings=types.SimpleNamespace(control=control),
            handlers=[],
        )
        machine = types.SimpleNamespace(retirements=retirements.Retirements())
        publisher = types.SimpleNamespace(
            control=types.SimpleNamespace(machine=machine),
            send_to_subscribers=self.update_gateway,
            send_to_peers=lambda update: None,
        )
        with self.at_its_time():
            self.registry = registry.Registry(hub, publisher)

    def at_its_time(self):
        """Return a context in which the clock shows the time of the installation."""
        return unittest.mock.patch.object(clock, "now_ms", lambda: self.now_ms)

    def update_gateway(self, update):
        """Apply an update of the registry as a gateway does."""
        for _, announcement, age_ms in registry.valid_records(update, self.log):
            if announcement.phase is servers.ServerPhase.SILENT:
                announcement = registry.with_ready_phase(announcement)
            self.gateway.record_announcement(announcement, self.now_ms - age_ms)

    def wait(self, duration_ms):
        """Let some time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 100)
            with self.at_its_time():
                self.registry.admit_claims(self.now_ms)
                self.registry.detect_silent_servers(self.now_ms)
                self.registry.drop_expired(self.now_ms)

    def report(self, identity, address, born_ms, phase=READY, service="svc"):
        """Receive an announcement."""
        start = identity, born_ms
        self.sequences[start] = self.sequences.get(start, 0) + 1
        announcement = servers.Announcement(
            identity, service, address, "east", phase, born_ms, self.sequences[start]
        )
        with self.at_its_time():
            self.registry.record_announcement(announcement, self.now_ms, to_peers=True)

    def withdraw(self, identity, born_ms):
        """Receive that a server is gone; its start is None if that is not stated."""
        end = servers.make_end(identity, born_ms)
        with self.at_its_time():
            end = self.registry.with_end_time(end)
            self.registry.record_announcement(end, self.now_ms, to_peers=True)

    def report_steadily(self, duration_ms, *starts):
        """Receive announcements of some starts each second for some time."""
        for _ in range(duration_ms // INTERVAL_MS):
            for each in starts:
                self.report(*each)
            self.wait(INTERVAL_MS)

    def ready(self):
        """Return the ready starts by identity, at the control host and the gateway."""
        return tuple(
            {
                known.announcement.identity: known.announcement.born_ms
                for known in state.known.values()
                if known.phase is READY
            }
            for state in (self.registry.directory, self.gateway)
        )


OLD = ("a", "127.0.0.1:1", 100)
NEW = ("b", "127.0.0.1:1", 200)


class ClaimTest(unittest.TestCase):
    """Announcements that would take a running server out of use."""

    def setUp(self):
        self.installation = Installation()
        self.installation.report_steadily(3000, OLD)

    def assert_ready(self, **starts):
        self.assertEqual(self.installation.ready(), (starts, starts))

    def test_one_report_of_another_writer_leaves_a_running_server_in_use(self):
        """Guards against a report that ends a server which reports itself."""
        for claim in (
            ("x", OLD[1], 100),
            ("x", OLD[1], 99),
            ("x", OLD[1], 2**40),
            ("a", "127.0.0.1:7", 2**40),
            ("a", "127.0.0.1:7", 100),
            ("x", OLD[1], 300, LEAVING),
            ("x", OLD[1], 300, READY, "unknown"),
            ("a", OLD[1], 300, READY, "unknown"),
        ):
            with self.subTest(claim=claim):
                self.setUp()
                self.installation.report(*claim)
                for _ in range(10):
                    self.assert_ready(a=100)
                    self.installation.report_steadily(1000, OLD)

    def test_server_that_has_been_replaced_at_its_address_is_not_used(self):
        for claim in (NEW, ("a", "127.0.0.1:7", 200)):
            with self.subTest(claim=claim):
                self.setUp()
                self.installation.report_steadily(4000, claim)
                self.assert_ready(**{claim[0]: claim[2]})

    def test_server_replaced_after_a_while_is_replaced_at_once(self):
        self.installation.wait(3000)
        self.installation.report(*NEW)
        self.assert_ready(b=200)

    def test_restart_under_the_same_identity_and_address_is_used_at_once(self):
        self.installation.report("a", OLD[1], 200)
        self.assert_ready(a=200)

    def test_server_cut_off_while_another_writer_reports_is_used_again(self):
        """Guards against a server out of use until its claim is forgotten."""
        for claim in (
            ("x", OLD[1], 99),
            ("x", OLD[1], 2**40),
            ("a", "127.0.0.1:7", 2**40),
        ):
            with self.subTest(claim=claim):
                self.setUp()
                self.installation.report_steadily(5000, claim)
                self.installation.report_steadily(6000, OLD)
                self.assert_ready(a=100)

    def test_server_and_another_writer_that_go_on_both_stand(self):
        self.installation.report_steadily(8000, OLD, NEW)
        self.assert_ready(a=100, b=200)
        self.installation.report_steadily(8000, OLD)
        self.assert_ready(a=100, b=200)
        self.installation.wait(directory.RETENTION_MS)
        self.assert_ready()

    def test_both_stand_at_a_gateway_that_subscribes_later(self):
        """Guards against a list whose order decides which of them is used."""
        self.installation.report_steadily(8000, OLD, NEW)
        with self.installation.at_its_time():
            listed = self.installation.registry.snapshot()
        for records in (listed.records, listed.records[::-1]):
            self.installation.gateway = directory.Directory(0)
            update = dataclasses.replace(listed, records=records)
            self.installation.update_gateway(update)
            self.assert_ready(a=100, b=200)

    def test_end_of_a_server_that_waits_counts(self):
        self.installation.report(*NEW)
        self.installation.withdraw("b", 200)
        self.installation.report_steadily(5000, NEW)
        self.assertNotIn("b", self.installation.ready()[0])

    def test_end_of_a_server_that_was_claimed_counts(self):
        """Guards against a withdrawn server in use again as it was contested."""
        for claimed in ((OLD, NEW), (NEW,)):
            for end in (100, None):
                with self.subTest(claimed=claimed, end=end):
                    self.setUp()
                    self.installation.report_steadily(8000, *claimed)
                    self.installation.withdraw("a", end)
                    self.installation.report_steadily(8000, OLD)
                    for ready in self.installation.ready():
                        self.assertNotIn("a", ready)

    def test_address_of_a_server_that_moved_is_used_by_another_one(self):
        """Guards against a sound server that counts as replaced where it was before."""
        moved = ("a", "127.0.0.1:7", 150)
        self.installation.wait(4000)
        self.installation.report_steadily(2000, moved)
        self.installation.report_steadily(6000, moved, NEW)
        self.assert_ready(a=150, b=200)

    def test_departure_counts_whatever_sequence_was_claimed(self):
        self.installation.sequences[OLD[0], OLD[2]] = 2**40
        self.installation.report(*OLD)
        self.installation.sequences[OLD[0], OLD[2]] = 10
        self.installation.report(*OLD, LEAVING)
        self.assert_ready()


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Two sound servers beside another writer, who claims whatever they have."""

    def __init__(self):
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.installation = Installation()
        self.sound = (("a", "127.0.0.1:1", 100), ("b", "127.0.0.1:2", 100))
        self.installation.report_steadily(1000, *self.sound)

    @stateful.rule(
        identity=st.sampled_from("abx"),
        port=st.integers(1, 3),
        born_ms=st.sampled_from([1, 99, 101, 2**40]),
        phase=st.sampled_from([READY, READY, LEAVING]),
        service=st.sampled_from(["svc", "unknown"]),
    )
    def claim(self, identity, port, born_ms, phase, service):
        address = f"127.0.0.1:{port}"
        is_own = identity in "ab" and (phase is LEAVING or born_ms == 2**40)
        if not is_own:
            self.installation.report(identity, address, born_ms, phase, service)

    @stateful.rule(seconds=st.integers(1, 3))
    def go_on(self, seconds):
        self.installation.report_steadily(seconds * 1000, *self.sound)

    @stateful.invariant()
    def sound_servers_are_used(self):
        for ready in self.installation.ready():
            assert {"a", "b"} <= set(ready)


class ClaimStateTest(ClaimMachine.TestCase):
    """No claims of another writer take servers out of use that report themselves."""

    settings = settings(fuzzing.SETTINGS, max_examples=100, stateful_step_count=30)


if __name__ == "__main__":
    unittest.main()
