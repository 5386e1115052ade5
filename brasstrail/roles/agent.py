"""The agent role: admits requests to one backend server on the same host.

The server announces itself to the agent over loopback. The agent then registers
as a member for the server's service, grants offers of entries, and runs the
requests that it granted. It tracks the server's load itself and reports it to the
entries that subscribed.
"""

from tornado import ioloop

from brasstrail.coordination import admission, cache, dispatches, slopes
from brasstrail.core import clock, data, errors
from brasstrail.protocol import chat, codec, messages
from brasstrail.roles import backend, metrics, modelrun, plainrun, runs, web
from brasstrail.transport import listening

TICK_MS = 100
TICKS_PER_STATE_REPORT = 5
MAX_REPORTED_BLOCKS = 256
STALL_BACKOFF_MS = 5000
MAX_ANNOUNCEMENT_BYTES = 65536
# Importing these modules registers their run classes in `runs.RUN_CLASSES`.
RUN_MODULES = (modelrun, plainrun)
MIN_SLOT_FRACTION = 0.1


class Agent:
    """The agent role of a process.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    attachment : `attachment.Attachment` of the process.

    Attributes
    ----------
    server : `data.Server`, or None before one has announced itself.
    admission : decides which offers are granted and which requests are started.
    cache : the blocks of prompt prefixes that the engine has cached.
    running : `runs.Run` by dispatch id.
    dispatches : the dispatches with a key that were started, and the revoked ones.
    followers : the links to the entries that subscribed to state reports, by
        entry name.
    stalled_until_ms : until when no work is admitted after a stall.
    last_down_ms : when the server last failed; it gets no work until its next
        announcement. -1 before any failure.
    """

    def __init__(self, hub, attachment):
        self.hub = hub
        self.log = hub.log
        self.settings = hub.settings.agent
        self.attachment = attachment
        self.client = backend.make_client()
        self.speed = slopes.SpeedEstimator()
        self.admission = admission.AdmissionController(
            self.settings.grant_hold_ms, self.speed
        )
        self.cache = cache.PrefixCacheIndex()
        self.server = None
        self.last_announced_ms = 0
        self.stalled_until_ms = 0
        self.last_down_ms = -1
        self.running = {}
        self.followers = {}
        self.dispatches = dispatches.DispatchHistory(hub.incarnation)
        self.draining = False
        self.ticks = 0
        self.http = None
        self.metrics = metrics.Metrics()
        self.metrics.gauge("agent_running", lambda: len(self.running))
        self.metrics.gauge("agent_offers", lambda: len(self.admission.offers))
        self.metrics.gauge("agent_open", lambda: int(self.admission.accepting))
        self.metrics.gauge("agent_health", lambda: self.speed.health)
        metrics.register_bytes_sent_gauges(self.metrics, hub)
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        hub.handlers.append(self)

    def start(self):
        """Start the HTTP server for the backend server's announcements."""
        app = web.make_app(self, [(r"/v1/announce", AnnounceHandler)])
        self.http = listening.Server(
            app, self.hub.account, max_body_size=MAX_ANNOUNCEMENT_BYTES
        )
        self.http.listen(self.settings.announce_port, "127.0.0.1")
        self.ticker.start()

    def close(self):
        """Stop the timer, the HTTP server and the HTTP client."""
        self.ticker.stop()
        self.http.stop()
        self.client.close()

    def start_draining(self):
        """Stop admitting work and report this to the entries."""
        self.draining = True
        self.send_decisions(self.admission.close())
        self.publish_state()

    @property
    def ready(self):
        """Whether the agent admits new work."""
        return self.admission.accepting

    @property
    def idle(self):
        """Whether no request is running."""
        return not self.running

    # The server.

    def handle_announcement(self, server):
        """Update the server's record and this member from an announcement."""
        self.last_announced_ms = clock.now_ms()
        if server == self.server:
            return
        is_new_server = self.server is None or self.server.url != server.url
        self.server = server
        self.admission.models = server.models
        if is_new_server:
            self.cache.clear()
            self.log.info(
                "agent: A backend server announced itself.",
                service=server.service,
                url=server.url,
            )
        self.attachment.update_member(service=server.service)
        self.tick()
        self.publish_state()

    def can_admit(self, now_ms):
        """Return whether the server may be given new work.

        It may not while it is leaving, stalled or down, while the agent drains, or
        if its last announcement is older than `announce_timeout_ms`.
        """
        if self.server is None or self.server.leaving or self.draining:
            return False
        if (
            now_ms < self.stalled_until_ms
            or self.last_announced_ms <= self.last_down_ms
        ):
            return False
        silent_ms = now_ms - self.last_announced_ms
        return silent_ms <= self.settings.announce_timeout_ms

    def mark_down(self):
        """Stop admitting work until a server that failed announces itself again."""
        self.last_down_ms = clock.now_ms()
        self.cache.clear()
        self.tick()

    def mark_stalled(self):
        """Stop admitting work for `STALL_BACKOFF_MS` after the server stalled."""
        self.stalled_until_ms = clock.now_ms() + STALL_BACKOFF_MS
        self.log.warning("agent: The backend server stalled; admission is paused.")
        self.tick()

    def prefill_backlog(self):
        """Return the uncached prompt tokens of running requests to be prefilled."""
        return sum(
            self.count_uncached_prompt_tokens(run.work)
            for run in self.running.values()
            if not run.prefilled
        )

    def count_uncached_prompt_tokens(self, work):
        """Return the prompt tokens that the engine has not cached, at least 1."""
        held = self.cache.held(work.prefix) * chat.BLOCK_TOKENS
        return max(1, work.prompt_tokens - held)

    def record_prefill(self, run, elapsed_ms):
        """Update the learned speed and the prefix cache index after a first token.

        Resumed requests are excluded from the learned speed.
        """
        run.prefilled = True
        if not run.start.resume_text:
            self.speed.record_first_token(run.initial_backlog_tokens, elapsed_ms)
        self.cache.record_prefilled(run.work.prefix)

    def cancel_at_engine(self, dispatch_id):
        """Ask the engine to cancel a request whose answer is no longer needed."""
        url = self.server.url + runs.CANCEL_PATH
        body = {"request_id": dispatch_id}
        self.hub.spawn(backend.fetch_json(self.client, url, body))

    # Periodic work.

    def tick(self):
        """Update admission from the server's state, and decide on open offers.

        Every `TICKS_PER_STATE_REPORT` ticks, report the state to the entries and
        poll the engine's cache events. The admitted slots shrink with the server's
        health, but not below the fraction `MIN_SLOT_FRACTION`.
        """
        now_ms = clock.now_ms()
        self.ticks += 1
        was_open = self.admission.accepting
        self.admission.accepting = self.can_admit(now_ms)
        if self.server is not None:
            share = max(MIN_SLOT_FRACTION, self.speed.health)
            self.admission.slots = max(1, round(self.server.slots * share))
        if was_open and not self.admission.accepting:
            self.send_decisions(self.admission.close())
            self.publish_state()
        self.send_decisions(self.admission.grant_offers(now_ms))
        if self.ticks % TICKS_PER_STATE_REPORT == 0:
            self.publish_state()
            self.start_cache_poll()

    def start_cache_poll(self):
        """Start a task that polls the cache events of a model engine."""
        server = self.server
        if server is not None and server.kind == data.ServiceKind.MODEL:
            self.hub.spawn(self.poll_cache(server.url))

    async def poll_cache(self, url):
        """Fetch the engine's new cache events and apply them to the prefix cache index.

        A last event number below the known one means that the engine restarted with
        an empty cache.
        """
        after = self.cache.last_event
        response = await backend.fetch_json(
            self.client, f"{url}/v1/cache/events?after={after}"
        )
        if response is None:
            return
        if response.get("last", after) < after:
            self.cache.clear()
        for event in response.get("events", []):
            self.cache.apply_event(event["number"], event["action"], event["block"])

    def publish_state(self):
        """Send the server's state to all subscribed entries.

        The message is encoded once for all of them.
        """
        if self.server is None:
            return
        state = self.make_server_state(self.cache.take_new_blocks(MAX_REPORTED_BLOCKS))
        payload = codec.encode(codec.MESSAGE, state)
        for link in self.followers.values():
            if link.connected:
                link.send_payload(payload)

    def make_server_state(self, blocks):
        """Return the `messages.ServerState` with the given cached blocks."""
        server = self.server
        return messages.ServerState(
            self.hub.name,
            self.hub.incarnation,
            server.service,
            server.kind,
            server.models,
            self.admission.capacity,
            len(self.running),
            len(self.admission.offers),
            self.prefill_backlog(),
            self.speed.prefill_rate,
            1000 / self.speed.token_ms(len(self.running) + 1),
            self.speed.health,
            not self.admission.accepting,
            blocks,
            self.speed.prefill_peak,
            self.speed.token_ms(1),
            self.cache.generation,
        )

    # Entries.

    def link_up(self, link):
        """Do nothing: entries subscribe with `messages.Follow`."""

    def link_reset(self, link):
        """Drop the offers of an entry that lost its session, and abort its runs.

        Runs that must finish go on.
        """
        self.followers.pop(link.name, None)
        self.send_decisions(self.admission.remove_entry(link.name, clock.now_ms()))
        for run in list(self.running.values()):
            if run.link is link and not run.must_finish:
                run.abort()

    def link_message(self, link, message):
        """Dispatch a message from an entry to its handler."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def send_decisions(self, decisions):
        """Log admission decisions and send them to the subscribed entries."""
        for decision in decisions:
            link = self.followers.get(decision.entry)
            if link is not None:
                link.send(decision.message)
            self.log.info(
                "agent: Offer decided.",
                decision=type(decision.message).__name__.lower(),
                offer=decision.message.offer_id,
                reason=decision.reason,
            )

    def handle_follow(self, link, follow):
        """Subscribe an entry to state reports, and send it the current state."""
        self.followers[follow.entry] = link
        if self.server is not None:
            link.send(
                self.make_server_state(
                    self.cache.most_recent_blocks(MAX_REPORTED_BLOCKS)
                )
            )

    def handle_offer(self, link, offer):
        """Add an entry's offer to the admission and send the decisions."""
        self.send_decisions(self.admission.offer(link.name, offer, clock.now_ms()))

    def handle_withdraw(self, link, withdraw):
        """Remove an entry's offer and send the decisions that follow."""
        now_ms = clock.now_ms()
        self.send_decisions(
            self.admission.withdraw(link.name, withdraw.offer_id, now_ms)
        )

    def handle_start(self, link, start):
        """Start the run of a request, or send a fault if it must not be started."""
        refusal = self.start_refusal(link, start)
        if refusal is not None:
            self.log.info(
                "agent: A request was not started.",
                request=start.dispatch_id,
                reason=refusal,
            )
            link.send(make_refused_fault(start.dispatch_id, refusal))
            return
        if start.key:
            self.dispatches.record_started(start.dispatch_id)
        run = runs.RUN_CLASSES[self.server.kind](self, link, start)
        self.running[start.dispatch_id] = run
        run.initial_backlog_tokens = self.prefill_backlog()
        self.hub.spawn(run.run())

    def start_refusal(self, link, start):
        """Return why a request must not be started, or None once it is admitted."""
        refusal = self.dispatches.rejection_reason(start.dispatch_id, start.incarnation)
        if refusal is not None:
            return refusal
        if self.server is None:
            return "there is no backend server"
        now_ms = clock.now_ms()
        if start.pushed:
            self.admission.start_unconditionally(start.work, start.slack_ms, now_ms)
            return None
        return self.admission.start(link.name, start.work, start.slack_ms, now_ms)

    def handle_run_end(self, run, fault):
        """Remove, count and log a run that has ended, and free its capacity."""
        self.running.pop(run.dispatch_id, None)
        self.metrics.count("runs", outcome="failed" if fault else "whole")
        self.log.info(
            "agent: A request ended.",
            request=run.dispatch_id,
            outcome=fault.message if fault else "whole",
        )
        self.send_decisions(self.admission.finish(run.dispatch_id, clock.now_ms()))

    def handle_credit(self, link, credit):
        """Extend the stream window of a run."""
        run = self.running.get(credit.dispatch_id)
        if run is not None:
            run.add_credit(credit.amount)

    def handle_cancel(self, link, cancel):
        """Abort a cancelled run, unless it must finish.

        A run that must not run twice goes on, so that its outcome is recorded.
        """
        run = self.running.get(cancel.dispatch_id)
        if run is not None and not run.must_finish:
            run.abort()

    def handle_revoke(self, link, revoke):
        """Bar a dispatch from ever starting, unless it was started already."""
        dispatch_id = revoke.dispatch_id
        ruled_out = self.dispatches.revoke_if_unstarted(dispatch_id, revoke.incarnation)
        link.send(messages.Revoked(dispatch_id, not ruled_out))

    def handle_raise_floor(self, link, floor):
        """Raise the tier floor for this server's service, and confirm it.

        Lower tiers are not started for `lease_ms`. A floor for another service is
        confirmed without effect.
        """
        if self.server is not None and floor.service == self.server.service:
            now_ms = clock.now_ms()
            self.send_decisions(
                self.admission.raise_floor(floor.tier, floor.lease_ms, now_ms)
            )
        link.send(messages.FloorHeld(floor.floor_id, self.hub.name))


