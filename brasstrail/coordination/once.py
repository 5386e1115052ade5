"""At-most-once execution of a request, from receipt to its final answer.

A call is one delivery of a request by a caller: a retry with the same key is another
call with the same request.

`AtMostOnceRequest` is a state machine that does no I/O. Its owner, the entry,
carries out the action that it returns and passes back the resulting event, which
yields the next action. Only the execution record in the replicated ledger decides which
dispatch may run: a dispatch is committed there before any byte is sent to an
agent. A retry with the same key finds the record and attaches to that dispatch.
"""

import dataclasses

from brasstrail.core import data, errors
from brasstrail.protocol import commands

MAX_ATTEMPTS = 5
UNKNOWN_REMEDY = (
    "Do not send it under another key. Ask the service whether it was done, "
    "or ask an operator to look at the record of the key."
)


# Actions. The docstrings name the events that each action results in.


@dataclasses.dataclass(frozen=True)
class Propose:
    """Commit a command. Results in `Result` or `NoQuorum`."""

    command: object


@dataclasses.dataclass(frozen=True)
class LookUp:
    """Read the record, confirmed by a quorum. Results in `Result` or `NoQuorum`.

    With `wait`, the result for a dispatched record is delayed until the record
    changes or a time limit has passed.
    """

    wait: bool


@dataclasses.dataclass(frozen=True)
class Submit:
    """Find a backend server with free capacity. Results in `Placed` or `Refused`."""


@dataclasses.dataclass(frozen=True)
class Start:
    """Send the placed dispatch to its agent. Results in `Ended`."""

    dispatch: data.Dispatch


@dataclasses.dataclass(frozen=True)
class Revoke:
    """Request that the agent never runs a dispatch. Results in `RevokeResult`."""

    dispatch: data.Dispatch


@dataclasses.dataclass(frozen=True)
class Replay:
    """Return the answer stored in the record to the caller. A final action."""

    record: data.Execution


@dataclasses.dataclass(frozen=True)
class Complete:
    """Finish; the caller has received the whole answer. A final action."""


@dataclasses.dataclass(frozen=True)
class Fail:
    """Return an error to the caller. A final action."""

    error: errors.BrasstrailError


FINAL_ACTIONS = (Replay, Complete, Fail)


# Events.


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a proposal or a look-up.

    `applied` is whether the command was applied to the record. `code` is the error
    code of a refused command, or empty.
    """

    record: data.Execution | None
    applied: bool = True
    code: str = ""


@dataclasses.dataclass(frozen=True)
class NoQuorum:
    """No quorum answered in time; the command may still be committed later."""

    error: errors.BrasstrailError


@dataclasses.dataclass(frozen=True)
class Placed:
    """A backend server with free capacity was found."""

    dispatch: data.Dispatch


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request was refused before it was placed on a backend server."""

    error: errors.BrasstrailError


@dataclasses.dataclass(frozen=True)
class Ended:
    """A started dispatch has ended; `error` is None after a complete answer.

    The error's `ran` is `not_run` only if it is certain that nothing ran.
    """

    error: errors.BrasstrailError | None = None


@dataclasses.dataclass(frozen=True)
class RevokeResult:
    """Whether the agent has confirmed that a dispatch never runs."""

    revoked: bool


