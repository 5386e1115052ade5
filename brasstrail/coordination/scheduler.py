"""The scheduler of an entry: request placement and load shedding.

`Scheduler` is a state machine without I/O. Its inputs are requests, messages
from agents and the current time; its outputs are the entries of `actions`.
Requests wait in the scheduler and are bound to a server as late as possible:
they are offered to the servers with the earliest expected completion and are
sent to the first server that grants capacity.

A request is shed when it can no longer meet its deadline although it could have
met it on arrival; one that could not have met it even then is shed only after its
deadline. Before a request is shed, all connected servers of its service must have
agreed to start no request of a lower tier for a limited time (a floor). They decline
the offers of lower tiers during that time. The refusal is sent as soon as the floor
is held, with a time after which a retry is sensible.
"""

import dataclasses

from brasstrail.coordination import admission, floors, policies, servers
from brasstrail.protocol import messages

# The entry's share of the link between regions until the entry sets it: 15 Mbit/s.
DEFAULT_LINK_RATE_BYTES_PER_MS = 1875.0
# How many open offers one request may have.
MAX_OFFERS_PER_REQUEST = 3
# How long after its last offer a request is offered to one more server.
HEDGE_DELAY_MS = 30
# How many open offers the entry may have at one server: this many for each of its
# slots, but at least the minimum.
MIN_OFFER_LIMIT = 4
OFFERS_PER_SLOT = 2
# How many waiting requests, in order of priority, one tick tries to place.
MAX_PLACED_PER_TICK = 128
# How long a request that was declined because of a floor is not offered again.
FLOOR_RETRY_DELAY_MS = 500
# How long a request waits while no server can run it.
NO_SERVER_TIMEOUT_MS = 3000
# Bounds of the time after which a refused caller is told to retry.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to an agent."""

    agent: str
    message: object


