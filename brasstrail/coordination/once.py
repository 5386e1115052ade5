"""A request that must run at most once, from receipt to its final answer.

`Once` is a state machine: it is told what came of its last action and returns
the next one. The execution record in the replicated ledger is the only point of
choice. A dispatch is committed there before a byte goes to an agent; a request
that comes again finds the record and attaches to it.
"""

import dataclasses

from brasstrail.core import data, errors
from brasstrail.protocol import commands

MAX_ATTEMPTS = 5
UNKNOWN_REMEDY = (
    "Do not send it under another key. Ask the service whether it was done, "
    "or ask an operator to look at the record of the key."
)


# Actions.


@dataclasses.dataclass(frozen=True)
class Propose:
    """Commit a command; tell `Result`, or `NoQuorum`."""

    command: object


@dataclasses.dataclass(frozen=True)
class LookUp:
    """Read the record, confirmed by the quorum; tell `Result` or `NoQuorum`."""

    wait: bool


@dataclasses.dataclass(frozen=True)
class Submit:
    """Find a server with room; tell `Placed` or `Refused`."""


@dataclasses.dataclass(frozen=True)
class Start:
    """Send the placed dispatch to its agent; tell `Ended`."""

    dispatch: data.Dispatch


@dataclasses.dataclass(frozen=True)
class Revoke:
    """Ask the agent to rule a dispatch out; tell `RuledOut`."""

    dispatch: data.Dispatch


@dataclasses.dataclass(frozen=True)
class Replay:
    """Give the caller the answer that the record holds. This is the end."""

    record: data.Execution


@dataclasses.dataclass(frozen=True)
class Deliver:
    """The caller has the whole answer. This is the end."""


@dataclasses.dataclass(frozen=True)
class Fail:
    """Give the caller an error. This is the end."""

    error: errors.BrasstrailError


ENDS = (Replay, Deliver, Fail)


# Events.


@dataclasses.dataclass(frozen=True)
class Result:
    """What came of a proposal or a look-up."""

    record: data.Execution | None
    applied: bool = True
    code: str = ""


@dataclasses.dataclass(frozen=True)
class NoQuorum:
    """No quorum answered; the command may still be committed later."""

    error: errors.BrasstrailError


@dataclasses.dataclass(frozen=True)
class Placed:
    """A server has room."""

    dispatch: data.Dispatch


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request was given up before it was placed."""

    error: errors.BrasstrailError


@dataclasses.dataclass(frozen=True)
class Ended:
    """A started dispatch has ended; `error` is None for a whole answer.

    The error's `ran` is `not_run` only where that is certain.
    """

    error: errors.BrasstrailError | None = None


@dataclasses.dataclass(frozen=True)
class RuledOut:
    """Whether the agent has made sure that a dispatch never runs."""

    certain: bool


class Once:
    """One sending of a request that must not run twice.

    Parameters
    ----------
    names : the workspace and the key.
    digest : the hash of the request.
    is_gone : a function that tells whether the incarnation of an agent that a
        `data.Dispatch` names is gone for good.
    is_patient : a function that tells whether the caller still waits.
    clock : a function that gives the time of day in milliseconds.
    """

    def __init__(self, names, digest, is_gone, is_patient, clock):
        self.names = names
        self.digest = digest
        self.is_gone = is_gone
        self.is_patient = is_patient
        self.clock = clock
        self.attempts = 0
        self.dispatch = None
        self.refusal = None
        self.expect = self.received

    def begin(self):
        """Return the first action."""
        return Propose(commands.Receive(*self.names, self.digest, self.clock()))

    def step(self, event):
        """Take what came of the last action and return the next one."""
        if isinstance(event, NoQuorum):
            return Fail(event.error)
        return self.expect(event)

    def then(self, expect, action):
        """Return an action, whose outcome goes to `expect`."""
        self.expect = expect
        return action

    def received(self, result):
        """Go on from the record of the key."""
        if result.code == errors.KeyReused.code:
            return Fail(key_reused())
        if result.record is None:
            return Fail(ledger_full())
        return self.consider(result)

    def consider(self, result):
        """Go on as the record's state asks."""
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
        return self.then(self.placed, Submit())

    # A dispatch of one's own.

    def placed(self, event):
        """Commit the dispatch, or confirm that nothing ran."""
        if isinstance(event, Refused):
            self.refusal = event.error
            return self.then(self.refused, LookUp(wait=False))
        self.dispatch = event.dispatch
        command = commands.Bind(*self.names, event.dispatch, self.clock())
        return self.then(self.bound, Propose(command))

    def refused(self, result):
        """Refuse with `not_run`, if nothing was dispatched by anybody."""
        record = result.record
        if record is None or record.state == data.ExecutionState.RECEIVED:
            self.refusal.ran = data.RunStatus.NOT_RUN
            return Fail(self.refusal)
        return self.consider(result)

    def bound(self, result):
        """Start the dispatch that was chosen; else attach to the other one."""
        if result.applied:
            return self.then(self.ended, Start(self.dispatch))
        return self.consider(result)

    def ended(self, event):
        """Record how the dispatch ended where it brought no answer."""
        if event.error is None:
            return Deliver()
        names = (*self.names, self.dispatch.dispatch_id, self.clock())
        if event.error.ran != data.RunStatus.NOT_RUN:
            return self.then(self.consider, Propose(commands.Doubt(*names)))
        self.refusal = event.error
        return self.then(self.released, Propose(commands.Release(*names)))

    def released(self, result):
        """Try again, but not for ever."""
        record = result.record
        is_open = record and record.state == data.ExecutionState.RECEIVED
        if is_open and self.attempts >= MAX_ATTEMPTS:
            return Fail(self.refusal)
        return self.consider(result)

    # The dispatch of an earlier sending.

    def attach(self, record):
        """Find out about a dispatch that is under way."""
        dispatch = record.dispatch
        self.dispatch = dispatch
        if not self.is_patient():
            return Fail(unknown())
        if self.is_gone(dispatch):
            return self.close(commands.Doubt)
        return self.then(self.asked, Revoke(dispatch))

    def asked(self, event):
        """Open the record again if the dispatch is ruled out; else wait."""
        if event.certain:
            return self.close(commands.Release)
        return self.then(self.consider, LookUp(wait=True))

    def close(self, kind):
        """Record that the dispatch is ruled out or in doubt."""
        command = kind(*self.names, self.dispatch.dispatch_id, self.clock())
        return self.then(self.consider, Propose(command))


def unknown():
    """Return the error for a request that may or may not have run."""
    return errors.OutcomeUnknown(
        "It cannot be known whether the request ran.",
        UNKNOWN_REMEDY,
        data.RunStatus.UNKNOWN,
    )


def key_reused():
    """Return the error for a key that came back with another request."""
    return errors.not_run(
        errors.KeyReused,
        "This key was used before with another request.",
        "Give each request a key of its own.",
    )


def ledger_full():
    """Return the error for a key beyond the bound."""
    return errors.not_run(
        errors.LedgerFull,
        "The bound on execution records is reached.",
        "Ask operators to raise control.max_keys.",
    )
