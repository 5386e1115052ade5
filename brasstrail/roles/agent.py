"""The agent role: stands beside one backend server and admits work to it.

The server announces itself here, over loopback. The agent makes itself known
as a member for that service, takes offers from entries, and runs what it
granted. It keeps its own account of what the server has to do, and tells the
entries that follow it.
"""

from tornado import httpserver, ioloop

from brasstrail.coordination import admission, cache, dispatches, slopes
from brasstrail.core import clock, data, errors
from brasstrail.protocol import chat, codec, messages
from brasstrail.roles import backend, metrics, modelrun, plainrun, runs, web

TICK_MS = 100
TICKS_PER_STATE_REPORT = 5
MAX_REPORTED_BLOCKS = 256
STALL_BACKOFF_MS = 5000
MAX_ANNOUNCEMENT_BYTES = 65536
# Importing these fills the registry of runs.
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
    running : the runs by their dispatch number.
    """

    def __init__(self, hub, attachment):
        self.hub = hub
        self.log = hub.log
        self.settings = hub.settings.agent
        self.attachment = attachment
        self.client = backend.make_client()
        self.speed = slopes.Speed()
        self.admission = admission.Admission(self.settings.grant_hold_ms, self.speed)
        self.cache = cache.CacheAccount()
        self.server = None
        self.last_announced_ms = 0
        self.stalled_until_ms = 0
        self.last_down_ms = -1
        self.running = {}
        self.followers = {}
        self.dispatches = dispatches.Dispatches(hub.incarnation)
        self.draining = False
        self.ticks = 0
        self.http = None
        self.metrics = metrics.Metrics()
        self.metrics.gauge("agent_running", lambda: len(self.running))
        self.metrics.gauge("agent_offers", lambda: len(self.admission.offers))
        self.metrics.gauge("agent_open", lambda: int(self.admission.open))
        self.metrics.gauge("agent_health", lambda: self.speed.health)
        metrics.gauge_bytes(self.metrics, hub)
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        hub.handlers.append(self)

    def start(self):
        """Listen for the server's announcements."""
        app = web.make_app(self, [(r"/v1/announce", AnnounceHandler)])
        self.http = httpserver.HTTPServer(app, max_body_size=MAX_ANNOUNCEMENT_BYTES)
        self.http.listen(self.settings.announce_port, "127.0.0.1")
        self.ticker.start()

    def close(self):
        """Stop."""
        self.ticker.stop()
        self.http.stop()
        self.client.close()

    def start_draining(self):
        """Admit nothing more, and say so."""
        self.draining = True
        self.send_decisions(self.admission.close())
        self.publish_state()

    @property
    def ready(self):
        """Whether the server may be given new work."""
        return self.admission.open

    @property
    def idle(self):
        """Whether nothing runs."""
        return not self.running

    # The server.

    def handle_announcement(self, server):
        """Take the server's announcement of itself."""
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
        """Return whether the server may be given new work."""
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
        """Give nothing to a server that broke off until it announces itself."""
        self.last_down_ms = clock.now_ms()
        self.cache.clear()
        self.tick()

    def mark_stalled(self):
        """Give a server that stalled nothing for a while."""
        self.stalled_until_ms = clock.now_ms() + STALL_BACKOFF_MS
        self.log.warning("agent: The backend server has stalled.")
        self.tick()

    def prefill_backlog(self):
        """Return the prompt tokens that still wait for prefill."""
        return sum(
            self.count_uncached_prompt_tokens(run.work)
            for run in self.running.values()
            if not run.prefilled
        )

    def count_uncached_prompt_tokens(self, work):
        """Return the prompt tokens that the engine has not cached."""
        held = self.cache.held(work.prefix) * chat.BLOCK_TOKENS
        return max(1, work.prompt_tokens - held)

    def record_prefill(self, run, elapsed_ms):
        """Learn from a first token, and account for the cache."""
        run.prefilled = True
        if not run.start.resume_text:
            self.speed.note_first_token(run.initial_backlog_tokens, elapsed_ms)
        self.cache.note_prefilled(run.work.prefix)

    def cancel_at_engine(self, dispatch_id):
        """Tell the engine that nobody waits for an answer."""
        url = self.server.url + runs.CANCEL_PATH
        body = {"request_id": dispatch_id}
        self.hub.spawn(backend.fetch_json(self.client, url, body))

    # Time.

    def tick(self):
        """Adapt to the server's state; poll it and tell the followers."""
        now_ms = clock.now_ms()
        self.ticks += 1
        was_open = self.admission.open
        self.admission.open = self.can_admit(now_ms)
        if self.server is not None:
            share = max(MIN_SLOT_FRACTION, self.speed.health)
            self.admission.slots = max(1, round(self.server.slots * share))
        if was_open and not self.admission.open:
            self.send_decisions(self.admission.close())
            self.publish_state()
        self.send_decisions(self.admission.decide(now_ms))
        if self.ticks % TICKS_PER_STATE_REPORT == 0:
            self.publish_state()
            self.start_cache_poll()

    def start_cache_poll(self):
        """Ask a model engine for its cache events."""
        server = self.server
        if server is not None and server.kind == data.ServiceKind.MODEL:
            self.hub.spawn(self.poll_cache(server.url))

    async def poll_cache(self, url):
        """Correct the cache account by the engine's events."""
        after = self.cache.last_event
        response = await backend.fetch_json(
            self.client, f"{url}/v1/cache/events?after={after}"
        )
        if response is None:
            return
        if response.get("last", after) < after:
            self.cache.clear()
        for event in response.get("events", []):
            self.cache.note_event(event["number"], event["action"], event["block"])

    def publish_state(self):
        """Tell the entries that follow this agent about its server."""
        if self.server is None:
            return
        state = self.make_server_state(self.cache.take_fresh(MAX_REPORTED_BLOCKS))
        payload = codec.encode(codec.MESSAGE, state)
        for link in self.followers.values():
            if link.connected:
                link.send_payload(payload)

    def make_server_state(self, blocks):
        """Return the agent's account of its server, with some cached blocks."""
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
            not self.admission.open,
            blocks,
            self.speed.prefill_peak,
            self.speed.token_ms(1),
            self.cache.generation,
        )

    # Entries.

    def link_up(self, link):
        """A connection carries a link."""

    def link_reset(self, link):
        """An entry is gone: end what only it waited for."""
        self.followers.pop(link.name, None)
        self.send_decisions(self.admission.forget_entry(link.name, clock.now_ms()))
        for run in list(self.running.values()):
            if run.link is link and not run.must_finish:
                run.abort()

    def link_message(self, link, message):
        """Take a message from an entry."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def send_decisions(self, decisions):
        """Send the decisions of the admission."""
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
        """Tell an entry about the server from here on."""
        self.followers[follow.entry] = link
        if self.server is not None:
            link.send(self.make_server_state(self.cache.newest(MAX_REPORTED_BLOCKS)))

    def handle_offer(self, link, offer):
        """Take an entry's offer."""
        self.send_decisions(self.admission.offer(link.name, offer, clock.now_ms()))

    def handle_withdraw(self, link, withdraw):
        """Forget an entry's offer."""
        now_ms = clock.now_ms()
        self.send_decisions(
            self.admission.withdraw(link.name, withdraw.offer_id, now_ms)
        )

    def handle_start(self, link, start):
        """Run a request, unless it must not be run here and now."""
        refusal = self.start_refusal(link, start)
        if refusal is not None:
            self.log.info(
                "agent: A request is refused.",
                request=start.dispatch_id,
                reason=refusal,
            )
            link.send(make_refused_fault(start.dispatch_id, refusal))
            return
        if start.key:
            self.dispatches.note_started(start.dispatch_id)
        run = runs.RUN_CLASSES[self.server.kind](self, link, start)
        self.running[start.dispatch_id] = run
        run.initial_backlog_tokens = self.prefill_backlog()
        self.hub.spawn(run.run())

    def start_refusal(self, link, start):
        """Return why a request must not be run, or None."""
        refusal = self.dispatches.refusal(start.dispatch_id, start.incarnation)
        if refusal is not None:
            return refusal
        if self.server is None:
            return "there is no backend server"
        now_ms = clock.now_ms()
        if start.pushed:
            self.admission.start_unasked(start.work, start.slack_ms, now_ms)
            return None
        return self.admission.start(link.name, start.work, start.slack_ms, now_ms)

    def handle_run_end(self, run, fault):
        """Note the end of a run."""
        self.running.pop(run.dispatch_id, None)
        self.metrics.count("runs", outcome="failed" if fault else "whole")
        self.log.info(
            "agent: A request ended.",
            request=run.dispatch_id,
            outcome=fault.message if fault else "whole",
        )
        self.send_decisions(self.admission.finish(run.dispatch_id, clock.now_ms()))

    def handle_credit(self, link, credit):
        """Let a stream go on."""
        run = self.running.get(credit.dispatch_id)
        if run is not None:
            run.add_credit(credit.amount)

    def handle_cancel(self, link, cancel):
        """End a run that nobody waits for; never one that must not run twice."""
        run = self.running.get(cancel.dispatch_id)
        if run is not None and not run.must_finish:
            run.abort()

    def handle_revoke(self, link, revoke):
        """Rule a dispatch out, if it has not been started."""
        dispatch_id = revoke.dispatch_id
        ruled_out = self.dispatches.rule_out(dispatch_id, revoke.incarnation)
        link.send(messages.Revoked(dispatch_id, not ruled_out))

    def handle_raise_floor(self, link, floor):
        """Bar the lower tiers, and say that they are barred."""
        if self.server is not None and floor.service == self.server.service:
            now_ms = clock.now_ms()
            self.send_decisions(
                self.admission.raise_floor(floor.tier, floor.lease_ms, now_ms)
            )
        link.send(messages.FloorHeld(floor.floor_id, self.hub.name))


def make_refused_fault(dispatch_id, refusal):
    """Return the message for a request that was not started here and now."""
    ran = data.Ran.NOT_RUN
    if refusal == dispatches.RUNS_ALREADY:
        ran = data.Ran.UNKNOWN
    return messages.Fault(
        dispatch_id,
        errors.NoServer.code,
        f"The agent did not start the request: {refusal}.",
        "The entry places it elsewhere, unless it was started before.",
        str(ran),
    )


class AnnounceHandler(web.Handler):
    """POST /v1/announce: the backend server's word of itself."""

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