class AtMostOnceRequest:
    """One call with a request that must not run twice.

    Methods with the prefix `on_` process the event after an action.

    Parameters
    ----------
    names : the workspace and the idempotency key, as a pair.
    digest : the hash of the request.
    is_incarnation_gone : a function that returns whether the agent incarnation
        in a `data.Dispatch` has ended permanently.
    is_caller_waiting : a function that returns whether the caller still waits.
    clock : a function that returns the wall-clock time in milliseconds.

    Attributes
    ----------
    attempts : how often this call has looked for a backend server.
    dispatch : the latest dispatch of this call, or the earlier one it is attached to.
    refusal : the last error after which nothing ran.
    next_handler : the method that processes the next event.
    """

    def __init__(self, names, digest, is_incarnation_gone, is_caller_waiting, clock):
        self.names = names
        self.digest = digest
        self.is_incarnation_gone = is_incarnation_gone
        self.is_caller_waiting = is_caller_waiting
        self.clock = clock
        self.attempts = 0
        self.dispatch = None
        self.refusal = None
        self.next_handler = self.on_received

    def begin(self):
        """Return the first action."""
        return Propose(commands.Receive(*self.names, self.digest, self.clock()))

    def step(self, event):
        """Process the event after the last action and return the next action."""
        if isinstance(event, NoQuorum):
            return Fail(event.error)
        return self.next_handler(event)

    def continue_with(self, next_handler, action):
        """Return `action` and set the method that processes its event."""
        self.next_handler = next_handler
        return action

    def on_received(self, result):
        """Continue from the record; fail if the key is reused or the ledger full."""
        if result.code == errors.KeyReused.code:
            return Fail(key_reused())
        if result.record is None:
            return Fail(ledger_full())
        return self.continue_from_record(result)

    def continue_from_record(self, result):
        """Return the next action according to the state of the record."""
        record = result.record
        if record is None:
            return Fail(unknown())
        if record.state == data.ExecutionState.ANSWERED:
            return Replay(record)
        if record.state == data.ExecutionState.UNKNOWN:
            return Fail(unknown())
        if record.state == data.ExecutionState.DISPATCHED:
            return self.attach(record)
        self.attempts += 1
        return self.continue_with(self.on_placement, Submit())

    # The dispatch of this call.

    def on_placement(self, event):
        """Commit the dispatch; after a refusal, confirm that nothing ran."""
        if isinstance(event, Refused):
            self.refusal = event.error
            return self.continue_with(self.on_refusal_checked, LookUp(wait=False))
        self.dispatch = event.dispatch
        command = commands.Bind(*self.names, event.dispatch, self.clock())
        return self.continue_with(self.on_bound, Propose(command))

    def on_refusal_checked(self, result):
        """Fail with `not_run` if no call has dispatched the request."""
        record = result.record
        if record is None or record.state == data.ExecutionState.RECEIVED:
            self.refusal.ran = data.RunStatus.NOT_RUN
            return Fail(self.refusal)
        return self.continue_from_record(result)

    def on_bound(self, result):
        """Start the dispatch if it was committed; else continue from the record."""
        if result.applied:
            return self.continue_with(self.on_dispatch_ended, Start(self.dispatch))
        return self.continue_from_record(result)

    def on_dispatch_ended(self, event):
        """Finish after an answer; after an error, record how the dispatch ended."""
        if event.error is None:
            return Complete()
        names = (*self.names, self.dispatch.dispatch_id, self.clock())
        if event.error.ran != data.RunStatus.NOT_RUN:
            return self.continue_with(
                self.continue_from_record, Propose(commands.Doubt(*names))
            )
        self.refusal = event.error
        return self.continue_with(self.on_released, Propose(commands.Release(*names)))

    def on_released(self, result):
        """Retry, or fail after `MAX_ATTEMPTS` attempts with the last error."""
        record = result.record
        is_open = record and record.state == data.ExecutionState.RECEIVED
        if is_open and self.attempts >= MAX_ATTEMPTS:
            return Fail(self.refusal)
        return self.continue_from_record(result)

    # The dispatch of an earlier call.

    def attach(self, record):
        """Determine the outcome of a dispatch that is in progress.

        The dispatch is in doubt if its agent's incarnation is gone; otherwise the
        agent is asked to revoke it.
        """
        dispatch = record.dispatch
        self.dispatch = dispatch
        if not self.is_caller_waiting():
            return Fail(unknown())
        if self.is_incarnation_gone(dispatch):
            return self.close_dispatch(commands.Doubt)
        return self.continue_with(self.on_revoke_result, Revoke(dispatch))

    def on_revoke_result(self, event):
        """Release the record if the dispatch never runs; else wait for its outcome."""
        if event.revoked:
            return self.close_dispatch(commands.Release)
        return self.continue_with(self.continue_from_record, LookUp(wait=True))

    def close_dispatch(self, kind):
        """Record that the dispatch never runs (`Release`) or is in doubt (`Doubt`)."""
        command = kind(*self.names, self.dispatch.dispatch_id, self.clock())
        return self.continue_with(self.continue_from_record, Propose(command))


def unknown():
    """Return the error for a request that may or may not have run."""
    return errors.OutcomeUnknown(
        "It cannot be known whether the request ran.",
        UNKNOWN_REMEDY,
        data.RunStatus.UNKNOWN,
    )


def key_reused():
    """Return the error for a key that was used before with another request."""
    return errors.not_run(
        errors.KeyReused,
        "This key was used before with another request.",
        "Give each request a key of its own.",
    )


def ledger_full():
    """Return the error for a new key beyond the limit on execution records."""
    return errors.not_run(
        errors.LedgerFull,
        "The bound on execution records is reached.",
        "Ask operators to raise control.max_keys.",
    )
