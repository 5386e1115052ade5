"""One attempt to send a request to one server and to relay its answer.

A valid answer is signed, carries the request's attempt id and is complete. Anything
else is a failure that states whether the request may have run.
"""

import asyncio
import contextlib
import dataclasses

from brasstrail.coordination import limits
from brasstrail.core import calls, catalog, clock
from brasstrail.protocol import events
from brasstrail.roles import refusals, starts
from brasstrail.transport import upstream

# A connection takes a few milliseconds to open within a region and about 100 ms
# between regions. A lost packet costs a second in any case, which is longer than this
# time-out.
CONNECT_TIMEOUT_MS = 400
# A server answers when it started without waiting for a slot. The time is that of a new
# connection: a round trip between regions, and a busy host.
START_TIMEOUT_MS = 400
MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024
# An idempotent request fails over to another server if its server sends nothing for
# this multiple of the route's goal.
SILENCE_TIMEOUT_GOALS = 1.0
MIN_SILENCE_TIMEOUT_MS = 250
# A stream that may resume at another server does so if its server sends nothing for
# this long.
STREAM_SILENCE_TIMEOUT_MS = 2500
# The status of a server that is not the expected one.
MISDIRECTED_STATUS = 421
# Statuses that claim that a request has not run; only `is_not_run` proves it.
REFUSAL_STATUSES = (408, 421, 429, 503)
# Minimum number of events in an answer from which the time per token is measured.
MIN_TOKEN_TIME_EVENTS = 3


@dataclasses.dataclass(frozen=True)
class ServerFailure:
    """A failed answer that is signed by the server."""

    head: calls.AnswerHead
    body: bytes


