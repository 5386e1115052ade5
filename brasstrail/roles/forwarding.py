"""Processing of one request by a gateway.

A request is admitted, waits until a server has capacity, is sent to that server, and
the answer is relayed to the caller. It is retried only if a server proved that it has
not run the request, or if the route allows the request to run more than once; and
only within the limits on servers, time and retries. `may_have_run` determines
whether an answer that the gateway creates itself may state that the request has not
run.
"""

import asyncio
import contextlib
import dataclasses
import random

from tornado import iostream

from brasstrail.coordination import origins, pool, zones
from brasstrail.core import calls, clock, data, errors, parts
from brasstrail.roles import admitting, crashes, refusals, replies, sending

# Extra wait after the deadline for an answer that is already in transit.
LATE_ANSWER_GRACE_MS = 120
# Limit on attempts at servers that proved not to have run the request.
MAX_NOT_RUN_ATTEMPTS = 3
MIN_SERVICE_TIME_MS = 30
# Retry-After is the time until there is room, at least this, plus a random part of up
# to the same length, so that the callers do not all return at one moment. Bursts last
# up to 10 s, so that no estimate says anything of what comes after that. When servers
# rest, the random part is up to half of the rest.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 10.0
# The same where waits are not estimated from the capacity of servers.
MAX_UNKNOWN_RETRY_S = 5.0
UNKNOWN_SPREAD_FRACTION = 0.5
REST_SPREAD_FRACTION = 0.5
NO_SERVER_RETRY_S = 1.0
# A request waits for the gateway's lease no longer than a leader election and one
# quorum round take, and for only a fraction of the caller's deadline, so that most of
# the caller's time remains.
MAX_LEASE_WAIT_MS = 1500
LEASE_WAIT_FRACTION = 1 / 3
MAX_LOGGED_SERVERS = 8
# A request whose answer has started takes precedence over all other requests.
STARTED_ANSWER_RANK = (0, 0)


