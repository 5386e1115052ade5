"""Simulated delay and bandwidth limits on links between processes.

They are used for measurements. If the settings enable them, writes to a peer in
another data centre or region are delayed as by a network. Nothing is lost or
reordered.
"""

MS_PER_SECOND = 1000


class LinkShaper:
    """Delays writes to peers in other data centres and regions.

    Parameters
    ----------
    settings : `settings.Settings` of the process.
    loop : the event loop.

    Attributes
    ----------
    region_link_free_at_s : when the link between regions, whose rate is limited,
        has transmitted all earlier chunks.
    next_write_at_s : the time of the latest delayed write, by stream.
    """

    def __init__(self, settings, loop):
        self.node = settings.node
        self.shaping = settings.shaping
        self.loop = loop
        self.region_link_free_at_s = 0.0
        self.next_write_at_s = {}

    def write(self, link, chunk):
        """Write a chunk to a link's connection at its simulated time of arrival."""
        write_at_s = self.arrival_time_s(link, len(chunk))
        stream = link.stream
        if write_at_s <= self.loop.time():
            stream.write(chunk)
            return
        write_at_s = max(write_at_s, self.next_write_at_s.get(stream, 0.0))
        self.next_write_at_s[stream] = write_at_s
        self.loop.call_at(write_at_s, self.write_delayed, stream, chunk)

    def arrival_time_s(self, link, size):
        """Return the simulated time of arrival of a chunk, on the loop's clock."""
        now_s = self.loop.time()
        if link.region != self.node.region:
            return self.cross_region_arrival_time_s(now_s, size)
        if link.data_centre != self.node.data_centre:
            return now_s + self.shaping.data_centre_delay_ms / MS_PER_SECOND
        return now_s

    def cross_region_arrival_time_s(self, now_s, size):
        """Return the simulated time of arrival of a chunk sent to another region."""
        if self.shaping.rate_bytes:
            start_s = max(now_s, self.region_link_free_at_s)
            self.region_link_free_at_s = start_s + size / self.shaping.rate_bytes
            now_s = self.region_link_free_at_s
        return now_s + self.shaping.region_delay_ms / MS_PER_SECOND

    def write_delayed(self, stream, chunk):
        """Write a delayed chunk, unless the stream was closed."""
        if stream.closed():
            self.next_write_at_s.pop(stream, None)
        else:
            stream.write(chunk)


def make_shaper(settings, loop):
    """Return a `LinkShaper`, or None if the settings set no delay."""
    shaping = settings.shaping
    if not shaping.data_centre_delay_ms and not shaping.region_delay_ms:
        return None
    return LinkShaper(settings, loop)
