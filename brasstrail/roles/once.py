"""Carries out what `coordination.once` decides for a caller's request."""

from brasstrail.coordination import once
from brasstrail.core import clock, data, errors
from brasstrail.roles import exchange

ATTACH_LIMIT_MS = 600_000


class OnceExchange(exchange.Exchange):
    """A request that must not run twice.

    The public method is `run`, as of `exchange.Exchange`.
    """

    def __init__(self, entry, request, sink):
        super().__init__(entry, request, sink)
        self.names = (request.workspace, request.key)
        self.attempt = None
        self.placed = None

    async def run(self):
        """Run the request, or attach to its earlier run."""
        machine = once.Once(
            self.names,
            self.request.digest,
            self.is_gone,
            self.is_patient,
            clock.wall_ms,
        )
        action = machine.begin()
        try:
            while not isinstance(action, once.ENDS):
                event = await self.perform(action)
                action = machine.step(event)
        finally:
            self.drop_attempt()
        await self.finish(action)

    async def perform(self, action):
        """Carry out one action and return what came of it."""
        try:
            return await PERFORMERS[type(action)](self, action)
        except errors.NoQuorum as error:
            return once.NoQuorum(error)

    async def propose(self, action):
        """Commit a command."""
        result = await self.entry.attachment.propose(action.command)
        return once.Result(result.record, result.applied, result.code)

    async def look_up(self, action):
        """Read the record."""
        record = await self.entry.attachment.look_up(*self.names, action.wait)
        return once.Result(record)

    async def submit(self, action):
        """Find a server with room."""
        self.drop_attempt()
        try:
            self.check_suspicion()
        except errors.Suspect as error:
            return once.Refused(error)
        self.attempt = self.entry.submit(self)
        event = await self.attempt.next()
        if isinstance(event, exchange.Refused):
            return once.Refused(event.error)
        self.placed = event
        return once.Placed(
            data.Dispatch(self.attempt.work.request_id, event.agent, event.incarnation)
        )

    async def start(self, action):
        """Send the dispatch to its agent and hand on the answer."""
        self.entry.start(self.attempt, self.placed, key=self.request.key)
        fault = await self.follow(self.attempt)
        if fault is None:
            return once.Ended()
        self.note_fault(self.attempt, fault)
        error = errors.from_code(fault.code, fault.message, fault.remedy, fault.ran, 1)
        return once.Ended(error)

    async def revoke(self, action):
        """Ask an agent to rule a dispatch out."""
        self.drop_attempt()
        reply = await self.entry.revoke(action.dispatch)
        return once.RuledOut(reply is not None and not reply.started)

    def drop_attempt(self):
        """Give up the present attempt, if there is one."""
        if self.attempt is not None:
            self.entry.end_attempt(self.attempt)
            self.attempt = None

    async def finish(self, action):
        """Give the caller the final answer."""
        if isinstance(action, once.Fail):
            raise action.error
        if isinstance(action, once.Replay):
            await self.replay(action.record)
        await self.sink.end()

    async def replay(self, record):
        """Give the caller the answer that was kept."""
        if not record.answer_kept:
            raise errors.NotFound(
                "The request ran and was answered, and the answer is kept no more.",
                "Ask the service for the outcome; do not send it again.",
                data.RunStatus.RAN,
            )
        await self.sink.head(record.answer.status, record.answer.headers)
        await self.sink.part(record.answer.body)

    def is_gone(self, dispatch):
        """Return whether the incarnation that was to run it is gone for good."""
        attachment = self.entry.attachment
        if not attachment.fresh:
            return False
        member = attachment.view.members.get(dispatch.agent)
        return member is None or member.incarnation > dispatch.incarnation

    def is_patient(self):
        """Return whether it is still worth waiting for an earlier run."""
        return clock.now_ms() - self.arrived_ms <= ATTACH_LIMIT_MS


PERFORMERS = {
    once.Propose: OnceExchange.propose,
    once.LookUp: OnceExchange.look_up,
    once.Submit: OnceExchange.submit,
    once.Start: OnceExchange.start,
    once.Revoke: OnceExchange.revoke,
}
