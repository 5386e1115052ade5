"""The crashes of backend servers, as a gateway records, shares and acts on them.

`CrashTracker` connects `suspects.Suspects` to the gateway: attempts report how their
runs end, the news of servers confirm that they have ended, and gossip carries the
crashes to the other gateways. A request that is held back is refused.
"""

from brasstrail.coordination import suspects
from brasstrail.core import clock, parts
from brasstrail.protocol import messages
from brasstrail.roles import parttrials, starts

# A server whose announcements have stopped is taken for ended if it has sent nothing
# for this long: two of its intervals between announcements.
SILENCE_MS = 2400
PURGE_INTERVAL_MS = 1000
ROWS_PER_DATAGRAM = 64
REFUSAL_REASON = "suspect_request"
PART_REFUSAL_REASON = "suspect_part"
MAX_LOGGED_PARTS = 8


class CrashTracker:
    """The crashes that a gateway knows.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    suspects : `suspects.Suspects`.
    trials : `parttrials.PartTrials`.
    probes : `starts.StartProbes`.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.log = gateway.log
        self.suspects = suspects.Suspects(gateway.hub.name)
        self.trials = parttrials.PartTrials(gateway)
        self.probes = starts.StartProbes(gateway)
        self.next_purge_ms = 0

    # Attempts.

    async def admit(self, request):
        """Raise `refusals.Refused` if a `forwarding.ForwardedRequest` is held back.

        A request with a part that may be tried becomes the one that is, if the gateway
        that coordinates the trials of the part allows it.
        """
        while (suspicion := self.judge_parts(request)) and suspicion.needs_trial:
            taken = await self.trials.acquire(suspicion.part)
            outcome = "granted" if taken else "refused"
            self.gateway.metrics.count("gateway_trials", outcome=outcome)
            if taken is None:
                break
            request.trials[suspicion.part] = taken
            self.log.info(
                "crashes: A held part is tried.",
                id=request.identity,
                part=parts.part_name(suspicion.part),
                coordinator=taken.coordinator,
            )
        self.check(request)

    def end_trials(self, request):
        """Record that a request is no longer the one that is tried."""
        for taken in request.trials.values():
            self.trials.end(taken)
        request.trials = {}

    def judge_parts(self, request):
        """Return the `partsuspects.PartSuspicion` of a request, or None.

        Parts that are tried with it are left out.
        """
        judged = [part for part in request.parts if part not in request.trials]
        suspicion = self.suspects.judge_parts(judged, clock.now_ms())
        self.log_part_news()
        return suspicion

    def check(self, request):
        """Raise `refusals.Refused` if a `forwarding.ForwardedRequest` is held back."""
        self.check_content(request)
        suspicion = self.judge_parts(request)
        if suspicion is None:
            return
        hold = suspicion.hold
        self.log.info(
            "crashes: A request is held back.",
            id=request.identity,
            content=request.content,
            workspace=request.admitted.workspace or "",
            part=parts.part_name(suspicion.part),
            crashes=hold.crashes,
            servers=",".join(hold.servers),
            of="part",
            crashed_ms_ago=clock.now_ms() - hold.crashed_ms,
            retry_after_s=round(suspicion.retry_after_s, 1),
        )
        raise request.refusal(PART_REFUSAL_REASON, suspicion.retry_after_s)

    def check_content(self, request):
        """Raise `refusals.Refused` if the content of a request is held back."""
        workspace = request.admitted.workspace or ""
        suspicion = self.suspects.judge(request.content, workspace, clock.now_ms())
        if suspicion is None:
            return
        self.log.info(
            "crashes: A request is held back.",
            id=request.identity,
            content=request.content,
            workspace=workspace,
            crashes=suspicion.crashes,
            servers=",".join(suspicion.servers),
            of="workspace" if suspicion.is_own else "all",
            retry_after_s=round(suspicion.retry_after_s, 1),
        )
        raise request.refusal(REFUSAL_REASON, suspicion.retry_after_s)

    def begin(self, request, server):
        """Record that a request is sent to a server; return the `suspects.Run`."""
        run = suspects.Run(
            request.identity,
            request.content,
            request.admitted.workspace or "",
            server,
            self.gateway.pool.born_ms(server),
            clock.now_ms(),
            request.parts,
            self.gateway.pool.version(server),
        )
        self.suspects.begin(run)
        return run

    def complete(self, run, is_success):
        """Record that a run's whole answer was received."""
        self.suspects.complete(run, clock.now_ms(), is_success)

    def record_answer(self, run, opened_ms):
        """Record that a server has begun to answer a run.

        It has not ended since the connection was opened, on which the run was sent.
        """
        self.withdraw(run.server, run.born_ms, opened_ms, run.sent_ms, "answered")

    def discard(self, run):
        """Forget a run that the server has not begun."""
        self.suspects.discard(run)

    def break_off(self, run, reason):
        """Record that a run's answer broke off."""
        crash = self.suspects.break_off(run, clock.now_ms())
        if crash is not None:
            self.report({run: crash}, reason)
            self.probes.begin(run.server)

    def leave(self, run):
        """Record that a run was given up, unless its end is known."""
        self.suspects.leave(run, clock.now_ms())

    # News of servers.

    def end_server(self, announcement, reason):
        """Record that the start of a server that announced itself has ended."""
        identity, born_ms = announcement.identity, announcement.born_ms
        found = self.suspects.end_server(identity, born_ms, clock.now_ms())
        self.report(found, reason)

    def silence_server(self, announcement):
        """Record that a server's announcements have stopped.

        A server that is cut off from the control hosts only still answers.
        """
        server = self.gateway.pool.servers.get(announcement.identity)
        if server is not None and clock.now_ms() - server.heard_ms <= SILENCE_MS:
            return
        self.end_server(announcement, "announcements_stopped")

    def record_probe(self, announcement, state, asked_ms):
        """Record what a server said after an answer broke off.

        Parameters
        ----------
        announcement : that of the start whose answer broke off.
        state : `starts.StartState`.
        asked_ms : when the server was asked.
        """
        identity, born_ms = announcement.identity, announcement.born_ms
        self.log.info(
            "crashes: A server was asked whether it has ended.",
            server=identity,
            born=born_ms,
            state=str(state),
        )
        if state is starts.StartState.ALIVE:
            self.withdraw(identity, born_ms, 0, asked_ms, "probe")
        elif state is not starts.StartState.UNKNOWN:
            self.suspects.confirm(identity, born_ms, clock.now_ms())
            self.gateway.gossip.send_soon()

    def withdraw(self, server, born_ms, since_ms, until_ms, reason):
        """Record that a server has lived on from one time to another."""
        count = self.suspects.withdraw(
            server, born_ms, since_ms, until_ms, clock.now_ms()
        )
        if count:
            self.log.info(
                "crashes: A server has not ended.",
                server=server,
                born=born_ms,
                withdrawn=count,
                reason=reason,
            )
            self.gateway.gossip.send_soon()

    # Exchange with other gateways.

    def reports(self, since_ms=None):
        """Return the `messages.CrashReport`s to send to the other gateways.

        Those of what has changed since `since_ms`, or all that are told at times.
        """
        now_ms = clock.now_ms()
        records = self.suspects.shared_records(now_ms, since_ms)
        return tuple(make_report(*each, now_ms) for each in records)

    def tell_started_peer(self, name):
        """Tell a gateway that has started what it would have known.

        Without completions, contents that many callers send would look as if they had
        ended the servers at which they ran.
        """
        now_ms = clock.now_ms()
        records = self.suspects.latest_records(now_ms)
        reports = [make_report(*each, now_ms) for each in records]
        completions = [
            messages.Completion(
                content,
                workspace or "",
                workspace is None,
                now_ms - completed_ms,
                version,
            )
            for (content, workspace, version), completed_ms in (
                self.suspects.recent_completions()
            )
        ]
        completed_parts = [
            messages.PartCompletion(part, now_ms - completed_ms)
            for part, completed_ms in (
                self.suspects.parts.completions.latest(suspects.MAX_TOLD)
            )
        ]
        rows = max(map(len, (reports, completions, completed_parts)))
        for at in range(0, rows, ROWS_PER_DATAGRAM):
            part = slice(at, at + ROWS_PER_DATAGRAM)
            history = messages.CrashHistory(
                tuple(reports[part]),
                tuple(completions[part]),
                tuple(completed_parts[part]),
            )
            self.gateway.gossip.send_message((name,), history)

    def handle_history(self, history, name):
        """Add what another gateway has told this one at its start."""
        now_ms = clock.now_ms()
        for each in history.completions:
            workspace = None if each.is_of_all else each.workspace
            key = each.content, workspace, each.version
            self.suspects.add_completion(key, now_ms - each.age_ms, now_ms)
        for each in history.parts:
            self.suspects.complete_parts(
                (each.part,), name, now_ms, now_ms - each.age_ms
            )
        self.merge(name, history.crashes)

    def merge(self, name, reports):
        """Add the crashes that another gateway reports."""
        now_ms = clock.now_ms()
        for each in reports:
            crash = suspects.Crash(
                each.content,
                each.workspace,
                each.server,
                each.born_ms,
                each.ordinal,
                each.parts,
            )
            ended_ms = now_ms - each.age_ms
            evidence = suspects.Evidence(
                ended_ms - each.duration_ms,
                ended_ms,
                each.is_confirmed,
                each.is_disproved,
                each.is_disproved_for_workspace,
                each.is_withdrawn,
                each.completed_after,
                each.completed_before,
                each.version,
            )
            if self.suspects.add(crash, evidence, now_ms):
                self.log_crash(crash, f"reported_by_{name}", each.age_ms)

    # Periodic work, logs and metrics.

    def tick(self, now_ms):
        """Drop what no longer counts, once a second."""
        if now_ms >= self.next_purge_ms:
            self.next_purge_ms = now_ms + PURGE_INTERVAL_MS
            self.suspects.remove_expired(now_ms)
            self.suspects.update_attribution(now_ms)
            self.log_part_news()

    def log_part_news(self):
        """Log and count the parts that were held, or let in again."""
        news = self.suspects.parts.news
        while news:
            part, hold = news.popleft()
            change = "released" if hold is None else "held"
            self.gateway.metrics.count("gateway_part_holds", change=change)
            details = {}
            if hold is not None:
                details = {
                    "crashes": hold.crashes,
                    "servers": ",".join(hold.servers),
                    "crashed_ms_ago": clock.now_ms() - hold.crashed_ms,
                    "hold_ms": hold.until_ms - hold.crashed_ms,
                }
            self.log.info(
                "crashes: A part was held or let in again.",
                part=parts.part_name(part),
                change=change,
                **details,
            )

    def report(self, found, reason):
        """Log new crashes by their runs and send them to the other gateways."""
        for run, crash in found.items():
            self.log_crash(crash, reason, 0, run)
            self.gateway.metrics.count("gateway_crashes", reason=reason)
        if found:
            self.gateway.gossip.send_soon()

    def log_crash(self, crash, reason, age_ms, run=None):
        """Log a new crash and how many are known of the request.

        `age_ms` is how long ago the run ended, `run` the `suspects.Run` if it was one
        of this gateway.
        """
        self.log.info(
            "crashes: A server ended or broke off while it ran a request.",
            id=run.attempt_id if run else "",
            content=crash.content,
            parts=part_names(crash.parts),
            age_ms=age_ms,
            workspace=crash.workspace,
            server=crash.server,
            born=crash.born_ms,
            ordinal=crash.ordinal,
            reason=reason,
            records=len(self.suspects.by_content.get(crash.content, ())),
        )

    def register_gauges(self, gauge):
        """Register the gauges of the tables."""
        gauge("gateway_crash_records", self.suspects.record_count)
        gauge(
            "gateway_held_requests",
            lambda: len(self.suspects.contents_at_limit(clock.now_ms())),
        )
        gauge("gateway_held_parts", lambda: len(self.suspects.parts.holds))


def part_names(keys):
    """Return the names of the first parts of a prompt for the log."""
    return ",".join(parts.part_name(each) for each in keys[:MAX_LOGGED_PARTS])


def make_report(crash, evidence, now_ms):
    """Return the message record of a crash."""
    return messages.CrashReport(
        crash.content,
        crash.workspace,
        crash.server,
        crash.born_ms,
        crash.ordinal,
        max(0, now_ms - evidence.ended_ms),
        max(0, evidence.ended_ms - evidence.sent_ms),
        evidence.is_confirmed,
        evidence.is_disproved,
        evidence.is_disproved_for_workspace,
        crash.parts,
        evidence.is_withdrawn,
        evidence.completed_after,
        evidence.completed_before,
        evidence.version,
    )
