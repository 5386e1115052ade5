"""Allocates loopback ports for processes that are started on this machine.

The ports lie below the ephemeral range, from which the kernel takes ports for
outgoing connections. So the kernel cannot take a port between its allocation and
its use.
"""

import os
import socket

FIRST_PORT = 12_000
LAST_PORT = 32_000
# The distance between the first ports of consecutive process ids.
PORTS_PER_PROCESS = 100


class PortAllocator:
    """Allocates free ports in ascending order, starting again after `LAST_PORT`.

    The first port depends on the process id, so that test processes that run at the
    same time begin at different ports.
    """

    def __init__(self):
        port_count = LAST_PORT - FIRST_PORT
        self.next_port = FIRST_PORT + os.getpid() * PORTS_PER_PROCESS % port_count

    def allocate(self):
        """Return the next port that can be bound."""
        while True:
            port = self.next_port
            self.next_port = port + 1 if port < LAST_PORT else FIRST_PORT
            if is_free(port):
                return port


def is_free(port):
    """Return whether a loopback port can be bound."""
    with socket.socket() as test_socket:
        test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            test_socket.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
