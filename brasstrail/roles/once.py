"""Carries out what `coordination.once` decides for a caller's request."""

from brasstrail.coordination import once
from brasstrail.core import clock, data, errors
from brasstrail.roles import exchange

ATTACH_TIMEOUT_MS = 600_000


class AtMostOnceExchange(exchange.Exchange):
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
        state_machine = once.Once(
            self.names,
            self.request.digest,
            self.is_incarnation_gone,
            self.may_keep_waiting,
            clock.wall_ms,
        )
        action = state_machine.begin()
        try:
            while not isinstance(action, once.ENDS):
                event = await self.execute_action(action)
                action = state_machine.step(event)
        finally:
            self.release_attempt()
        await self.finish(action)

    async def execute_action(self, action):
        """Carry out one action and return what came of it."""
        try:
            return await ACTION_HANDLERS[type(action)](self, action)
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
        self.release_attempt()
        try:
            self.check_crashed_servers()
        except errors.Suspect as error:
            return once.Refused(error)
        self.attempt = self.entry.submit(self)
        event = await self.attempt.next_event()
        if isinstance(event, exchange.Refused):
            return once.Refused(event.error)
        self.placed = event
        return once.Placed(
            data.Dispatch(self.attempt.work.request_id, event.agent, event.incarnation)
        )

    async def start(self, action):
        """Send the dispatch to its agent and hand on the answer."""
        self.entry.start_attempt(self.attempt, self.placed, key=self.request.key)
        fault = await self.forward_answer(self.attempt)
        if fault is None:
            return once.Ended()
        self.record_fault(self.attempt, fault)
        error = errors.from_code(fault.code, fault.message, fault.remedy, fault.ran, 1)
        return once.Ended(error)

    async def revoke(self, action):
        """Ask an agent to rule a dispatch out."""
        self.release_attempt()
        reply = await self.entry.revoke(action.dispatch)
        return once.RuledOut(reply is not None and not reply.started)

    def release_attempt(self):
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
        await self.sink.write_end()

    async def replay(self, record):
        """Give the caller the answer that was kept."""
        if not record.answer_kept:
            raise errors.NotFound(
                "The request ran and was answered, and the answer is kept no more.",
                "Ask the service for the outcome; do not send it again.",
                data.Ran.RAN,
            )
        await self.sink.write_head(record.answer.status, record.answer.headers)
        await self.sink.write_part(record.answer.body)

    def is_incarnation_gone(self, dispatch):
        """Return whether the incarnation that was to run it is gone for good."""
        attachment = self.entry.attachment
        if not attachment.fresh:
            return False
        member = attachment.view.members.get(dispatch.agent)
        return member is None or member.incarnation > dispatch.incarnation

    def may_keep_waiting(self):
        """Return whether it is still worth waiting for an earlier run."""
        return clock.now_ms() - self.arrived_ms <= ATTACH_TIMEOUT_MS


ACTION_HANDLERS = {
    once.Propose: AtMostOnceExchange.propose,
    once.LookUp: AtMostOnceExchange.look_up,
    once.Submit: AtMostOnceExchange.submit,
    once.Start: AtMostOnceExchange.start,
    once.Revoke: AtMostOnceExchange.revoke,
}
