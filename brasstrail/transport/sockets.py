"""Resets of TCP connections."""

import socket
import struct

# Linger on, for 0 s: the close of a socket discards unsent data and sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_on_close(sock):
    """Make the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def reset(writer):
    """Reset the connection of an `asyncio.StreamWriter`."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        reset_on_close(sock)
    writer.transport.abort()
