"""Tests of requests that end the servers that run them, without a network."""

import unittest

import brasstrail.platform  # noqa: F401
from brasstrail.fakes import memory

# The users' bound: servers that a request may end before it is refused.
MAX_SERVERS_ENDED = 3


def make_route(name, kind, **changes):
    """Return a route of the operators' document."""
    return {
        "name": name,
        "host": memory.HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 2000,
        "goal_ms": 1000,
        "service": "s",
        "max_attempts": 2,
        **changes,
    }


DOCUMENT = {
    "version": 1,
    "routes": [
        make_route("safe", "idempotent"),
        make_route("unsafe", "non_idempotent"),
        make_route("stream", "streaming"),
        make_route("resumed", "streaming", resumable=True),
    ],
    "services": [{"name": "s", "max_conns": 9}],
    "tenants": [
        {"name": "w", "api_keys": ["k"]},
        {"name": "v", "api_keys": ["other"]},
    ],
}
ROUTES = tuple(route["name"] for route in DOCUMENT["routes"])


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Three gateways and four servers of one service."""

    async def asyncSetUp(self):
        self.platform = memory.Platform(DOCUMENT)
        self.platform.add_servers("s", 4)

    def restart_servers(self):
        """Start the servers that have ended, and let the gateways use all of them."""
        for server in self.platform.servers:
            if not server.is_up:
                server.start()
        self.platform.forget_failures()
        self.platform.exchange()


class RepeatedRequestTest(PlatformCase):
    """A request that ends its servers comes again at gateways in turn."""

    async def test_request_that_ends_its_servers_is_refused_after_three(self):
        """Guards against a request that ends one server for each time it is sent.

        Each attempt has a new id and comes to another gateway, so that the limits of a
        single attempt never apply.
        """
        for route in ROUTES:
            with self.subTest(route):
                before = self.platform.run_count()
                names = self.platform.names
                for attempt in range(12):
                    gateway_name = names[attempt % len(names)]
                    await self.platform.call(gateway_name, f"/{route}/x?end=reset")
                    self.restart_servers()
                ended = self.platform.run_count() - before
                self.assertLessEqual(ended, MAX_SERVERS_ENDED)


if __name__ == "__main__":
    unittest.main()