def make_refused_fault(dispatch_id, refusal):
    """Return the fault for a request that the agent refused to start.

    The fault reports the request as not run, or as unknown if the same dispatch was
    started before.
    """
    ran = data.RunStatus.NOT_RUN
    if refusal == dispatches.ALREADY_STARTED:
        ran = data.RunStatus.UNKNOWN
    return messages.Fault(
        dispatch_id,
        errors.NoServer.code,
        f"The agent did not start the request: {refusal}.",
        "The entry places it elsewhere, unless it was started before.",
        str(ran),
    )


class AnnounceHandler(web.Handler):
    """POST /v1/announce: announcements of the backend server."""

    allow_anonymous = True

    def post(self):
        server = self.read_record(self.read_json(), data.Server)
        if server.kind not in runs.RUN_CLASSES:
            raise errors.BadRequest(
                f"The kind {server.kind!r} is not known.",
                f"Announce one of {', '.join(sorted(runs.RUN_CLASSES))}.",
            )
        self.role.handle_announcement(server)
        self.write_json({"agent": self.role.hub.name})


HANDLERS = {
    messages.Follow: Agent.handle_follow,
    messages.Offer: Agent.handle_offer,
    messages.Withdraw: Agent.handle_withdraw,
    messages.Start: Agent.handle_start,
    messages.Credit: Agent.handle_credit,
    messages.Cancel: Agent.handle_cancel,
    messages.Revoke: Agent.handle_revoke,
    messages.RaiseFloor: Agent.handle_raise_floor,
}
