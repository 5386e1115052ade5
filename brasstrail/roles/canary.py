"""Roll-outs at a gateway: which versions its requests may use, and what it reports.

Where no roll-out was ordered, `CanaryRouter.records` is empty and nothing is done.
"""

import asyncio
import dataclasses

from brasstrail.coordination import canaries, rollouts
from brasstrail.core import clock
from brasstrail.core.rolloutstates import RolloutState
from brasstrail.protocol import messages
from brasstrail.roles import lease, refusals

REPORT_INTERVAL_MS = 250
# Every eighth report has all counts, for a leader that has not had the earlier ones.
REPORTS_PER_WHOLE = 8
# How much the wall clocks of the leader and of a gateway may differ.
MAX_CLOCK_DIFFERENCE_MS = 1000
# An answer that has not come so shortly before the caller's deadline is a failure,
# whoever gives up first.
DEADLINE_MARGIN_MS = 50
# Failures that say nothing of the server's version: the answer was another's.
FOREIGN_REASONS = ("foreign_answer", "unnamed_refusal", "unnamed_answer")
MIN_PACE_EVENTS = 3


@dataclasses.dataclass
class Run:
    """One sending of a request during a roll-out.

    `first_ms` is how long the first answer took, or None so far. `is_warm` is false if
    the server said that it is slow because it has just started.
    """

    exposure: canaries.Exposure
    route: str
    is_new: bool
    is_warm: bool
    sent_ms: int
    first_ms: int | None = None


