"""Tests of the crashes that an entry has seen itself."""

import unittest

from brasstrail.coordination import recentcrashes


class RecentCrashesTest(unittest.TestCase):
    """Crashes count for a while, in a bounded table."""

    def setUp(self):
        self.crashes = recentcrashes.RecentCrashes()

    def test_crashes_count_until_they_expire_or_are_forgotten(self):
        self.crashes.record("f", "a", 0)
        self.crashes.record("f", "b", 5)
        self.assertEqual(self.crashes.agents("f", 10), {"a", "b"})
        later_ms = recentcrashes.VALIDITY_MS + 1
        self.assertEqual(self.crashes.agents("f", later_ms), {"b"})
        self.crashes.forget("f")
        self.assertEqual(self.crashes.agents("f", 10), set())

    def test_table_is_bounded(self):
        for number in range(2 * recentcrashes.MAX_REQUESTS):
            self.crashes.record(str(number), "a", 0)
        self.assertEqual(len(self.crashes.by_fingerprint), recentcrashes.MAX_REQUESTS)
        self.assertEqual(self.crashes.agents("0", 0), set())


if __name__ == "__main__":
    unittest.main()
