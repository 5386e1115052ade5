"""Tests of which gateways hold a record."""

import collections
import unittest

from brasstrail.coordination import holders

PLACES = {"ax": "a", "ay": "a", "bx": "b", "by": "b", "bz": "b"}
GATEWAYS_PER_DATA_CENTRE = 4
KEYS = [f"key-{number}" for number in range(2000)]


def make_members():
    """Return the gateways of two regions."""
    return [
        holders.Candidate(f"{data_centre}{number}", data_centre, region)
        for data_centre, region in PLACES.items()
        for number in range(GATEWAYS_PER_DATA_CENTRE)
    ]


class HolderRingTest(unittest.TestCase):
    """Two regions with two and three data centres."""

    def setUp(self):
        self.members = make_members()
        self.ring = holders.HolderRing(self.members)

    def test_order_of_the_list_does_not_matter(self):
        other = holders.HolderRing(self.members[::-1])
        for key in KEYS[:100]:
            self.assertEqual(self.ring.holders("a", key), other.holders("a", key))

    def test_holders_are_in_different_data_centres_and_one_in_another_region(self):
        for key in KEYS[:200]:
            *own, other = self.ring.holders("b", key)
            self.assertEqual({name[:2] for name in own}, {"bx", "by", "bz"})
            self.assertEqual(other[0], "a")
            *own, other = self.ring.holders("a", key)
            self.assertEqual(len(set(own)), holders.HOLDERS_IN_REGION)
            self.assertEqual({name[:2] for name in own}, {"ax", "ay"})
            self.assertEqual(other[0], "b")

    def test_all_holders_are_among_the_possible_ones(self):
        for key in KEYS[:200]:
            possible = set(self.ring.possible_holders(key))
            for region in ("a", "b"):
                self.assertLessEqual(set(self.ring.holders(region, key)), possible)

    def test_records_are_spread(self):
        counts = collections.Counter(
            name for key in KEYS for name in self.ring.holders("b", key)[:-1]
        )
        mean = len(KEYS) * holders.HOLDERS_IN_REGION / 12
        self.assertEqual(len(counts), 12)
        self.assertLess(max(counts.values()), 3 * mean)

    def test_gateway_that_leaves_changes_the_holders_of_its_records_only(self):
        left = self.members[0].name
        smaller = holders.HolderRing(self.members[1:])
        for key in KEYS:
            before = self.ring.holders_in("a", key)
            if left not in before:
                self.assertEqual(smaller.holders_in("a", key), before)

    def test_ring_without_gateways(self):
        ring = holders.HolderRing(())
        self.assertEqual(ring.holders("a", "key"), [])
        self.assertEqual(ring.possible_holders("key"), [])


if __name__ == "__main__":
    unittest.main()
