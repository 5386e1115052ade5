"""The entry role: accepts callers' requests and dispatches them to agents.

`Entry` connects the scheduler to the links to the agents and to the clock. It
executes the actions that the scheduler returns, and routes agents' messages
and scheduling results to the attempts that they concern.
"""

import asyncio
import collections
import dataclasses
import hashlib
import random

from tornado import ioloop

from brasstrail.coordination import recentcrashes, scheduler, slopes
from brasstrail.core import clock, data, errors
from brasstrail.protocol import commands, messages
from brasstrail.roles import api, exchange, metrics, web
from brasstrail.transport import listening

TICK_MS = 100
PLACEMENT_INTERVAL_MS = 10
AGENT_LOST_TIMEOUT_MS = 2500
REVOKE_TIMEOUT_S = 1.0
RETRY_BUDGET_PER_ATTEMPT = 0.1
RETRY_BUDGET_MAX = 20.0
MAX_DECISIONS = 5000
DRAIN_NOTICE_S = 1.0
DRAIN_POLL_S = 0.05
SECOND_MS = 1000
MAX_HEADER_BYTES = 32768
IDLE_CONNECTION_TIMEOUT_S = 300


@dataclasses.dataclass(frozen=True)
class Decision:
    """A scheduling decision on an attempt, kept for the operators' API."""

    request_id: str
    decision: str
    agent: str
    reason: str
    at_ms: int


@dataclasses.dataclass
class AgentLink:
    """The link to an agent.

    `down_since_ms` is None while the link is connected.
    """

    link: object
    member: data.Member
    down_since_ms: int | None = None