@dataclasses.dataclass(frozen=True)
class Place:
    """Start a request at an agent; `reason` says why it was chosen."""

    request_id: str
    agent: str
    pushed: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Refuse a request of which no part has been started."""

    request_id: str
    code: str
    reason: str
    retry_after_s: int


@dataclasses.dataclass
class WaitingRequest:
    """A request that waits to be placed.

    Attributes
    ----------
    work : the `data.Work` of the request.
    suspect : whether the request is suspected of crashing a server.
    infeasible : whether the request could not have met its deadline even on an
        idle server. Such a request runs after the others of its tier, if a server
        has capacity for it before its deadline.
    awaiting_floor : whether the request is shed as soon as the floor is held.
    offer_times_ms : the time of each open offer, by agent.
    excluded_agents : agents that the request avoids.
    last_offer_ms : the time of the last offer or decline.
    barred_until_ms : the time before which the request is not offered, because an
        agent declined it for a floor.
    """

    work: object
    suspect: bool
    infeasible: bool = False
    awaiting_floor: bool = False
    offer_times_ms: dict = dataclasses.field(default_factory=dict)
    excluded_agents: set = dataclasses.field(default_factory=set)
    last_offer_ms: int = 0
    barred_until_ms: int = 0


class Scheduler:
    """The scheduler of one entry.

    Parameters
    ----------
    name : the entry's name.
    policy : the name of a registered policy.
    random : a `random.Random`.

    Attributes
    ----------
    actions : the pending `Send`, `Place` and `Refuse` actions, in order; the owner
        drains and executes them.
    views : `servers.ServerView` by agent.
    waiting : `WaitingRequest` by request id.
    running : the agent of each placed request, by request id.
    workspace_usage : the tokens of the placed requests of each workspace.
    """

    def __init__(self, name, policy, random):
        self.name = name
        self.policy = policies.POLICIES[policy]()
        self.random = random
        self.views = {}
        self.waiting = {}
        self.running = {}
        self.tiers = {}
        self.floors = floors.FloorManager(name)
        self.region_link = servers.LinkPacer(DEFAULT_LINK_RATE_BYTES_PER_MS)
        self.workspace_usage = {}
        self.actions = []

    def drain_actions(self):
        """Return the actions since the last call and clear the list."""
        drained = self.actions
        self.actions = []
        return drained

    # Servers.

    def add_server(self, agent, remote, round_trip_ms):
        """Add a server, identified by its agent, to the scheduler."""
        view = servers.ServerView(agent, remote, round_trip_ms, self.region_link)
        self.views[agent] = view

    def set_connected(self, agent, connected):
        """Record whether an agent is connected."""
        view = self.views.get(agent)
        if view is None or view.connected == connected:
            return
        view.connected = connected
        if connected and view.state is not None:
            self.extend_floor(view)

    def remove_server(self, agent):
        """Remove a server; requests offered to it wait for other servers."""
        self.views.pop(agent, None)
        for request in self.waiting.values():
            request.offer_times_ms.pop(agent, None)
        self.floors.remove_agent(agent)

    def handle_state(self, agent, state):
        """Apply an agent's state report."""
        view = self.views.get(agent)
        if view is None:
            return
        is_new = view.state is None or view.state.service != state.service
        view.update_state(state)
        if is_new:
            self.extend_floor(view)

    def extend_floor(self, view):
        """Ask a newly connected server to hold the floor of its service."""
        self.send_messages(self.floors.add_agent(view.state.service, view.agent))

    def set_tiers(self, tiers):
        """Set the tiers of each service's classes, by service."""
        self.tiers = tiers

    def candidates(self, work):
        """Return the views of the servers that could run a request."""
        return [
            view
            for view in self.views.values()
            if view.can_run(work) and view.state.service == work.service
        ]

    # Requests.

    def add_request(self, work, suspect, excluded_agents, now_ms):
        """Add a request, and offer or push it if a server is available."""
        self.region_link.advance(now_ms)
        request = WaitingRequest(work, suspect, excluded_agents=set(excluded_agents))
        self.waiting[work.request_id] = request
        shortest_ms = self.shortest_run_ms(request)
        target_ms = work.deadline_ms - work.arrived_ms
        request.infeasible = shortest_ms is not None and shortest_ms > target_ms
        if self.policy.pushes:
            self.push(request)
        else:
            self.offer_to_next(request, now_ms)

    def shortest_run_ms(self, request):
        """Return the shortest expected run time, or None without a server."""
        times = [
            view.min_run_ms(request.work) for view in self.allowed_servers(request)
        ]
        return min(times, default=None)

    def allowed_servers(self, request):
        """Return the views of the servers that may receive a waiting request.

        If all candidates are excluded, the exclusion is ignored, except for a
        suspect request.
        """
        views = self.candidates(request.work)
        kept = [view for view in views if view.agent not in request.excluded_agents]
        return kept or ([] if request.suspect else views)

    def cancel(self, request_id):
        """Remove a request whose caller no longer waits."""
        request = self.waiting.pop(request_id, None)
        if request is not None:
            self.withdraw_offers(request)

    def withdraw_offers(self, request, except_agent=""):
        """Withdraw the offers of a request, except at one agent."""
        for agent in list(request.offer_times_ms):
            self.remove_offer(request, agent)
            if agent != except_agent:
                message = messages.Withdraw(request.work.request_id)
                self.actions.append(Send(agent, message))

    def remove_offer(self, request, agent):
        """Remove the local record of a request's offer to an agent."""
        request.offer_times_ms.pop(agent, None)
        view = self.views.get(agent)
        if view is not None:
            view.open_offers.pop(request.work.request_id, None)

    # Placement.

    def push(self, request):
        """Send a request to the policy's first choice, without an offer."""
        views = self.allowed_servers(request)
        if not views:
            return
        view = self.policy.rank(request.work, views, self.random)[0]
        self.place_request(
            request, view, True, f"first of {len(views)} by {self.policy.name}"
        )

    def offer_to_next(self, request, now_ms):
        """Offer a request to the next server in the policy's order.

        No offer is made while the request has the maximum number of offers, is
        blocked by a floor, or made its last offer less than the hedge delay ago.
        """
        if len(request.offer_times_ms) >= MAX_OFFERS_PER_REQUEST:
            return
        if now_ms < request.barred_until_ms:
            return
        if request.offer_times_ms and now_ms - request.last_offer_ms < HEDGE_DELAY_MS:
            return
        views = [
            v
            for v in self.allowed_servers(request)
            if v.agent not in request.offer_times_ms
        ]
        if not views:
            return
        for view in self.policy.rank(request.work, views, self.random):
            if view.can_send_now() and self.ensure_offer_capacity(view, request):
                self.offer(request, view, now_ms)
                return

    def ensure_offer_capacity(self, view, request):
        """Return whether a server can get another offer of this entry.

        If the limit is reached, the offer with the lowest priority is withdrawn,
        provided that the new request has a higher priority.
        """
        limit = max(MIN_OFFER_LIMIT, OFFERS_PER_SLOT * view.state.slots)
        if len(view.open_offers) < limit:
            return True
        worst = max(view.open_offers.values(), key=self.priority_key)
        if self.priority_key(worst) <= self.priority_key(request):
            return False
        self.remove_offer(worst, view.agent)
        message = messages.Withdraw(worst.work.request_id)
        self.actions.append(Send(view.agent, message))
        return True

    def priority_key(self, request):
        """Return the key that orders requests for placement."""
        work = request.work
        usage = self.workspace_usage.get(work.workspace, 0.0)
        return work.tier, request.infeasible, usage, work.deadline_ms, work.request_id

    def offer(self, request, view, now_ms):
        """Offer a request to a server."""
        work = request.work
        request.offer_times_ms[view.agent] = now_ms
        request.last_offer_ms = now_ms
        view.open_offers[work.request_id] = request
        message = messages.Offer(
            work.request_id,
            work.service,
            work.model,
            work.workspace,
            work.tier,
            max(0, work.deadline_ms - now_ms),
            work.prompt_tokens,
            work.output_tokens,
            work.prefix,
            request.suspect,
        )
        self.actions.append(Send(view.agent, message))

    def handle_grant(self, agent, request_id, now_ms):
        """Place a request at the agent that granted capacity.

        The grant is withdrawn if the request no longer waits, can no longer meet
        its deadline, or cannot be sent now.
        """
        self.region_link.advance(now_ms)
        request = self.waiting.get(request_id)
        view = self.views.get(agent)
        late = request is not None and self.is_late(request, now_ms, view)
        if request is None or view is None or late:
            message = messages.Withdraw(request_id)
            self.actions.append(Send(agent, message))
            if late:
                self.remove_offer(request, agent)
                self.shed_request(request, now_ms)
            return
        if not view.can_send_now():
            self.remove_offer(request, agent)
            self.actions.append(Send(agent, messages.Withdraw(request_id)))
            return
        estimate = view.estimate(request.work)
        reason = (
            f"granted, expected prefill {estimate.prefill_ms:.0f} ms "
            f"of {view.tokens_to_prefill(request.work)} tokens"
        )
        self.place_request(request, view, False, reason)

    def place_request(self, request, view, pushed, reason):
        """Bind a request to a server and withdraw its other offers."""
        work = request.work
        self.withdraw_offers(request, except_agent=view.agent)
        del self.waiting[work.request_id]
        view.record_start(work)
        self.running[work.request_id] = view.agent
        cost = work.prompt_tokens + work.output_tokens
        self.workspace_usage[work.workspace] = (
            self.workspace_usage.get(work.workspace, 0.0) + cost
        )
        self.actions.append(Place(work.request_id, view.agent, pushed, reason))

    def handle_decline(self, agent, request_id, reason, now_ms):
        """Process an agent's decline of an offer."""
        request = self.waiting.get(request_id)
        if request is None:
            return
        self.remove_offer(request, agent)
        request.last_offer_ms = now_ms
        if reason == admission.DECLINED_FLOOR:
            request.barred_until_ms = now_ms + FLOOR_RETRY_DELAY_MS
        else:
            self.offer_to_next(request, now_ms)

    def record_run_end(self, work, elapsed_ms):
        """Record the end of a run; `elapsed_ms` is None if it failed."""
        agent = self.running.pop(work.request_id, None)
        view = self.views.get(agent)
        if view is not None:
            view.record_end(work, elapsed_ms)

    # Time.

    def tick(self, now_ms):
        """Shed the requests that are too late, then place waiting requests."""
        self.region_link.advance(now_ms)
        self.check_floors(now_ms)
        for request in list(self.waiting.values()):
            if request.awaiting_floor or self.is_late(request, now_ms):
                self.shed_request(request, now_ms)
        requests = sorted(self.waiting.values(), key=self.priority_key)
        for request in requests[:MAX_PLACED_PER_TICK]:
            if self.policy.pushes:
                self.push(request)
            else:
                self.offer_to_next(request, now_ms)
        self.reset_usage_when_idle()

    def reset_usage_when_idle(self):
        """Clear the usage when no request waits and several workspaces have some.

        This bounds the size of the table.
        """
        if len(self.workspace_usage) > len(self.waiting) + 1 and not self.waiting:
            self.workspace_usage = {}

    def is_late(self, request, now_ms, view=None):
        """Return whether a request can no longer meet its deadline."""
        work = request.work
        if request.infeasible:
            return now_ms > work.deadline_ms
        views = [view] if view is not None else self.allowed_servers(request)
        if not views:
            waited_ms = now_ms - work.arrived_ms
            return waited_ms > NO_SERVER_TIMEOUT_MS or now_ms > work.deadline_ms
        return not any(self.can_finish_in_time(work, each, now_ms) for each in views)

    def can_finish_in_time(self, work, view, now_ms):
        """Return whether a run that starts now could meet both deadlines.

        These are the deadline of the whole answer and, if set, of the first token.
        """
        if now_ms + view.min_run_ms(work) > work.deadline_ms:
            return False
        if not work.first_deadline_ms:
            return True
        return now_ms + view.min_first_token_ms(work) <= work.first_deadline_ms

    # Load shedding.

    def shed_request(self, request, now_ms):
        """Refuse a request, or wait until no lower tier can be started.

        If lower tiers can still be started, raise a floor; the request is refused
        when the floor is held.
        """
        work = request.work
        if not self.allowed_servers(request):
            self.refuse(request, "no_server", "no backend server can run it")
            return
        if self.may_shed(work, now_ms):
            self.refuse(request, "overloaded", "its deadline can no longer be met")
            return
        request.awaiting_floor = True
        self.raise_floor(work, now_ms)

    def has_lower_tier(self, work):
        """Return whether the service has classes of a lower tier."""
        return any(tier > work.tier for tier in self.tiers.get(work.service, ()))

    def may_shed(self, work, now_ms):
        """Return whether no server can start a request of a lower tier now."""
        if not self.has_lower_tier(work):
            return True
        return self.floors.is_held(work.service, work.tier, now_ms)

    def refuse(self, request, code, reason):
        """Remove a request and refuse it."""
        self.withdraw_offers(request)
        self.waiting.pop(request.work.request_id, None)
        retry_after_s = self.estimate_retry_after_s(request.work)
        self.actions.append(
            Refuse(request.work.request_id, code, reason, retry_after_s)
        )

    def estimate_retry_after_s(self, work):
        """Return the seconds until the backlog is expected to be processed.

        The backlog is the waiting requests of the same or a higher tier and the
        load of the servers.
        """
        views = self.candidates(work)
        slots = sum(max(1, view.state.slots) for view in views)
        if not slots:
            return MAX_RETRY_AFTER_S
        ahead = sum(request.work.tier <= work.tier for request in self.waiting.values())
        ahead += sum(view.load() for view in views)
        mean_ms = sum(view.service_ms for view in views) / len(views)
        backlog_s = ahead * mean_ms / slots / servers.MS_PER_SECOND
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s)))

    # Floors.

    def raise_floor(self, work, now_ms):
        """Ask the agents of a service to start no request below a tier."""
        agents = {
            view.agent
            for view in self.views.values()
            if self.must_hold_floor(view, work)
        }
        floor_messages = self.floors.raise_floor(
            work.service, work.tier, agents, now_ms
        )
        self.send_messages(floor_messages)
        self.check_floors(now_ms)

    def send_messages(self, addressed_messages):
        """Send each message to its agent."""
        for agent, message in addressed_messages:
            self.actions.append(Send(agent, message))

    def must_hold_floor(self, view, work):
        """Return whether a server must hold a floor of a request's service."""
        if not view.connected or view.state is None:
            return False
        return view.state.service == work.service

    def handle_floor_held(self, floor_id, agent, now_ms):
        """Record that an agent holds a floor."""
        self.floors.record_held(floor_id, agent)
        self.check_floors(now_ms)

    def check_floors(self, now_ms):
        """Shed the requests that waited for floors that are now held."""
        for service in self.floors.update(now_ms, self.is_connected):
            self.shed_awaiting_floor(service, now_ms)

    def is_connected(self, agent):
        """Return whether an agent is known and connected."""
        view = self.views.get(agent)
        return view is not None and view.connected

    def shed_awaiting_floor(self, service, now_ms):
        """Shed the requests of a service that waited for its floor."""
        awaiting_floor = [
            request
            for request in self.waiting.values()
            if request.awaiting_floor and request.work.service == service
        ]
        for request in awaiting_floor:
            if request.work.request_id in self.waiting:
                self.shed_request(request, now_ms)
