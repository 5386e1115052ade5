"""Tests of what a gateway does with messages that have waited for it."""

import unittest
from unittest import mock

from brasstrail.coordination import limits
from brasstrail.core import clock
from brasstrail.fakes import memory
from brasstrail.protocol import messages
from brasstrail.roles import crashes_test, gateway, pauses

PAUSE_MS = 5000


class PauseWatchTest(unittest.TestCase):
    """Whichever of the periodic work and the messages comes first after a pause."""

    def setUp(self):
        self.watch = pauses.PauseWatch(50, 0)
        for now_ms in range(50, 1000, 60):
            self.watch.record_tick(now_ms)
            self.assertEqual(self.watch.waited_ms(now_ms + 10), 0)
        self.last_ms = self.watch.last_tick_ms

    def test_messages_before_the_periodic_work(self):
        self.assertEqual(self.watch.waited_ms(self.last_ms + PAUSE_MS), PAUSE_MS)

    def test_messages_after_the_periodic_work(self):
        resumed_ms = self.last_ms + PAUSE_MS
        self.watch.record_tick(resumed_ms)
        self.assertEqual(self.watch.waited_ms(resumed_ms + 20), PAUSE_MS + 20)
        self.watch.record_tick(resumed_ms + 50)
        self.assertEqual(self.watch.waited_ms(resumed_ms + 60), PAUSE_MS + 60)
        later_ms = resumed_ms + pauses.CATCH_UP_MS + 1
        self.watch.record_tick(later_ms)
        self.assertEqual(self.watch.waited_ms(later_ms), 0)


class PausedGatewayTest(unittest.IsolatedAsyncioTestCase):
    """A gateway reads what another one has sent before a pause of some seconds."""

    async def asyncSetUp(self):
        self.platform = memory.Platform(crashes_test.DOCUMENT, 3)
        self.platform.add_servers("s", 1)
        self.platform.exchange()
        self.gateway = self.platform.gateways["g0"]
        self.gateway.gossip.apply_all_pending()
        self.server = self.platform.servers[0]
        self.now_ms = clock.now_ms()
        patcher = mock.patch.object(clock, "now_ms", lambda: self.now_ms)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.gateway.tick()

    def report(self, per_s, age_ms):
        """Return what another gateway tells of the server's limit."""
        return messages.ServerLimit(
            self.server.identity,
            self.server.born_ms,
            per_s is not None,
            per_s or 0.0,
            age_ms,
            age_ms,
        )

    def known_per_s(self):
        return self.gateway.pool.servers[self.server.identity].limit.per_s

    def receive(self, report):
        """Let a state with a report arrive."""
        state = messages.GatewayState("g1", 1, 10**6, (), (), limits=(report,))
        self.gateway.apply_peer_state(state)

    def receive_after_pause(self, is_tick_first):
        """Receive the end of a limit that was sent before the limit was named."""
        sent_before = self.report(None, 100)
        self.now_ms += 50
        self.gateway.tick()
        limit = limits.Limit(5.0, self.now_ms - 20, self.now_ms)
        self.gateway.pool.servers[self.server.identity].limit = limit
        self.now_ms += PAUSE_MS
        if is_tick_first:
            self.gateway.tick()
        self.receive(sent_before)

    async def test_old_report_does_not_end_a_newer_limit(self):
        """Guards against a limit that ends by a message from before it was named."""
        self.receive_after_pause(is_tick_first=False)
        self.assertEqual(self.known_per_s(), 5.0)

    async def test_old_report_that_is_read_after_the_periodic_work(self):
        self.receive_after_pause(is_tick_first=True)
        self.assertEqual(self.known_per_s(), 5.0)

    async def test_report_that_has_not_waited_ends_a_limit(self):
        limit = limits.Limit(5.0, self.now_ms - 20, self.now_ms)
        self.gateway.pool.servers[self.server.identity].limit = limit
        for _ in range(20):
            self.now_ms += gateway.TICK_MS
            self.gateway.tick()
        self.receive(self.report(None, 100))
        self.assertIsNone(self.known_per_s())

    async def test_gateway_that_was_heard_of_before_a_pause_is_not_reachable(self):
        """Guards against permits for which a gateway that has gone is asked."""
        self.assertIn("g1", self.gateway.limits.reachable())
        self.now_ms += PAUSE_MS
        self.receive(self.report(5.0, 100))
        self.assertNotIn("g1", self.gateway.limits.reachable())


if __name__ == "__main__":
    unittest.main()
