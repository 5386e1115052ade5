"""The way of one request through a gateway.

A request is admitted (route, key, lease, allotment), waits for room at a server,
is sent, and its answer is passed on. It is sent again only where a server proved
that it has not run, or where it may be repeated; and only within the bounds on
servers, time and second sendings.

Statuses are statements: 429 and 503 say that the request has not run and never
will, 502 and 504 say nothing about that. `may_have_run` keeps which is true.
"""

import asyncio
import dataclasses
import random

import orjson
from tornado import httputil, iostream

from brasstrail.coordination import pool
from brasstrail.core import catalog, clock, errors
from brasstrail.protocol import events
from brasstrail.transport import upstream

DEFAULT_LIMITS = catalog.CallerLimits()
# An answer that is on its way when the time is over is still waited for.
LAST_ANSWER_MS = 120
# A connection within a region is made in a few milliseconds, one that crosses in
# about a hundred; a lost packet costs a second anyway.
CONNECT_TIMEOUT_MS = 400
# A server that proves not to have run a request may be followed by so many others.
MAX_UNRUN_SENDINGS = 3
MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024
MIN_SERVICE_MS = 30
# A caller is told to come back after the expected wait, spread by this part.
RETRY_SPREAD = 0.25
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
# An idempotent request whose server is silent for so many times its goal goes to
# another one.
SILENCE_GOALS = 1.0
MIN_SILENCE_MS = 250
# A stream that may go on elsewhere does so after this silence of its server.
STREAM_SILENCE_MS = 2500


class Refused(Exception):
    """The request gets an answer of the system's own.

    Parameters
    ----------
    status : the HTTP status.
    reason : a short word for logs and metrics.
    retry_after_s : when to come back, or None.
    """

    def __init__(self, status, reason, retry_after_s=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRun(Exception):
    """The server has not run the request and never will."""

    def __init__(self, reason, rests):
        super().__init__(reason)
        self.reason = reason
        self.rests = rests


class Unknown(Exception):
    """The server may have run the request."""

    def __init__(self, reason, rests):
        super().__init__(reason)
        self.reason = reason
        self.rests = rests


class CallerGone(Exception):
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True)
class ServerFailure:
    """A failure that a server vouches for."""

    head: object
    body: bytes


