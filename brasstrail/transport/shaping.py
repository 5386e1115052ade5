"""Simulated delay and bandwidth limits on links between processes.

They are used for measurements and tests. If the settings enable them, writes to a peer
in another data centre or region are delayed as by a network. Nothing is lost or
reordered. The connections to other regions share one link; their bytes are transmitted
in small pieces, in turn, as those of separate TCP connections are.
"""

import collections

MS_PER_SECOND = 1000
# Bytes that a connection transmits before the next one has its turn: a few packets.
PIECE_BYTES = 8192


class LinkShaper:
    """Delays writes to peers in other data centres and regions.

    Parameters
    ----------
    settings : `settings.Settings` of the process.
    loop : the event loop.

    Attributes
    ----------
    pieces : the pieces that wait for the link between regions, by stream.
    is_transmitting : whether a piece is being transmitted on it.
    """

    def __init__(self, settings, loop):
        self.node = settings.node
        self.shaping = settings.shaping
        self.loop = loop
        self.pieces = collections.OrderedDict()
        self.is_transmitting = False

    def write(self, link, chunk):
        """Write a chunk to a link's connection at its simulated time of arrival."""
        stream = link.stream
        if link.region != self.node.region:
            self.write_to_region(stream, chunk)
        elif link.data_centre != self.node.data_centre:
            self.write_later(stream, chunk, self.shaping.data_centre_delay_ms)
        else:
            stream.write(chunk)

    def write_to_region(self, stream, chunk):
        """Queue a chunk for the link between regions, if that has a rate."""
        if not self.shaping.rate_bytes:
            self.write_later(stream, chunk, self.shaping.region_delay_ms)
            return
        queued = self.pieces.setdefault(stream, collections.deque())
        for offset in range(0, len(chunk), PIECE_BYTES):
            queued.append(chunk[offset : offset + PIECE_BYTES])
        if not self.is_transmitting:
            self.transmit()

    def transmit(self):
        """Transmit the next piece; what a closed connection has queued is dropped."""
        self.is_transmitting = False
        while self.pieces:
            stream, queued = self.pieces.popitem(last=False)
            if stream.closed() or not queued:
                continue
            piece = queued.popleft()
            if queued:
                self.pieces[stream] = queued
            self.is_transmitting = True
            self.loop.call_later(
                len(piece) / self.shaping.rate_bytes, self.transmitted, stream, piece
            )
            return

    def transmitted(self, stream, piece):
        """Write a transmitted piece after the delay, and transmit the next one."""
        self.write_later(stream, piece, self.shaping.region_delay_ms)
        self.transmit()

    def write_later(self, stream, chunk, delay_ms):
        """Write a chunk after a delay, unless the connection is closed by then."""
        if delay_ms:
            self.loop.call_later(delay_ms / MS_PER_SECOND, write_open, stream, chunk)
        else:
            write_open(stream, chunk)


def write_open(stream, chunk):
    """Write a chunk to a connection, unless it was closed."""
    if not stream.closed():
        stream.write(chunk)


def make_shaper(settings, loop):
    """Return a `LinkShaper`, or None if the settings set no delay or rate."""
    shaping = settings.shaping
    if not (
        shaping.data_centre_delay_ms or shaping.region_delay_ms or shaping.rate_bytes
    ):
        return None
    return LinkShaper(settings, loop)
