"""Linearizable reads at the leader, confirmed by a quorum.

A read is answered with the index that its reader must have applied, once a quorum
has answered a round of heartbeats that began after the read. A look-up of an
execution record is such a read, and may also wait for the record to change.
"""

import dataclasses

from brasstrail.core import clock, data
from brasstrail.protocol import messages

READ_TIMEOUT_MS = 4000
LOOKUP_TIMEOUT_MS = 4000
NOT_CONFIRMED = 0


@dataclasses.dataclass(frozen=True)
class Read:
    """A read that waits until a quorum has answered its round of heartbeats.

    `answer` is called with `index`, or with `NOT_CONFIRMED`.
    """

    answer: object
    due_ms: int
    term: int
    round_id: int
    index: int


@dataclasses.dataclass(frozen=True)
class Lookup:
    """A confirmed look-up that waits until its index is applied.

    With `message.wait` it also waits for a dispatched record to change.
    """

    link: object
    due_ms: int
    index: int
    message: messages.Lookup


class Reads:
    """The reads and look-ups that wait on this control host.

    Parameters
    ----------
    replication : `replication.Replication` of the process.
    """

    def __init__(self, replication):
        self.replication = replication
        self.reads = []
        self.lookups = []

    def confirm(self, answer):
        """Call `answer` with the index that a read must reach.

        It is called with `NOT_CONFIRMED` if this host is not the leader, or if no
        quorum answers within `READ_TIMEOUT_MS`.
        """
        node = self.replication.replica.raft
        if not self.can_confirm(node):
            answer(NOT_CONFIRMED)
            return
        due_ms = clock.now_ms() + READ_TIMEOUT_MS
        round_id = node.start_read_round()
        self.reads.append(Read(answer, due_ms, node.term, round_id, node.commit))
        self.replication.work_available.set()
        self.answer_reads()

    def can_confirm(self, node):
        """Return whether this host leads and knows the latest committed index.

        A new leader knows it once it has committed an entry of its own term.
        """
        if not self.replication.is_leader:
            return False
        return node.log.term_at(node.commit) == node.term

    def answer_reads(self):
        """Answer the reads whose round was confirmed, and those that failed."""
        waiting, self.reads = self.reads, []
        for read in waiting:
            if not self.answer_read(read):
                self.reads.append(read)

    def answer_read(self, read):
        """Answer a read that is confirmed or has failed; return whether it was."""
        node = self.replication.replica.raft
        leads = self.replication.is_leader and node.term == read.term
        if leads and node.confirmed_round >= read.round_id:
            read.answer(read.index)
            return True
        if not leads or clock.now_ms() > read.due_ms:
            read.answer(NOT_CONFIRMED)
            return True
        return False

    def look_up(self, link, message):
        """Handle a look-up on the leader; the record is sent over `link`."""

        def answer(index):
            if index == NOT_CONFIRMED:
                link.send(messages.Found(message.lookup_id, False))
                return
            due_ms = clock.now_ms() + LOOKUP_TIMEOUT_MS
            self.lookups.append(Lookup(link, due_ms, index, message))
            self.answer_lookups()

        self.confirm(answer)

    def answer_lookups(self):
        """Answer the look-ups whose index is applied and whose wait has ended."""
        waiting, self.lookups = self.lookups, []
        for lookup in waiting:
            if not self.answer_lookup(lookup):
                self.lookups.append(lookup)

    def answer_lookup(self, lookup):
        """Answer a look-up if it is ready or timed out; return whether it was."""
        machine = self.replication.machine
        message = lookup.message
        is_late = clock.now_ms() > lookup.due_ms
        if machine.index < lookup.index:
            if is_late:
                lookup.link.send(messages.Found(message.lookup_id, False))
            return is_late
        record = machine.ledger.find(message.workspace, message.key)
        if message.wait and is_dispatched(record) and not is_late:
            return False
        lookup.link.send(messages.Found(message.lookup_id, True, record))
        return True


def is_dispatched(record):
    """Return whether a record's request is dispatched and has no outcome yet."""
    return record is not None and record.state == data.ExecutionState.DISPATCHED
