"""Tests of a replicated log whose entries are large."""

import unittest

from brasstrail.coordination import raft, raft_test
from brasstrail.protocol import messages

ENTRY_BYTES = 40_000
# What a link of 15 Mbit/s between the users' regions transmits in half a second, within
# the shortest election timeout.
MAX_WAITING_BYTES = 937_500


def make_large_entry(index, term):
    """Return an entry with a command of `ENTRY_BYTES`."""
    return messages.Entry(index, term, b"x" * ENTRY_BYTES)


def waiting_bytes(node, identity):
    """Return the bytes of commands that were sent to a replica, and clear the outbox.

    Takes work until the leader has nothing more to send.
    """
    count = 0
    while (ready := node.take_ready()) is not None:
        count += sum(
            len(entry.command)
            for envelope in ready.outbox
            if envelope.to == identity and isinstance(envelope.message, messages.Append)
            for entry in envelope.message.entries
        )
        node.mark_persisted(ready)
    return count


class LargeEntriesTest(unittest.TestCase):
    """A leader whose log holds 10 MB."""

    def setUp(self):
        entries = [make_large_entry(index, 1) for index in range(1, 251)]
        self.node = raft_test.make_leader(entries)

    # Guards against a heartbeat that waits behind the whole log of a replica that is
    # behind, until its connection counts as silent and all of it is sent again.
    def test_replica_that_is_behind_is_sent_a_little_at_a_time(self):
        node = self.node
        node.receive(messages.AppendReply("b/d", node.term, False, 0, 1), 10_000)
        most = waiting_bytes(node, "b/d")
        held = 0
        for step in range(1, 1000):
            now_ms = 10_000 + step
            progress = node.progress["b/d"]
            held = progress.next_index - 1
            reply = messages.AppendReply("b/d", node.term, True, held, node.round_id)
            node.receive(reply, now_ms)
            if node.progress["b/d"].match >= node.log.last_index:
                break
            most = max(most, waiting_bytes(node, "b/d"))
        self.assertEqual(held, node.log.last_index)
        self.assertLessEqual(most, MAX_WAITING_BYTES)

    def test_replica_that_does_not_answer_is_sent_no_more(self):
        node = self.node
        node.receive(messages.AppendReply("b/d", node.term, False, 0, 1), 10_000)
        sent = waiting_bytes(node, "b/d")
        for step in range(1, 10):
            node.tick(10_000 + raft.HEARTBEAT_INTERVAL_MS * step)
            sent += waiting_bytes(node, "b/d")
        self.assertLessEqual(sent, MAX_WAITING_BYTES)

    def test_heartbeats_go_on_while_entries_are_under_way(self):
        node = self.node
        node.receive(messages.AppendReply("b/d", node.term, False, 0, 1), 10_000)
        waiting_bytes(node, "b/d")
        node.tick(10_000 + raft.HEARTBEAT_INTERVAL_MS)
        ready = node.take_ready()
        self.assertIn("b/d", [envelope.to for envelope in ready.outbox])


if __name__ == "__main__":
    unittest.main()
