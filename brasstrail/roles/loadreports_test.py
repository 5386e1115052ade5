"""Tests of the load reports in answers of servers, in memory."""

import asyncio

from brasstrail.protocol import codec, messages
from brasstrail.roles import limits_test


class LoadReportTest(limits_test.LimitCase):
    """Three gateways, and two servers of one service."""

    def hosts(self, name, identity="s-0"):
        """Return what a gateway knows of the reports of a server."""
        return self.platform.gateways[name].pool.servers[identity].host

    def tell_all(self, text):
        """Let all servers report a load."""
        for server in self.platform.servers:
            server.load = text

    async def send_to_both(self):
        """Send requests at one gateway, to both servers."""
        await asyncio.gather(*(self.send("g0") for _ in range(8)))

    async def test_report_in_an_answer_is_recorded_and_shared(self):
        self.tell_all("1,2,3,170")
        await self.send_to_both()
        for _ in range(2):
            # States are sent in columns once all gateways are known to read them.
            self.platform.exchange()
            for gateway in self.platform.gateways.values():
                gateway.gossip.apply_all_pending()
        for name in self.platform.names:
            reports = [self.hosts(name, each).report for each in ("s-0", "s-1")]
            for report in filter(None, reports):
                self.assertEqual((report.waiting, report.host_factor), (2, 1.7))
            self.assertTrue(any(reports), name)
            factors = self.platform.gateways[name].host_factors()
            self.assertEqual(set(factors.values()), {1.7})

    async def test_report_in_a_refusal_is_recorded(self):
        """Guards against a full server whose load is known to nobody."""
        self.tell_all("6,9,6,250")
        for server in self.platform.servers:
            server.rest = "1"
        await self.send("g0")
        self.assertEqual(self.hosts("g0").report.waiting, 9)

    async def test_report_of_another_server_is_not_recorded(self):
        """Guards against the load of a server that has taken over an address."""
        self.tell_all("0,0,6,10")
        for server in self.platform.servers:
            server.stated_identity = "other"
        await self.send_to_both()
        self.assertIsNone(self.hosts("g0").report)

    async def test_malformed_reports_do_not_end_a_request(self):
        for text in ("1,2,3,-1", "1,2,3,nan", "x"):
            self.tell_all(text)
            self.assertEqual((await self.send("g0")).status, 200)
        self.assertIsNone(self.hosts("g0").report)

    async def test_state_with_odd_report_columns_is_ignored(self):
        """Guards against a factor of 0 or less, by which a score would be lowest."""
        rows = {
            "report_identities": ("s-0",),
            "report_born_ms": (self.platform.servers[0].born_ms,),
            "report_running": (1,),
            "report_waiting": (0,),
            "report_slots": (6,),
            "report_host_percents": (-100,),
            "report_ages_ms": (0,),
        }
        gateway = self.platform.gateways["g0"]
        for changes in ({}, {"report_slots": ()}):
            state = messages.GatewayState("g1", 10**15, 1, (), (), **rows | changes)
            payload = codec.encode_packed(codec.MESSAGE, state)
            gateway.gossip.datagram_received(payload, ("g1", 1))
            gateway.gossip.apply_all_pending()
        self.assertIsNone(self.hosts("g0").report)
