"""Test of a short soak run with a fixed seed."""

import unittest

from brasstrail.roles import daemon
from brasstrail.tools import soak

SHORT_RUN_OPTIONS = soak.Options(seed=1, seconds=5.0, gateways=2)
MIN_REQUESTS = 50


class ShortRunTest(unittest.TestCase):
    """Real processes under a few faults.

    The run is checked against the soak's guarantees, which are not performance bounds.
    """

    def test_short_run_has_no_violations(self):
        daemon.configure_http()
        run, violations = soak.run_seed(SHORT_RUN_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)
        self.assertTrue(run.fault_counts)


if __name__ == "__main__":
    unittest.main()
