"""One sending of a request to one server, and the way of its answer back.

What comes back must be signed, carry the request's id and be whole. Everything else
is a failure that says whether the request may have run.
"""

import asyncio
import dataclasses

from brasstrail.core import calls, catalog, clock
from brasstrail.roles import refusals
from brasstrail.transport import upstream

# A connection within a region is made in a few milliseconds, one that crosses in
# about a hundred; a lost packet costs a second anyway.
CONNECT_TIMEOUT_MS = 400
MAX_WHOLE_ANSWER_BYTES = 1024 * 1024
# An idempotent request whose server is silent for so many times its goal goes to
# another one.
SILENCE_GOALS = 1.0
MIN_SILENCE_MS = 250
# A stream that may go on elsewhere does so after this silence of its server.
STREAM_SILENCE_MS = 2500
# Statuses that promise that a request has not run; only `is_not_run` proves it.
PROMISES = (408, 421, 429, 503)
# A pace is learned from answers of so many events at least.
MIN_PACE_EVENTS = 3


@dataclasses.dataclass(frozen=True)
class ServerFailure:
    """A failure that a server vouches for."""

    head: calls.AnswerHead
    body: bytes


class Sending:
    """One sending.

    Parameters
    ----------
    request : the `forwarding.Forwarding` that is sent.
    choice : `pool.Choice`, where to; the work counts as started there.
    work : `pool.Work`.
    """

    def __init__(self, request, choice, work):
        self.request = request
        self.gateway = request.gateway
        self.reply = request.reply
        self.route = request.route
        self.choice = choice
        self.work = work
        self.connection = None
        self.head = None

    async def run(self):
        """Send the request and pass its answer on.

        Returns None where the caller has its answer, or a `ServerFailure`. Raises
        `refusals.NotRun` or `refusals.Unknown`.
        """
        begun_ms = clock.now_ms()
        is_over = False
        try:
            await self.open()
            self.write()
            result = await self.take_answer()
            is_over = True
            return result
        finally:
            held_ms = clock.now_ms() - begun_ms
            self.gateway.pool.record_service_time(self.work.service, held_ms)
            self.gateway.release(self.choice.identity, self.work)
            self.put_away(is_over)

    def put_away(self, is_over):
        """Keep the connection for another request, or close it."""
        if self.connection is None:
            return
        if not is_over or self.head.is_last:
            self.connection.close()
            return
        identity = self.choice.identity
        self.gateway.connections.give_back(self.connection, identity, self.head.idle_s)

    # There.

    async def open(self):
        """Get a connection to the server, an idle one where there is one."""
        announcement = self.announcement()
        connections = self.gateway.connections
        self.connection = connections.take_idle(
            announcement.address, announcement.identity
        )
        if self.connection is None:
            try:
                self.connection = await connections.open(
                    announcement.address, CONNECT_TIMEOUT_MS
                )
            except upstream.ConnectFailed as error:
                raise refusals.NotRun("connect_failed", True) from error
        self.announcement()

    def announcement(self):
        """Return what the server announced; raise where it has left meanwhile."""
        server = self.gateway.pool.servers.get(self.choice.identity)
        if server is None:
            raise refusals.NotRun("server_left", False)
        return server.announcement

    def write(self):
        """Write the request; from now on it may have run."""
        request = self.request
        call = request.call
        remaining_ms = request.admitted.deadline_ms - clock.now_ms()
        if remaining_ms < 1:
            raise refusals.NotRun("time_over", False)
        cutter = self.reply.cutter
        headers = self.gateway.dialect.server_headers(
            call,
            self.choice.identity,
            request.admitted.workspace,
            remaining_ms,
            cutter.last_id if cutter else call.resume_after,
        )
        if request.body or call.method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(request.body))
        request.servers.append(self.choice.identity)
        request.sendings += 1
        request.runs += 1
        self.connection.send(call.method, call.target, headers, request.body)

    # Back.

    async def take_answer(self):
        """Read the answer and pass it on; return as `run` does."""
        started_ms = clock.now_ms()
        try:
            start_line, headers = await self.unless_silent(
                self.connection.read_head, self.head_silence_ms()
            )
        except upstream.AnswerBroken as error:
            raise refusals.Unknown("broken", True) from error
        self.head = self.gateway.dialect.read_answer(start_line, headers)
        self.check_head()
        if not self.is_success():
            return await self.take_failure()
        elapsed_ms = clock.now_ms() - started_ms
        self.gateway.pool.record_first_answer(
            self.choice.identity,
            self.work,
            elapsed_ms,
            self.choice.expected_first_answer_ms,
        )
        await self.pass_success()
        self.gateway.pool.succeeded(self.choice.identity)
        self.note_pace()
        return None

    def is_success(self):
        """Return whether the server says that it succeeded."""
        return 200 <= self.head.status < 300

    def check_head(self):
        """Raise where an answer is not this request's, or says it did not run."""
        head, request = self.head, self.request
        if head.attempt_id and request.identity and head.attempt_id != request.identity:
            raise refusals.Unknown("foreign_answer", False)
        if head.is_not_run:
            request.runs -= 1
            raise refusals.NotRun(f"not_run_{head.status}", True)
        if head.is_encoded:
            raise refusals.Unknown("encoded_answer", False)
        if self.is_success() and not head.is_signed:
            raise refusals.Unknown("unsigned_answer", False)

    async def take_failure(self):
        """Return the failure that the server vouches for."""
        head = self.head
        try:
            body = await self.connection.read_body(MAX_WHOLE_ANSWER_BYTES)
        except upstream.AnswerBroken as error:
            raise refusals.Unknown("broken_failure", False) from error
        self.gateway.pool.failed(self.choice.identity, clock.now_ms(), False)
        self.request.reasons.append(f"server_{head.status}")
        if not head.is_signed or head.status in PROMISES:
            raise refusals.Unknown(f"server_{head.status}", False)
        return ServerFailure(head, body)

    async def pass_success(self):
        """Pass a success on to the caller."""
        if self.route.kind is catalog.RouteKind.STREAM:
            await self.pass_stream()
            return
        try:
            body = await self.connection.read_body(MAX_WHOLE_ANSWER_BYTES)
        except upstream.AnswerBroken as error:
            raise refusals.Unknown("broken_body", True) from error
        self.reply.send_whole(self.head, body)

    async def pass_stream(self):
        """Pass a stream on as it comes; what breaks off may go on elsewhere."""
        self.reply.begin_stream(self.request.call.resume_after)
        try:
            while True:
                chunk = await self.unless_silent(
                    self.connection.read_chunk, STREAM_SILENCE_MS
                )
                if chunk is None:
                    break
                await self.reply.pass_events(self.head, chunk)
        except upstream.AnswerBroken as error:
            raise refusals.Unknown("broken_stream", True) from error
        await self.reply.end_stream(self.head)

    # Silence and pace.

    async def unless_silent(self, read, silence_ms):
        """Return what the server sends next.

        Raises `refusals.Unknown` where the server is silent and the request can go
        on at another one. Where it cannot, silence is no reason to end an answer.
        """
        while True:
            try:
                return await asyncio.wait_for(read(), silence_ms / 1000)
            except asyncio.TimeoutError:
                if self.request.can_move(self.work):
                    raise refusals.Unknown("silent", True) from None

    def head_silence_ms(self):
        """Return how long a server may be silent before it answers."""
        if self.route.kind is catalog.RouteKind.STREAM:
            return STREAM_SILENCE_MS
        return max(MIN_SILENCE_MS, SILENCE_GOALS * self.route.goal_ms)

    def note_pace(self):
        """Tell the pool how long a token took, where that can be told."""
        engine = self.gateway.pool.engines.get(self.work.service)
        is_only = len(self.request.servers) == 1
        if engine is None or not is_only or self.reply.events < MIN_PACE_EVENTS:
            return
        length_ms = self.reply.last_event_ms - self.reply.first_ms
        tokens = (self.reply.events - 1) * engine.tokens_an_event
        self.gateway.pool.record_token_time(self.choice.identity, length_ms / tokens)
