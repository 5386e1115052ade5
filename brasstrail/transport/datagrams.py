"""A datagram socket that is read in batches.

At hundreds of small datagrams a second, waking up for each of them takes longer than
handling it. After a batch the socket is therefore left alone for `READ_INTERVAL_S`, in
which further datagrams wait in the operating system's buffer; one that arrives after a
pause is read at once.
"""

import socket

# A fraction of the delay with which gateways send their states.
READ_INTERVAL_S = 0.02
# Datagrams that are read at once; the rest follows after the interval.
MAX_BATCH = 256
MAX_DATAGRAM_BYTES = 65_536
# Batches that are read at once after a pause.
MAX_BATCHES = 16


class DatagramSocket:
    """A UDP socket on an address.

    Parameters
    ----------
    loop : the event loop.
    address : the local (host, port).
    receive : called with each payload and the (host, port) that it came from.
    end_batch : called after the datagrams that were read at once.

    Attributes
    ----------
    is_watched : whether the loop reports when the socket can be read.
    timer : the handle of the next read, or None.
    unsent : how many datagrams the operating system did not take.
    """

    def __init__(self, loop, address, receive, end_batch):
        self.loop = loop
        self.receive = receive
        self.end_batch = end_batch
        self.is_watched = False
        self.timer = None
        self.unsent = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.watch()

    def is_closing(self):
        """Return whether the socket is closed."""
        return self.socket.fileno() < 0

    def sendto(self, payload, address):
        """Send a datagram; it is lost if the operating system has no room for it."""
        try:
            self.socket.sendto(payload, address)
        except OSError:
            self.unsent += 1

    def read(self):
        """Read the datagrams that have arrived, and schedule the next read."""
        self.timer = None
        count = 0
        try:
            for payload, address in self.arrived():
                count += 1
                self.receive(payload, address)
            self.end_batch()
        finally:
            if not self.is_closing():
                self.schedule_read(has_read=count > 0)

    def read_waiting(self):
        """Read all datagrams that have arrived, up to some batches, at once."""
        for _ in range(MAX_BATCHES):
            count = 0
            for payload, address in self.arrived():
                count += 1
                self.receive(payload, address)
            if count < MAX_BATCH:
                break
        self.end_batch()

    def arrived(self):
        """Yield up to `MAX_BATCH` datagrams that have arrived, with their sources."""
        for _ in range(MAX_BATCH):
            if self.is_closing():
                return
            try:
                yield self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return

    def schedule_read(self, has_read):
        """Read again after the interval, or when the next datagram arrives."""
        if not has_read:
            self.watch()
            return
        self.unwatch()
        self.timer = self.loop.call_later(READ_INTERVAL_S, self.read)

    def watch(self):
        """Let the loop report when the socket can be read."""
        if not self.is_watched:
            self.is_watched = True
            self.loop.add_reader(self.socket, self.read)

    def unwatch(self):
        """Stop the reports of the loop."""
        if self.is_watched:
            self.is_watched = False
            self.loop.remove_reader(self.socket)

    def close(self):
        """Close the socket."""
        if self.is_closing():
            return
        self.unwatch()
        if self.timer is not None:
            self.timer.cancel()
        self.socket.close()
