"""Runs: requests that an agent executes on its backend server.

Each run is a task. It calls the server, sends the answer to the entry within
the flow-control window that the entry grants, and reports how it ended. Each
kind of service has a run class, registered by `register_run_class`.
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
    """Return a class decorator that registers the run class of a service kind."""

    def register(run_class):
        RUN_CLASSES[str(kind)] = run_class
        return run_class

    return register


class Aborted(Exception):
    """Raised when a run is aborted because its answer is no longer needed."""


class Run:
    """One request that runs on the backend server.

    Parameters
    ----------
    agent : the agent role, which owns the run.
    link : the link to the entry that sent the request.
    start : `messages.Start`.

    Attributes
    ----------
    call : `backend.Call`, the HTTP request to the server.
    window : the bytes that may be sent to the entry before more credit arrives.
    initial_backlog_tokens : the prompt tokens to prefill when the run started,
        including its own.
    must_finish : whether the run goes on although its answer is no longer needed.
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
        """The id of the dispatch."""
        return self.start.dispatch_id

    def add_credit(self, amount):
        """Extend the window by `amount` bytes."""
        self.window += amount
        self.window_changed.set()

    def abort(self):
        """Abort the run because its answer is no longer needed."""
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
        """Send a message to the entry."""
        self.link.send(message)

    def send_part(self, payload, tokens=0):
        """Send a part of the answer to the entry and reduce the window."""
        self.window -= len(payload)
        self.send(messages.Part(self.dispatch_id, payload, tokens))

    async def wait_for_window(self):
        """Wait until the window has room; raise `Aborted` after an abort."""
        while self.window <= 0 and not self.aborted:
            self.window_changed.clear()
            await self.window_changed.wait()
        if self.aborted:
            raise Aborted()

    def make_fault(self, reason, ran=data.RunStatus.UNKNOWN):
        """Return the fault for a run that ended without a whole answer."""
        return messages.Fault(
            self.dispatch_id,
            errors.ServerFailed.code,
            f"The backend server failed: {reason}.",
            "Send the request again; with its key, if its class is not idempotent.",
            str(ran),
        )

    async def handle_stall(self):
        """Mark the server as stalled and return the fault for the run."""
        self.agent.mark_stalled()
        fault = self.make_fault("it was silent for too long")
        return dataclasses.replace(fault, code=errors.ServerStalled.code)

    def begin_call(self, path, headers, body, method):
        """Start the call to the server and return its task."""
        url = self.agent.server.url + path
        return self.agent.hub.loop.create_task(
            self.call.run(url, method, headers, body)
        )

    async def handle_call_failure(self):
        """Mark the server as down and return the fault for a failed call.

        If the request was sent, the request is recorded as suspected of crashing
        the server. An abort by this agent is no failure of the server.
        """
        failure = self.call.failure
        if not failure.sent:
            self.agent.mark_down()
            return self.make_fault(failure.reason, data.RunStatus.NOT_RUN)
        if self.aborted:
            return self.make_fault(failure.reason)
        self.agent.mark_down()
        return await self.make_crash_fault(failure.reason)

    async def make_crash_fault(self, reason):
        """Record the request as suspected of a crash, and return the fault."""
        await self.suspect()
        return dataclasses.replace(self.make_fault(reason), has_crashed=True)

    async def suspect(self):
        """Commit a record that the server failed while it ran this request.

        The record is committed before the fault is sent to the entry, so that a
        retry of the request, through any entry, is checked against it.
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
                "agent: No quorum recorded that the server failed during a request.",
                request=self.dispatch_id,
            )
