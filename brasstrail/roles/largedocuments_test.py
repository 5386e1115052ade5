"""Tests of large documents over a narrow link between regions, in one process.

Three control hosts, one of them in another region, and a gateway in each region. The
link has the rate and the delay of the users' platform.
"""

import asyncio
import shutil
import time
import types

import orjson

from brasstrail.protocol import codec, messages
from brasstrail.roles import daemon, publisher_test
from brasstrail.settings import settings

REGION_LINK = settings.Shaping(region_delay_ms=30.0, rate_bytes=1_875_000)
ROUTES = 2000
CHANGES = 150
# The users' bounds: until a change is in force, until service is back after all hosts
# had lost power, and until an operator's order is acknowledged.
IN_FORCE_LIMIT_S = 3.0
RECOVERY_LIMIT_S = 12.0
ACKNOWLEDGE_LIMIT_S = 5.0
# How long all hosts are without power.
DOWN_S = 0.7


def make_document(version, count=ROUTES):
    """Return the body of a document with many routes, which hardly compress."""
    routes = [
        {
            "name": f"r-{number * 7919 % 100_003:x}",
            "host": f"{number * 104_729 % 1_000_003:x}.example",
            "path_prefix": f"/{(number * 15_485_863 + version) % 10_000_019:x}/",
            "type": "idempotent",
            "timeout_ms": 1000 + (number * 31 + version) % 5000,
            "service": "s",
        }
        for number in range(count)
    ]
    return orjson.dumps(
        {**publisher_test.DOCUMENT, "version": version, "routes": routes}
    )


class LargeDocumentsTest(publisher_test.ControlAndGatewayTest):
    """Three control hosts and two gateways in two regions."""

    def control_settings(self, peer):
        loaded = super().control_settings(peer)
        return self.in_region(loaded, self.peers.index(peer) == 1)

    def gateway_settings(self, name):
        return self.in_region(super().gateway_settings(name), name == "g2")

    def in_region(self, loaded, is_far):
        """Return settings for a process in one of the two regions."""
        node = loaded.node
        region, data_centre = ("west", "two") if is_far else ("east", "one")
        node = settings.Node(
            node.name, node.roles, region, data_centre, peer_port=node.peer_port
        )
        return settings.Settings(
            node,
            loaded.cluster,
            control=loaded.control,
            gateway=loaded.gateway,
            shaping=REGION_LINK,
        )

    async def put(self, version, count=ROUTES):
        """Send a document until it is acknowledged; return how long that took, in s."""
        body = make_document(version, count)
        begin = time.monotonic()
        while time.monotonic() < begin + 2 * RECOVERY_LIMIT_S:
            for control in self.controls:
                reply = await self.call(control, "PUT", "/v1/configuration", body)
                if reply.code == 200:
                    return time.monotonic() - begin
            await asyncio.sleep(0.05)
        raise AssertionError(f"Version {version} was not acknowledged.")

    def versions(self):
        """Return the version in force at each gateway that may use it."""
        return {
            each.gateway.document_version
            for each in self.gateways
            if each.gateway.lease.is_fresh
        }

    async def wait_in_force(self, version, limit_s):
        """Wait until a version is in force at all gateways; return how long it took."""
        begin = time.monotonic()
        while self.versions() != {version}:
            if time.monotonic() - begin > limit_s:
                held = [each.gateway.document_version for each in self.gateways]
                raise AssertionError(f"{held} are in force after {limit_s} s.")
            await asyncio.sleep(0.02)
        return time.monotonic() - begin

    async def lose_power(self, blank):
        """Stop all processes at once and start them again; one disk is gone."""
        folders = [each.settings.control.data_folder for each in self.controls]
        loaded = [each.settings for each in (*self.controls, *self.gateways)]
        for each in (*self.controls, *self.gateways):
            each.stack.close()
        await asyncio.sleep(DOWN_S)
        shutil.rmtree(folders[blank])
        started = []
        for each in loaded:
            process = daemon.Daemon(each, self.log)
            await process.start_all()
            self.addCleanup(process.stack.close)
            started.append(process)
        self.controls, self.gateways = started[:3], started[3:]

    # Guards against a return that never ends: what a replica without a disk has to be
    # sent took longer than its connection may be silent, and began again each time.
    async def test_service_returns_after_a_total_loss_with_a_disk_gone(self):
        for version in range(5, 5 + CHANGES):
            await self.put(version)
        newest = 4 + CHANGES
        await self.wait_in_force(newest, RECOVERY_LIMIT_S)
        await self.lose_power(blank=0)
        await self.wait_in_force(newest, RECOVERY_LIMIT_S)
        self.assertLessEqual(await self.put(newest + 1), ACKNOWLEDGE_LIMIT_S)
        await self.wait_in_force(newest + 1, IN_FORCE_LIMIT_S)

    # Guards against changes in quick succession that are all sent to each gateway, so
    # that the newest waits behind those that it has replaced.
    async def test_change_is_in_force_in_time_after_many_others(self):
        await self.put(5, 5000)
        end = time.monotonic() + 6.0
        version = 5
        while time.monotonic() < end:
            version += 1
            await self.put(version, 5000)
        await self.wait_in_force(version, IN_FORCE_LIMIT_S)

    # Guards against a document that is sent with each heartbeat of a gateway until that
    # has it, and against a document for each change meanwhile.
    async def test_gateway_is_sent_one_document_at_a_time(self):
        sent = []
        publisher = self.controls[0].publisher
        link = types.SimpleNamespace(
            connected=True,
            name="slow",
            address="",
            data_centre="one",
            send=lambda message: sent.append(message),
            send_payload=lambda payload: sent.append(
                codec.decode(codec.MESSAGE, payload)
            ),
        )
        watch = messages.Watch(1, 0, False, "127.0.0.1:1")
        for version in range(5, 15):
            publisher.handle_watch(link, watch)
            await self.put(version, 10)
            await publisher_test.wait_until(
                lambda version=version: publisher.document.version >= version
            )
            publisher.start_confirmation_round(0)
            await asyncio.sleep(0.02)
        documents = [each for each in sent if isinstance(each, messages.Document)]
        self.assertEqual(len(documents), 1)
        held = documents[0].version
        publisher.handle_watch(link, messages.Watch(2, held, False, "127.0.0.1:1"))
        await publisher_test.wait_until(
            lambda: any(getattr(each, "version", 0) == 14 for each in sent)
        )
        documents = [each for each in sent if isinstance(each, messages.Document)]
        self.assertEqual([each.version for each in documents], [held, 14])


# The inherited tests run in `publisher_test`.
for _name in dir(publisher_test.ControlAndGatewayTest):
    if _name.startswith("test_"):
        setattr(LargeDocumentsTest, _name, None)
