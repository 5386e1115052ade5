"""The ledger: one execution record for each key of a non-idempotent request.

    received -> dispatched -> answered
        ^           |
        |           +-> unknown -> answered
        +-----------+      |
        +------------------+

A record returns to `received` only when its bound dispatch can never run. All
changes are commands of the replicated log, so each is a compare-and-set with the
same result on all replicas: of two binds for one key, only one succeeds. Keys are
never deleted; only old answers are.
"""

import collections
import dataclasses

from brasstrail.core import data
from brasstrail.protocol import commands

KEY_REUSED = "key_reused"
NO_RECORD = "not_found"
NOT_PERMITTED = "not_permitted"


class Ledger:
    """The execution records, by workspace and key.

    Attributes
    ----------
    records : the records, by (workspace, key).
    answered : the time in milliseconds of each kept answer, by (workspace, key),
        oldest first.
    """

    def __init__(self, records=()):
        self.records = {(item.workspace, item.key): item for item in records}
        self.answered = collections.OrderedDict()
        for item in sorted(records, key=lambda item: item.updated_ms):
            self.track_kept_answer(item)

    def find(self, workspace, key):
        """Return the record of a key, or None."""
        return self.records.get((workspace, key))

    def apply(self, command):
        """Apply a command and return its `commands.ExecutionResult`."""
        return HANDLERS[type(command)](self, command)

    def store(self, record):
        """Store a record and return the result of the command that changed it."""
        self.records[record.workspace, record.key] = record
        self.track_kept_answer(record)
        return commands.ExecutionResult(True, record)

    def track_kept_answer(self, record):
        """Update `answered` for a record, as its last item if the answer is kept."""
        record_key = (record.workspace, record.key)
        self.answered.pop(record_key, None)
        if record.state == data.ExecutionState.ANSWERED and record.answer_kept:
            self.answered[record_key] = record.updated_ms

    def refuse(self, record, code=NOT_PERMITTED):
        """Return the result of a command that the record's state does not permit."""
        return commands.ExecutionResult(False, record, code)

    def receive(self, command):
        """Create a record, or return the existing one.

        The code is `KEY_REUSED` if the existing record is of a different request.
        """
        record = self.find(command.workspace, command.key)
        if record is None:
            fresh = data.Execution(
                command.workspace,
                command.key,
                command.digest,
                data.ExecutionState.RECEIVED,
                command.now_ms,
            )
            return self.store(fresh)
        if record.digest != command.digest:
            return self.refuse(record, KEY_REUSED)
        return self.refuse(record, "")

    def bind(self, command):
        """Bind a received request to a dispatch."""
        record = self.find(command.workspace, command.key)
        if record is None:
            return self.refuse(None, NO_RECORD)
        if record.state == data.ExecutionState.RECEIVED:
            return self.update(
                record,
                command,
                state=data.ExecutionState.DISPATCHED,
                dispatch=command.dispatch,
            )
        repeated = record.dispatch == command.dispatch
        if repeated and record.state == data.ExecutionState.DISPATCHED:
            return commands.ExecutionResult(True, record)
        return self.refuse(record)

    def settle(self, command):
        """Store the answer of the bound dispatch."""
        record, refusal = self.check_dispatch(command)
        if refusal is not None:
            return refusal
        if record.state == data.ExecutionState.ANSWERED:
            return commands.ExecutionResult(True, record)
        return self.update(
            record,
            command,
            state=data.ExecutionState.ANSWERED,
            answer=command.answer if command.kept else None,
            answer_kept=command.kept,
        )

    def release(self, command):
        """Return the record to `received`, because its dispatch will never run."""
        record, refusal = self.check_dispatch(command)
        if refusal is not None:
            return refusal
        if record.state == data.ExecutionState.ANSWERED:
            return self.refuse(record)
        return self.update(
            record, command, state=data.ExecutionState.RECEIVED, dispatch=None
        )

    def mark_unknown(self, command):
        """Record that it cannot be determined whether the dispatch ran."""
        record, refusal = self.check_dispatch(command)
        if refusal is not None:
            return refusal
        if record.state == data.ExecutionState.ANSWERED:
            return self.refuse(record)
        return self.update(record, command, state=data.ExecutionState.UNKNOWN)

    def check_dispatch(self, command):
        """Return the record, and a refusal if the command is for another dispatch."""
        record = self.find(command.workspace, command.key)
        if record is None:
            return None, self.refuse(None, NO_RECORD)
        dispatch = record.dispatch
        if dispatch is None or dispatch.dispatch_id != command.dispatch_id:
            return record, self.refuse(record)
        return record, None

    def update(self, record, command, **fields):
        """Store a record with changed fields."""
        updated = dataclasses.replace(record, updated_ms=command.now_ms, **fields)
        return self.store(updated)

    def expire(self, command):
        """Delete the answers that were settled before a time."""
        while self.answered:
            record_key, settled_ms = next(iter(self.answered.items()))
            if settled_ms >= command.before_ms:
                break
            record = self.records[record_key]
            self.records[record_key] = dataclasses.replace(
                record, answer=None, answer_kept=False
            )
            del self.answered[record_key]
        return commands.Plain(True)


HANDLERS = {
    commands.Receive: Ledger.receive,
    commands.Bind: Ledger.bind,
    commands.Settle: Ledger.settle,
    commands.Release: Ledger.release,
    commands.Doubt: Ledger.mark_unknown,
    commands.Expire: Ledger.expire,
}