class Attempt:
    """One attempt to send a request to one server.

    It differs from `exchange.Attempt`, which an entry makes through an agent.

    Parameters
    ----------
    request : the `forwarding.ForwardedRequest` to send.
    place : `places.Place` at the target server, which the caller releases.
    work : `pool.Work` of the request.

    Attributes
    ----------
    choice : `pool.Choice` of the target server.
    is_complete : whether the whole answer was received.
    tracked_run : `suspects.Run`, or None before the request is written.
    sent_to : the `servers.Announcement` of the server when the request was written.
    transferred_bytes : the size of the body that was sent and of what was received.
    version_run : `canary.Run`, or None without a roll-out in progress.
    """

    def __init__(self, request, place, work):
        self.request = request
        self.gateway = request.gateway
        self.reply = request.reply
        self.route = request.route
        self.place = place
        self.choice = place.choice
        self.work = work
        self.is_complete = False
        self.connection = None
        self.head = None
        self.tracked_run = None
        self.sent_to = None
        self.transferred_bytes = 0
        self.version_run = None

    async def run(self):
        """Send the request and relay its answer to the caller.

        Returns None if the caller received the answer, or a `ServerFailure`. Raises
        `refusals.NotRun`, `refusals.ExecutionUnknown`, or `refusals.Refused` if the
        request is held back meanwhile.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self.record_service_time, clock.now_ms())
            stack.callback(self.release_connection)
            stack.callback(self.record_end)
            stack.callback(self.record_bytes)
            stack.callback(self.end_tracking)
            stack.push(self.record_version_outcome)
            try:
                await self.open()
                self.write()
                result = await self.receive_answer()
                self.is_complete = True
                self.gateway.crashes.complete(self.tracked_run, self.is_success())
                return result
            except refusals.ServerBrokeOff as error:
                self.gateway.crashes.break_off(self.tracked_run, error.reason)
                raise

    def record_service_time(self, started_ms):
        """Record how long the request has occupied the server."""
        held_ms = clock.now_ms() - started_ms
        work = self.work if self.is_complete and self.is_success() else None
        self.gateway.pool.record_service_time(self.work.service, held_ms, work)

    def end_tracking(self):
        """Give up the tracked run, unless its end is known, and end its trials.

        The server may still be found to have ended.
        """
        if self.tracked_run is not None:
            self.gateway.crashes.leave(self.tracked_run)
        self.gateway.crashes.end_trials(self.request)

    def record_version_outcome(self, error_type, error, traceback):
        """Count the outcome for a roll-out; the parameters are those of an exit."""
        self.gateway.canary.end(self, error)

    def record_first_time(self):
        """Record for a roll-out when the first answer, or the first event, came."""
        run = self.version_run
        if run is not None and run.first_ms is None:
            run.first_ms = clock.now_ms() - run.sent_ms

    def record_end(self):
        """Record for the log how the server's answer was framed and how it ended."""
        if self.connection is None or self.tracked_run is None:
            return
        self.request.framings.append(self.connection.framing or "none")
        self.request.server_ends.append(self.connection.end or "unread")

    def record_bytes(self):
        """Count the bytes of the request and its answer by distance."""
        if self.transferred_bytes:
            self.gateway.metrics.count(
                "gateway_distance_bytes",
                self.transferred_bytes,
                distance=str(self.choice.distance),
            )

    def release_connection(self):
        """Return the connection to the pool for reuse, or close it."""
        if self.connection is None:
            return
        if not self.is_complete or self.head.closes_connection:
            self.connection.close()
            return
        identity = self.choice.identity
        self.gateway.connections.release(
            self.connection, identity, self.head.keep_alive_timeout_s
        )

    # Request.

    async def open(self):
        """Take an idle connection to the server, or open a new one.

        A request without an id always gets a new one: nothing would tell its answer
        from that of an earlier request.
        """
        announcement = self.announcement()
        connections = self.gateway.connections
        if self.request.identity:
            self.connection = connections.take_idle(
                announcement.address, announcement.identity
            )
        if self.connection is None:
            self.connection = await self.connect(announcement)
        # The server may have left while the connection was opened.
        self.sent_to = self.announcement()
        self.check_available()
        if self.work.software is not None:
            await self.verify_start()

    async def connect(self, announcement):
        """Return a new connection to the server; tell the pool's zones of it."""
        server_zones = self.gateway.pool.zones
        started_ms = clock.now_ms()
        try:
            connection = await self.gateway.connections.open(
                announcement.address, CONNECT_TIMEOUT_MS
            )
        except upstream.ConnectRefused as error:
            raise refusals.NotRun("connect_failed", True) from error
        except upstream.ConnectFailed as error:
            if server_zones is not None:
                server_zones.record_connect_failure(
                    announcement.data_centre, clock.now_ms()
                )
            raise refusals.NotRun("connect_failed", True) from error
        if server_zones is not None:
            elapsed_ms = clock.now_ms() - started_ms
            server_zones.record_connect(announcement.data_centre, elapsed_ms)
        return connection

    async def verify_start(self):
        """Ask the server on its connection when it started.

        Raises `refusals.NotRun` unless that is the start with the software that the
        stream needs: it may have started again since it was last heard of.
        """
        try:
            async with asyncio.timeout(START_TIMEOUT_MS / 1000):
                born_ms = await starts.ask_start(self.gateway.dialect, self.connection)
        except (upstream.AnswerIncomplete, asyncio.TimeoutError) as error:
            raise refusals.NotRun("start_unknown", True) from error
        if born_ms is None or not self.connection.is_ready_for_next():
            raise refusals.NotRun("start_unknown", False)
        if born_ms != self.sent_to.born_ms:
            raise refusals.NotRun("server_replaced", False)

    def announcement(self):
        """Return the server's announcement; raise `NotRun` if the server has left."""
        server = self.gateway.pool.servers.get(self.choice.identity)
        if server is None:
            raise refusals.NotRun("server_left", False)
        return server.announcement

    def check_available(self):
        """Raise `refusals.ServerUnavailable` if the request must not be written now.

        The server rests or leaves, or its permit has run out while the connection was
        opened, or while this process was held up.
        """
        start = self.sent_to.identity, self.sent_to.born_ms
        permit = self.choice.permit
        if permit is not None and (
            clock.now_ms() - permit.granted_ms
            > limits.PERMIT_VALIDITY_MS + CONNECT_TIMEOUT_MS
        ):
            raise refusals.ServerUnavailable("permit_expired", False)
        if start in self.gateway.pool.departures:
            raise refusals.ServerUnavailable("server_leaves", False)
        if self.gateway.pool.rests.until_ms(start, clock.now_ms()) is not None:
            raise refusals.ServerUnavailable("server_rests", False)
        if not self.gateway.canary.permits(self.request, self.sent_to):
            raise refusals.ServerUnavailable("version_excluded", False)

    def write(self):
        """Send the request; from now on it counts as one that may have run."""
        request = self.request
        call = request.call
        self.check_available()
        remaining_ms = request.admitted.deadline_ms - clock.now_ms()
        if remaining_ms < 1:
            raise refusals.NotRun("time_over", False)
        self.gateway.crashes.check(request)
        event_cutter = self.reply.event_cutter
        headers = self.gateway.dialect.server_headers(
            call,
            self.choice.identity,
            request.admitted.workspace,
            remaining_ms,
            event_cutter.last_id if event_cutter else call.resume_after,
        )
        if request.body or call.method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(request.body))
        request.servers.append(self.choice.identity)
        request.versions.append(self.gateway.pool.version(self.choice.identity))
        request.attempts_made += 1
        request.runs += 1
        request.retry_charged_ms = None
        self.place.is_used = True
        self.tracked_run = self.gateway.crashes.begin(request, self.choice.identity)
        self.version_run = self.gateway.canary.begin(request, self.sent_to)
        self.connection.on_interim = self.read_interim
        self.transferred_bytes += len(request.body)
        self.connection.send(call.method, call.target, headers, request.body)

    # Answer.

    async def receive_answer(self):
        """Read the answer and relay it; return the same values as `run`."""
        started_ms = clock.now_ms()
        try:
            start_line, headers = await self.read_with_silence_timeout(
                self.connection.read_head, self.head_silence_timeout_ms()
            )
        except upstream.AnswerIncomplete as error:
            raise refusals.ServerBrokeOff("broken", True) from error
        self.gateway.crashes.record_answer(self.tracked_run, self.connection.opened_ms)
        self.head = self.gateway.dialect.read_answer(start_line, headers)
        self.record_limit()
        self.record_rest()
        self.record_load()
        if self.head.is_leaving:
            self.record_departure()
        self.check_head()
        if not self.is_success():
            return await self.receive_failure()
        elapsed_ms = clock.now_ms() - started_ms
        self.gateway.pool.record_first_answer(
            self.choice.identity,
            self.work,
            elapsed_ms,
            self.choice.expected_first_answer_ms,
        )
        await self.relay_success()
        self.gateway.pool.succeeded(self.choice.identity)
        self.record_token_time()
        return None

    def is_success(self):
        """Return whether the answer has a 2xx status."""
        return 200 <= self.head.status < 300

    def record_limit(self):
        """Record the limit that the server names, or that it names none.

        An answer that belongs to another request, or to another server, says nothing.
        """
        head = self.head
        if self.is_from_other_server() or head.status == MISDIRECTED_STATUS:
            return
        if head.is_limit_readable:
            self.gateway.limits.record_answer(
                self.sent_to, head.limit_per_s, self.tracked_run.sent_ms
            )

    def is_from_other_server(self):
        """Return whether the answer names another request or another server."""
        head, request = self.head, self.request
        is_foreign = head.attempt_id and head.attempt_id != request.identity
        is_other_server = head.identity and head.identity != self.choice.identity
        return bool(is_foreign or is_other_server)

    def record_load(self):
        """Record the load that the server reports, in a refusal as well.

        A misdirected request was answered by another start than the one it was sent to.
        """
        report = self.head.load
        if report is None or self.head.status == MISDIRECTED_STATUS:
            return
        if self.is_from_other_server():
            return
        start = self.sent_to.identity, self.sent_to.born_ms
        self.gateway.pool.record_report(start, report, clock.now_ms())
        tells_host = "no" if report.host_factor is None else "yes"
        self.gateway.metrics.count("gateway_load_reports", host_factor=tells_host)

    def read_interim(self, start_line, headers):
        """Read an interim answer, of which only a departure matters."""
        if self.gateway.dialect.says_leaving(headers):
            self.record_departure()

    def record_departure(self):
        """Record that the server leaves."""
        start = self.sent_to.identity, self.sent_to.born_ms
        self.gateway.record_departure(start, self.request.identity, clock.now_ms())

    def record_rest(self):
        """Record the rest that the server asks for, or that it has answered.

        It does not matter which request the answer belongs to, only which server it
        comes from.
        """
        head, start = self.head, (self.sent_to.identity, self.sent_to.born_ms)
        if head.identity and head.identity != self.choice.identity:
            return
        now_ms = clock.now_ms()
        rests = self.gateway.pool.rests
        if head.rest_s is None:
            rests.record_answer(start, now_ms)
            return
        rest = rests.ask(start, head.rest_s, self.request.identity, now_ms)
        self.gateway.metrics.count("gateway_rests")
        self.gateway.log.info(
            "sending: A server asks for rest.",
            id=self.request.identity,
            server=start[0],
            born=start[1],
            asked_s=head.rest_s,
            left_s=round((rest.until_ms - now_ms) / 1000, 3),
            decided_by=rest.attempt_id,
        )

    def check_head(self):
        """Raise if the answer is invalid, or proves that the request has not run.

        A refusal proves that of the request which it names, and of no other: it may be
        a copy of an earlier one. An answer that names no request counts only if it can
        belong to none before.
        """
        head, request = self.head, self.request
        if head.attempt_id and request.identity and head.attempt_id != request.identity:
            raise refusals.ExecutionUnknown("foreign_answer", False)
        names_request = head.attempt_id == request.identity
        if head.is_not_run and not names_request:
            raise refusals.ExecutionUnknown("unnamed_refusal", False)
        if not names_request and self.connection.requests_sent > 1:
            raise refusals.ExecutionUnknown("unnamed_answer", False)
        if head.is_not_run:
            request.runs -= 1
            self.gateway.crashes.discard(self.tracked_run)
            raise refusals.NotRun(f"not_run_{head.status}", head.rest_s is None)
        if head.is_encoded:
            raise refusals.ExecutionUnknown("encoded_answer", False)
        if self.is_success() and not head.is_signed:
            raise refusals.ExecutionUnknown("unsigned_answer", False)

    async def receive_failure(self):
        """Return the failed answer as a `ServerFailure`.

        Raises `refusals.ExecutionUnknown` if the answer is incomplete or unsigned, or
        if its status is one of `REFUSAL_STATUSES`.
        """
        head = self.head
        try:
            body = await self.connection.read_body(MAX_BUFFERED_ANSWER_BYTES)
        except upstream.AnswerTooLarge as error:
            raise refusals.ExecutionUnknown("answer_too_large", False) from error
        except upstream.AnswerIncomplete as error:
            raise refusals.ServerBrokeOff("broken_failure", False) from error
        if head.rest_s is None:
            self.gateway.pool.failed(self.choice.identity, clock.now_ms(), False)
        self.request.reasons.append(f"server_{head.status}")
        if not head.is_signed or head.status in REFUSAL_STATUSES:
            raise refusals.ExecutionUnknown(f"server_{head.status}", False)
        return ServerFailure(head, body)

    async def relay_success(self):
        """Relay a successful answer to the caller."""
        if self.reply.head_sent and not self.continues_stream():
            raise refusals.ExecutionUnknown("no_event_stream", True)
        if self.is_event_stream():
            await self.relay_stream()
            return
        self.record_first_time()
        try:
            body = await self.connection.read_body(MAX_BUFFERED_ANSWER_BYTES)
        except upstream.AnswerTooLarge as error:
            raise refusals.ExecutionUnknown("answer_too_large", True) from error
        except upstream.AnswerIncomplete as error:
            raise refusals.ServerBrokeOff("broken_body", True) from error
        self.transferred_bytes += len(body)
        self.reply.send_complete(self.head, body)

    def is_event_stream(self):
        """Return whether a successful answer is an event stream.

        An answer on a stream's route that does not state its type is taken for one.
        """
        content_type = self.head.content_type or events.MEDIA_TYPE
        is_stream_route = self.route.kind is catalog.RouteKind.STREAM
        return is_stream_route and events.is_event_stream(content_type)

    def continues_stream(self):
        """Return whether an answer may be the rest of the stream that has begun.

        It has the status of the stream's first answer, and the type that this stated.
        """
        first = self.reply.head
        states_type = bool(self.head.content_type) or not first.content_type
        has_status = self.head.status == first.status
        return has_status and states_type and self.is_event_stream()

    async def relay_stream(self):
        """Relay a stream as it arrives; if it breaks, another server may resume it."""
        self.reply.begin_stream(self.request.call.resume_after)
        try:
            while True:
                chunk = await self.read_with_silence_timeout(
                    self.connection.read_chunk, STREAM_SILENCE_TIMEOUT_MS
                )
                if chunk is None:
                    break
                self.transferred_bytes += len(chunk)
                complete_events = self.reply.event_cutter.feed(chunk)
                if complete_events:
                    self.record_first_time()
                    opened_ms = self.connection.opened_ms
                    self.request.begin_stream(self.sent_to, opened_ms)
                    await self.reply.write_events(self.head, complete_events)
        except upstream.AnswerIncomplete as error:
            raise refusals.ServerBrokeOff("broken_stream", True) from error
        except events.EventTooLarge as error:
            raise refusals.ExecutionUnknown("event_too_large", True) from error
        self.check_stream_end()
        await self.reply.end_stream(self.head)

    def check_stream_end(self):
        """Raise if a stream that has ended in order was broken off.

        A stream that ends within an event was broken off, whatever its framing says.
        So was one that only its connection frames, if it has no event and one is due;
        without any event it also proves nothing of a stream that broke off before.
        """
        cutter = self.reply.event_cutter
        is_framed = self.connection.framing is not upstream.Framing.CONNECTION
        needs_event = cutter.expects_event or (
            self.reply.head_sent and not cutter.has_event_of_run
        )
        if cutter.is_inside_event or (needs_event and not is_framed):
            raise refusals.ServerBrokeOff("stream_cut_short", True)

    # Silence time-outs and time per token.

    async def read_with_silence_timeout(self, read, timeout_ms):
        """Return what the server sends next.

        Raises `refusals.ExecutionUnknown` if the server sends nothing for `timeout_ms`
        and the request can fail over to another server. Otherwise the wait continues,
        because silence alone is no reason to end an answer.
        """
        while True:
            try:
                # `wait_for` drops a cancellation that comes together with a result, so
                # that a request would outlive its deadline as long as bytes arrive.
                async with asyncio.timeout(timeout_ms / 1000):
                    received = await read()
            except TimeoutError:
                if self.request.can_fail_over():
                    raise refusals.ExecutionUnknown("silent", True) from None
            else:
                now_ms = clock.now_ms()
                self.gateway.pool.record_heard(self.choice.identity, now_ms)
                return received

    def head_silence_timeout_ms(self):
        """Return the time-out for the head of the answer, in milliseconds."""
        if self.route.kind is catalog.RouteKind.STREAM:
            return STREAM_SILENCE_TIMEOUT_MS
        return max(MIN_SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_GOALS * self.route.goal_ms)

    def record_token_time(self):
        """Report the measured time per token to the pool, if it can be measured."""
        engine = self.gateway.pool.engines.get(self.work.service)
        is_single_server = len(self.request.servers) == 1
        if (
            engine is None
            or not is_single_server
            or self.reply.events < MIN_TOKEN_TIME_EVENTS
        ):
            return
        duration_ms = self.reply.last_event_ms - self.reply.first_ms
        tokens = (self.reply.events - 1) * engine.tokens_per_event
        self.gateway.pool.record_token_time(self.choice.identity, duration_ms / tokens)
