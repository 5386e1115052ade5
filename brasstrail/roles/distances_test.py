"""Tests that a gateway tells how far it sends requests, with real sockets."""

import unittest
from unittest import mock

from brasstrail.coordination import zones
from brasstrail.fakes import scripted
from brasstrail.roles import gateway_test
from brasstrail.settings import settings
from brasstrail.transport import upstream

COST = settings.LinkCost(0.2, 1.0)


class DistanceTest(gateway_test.GatewayCase):
    """Distances in the log and in the metrics, and what a gateway measures of them."""

    def last_choice(self):
        event = "forwarding: A server was chosen."
        return [line for line in self.lines if line["event"] == event][-1]

    def count(self, name, distance):
        return self.gateway.metrics.counters[name, (("distance", distance),)]

    def use_prices(self):
        node = self.settings.node
        self.gateway.pool.zones = zones.Zones(node, {"far1": "two"}, COST)
        return self.gateway.pool.zones

    async def test_requests_and_bytes_are_counted_by_distance(self):
        """Guards against traffic between data centres that nobody sees."""
        await self.serve([scripted.reply(body=b"x" * 500)])
        await self.call("safe", body=b"y" * 300)
        self.assertEqual(self.last_choice()["distance"], "data_centre")
        self.assertEqual(self.last_choice()["reason"], "")
        self.assertEqual(self.count("gateway_distance_sendings", "data_centre"), 1)
        self.assertEqual(self.count("gateway_distance_bytes", "data_centre"), 800)

    async def test_prices_decide_where_the_settings_name_them(self):
        self.assertIsNone(self.gateway.pool.zones)
        self.gateway.settings = settings.GatewayRole(link_cost_ms_per_kb=COST)
        self.assertIsInstance(self.gateway.make_zones(), zones.Zones)
        measured = self.use_prices()
        await self.serve([scripted.reply()])
        await self.call("safe")
        self.assertEqual(self.last_choice()["reason"], "local")
        self.assertIsNotNone(measured.paths["east"].connect_ms)

    async def test_connects_without_an_answer_count_against_the_link(self):
        """Guards against a refused connection that is taken for a cut link."""
        measured = self.use_prices()
        await self.serve([])
        for error, is_link_failure in (
            (upstream.ConnectRefused("refused"), False),
            (upstream.ConnectFailed("no answer"), True),
        ):
            with mock.patch.object(self.gateway.connections, "open", side_effect=error):
                status, _, _ = await self.call("safe")
            self.assertEqual(status, 503)
            path = measured.paths.get("east", zones.Path())
            self.assertEqual(path.failures > 0, is_link_failure)


if __name__ == "__main__":
    unittest.main()
