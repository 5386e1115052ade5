"""The entry role: takes callers' requests and has them run.

It drives the scheduler with the links to the agents and the clock, and tells
each attempt what becomes of it.
"""

import asyncio
import collections
import dataclasses
import hashlib
import random

from tornado import httpserver, ioloop

from brasstrail.coordination import scheduler, slopes
from brasstrail.core import clock, data, errors
from brasstrail.protocol import commands, messages
from brasstrail.roles import api, exchange, metrics, web

TICK_MS = 100
PLACE_MS = 10
LOST_AFTER_MS = 2500
REVOKE_TIMEOUT_S = 1.0
RETRY_SHARE = 0.1
RETRY_BURST = 20.0
MAX_DECISIONS = 5000
NOTICE_S = 1.0
DRAIN_POLL_S = 0.05
SECOND_MS = 1000
MAX_HEADER_BYTES = 32768
IDLE_CONNECTION_S = 300


@dataclasses.dataclass(frozen=True)
class Decision:
    """What was decided on an attempt, for operators to look up."""

    request_id: str
    decision: str
    agent: str
    reason: str
    at_ms: int


@dataclasses.dataclass
class AgentLink:
    """The link to an agent, and since when it has been down."""

    link: object
    member: data.Member
    down_since_ms: int | None = None


