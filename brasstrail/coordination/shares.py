"""A least share of the servers for each rank of requests.

Ranks are served in their order. While more arrives than the servers can take, nothing
may be left for the lowest ranks, however long that lasts. Over `COUNT_DECAY_MS` each
rank is therefore due `LEAST_FRACTION` of the part of all requests that is served. While
a rank has been behind that for `MAX_BEHIND_MS`, longer than bursts last, some of its
requests go before those of all other ranks. All others are served in the usual order.

>>> shares = RankShares()
>>> for now_ms in range(0, 20_000, 100):
...     shares.record_arrival((1, 1), now_ms)
...     shares.record_start((1, 1), now_ms)
...     shares.record_arrival((1, 3), now_ms)
>>> shares.owed((1, 1)), shares.owed((1, 3))
(0, 1)
"""

import dataclasses
import math

# The part of a rank's requests that is due, relative to that of all requests: the users
# call a kind of request starved below a quarter.
LEAST_FRACTION = 0.28
# How long a rank may be behind before it is owed anything.
MAX_BEHIND_MS = 10_000
# What a rank is owed with each arrival then, in requests: a little more than it is due,
# so that it catches up; and at most at once, at each gateway.
OWED_BY_ARRIVAL = 0.4
MAX_OWED = 1.0
# Time constant of the counts: a rank is not starved that gets its share in a minute.
COUNT_DECAY_MS = 60_000.0
# Requests of a rank from which what it gets is judged.
MIN_ARRIVALS = 8.0


@dataclasses.dataclass
class Counts:
    """Decayed counts of the requests that have arrived and that were dispatched.

    A request counts once, however often it is sent.
    """

    arrivals: float = 0.0
    starts: float = 0.0

    @property
    def served_fraction(self):
        """The part of the requests that was dispatched, 1 without any request."""
        return min(1.0, self.starts / self.arrivals) if self.arrivals else 1.0

    def decay(self, factor):
        """Multiply both counts by a factor."""
        self.arrivals *= factor
        self.starts *= factor


class RankShares:
    """What the ranks of one service get at one gateway.

    Attributes
    ----------
    all_ranks : `Counts` of all requests, as of `counted_ms`.
    by_rank : `Counts` by rank.
    behind_since_ms : since when a rank has been behind, for those that are.
    owed_by_rank : how many requests a rank is owed, with fractions.
    """

    def __init__(self):
        self.all_ranks = Counts()
        self.by_rank = {}
        self.behind_since_ms = {}
        self.owed_by_rank = {}
        self.counted_ms = 0

    def record_arrival(self, rank, now_ms):
        """Record that a request has arrived, for which its rank may be owed a part."""
        self.decay(now_ms)
        counts = self.by_rank.setdefault(rank, Counts())
        self.all_ranks.arrivals += 1.0
        counts.arrivals += 1.0
        self.update_behind_since(rank, counts, now_ms)
        behind_since_ms = self.behind_since_ms.get(rank, now_ms)
        if not self.gets_less(counts, LEAST_FRACTION):
            self.owed_by_rank[rank] = 0.0
        elif now_ms - behind_since_ms >= MAX_BEHIND_MS:
            owed = self.owed_by_rank.get(rank, 0.0) + OWED_BY_ARRIVAL
            self.owed_by_rank[rank] = min(MAX_OWED, owed)

    def update_behind_since(self, rank, counts, now_ms):
        """Record since when a rank is behind; it stays so until it clearly is not."""
        if self.gets_less(counts, LEAST_FRACTION):
            self.behind_since_ms.setdefault(rank, now_ms)
        elif not self.gets_less(counts, 2 * LEAST_FRACTION):
            self.behind_since_ms.pop(rank, None)

    def record_start(self, rank, now_ms):
        """Record that a request was dispatched to a server for the first time."""
        self.decay(now_ms)
        counts = self.by_rank.setdefault(rank, Counts())
        self.all_ranks.starts += 1.0
        counts.starts += 1.0
        self.owed_by_rank[rank] = max(0.0, self.owed_by_rank.get(rank, 0.0) - 1.0)

    def gets_less(self, counts, fraction):
        """Return whether a rank gets less than a fraction of what all requests get."""
        due_fraction = fraction * self.all_ranks.served_fraction
        has_enough = counts.arrivals >= MIN_ARRIVALS
        return has_enough and counts.served_fraction < due_fraction

    def owed(self, rank):
        """Return how many requests of a rank go before those of all other ranks."""
        return math.floor(self.owed_by_rank.get(rank, 0.0))

    def decay(self, now_ms):
        """Let the counts decay up to a time."""
        factor = math.exp(-max(0, now_ms - self.counted_ms) / COUNT_DECAY_MS)
        self.counted_ms = max(self.counted_ms, now_ms)
        for each in (self.all_ranks, *self.by_rank.values()):
            each.decay(factor)
