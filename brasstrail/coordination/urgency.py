"""How urgent a request is among the recent requests of its workspace.

While a workspace is near its limit, some of its requests are refused. Those of its less
urgent routes should be refused first, whatever their order of arrival. The urgency is
relative to the tiers that the workspace has used lately, so that a workspace whose
requests all have one tier is limited as if there were no tiers.

>>> tiers = TierActivity()
>>> tiers.record("w", 1, 0)
>>> tiers.urgency("w", 1, 0)
1.0
>>> tiers.record("w", 3, 0)
>>> tiers.urgency("w", 1, 0), tiers.urgency("w", 3, 0)
(1.0, 0.0)
"""

import collections

# A tier counts for this long after a request: several times the usual time between the
# requests that one gateway receives of a workspace near its limit.
ACTIVITY_WINDOW_MS = 5000
# Tiers that are remembered for each workspace.
MAX_TIERS = 16


class TierActivity:
    """The tiers that each workspace has used lately at one gateway.

    Attributes
    ----------
    seen_ms : the time of the last request by tier, by workspace.
    """

    def __init__(self):
        self.seen_ms = collections.defaultdict(dict)

    def keep(self, workspaces):
        """Forget the workspaces that are not among the given ones."""
        for name in set(self.seen_ms) - set(workspaces):
            del self.seen_ms[name]

    def record(self, workspace, tier, now_ms):
        """Record a request."""
        tiers = self.seen_ms[workspace]
        tiers.pop(tier, None)
        tiers[tier] = now_ms
        if len(tiers) > MAX_TIERS:
            del tiers[next(iter(tiers))]

    def urgency(self, workspace, tier, now_ms):
        """Return the fraction of the other active tiers that are less urgent.

        It is 1 for the most urgent tier, and if there is no other.
        """
        others = [
            other
            for other, seen_ms in self.seen_ms[workspace].items()
            if other != tier and now_ms - seen_ms <= ACTIVITY_WINDOW_MS
        ]
        if not others:
            return 1.0
        return sum(other > tier for other in others) / len(others)
