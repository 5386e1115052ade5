"""Which requests are tried with a part that has ended servers, one at a time.

One gateway coordinates the trials of a part, chosen by a hash of the part. The others
ask it before they send a request with the part, and tell it when that request has
ended. A trial whose end is not told lapses.

It uses neither sockets nor clocks.
"""

import dataclasses

from brasstrail.coordination import holders

# A trial whose end is not told lapses after the longest time limit of a route.
LEASE_MS = 30_000
# After a trial has ended, what it has shown reaches all gateways within this time.
NEWS_MS = 1000
# Parts with a trial that are known; further ones are refused a trial.
MAX_LEASES = 1024


@dataclasses.dataclass
class Lease:
    """The permission to try a part: who has it, and until when."""

    gateway: str
    number: int
    until_ms: int


class TrialLeases:
    """The trials that this gateway coordinates.

    Attributes
    ----------
    by_part : the latest `Lease` by part.
    """

    def __init__(self):
        self.by_part = {}

    def grant(self, part, gateway, number, now_ms):
        """Return whether a gateway may try a part now."""
        lease = self.by_part.get(part)
        if lease is not None and now_ms < lease.until_ms:
            return False
        if lease is None and len(self.by_part) >= MAX_LEASES:
            self.remove_expired(now_ms)
            if len(self.by_part) >= MAX_LEASES:
                return False
        self.by_part[part] = Lease(gateway, number, now_ms + LEASE_MS)
        return True

    def end(self, part, gateway, number, now_ms):
        """Record that a trial has ended."""
        lease = self.by_part.get(part)
        if lease is not None and (lease.gateway, lease.number) == (gateway, number):
            lease.until_ms = now_ms + NEWS_MS

    def remove_expired(self, now_ms):
        """Remove the leases that have lapsed."""
        self.by_part = {
            part: lease
            for part, lease in self.by_part.items()
            if now_ms < lease.until_ms
        }


def find_coordinator(names, key):
    """Return the name of the gateway that coordinates what a key stands for.

    Gateways that know the same others find the same one. One that joins or leaves
    changes the coordinator of few keys.
    """
    return max(names, key=lambda name: (holders.hash_text(f"{key} {name}"), name))