class Entry:
    """The entry role of a process.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    attachment : `attachment.Attachment` of the process.
    """

    def __init__(self, hub, attachment):
        self.hub = hub
        self.log = hub.log
        self.settings = hub.settings.entry
        self.attachment = attachment
        self.scheduler = scheduler.Scheduler(
            hub.name, self.settings.policy, random.Random()
        )
        self.lengths = slopes.OutputLengths()
        self.metrics = metrics.Metrics()
        self.agents = {}
        self.attempts = {}
        self.exchanges = set()
        self.revokes = {}
        self.decisions = collections.deque(maxlen=MAX_DECISIONS)
        self.held_bytes = 0
        self.members_seen = None
        self.retries = RETRY_BURST
        self.draining = False
        self.http = None
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        self.placer = ioloop.PeriodicCallback(self.place_waiting, PLACE_MS)
        hub.handlers.append(self)
        attachment.listeners.append(self.view_changed)
        self.metrics.gauge("requests_waiting", lambda: len(self.scheduler.waiting))
        self.metrics.gauge("requests_open", lambda: len(self.exchanges))
        self.metrics.gauge("held_bytes", lambda: self.held_bytes)
        metrics.gauge_bytes(self.metrics, hub)

    def start_serving(self):
        """Listen for callers."""
        app = web.make_app(self, api.ROUTES)
        self.http = httpserver.HTTPServer(
            app,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self.settings.max_body_bytes,
            idle_connection_timeout=IDLE_CONNECTION_S,
            body_timeout=self.settings.body_timeout_ms / SECOND_MS,
        )
        self.http.listen(self.settings.http_port, self.hub.settings.node.address)
        self.ticker.start()

    def close(self):
        """Stop."""
        self.ticker.stop()
        self.placer.stop()
        self.http.stop()

    async def drain(self):
        """Refuse new connections and wait until every request is answered."""
        self.draining = True
        await asyncio.sleep(NOTICE_S)
        self.http.stop()
        deadline_ms = clock.now_ms() + self.settings.drain_ms
        while self.exchanges and clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)

    @property
    def ready(self):
        """Whether the balancer should send requests here."""
        return self.attachment.has_view and not self.draining

    # Members.

    def view_changed(self):
        """Follow the agents and the classes that the view names."""
        view = self.attachment.view
        tiers = collections.defaultdict(set)
        for work_class in view.config.classes:
            tiers[work_class.service].add(work_class.tier)
        self.scheduler.set_tiers(dict(tiers))
        self.scheduler.crossing.bytes_per_ms = self.share_of_link(view)
        services = tuple(service.name for service in view.config.services)
        seen = (view.members_changes, services)
        if seen != self.members_seen:
            self.members_seen = seen
            self.follow_agents(view)
        self.carry_out()

    def share_of_link(self, view):
        """Return this entry's share of the link, in bytes a millisecond."""
        region = self.hub.settings.node.region
        entries = sum(
            "entry" in member.roles and member.region == region
            for member in view.members.values()
        )
        return self.settings.region_rate_bytes / SECOND_MS / max(1, entries)

    def follow_agents(self, view):
        """Keep links to the agents that this entry is to use."""
        wanted = self.choose_agents(view)
        for name in set(self.agents) - set(wanted):
            self.drop_agent(name)
        for name, member in wanted.items():
            self.follow_agent(name, member)

    def choose_agents(self, view):
        """Return the agents that this entry keeps links to, by name.

        Where there are more than `subset` of a service, a stable hash of the
        entry and the agent chooses among them.
        """
        wanted = {}
        for service in view.config.services:
            members = view.agents(service.name)
            members.sort(key=lambda member: self.closeness(member))
            for member in members[: self.settings.subset]:
                wanted[member.name] = member
        return wanted

    def closeness(self, member):
        """Return the order in which agents are chosen: near ones first."""
        node = self.hub.settings.node
        remote = member.region != node.region
        elsewhere = member.data_centre != node.data_centre
        return remote, elsewhere, stable_hash(self.hub.name, member.name)

    def follow_agent(self, name, member):
        """Keep a link to an agent."""
        known = self.agents.get(name)
        if known is not None and known.member.address == member.address:
            known.member = member
            return
        if known is not None:
            self.drop_agent(name)
        link = self.hub.dial(member.address, self)
        self.agents[name] = AgentLink(link, member, clock.now_ms())
        self.add_server(member, link)
        if link.connected:
            link.send(messages.Follow(self.hub.name))

    def add_server(self, member, link):
        """Make a server known to the scheduler."""
        remote = member.region != self.hub.settings.node.region
        round_trip_ms = link.session.round_trip_ms
        self.scheduler.add_server(member.name, remote, round_trip_ms)
        self.scheduler.set_connected(member.name, link.connected)

    def drop_agent(self, name):
        """Give up an agent that left or was lost."""
        known = self.agents.pop(name)
        self.scheduler.remove_server(name)
        self.lose_attempts(name)
        self.hub.hang_up(known.link, self)

    def lose_attempts(self, agent, only_idempotent=False):
        """Tell the attempts at an agent that it is gone."""
        for attempt in list(self.attempts.values()):
            if attempt.agent != agent or attempt.ended:
                continue
            if only_idempotent and not attempt.work.idempotent:
                continue
            attempt.tell(exchange.Lost(agent))

    # Links.

    def link_up(self, link):
        """An agent can be reached: follow its state."""
        known = self.agents.get(link.name)
        if known is not None and known.link is link:
            link.send(messages.Follow(self.hub.name))
            self.scheduler.set_connected(link.name, True)
            self.carry_out()

    def link_reset(self, link):
        """An agent started again: what ran there is lost."""
        known = self.agents.get(link.name)
        if known is not None and known.link is link:
            self.scheduler.remove_server(link.name)
            self.lose_attempts(link.name)
            self.add_server(known.member, link)

    def link_message(self, link, message):
        """Take a message from an agent."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def send(self, agent, message):
        """Send a message to an agent, if it is still known."""
        known = self.agents.get(agent)
        if known is not None:
            known.link.send(message)

    def take_state(self, link, state):
        """Take an agent's report."""
        self.scheduler.take_state(state.agent, state)
        self.carry_out()

    def take_grant(self, link, grant):
        """Take an agent's grant of room."""
        self.scheduler.take_grant(link.name, grant.offer_id, clock.now_ms())
        self.carry_out()

    def take_decline(self, link, decline):
        """Take an agent's refusal of an offer."""
        self.scheduler.take_decline(
            link.name, decline.offer_id, decline.reason, clock.now_ms()
        )
        self.carry_out()

    def take_floor_held(self, link, held):
        """Take an agent's word that it holds a floor."""
        now_ms = clock.now_ms()
        self.scheduler.take_floor_held(held.floor_id, held.agent, now_ms)
        self.carry_out()

    def take_answer(self, link, message):
        """Give a piece of an answer to its attempt."""
        attempt = self.attempts.get(message.dispatch_id)
        if attempt is not None and attempt.agent == link.name:
            attempt.tell(message)

    def take_revoked(self, link, revoked):
        """Wake whoever asked to rule a dispatch out."""
        future = self.revokes.pop(revoked.dispatch_id, None)
        if future is not None and not future.done():
            future.set_result(revoked)

    async def revoke(self, dispatch):
        """Ask an agent to rule a dispatch out; return its answer, or None."""
        known = self.agents.get(dispatch.agent)
        if known is None or not known.link.connected:
            return None
        future = self.hub.loop.create_future()
        self.revokes[dispatch.dispatch_id] = future
        known.link.send(messages.Revoke(dispatch.dispatch_id, dispatch.incarnation))
        try:
            return await asyncio.wait_for(future, REVOKE_TIMEOUT_S)
        except asyncio.TimeoutError:
            return None

    # Attempts.

    def submit(self, wanted):
        """Take a new attempt of an exchange to the scheduler."""
        wanted.attempts += 1
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        work = self.make_work(wanted)
        suspect = bool(wanted.crashed_agents)
        excluded = wanted.crashed_agents | wanted.avoided
        attempt = exchange.Attempt(self, wanted.request, work)
        if len(self.scheduler.waiting) >= self.settings.max_waiting:
            attempt.tell(exchange.Refused(self.queue_full(work)))
            return attempt
        self.attempts[work.request_id] = attempt
        self.scheduler.add(work, suspect, excluded, clock.now_ms())
        self.carry_out()
        if not self.placer.is_running():
            self.placer.start()
        return attempt

    def make_work(self, wanted):
        """Return the work of an exchange's next attempt."""
        request = wanted.request
        work_class = request.work_class
        target = work_class.target
        first_ms = 0
        if target.first_token_within_ms and not wanted.pieces:
            first_ms = wanted.arrived_ms + target.first_token_within_ms
        fields = {}
        if request.reading is not None:
            prompt_tokens = request.reading.prompt_tokens
            group = self.lengths.group(
                work_class.name, request.workspace, prompt_tokens
            )
            fields["model"] = request.reading.model
            fields["prompt_tokens"] = prompt_tokens
            fields["prefix"] = request.reading.prefix
            fields["output_tokens"] = self.lengths.expect(
                group, request.reading.max_tokens
            )
        return data.Work(
            request_id=f"{wanted.number}.{wanted.attempts}",
            service=request.service.name,
            class_name=work_class.name,
            workspace=request.workspace,
            tier=work_class.tier,
            idempotent=work_class.idempotent,
            arrived_ms=wanted.arrived_ms,
            deadline_ms=wanted.arrived_ms + target.within_ms,
            first_deadline_ms=first_ms,
            body_bytes=len(request.body),
            **fields,
        )

    def queue_full(self, work):
        """Return the refusal of a request beyond the bound on the queue."""
        retry_after_s = self.scheduler.retry_after(work)
        return errors.not_run(
            errors.Overloaded,
            "Too many requests wait at this entry.",
            f"Send it again after {retry_after_s} s.",
            retry_after_s,
        )

    def start(self, attempt, placed, resume_text="", key=""):
        """Send a placed attempt to its agent."""
        request = attempt.request
        attempt.started = True
        work = attempt.work
        message = messages.Start(
            work.request_id,
            placed.incarnation,
            work,
            max(0, work.deadline_ms - clock.now_ms()),
            request.method,
            request.path,
            request.headers,
            request.body,
            self.settings.stream_window_bytes,
            key,
            resume_text,
            request.fingerprint,
            placed.pushed,
        )
        self.send(attempt.agent, message)

    def end_attempt(self, attempt):
        """Forget an attempt; take it back where it has not ended."""
        work = attempt.work
        if self.attempts.pop(work.request_id, None) is None:
            return
        self.scheduler.cancel(work.request_id)
        if attempt.agent:
            elapsed_ms = clock.now_ms() - attempt.placed_ms
            self.scheduler.finished(work, elapsed_ms if attempt.ended else None)
        if attempt.agent and not attempt.started:
            self.send(attempt.agent, messages.Withdraw(work.request_id))
        elif attempt.agent and not attempt.ended:
            self.send(attempt.agent, messages.Cancel(work.request_id))
        self.carry_out()

    def learn(self, attempt, done):
        """Learn from a whole answer."""
        attempt.ended = True
        work = attempt.work
        if work.model and done.output_tokens:
            group = self.lengths.group(
                work.class_name, work.workspace, work.prompt_tokens
            )
            self.lengths.learn(group, done.output_tokens)

    def spend_retry(self):
        """Return whether the retry budget allows one more."""
        if self.retries < 1:
            return False
        self.retries -= 1
        return True

    def clear_suspicion(self, request):
        """Lift the suspicion of a request that ran to its end."""
        fingerprint = request.fingerprint
        if fingerprint in self.attachment.view.suspicions:
            command = commands.LiftSuspicion(fingerprint)
            self.hub.spawn(self.try_proposing(command))

    async def try_proposing(self, command):
        """Propose a command that may as well be lost."""
        try:
            await self.attachment.propose(command)
        except errors.NoQuorum as error:
            self.log.warning("entry: A proposal was lost.", reason=str(error))

    # Decisions.

    def tick(self):
        """Let the scheduler note the time and the links that are down."""
        now_ms = clock.now_ms()
        for name, known in self.agents.items():
            self.watch_link(name, known, now_ms)
        self.place_waiting()

    def place_waiting(self):
        """Let the scheduler place what waits; often, as long as something does."""
        self.scheduler.tick(clock.now_ms())
        self.carry_out()
        if not self.scheduler.waiting:
            self.placer.stop()

    def watch_link(self, name, known, now_ms):
        """Move idempotent work away from an agent that is out of reach."""
        connected = known.link.connected
        self.scheduler.set_connected(name, connected)
        if connected:
            known.down_since_ms = None
            return
        if known.down_since_ms is None:
            known.down_since_ms = now_ms
        if now_ms - known.down_since_ms > LOST_AFTER_MS:
            self.lose_attempts(name, only_idempotent=True)

    def carry_out(self):
        """Carry out what the scheduler decided."""
        for action in self.scheduler.take_actions():
            if isinstance(action, scheduler.Send):
                self.send(action.agent, action.message)
            elif isinstance(action, scheduler.Place):
                self.place(action)
            else:
                self.refuse(action)

    def place(self, action):
        """Tell an attempt that it has room at an agent."""
        attempt = self.attempts.get(action.request_id)
        view = self.scheduler.views.get(action.agent)
        if attempt is None or view is None:
            return
        attempt.agent = action.agent
        attempt.placed_ms = clock.now_ms()
        waited_ms = attempt.placed_ms - attempt.work.arrived_ms
        self.metrics.record("waiting", waited_ms / SECOND_MS)
        self.note("placed", attempt.work, action.agent, action.reason)
        incarnation = view.state.incarnation
        attempt.tell(exchange.Placed(action.agent, incarnation, action.pushed))

    def refuse(self, action):
        """Tell an attempt that it was given up."""
        attempt = self.attempts.get(action.request_id)
        if attempt is None:
            return
        self.note("refused", attempt.work, "", f"{action.code}: {action.reason}")
        kind = errors.KINDS[action.code]
        error = errors.not_run(
            kind,
            f"The request was given up: {action.reason}.",
            f"Send it again after {action.retry_after_s} s.",
            action.retry_after_s,
        )
        attempt.tell(exchange.Refused(error))

    def note(self, decision, work, agent, reason):
        """Log a decision and keep it for operators."""
        now_ms = clock.wall_ms()
        self.decisions.append(
            Decision(work.request_id, decision, agent, reason, now_ms)
        )
        self.metrics.count("decisions", decision=decision, tier=work.tier)
        self.log.info(
            f"entry: Request {decision}.",
            request=work.request_id,
            service=work.service,
            work_class=work.class_name,
            workspace=work.workspace,
            tier=work.tier,
            agent=agent,
            reason=reason,
        )


def stable_hash(*words):
    """Return a hash of words that is the same in every process."""
    text = "\0".join(words).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


HANDLERS = {
    messages.ServerState: Entry.take_state,
    messages.Grant: Entry.take_grant,
    messages.Decline: Entry.take_decline,
    messages.FloorHeld: Entry.take_floor_held,
    messages.Head: Entry.take_answer,
    messages.Part: Entry.take_answer,
    messages.Done: Entry.take_answer,
    messages.Fault: Entry.take_answer,
    messages.Revoked: Entry.take_revoked,
}
