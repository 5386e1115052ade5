"""A relay of TCP connections that can go silent, for tests of failures.

It stands before the peer port of a process. While it is silent in a direction
it goes on reading and drops what it reads, as a middlebox does that has lost
track of a connection; new connections are silent too until it is healed.
"""

import asyncio
import contextlib

READ_BYTES = 65536


class Relay:
    """Relays connections from one port to another.

    Attributes
    ----------
    silent_in : drop what comes from the dialing side.
    silent_out : drop what goes back to it.
    delay_s : how much later each piece is passed on.
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
        """Listen."""
        self.server = await asyncio.start_server(
            self.relay_connection, "127.0.0.1", self.port
        )

    def close(self):
        """Stop, and close all connections."""
        self.server.close()
        self.close_connections()

    def close_connections(self):
        """Close all connections; new ones are relayed."""
        for writer in list(self.writers):
            writer.close()

    def reset_connections(self):
        """Reset all connections, as a host does that has lost them."""
        for writer in list(self.writers):
            writer.transport.abort()

    def drop_traffic(self):
        """Go silent in both directions."""
        self.silent_in = self.silent_out = True

    def restore(self):
        """Relay new connections again; the silent ones stay lost."""
        if self.silent_in or self.silent_out:
            self.close_connections()
        self.silent_in = self.silent_out = False
        self.delay_s = 0.0

    async def relay_connection(self, reader, writer):
        """Relay one connection."""
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
        """Relay one direction of a connection."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not getattr(self, direction):
                    writer.write(chunk)
                    await writer.drain()
        writer.close()
