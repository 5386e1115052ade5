"""Tests of roll-outs at gateways, in memory."""

import dataclasses
import itertools
import unittest

import brasstrail.platform  # noqa: F401
from brasstrail.coordination import canaries, pool
from brasstrail.core import clock
from brasstrail.fakes import memory
from brasstrail.protocol import messages
from brasstrail.roles import canary
from brasstrail.roles import lease as leases

ROLLOUT = messages.Rollout(
    "s",
    "v2",
    60_000,
    10**15,
    10**15 + 60_000,
    "in_progress",
    1,
    0.1,
    "",
    0,
    "",
    0,
    (),
    1,
)
DECIDED_MS = 1000
STREAM_LENGTH = 7
# Requests that all gateways together may repeat within the retry budget.
COUNT_IN_BUDGET = 12


def make_document():
    """Return the operators' document, with a plain route and one of streams."""
    common = {"host": memory.HOST, "timeout_ms": 4000, "goal_ms": 2000, "service": "s"}
    return {
        "version": 1,
        "routes": [
            {
                **common,
                "name": "stream",
                "path_prefix": "/stream/",
                "type": "streaming",
                "resumable": True,
                "max_attempts": 2,
            },
            {
                **common,
                "name": "plain",
                "path_prefix": "/plain/",
                "type": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [{"name": "s", "max_conns": 9}],
        "tenants": [{"name": "w", "api_keys": ["k"]}],
    }


class CanaryTest(unittest.IsolatedAsyncioTestCase):
    """Three gateways with three servers of the old version and two of the new one."""

    async def asyncSetUp(self):
        self.platform = memory.Platform(make_document())
        self.platform.add_servers("s", 3, "v1")
        self.platform.add_servers("s", 2, "v2")
        self.indexes = itertools.count(2)

    def apply(self, names=None, **changes):
        """Tell gateways of a roll-out, as the control hosts do."""
        index = next(self.indexes)
        record = dataclasses.replace(ROLLOUT, index=index, **changes)
        for name in names or self.platform.names:
            gateway = self.platform.gateways[name]
            gateway.lease.renewed_ms = clock.boot_ms()
            gateway.canary.apply(messages.Rollouts(index, (record,)))

    async def call_many(self, count, target="/plain/x", names=None):
        """Send requests at the gateways in turn; return the statuses."""
        statuses = []
        for _, name in zip(
            range(count), itertools.cycle(names or self.platform.names), strict=False
        ):
            connection = await self.platform.call(name, target)
            statuses.append(connection.status)
        return statuses

    def runs(self, version):
        """Return how many runs the servers of a version have begun."""
        return sum(
            len(each.runs) for each in self.platform.servers if each.version == version
        )

    async def test_nothing_is_kept_or_sent_without_a_rollout(self):
        """Guards against a cost at gateways without roll-outs."""
        await self.call_many(3)
        for each in self.platform.gateways.values():
            each.canary.tick(10**9)
            self.assertEqual((each.canary.records, each.canary.exposures), ({}, {}))
            self.assertEqual(each.canary.next_report_ms, 0)

    async def test_new_version_gets_its_share_at_most(self):
        """Guards against the exposure of all gateways together beyond the bound."""
        self.apply()
        statuses = await self.call_many(400)
        self.assertEqual(set(statuses), {200})
        self.assertLessEqual(self.runs("v2"), 0.1 * 400 + len(self.platform.names))
        self.assertGreater(self.runs("v2"), 10)

    async def test_gateway_that_starts_later_begins_with_the_old_version(self):
        """Guards against a gateway that forgets at each start what it has sent."""
        self.apply(ordered_ms=5, share=1.0 - 1e-9)
        await self.call_many(canaries.MIN_OWN_REQUESTS - 1, names=["g0"])
        self.assertEqual(self.runs("v2"), 0)
        await self.call_many(10, names=["g0"])
        self.assertGreater(self.runs("v2"), 0)

    async def test_repeat_after_a_failure_stays_off_the_new_version(self):
        self.apply(share=0.999)
        for name in self.platform.names:
            exposure = self.platform.gateways[name].canary.exposures["s"]
            exposure.draws_new = lambda slack: True
        await self.call_many(COUNT_IN_BUDGET, "/plain/fail")
        self.assertEqual(self.runs("v2"), COUNT_IN_BUDGET)
        self.assertEqual(self.runs("v1"), COUNT_IN_BUDGET)
        rows = [
            each
            for gateway in self.platform.gateways.values()
            for each in gateway.canary.exposures["s"].take_outcomes(True)
        ]
        failures = {
            is_new: sum(each.failures for each in rows if each.is_new is is_new)
            for is_new in (True, False)
        }
        self.assertEqual(failures, {True: COUNT_IN_BUDGET, False: COUNT_IN_BUDGET})

    async def test_streams_keep_their_version(self):
        """Guards against streams with events of two versions, in all stages."""
        for share in (0.5, 1.0):
            self.apply(share=share)
            for name in 2 * self.platform.names:
                target = f"/stream/x?count={STREAM_LENGTH}&break=4"
                self.platform.forget_failures()
                connection = await self.platform.call(name, target)
                versions = {version for _, version in connection.events}
                self.assertEqual(len(versions), 1)
                self.assertEqual(len(connection.events), STREAM_LENGTH)

    async def test_decisions_exclude_versions(self):
        """Guards against requests to a version that a decision has excluded."""
        self.apply(share=1.0)
        await self.call_many(30)
        self.assertEqual((self.runs("v1"), self.runs("v2")), (0, 30))
        self.apply(state="completed", share=1.0, decided_ms=DECIDED_MS)
        await self.call_many(30)
        self.assertEqual((self.runs("v1"), self.runs("v2")), (0, 60))
        self.platform.starts = itertools.count(2 * DECIDED_MS)
        for server in self.platform.servers[3:]:
            server.end()
            self.platform.announce(server, "gone")
        self.assertEqual(set(await self.call_many(6)), {503})
        self.platform.servers[0].start()
        self.assertEqual(set(await self.call_many(6)), {200})

    async def test_reverted_version_gets_nothing_more(self):
        """Guards against requests to a bad version, also by its own streams."""
        self.apply(share=0.999)
        self.apply(state="reverted", share=0.0, decided_ms=DECIDED_MS)
        self.assertEqual(set(await self.call_many(30)), {200})
        self.assertEqual(self.runs("v2"), 0)
        work = self.platform.gateways["g0"].pool
        record = self.platform.gateways["g0"].canary.records["s"]
        bound = pool.Work("x", "s", (1, 1), 0, 1, 1, software="v2")
        self.assertTrue(work.has_servers(bound))
        bound = dataclasses.replace(bound, rule=canaries.make_rule(record))
        self.assertFalse(work.has_servers(bound))

    async def test_cut_off_gateway_uses_the_old_version_or_none(self):
        """Guards against a gateway that has not heard of a reversal or a switch."""
        self.apply(share=0.999)
        self.platform.lease_age_ms = leases.MAX_READY_AGE_MS + 1
        self.assertEqual(set(await self.call_many(20)), {200})
        self.assertEqual(self.runs("v2"), 0)
        self.apply(share=1.0)
        self.assertEqual(set(await self.call_many(3)), {503})
        self.assertEqual((self.runs("v1"), self.runs("v2")), (20, 0))

    async def test_gateway_without_a_lease_does_not_outlive_the_switch(self):
        """Guards against requests to old servers after a completion unheard of."""
        gateway = self.platform.gateways["g0"]
        for left_ms, uses_old in ((60_000, True), (0, False)):
            now_ms = clock.wall_ms()
            self.apply(
                ordered_ms=now_ms - left_ms,
                deadline_ms=now_ms + left_ms,
                duration_ms=2 * left_ms,
            )
            gateway.lease.renewed_ms = clock.boot_ms() - 60_000
            rule = gateway.canary.make_rule(gateway.canary.records["s"], False, False)
            self.assertEqual((rule.uses_new, rule.uses_old), (False, uses_old))

    async def test_waiting_requests_follow_the_record(self):
        """Guards against requests that wait for a version until it is excluded."""
        self.apply(share=1.0)
        for server in self.platform.servers:
            server.gate.clear()
        tasks = [self.platform.begin("g0", "/plain/x")[0] for _ in range(20)]
        await self.pass_time(tasks)
        self.assertEqual(self.runs("v1"), 0)
        waiting = len(self.platform.gateways["g0"].pool.waiting)
        self.assertGreater(waiting, 0)
        self.apply(state="reverted", share=0.0, decided_ms=DECIDED_MS)
        await self.pass_time(tasks)
        self.assertEqual(self.runs("v1"), waiting)
        for server in self.platform.servers:
            server.gate.set()
        await self.platform.wait(tasks)

    async def pass_time(self, tasks):
        """Let the gateways send what they can, without waiting for answers."""
        for _ in range(10):
            await memory.asyncio.wait(tasks, timeout=memory.POLL_INTERVAL_S)

    async def test_report_names_what_runs_on_the_old_version(self):
        """Guards against a completion while requests run on the old version."""
        sent = []
        gateway = self.platform.gateways["g0"]
        link = memory.types.SimpleNamespace(connected=True, send=sent.append)
        gateway.subscription.active_link = link
        for server in self.platform.servers:
            server.gate.clear()
        tasks = [self.platform.begin("g0", "/plain/x")[0] for _ in range(4)]
        await self.pass_time(tasks)
        running_old = self.runs("v1")
        self.apply(share=1.0)
        gateway.canary.tick(canary.REPORT_INTERVAL_MS)
        (progress,) = sent[-1].progress
        self.assertEqual(progress.running_old, running_old)
        for server in self.platform.servers:
            server.gate.set()
        await self.platform.wait(tasks)
        gateway.canary.tick(10 * canary.REPORT_INTERVAL_MS)
        self.assertEqual(sent[-1].progress[0].running_old, 0)


if __name__ == "__main__":
    unittest.main()
