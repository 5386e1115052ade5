"""Test of a short soak run with a fixed seed."""

import unittest

from brasstrail.roles import daemon
from brasstrail.tools import soak, soakstreams

SHORT_RUN_OPTIONS = soak.Options(seed=1, seconds=5.0, gateways=2)
FATAL_REQUEST_OPTIONS = soak.Options(
    seed=1, seconds=6.0, gateways=3, fault_filters=("ends its servers",)
)
BROKEN_ANSWER_OPTIONS = soak.Options(
    seed=2, seconds=8.0, gateways=4, fault_filters=("break off the answers",)
)
VERSION_OPTIONS = soak.Options(
    seed=2, seconds=8.0, gateways=4, fault_filters=("version", "kill a gateway")
)
FATAL_PART_OPTIONS = soak.Options(
    seed=1, seconds=6.0, gateways=3, fault_filters=("part that ends",)
)
LIMIT_OPTIONS = soak.Options(
    seed=1, seconds=10.0, gateways=4, fault_filters=("limit a server",)
)
LOSS_OPTIONS = soak.Options(
    seed=2,
    seconds=6.0,
    gateways=4,
    fault_filters=("lose everything", "quick succession"),
    routes=1500,
    has_narrow_link=True,
)
REPAIR_OPTIONS = soak.Options(
    seed=4, seconds=1.0, gateways=3, fault_filters=("beside its repair",)
)
REST_OPTIONS = soak.Options(
    seed=5, seconds=8.0, gateways=4, fault_filters=("rest", "leaves")
)
EARLIER_ANSWER_OPTIONS = soak.Options(
    seed=3, seconds=6.0, gateways=3, fault_filters=("earlier answers",)
)
FAILED_REST_OPTIONS = soak.Options(
    seed=3, seconds=6.0, gateways=3, fault_filters=("fail their rest",)
)
CROWD_OPTIONS = soak.Options(
    seed=11,
    seconds=6.0,
    gateways=3,
    fault_filters=("many connections", "while requests wait"),
)
LATE_REPORT_OPTIONS = soak.Options(
    seed=13, seconds=1.0, gateways=3, fault_filters=("withdraw a server",)
)
MIN_REQUESTS = 50
MIN_TAKEN_UP = 20


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

    def test_requests_that_end_their_servers_are_held_back(self):
        """Guards against a request that ends every server to which it is sent."""
        daemon.configure_http()
        run, violations = soak.run_seed(FATAL_REQUEST_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_requests_with_a_part_that_ends_servers_are_held_back(self):
        """Guards against a part of prompts that ends one server after another."""
        daemon.configure_http()
        run, violations = soak.run_seed(FATAL_PART_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_service_returns_after_a_loss_of_everything(self):
        """Guards against a return that never ends, with large documents."""
        daemon.configure_http()
        run, violations = soak.run_seed(LOSS_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertTrue(run.observations.returns)

    def test_service_returns_after_losses_beside_a_repair(self):
        """Guards against control hosts without a quorum after overlapping losses."""
        daemon.configure_http()
        run, violations = soak.run_seed(REPAIR_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertTrue(run.observations.returns)

    def test_rests_and_departures_of_servers_are_kept(self):
        """Guards against requests to servers that want none, or that leave."""
        daemon.configure_http()
        run, violations = soak.run_seed(REST_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_earlier_answers_count_for_no_other_request(self):
        """Guards against a refusal that counts for a request that it does not name."""
        daemon.configure_http()
        run, violations = soak.run_seed(EARLIER_ANSWER_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_failures_stay_out_of_streams(self):
        """Guards against the answer of a later server within a stream."""
        daemon.configure_http()
        run, violations = soak.run_seed(FAILED_REST_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_crowds_that_leave_or_wait_at_a_stop_leave_nothing_behind(self):
        """Guards against lost places, and requests that a stop leaves unanswered."""
        daemon.configure_http()
        run, violations = soak.run_seed(CROWD_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertTrue(run.fault_counts)

    def test_late_report_does_not_bring_a_server_back(self):
        """Guards against withdrawals that a loss of everything undoes."""
        daemon.configure_http()
        run, violations = soak.run_seed(LATE_REPORT_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertTrue(any(each.arrivals for each in run.observations.phantoms))

    def test_limits_of_servers_are_kept(self):
        """Guards against more requests from all gateways than a server has named."""
        daemon.configure_http()
        run, violations = soak.run_seed(LIMIT_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_streams_that_are_broken_off_do_not_look_complete(self):
        """Guards against a stream that its caller takes for complete and is not."""
        daemon.configure_http()
        run, violations = soak.run_seed(BROKEN_ANSWER_OPTIONS, None)
        self.assertEqual(violations, [])
        self.assertGreater(len(run.observations.replies), MIN_REQUESTS)

    def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against streams with events of servers of two software versions."""
        daemon.configure_http()
        run, violations = soak.run_seed(VERSION_OPTIONS, None)
        self.assertEqual(violations, [])
        shares = soakstreams.count_shares(run.observations)
        self.assertGreater(shares.taken_up, MIN_TAKEN_UP)


if __name__ == "__main__":
    unittest.main()
