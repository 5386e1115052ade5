"""Runs of requests at a plain service, among them those that must not run twice."""

import dataclasses

from brasstrail.core import clock, data, errors
from brasstrail.protocol import commands, messages
from brasstrail.roles import runs

SETTLE_FIRST_S = 2.0
SETTLE_S = 120.0
KEY_HEADER = "Idempotency-Key"


@runs.runner(data.ServiceKind.PLAIN)
class PlainRun(runs.Run):
    """A request to a plain service, passed through whole."""

    async def execute(self):
        """runs.Run the request; return the fault that ended it, or None."""
        headers = self.start.headers
        if self.start.key:
            headers = (*headers, f"{KEY_HEADER}: {self.start.key}")
        task = self.begin_call(
            self.start.path, headers, self.start.body, self.start.method
        )
        try:
            if self.start.key:
                return await self.execute_once()
            return await self.relay()
        finally:
            if not task.done():
                self.call.abort()

    async def relay(self):
        """Hand the server's answer to the entry as it comes."""
        headed = False
        while True:
            chunk = await self.call.read(self.patience_s())
            if self.aborted:
                raise runs.Aborted()
            if self.call.failure is not None:
                return await self.call_failed()
            if not headed:
                headed = True
                self.send_head()
            if not chunk:
                break
            await self.room()
            self.send_part(chunk)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    def send_head(self):
        """Send the entry the status and the headers."""
        self.send(messages.Head(self.dispatch_id, self.call.status, self.call.headers))

    async def execute_once(self):
        """runs.Run a request that must not run twice.

        The answer is recorded before it is sent. The run goes on when the
        entry is gone, because whoever sends the request again needs its
        outcome.
        """
        body = b""
        while True:
            chunk = await self.call.read(self.patience_s())
            body += chunk
            if self.call.failure is not None:
                return await self.record_failure()
            if not chunk:
                return await self.answer_once(body)
            if len(body) > self.agent.settings.max_answer_bytes:
                return await self.answer_unkept(body)

    async def answer_once(self, body):
        """Record a whole answer and send it."""
        answer = data.Answer(self.call.status, self.call.headers, body)
        await self.settle(answer, True)
        self.send_head()
        self.send_part(body)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    async def answer_unkept(self, body):
        """Record that the request ran, and pass its large answer on unkept."""
        await self.settle(data.Answer(self.call.status), False)
        self.must_finish = False
        self.send_head()
        while body:
            await self.room()
            self.send_part(body)
            body = await self.call.read(self.patience_s())
        if self.call.failure is not None:
            return self.make_fault(self.call.failure.reason, data.RunStatus.RAN)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    def patience_s(self):
        """Return how long the service may be silent."""
        return self.agent.settings.plain_timeout_ms / runs.SECOND_MS

    async def stalled(self):
        """Record that the outcome is not known, where that matters."""
        fault = await super().stalled()
        if not self.start.key:
            return fault
        names = (self.work.workspace, self.start.key, self.dispatch_id)
        await self.record(commands.Doubt(*names, clock.wall_ms()))
        return dataclasses.replace(fault, code=errors.OutcomeUnknown.code)

    async def settle(self, answer, kept):
        """Record an answer; go on trying behind the caller's back."""
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
        """Record that the outcome is not known, or that nothing ran."""
        names = (self.work.workspace, self.start.key, self.dispatch_id)
        if not self.call.failure.sent:
            self.agent.note_down()
            await self.record(commands.Release(*names, clock.wall_ms()))
            return self.make_fault(self.call.failure.reason, data.RunStatus.NOT_RUN)
        await self.record(commands.Doubt(*names, clock.wall_ms()))
        fault = await self.call_failed()
        return dataclasses.replace(fault, code=errors.OutcomeUnknown.code)

    async def record(self, command):
        """Commit a command, or leave it to a task that keeps trying."""
        try:
            await self.agent.attachment.propose(command, SETTLE_FIRST_S)
        except errors.NoQuorum:
            self.agent.hub.spawn(self.record_later(command))

    async def record_later(self, command):
        """Keep trying to commit a command for a long while."""
        try:
            await self.agent.attachment.propose(command, SETTLE_S)
        except errors.NoQuorum:
            self.agent.log.error(
                "agent: An outcome could not be recorded.",
                workspace=self.work.workspace,
                key=self.start.key,
            )
