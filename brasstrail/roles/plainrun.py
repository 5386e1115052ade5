"""Runs of requests on a plain service, including those that must not run twice."""

import dataclasses

from tornado import httputil

from brasstrail.core import clock, data, errors
from brasstrail.protocol import commands, events, messages
from brasstrail.roles import backend, runs

FIRST_COMMIT_TIMEOUT_S = 2.0
BACKGROUND_COMMIT_TIMEOUT_S = 120.0
KEY_HEADER = "Idempotency-Key"


@runs.register_run_class(data.ServiceKind.PLAIN)
class PlainRun(runs.Run):
    """A request to a plain service, forwarded unchanged.

    `cutter` is the `events.EventCutter` that follows an answer that is an event stream.
    """

    def __init__(self, agent, link, start):
        super().__init__(agent, link, start)
        self.cutter = None

    async def execute(self):
        """Run the request; return the fault that ended it, or None."""
        headers = self.start.headers
        if self.start.key:
            headers = (*headers, f"{KEY_HEADER}: {self.start.key}")
        task = self.begin_call(
            self.start.path, headers, self.start.body, self.start.method
        )
        try:
            if self.start.key:
                return await self.execute_at_most_once()
            return await self.relay()
        finally:
            if not task.done():
                self.call.abort()

    async def relay(self):
        """Forward the server's answer to the entry as it arrives."""
        head_sent = False
        while True:
            chunk = await self.read()
            if self.aborted:
                raise runs.Aborted()
            if self.call.failure is not None:
                return await self.handle_call_failure()
            if not head_sent:
                head_sent = True
                self.send_head()
            if not chunk:
                break
            await self.wait_for_window()
            self.send_part(chunk)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    async def read(self):
        """Return the next bytes of the answer, or none at its end.

        An event stream that ends within an event was broken off, and counts as a call
        that failed.
        """
        chunk = await self.call.read(self.silence_timeout_s())
        if self.cutter is None and self.is_event_stream():
            self.cutter = events.EventCutter()
        if self.cutter is not None:
            self.cutter.feed(chunk)
            if not chunk and self.cutter.is_inside_event and not self.call.failure:
                self.call.failure = backend.Failure("its stream was cut short", True)
        return chunk

    def is_event_stream(self):
        """Return whether the server answers with an event stream."""
        headers = httputil.HTTPHeaders()
        for name, value in backend.parse_header_lines(self.call.headers):
            headers.add(name, value)
        return events.is_event_stream(headers.get("Content-Type", ""))

    def send_head(self):
        """Send the status and the headers to the entry."""
        self.send(messages.Head(self.dispatch_id, self.call.status, self.call.headers))

    async def execute_at_most_once(self):
        """Run a request that must not run twice.

        The answer is recorded before it is sent. The run goes on after the entry is
        lost, because a retry with the same key needs the outcome.
        """
        body = b""
        while True:
            chunk = await self.read()
            body += chunk
            if self.call.failure is not None:
                return await self.record_failure()
            if not chunk:
                return await self.record_and_send_answer(body)
            if len(body) > self.agent.settings.max_answer_bytes:
                return await self.send_oversized_answer(body)

    async def record_and_send_answer(self, body):
        """Record a whole answer and send it."""
        answer = data.Answer(self.call.status, self.call.headers, body)
        await self.record_answer(answer, True)
        self.send_head()
        self.send_part(body)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    async def send_oversized_answer(self, body):
        """Record that the request ran, and forward an answer too large to record.

        The limit is `max_answer_bytes`. The run may be aborted from here on.
        """
        await self.record_answer(data.Answer(self.call.status), False)
        self.must_finish = False
        self.send_head()
        while body:
            await self.wait_for_window()
            self.send_part(body)
            body = await self.read()
        if self.call.failure is not None:
            return self.make_fault(self.call.failure.reason, data.RunStatus.RAN)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    def silence_timeout_s(self):
        """Return after how many seconds of silence the service counts as stalled."""
        return self.agent.settings.plain_timeout_ms / runs.SECOND_MS

    async def handle_stall(self):
        """Record an unknown outcome for a request that must not run twice."""
        fault = await super().handle_stall()
        if not self.start.key:
            return fault
        names = (self.work.workspace, self.start.key, self.dispatch_id)
        await self.record(commands.Doubt(*names, clock.wall_ms()))
        return dataclasses.replace(fault, code=errors.OutcomeUnknown.code)

    async def record_answer(self, answer, kept):
        """Record an answer; retry in the background if no quorum answers.

        `kept` is false if the answer is too large and only its status is recorded.
        """
        command = commands.Settle(
            self.work.workspace,
            self.start.key,
            self.dispatch_id,
            answer,
            clock.wall_ms(),
            kept,
        )
        await self.record(command)

    async def record_failure(self):
        """Record a failed call: not run if nothing was sent, else unknown."""
        names = (self.work.workspace, self.start.key, self.dispatch_id)
        if not self.call.failure.sent:
            self.agent.mark_down()
            await self.record(commands.Release(*names, clock.wall_ms()))
            return self.make_fault(self.call.failure.reason, data.RunStatus.NOT_RUN)
        await self.record(commands.Doubt(*names, clock.wall_ms()))
        fault = await self.handle_call_failure()
        return dataclasses.replace(fault, code=errors.OutcomeUnknown.code)

    async def record(self, command):
        """Commit a command, or start a background task that retries.

        The first try is limited to `FIRST_COMMIT_TIMEOUT_S`.
        """
        try:
            await self.agent.attachment.propose(command, FIRST_COMMIT_TIMEOUT_S)
        except errors.NoQuorum:
            self.agent.hub.spawn(self.record_in_background(command))

    async def record_in_background(self, command):
        """Try to commit a command for up to `BACKGROUND_COMMIT_TIMEOUT_S`."""
        try:
            await self.agent.attachment.propose(command, BACKGROUND_COMMIT_TIMEOUT_S)
        except errors.NoQuorum:
            self.agent.log.error(
                "agent: No quorum recorded the outcome of a request.",
                workspace=self.work.workspace,
                key=self.start.key,
            )
