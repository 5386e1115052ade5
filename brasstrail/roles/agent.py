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
STATE_EVERY_TICKS = 5
NEWEST_BLOCKS = 256
STALL_REST_MS = 5000
MAX_ANNOUNCEMENT_BYTES = 65536
# Importing these fills the registry of runs.
RUN_MODULES = (modelrun, plainrun)
MIN_HEALTH_SHARE = 0.1


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
        self.cache = cache.PrefixCacheIndex()
        self.server = None
        self.announced_ms = 0
        self.stalled_until_ms = 0
        self.down_ms = -1
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

    def begin_draining(self):
        """Admit nothing more, and say so."""
        self.draining = True
        self.carry_out(self.admission.close())
        self.publish()

    @property
    def ready(self):
        """Whether the server may be given new work."""
        return self.admission.open

    @property
    def idle(self):
        """Whether nothing runs."""
        return not self.running

    # The server.

    def announced(self, server):
        """Take the server's announcement of itself."""
        self.announced_ms = clock.now_ms()
        if server == self.server:
            return
        first = self.server is None or self.server.url != server.url
        self.server = server
        self.admission.models = server.models
        if first:
            self.cache.clear()
            self.log.info(
                "agent: A backend server announced itself.",
                service=server.service,
                url=server.url,
            )
        self.attachment.update_member(service=server.service)
        self.tick()
        self.publish()

    def is_open(self, now_ms):
        """Return whether the server may be given new work."""
        if self.server is None or self.server.leaving or self.draining:
            return False
        if now_ms < self.stalled_until_ms or self.announced_ms <= self.down_ms:
            return False
        silent_ms = now_ms - self.announced_ms
        return silent_ms <= self.settings.announce_timeout_ms

    def note_down(self):
        """Give nothing to a server that broke off until it announces itself."""
        self.down_ms = clock.now_ms()
        self.cache.clear()
        self.tick()

    def note_stall(self):
        """Give a server that stalled nothing for a while."""
        self.stalled_until_ms = clock.now_ms() + STALL_REST_MS
        self.log.warning("agent: The backend server has stalled.")
        self.tick()

    def prefill_backlog(self):
        """Return the prompt tokens that still wait for prefill."""
        return sum(
            self.uncached(run.work)
            for run in self.running.values()
            if not run.prefilled
        )

    def uncached(self, work):
        """Return the prompt tokens that the engine has not cached."""
        held = self.cache.held(work.prefix) * chat.BLOCK_TOKENS
        return max(1, work.prompt_tokens - held)

    def note_prefilled(self, run, elapsed_ms):
        """Learn from a first token, and account for the cache."""
        run.prefilled = True
        if not run.start.resume_text:
            self.speed.note_first_token(run.backlog, elapsed_ms)
        self.cache.record_prefilled(run.work.prefix)

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
        self.admission.open = self.is_open(now_ms)
        if self.server is not None:
            share = max(MIN_HEALTH_SHARE, self.speed.health)
            self.admission.slots = max(1, round(self.server.slots * share))
        if was_open and not self.admission.open:
            self.carry_out(self.admission.close())
            self.publish()
        self.carry_out(self.admission.decide(now_ms))
        if self.ticks % STATE_EVERY_TICKS == 0:
            self.publish()
            self.poll()

    def poll(self):
        """Ask a model engine for its cache events."""
        server = self.server
        if server is not None and server.kind == data.ServiceKind.MODEL:
            self.hub.spawn(self.poll_cache(server.url))

    async def poll_cache(self, url):
        """Correct the cache account by the engine's events."""
        after = self.cache.last_event
        news = await backend.fetch_json(
            self.client, f"{url}/v1/cache/events?after={after}"
        )
        if news is None:
            return
        if news.get("last", after) < after:
            self.cache.clear()
        for event in news.get("events", []):
            self.cache.apply_event(event["number"], event["action"], event["block"])

    def publish(self):
        """Tell the entries that follow this agent about its server."""
        if self.server is None:
            return
        state = self.make_state(self.cache.take_new_blocks(NEWEST_BLOCKS))
        payload = codec.encode(codec.MESSAGE, state)
        for link in self.followers.values():
            if link.connected:
                link.send_payload(payload)

    def make_state(self, blocks):
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
        self.carry_out(self.admission.forget_entry(link.name, clock.now_ms()))
        for run in list(self.running.values()):
            if run.link is link and not run.must_finish:
                run.abort()

    def link_message(self, link, message):
        """Take a message from an entry."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def carry_out(self, decisions):
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

    def take_follow(self, link, follow):
        """Tell an entry about the server from here on."""
        self.followers[follow.entry] = link
        if self.server is not None:
            link.send(self.make_state(self.cache.most_recent_blocks(NEWEST_BLOCKS)))

    def take_offer(self, link, offer):
        """Take an entry's offer."""
        self.carry_out(self.admission.offer(link.name, offer, clock.now_ms()))

    def take_withdraw(self, link, withdraw):
        """Forget an entry's offer."""
        now_ms = clock.now_ms()
        self.carry_out(self.admission.withdraw(link.name, withdraw.offer_id, now_ms))

    def take_start(self, link, start):
        """Run a request, unless it must not be run here and now."""
        refusal = self.refuse_start(link, start)
        if refusal is not None:
            self.log.info(
                "agent: A request is refused.",
                request=start.dispatch_id,
                reason=refusal,
            )
            link.send(refused_fault(start.dispatch_id, refusal))
            return
        if start.key:
            self.dispatches.note_started(start.dispatch_id)
        run = runs.RUNNERS[self.server.kind](self, link, start)
        self.running[start.dispatch_id] = run
        run.backlog = self.prefill_backlog()
        self.hub.spawn(run.run())

    def refuse_start(self, link, start):
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

    def run_ended(self, run, fault):
        """Note the end of a run."""
        self.running.pop(run.dispatch_id, None)
        self.metrics.count("runs", outcome="failed" if fault else "whole")
        self.log.info(
            "agent: A request ended.",
            request=run.dispatch_id,
            outcome=fault.message if fault else "whole",
        )
        self.carry_out(self.admission.finish(run.dispatch_id, clock.now_ms()))

    def take_credit(self, link, credit):
        """Let a stream go on."""
        run = self.running.get(credit.dispatch_id)
        if run is not None:
            run.add_credit(credit.amount)

    def take_cancel(self, link, cancel):
        """End a run that nobody waits for; never one that must not run twice."""
        run = self.running.get(cancel.dispatch_id)
        if run is not None and not run.must_finish:
            run.abort()

    def take_revoke(self, link, revoke):
        """Rule a dispatch out, if it has not been started."""
        dispatch_id = revoke.dispatch_id
        ruled_out = self.dispatches.rule_out(dispatch_id, revoke.incarnation)
        link.send(messages.Revoked(dispatch_id, not ruled_out))

    def take_floor(self, link, floor):
        """Bar the lower tiers, and say that they are barred."""
        if self.server is not None and floor.service == self.server.service:
            now_ms = clock.now_ms()
            self.carry_out(
                self.admission.raise_floor(floor.tier, floor.lease_ms, now_ms)
            )
        link.send(messages.FloorHeld(floor.floor_id, self.hub.name))


def refused_fault(dispatch_id, refusal):
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

    open_to_all = True

    def post(self):
        server = self.read_record(self.read_json(), data.Server)
        if server.kind not in runs.RUNNERS:
            raise errors.BadRequest(
                f"The kind {server.kind!r} is not known.",
                f"Announce one of {', '.join(sorted(runs.RUNNERS))}.",
            )
        self.role.announced(server)
        self.write_json({"agent": self.role.hub.name})


HANDLERS = {
    messages.Follow: Agent.take_follow,
    messages.Offer: Agent.take_offer,
    messages.Withdraw: Agent.take_withdraw,
    messages.Start: Agent.take_start,
    messages.Credit: Agent.take_credit,
    messages.Cancel: Agent.take_cancel,
    messages.Revoke: Agent.take_revoke,
    messages.RaiseFloor: Agent.take_floor,
}
