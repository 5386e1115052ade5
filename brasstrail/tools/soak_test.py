"""A short run of the soak, with a fixed seed."""

import unittest

from brasstrail.roles import daemon
from brasstrail.tools import soak

SHORT = soak.Options(seed=1, seconds=5.0, gateways=2)
LEAST_REQUESTS = 50


class ShortTest(unittest.TestCase):
    """Real processes under a few faults; its promises are not bounds on time."""

    def test_a_short_run_breaks_no_promise(self):
        daemon.configure_http()
        run, violations = soak.run_seed(SHORT, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.seen.replies), LEAST_REQUESTS)
        self.assertTrue(run.happened)


if __name__ == "__main__":
    unittest.main()
