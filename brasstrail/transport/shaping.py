"""Delays and a bounded rate on links between processes, for measurements.

Where the settings ask for it, what is written to a peer in another data centre
or region is held back as if it crossed a network. Nothing is lost or reordered.
"""

MS_PER_SECOND = 1000


class LinkShaper:
    """Holds back writes to peers that are elsewhere.

    Parameters
    ----------
    settings : `settings.Settings` of the process.
    loop : the event loop.
    """

    def __init__(self, settings, loop):
        self.node = settings.node
        self.shaping = settings.shaping
        self.loop = loop
        self.region_link_free_at_s = 0.0
        self.next_write_at_s = {}

    def write(self, link, chunk):
        """Write to a link's connection when the chunk would have crossed."""
        write_at_s = self.arrival_time_s(link, len(chunk))
        stream = link.stream
        if write_at_s <= self.loop.time():
            stream.write(chunk)
            return
        write_at_s = max(write_at_s, self.next_write_at_s.get(stream, 0.0))
        self.next_write_at_s[stream] = write_at_s
        self.loop.call_at(write_at_s, self.write_delayed, stream, chunk)

    def arrival_time_s(self, link, size):
        """Return the time at which a chunk would have crossed."""
        now_s = self.loop.time()
        if link.region != self.node.region:
            return self.cross_region_arrival_time_s(now_s, size)
        if link.data_centre != self.node.data_centre:
            return now_s + self.shaping.data_centre_delay_ms / MS_PER_SECOND
        return now_s

    def cross_region_arrival_time_s(self, now_s, size):
        """Return the time at which a chunk would have crossed between regions."""
        if self.shaping.rate_bytes:
            start_s = max(now_s, self.region_link_free_at_s)
            self.region_link_free_at_s = start_s + size / self.shaping.rate_bytes
            now_s = self.region_link_free_at_s
        return now_s + self.shaping.region_delay_ms / MS_PER_SECOND

    def write_delayed(self, stream, chunk):
        """Write a chunk that was held back."""
        if stream.closed():
            self.next_write_at_s.pop(stream, None)
        else:
            stream.write(chunk)


def make_shaper(settings, loop):
    """Return the shaper that the settings ask for, or None."""
    shaping = settings.shaping
    if not shaping.data_centre_delay_ms and not shaping.region_delay_ms:
        return None
    return LinkShaper(settings, loop)
