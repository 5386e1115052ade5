"""The replicated state machine, which applies the commands of the log.

Every replica applies the same commands in the same order and so holds the same
state. Times come from the commands, and the state's time never decreases, so a
host whose clock jumps back does not reorder events.
"""

import dataclasses

from brasstrail.protocol import codec, commands, snapshots
from brasstrail.state import documents, ledger, retirements, rollouts, view


@dataclasses.dataclass(frozen=True)
class AppliedCommand:
    """A command as it was applied, and its encoded result.

    `must_notify_members` says whether the command must be sent to the members,
    because it changes the view that they hold.
    """

    command: object
    result: bytes
    must_notify_members: bool = False


class Machine:
    """The complete replicated state.

    Attributes
    ----------
    index : the index of the last applied log entry.
    time_ms : the latest time of a command, in milliseconds.
    document : the operators' document, as `documents.LatestDocument`.
    retirements : `retirements.Retirements`, the servers that leave or are gone.
    rollouts : `rollouts.Rollouts`, the latest roll-out of each service.
    """

    def __init__(self):
        self.index = 0
        self.time_ms = 0
        self.view = view.View()
        self.ledger = ledger.Ledger()
        self.document = documents.LatestDocument()
        self.retirements = retirements.Retirements()
        self.rollouts = rollouts.Rollouts()

    def apply(self, entry):
        """Apply a log entry and return its command as an `AppliedCommand`."""
        self.index = entry.index
        if not entry.command:
            return AppliedCommand(commands.RetireServers(), b"")
        command = self.with_monotonic_time(codec.decode(codec.COMMAND, entry.command))
        must_notify_members = self.view.is_relevant_to_members(command)
        if must_notify_members:
            self.view.index = entry.index
        result = self.execute(command)
        return AppliedCommand(
            command, codec.encode(codec.RESULT, result), must_notify_members
        )

    def with_monotonic_time(self, command):
        """Return the command with a time not before that of earlier commands."""
        now_ms = getattr(command, "now_ms", None)
        if now_ms is None:
            return command
        self.time_ms = max(self.time_ms, now_ms)
        return dataclasses.replace(command, now_ms=self.time_ms)

    def execute(self, command):
        """Execute a command and return its result."""
        if self.view.handles(command):
            return self.view.apply(command)
        if isinstance(command, commands.ReplaceDocument):
            return self.document.replace(command)
        if isinstance(command, commands.RetireServers):
            return self.retirements.apply(command)
        if type(command) in rollouts.HANDLERS:
            return self.rollouts.apply(command, self.index)
        if type(command) in ledger.HANDLERS:
            return self.ledger.apply(command)
        return commands.Plain(True)

    def dump(self):
        """Return the complete state, encoded."""
        state = snapshots.MachineState(
            self.view.cluster_id,
            self.index,
            self.time_ms,
            self.view.config,
            self.view.remembered_changes(),
            tuple(self.view.members.values()),
            tuple(self.ledger.records.values()),
            tuple(self.view.suspicions.values()),
            self.view.last_change,
            self.view.index,
            self.document.version,
            self.document.packed,
            tuple(self.retirements.by_identity.values()),
            tuple(self.rollouts.by_service.values()),
        )
        return codec.encode(codec.SNAPSHOT, state)

    def restore(self, payload):
        """Replace the state by an encoded one; empty bytes give the initial state."""
        self.__init__()
        if not payload:
            return
        state = codec.decode(codec.SNAPSHOT, payload)
        self.index = state.index
        self.time_ms = state.time_ms
        self.view.cluster_id = state.cluster_id
        self.view.index = state.view_index
        self.view.config = state.config
        self.view.last_change = state.last_change
        self.view.members = {member.name: member for member in state.members}
        self.view.suspicions = {item.fingerprint: item for item in state.suspicions}
        for item in state.changes:
            self.view.changes[item.change_id] = item.result
        self.ledger = ledger.Ledger(state.executions)
        self.document = documents.LatestDocument(state.document_version, state.document)
        self.retirements = retirements.Retirements(state.retirements)
        self.rollouts = rollouts.Rollouts(state.rollouts)