class Entry:
    """The entry role of a process.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    attachment : `attachment.Attachment` of the process.

    Attributes
    ----------
    agents : `AgentLink` by agent name.
    attempts : `exchange.Attempt` by attempt id, until `end_attempt`.
    exchanges : the open exchanges.
    revokes : futures of `revoke` calls without a reply, by dispatch id.
    held_bytes : the total size of the request bodies held in memory.
    applied_members_version : the members and services at the last update of the
        agent links.
    retry_budget : how many retries may be made now.
    """

    def __init__(self, hub, attachment):
        self.hub = hub
        self.log = hub.log
        self.settings = hub.settings.entry
        self.attachment = attachment
        self.scheduler = scheduler.Scheduler(
            hub.name, self.settings.policy, random.Random()
        )
        self.output_lengths = slopes.OutputLengthEstimator()
        self.metrics = metrics.Metrics()
        self.agents = {}
        self.attempts = {}
        self.recent_crashes = recentcrashes.RecentCrashes()
        self.exchanges = set()
        self.revokes = {}
        self.decisions = collections.deque(maxlen=MAX_DECISIONS)
        self.held_bytes = 0
        self.applied_members_version = None
        self.retry_budget = RETRY_BUDGET_MAX
        self.draining = False
        self.http = None
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        self.placement_timer = ioloop.PeriodicCallback(
            self.place_waiting, PLACEMENT_INTERVAL_MS
        )
        hub.handlers.append(self)
        attachment.listeners.append(self.view_changed)
        self.metrics.gauge("requests_waiting", lambda: len(self.scheduler.waiting))
        self.metrics.gauge("requests_open", lambda: len(self.exchanges))
        self.metrics.gauge("held_bytes", lambda: self.held_bytes)
        metrics.register_bytes_sent_gauges(self.metrics, hub)

    def start_serving(self):
        """Start the callers' HTTP server."""
        app = web.make_app(self, api.ROUTES)
        self.http = listening.Server(
            app,
            self.hub.account,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self.settings.max_body_bytes,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=self.settings.body_timeout_ms / SECOND_MS,
        )
        self.http.listen(self.settings.http_port, self.hub.settings.node.address)
        self.ticker.start()

    def close(self):
        """Stop the timers and the HTTP server."""
        self.ticker.stop()
        self.placement_timer.stop()
        self.http.stop()

    async def drain(self):
        """Stop accepting connections and wait until every request is answered.

        The entry reports itself as not ready for `DRAIN_NOTICE_S` before it closes
        the port, so that load balancers stop sending requests first. The wait is
        limited to the setting `drain_ms`.
        """
        self.draining = True
        await asyncio.sleep(DRAIN_NOTICE_S)
        self.http.stop()
        deadline_ms = clock.now_ms() + self.settings.drain_ms
        while self.exchanges and clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)

    @property
    def ready(self):
        """Whether load balancers should send requests to this entry."""
        return self.attachment.has_view and not self.draining

    # Members.

    def view_changed(self):
        """Apply the classes, services and agents of the attachment's new view.

        Agent links are updated only if the members or the services changed.
        """
        view = self.attachment.view
        tiers = collections.defaultdict(set)
        for work_class in view.config.classes:
            tiers[work_class.service].add(work_class.tier)
        self.scheduler.set_tiers(dict(tiers))
        self.scheduler.region_link.bytes_per_ms = self.region_rate_share(view)
        services = tuple(service.name for service in view.config.services)
        members_version = (view.member_change_count, services)
        if members_version != self.applied_members_version:
            self.applied_members_version = members_version
            self.update_agent_links(view)
        self.execute_scheduler_actions()

    def region_rate_share(self, view):
        """Return this entry's share of the inter-region rate, in bytes per ms.

        The entries of a region share the rate equally.
        """
        region = self.hub.settings.node.region
        entries = sum(
            "entry" in member.roles and member.region == region
            for member in view.members.values()
        )
        return self.settings.region_rate_bytes / SECOND_MS / max(1, entries)

    def update_agent_links(self, view):
        """Open links to the selected agents and drop the links to all others."""
        selected = self.select_agents(view)
        for name in set(self.agents) - set(selected):
            self.drop_agent(name)
        for name, member in selected.items():
            self.ensure_agent_link(name, member)

    def select_agents(self, view):
        """Return the members whose agents this entry keeps links to, by name.

        For each service, at most `subset` agents are selected in the order of
        `proximity_key`: nearest first, then by a stable hash of the names of the entry
        and the agent.
        """
        selected = {}
        for service in view.config.services:
            members = view.find_agents(service.name)
            members.sort(key=lambda member: self.proximity_key(member))
            for member in members[: self.settings.subset]:
                selected[member.name] = member
        return selected

    def proximity_key(self, member):
        """Return the sort key for selecting agents.

        Agents of this entry's region come first, and among them those of its data
        centre. Ties are broken by a hash that differs between entries.
        """
        node = self.hub.settings.node
        remote = member.region != node.region
        elsewhere = member.data_centre != node.data_centre
        return remote, elsewhere, stable_hash(self.hub.name, member.name)

    def ensure_agent_link(self, name, member):
        """Open a link to an agent unless there is one to its address already.

        If the agent's address has changed, the old link is dropped first.
        """
        agent_link = self.agents.get(name)
        if agent_link is not None and agent_link.member.address == member.address:
            agent_link.member = member
            return
        if agent_link is not None:
            self.drop_agent(name)
        link = self.hub.dial(member.address, self)
        self.agents[name] = AgentLink(link, member, clock.now_ms())
        self.add_server(member, link)
        if link.connected:
            link.send(messages.Follow(self.hub.name))

    def add_server(self, member, link):
        """Add a backend server to the scheduler."""
        remote = member.region != self.hub.settings.node.region
        round_trip_ms = link.session.round_trip_ms
        self.scheduler.add_server(member.name, remote, round_trip_ms)
        self.scheduler.set_connected(member.name, link.connected)

    def drop_agent(self, name):
        """Remove an agent, end its attempts and close the link to it."""
        agent_link = self.agents.pop(name)
        self.scheduler.remove_server(name)
        self.notify_agent_lost(name)
        self.hub.release_link(agent_link.link, self)

    def notify_agent_lost(self, agent, only_idempotent=False):
        """Send `exchange.AgentLost` to the unfinished attempts at an agent."""
        for attempt in list(self.attempts.values()):
            if attempt.agent != agent or attempt.ended:
                continue
            if only_idempotent and not attempt.work.idempotent:
                continue
            attempt.push_event(exchange.AgentLost(agent))

    # Links.

    def link_up(self, link):
        """Subscribe to the state of an agent whose link is connected."""
        agent_link = self.agents.get(link.name)
        if agent_link is not None and agent_link.link is link:
            link.send(messages.Follow(self.hub.name))
            self.scheduler.set_connected(link.name, True)
            self.execute_scheduler_actions()

    def link_reset(self, link):
        """Handle a lost session or restarted agent: its attempts are lost."""
        agent_link = self.agents.get(link.name)
        if agent_link is not None and agent_link.link is link:
            self.scheduler.remove_server(link.name)
            self.notify_agent_lost(link.name)
            self.add_server(agent_link.member, link)

    def link_message(self, link, message):
        """Dispatch a message from an agent to its handler."""
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    def send(self, agent, message):
        """Send a message to an agent; ignored if there is no link to it."""
        agent_link = self.agents.get(agent)
        if agent_link is not None:
            agent_link.link.send(message)

    def handle_state(self, link, state):
        """Pass an agent's report on its backend server to the scheduler."""
        self.scheduler.handle_state(state.agent, state)
        self.execute_scheduler_actions()

    def handle_grant(self, link, grant):
        """Pass an agent's grant of an offer to the scheduler."""
        self.scheduler.handle_grant(link.name, grant.offer_id, clock.now_ms())
        self.execute_scheduler_actions()

    def handle_decline(self, link, decline):
        """Pass an agent's refusal of an offer to the scheduler."""
        self.scheduler.handle_decline(
            link.name, decline.offer_id, decline.reason, clock.now_ms()
        )
        self.execute_scheduler_actions()

    def handle_floor_held(self, link, held):
        """Pass an agent's confirmation of a tier floor to the scheduler."""
        now_ms = clock.now_ms()
        self.scheduler.handle_floor_held(held.floor_id, held.agent, now_ms)
        self.execute_scheduler_actions()

    def handle_answer_event(self, link, message):
        """Queue a message of an answer as an event for its attempt.

        Messages from other agents than the attempt's own are ignored.
        """
        attempt = self.attempts.get(message.dispatch_id)
        if attempt is not None and attempt.agent == link.name:
            attempt.push_event(message)

    def handle_revoked(self, link, revoked):
        """Complete the pending `revoke` call for a dispatch."""
        future = self.revokes.pop(revoked.dispatch_id, None)
        if future is not None and not future.done():
            future.set_result(revoked)

    async def revoke(self, dispatch):
        """Ask an agent never to start a dispatch, and return its reply.

        Returns None if the agent is not connected or does not reply within
        `REVOKE_TIMEOUT_S`.
        """
        agent_link = self.agents.get(dispatch.agent)
        if agent_link is None or not agent_link.link.connected:
            return None
        future = self.hub.loop.create_future()
        self.revokes[dispatch.dispatch_id] = future
        agent_link.link.send(
            messages.Revoke(dispatch.dispatch_id, dispatch.incarnation)
        )
        try:
            return await asyncio.wait_for(future, REVOKE_TIMEOUT_S)
        except asyncio.TimeoutError:
            return None

    # Attempts.

    def submit(self, caller_exchange):
        """Create the next attempt of an exchange and queue it in the scheduler.

        If `max_waiting` requests are waiting already, the attempt is refused
        instead. Each attempt adds `RETRY_BUDGET_PER_ATTEMPT` to the retry budget.
        """
        caller_exchange.attempts += 1
        self.retry_budget = min(
            RETRY_BUDGET_MAX, self.retry_budget + RETRY_BUDGET_PER_ATTEMPT
        )
        work = self.make_work(caller_exchange)
        suspect = bool(caller_exchange.crashed_agents)
        excluded = caller_exchange.crashed_agents | caller_exchange.avoided_agents
        attempt = exchange.Attempt(self, caller_exchange.request, work)
        if len(self.scheduler.waiting) >= self.settings.max_waiting:
            attempt.push_event(exchange.Refused(self.make_queue_full_error(work)))
            return attempt
        self.attempts[work.request_id] = attempt
        self.scheduler.add_request(work, suspect, excluded, clock.now_ms())
        self.execute_scheduler_actions()
        if not self.placement_timer.is_running():
            self.placement_timer.start()
        return attempt

    def make_work(self, caller_exchange):
        """Return the `data.Work` of an exchange's next attempt."""
        request = caller_exchange.request
        work_class = request.work_class
        target = work_class.target
        first_ms = 0
        if target.first_token_within_ms and not caller_exchange.sent_chunks:
            first_ms = caller_exchange.arrived_ms + target.first_token_within_ms
        fields = {}
        if request.chat_request is not None:
            prompt_tokens = request.chat_request.prompt_tokens
            group = self.output_lengths.group_key(
                work_class.name, request.workspace, prompt_tokens
            )
            fields["model"] = request.chat_request.model
            fields["prompt_tokens"] = prompt_tokens
            fields["prefix"] = request.chat_request.prefix
            fields["output_tokens"] = self.output_lengths.predict(
                group, request.chat_request.max_tokens
            )
        return data.Work(
            request_id=f"{caller_exchange.number}.{caller_exchange.attempts}",
            service=request.service.name,
            class_name=work_class.name,
            workspace=request.workspace,
            tier=work_class.tier,
            idempotent=work_class.idempotent,
            arrived_ms=caller_exchange.arrived_ms,
            deadline_ms=caller_exchange.arrived_ms + target.within_ms,
            first_deadline_ms=first_ms,
            body_bytes=len(request.body),
            **fields,
        )

    def make_queue_full_error(self, work):
        """Return the error for a request that exceeds `max_waiting`."""
        retry_after_s = self.scheduler.estimate_retry_after_s(work)
        return errors.not_run(
            errors.Overloaded,
            "Too many requests wait at this entry.",
            f"Send it again after {retry_after_s} s.",
            retry_after_s,
        )

    def start_attempt(self, attempt, placed, resume_text="", key=""):
        """Send the request of a placed attempt to its agent."""
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
        """Remove an attempt and cancel it at its agent if it has not ended.

        An offer that was granted but not started is withdrawn.
        """
        work = attempt.work
        if self.attempts.pop(work.request_id, None) is None:
            return
        self.scheduler.cancel(work.request_id)
        if attempt.agent:
            elapsed_ms = clock.now_ms() - attempt.placed_ms
            self.scheduler.record_run_end(work, elapsed_ms if attempt.ended else None)
        if attempt.agent and not attempt.started:
            self.send(attempt.agent, messages.Withdraw(work.request_id))
        elif attempt.agent and not attempt.ended:
            self.send(attempt.agent, messages.Cancel(work.request_id))
        self.execute_scheduler_actions()

    def record_output_length(self, attempt, done):
        """Mark an attempt as ended and record the length of its answer."""
        attempt.ended = True
        work = attempt.work
        if work.model and done.output_tokens:
            group = self.output_lengths.group_key(
                work.class_name, work.workspace, work.prompt_tokens
            )
            self.output_lengths.update(group, done.output_tokens)

    def spend_retry(self):
        """Take one retry from the retry budget; return whether one was left."""
        if self.retry_budget < 1:
            return False
        self.retry_budget -= 1
        return True

    def clear_suspicion(self, request):
        """Lift the suspicion from a request that was answered whole."""
        fingerprint = request.fingerprint
        self.recent_crashes.forget(fingerprint)
        if fingerprint in self.attachment.view.suspicions:
            command = commands.LiftSuspicion(fingerprint)
            self.hub.spawn(self.propose_best_effort(command))

    async def propose_best_effort(self, command):
        """Propose a command; log a warning if no quorum answers.

        Only for commands whose loss does no harm.
        """
        try:
            await self.attachment.propose(command)
        except errors.NoQuorum as error:
            self.log.warning(
                "entry: No quorum answered a proposal in time; giving up on it.",
                reason=str(error),
            )

    # Decisions.

    def tick(self):
        """Update the state of the agent links and run the scheduler."""
        now_ms = clock.now_ms()
        for name, agent_link in self.agents.items():
            self.check_agent_link(name, agent_link, now_ms)
        self.place_waiting()

    def place_waiting(self):
        """Run the scheduler; stop the placement timer when no request waits.

        The timer runs every `PLACEMENT_INTERVAL_MS` while requests wait.
        """
        self.scheduler.tick(clock.now_ms())
        self.execute_scheduler_actions()
        if not self.scheduler.waiting:
            self.placement_timer.stop()

    def check_agent_link(self, name, agent_link, now_ms):
        """Move idempotent attempts from an agent whose link stays down.

        This happens once the link has been down for `AGENT_LOST_TIMEOUT_MS`.
        """
        connected = agent_link.link.connected
        self.scheduler.set_connected(name, connected)
        if connected:
            agent_link.down_since_ms = None
            return
        if agent_link.down_since_ms is None:
            agent_link.down_since_ms = now_ms
        if now_ms - agent_link.down_since_ms > AGENT_LOST_TIMEOUT_MS:
            self.notify_agent_lost(name, only_idempotent=True)

    def execute_scheduler_actions(self):
        """Execute the actions that the scheduler has queued."""
        for action in self.scheduler.drain_actions():
            if isinstance(action, scheduler.Send):
                self.send(action.agent, action.message)
            elif isinstance(action, scheduler.Place):
                self.place_attempt(action)
            else:
                self.refuse_attempt(action)

    def place_attempt(self, action):
        """Notify an attempt that it has been placed at an agent."""
        attempt = self.attempts.get(action.request_id)
        view = self.scheduler.views.get(action.agent)
        if attempt is None or view is None:
            return
        attempt.agent = action.agent
        attempt.placed_ms = clock.now_ms()
        waited_ms = attempt.placed_ms - attempt.work.arrived_ms
        self.metrics.record("waiting", waited_ms / SECOND_MS)
        self.record_decision("placed", attempt.work, action.agent, action.reason)
        incarnation = view.state.incarnation
        attempt.push_event(exchange.Placed(action.agent, incarnation, action.pushed))

    def refuse_attempt(self, action):
        """Notify an attempt that the scheduler has refused it."""
        attempt = self.attempts.get(action.request_id)
        if attempt is None:
            return
        self.record_decision(
            "refused", attempt.work, "", f"{action.code}: {action.reason}"
        )
        kind = errors.ERROR_CLASSES[action.code]
        error = errors.not_run(
            kind,
            f"The request was given up: {action.reason}.",
            f"Send it again after {action.retry_after_s} s.",
            action.retry_after_s,
        )
        attempt.push_event(exchange.Refused(error))

    def record_decision(self, decision, work, agent, reason):
        """Log and count a decision, and keep it for the operators' API.

        The last `MAX_DECISIONS` decisions are kept.
        """
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


def stable_hash(*parts):
    """Return a hash of strings that is the same in every process."""
    text = "\0".join(parts).encode()
    return hashlib.blake2b(text, digest_size=8).digest()


HANDLERS = {
    messages.ServerState: Entry.handle_state,
    messages.Grant: Entry.handle_grant,
    messages.Decline: Entry.handle_decline,
    messages.FloorHeld: Entry.handle_floor_held,
    messages.Head: Entry.handle_answer_event,
    messages.Part: Entry.handle_answer_event,
    messages.Done: Entry.handle_answer_event,
    messages.Fault: Entry.handle_answer_event,
    messages.Revoked: Entry.handle_revoked,
}
