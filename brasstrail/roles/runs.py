"""Runs: requests that an agent has handed to its backend server.

Each run is a task. It calls the server, sends the answer to the entry within
the window that the entry's caller allows, and reports how it ended. Kinds of
service are registered by `runner`.
"""

import asyncio
import dataclasses

from brasstrail.core import clock, data, errors
from brasstrail.protocol import commands, messages
from brasstrail.roles import backend

RUNNERS = {}
CANCEL_PATH = "/v1/cancel"
SUSPECT_COMMIT_S = 2.0
SECOND_MS = 1000


def runner(kind):
    """Register the class of runs for a kind of service."""

    def register(run_class):
        RUNNERS[str(kind)] = run_class
        return run_class

    return register


class Aborted(Exception):
    """Nobody waits for the answer any more."""


class Run:
    """One request at the backend server.

    Parameters
    ----------
    agent : the agent role, which owns the run.
    link : the link to the entry that sent the request.
    start : `messages.Start`.

    Attributes
    ----------
    backlog : the prompt tokens to prefill at its start, its own included.
    must_finish : whether it goes on although nobody waits for its answer.
    """

    def __init__(self, agent, link, start):
        self.agent = agent
        self.link = link
        self.start = start
        self.work = start.work
        self.window = start.window
        self.credit = asyncio.Event()
        self.call = backend.Call(agent.client)
        self.began_ms = clock.now_ms()
        self.aborted = False
        self.tokens = 0
        self.prefilled = False
        self.backlog = 0
        self.must_finish = bool(start.key)

    @property
    def dispatch_id(self):
        """The number of the dispatch."""
        return self.start.dispatch_id

    def add_credit(self, amount):
        """Let the stream go on by so many bytes."""
        self.window += amount
        self.credit.set()

    def abort(self):
        """End the run because nobody waits for it."""
        self.aborted = True
        self.credit.set()
        self.call.abort()

    async def run(self):
        """Run the request and report how it ended."""
        try:
            fault = await self.execute()
        except Aborted:
            fault = None
        except asyncio.TimeoutError:
            self.call.abort()
            fault = await self.stalled()
        if fault is not None and not self.aborted:
            self.send(fault)
        self.agent.run_ended(self, fault)

    def send(self, message):
        """Send the entry a message."""
        self.link.send(message)

    def send_part(self, payload, tokens=0):
        """Send the entry a piece of the answer."""
        self.window -= len(payload)
        self.send(messages.Part(self.dispatch_id, payload, tokens))

    async def room(self):
        """Wait until the caller's window has room."""
        while self.window <= 0 and not self.aborted:
            self.credit.clear()
            await self.credit.wait()
        if self.aborted:
            raise Aborted()

    def make_fault(self, reason, ran=data.RunStatus.UNKNOWN):
        """Return the message for a run that ended without a whole answer."""
        return messages.Fault(
            self.dispatch_id,
            errors.ServerFailed.code,
            f"The backend server failed: {reason}.",
            "Send the request again; with its key, if its class is not idempotent.",
            str(ran),
        )

    async def stalled(self):
        """Return the fault for a server that was silent for too long."""
        self.agent.note_stall()
        fault = self.make_fault("it was silent for too long")
        return dataclasses.replace(fault, code=errors.ServerStalled.code)

    def begin_call(self, path, headers, body, method):
        """Start the call to the server as a task of its own."""
        url = self.agent.server.url + path
        return self.agent.hub.loop.create_task(
            self.call.run(url, method, headers, body)
        )

    async def call_failed(self):
        """Return the fault for a call that failed."""
        failure = self.call.failure
        if not failure.sent:
            self.agent.note_down()
            return self.make_fault(failure.reason, data.RunStatus.NOT_RUN)
        if not self.aborted:
            self.agent.note_down()
            await self.suspect()
        return self.make_fault(failure.reason)

    async def suspect(self):
        """Make it known that the server died while it ran this request.

        This is committed before the entry is told, so that whoever sends the
        request again meets the suspicion.
        """
        if not self.start.fingerprint:
            return
        command = commands.Suspect(
            self.start.fingerprint, self.agent.hub.name, clock.wall_ms()
        )
        try:
            await self.agent.attachment.propose(command, SUSPECT_COMMIT_S)
        except errors.NoQuorum:
            self.agent.log.warning(
                "agent: A suspicion could not be recorded.", request=self.dispatch_id
            )
