"""The latest roll-out of each service in the replicated state.

An order and each step are log entries, so that what was acknowledged holds after a loss
of all processes, and a new leader continues with the same deadline.
"""

import dataclasses

from brasstrail.core import errors
from brasstrail.core.rolloutstates import RolloutState
from brasstrail.protocol import commands, messages

# Operators send an order again for 6 s. The same order within twice that time after the
# first is a repeat, even if it was decided meanwhile; later it is a new one.
REPEAT_MS = 12_000
# Versions of a service that stay excluded after they were reverted. The oldest is
# dropped: its servers were stopped many roll-outs ago.
MAX_REVERTED = 16


class Rollouts:
    """The latest roll-out of each service.

    Parameters
    ----------
    rollouts : the `messages.Rollout`s of a snapshot.

    Attributes
    ----------
    by_service : `messages.Rollout` by service.
    """

    def __init__(self, rollouts=()):
        self.by_service = {each.service: each for each in rollouts}

    @property
    def index(self):
        """The index of the last log entry that changed a roll-out; 0 if none did."""
        return max((each.index for each in self.by_service.values()), default=0)

    @property
    def in_progress(self):
        """The roll-outs that are not decided."""
        return [each for each in self.by_service.values() if is_in_progress(each)]

    def apply(self, command, index):
        """Apply a command of the log entry `index` and return its result."""
        return HANDLERS[type(command)](self, command, index)

    def start(self, command, index):
        """Start a roll-out, or acknowledge a repeated order.

        An order to the version that the last roll-out has completed changes nothing.
        """
        held = self.by_service.get(command.service)
        if held is not None:
            if is_repeat(held, command):
                return commands.Plain(True)
            if is_in_progress(held):
                return commands.Plain(False, errors.RolloutInProgress.code)
            if held.state == RolloutState.COMPLETED and held.to == command.to:
                return commands.Plain(True)
        base_version, base_ms, reverted = former_decisions(held)
        self.by_service[command.service] = messages.Rollout(
            command.service,
            command.to,
            command.duration_ms,
            command.now_ms,
            command.now_ms + command.duration_ms,
            str(RolloutState.IN_PROGRESS),
            0,
            0.0,
            "ordered",
            0,
            base_version,
            base_ms,
            tuple(each for each in reverted if each != command.to),
            index,
        )
        return commands.Plain(True)

    def advance(self, command, index):
        """Make a step, unless the record has changed since the leader decided it."""
        held = self.by_service.get(command.service)
        is_current = (
            held is not None
            and is_in_progress(held)
            and held.ordered_ms == command.ordered_ms
            and held.index == command.expected_index
        )
        if not is_current:
            return commands.Plain(False)
        is_decided = command.state != RolloutState.IN_PROGRESS
        self.by_service[command.service] = dataclasses.replace(
            held,
            state=command.state,
            stage=command.stage,
            share=command.share,
            reason=command.reason,
            decided_ms=command.now_ms if is_decided else 0,
            index=index,
        )
        return commands.Plain(True)


def is_in_progress(rollout):
    """Return whether a roll-out is not decided."""
    return rollout.state == RolloutState.IN_PROGRESS


def is_repeat(held, command):
    """Return whether an order repeats the one that a record is of."""
    if (held.to, held.duration_ms) != (command.to, command.duration_ms):
        return False
    is_recent = command.now_ms - held.ordered_ms <= REPEAT_MS
    return is_in_progress(held) or is_recent


def former_decisions(held):
    """Return the last completed version, when that was, and the reverted versions."""
    if held is None:
        return "", 0, ()
    if held.state == RolloutState.COMPLETED:
        return held.to, held.decided_ms, held.reverted
    reverted = (*(each for each in held.reverted if each != held.to), held.to)
    return held.base_version, held.base_ms, reverted[-MAX_REVERTED:]


def describe(rollout):
    """Return a roll-out as a line of text, with the reason of its last step."""
    if rollout.state == RolloutState.IN_PROGRESS:
        state = f"{rollout.state} at stage {rollout.stage}, share {rollout.share:.3g}"
    else:
        state = rollout.state
    return f"{rollout.service} to {rollout.to}: {state} ({rollout.reason})"


HANDLERS = {
    commands.StartRollout: Rollouts.start,
    commands.AdvanceRollout: Rollouts.advance,
}