class ForwardedRequest:
    """One request of a caller while the gateway processes it.

    Parameters
    ----------
    gateway : `gateway.Gateway`.
    connection : the caller's connection.

    Attributes
    ----------
    call : the caller's `calls.Call`, or None before it is parsed.
    admitted : `admitting.AdmittedRequest`, or None before admission.
    content : `calls.digest_content` of the request, or "" before it is parsed.
    parts : the `parts.shared_parts` of its prompt.
    trials : `parttrials.Trial` by part, of the parts that are tried with this request.
    runs : how many servers may have run the request.
    attempts_made : how many times the request was sent to a server.
    waited_ms : the time spent waiting for the lease and for servers.
    predicted_wait_ms : the estimate of the wait for a server when it last began.
    tried : the identities of the servers that were chosen, which are not chosen again.
    servers : the identities of the servers to which the request was sent, in order.
    reasons : the reason codes of failed attempts, for the log.
    framings, server_ends : how the answer of each of `servers` was framed and how it
        ended, for the log. An answer that was not read to its end is "unread".
    versions : the software versions of `servers`, for the log.
    software : the `servers.Announcement.software` that began the stream, at which alone
        it may go on; None before an event has been passed on, and empty if it is not
        certain which it was.
    has_begun : whether an event has been passed on.
    is_shut_down : whether the gateway ends the request because its process stops.
    outcome : how the request ended, for the log.
    rollout_ms : the order of the roll-out that the request was last counted for, or
        None.
    uses_new_version : whether the request was drawn to go to the version of that
        roll-out; None before.
    retry_charged_ms : when the retry budget was charged for a sending that has not been
        made yet, or None.
    """

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.reply = replies.Reply(gateway, connection)
        self.arrived_ms = clock.now_ms()
        self.call = None
        self.body = b""
        self.content = ""
        self.parts = ()
        self.trials = {}
        self.admitted = None
        self.attempts_made = 0
        self.runs = 0
        self.waited_ms = 0
        self.predicted_wait_ms = 0.0
        self.tried = set()
        self.servers = []
        self.reasons = []
        self.framings = []
        self.server_ends = []
        self.versions = []
        self.software = None
        self.has_begun = False
        self.is_shut_down = False
        self.outcome = ""
        self.retry_charged_ms = None
        self.rollout_ms = None
        self.uses_new_version = None

    @property
    def identity(self):
        """The attempt id that the caller sent, or an empty string.

        It identifies the request at the gateway and at the servers.
        """
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
        return data.RunStatus.UNKNOWN if self.may_have_run else data.RunStatus.NOT_RUN

    # Lifecycle.

    async def run(self, start_line, headers, body, refusal=None):
        """Serve the request, and record its outcome.

        `refusal` is the `refusals.Refused` that its head has determined, or None.
        """
        with contextlib.ExitStack() as stack:
            stack.callback(self.record_outcome)
            stack.callback(self.refund_allotment)
            stack.callback(self.refund_retry)
            stack.callback(self.gateway.crashes.end_trials, self)
            await self.answer(start_line, headers, body, refusal)

    async def answer(self, start_line, headers, body, refusal):
        """Serve the request, or answer it with the reason why it is not served."""
        self.outcome = "caller_gone"
        try:
            self.outcome = await self.serve(start_line, headers, body, refusal)
        except refusals.Refused as refusal:
            self.outcome = refusal.reason
            self.gateway.metrics.count("gateway_refusals", reason=refusal.reason)
            self.reply.send_refusal(refusal, self.call, self.ran)
        except (refusals.CallerDisconnected, iostream.StreamClosedError):
            self.outcome = "caller_gone"
        except asyncio.CancelledError:
            if not self.is_shut_down:
                raise
            self.end_at_shutdown()
        except Exception as error:
            self.outcome = "fault"
            self.send_internal_error(error)

    def end_at_shutdown(self):
        """Answer a request that has not ended before the process stops, or cut it."""
        self.outcome = "stopping"
        refusal = refusals.Refused(503, self.outcome, admitting.STOPPING_RETRY_S)
        if self.may_have_run:
            refusal = refusals.Refused(504, self.outcome)
        self.reply.send_refusal(refusal, self.call, self.ran)

    def send_internal_error(self, error):
        """Answer a request that failed because of an internal error."""
        self.gateway.log.error(
            "forwarding: A request failed within.",
            id=self.identity,
            reason=repr(error),
            ran=str(self.ran),
        )
        refusal = self.refusal("internal_error", MIN_RETRY_S)
        self.reply.send_refusal(refusal, self.call, self.ran)

    async def serve(self, start_line, headers, body, refusal):
        """Admit the request and complete it within its deadline."""
        try:
            self.call = self.gateway.dialect.read_call(start_line, headers)
        except errors.BadRequest as error:
            raise refusals.Refused(400, error.code) from error
        if refusal is not None:
            raise refusal
        self.body = body
        self.content = calls.digest_content(self.call, body)
        self.parts = parts.shared_parts(self.call.prompt)
        self.admitted = await self.admit()
        left_ms = self.admitted.deadline_ms + LATE_ANSWER_GRACE_MS - clock.now_ms()
        try:
            return await asyncio.wait_for(self.forward(), left_ms / 1000)
        except asyncio.TimeoutError:
            return self.handle_timeout()

    async def admit(self):
        """Admit the request; wait for the lease if one is expected soon.

        A caller that is refused during that wait often has no retry left.
        """
        try:
            return admitting.admit(self.gateway, self.call, self.arrived_ms)
        except refusals.Refused as refusal:
            if refusal.reason not in admitting.TRANSIENT_REASONS:
                raise
            started_ms = clock.now_ms()
            await self.gateway.wait_for_lease(self.lease_wait_ms())
            self.waited_ms += clock.now_ms() - started_ms
        return admitting.admit(self.gateway, self.call, self.arrived_ms)

    def lease_wait_ms(self):
        """Return the maximum time to wait for the lease, in milliseconds."""
        if self.call.deadline_ms is None:
            return MAX_LEASE_WAIT_MS
        return min(MAX_LEASE_WAIT_MS, LEASE_WAIT_FRACTION * self.call.deadline_ms)

    def handle_timeout(self):
        """End a request whose answer is incomplete at its deadline."""
        if self.reply.head_sent:
            self.reply.abort()
            return "cut_at_time_limit"
        if self.may_have_run:
            raise refusals.Refused(504, "time_limit")
        raise refusals.Refused(503, "no_room_in_time", self.retry_after_s())

    def refund_allotment(self):
        """Return the cost to the allotment if no server has run the request."""
        admitted = self.admitted
        if admitted is None or not admitted.cost or self.may_have_run:
            return
        self.gateway.allotments.refund(admitted.workspace, admitted.cost)

    def refund_retry(self):
        """Return a charge to the retry budget for which nothing was sent."""
        if self.retry_charged_ms is not None:
            charged_ms, self.retry_charged_ms = self.retry_charged_ms, None
            self.gateway.budget.refund(self.admitted.service, charged_ms)

    # Servers.

    def work(self):
        """Return the request's `pool.Work`."""
        if not self.gateway.canary.records:
            return self.make_work()
        return self.make_work(self.gateway.canary.rule(self, self.make_work))

    def make_work(self, rule=None):
        """Return the request's `pool.Work` with a `canaries.VersionRule`, or None."""
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
            transfer_bytes=zones.transfer_bytes(
                len(self.body), prompt.expected_output_tokens if prompt else 0
            ),
            rule=rule,
        )

    def bound_work(self):
        """Return the request's work, bound to the software that began its stream.

        The rest of a stream goes before requests that have not begun.
        """
        work = self.work()
        if self.software is None:
            return work
        return dataclasses.replace(
            work, software=self.software, rank=STARTED_ANSWER_RANK
        )

    def begin_stream(self, announcement, opened_ms):
        """Record that the first event of the answer is passed on, and tell others.

        Parameters
        ----------
        announcement : that of the server to which the request was sent.
        opened_ms : when the connection to it was opened.
        """
        if self.has_begun:
            return
        self.has_begun = True
        if self.software is None:
            self.software = announcement.software
            current = self.gateway.pool.servers.get(announcement.identity)
            if current and current.announcement.software != self.software:
                # The server has started again since; it may have made the event before.
                self.software = origins.UNCERTAIN
        self.gateway.origins.record(self, announcement, opened_ms)

    async def find_origin(self):
        """Bind a request that takes a stream up to its service and software."""
        origin = await self.gateway.origins.find(self)
        if origin is None:
            return
        self.software = origin.software
        if origin.service != self.admitted.service:
            self.gateway.budget.record_request(origin.service, self.arrived_ms)
            self.admitted = dataclasses.replace(self.admitted, service=origin.service)

    async def forward(self):
        """Send the request until it is answered; return the outcome to be logged."""
        await self.find_origin()
        self.gateway.pool.record_arrival(self.work())
        failure = None
        while True:
            try:
                await self.gateway.crashes.admit(self)
                work = self.bound_work()
                with await self.acquire_place(work) as place:
                    choice = place.choice
                    self.record_choice(choice)
                    result = await sending.Attempt(self, place, work).run()
            except refusals.Refused:
                if failure is None:
                    raise
                return self.relay_failure(failure)
            except refusals.ServerUnavailable as error:
                self.tried.discard(choice.identity)
                self.log_unused_choice(choice, error)
            except refusals.NotRun as error:
                self.record_failure(choice, error)
                self.check_retry_not_run(error)
            except refusals.ExecutionUnknown as error:
                self.record_failure(choice, error)
                self.check_retry_may_have_run(error)
            except (refusals.CallerDisconnected, iostream.StreamClosedError):
                return "caller_gone"
            else:
                if result is None:
                    return "answered"
                failure = result
                if not self.acquire_repeat():
                    return self.relay_failure(failure)

    def relay_failure(self, failure):
        """Send a server's failure to the caller unchanged, or cut its stream."""
        self.reply.send_complete(failure.head, failure.body)
        return "server_failed" if self.reply.end == "complete" else "stream_cut"

    async def acquire_place(self, work):
        """Return a `places.Place` at a server.

        Raises `refusals.Refused` if no server has capacity in time.
        """
        gateway = self.gateway
        now_ms = clock.now_ms()
        latest_ms = self.latest_start_ms(work)
        if now_ms > gateway.shutdown.latest_start_ms(work):
            raise self.refusal("stopping", admitting.STOPPING_RETRY_S)
        may_refuse = not self.reply.head_sent and not self.may_have_run
        if may_refuse and gateway.pool.has_servers(work):
            self.predicted_wait_ms = gateway.pool.expected_wait_ms(work, now_ms)
            gateway.metrics.record(
                "gateway_predicted_wait",
                self.predicted_wait_ms / 1000,
                tier=self.admitted.rank[0],
                size=gateway.pool.estimates.size_name(work),
            )
            if now_ms + self.predicted_wait_ms > latest_ms:
                self.log_late_estimate(work, latest_ms - now_ms)
                rest_ms = gateway.pool.rest_wait_ms(work, now_ms)
                reason = "servers_rest" if rest_ms else "overload"
                raise self.refusal(reason, self.retry_after_s())
        place = await gateway.wait_for_server(
            work, frozenset(self.tried), max(1, latest_ms - now_ms), may_refuse
        )
        if place is None and gateway.shutdown.is_begun:
            raise self.refusal("stopping", admitting.STOPPING_RETRY_S)
        if place is None:
            raise self.refusal("no_room", self.retry_after_s())
        waited_ms = clock.now_ms() - now_ms
        self.waited_ms += waited_ms
        if may_refuse:
            error_s = abs(waited_ms - self.predicted_wait_ms) / 1000
            tier = self.admitted.rank[0]
            gateway.metrics.record("gateway_wait_error_ms", error_s, tier=tier)
        return place

    def record_choice(self, choice):
        """Record which server the request is sent to, and how long it has waited."""
        self.tried.add(choice.identity)
        metrics, tier = self.gateway.metrics, self.admitted.rank[0]
        metrics.record("gateway_wait", self.waited_ms / 1000, tier=tier)
        metrics.count("gateway_sendings")
        metrics.count("gateway_distance_sendings", distance=str(choice.distance))
        self.log_choice(choice)

    def latest_start_ms(self, work):
        """Return the latest time at which a server must be assigned.

        Raises `refusals.Refused` if no server is known that may run the work and was
        not tried, and no announcement is expected soon.
        """
        latest_ms = self.first_answer_deadline_ms() - self.min_service_time_ms(work)
        if self.gateway.pool.has_servers(work, self.tried):
            return latest_ms
        if not self.gateway.is_discovering_servers():
            self.log_left_out(work)
            reason = "no_server" if work.software is None else "no_server_of_version"
            rest_ms = self.gateway.pool.rest_wait_ms(work, clock.now_ms())
            retry_s = self.retry_after_s() if rest_ms else NO_SERVER_RETRY_S
            raise self.refusal(reason, retry_s)
        return min(latest_ms, clock.now_ms() + self.lease_wait_ms())

    def refusal(self, reason, retry_after_s):
        """Return a refusal with status 502 if the request may have run, else 503."""
        status = 502 if self.may_have_run else 503
        return refusals.Refused(status, reason, retry_after_s)

    def first_answer_deadline_ms(self):
        """Return when the caller gives up if it receives nothing more."""
        last_progress_ms = self.reply.last_event_ms or self.arrived_ms
        return min(
            self.admitted.deadline_ms, last_progress_ms + self.route.event_timeout_ms
        )

    def min_service_time_ms(self, work):
        """Return the minimum time to a first answer, in milliseconds."""
        return (
            MIN_SERVICE_TIME_MS + work.input_tokens / pool.DEFAULT_PREFILL_TOKENS_PER_MS
        )

    def retry_after_s(self):
        """Return when there will be room, in seconds, with a random part."""
        server_pool, work, now_ms = self.gateway.pool, self.work(), clock.now_ms()
        rest_s = server_pool.rest_wait_ms(work, now_ms) / 1000
        if not server_pool.knows_capacity(work, now_ms):
            wait_s = server_pool.expected_wait_ms(work, now_ms) / 1000
            wait_s = min(MAX_UNKNOWN_RETRY_S, max(MIN_RETRY_S, wait_s))
            spread_s = UNKNOWN_SPREAD_FRACTION * wait_s
            return max(wait_s, rest_s) + random.uniform(0.0, spread_s)
        room_s = server_pool.room_wait_ms(work, now_ms) / 1000
        wait_s = max(MIN_RETRY_S, rest_s + min(MAX_RETRY_S, room_s - rest_s))
        spread_s = max(wait_s - rest_s, rest_s * REST_SPREAD_FRACTION)
        return wait_s + random.uniform(0.0, spread_s)

    # Retries.

    def check_retry_not_run(self, error):
        """Return if a retry after `NotRun` is allowed.

        Raises `refusals.Refused` otherwise.
        """
        is_last = self.attempts_made - self.runs >= MAX_NOT_RUN_ATTEMPTS
        if is_last or (self.attempts_made and not self.acquire_retry()):
            raise self.refusal(error.reason, self.retry_after_s())

    def check_retry_may_have_run(self, error):
        """Return if a retry after `ExecutionUnknown` is allowed.

        Raises `refusals.Refused` otherwise.
        """
        if not self.acquire_repeat():
            raise refusals.Refused(502, error.reason)

    def is_repeatable(self):
        """Return whether the route allows the request to run at one more server."""
        return self.route.is_repeatable and self.runs < self.route.max_servers

    def acquire_repeat(self):
        """Return whether the request may run once more; charge the budget if so."""
        return self.is_repeatable() and self.acquire_retry()

    def acquire_retry(self):
        """Charge one retry to the budget; return whether the budget allowed it.

        A charge for which nothing was sent covers the next sending, too.
        """
        if self.retry_charged_ms is not None:
            return True
        service = self.admitted.service
        budget, now_ms = self.gateway.budget, clock.now_ms()
        is_allowed = budget.acquire(service, now_ms)
        self.retry_charged_ms = now_ms if is_allowed else None
        outcome = "allowed" if is_allowed else "refused"
        self.gateway.metrics.count("gateway_retries", outcome=outcome)
        self.gateway.log.info(
            "forwarding: A retry was decided.",
            id=self.identity,
            content=self.content,
            outcome=outcome,
            service=service,
            reason=self.reasons[-1] if self.reasons else "",
            retries=len(budget.retries[service]),
            allowance=round(budget.allowance(service, now_ms), 1),
            gateways=budget.sharing_gateways(now_ms),
        )
        return is_allowed

    def can_fail_over(self):
        """Return whether the request may continue at another server with capacity."""
        now_ms = clock.now_ms()
        work = self.bound_work()
        if not self.is_repeatable():
            return False
        if not self.gateway.budget.allows_retry(work.service, now_ms):
            return False
        return self.gateway.has_room(work, self.tried)

    def record_failure(self, choice, error):
        """Record a failed attempt for the log, the pool and the metrics."""
        self.reasons.append(error.reason)
        self.gateway.log.info(
            "forwarding: An attempt failed.",
            id=self.identity,
            content=self.content,
            server=choice.identity,
            born=self.gateway.pool.born_ms(choice.identity),
            version=self.gateway.pool.version(choice.identity),
            reason=error.reason,
            may_have_run=isinstance(error, refusals.ExecutionUnknown),
            events=self.reply.events,
        )
        is_expected = self.is_rest_refusal(choice, error) or self.is_limit_refusal(
            choice, error
        )
        if not is_expected:
            self.gateway.pool.failed(
                choice.identity, clock.now_ms(), error.needs_backoff
            )
        self.gateway.metrics.count("gateway_failed_sendings", reason=error.reason)

    def is_rest_refusal(self, choice, error):
        """Return whether a server that asks for rest has turned the request away."""
        server = self.gateway.pool.servers.get(choice.identity)
        if server is None or not isinstance(error, refusals.NotRun):
            return False
        rests = self.gateway.pool.rests
        return rests.until_ms(server.start, clock.now_ms()) is not None

    def is_limit_refusal(self, choice, error):
        """Return whether a server that names a limit has refused the request."""
        server = self.gateway.pool.servers.get(choice.identity)
        is_limited = server is not None and server.is_limited
        return is_limited and isinstance(error, refusals.NotRun)

    # Logs and metrics.

    def log_choice(self, choice):
        """Log the chosen server and the values behind the choice."""
        limit, host = {}, {}
        if choice.host_factor is not None:
            host = {
                "host_factor": round(choice.host_factor, 2),
                "host_factor_age_ms": round(choice.host_factor_age_ms),
            }
        server = self.gateway.pool.servers.get(choice.identity)
        # The server may have left since it was chosen.
        if choice.permit is not None and server is not None and server.is_limited:
            now_ms = clock.now_ms()
            limit = {
                "limit_per_s": server.limit.per_s,
                "limit_age_ms": now_ms - server.limit.received_ms,
                "coordinator": choice.permit.coordinator,
                "granted_per_s": round(choice.permit.granted_per_s, 3),
                "permit_age_ms": now_ms - choice.permit.granted_ms,
            }
        self.gateway.log.debug(
            "forwarding: A server was chosen.",
            id=self.identity,
            server=choice.identity,
            version=self.gateway.pool.version(choice.identity),
            required_version=choice.software or "",
            score_ms=round(choice.score_ms, 1),
            running=choice.running,
            others=choice.others,
            candidates=choice.candidates,
            distance=str(choice.distance),
            reason=str(choice.reason),
            **limit,
            **host,
        )

    def log_late_estimate(self, work, left_ms):
        """Log that a request is refused for its estimated wait, and what decides it."""
        self.gateway.log.info(
            "forwarding: A request would wait too long.",
            id=self.identity,
            tier=self.admitted.rank[0],
            predicted_wait_ms=round(self.predicted_wait_ms),
            left_ms=round(left_ms),
            **self.gateway.pool.explain_wait(work, clock.now_ms()),
        )

    def log_unused_choice(self, choice, error):
        """Log that a chosen server was not sent the request; it is chosen again."""
        self.gateway.log.info(
            "forwarding: A chosen server was not used.",
            id=self.identity,
            server=choice.identity,
            reason=error.reason,
        )

    def log_left_out(self, work):
        """Log the servers that the software of a stream's first event excludes."""
        if work.software is None:
            return
        left_out = self.gateway.pool.servers_left_out(work)
        self.gateway.log.info(
            "forwarding: No server has the version that began the stream.",
            id=self.identity,
            version=work.software,
            left_out=",".join(
                f"{each.announcement.identity}:{each.announcement.version}"
                for each in left_out[:MAX_LOGGED_SERVERS]
            ),
            left_out_count=len(left_out),
            tried=",".join(sorted(self.tried)),
        )

    def record_outcome(self):
        """Log and count the outcome of the request."""
        gateway, outcome = self.gateway, self.outcome
        if outcome == "answered":
            gateway.milestones.reach("first_answer", id=self.identity)
        total_ms = clock.now_ms() - self.arrived_ms
        tier = self.admitted.rank[0] if self.admitted else 0
        gateway.log.info(
            "forwarding: A request ended.",
            id=self.identity,
            content=self.content,
            parts=crashes.part_names(self.parts),
            outcome=outcome,
            status=self.reply.status,
            **self.admission_fields(),
            servers=",".join(self.servers),
            reasons=",".join(self.reasons),
            framings=",".join(self.framings),
            server_ends=",".join(self.server_ends),
            caller_end=self.reply.end,
            versions=",".join(self.versions),
            resumes=self.call.resumes if self.call else "",
            resume_after=self.call.resume_after if self.call else "",
            predicted_wait_ms=round(self.predicted_wait_ms),
            waited_ms=self.waited_ms,
            first_ms=self.time_to_first_event_ms(),
            longest_pause_ms=self.reply.longest_pause_ms,
            events=self.reply.events,
            output_tokens=self.output_tokens(),
            total_ms=total_ms,
            waiting=len(gateway.pool.waiting),
            version=gateway.document_version,
            lease_age_ms=gateway.lease.age_ms,
        )
        gateway.metrics.count("gateway_requests", outcome=outcome, tier=tier)
        if self.admitted is not None:
            size = gateway.pool.estimates.size_name(self.make_work())
            gateway.metrics.count(
                "gateway_sized_requests", outcome=outcome, tier=tier, size=size
            )
        gateway.metrics.record("gateway_request", total_ms / 1000, tier=tier)
        first_ms = self.time_to_first_event_ms()
        if first_ms is not None and self.reply.events:
            gateway.metrics.record("gateway_first_event", first_ms / 1000, tier=tier)

    def time_to_first_event_ms(self):
        """Return the time to the first event or complete answer in ms, or None."""
        if self.reply.first_ms is None:
            return None
        return self.reply.first_ms - self.arrived_ms

    def output_tokens(self):
        """Return how many output tokens were passed on, as far as events tell."""
        service = self.admitted.service if self.admitted else ""
        engine = self.gateway.pool.engines.get(service)
        return self.reply.events * engine.tokens_per_event if engine else 0

    def admission_fields(self):
        """Return the log fields of the admission."""
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
            "expected_output_tokens": prompt.expected_output_tokens if prompt else 0,
        }
