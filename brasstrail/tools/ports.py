"""Gives out ports of loopback for processes that are started on this machine.

They lie below the range from which the kernel takes ports for outgoing
connections, so that none is taken between being given out and being used.
"""

import os
import socket

FIRST_PORT = 12_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 100


class PortAllocator:
    """Gives out ports, none of them twice."""

    def __init__(self):
        port_count = LAST_PORT - FIRST_PORT
        self.next_port = FIRST_PORT + os.getpid() * PORTS_PER_PROCESS % port_count

    def allocate(self):
        """Return a port that nobody listens on."""
        while True:
            port = self.next_port
            self.next_port = port + 1 if port < LAST_PORT else FIRST_PORT
            if is_free(port):
                return port


def is_free(port):
    """Return whether nobody listens on a port."""
    with socket.socket() as test_socket:
        test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            test_socket.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
