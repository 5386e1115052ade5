"""Tests of how heartbeats renew a gateway's lease, without sockets."""

import asyncio
import types
import unittest
import unittest.mock

from brasstrail.core import clock
from brasstrail.protocol import messages
from brasstrail.roles import lease, subscription


class FakeLink:
    """A link to a control host that records the messages sent."""

    connected = True
    name = "c1"
    data_centre = "east"

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class LeaseRenewalTest(unittest.IsolatedAsyncioTestCase):
    """Heartbeats and their confirmations, on clocks that the test sets."""

    def setUp(self):
        self.now_ms = 1_000_000
        for name in ("now_ms", "boot_ms"):
            patched = unittest.mock.patch.object(clock, name, lambda: self.now_ms)
            patched.start()
            self.addCleanup(patched.stop)

    async def asyncSetUp(self):
        node = types.SimpleNamespace(data_centre="east", advertised_address="a:1")
        hub = types.SimpleNamespace(
            log=unittest.mock.Mock(),
            handlers=[],
            loop=asyncio.get_running_loop(),
            settings=types.SimpleNamespace(node=node),
        )
        self.gateway = unittest.mock.Mock(document_version=4, lease=lease.Lease(4500))
        self.subscription = subscription.Subscription(hub, self.gateway)
        self.link = FakeLink()
        self.subscription.subscribe(self.link)

    def confirm(self, beat_id, document_version=4):
        """Deliver the confirmation of a heartbeat."""
        current = messages.Current(beat_id, document_version)
        self.subscription.handle_current(self.link, current)

    async def test_lease_counts_from_sending_of_heartbeat(self):
        sent_ms = self.now_ms
        self.now_ms += 3000
        self.confirm(self.link.sent[0].beat_id)
        self.assertEqual(self.gateway.lease.renewed_ms, sent_ms)
        self.gateway.on_lease_renewed.assert_called_once()

    async def test_lease_is_not_renewed_while_document_is_outdated(self):
        """Otherwise a key that the newer document removed would still be accepted."""
        self.confirm(self.link.sent[0].beat_id, document_version=5)
        self.assertIsNone(self.gateway.lease.renewed_ms)

    # Guards against a gateway that is always late and never finds a control host again.
    async def test_held_up_gateway_reads_first_and_then_changes_the_control_host(self):
        other = FakeLink()
        self.link.connected = False
        self.subscription.links = {"c1": self.link, "c2": other}
        self.now_ms += 5000
        self.subscription.tick()
        self.assertIs(self.subscription.active_link, self.link)
        self.now_ms += 5000
        self.subscription.tick()
        self.assertIs(self.subscription.active_link, other)

    async def test_lease_is_renewed_once_the_document_was_read(self):
        sent_ms = self.now_ms
        self.confirm(self.link.sent[0].beat_id, document_version=5)
        self.gateway.document_version = 5
        self.subscription.report_document(5)
        self.assertEqual(self.gateway.lease.renewed_ms, sent_ms)
        self.assertEqual(self.link.sent[-1].received_version, 5)

    async def test_each_heartbeat_renews_lease_at_most_once(self):
        self.confirm(99)
        self.assertIsNone(self.gateway.lease.renewed_ms)
        beat_id = self.link.sent[0].beat_id
        self.confirm(beat_id)
        renewed_ms = self.gateway.lease.renewed_ms
        self.now_ms += 1000
        self.confirm(beat_id)
        self.assertEqual(self.gateway.lease.renewed_ms, renewed_ms)


if __name__ == "__main__":
    unittest.main()
