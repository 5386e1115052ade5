"""Tests of streams beside servers of several software versions, without a network."""

import collections
import random
import unittest

import brasstrail.platform  # noqa: F401
from brasstrail.core import clock
from brasstrail.fakes import memory

STREAM_LENGTH = 7
# Each run breaks off within the event after its second, and callers leave after three.
BROKEN_TARGET = f"/stream/{{}}?count={STREAM_LENGTH}&break=2"
LEFT_TARGET = f"/stream/{{}}?count={STREAM_LENGTH}&leave=3"
# A refusal or the end of a cut stream comes within this time: far below the time limit.
SOON_MS = 1500
TWO_REGIONS = (("east", "one"), ("west", "one"), ("south", "two"))


def make_route(name, **changes):
    """Return a route of the operators' document, with resumable streams."""
    return {
        "name": name,
        "host": memory.HOST,
        "path_prefix": f"/{name}/",
        "type": "streaming",
        "resumable": True,
        "timeout_ms": 10_000,
        "goal_ms": 5_000,
        "service": "s",
        "max_attempts": 2,
        **changes,
    }


def make_document(version=1, routes=None, tenants=None):
    """Return the operators' document."""
    return {
        "version": version,
        "routes": routes or [make_route("stream"), make_route("other")],
        "services": [{"name": "s", "max_conns": 9}, {"name": "t", "max_conns": 9}],
        "tenants": tenants
        or [
            {"name": "w", "api_keys": ["k"]},
            {"name": "v", "api_keys": ["other"]},
        ],
    }


class Stream:
    """A stream that its caller takes up again until it is whole.

    `attempts` are the (attempt id, connection) pairs of all tries, `first` is the id of
    the one that brought the first event.
    """

    def __init__(self, platform, target, key="k"):
        self.platform = platform
        self.target = target
        self.key = key
        self.attempts = []
        self.first = ""

    @property
    def events(self):
        """All events that the caller has, in the order in which they came."""
        return [event for _, each in self.attempts for event in each.events]

    @property
    def versions(self):
        """The versions of the servers that made them."""
        return {version for _, version in self.events}

    @property
    def is_whole(self):
        """Whether the caller has each event once, in order."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, STREAM_LENGTH + 1))

    async def go_on(self, name, **headers):
        """Send one try to a gateway; return its connection."""
        if self.events:
            headers.setdefault("Last_Event_Id", str(self.events[-1][0]))
            headers.setdefault("Resumes", self.first)
        headers.setdefault("X_Attempt_Id", f"a-{id(self)}-{len(self.attempts)}")
        connection = await self.platform.call(name, self.target, self.key, **headers)
        identity = headers["X_Attempt_Id"]
        self.attempts.append((identity, connection))
        if not self.first and connection.events:
            self.first = identity
        return connection


class VersionCase(unittest.IsolatedAsyncioTestCase):
    """Gateways and servers of two versions, half of them each."""

    places = (("east", "one"),)
    server_counts = {"v1": 3, "v2": 3}

    async def asyncSetUp(self):
        self.platform = memory.Platform(make_document(), 4, self.places)
        for version, count in self.server_counts.items():
            self.platform.add_servers("s", count, version)
        self.random = random.Random(1)
        self.relax()

    def relax(self):
        """Forget back-offs, retries and crashes, and draw which servers are fast."""
        self.platform.exchange()
        self.platform.forget_failures()
        for each in self.platform.gateways.values():
            for server in each.pool.servers.values():
                server.slowdown = self.random.uniform(0.5, 3.0)
            each.budget.retries.clear()
            each.crashes.suspects.by_content.clear()
            each.crashes.suspects.record_counts.clear()

    async def complete(self, stream, names, between=None, tries=9):
        """Take a stream up at gateways in turn until it is whole."""
        for number in range(tries):
            if stream.is_whole:
                break
            await stream.go_on(names[number % len(names)])
            self.relax()
            if between is not None:
                between(number)
        return stream

    async def complete_streams(self, target, count, between=None):
        """Complete streams one after the other; return them."""
        streams = []
        for number in range(count):
            names = self.platform.names[number % 4 :] + self.platform.names
            stream = Stream(self.platform, target.format(number))
            streams.append(await self.complete(stream, names, between))
        return streams

    def assert_each_at_one_version(self, streams):
        """Assert that streams are whole, each from servers of one version."""
        for stream in streams:
            self.assertEqual(len(stream.versions), 1, stream.events)
            self.assertTrue(stream.is_whole, stream.events)


class OneVersionTest(VersionCase):
    """Streams that go on within an answer, and over tries at any gateway."""

    async def test_answer_has_events_of_one_version(self):
        """Guards against an answer that its gateway continues at another version."""
        for number in range(24):
            name = self.platform.names[number % 4]
            target = f"/stream/{number}?count=4&break=2"
            reply = await self.platform.call(name, target)
            self.assertEqual(len({version for _, version in reply.events}), 1)
            self.relax()

    async def test_stream_goes_on_within_an_answer_at_its_version(self):
        """Each answer goes on at another server once, and is then taken up."""
        streams = await self.complete_streams(BROKEN_TARGET, 16)
        self.assert_each_at_one_version(streams)

    async def test_stream_that_is_taken_up_goes_on_at_its_version(self):
        """Guards against a stream that another gateway continues at another version."""
        streams = await self.complete_streams(LEFT_TARGET, 16)
        self.assert_each_at_one_version(streams)
        versions = collections.Counter(min(each.versions) for each in streams)
        self.assertEqual(set(versions), {"v1", "v2"})


class RareVersionTest(OneVersionTest):
    """The same with one server of twenty at another version."""

    server_counts = {"v1": 19, "v2": 1}

    async def test_stream_that_is_taken_up_goes_on_at_its_version(self):
        streams = await self.complete_streams(LEFT_TARGET, 40)
        self.assert_each_at_one_version(streams)


class ThreeVersionsTest(OneVersionTest):
    """The same with three versions."""

    server_counts = {"v1": 2, "v2": 2, "v3": 2}

    async def test_stream_that_is_taken_up_goes_on_at_its_version(self):
        streams = await self.complete_streams(LEFT_TARGET, 24)
        self.assert_each_at_one_version(streams)


class QueueTest(VersionCase):
    """What waits for servers of one version, and what does not."""

    async def test_stream_without_a_server_of_its_version_is_cut_soon(self):
        """Other versions have room, but no server that may go on."""
        for server in self.platform.servers[1:3]:
            self.platform.announce(server, "leaving")
        for server in self.platform.servers[3:]:
            server.gate.clear()
        gateway = self.platform.gateways["g0"]
        for identity, server in gateway.pool.servers.items():
            server.slowdown = 0.1 if identity == "s-0" else 10.0
        gateway.lease.started_ms -= 60_000
        started_ms = clock.now_ms()
        reply = await self.platform.call("g0", "/stream/x?count=4&break=2")
        self.assertEqual(reply.events, [(1, "v1"), (2, "v1")])
        self.assertTrue(reply.is_closed and not reply.is_finished)
        self.assertLess(clock.now_ms() - started_ms, SOON_MS)
        (line,) = [
            line
            for line in self.platform.lines
            if line["event"].startswith("forwarding: No server has the version")
        ]
        self.assertEqual((line["version"], line["left_out_count"]), ("v1", 3))


if __name__ == "__main__":
    unittest.main()
