"""Tests of the table of streams and of the history of versions."""

import unittest

from brasstrail.coordination import origins


def make_origin(workspace="w", software="v1", begun_ms=0, expires_ms=1000):
    """Return the origin of a stream."""
    return origins.Origin(workspace, "s", software, begun_ms, expires_ms)


class OriginTableTest(unittest.TestCase):
    """The table is bounded, forgets what has expired, and does not guess."""

    def setUp(self):
        self.table = origins.OriginTable()

    def test_stream_expires(self):
        self.table.add("a", make_origin(expires_ms=10))
        self.table.add("b", make_origin(expires_ms=20))
        self.assertIsNotNone(self.table.find("a", 10))
        self.assertIsNone(self.table.find("a", 11))
        self.table.remove_expired(11)
        self.assertEqual(list(self.table.by_key), ["b"])
        self.table.remove_expired(21)
        self.assertEqual(
            (self.table.by_key, self.table.keys_by_workspace, self.table.expiries),
            ({}, {}, []),
        )

    def test_stream_that_two_gateways_know_differently_is_uncertain(self):
        self.assertTrue(self.table.add("a", make_origin()))
        self.assertFalse(self.table.add("a", make_origin(begun_ms=5)))
        self.assertTrue(self.table.add("a", make_origin(software="v2")))
        self.assertEqual(self.table.find("a", 0).software, origins.UNCERTAIN)
        self.assertFalse(self.table.add("a", make_origin()))
        self.assertEqual(self.table.find("a", 0).software, origins.UNCERTAIN)

    def test_workspace_that_fills_the_table_loses_its_own_streams_only(self):
        """Guards against a caller whose streams push out those of others."""
        others = [f"other-{number}" for number in range(100)]
        for key in others:
            self.table.add(key, make_origin("other"))
        for number in range(3 * origins.MAX_STREAMS):
            self.table.add(f"full-{number}", make_origin("full"))
        self.assertLessEqual(len(self.table.by_key), origins.MAX_STREAMS)
        kept = origins.MAX_STREAMS * (1 - origins.EVICTED_FRACTION)
        self.assertGreaterEqual(len(self.table.by_key), kept)
        self.assertLessEqual(len(self.table.expiries), 2 * origins.MAX_STREAMS + 1)
        for key in others:
            self.assertIsNotNone(self.table.find(key, 0))
        newest = f"full-{3 * origins.MAX_STREAMS - 1}"
        self.assertIsNotNone(self.table.find(newest, 0))

    def test_key_depends_on_workspace_content_and_attempt(self):
        keys = {
            origins.stream_key(*each)
            for each in (
                ("w", "c", "1"),
                ("v", "c", "1"),
                ("w", "d", "1"),
                ("w", "c", "2"),
                ("wc", "", "1"),
            )
        }
        self.assertEqual(len(keys), 5)


class VersionHistoryTest(unittest.TestCase):
    """Only a whole history with one version tells which one it was."""

    def setUp(self):
        self.history = origins.VersionHistory()

    def test_nothing_is_known_before_the_first_list(self):
        self.history.record("s", "v1", 0)
        self.assertIsNone(self.history.sole_software("s", 0, 10))
        self.history.record_list(0, None)
        self.assertEqual(self.history.sole_software("s", 0, 10), "v1")
        self.assertIsNone(self.history.sole_software("t", 0, 10))

    def test_list_must_reach_back_far_enough(self):
        self.history.record("s", "v1", 0)
        self.history.record_list(100, None)
        self.assertIsNone(self.history.sole_software("s", 99, 200))
        self.assertEqual(self.history.sole_software("s", 100, 200), "v1")

    def test_gap_between_two_lists_ends_the_history(self):
        self.history.record("s", "v1", 0)
        self.history.record_list(0, None)
        self.history.record_list(90, last_complete_ms=95)
        self.assertEqual(self.history.known_since_ms, 0)
        self.history.record_list(200, last_complete_ms=150)
        self.assertEqual(self.history.known_since_ms, 200)

    def test_former_version_counts_for_long(self):
        self.history.record_list(0, None)
        self.history.record("s", "v1", 0)
        self.history.record("s", "v2", 10)
        self.assertIsNone(self.history.sole_software("s", 5, 20))
        later_ms = origins.VERSION_MEMORY_MS + 5
        self.assertEqual(self.history.sole_software("s", 5, later_ms), "v2")
        self.history.remove_expired(later_ms)
        self.assertEqual(self.history.last_seen_ms["s"], {"v2": 10})


if __name__ == "__main__":
    unittest.main()