class Forwarding:
    """One request of a caller.

    Parameters
    ----------
    gateway : `gateway.Gateway`.
    connection : the caller's connection.
    """

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.dialect = gateway.dialect
        self.arrived_ms = clock.now_ms()
        self.deadline_ms = self.arrived_ms
        self.identity = ""
        self.call = None
        self.body = b""
        self.route = None
        self.workspace = None
        self.tier = 0
        self.service = ""
        self.cost = 0.0
        self.sendings = 0
        self.runs = 0
        self.may_have_run = False
        self.head_sent = False
        self.cutter = None
        self.first_ms = None
        self.last_event_ms = None
        self.longest_pause_ms = 0
        self.waited_ms = 0
        self.servers = []
        self.tried = set()
        self.reasons = []
        self.status = 0

    # From the head to the end.

    async def run(self, start_line, headers, body):
        """Serve the request, and log what became of it."""
        outcome = "cancelled"
        try:
            outcome = await self.serve(start_line, headers, body)
        except Refused as refusal:
            outcome = refusal.reason
            self.refuse(refusal)
        except (CallerGone, iostream.StreamClosedError):
            outcome = "caller_gone"
        except asyncio.CancelledError:
            outcome = "caller_gone"
            raise
        finally:
            if not self.may_have_run and self.cost and not self.head_sent:
                self.gateway.allotments.give_back(self.workspace, self.cost)
            self.note(outcome)

    async def serve(self, start_line, headers, body):
        """Admit the request and bring it to its end within its time."""
        try:
            self.call = self.dialect.read_call(start_line, headers)
        except errors.BadRequest as error:
            raise Refused(400, error.code) from error
        self.identity = self.call.attempt_id
        self.body = body
        self.admit()
        left_ms = self.deadline_ms + LAST_ANSWER_MS - clock.now_ms()
        try:
            return await asyncio.wait_for(self.bring_to_server(), left_ms / 1000)
        except asyncio.TimeoutError:
            if self.head_sent:
                self.connection.close()
                return "cut_at_time_limit"
            if self.may_have_run:
                raise Refused(504, "time_limit") from None
            raise Refused(503, "no_room_in_time", self.retry_after_s()) from None

    def admit(self):
        """Find the route and check the key, the lease and the allotment."""
        gateway = self.gateway
        if not gateway.takes_requests:
            raise Refused(503, "stopping", MIN_RETRY_S)
        if gateway.catalog is None:
            raise Refused(503, "no_document", 1.0)
        if gateway.held_bytes > gateway.settings.max_held_bytes:
            raise Refused(503, "memory", 1.0)
        has_lease = gateway.has_lease() or not gateway.settings.fails_closed
        self.route = gateway.catalog.find_route(self.call.host, self.call.path)
        if self.route is None:
            raise Refused(404, "no_route") if has_lease else Refused(503, "lease", 1.0)
        self.tier = self.route.tier
        self.set_deadline()
        self.check_key(has_lease)
        self.service = catalog.choose_service(self.route, random.random())
        gateway.budget.note_request(self.service, self.arrived_ms)
        self.take_allotment()

    def set_deadline(self):
        """Set the time at which the caller waits no longer."""
        limit_ms = self.route.time_limit_ms
        if self.call.deadline_ms is not None:
            limit_ms = min(limit_ms, self.call.deadline_ms)
        self.deadline_ms = self.arrived_ms + limit_ms

    def check_key(self, has_lease):
        """Find the caller's workspace."""
        known = self.gateway.catalog
        access = known.workspaces_by_key.get(self.call.key)
        if access is not None:
            self.workspace = access.workspace
            self.tier = access.tier or self.tier
        if not known.workspaces or self.route.is_public:
            return
        if not has_lease:
            raise Refused(503, "lease", 1.0)
        if access is None:
            raise Refused(401, "unknown_key")

    def take_allotment(self):
        """Take the request's cost from its workspace."""
        if self.workspace is None:
            return
        access = self.gateway.catalog.workspaces_by_key[self.call.key]
        cost = self.cost_of(access.allotment)
        wait_s = self.gateway.allotments.take(self.workspace, cost, self.arrived_ms)
        if wait_s:
            raise Refused(429, "allotment", max(MIN_RETRY_S, wait_s))
        self.cost = cost
        self.gateway.gossip.send_soon()

    def cost_of(self, allotment):
        """Return what the request takes from an allotment."""
        if allotment.unit is catalog.AllotmentUnit.REQUESTS:
            return 1.0
        prompt = self.call.prompt
        if prompt is None:
            return allotment.default_tokens
        return float(prompt.input_tokens + prompt.max_output_tokens)

    # Servers.

    def work(self):
        """Return what the request asks of a server."""
        prompt = self.call.prompt
        return pool.Work(
            self.identity,
            self.service,
            (self.tier, self.route.tier),
            self.arrived_ms,
            int(self.arrived_ms + self.route.goal_ms),
            int(self.deadline_ms),
            prompt.input_tokens if prompt else 0,
            prompt.expected_output_tokens if prompt else 0,
            prompt.parts if prompt else (),
        )

    async def bring_to_server(self):
        """Send the request until it has an answer; return the outcome's word."""
        work = self.work()
        self.gateway.pool.note_arrival(work)
        tried = self.tried
        failure = None
        while True:
            try:
                choice = await self.find_room(work, tried)
            except Refused:
                if failure is not None:
                    return self.pass_failure(failure)
                raise
            tried.add(choice.identity)
            try:
                result = await self.attempt(choice, work)
            except NotRun as error:
                self.note_failure(choice, error)
                self.check_unrun(error)
            except Unknown as error:
                self.note_failure(choice, error)
                self.check_repeat(error)
            else:
                if not isinstance(result, ServerFailure):
                    return result
                failure = result
                if not self.may_repeat():
                    return self.pass_failure(failure)

    async def find_room(self, work, tried):
        """Return the choice of a server; raise `Refused` where none is in time."""
        gateway = self.gateway
        now_ms = clock.now_ms()
        if not gateway.pool.has_servers(self.service):
            raise Refused(self.final_status(), "no_server", 1.0)
        last_ms = self.first_answer_by_ms() - self.service_ms(work)
        wait_ms = gateway.pool.expected_wait_ms(work, now_ms)
        if now_ms + wait_ms > last_ms:
            raise Refused(self.final_status(), "overload", self.retry_after_s())
        choice = await gateway.wait_for_turn(
            work, frozenset(tried), max(1, last_ms - now_ms)
        )
        if choice is None:
            raise Refused(self.final_status(), "no_room", self.retry_after_s())
        self.waited_ms += clock.now_ms() - now_ms
        self.log_choice(choice)
        return choice

    def first_answer_by_ms(self):
        """Return when the caller leaves if nothing more has come."""
        heard_ms = self.last_event_ms or self.arrived_ms
        return min(self.deadline_ms, heard_ms + self.route.patience_ms)

    def service_ms(self, work):
        """Return the least time that a server needs for a first answer."""
        return MIN_SERVICE_MS + work.input_tokens / pool.FIRST_TOKENS_PER_MS

    def final_status(self):
        """Return the status that says truly whether the request has run."""
        return 502 if self.may_have_run else 503

    def retry_after_s(self):
        """Return when room is expected, spread over the callers who wait."""
        pooled = self.gateway.pool
        wait_s = pooled.expected_wait_ms(self.work(), clock.now_ms()) / 1000
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        return wait_s * random.uniform(1.0, 1.0 + 2 * RETRY_SPREAD)

    def check_unrun(self, error):
        """Go on after a server that has not run the request, or refuse."""
        if self.sendings - self.runs >= MAX_UNRUN_SENDINGS:
            raise Refused(self.final_status(), error.reason, self.retry_after_s())
        if self.sendings and not self.take_sending():
            raise Refused(self.final_status(), error.reason, self.retry_after_s())

    def check_repeat(self, error):
        """Go on after a server that may have run the request, or refuse."""
        if not self.may_repeat():
            raise Refused(502, error.reason)

    def may_repeat(self):
        """Return whether the request may run once more; takes from the budget."""
        if not self.route.is_repeatable or self.runs >= self.route.max_servers:
            return False
        return self.take_sending()

    def take_sending(self):
        """Take a second sending from the budget; return whether there was one."""
        return self.gateway.budget.take(self.service, clock.now_ms())

    def note_failure(self, choice, error):
        """Remember what a server did."""
        self.reasons.append(error.reason)
        self.gateway.pool.failed(choice.identity, clock.now_ms(), error.rests)
        self.gateway.metrics.count("gateway_failed_sendings", reason=error.reason)

    # One sending.

    async def attempt(self, choice, work):
        """Send the request to a server and pass its answer on."""
        gateway = self.gateway
        server = gateway.pool.servers.get(choice.identity)
        connection = None
        idle_s = None
        is_kept = False
        begun_ms = clock.now_ms()
        try:
            if server is None:
                raise NotRun("server_left", False)
            announcement = server.announcement
            connection = await self.connect(announcement)
            if choice.identity not in gateway.pool.servers:
                raise NotRun("server_left", False)
            self.servers.append(choice.identity)
            self.send(connection, choice.identity)
            head, result = await self.take_answer(connection, choice, work)
            idle_s = head.idle_s
            is_kept = not head.is_last
            return result
        finally:
            gateway.pool.note_hold(self.service, clock.now_ms() - begun_ms)
            gateway.release(choice.identity, work)
            if connection is not None:
                if is_kept:
                    gateway.connections.give_back(connection, choice.identity, idle_s)
                else:
                    connection.close()

    async def connect(self, announcement):
        """Return a connection to a server, an idle one where there is one."""
        connections = self.gateway.connections
        kept = connections.take_idle(announcement.address, announcement.identity)
        if kept is not None:
            return kept
        try:
            return await connections.open(announcement.address, CONNECT_TIMEOUT_MS)
        except upstream.ConnectFailed as error:
            raise NotRun("connect_failed", True) from error

    def send(self, connection, identity):
        """Write the request; from now on it may have run."""
        remaining_ms = self.deadline_ms - clock.now_ms()
        if remaining_ms < 1:
            raise NotRun("time_over", False)
        resume_after = self.cutter.last_id if self.cutter else self.call.resume_after
        headers = self.dialect.server_headers(
            self.call, identity, self.workspace, remaining_ms, resume_after
        )
        if self.body or self.call.method not in ("GET", "HEAD"):
            headers["Content-Length"] = str(len(self.body))
        self.sendings += 1
        self.runs += 1
        self.may_have_run = True
        connection.send(self.call.method, self.call.target, headers, self.body)

    async def take_answer(self, connection, choice, work):
        """Read the answer; return its head and the outcome."""
        started_ms = clock.now_ms()
        expected_ms = choice.load_ms
        try:
            start_line, headers = await self.unless_silent(
                connection.read_head, self.head_silence_ms(), work
            )
        except upstream.AnswerBroken as error:
            raise Unknown("broken", True) from error
        head = self.dialect.read_answer(start_line, headers)
        self.check_head(head)
        elapsed_ms = clock.now_ms() - started_ms
        if 200 <= head.status < 300:
            self.gateway.pool.first_answer(
                choice.identity, work, elapsed_ms, expected_ms
            )
            result = await self.take_success(connection, head, work)
            self.gateway.pool.succeeded(choice.identity)
            self.note_pace(choice)
            return head, result
        return head, await self.take_failure(connection, choice, head)

    async def unless_silent(self, read, silence_ms, work):
        """Return what a server sends next.

        Raises `Unknown` where the server is silent and the request can go on at
        another one. Where it cannot, silence is no reason to end an answer.
        """
        while True:
            try:
                return await asyncio.wait_for(read(), silence_ms / 1000)
            except asyncio.TimeoutError:
                if self.can_move(work):
                    raise Unknown("silent", True) from None

    def can_move(self, work):
        """Return whether the request may go on at another server that has room."""
        if not self.route.is_repeatable or self.runs >= self.route.max_servers:
            return False
        now_ms = clock.now_ms()
        if not self.gateway.budget.has_room(self.service, now_ms):
            return False
        return self.gateway.pool.choose(work, self.tried, now_ms) is not None

    def head_silence_ms(self):
        """Return how long a server may be silent before it answers."""
        if self.route.kind is catalog.RouteKind.STREAM:
            return STREAM_SILENCE_MS
        return max(MIN_SILENCE_MS, SILENCE_GOALS * self.route.goal_ms)

    def check_head(self, head):
        """Raise where an answer is not this request's, or says it did not run."""
        if head.attempt_id and self.identity and head.attempt_id != self.identity:
            raise Unknown("foreign_answer", False)
        if head.is_not_run:
            self.runs -= 1
            self.may_have_run = self.runs > 0
            raise NotRun(f"not_run_{head.status}", True)
        if head.is_encoded:
            raise Unknown("encoded_answer", False)
        if 200 <= head.status < 300 and not head.is_signed:
            raise Unknown("unsigned_answer", False)

    async def take_failure(self, connection, choice, head):
        """Read a server's failure."""
        try:
            body = await connection.read_body(MAX_BUFFERED_ANSWER_BYTES)
        except upstream.AnswerBroken as error:
            raise Unknown("broken_failure", False) from error
        self.gateway.pool.failed(choice.identity, clock.now_ms(), False)
        self.reasons.append(f"server_{head.status}")
        if not head.is_signed or head.status in (408, 421, 429, 503):
            raise Unknown(f"server_{head.status}", False)
        return ServerFailure(head, body)

    # Answers.

    async def take_success(self, connection, head, work):
        """Pass a success on; return the outcome's word."""
        if self.route.kind is catalog.RouteKind.STREAM:
            return await self.pass_stream(connection, head, work)
        try:
            body = await connection.read_body(MAX_BUFFERED_ANSWER_BYTES)
        except upstream.AnswerBroken as error:
            raise Unknown("broken_body", True) from error
        self.first_ms = clock.now_ms()
        self.send_whole(head.status, head.reason, head.headers, body)
        return "answered"

    def pass_failure(self, failure):
        """Pass a server's failure on as it came."""
        head = failure.head
        self.send_whole(head.status, head.reason, head.headers, failure.body)
        return "server_failed"

    def send_whole(self, status, reason, headers, body):
        """Send the caller a whole answer."""
        kept = httputil.HTTPHeaders()
        for name, value in headers:
            kept.add(name, value)
        kept["Content-Length"] = str(len(body))
        self.write_head(status, reason, kept, body)
        self.connection.finish()

    def write_head(self, status, reason, headers, chunk=None):
        """Write the head of the caller's answer."""
        if self.gateway.stopping_ms is not None:
            headers["Connection"] = "close"
            # The connection closes itself once the answer is written.
            self.connection._disconnect_on_finish = True
        self.head_sent = True
        self.status = status
        start_line = httputil.ResponseStartLine("", status, reason)
        return self.connection.write_headers(start_line, headers, chunk)

    def note_pace(self, choice):
        """Tell the pool how long a token took, where that can be told."""
        engine = self.gateway.pool.engines.get(self.service)
        events_after = self.cutter.events - 1 if self.cutter else 0
        if engine is None or events_after < 2 or len(self.servers) > 1:
            return
        length_ms = self.last_event_ms - self.first_ms
        token_ms = length_ms / events_after / engine.tokens_an_event
        self.gateway.pool.note_pace(choice.identity, token_ms)

    async def pass_stream(self, connection, head, work):
        """Pass a stream on as it comes."""
        if self.cutter is None:
            self.cutter = events.EventCutter(self.call.resume_after)
        else:
            self.cutter.restart()
        try:
            while True:
                chunk = await self.unless_silent(
                    connection.read_chunk, STREAM_SILENCE_MS, work
                )
                if chunk is None:
                    break
                await self.pass_part(head, chunk)
        except upstream.AnswerBroken as error:
            return self.stream_broke(error)
        if not self.head_sent:
            self.write_stream_head(head)
        if self.cutter.partial:
            await self.connection.write(self.cutter.partial)
        self.connection.finish()
        return "answered"

    async def pass_part(self, head, chunk):
        """Write the events that are whole; nothing before the first one."""
        whole = self.cutter.feed(chunk)
        if not whole:
            return
        self.note_events()
        if not self.head_sent:
            self.write_stream_head(head)
        if self.connection.stream.closed():
            raise CallerGone()
        await self.connection.write(whole)

    def note_events(self):
        """Note when events came, from which pauses are measured."""
        now_ms = clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            pause_ms = now_ms - self.last_event_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_event_ms = now_ms

    def write_stream_head(self, head):
        """Write the head of a stream, whose length is not known."""
        kept = httputil.HTTPHeaders()
        for name, value in head.headers:
            kept.add(name, value)
        self.write_head(head.status, head.reason, kept)

    def stream_broke(self, error):
        """Go on elsewhere, or break off as the server did."""
        if not self.route.is_resumable and self.head_sent:
            self.connection.close()
            self.reasons.append("broken_stream")
            return "broken_stream"
        raise Unknown("broken_stream", True) from error

    def refuse(self, refusal):
        """Send an answer of the system's own."""
        if self.head_sent:
            self.connection.close()
            return
        if self.connection.stream.closed():
            return
        headers = self.dialect.refusal_headers(self.call, refusal.retry_after_s)
        text = {"error": {"code": refusal.reason, "ran": self.ran_word()}}
        body = orjson.dumps(text)
        headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(refusal.status, "Failed")
        self.write_head(refusal.status, reason, headers, body)
        self.connection.finish()

    def ran_word(self):
        """Return what is known about the execution of the request."""
        return "unknown" if self.may_have_run else "not_run"

    # What is told about it.

    def log_choice(self, choice):
        """Log where the request goes, and what decided it."""
        self.gateway.log.debug(
            "forwarding: A server is chosen.",
            id=self.identity,
            server=choice.identity,
            score_ms=round(choice.score_ms, 1),
            running=choice.running,
            others=choice.others,
            candidates=choice.candidates,
        )

    def note(self, outcome):
        """Log and count what became of the request."""
        gateway = self.gateway
        now_ms = clock.now_ms()
        prompt = self.call.prompt if self.call else None
        first_ms = None if self.first_ms is None else self.first_ms - self.arrived_ms
        gateway.log.info(
            "forwarding: A request ended.",
            id=self.identity,
            outcome=outcome,
            status=self.status,
            route=self.route.name if self.route else "",
            tier=self.tier,
            route_tier=self.route.tier if self.route else 0,
            input_tokens=prompt.input_tokens if prompt else 0,
            workspace=self.workspace or "",
            service=self.service,
            servers=",".join(self.servers),
            reasons=",".join(self.reasons),
            waited_ms=self.waited_ms,
            first_ms=first_ms,
            longest_pause_ms=self.longest_pause_ms,
            events=self.cutter.events if self.cutter else 0,
            total_ms=now_ms - self.arrived_ms,
            waiting=len(gateway.pool.waiting),
            version=gateway.document_version,
            lease_age_ms=gateway.subscription.lease_age_ms(),
        )
        gateway.metrics.count("gateway_requests", outcome=outcome, tier=self.tier)
        total_s = (now_ms - self.arrived_ms) / 1000
        gateway.metrics.record("gateway_request", total_s, tier=self.tier)