class CanaryRouter:
    """The roll-outs as a gateway knows them.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    index : the log index of the records.
    records : `messages.Rollout` by service.
    exposures : `canaries.Exposure` by service, of the roll-outs in progress.
    decided_rules : `canaries.VersionRule` by service, of the decided roll-outs.
    started_ms : the wall-clock time of the start of the gateway.
    reports : how many reports were sent.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.index = 0
        self.records = {}
        self.exposures = {}
        self.decided_rules = {}
        self.reports = 0
        self.started_ms = clock.wall_ms()
        self.next_report_ms = 0

    @property
    def is_fresh(self):
        """Whether the records were confirmed lately enough to use a new version.

        The other half of `rollback_ms` is for the judgement, its commit and the way of
        the records.
        """
        age_ms = self.gateway.lease.age_ms
        limit_ms = min(lease.MAX_READY_AGE_MS, self.gateway.settings.rollback_ms / 2)
        return age_ms is not None and age_ms < limit_ms

    @property
    def slack(self):
        """How many requests this gateway may send beyond the share: 1 at most.

        Without it a gateway with few requests would never try a new version.
        """
        count = self.gateway.pool.gateway_count
        return min(1.0, self.gateway.settings.canary_slack / count)

    # Records.

    def apply(self, update):
        """Apply a `messages.Rollouts` unless a newer one was applied."""
        if update.index <= self.index:
            return
        self.index = update.index
        for record in update.rollouts:
            if record != self.records.get(record.service):
                self.apply_record(record)
        self.gateway.dispatch_waiting()

    def apply_record(self, record):
        """Apply a record that has changed, also to the requests that wait."""
        self.gateway.log.info(
            "canary: A roll-out has changed.",
            service=record.service,
            to=record.to,
            state=record.state,
            share=round(record.share, 4),
            reason=record.reason,
        )
        self.records[record.service] = record
        self.decided_rules.pop(record.service, None)
        if record.state != RolloutState.IN_PROGRESS:
            self.exposures.pop(record.service, None)
            self.decided_rules[record.service] = canaries.make_rule(record)
        else:
            exposure = self.exposures.get(record.service)
            if exposure and exposure.rollout.ordered_ms == record.ordered_ms:
                exposure.rollout = record
            else:
                is_restart = record.ordered_ms < self.started_ms
                self.exposures[record.service] = canaries.Exposure(record, is_restart)
        self.renew_waiting(record)

    def renew_waiting(self, record):
        """Replace the rules of the requests that wait for a service."""
        gateway = self.gateway
        for ticket, (work, tried) in list(gateway.pool.waiting.items()):
            if work.service == record.service and ticket in gateway.waiters:
                renewed = dataclasses.replace(work, rule=self.renewed_rule(work))
                gateway.pool.waiting[ticket] = renewed, tried
                gateway.waiters[ticket] = renewed, gateway.waiters[ticket][1]

    def renewed_rule(self, work):
        """Return the `canaries.VersionRule` of a request that waits."""
        record = self.records[work.service]
        if record.service in self.decided_rules:
            return self.decided_rules[record.service]
        is_drawn = (
            work.rule is not None and work.rule.to == record.to and work.rule.uses_new
        )
        return self.make_rule(record, work.software is not None, is_drawn)

    def make_rule(self, record, is_bound, is_drawn):
        """Return the `canaries.VersionRule` of a request.

        A stream that has begun keeps its version, if the lease is fresh. After the
        switch a gateway without a fresh lease uses no version, since either may be
        excluded by now.
        """
        is_fresh = self.is_fresh
        if record.share >= 1.0:
            return canaries.make_rule(record, is_fresh, is_bound and is_fresh)
        uses_new = is_fresh and (is_bound or is_drawn)
        uses_old = (is_bound or not uses_new) and not self.may_be_switched(record)
        return canaries.make_rule(record, uses_new, uses_old)

    def may_be_switched(self, record):
        """Return whether the old version may be excluded by now, unknown to this host.

        A gateway without a lease is told nothing, and the leader no longer waits for
        it. One that does not fail closed goes on with what it knows.
        """
        if self.gateway.lease.is_valid or not self.gateway.settings.fails_closed:
            return False
        switch_ms = rollouts.earliest_switch_ms(record)
        return clock.wall_ms() >= switch_ms - MAX_CLOCK_DIFFERENCE_MS

    # Requests.

    def rule(self, request, make_work):
        """Return the `canaries.VersionRule` of a request, or None if there is none.

        Parameters
        ----------
        request : `forwarding.ForwardedRequest`, which has been admitted.
        make_work : returns its `pool.Work` with a rule.
        """
        record = self.records.get(request.admitted.service)
        if record is None:
            return None
        is_bound = request.software is not None
        if record.state != RolloutState.IN_PROGRESS:
            return self.decided_rules[record.service]
        self.count_request(request, record)
        is_drawn = not is_bound and self.draws_new(request, record, make_work)
        return self.make_rule(record, is_bound, is_drawn)

    def count_request(self, request, record):
        """Count a request once for each order."""
        if request.rollout_ms != record.ordered_ms:
            request.rollout_ms = record.ordered_ms
            request.uses_new_version = None
            self.exposures[record.service].record_request()

    def draws_new(self, request, record, make_work):
        """Return whether a request goes to the new version; it is drawn once.

        It does not if no server of that version has room. A request that has failed
        there does not return, nor does one whose server there has gone.
        """
        if record.share >= 1.0 or not self.is_fresh:
            return False
        work = make_work(canaries.make_rule(record, True, False))
        pool = self.gateway.pool
        exposure = self.exposures[record.service]
        if request.uses_new_version is None:
            request.uses_new_version = exposure.draws_new(self.slack) and (
                self.gateway.has_room(work, request.tried)
            )
            if request.uses_new_version:
                exposure.record_sent()
        elif request.uses_new_version and not pool.has_servers(work, request.tried):
            request.uses_new_version = False
        return request.uses_new_version

    def permits(self, request, announcement):
        """Return whether a request may be written to a server now."""
        if not self.records:
            return True
        rule = request.work().rule
        return rule is None or rule.permits(announcement)

    # Outcomes.

    def begin(self, request, announcement):
        """Return the `Run` of a request that is written to a server, or None."""
        exposure = self.exposures.get(request.admitted.service)
        if exposure is None:
            return None
        is_new = announcement.version == exposure.rollout.to
        is_repeated = not request.uses_new_version or request.runs > 1
        if is_new and is_repeated and exposure.rollout.share < 1.0:
            # A stream that keeps its version: it was not drawn.
            exposure.record_sent()
        return Run(
            exposure,
            request.route.name,
            is_new,
            announcement.cold_ms <= 0,
            clock.now_ms(),
        )

    def end(self, attempt, error):
        """Count what became of a sending; `error` is the exception that ended it."""
        run = attempt.version_run
        if run is None or isinstance(error, refusals.NotRun):
            return
        is_cut = isinstance(error, refusals.ServerBrokeOff)
        is_failure = not is_cut and self.is_failure(attempt, error)
        is_whole = error is None and not is_failure
        if not is_cut and not is_failure and not is_whole:
            return
        counts = run.exposure.counts_of(run.route, run.is_new)
        counts.answers += 1
        counts.failures += is_failure
        counts.cuts += is_cut
        if run.is_new:
            ending = "whole" if is_whole else "cut" if is_cut else "failed"
            self.gateway.metrics.count("gateway_new_version", end=ending)
        if run.is_new and not is_whole:
            request = attempt.request
            if request.uses_new_version and request.software is None:
                request.uses_new_version = False
        if run.is_warm:
            self.count_times(counts, run, attempt, is_whole)

    def is_failure(self, attempt, error):
        """Return whether a sending failed by an error, or by its caller's deadline."""
        if error is None:
            return attempt.head.status >= 500
        if isinstance(error, refusals.ExecutionUnknown):
            return error.reason not in FOREIGN_REASONS
        if isinstance(error, asyncio.CancelledError):
            left_ms = attempt.request.admitted.deadline_ms - clock.now_ms()
            return left_ms <= DEADLINE_MARGIN_MS
        return False

    def count_times(self, counts, run, attempt, is_whole):
        """Count the time to the first answer, and for each further event.

        An answer that has not come counts with the time that it was waited for.
        """
        first_ms = run.first_ms
        if first_ms is None and not is_whole:
            first_ms = clock.now_ms() - run.sent_ms
        if first_ms is not None:
            counts.first_times[canaries.time_bucket(first_ms)] += 1
        reply = attempt.reply
        if not is_whole or reply.events < MIN_PACE_EVENTS or attempt.request.runs > 1:
            return
        pace_ms = (reply.last_event_ms - reply.first_ms) / (reply.events - 1)
        counts.paces[canaries.time_bucket(pace_ms)] += 1

    # Reports.

    def tick(self, now_ms):
        """Report the outcomes of the roll-outs in progress to the control host."""
        if not self.exposures or now_ms < self.next_report_ms:
            return
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS
        link = self.gateway.subscription.active_link
        if link is None or not link.connected:
            return
        progress = tuple(
            messages.RolloutProgress(
                service,
                exposure.rollout.ordered_ms,
                self.count_running_old(exposure.rollout),
                exposure.requests,
            )
            for service, exposure in self.exposures.items()
        )
        is_whole = self.reports % REPORTS_PER_WHOLE == 0
        self.reports += 1
        routes = tuple(
            outcomes
            for exposure in self.exposures.values()
            for outcomes in exposure.take_outcomes(is_whole)
        )
        hub = self.gateway.hub
        link.send(
            messages.RolloutOutcomes(
                hub.name, hub.incarnation, self.index, progress, routes
            )
        )

    def count_running_old(self, rollout):
        """Return how many requests have a place at a server of another version."""
        return sum(
            place.work.service == rollout.service
            and self.gateway.pool.version(place.choice.identity) != rollout.to
            for place in self.gateway.places
        )
