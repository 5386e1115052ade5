"""A TCP relay that can drop, delay and close traffic, for tests of network failures.

It listens in front of the peer port of a process. While it drops a direction, it
keeps reading and discards the data, like a middlebox that has lost the state of a
connection. Connections opened meanwhile are affected too, until `restore`.
"""

import asyncio
import contextlib

from brasstrail.transport import sockets

READ_BYTES = 65536


class Relay:
    """Relays connections from one port to another.

    Attributes
    ----------
    silent_in : discard data from the connecting side to the target.
    silent_out : discard data from the target to the connecting side.
    delay_s : seconds by which each chunk that was read is delayed.
    """

    def __init__(self, port, target_port):
        self.port = port
        self.target_port = target_port
        self.silent_in = False
        self.silent_out = False
        self.delay_s = 0.0
        self.server = None
        self.writers = set()

    async def start(self):
        """Start to listen on loopback."""
        self.server = await asyncio.start_server(
            self.relay_connection, "127.0.0.1", self.port
        )

    def close(self):
        """Stop listening and close all connections."""
        self.server.close()
        self.close_connections()

    def close_connections(self):
        """Close all connections; new ones are accepted."""
        for writer in list(self.writers):
            writer.close()

    def reset_connections(self):
        """Reset all connections, as a host does that has lost their state."""
        for writer in list(self.writers):
            sockets.reset(writer)

    def drop_traffic(self):
        """Discard data in both directions."""
        self.silent_in = self.silent_out = True

    def restore(self):
        """Relay without loss and delay again.

        If data was being dropped, the existing connections are closed.
        """
        if self.silent_in or self.silent_out:
            self.close_connections()
        self.silent_in = self.silent_out = False
        self.delay_s = 0.0

    async def relay_connection(self, reader, writer):
        """Connect to the target and relay one connection in both directions."""
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
            self.writers.add(target[1])
            await asyncio.gather(
                self.relay_direction(reader, target[1], "silent_in"),
                self.relay_direction(target[0], writer, "silent_out"),
            )
            self.writers.discard(target[1])
        self.writers.discard(writer)
        writer.close()

    async def relay_direction(self, reader, writer, direction):
        """Relay one direction of a connection until it ends; pass a reset on as one.

        `direction` names the attribute that makes it discard data.
        """
        with contextlib.suppress(OSError):
            while chunk := await self.read(reader, writer):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not getattr(self, direction):
                    writer.write(chunk)
                    await writer.drain()
        writer.close()

    async def read(self, reader, writer):
        """Return what arrives next; reset the other side if this one was reset."""
        try:
            return await reader.read(READ_BYTES)
        except ConnectionResetError:
            sockets.reset(writer)
            raise
