"""Tests of what a control host logs about its quorum."""

import logging
import random
import unittest

import structlog

from brasstrail.coordination import replica
from brasstrail.protocol import messages, snapshots
from brasstrail.roles import quorum

FOUNDERS = tuple(messages.Replica(name, "d") for name in ("a", "b", "c"))


class QuorumWatchTest(unittest.TestCase):
    """The watch of host a in a cluster of a, b and c that all restarted."""

    def setUp(self):
        identity = snapshots.Identity("a", "d", "cluster", FOUNDERS)
        stored = replica.StoredState(identity, snapshots.HardState(1, ""))
        self.replica = replica.Replica((), stored, random.Random(1), 0)
        self.lines = []
        # Other tests configure a level for all loggers that name no class of their own.
        log = structlog.wrap_logger(
            None,
            processors=[self.keep_line],
            wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        )
        self.watch = quorum.QuorumWatch(log)
        self.watch.leader_seen_ms = 0

    def keep_line(self, logger, method, fields):
        self.lines.append(fields)
        raise structlog.DropEvent

    def events(self):
        return [line["event"] for line in self.lines]

    def test_missing_voters_are_named_while_there_is_no_leader(self):
        self.watch.record(messages.VoteAsk("b/d", 1, 0, 0, True), 1500)
        self.watch.check(self.replica, 2500)
        self.watch.check(self.replica, 2600)
        self.assertEqual(
            self.events(), ["log: The replicas changed.", "log: No leader is known."]
        )
        self.assertEqual(self.lines[1]["missing"], ["c/d"])
        self.assertEqual(self.lines[1]["leaderless_ms"], 2500)
        self.watch.check(self.replica, 8000)
        self.assertEqual(self.lines[-1]["missing"], ["b/d", "c/d"])

    def test_replica_set_is_logged_once_and_a_known_leader_is_silent(self):
        self.replica.raft.leader = "b/d"
        for now_ms in (0, 3000, 9000):
            self.watch.check(self.replica, now_ms)
        self.assertEqual(self.events(), ["log: The replicas changed."])
        self.assertEqual(self.lines[0]["voters"], ["a/d", "b/d", "c/d"])
        self.assertEqual(self.watch.leaderless_ms(9500), 500)


if __name__ == "__main__":
    unittest.main()
