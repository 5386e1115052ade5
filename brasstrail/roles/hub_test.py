"""Tests of which sessions a hub accepts from its peers."""

import unittest

import structlog

from brasstrail.core import errors
from brasstrail.protocol import messages
from brasstrail.roles import hub, links
from brasstrail.settings import settings
from brasstrail.tools import ports

PORTS = ports.PortAllocator()


def make_hello(incarnation):
    """Return the hello of a process that started at a wall-clock time in ms."""
    return messages.Hello(
        messages.PROTOCOL_VERSION,
        "c",
        "peer",
        incarnation,
        f"s{incarnation}",
        0,
        b"",
        b"",
    )


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Sessions of a peer that starts again."""

    async def asyncSetUp(self):
        loaded = settings.Settings(
            settings.Node("c", ("control",), "one", "east", peer_port=PORTS.allocate()),
            settings.Cluster("c", "a-secret-of-16-letters", ()),
        )
        self.hub = hub.Hub(loaded, 1, structlog.get_logger())
        self.addCleanup(self.hub.close)

    async def test_earlier_process_is_refused_while_the_later_one_is_connected(self):
        link, _ = self.hub.find_session(make_hello(2000))
        link.session.connect(0, 0)
        with self.assertRaises(errors.Forbidden):
            self.hub.find_session(make_hello(1000))

    async def test_process_that_starts_after_its_clock_went_back_is_accepted(self):
        """Guards against a host that no peer accepts for a minute.

        Its former process ended, and started at a time of day that was ahead.
        """
        link, _ = self.hub.find_session(make_hello(2000))
        link.session.connect(0, 0)
        link.drop_stream()
        accepted, is_resumed = self.hub.find_session(make_hello(1000))
        self.assertIsInstance(accepted, links.Link)
        self.assertFalse(is_resumed)


if __name__ == "__main__":
    unittest.main()
