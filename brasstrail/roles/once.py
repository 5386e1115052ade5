"""Exchanges of requests that must run at most once.

The state machine `coordination.once.AtMostOnceRequest` decides the actions; this
module executes them and returns their results to it as events.
"""

from brasstrail.coordination import once
from brasstrail.core import clock, data, errors
from brasstrail.roles import exchange

EARLIER_RUN_TIMEOUT_MS = 600_000


class AtMostOnceExchange(exchange.Exchange):
    """Processes a request that must not run twice.

    The public method is `run`, as in `exchange.Exchange`.

    Attributes
    ----------
    names : the workspace and the idempotency key of the request.
    attempt : the current `exchange.Attempt`, or None.
    placed : the `exchange.Placed` event of the latest placed attempt, or None.
    """

    def __init__(self, entry, request, sink):
        super().__init__(entry, request, sink)
        self.names = (request.workspace, request.key)
        self.attempt = None
        self.placed = None

    async def run(self):
        """Run the request, or wait for an earlier run with the same key."""
        state_machine = once.AtMostOnceRequest(
            self.names,
            self.request.digest,
            self.is_incarnation_gone,
            self.may_keep_waiting,
            clock.wall_ms,
        )
        action = state_machine.begin()
        try:
            while not isinstance(action, once.FINAL_ACTIONS):
                event = await self.execute_action(action)
                action = state_machine.step(event)
        finally:
            self.release_attempt()
        await self.finish(action)

    async def execute_action(self, action):
        """Execute one action and return its result as an event."""
        try:
            return await ACTION_HANDLERS[type(action)](self, action)
        except errors.NoQuorum as error:
            return once.NoQuorum(error)

    async def propose(self, action):
        """Propose a command and return the result of its commit."""
        result = await self.entry.attachment.propose(action.command)
        return once.Result(result.record, result.applied, result.code)

    async def look_up(self, action):
        """Read the execution record of the key."""
        record = await self.entry.attachment.look_up(*self.names, action.wait)
        return once.Result(record)

    async def submit(self, action):
        """Queue an attempt and wait until it is placed or refused."""
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
        """Send the dispatch to its agent and forward the answer."""
        self.entry.start_attempt(self.attempt, self.placed, key=self.request.key)
        fault = await self.forward_answer(self.attempt)
        if fault is None:
            return once.Ended()
        self.record_fault(self.attempt, fault)
        error = errors.from_code(fault.code, fault.message, fault.remedy, fault.ran, 1)
        return once.Ended(error)

    async def revoke(self, action):
        """Ask an agent never to start a dispatch."""
        self.release_attempt()
        reply = await self.entry.revoke(action.dispatch)
        return once.RevokeResult(reply is not None and not reply.started)

    def release_attempt(self):
        """End the current attempt, if there is one."""
        if self.attempt is not None:
            self.entry.end_attempt(self.attempt)
            self.attempt = None

    async def finish(self, action):
        """Send the caller the answer, or raise the error, of the final action."""
        if isinstance(action, once.Fail):
            raise action.error
        if isinstance(action, once.Replay):
            await self.replay(action.record)
        await self.sink.write_end()

    async def replay(self, record):
        """Send the caller the recorded answer.

        Raises `errors.NotFound` if the answer is no longer kept.
        """
        if not record.answer_kept:
            raise errors.NotFound(
                "The request ran and was answered, and the answer is kept no more.",
                "Ask the service for the outcome; do not send it again.",
                data.RunStatus.RAN,
            )
        await self.sink.write_head(record.answer.status, record.answer.headers)
        await self.sink.write_part(record.answer.body)

    def is_incarnation_gone(self, dispatch):
        """Return whether the dispatch's incarnation of its agent has ended.

        Returns False while the view is not fresh, as a stale view cannot show this.
        """
        attachment = self.entry.attachment
        if not attachment.fresh:
            return False
        member = attachment.view.members.get(dispatch.agent)
        return member is None or member.incarnation > dispatch.incarnation

    def may_keep_waiting(self):
        """Return whether to keep waiting for an earlier run.

        The limit is `EARLIER_RUN_TIMEOUT_MS` after the arrival of the request.
        """
        return clock.now_ms() - self.arrived_ms <= EARLIER_RUN_TIMEOUT_MS


ACTION_HANDLERS = {
    once.Propose: AtMostOnceExchange.propose,
    once.LookUp: AtMostOnceExchange.look_up,
    once.Submit: AtMostOnceExchange.submit,
    once.Start: AtMostOnceExchange.start,
    once.Revoke: AtMostOnceExchange.revoke,
}
