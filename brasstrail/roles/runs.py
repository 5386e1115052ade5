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

RUN_CLASSES = {}
CANCEL_PATH = "/v1/cancel"
SUSPICION_COMMIT_TIMEOUT_S = 2.0
SECOND_MS = 1000


def register_run_class(kind):
    """Register the class of runs for a kind of service."""

    def register(run_class):
        RUN_CLASSES[str(kind)] = run_class
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
        self.window_changed = asyncio.Event()
        self.call = backend.Call(agent.client)
        self.began_ms = clock.now_ms()
        self.aborted = False
        self.tokens = 0
        self.prefilled = False
        self.initial_backlog_tokens = 0
        self.must_finish = bool(start.key)

    @property
    def dispatch_id(self):
        """The number of the dispatch."""
        return self.start.dispatch_id

    def add_credit(self, amount):
        """Let the stream go on by so many bytes."""
        self.window += amount
        self.window_changed.set()

    def abort(self):
        """End the run because nobody waits for it."""
        self.aborted = True
        self.window_changed.set()
        self.call.abort()

    async def run(self):
        """Run the request and report how it ended."""
        try:
            fault = await self.execute()
        except Aborted:
            fault = None
        except asyncio.TimeoutError:
            self.call.abort()
            fault = await self.handle_stall()
        if fault is not None and not self.aborted:
            self.send(fault)
        self.agent.handle_run_end(self, fault)

    def send(self, message):
        """Send the entry a message."""
        self.link.send(message)

    def send_part(self, payload, tokens=0):
        """Send the entry a piece of the answer."""
        self.window -= len(payload)
        self.send(messages.Part(self.dispatch_id, payload, tokens))

    async def wait_for_window(self):
        """Wait until the caller's window has room."""
        while self.window <= 0 and not self.aborted:
            self.window_changed.clear()
            await self.window_changed.wait()
        if self.aborted:
            raise Aborted()

    def make_fault(self, reason, ran=data.Ran.UNKNOWN):
        """Return the message for a run that ended without a whole answer."""
        return messages.Fault(
            self.dispatch_id,
            errors.ServerFailed.code,
            f"The backend server failed: {reason}.",
            "Send the request again; with its key, if its class is not idempotent.",
            str(ran),
        )

    async def handle_stall(self):
        """Return the fault for a server that was silent for too long."""
        self.agent.mark_stalled()
        fault = self.make_fault("it was silent for too long")
        return dataclasses.replace(fault, code=errors.ServerStalled.code)

    def begin_call(self, path, headers, body, method):
        """Start the call to the server as a task of its own."""
        url = self.agent.server.url + path
        return self.agent.hub.loop.create_task(
            self.call.run(url, method, headers, body)
        )

    async def handle_call_failure(self):
        """Return the fault for a call that failed."""
        failure = self.call.failure
        if not failure.sent:
            self.agent.mark_down()
            return self.make_fault(failure.reason, data.Ran.NOT_RUN)
        if not self.aborted:
            self.agent.mark_down()
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
            await self.agent.attachment.propose(command, SUSPICION_COMMIT_TIMEOUT_S)
        except errors.NoQuorum:
            self.agent.log.warning(
                "agent: A suspicion could not be recorded.", request=self.dispatch_id
            )
