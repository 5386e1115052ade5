"""Tests of the list of tests that are known to fail."""

import pathlib
import tempfile
import unittest

from brasstrail.tools import checks

LISTED = """# Tests that fail.
a.test.everywhere
  what was seen
a.test.there aarch64 arm64
"""


class KnownFailuresTest(unittest.TestCase):
    """Which tests may fail on a kind of machine."""

    def test_entry_for_other_machines_excuses_nothing(self):
        """Guards against a bound that is missed on one kind of machine, and on all."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "known.txt"
            path.write_text(LISTED)
            for machine, expected in (
                ("x86_64", {"a.test.everywhere"}),
                ("aarch64", {"a.test.everywhere", "a.test.there"}),
            ):
                with self.subTest(machine):
                    self.assertEqual(
                        checks.read_known_failures(path, machine), expected
                    )


if __name__ == "__main__":
    unittest.main()
