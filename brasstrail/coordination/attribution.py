"""Attribution of the ends of servers to what may have caused them.

Several things ran on each server start that ended: contents of requests, and parts of
their prompts. Each start is attributed to one of them. The candidates are taken in the
order of how many starts they alone can account for, and what is attributed to one does
not count against the next.
"""

import dataclasses
import heapq


@dataclasses.dataclass(frozen=True)
class Candidate:
    """What may have ended servers.

    Attributes
    ----------
    starts : the server starts that ended while they ran it.
    limit : how many starts must be left to it, so that they are attributed to it.
    order : decides between candidates to which equally many starts are left; the lowest
        goes first.
    tier : those of a lower tier go first, however many starts are left to the others.
    """

    starts: frozenset
    limit: int
    order: tuple
    tier: int = 0


def attribute(candidates):
    """Yield (name, starts attributed to it) of the `Candidate`s, by name.

    What is left to a candidate only shrinks, so that it is counted anew only for the
    first of the queue.
    """
    queue = [
        (each.tier, -len(each.starts), each.order, name)
        for name, each in candidates.items()
    ]
    heapq.heapify(queue)
    attributed = set()
    while queue:
        tier, key, order, name = heapq.heappop(queue)
        candidate = candidates[name]
        starts = candidate.starts - attributed
        if len(starts) < candidate.limit:
            continue
        if len(starts) != -key:
            heapq.heappush(queue, (tier, -len(starts), order, name))
            continue
        yield name, frozenset(starts)
        attributed |= starts
