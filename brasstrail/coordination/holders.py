"""Which gateways hold a record, chosen by a hash of its key.

A `HolderRing` is computed from the list of gateways alone, so that gateways with the
same list choose the same holders, and a gateway that joins or leaves changes few of
them. Each region has a ring of its own: a record is held in the region that made it, by
gateways of different data centres where there are any, and by one gateway of another
region.
"""

import bisect
import dataclasses
import hashlib

# Positions of each gateway on its ring; they even out how many records each holds.
POSITIONS_PER_GATEWAY = 8
# Holders in the region that made a record, that gateway included if it is one of them.
HOLDERS_IN_REGION = 3
HASH_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A gateway that may hold records, its data centre and its region."""

    name: str
    data_centre: str
    region: str


class HolderRing:
    """The rings of all regions.

    Parameters
    ----------
    candidates : the `Candidate`s, the own gateway included.

    Attributes
    ----------
    rings : sorted (position, `Candidate`) pairs by region.
    data_centres : the data centres of each region.
    """

    def __init__(self, candidates):
        self.rings = {}
        self.data_centres = {}
        for candidate in candidates:
            self.data_centres.setdefault(candidate.region, set()).add(
                candidate.data_centre
            )
            positions = self.rings.setdefault(candidate.region, [])
            for number in range(POSITIONS_PER_GATEWAY):
                positions.append((hash_text(f"{number} {candidate.name}"), candidate))
        for positions in self.rings.values():
            positions.sort(key=lambda each: (each[0], each[1].name))

    def walk(self, region, key):
        """Yield the candidates of a region in the order of its ring, from a key on."""
        positions = self.rings.get(region, [])
        start = bisect.bisect(positions, hash_text(key), key=lambda each: each[0])
        seen = set()
        for step in range(len(positions)):
            _, candidate = positions[(start + step) % len(positions)]
            if candidate.name not in seen:
                seen.add(candidate.name)
                yield candidate

    def holders_in(self, region, key):
        """Return the names of a record's holders in one region, the first one first."""
        chosen, others, data_centres = [], [], set()
        for candidate in self.walk(region, key):
            if candidate.data_centre in data_centres:
                others.append(candidate.name)
            else:
                data_centres.add(candidate.data_centre)
                chosen.append(candidate.name)
            if self.is_enough(region, len(chosen), len(others)):
                break
        return (chosen + others)[:HOLDERS_IN_REGION]

    def is_enough(self, region, chosen, others):
        """Return whether the holders are found among the gateways visited.

        `chosen` counts the data centres among them, `others` the further gateways.
        """
        data_centres = min(HOLDERS_IN_REGION, len(self.data_centres[region]))
        return chosen >= data_centres and chosen + others >= HOLDERS_IN_REGION

    def holders(self, region, key):
        """Return the names of all holders of a record that was made in a region."""
        names = self.holders_in(region, key)
        other_regions = sorted(set(self.rings) - {region})
        if other_regions:
            other = other_regions[hash_text(key) % len(other_regions)]
            names += self.holders_in(other, key)[:1]
        return names

    def possible_holders(self, key):
        """Return the names of all gateways that may hold a record of any region."""
        return [
            name
            for region in sorted(self.rings)
            for name in self.holders_in(region, key)
        ]


def hash_text(text):
    """Return a number that is the same for a text in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)
