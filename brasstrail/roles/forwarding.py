"""The way of one request through a gateway.

A request is admitted, waits for room at a server, is sent, and its answer is passed
on. It is sent again only where a server proved that it has not run, or where it may
be repeated; and only within the bounds on servers, time and second sendings.
`may_have_run` keeps which statement an answer of the system's own may make.
"""

import asyncio
import dataclasses
import random

from tornado import iostream

from brasstrail.coordination import pool
from brasstrail.core import clock, data, errors
from brasstrail.roles import admitting, refusals, replies, sending

# An answer that is on its way when the time is over is still waited for.
LAST_ANSWER_MS = 120
# A server that proves not to have run a request may be followed by so many others.
MAX_UNRUN_SENDINGS = 3
MIN_SERVICE_MS = 30
# A caller is told to come back after the expected wait, spread by this part.
RETRY_SPREAD = 0.25
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
NO_SERVER_RETRY_S = 1.0
# A request waits for the gateway's lease no longer than an election and a round
# take, and leaves its caller most of its time.
MAX_LEASE_WAIT_MS = 1500
LEASE_WAIT_PART = 1 / 3
# An answer that has begun goes before all that has not.
BEGUN_RANK = (0, 0)


class Forwarding:
    """One request of a caller.

    Parameters
    ----------
    gateway : `gateway.Gateway`.
    connection : the caller's connection.

    Attributes
    ----------
    admitted : `admitting.Admitted`, or None before that.
    runs : how many servers may have run the request.
    """

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.reply = replies.Reply(gateway, connection)
        self.arrived_ms = clock.now_ms()
        self.call = None
        self.body = b""
        self.admitted = None
        self.sendings = 0
        self.runs = 0
        self.waited_ms = 0
        self.tried = set()
        self.servers = []
        self.reasons = []

    @property
    def identity(self):
        """The id of this sending of the request, as its caller gave it."""
        return self.call.attempt_id if self.call else ""

    @property
    def route(self):
        """The route of the request."""
        return self.admitted.route

    @property
    def may_have_run(self):
        """Whether a server may have run the request."""
        return self.runs > 0

    @property
    def ran(self):
        """What is known about the execution of the request."""
        return data.Ran.UNKNOWN if self.may_have_run else data.Ran.NOT_RUN

    # From the head to the end.

    async def run(self, start_line, headers, body):
        """Serve the request, and log what became of it."""
        outcome = "cancelled"
        try:
            outcome = await self.serve(start_line, headers, body)
        except refusals.Refused as refusal:
            outcome = refusal.reason
            self.gateway.metrics.count("gateway_refusals", reason=outcome)
            self.reply.refuse(refusal, self.call, self.ran)
        except (refusals.CallerGone, iostream.StreamClosedError):
            outcome = "caller_gone"
        except asyncio.CancelledError:
            outcome = "caller_gone"
            raise
        except Exception as error:
            outcome = "fault"
            self.answer_fault(error)
        finally:
            self.settle_allotment()
            self.note(outcome)

    def answer_fault(self, error):
        """Answer a request that a fault of this program has ended."""
        self.gateway.log.error(
            "forwarding: A request failed within.",
            id=self.identity,
            reason=repr(error),
            ran=str(self.ran),
        )
        refusal = self.refusal("internal_error", MIN_RETRY_S)
        self.reply.refuse(refusal, self.call, self.ran)

    async def serve(self, start_line, headers, body):
        """Admit the request and bring it to its end within its time."""
        try:
            self.call = self.gateway.dialect.read_call(start_line, headers)
        except errors.BadRequest as error:
            raise refusals.Refused(400, error.code) from error
        self.body = body
        self.admitted = await self.admit()
        left_ms = self.admitted.deadline_ms + LAST_ANSWER_MS - clock.now_ms()
        try:
            return await asyncio.wait_for(self.bring_to_server(), left_ms / 1000)
        except asyncio.TimeoutError:
            return self.end_at_time_limit()

    async def admit(self):
        """Admit the request; wait for the lease where that is about to come.

        A caller that is sent away meanwhile often has no further try.
        """
        try:
            return admitting.admit(self.gateway, self.call, self.arrived_ms)
        except refusals.Refused as refusal:
            if refusal.reason not in admitting.PASSING_REASONS:
                raise
            begun_ms = clock.now_ms()
            await self.gateway.wait_for_lease(self.lease_wait_ms())
            self.waited_ms += clock.now_ms() - begun_ms
        return admitting.admit(self.gateway, self.call, self.arrived_ms)

    def lease_wait_ms(self):
        """Return how long the request may wait for the lease."""
        if self.call.deadline_ms is None:
            return MAX_LEASE_WAIT_MS
        return min(MAX_LEASE_WAIT_MS, LEASE_WAIT_PART * self.call.deadline_ms)

    def end_at_time_limit(self):
        """End what has no whole answer when its time is over."""
        if self.reply.head_sent:
            self.reply.break_off()
            return "cut_at_time_limit"
        if self.may_have_run:
            raise refusals.Refused(504, "time_limit")
        raise refusals.Refused(503, "no_room_in_time", self.retry_after_s())

    def settle_allotment(self):
        """Give back the cost of a request that no server has run."""
        admitted = self.admitted
        if admitted is None or not admitted.cost or self.may_have_run:
            return
        self.gateway.allotments.refund(admitted.workspace, admitted.cost)

    # Servers.

    def work(self):
        """Return what the request asks of a server."""
        prompt = self.call.prompt
        return pool.Work(
            self.identity,
            self.admitted.service,
            self.admitted.rank,
            self.arrived_ms,
            int(self.arrived_ms + self.route.goal_ms),
            int(self.admitted.deadline_ms),
            prompt.input_tokens if prompt else 0,
            prompt.expected_output_tokens if prompt else 0,
            prompt.parts if prompt else (),
        )

    async def bring_to_server(self):
        """Send the request until it has an answer; return the outcome's word."""
        work = self.work()
        self.gateway.pool.record_arrival(work)
        failure = None
        while True:
            try:
                choice = await self.find_room(work)
            except refusals.Refused:
                if failure is None:
                    raise
                return self.pass_failure(failure)
            self.tried.add(choice.identity)
            try:
                result = await sending.Sending(self, choice, work).run()
            except refusals.NotRun as error:
                self.note_failure(choice, error)
                self.check_unrun(error)
            except refusals.Unknown as error:
                self.note_failure(choice, error)
                self.check_repeat(error)
            except (refusals.CallerGone, iostream.StreamClosedError):
                return "caller_gone"
            else:
                if result is None:
                    return "answered"
                failure = result
                if not self.may_repeat():
                    return self.pass_failure(failure)

    def pass_failure(self, failure):
        """Pass a server's failure on as it came."""
        self.reply.send_whole(failure.head, failure.body)
        return "server_failed"

    async def find_room(self, work):
        """Return the choice of a server; raise `Refused` where none is in time."""
        gateway = self.gateway
        now_ms = clock.now_ms()
        last_ms = self.start_by_ms(work)
        if self.reply.head_sent:
            work = dataclasses.replace(work, rank=BEGUN_RANK)
        elif gateway.pool.has_servers(work.service):
            if now_ms + gateway.pool.expected_wait_ms(work, now_ms) > last_ms:
                raise self.refusal("overload", self.retry_after_s())
        choice = await gateway.wait_for_turn(
            work, frozenset(self.tried), max(1, last_ms - now_ms)
        )
        if choice is None:
            raise self.refusal("no_room", self.retry_after_s())
        self.waited_ms += clock.now_ms() - now_ms
        tier = self.admitted.rank[0]
        gateway.metrics.record("gateway_wait", self.waited_ms / 1000, tier=tier)
        gateway.metrics.count("gateway_sendings")
        self.log_choice(choice)
        return choice

    def start_by_ms(self, work):
        """Return when a server must have been bound at the latest.

        Raises `Refused` where no server is known and none is about to be heard.
        """
        last_ms = self.first_answer_by_ms() - self.service_ms(work)
        if self.gateway.pool.has_servers(work.service):
            return last_ms
        if not self.gateway.is_learning_servers():
            raise self.refusal("no_server", NO_SERVER_RETRY_S)
        return min(last_ms, clock.now_ms() + self.lease_wait_ms())

    def refusal(self, reason, retry_after_s):
        """Return the refusal that says truly whether the request has run."""
        status = 502 if self.may_have_run else 503
        return refusals.Refused(status, reason, retry_after_s)

    def first_answer_by_ms(self):
        """Return when the caller leaves if nothing more has come."""
        heard_ms = self.reply.last_event_ms or self.arrived_ms
        return min(self.admitted.deadline_ms, heard_ms + self.route.patience_ms)

    def service_ms(self, work):
        """Return the least time that a server needs for a first answer."""
        return MIN_SERVICE_MS + work.input_tokens / pool.DEFAULT_PREFILL_TOKENS_PER_MS

    def retry_after_s(self):
        """Return when room is expected, spread over the callers who wait."""
        pooled = self.gateway.pool
        wait_s = pooled.expected_wait_ms(self.work(), clock.now_ms()) / 1000
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        return wait_s * random.uniform(1.0, 1.0 + 2 * RETRY_SPREAD)

    # Second sendings.

    def check_unrun(self, error):
        """Go on after a server that has not run the request, or refuse."""
        is_last = self.sendings - self.runs >= MAX_UNRUN_SENDINGS
        if is_last or (self.sendings and not self.take_sending()):
            raise self.refusal(error.reason, self.retry_after_s())

    def check_repeat(self, error):
        """Go on after a server that may have run the request, or refuse."""
        if not self.may_repeat():
            raise refusals.Refused(502, error.reason)

    def is_repeatable(self):
        """Return whether the request may run at one more server."""
        return self.route.is_repeatable and self.runs < self.route.max_servers

    def may_repeat(self):
        """Return whether the request may run once more; takes from the budget."""
        return self.is_repeatable() and self.take_sending()

    def take_sending(self):
        """Take a second sending from the budget; return whether there was one."""
        service = self.admitted.service
        return self.gateway.budget.acquire(service, clock.now_ms())

    def can_move(self, work):
        """Return whether the request may go on at another server that has room."""
        now_ms = clock.now_ms()
        if not self.is_repeatable():
            return False
        if not self.gateway.budget.has_room(work.service, now_ms):
            return False
        return self.gateway.pool.choose(work, self.tried, now_ms) is not None

    def note_failure(self, choice, error):
        """Remember what a server did."""
        self.reasons.append(error.reason)
        self.gateway.pool.failed(choice.identity, clock.now_ms(), error.rests)
        self.gateway.metrics.count("gateway_failed_sendings", reason=error.reason)

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
        total_ms = clock.now_ms() - self.arrived_ms
        tier = self.admitted.rank[0] if self.admitted else 0
        gateway.log.info(
            "forwarding: A request ended.",
            id=self.identity,
            outcome=outcome,
            status=self.reply.status,
            **self.admission_fields(),
            servers=",".join(self.servers),
            reasons=",".join(self.reasons),
            waited_ms=self.waited_ms,
            first_ms=self.first_event_after_ms(),
            longest_pause_ms=self.reply.longest_pause_ms,
            events=self.reply.events,
            total_ms=total_ms,
            waiting=len(gateway.pool.waiting),
            version=gateway.document_version,
            lease_age_ms=gateway.lease.age_ms,
        )
        gateway.metrics.count("gateway_requests", outcome=outcome, tier=tier)
        gateway.metrics.record("gateway_request", total_ms / 1000, tier=tier)
        first_ms = self.first_event_after_ms()
        if first_ms is not None and self.reply.events:
            gateway.metrics.record("gateway_first_event", first_ms / 1000, tier=tier)

    def first_event_after_ms(self):
        """Return the time to the first event or the answer, or None."""
        if self.reply.first_ms is None:
            return None
        return self.reply.first_ms - self.arrived_ms

    def admission_fields(self):
        """Return what the log tells of the admission."""
        if self.admitted is None:
            return {}
        prompt = self.call.prompt
        return {
            "route": self.route.name,
            "tier": self.admitted.rank[0],
            "route_tier": self.admitted.rank[1],
            "workspace": self.admitted.workspace or "",
            "service": self.admitted.service,
            "input_tokens": prompt.input_tokens if prompt else 0,
        }
