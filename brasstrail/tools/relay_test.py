"""Tests that a relay passes on how connections end."""

import asyncio
import unittest

from brasstrail.tools import ports, relay
from brasstrail.transport import sockets

SENT = b"part of an answer"


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A server behind a relay, and a caller that reads to the end."""

    async def asyncSetUp(self):
        self.ports = ports.PortAllocator()

    async def connect(self, end):
        """Return a caller's streams; the server sends some bytes and calls `end`."""

        async def serve(reader, writer):
            writer.write(SENT)
            await writer.drain()
            await reader.read(1)
            end(writer)

        target_port, port = self.ports.allocate(), self.ports.allocate()
        server = await asyncio.start_server(serve, "127.0.0.1", target_port)
        self.addCleanup(server.close)
        self.relay = relay.Relay(port, target_port)
        await self.relay.start()
        self.addCleanup(self.relay.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        self.assertEqual(await reader.readexactly(len(SENT)), SENT)
        return reader, writer

    async def test_reset_is_passed_on_as_a_reset(self):
        """Guards against a relay that hides the difference to an ordinary end."""
        reader, writer = await self.connect(sockets.reset)
        writer.write(b"x")
        with self.assertRaises(ConnectionResetError):
            await reader.read(1)

    async def test_ordinary_end_is_passed_on_as_one(self):
        reader, writer = await self.connect(lambda server: server.close())
        writer.write(b"x")
        self.assertEqual(await reader.read(1), b"")

    async def test_relay_resets_its_connections(self):
        reader, _ = await self.connect(sockets.reset)
        self.relay.reset_connections()
        with self.assertRaises(ConnectionResetError):
            await reader.read(1)


if __name__ == "__main__":
    unittest.main()
