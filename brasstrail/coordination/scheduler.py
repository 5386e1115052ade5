"""An entry's scheduler: which request goes where, when, and which is given up.

`Scheduler` is a state machine. It is told of requests, of what agents say and
of the time, and leaves what it decided in `actions`. Requests wait here and are
bound to a server as late as possible: they are offered to the servers where
they would end first, and go to the first that grants room.

A request is given up when it can no longer meet its deadline although it could
have when it came. Before a request is given up, all servers of its service
have agreed to start nothing of a lower tier for a while (a floor), and the
waiting requests of lower tiers are given up first. The refusal then leaves at
once, with a time after which a new try is sensible.
"""

import dataclasses

from brasstrail.coordination import admission, floors, policies, servers
from brasstrail.protocol import messages

DEFAULT_CROSSING_RATE = 1875.0
MAX_OFFERS_PER_REQUEST = 3
HEDGE_MS = 30
MIN_STANDING = 4
STANDING_PER_SLOT = 2
MAX_PLACED_PER_TICK = 128
BARRED_MS = 500
NO_SERVER_PATIENCE_MS = 3000
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to an agent."""

    agent: str
    message: object


@dataclasses.dataclass(frozen=True)
class Place:
    """Start a request at an agent; `reason` says why there."""

    request_id: str
    agent: str
    pushed: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Give a request up; nothing of it has been started."""

    request_id: str
    code: str
    reason: str
    retry_after_s: int


@dataclasses.dataclass
class Waiting:
    """A request that waits.

    `infeasible` marks one that could not have met its deadline even alone; it
    runs after the others of its tier, if it gets room before its deadline.
    `awaiting_floor` marks one that is given up as soon as the floor is held, and one
    that a floor bars is not offered before `barred_until_ms`.
    """

    work: object
    suspect: bool
    infeasible: bool = False
    awaiting_floor: bool = False
    offered: dict = dataclasses.field(default_factory=dict)
    excluded: set = dataclasses.field(default_factory=set)
    offered_ms: int = 0
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
    actions : what was decided, in order; the owner takes and carries it out.
    """

    def __init__(self, name, policy, random):
        self.name = name
        self.policy = policies.POLICIES[policy]()
        self.random = random
        self.views = {}
        self.waiting = {}
        self.running = {}
        self.tiers = {}
        self.floors = floors.Floors(name)
        self.crossing = servers.LinkPacer(DEFAULT_CROSSING_RATE)
        self.served = {}
        self.actions = []

    def take_actions(self):
        """Return what was decided since, and forget it."""
        taken = self.actions
        self.actions = []
        return taken

    # Servers.

    def add_server(self, agent, remote, round_trip_ms):
        """Note a server's agent that can be reached."""
        view = servers.ServerView(agent, remote, round_trip_ms, self.crossing)
        self.views[agent] = view

    def set_connected(self, agent, connected):
        """Note whether an agent can be reached now."""
        view = self.views.get(agent)
        if view is None or view.connected == connected:
            return
        view.connected = connected
        if connected and view.state is not None:
            self.extend_floor(view)

    def remove_server(self, agent):
        """Forget a server; what was offered there waits for others."""
        self.views.pop(agent, None)
        for item in self.waiting.values():
            item.offered.pop(agent, None)
        self.floors.forget(agent)

    def take_state(self, agent, state):
        """Take an agent's report."""
        view = self.views.get(agent)
        if view is None:
            return
        is_new = view.state is None or view.state.service != state.service
        view.update_state(state)
        if is_new:
            self.extend_floor(view)

    def extend_floor(self, view):
        """Ask a server that has just come to hold the floor of its service."""
        self.tell_floor(self.floors.extend(view.state.service, view.agent))

    def set_tiers(self, tiers):
        """Note the tiers that each service has classes in."""
        self.tiers = tiers

    def candidates(self, work):
        """Return the views of the servers that could run a request."""
        return [
            view
            for view in self.views.values()
            if view.can_run(work) and view.state.service == work.service
        ]

    # Requests.

    def add(self, work, suspect, excluded, now_ms):
        """Take a request that is to be placed."""
        self.crossing.advance(now_ms)
        item = Waiting(work, suspect, excluded=set(excluded))
        self.waiting[work.request_id] = item
        shortest_ms = self.shortest_run(item)
        target_ms = work.deadline_ms - work.arrived_ms
        item.infeasible = shortest_ms is not None and shortest_ms > target_ms
        if self.policy.pushes:
            self.push(item)
        else:
            self.place(item, now_ms)

    def shortest_run(self, item):
        """Return the least expected time of a run, or None without a server."""
        times = [view.min_run_ms(item.work) for view in self.allowed(item)]
        return min(times, default=None)

    def allowed(self, item):
        """Return the views that a waiting request may go to."""
        views = self.candidates(item.work)
        kept = [view for view in views if view.agent not in item.excluded]
        return kept or ([] if item.suspect else views)

    def cancel(self, request_id):
        """Forget a request that nobody waits for."""
        item = self.waiting.pop(request_id, None)
        if item is not None:
            self.withdraw_all(item)

    def withdraw_all(self, item, but=""):
        """Take back the offers of a request, except at one agent."""
        for agent in list(item.offered):
            self.unstand(item, agent)
            if agent != but:
                message = messages.Withdraw(item.work.request_id)
                self.actions.append(Send(agent, message))

    def unstand(self, item, agent):
        """Note that a request no longer stands at an agent."""
        item.offered.pop(agent, None)
        view = self.views.get(agent)
        if view is not None:
            view.open_offers.pop(item.work.request_id, None)

    # Placing.

    def push(self, item):
        """Send a request to the policy's first choice, without an offer."""
        views = self.allowed(item)
        if not views:
            return
        view = self.policy.rank(item.work, views, self.random)[0]
        self.start(item, view, True, f"first of {len(views)} by {self.policy.name}")

    def place(self, item, now_ms):
        """Offer a request to one more server, where that is sensible."""
        if len(item.offered) >= MAX_OFFERS_PER_REQUEST:
            return
        if now_ms < item.barred_until_ms:
            return
        if item.offered and now_ms - item.offered_ms < HEDGE_MS:
            return
        views = [v for v in self.allowed(item) if v.agent not in item.offered]
        if not views:
            return
        for view in self.policy.rank(item.work, views, self.random):
            if view.can_send_now() and self.make_place(view, item):
                self.offer(item, view, now_ms)
                return

    def make_place(self, view, item):
        """Return whether an offer may stand, after taking back a worse one."""
        limit = max(MIN_STANDING, STANDING_PER_SLOT * view.state.slots)
        if len(view.open_offers) < limit:
            return True
        worst = max(view.open_offers.values(), key=self.rank)
        if self.rank(worst) <= self.rank(item):
            return False
        self.unstand(worst, view.agent)
        message = messages.Withdraw(worst.work.request_id)
        self.actions.append(Send(view.agent, message))
        return True

    def rank(self, item):
        """Return the order in which requests are placed."""
        work = item.work
        served = self.served.get(work.workspace, 0.0)
        return work.tier, item.infeasible, served, work.deadline_ms, work.request_id

    def offer(self, item, view, now_ms):
        """Offer a request to a server."""
        work = item.work
        item.offered[view.agent] = now_ms
        item.offered_ms = now_ms
        view.open_offers[work.request_id] = item
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
            item.suspect,
        )
        self.actions.append(Send(view.agent, message))

    def take_grant(self, agent, request_id, now_ms):
        """Place a request where room was granted, if it still waits."""
        self.crossing.advance(now_ms)
        item = self.waiting.get(request_id)
        view = self.views.get(agent)
        late = item is not None and self.is_late(item, now_ms, view)
        if item is None or view is None or late:
            message = messages.Withdraw(request_id)
            self.actions.append(Send(agent, message))
            if late:
                self.unstand(item, agent)
                self.give_up(item, now_ms)
            return
        if not view.can_send_now():
            self.unstand(item, agent)
            self.actions.append(Send(agent, messages.Withdraw(request_id)))
            return
        estimate = view.estimate(item.work)
        reason = (
            f"granted, expected prefill {estimate.prefill_ms:.0f} ms "
            f"of {view.tokens_to_prefill(item.work)} tokens"
        )
        self.start(item, view, False, reason)

    def start(self, item, view, pushed, reason):
        """Bind a request to a server."""
        work = item.work
        self.withdraw_all(item, but=view.agent)
        del self.waiting[work.request_id]
        view.record_start(work)
        self.running[work.request_id] = view.agent
        cost = work.prompt_tokens + work.output_tokens
        self.served[work.workspace] = self.served.get(work.workspace, 0.0) + cost
        self.actions.append(Place(work.request_id, view.agent, pushed, reason))

    def take_decline(self, agent, request_id, reason, now_ms):
        """Take an agent's refusal of an offer."""
        item = self.waiting.get(request_id)
        if item is None:
            return
        self.unstand(item, agent)
        item.offered_ms = now_ms
        if reason == admission.DECLINED_FLOOR:
            item.barred_until_ms = now_ms + BARRED_MS
        else:
            self.place(item, now_ms)

    def finished(self, work, elapsed_ms):
        """Note the end of a run; `elapsed_ms` is None where it failed."""
        agent = self.running.pop(work.request_id, None)
        view = self.views.get(agent)
        if view is not None:
            view.record_end(work, elapsed_ms)

    # Time.

    def tick(self, now_ms):
        """Place what can be placed, and give up what is too late."""
        self.crossing.advance(now_ms)
        self.check_floors(now_ms)
        for item in list(self.waiting.values()):
            if item.awaiting_floor or self.is_late(item, now_ms):
                self.give_up(item, now_ms)
        items = sorted(self.waiting.values(), key=self.rank)
        for item in items[:MAX_PLACED_PER_TICK]:
            if self.policy.pushes:
                self.push(item)
            else:
                self.place(item, now_ms)
        self.fade_served()

    def fade_served(self):
        """Keep the account of what workspaces were served within bounds."""
        if len(self.served) > len(self.waiting) + 1 and not self.waiting:
            self.served = {}

    def is_late(self, item, now_ms, view=None):
        """Return whether a request can no longer meet its deadline."""
        work = item.work
        if item.infeasible:
            return now_ms > work.deadline_ms
        views = [view] if view is not None else self.allowed(item)
        if not views:
            waited_ms = now_ms - work.arrived_ms
            return waited_ms > NO_SERVER_PATIENCE_MS or now_ms > work.deadline_ms
        return not any(self.in_time(work, each, now_ms) for each in views)

    def in_time(self, work, view, now_ms):
        """Return whether a run that starts now could meet the deadlines."""
        if now_ms + view.min_run_ms(work) > work.deadline_ms:
            return False
        if not work.first_deadline_ms:
            return True
        return now_ms + view.min_first_token_ms(work) <= work.first_deadline_ms

    # Giving up.

    def give_up(self, item, now_ms):
        """Refuse a request, once no lower tier is served any more."""
        work = item.work
        if not self.allowed(item):
            self.refuse(item, "no_server", "no backend server can run it")
            return
        if self.may_shed(work, now_ms):
            self.refuse(item, "overloaded", "its deadline can no longer be met")
            return
        item.awaiting_floor = True
        self.raise_floor(work, now_ms)

    def has_lower(self, work):
        """Return whether the service has classes of a lower tier."""
        return any(tier > work.tier for tier in self.tiers.get(work.service, ()))

    def may_shed(self, work, now_ms):
        """Return whether no lower tier can be started anywhere now."""
        if not self.has_lower(work):
            return True
        return self.floors.holds(work.service, work.tier, now_ms)

    def refuse(self, item, code, reason):
        """Give a request its final answer."""
        self.withdraw_all(item)
        self.waiting.pop(item.work.request_id, None)
        retry_after_s = self.retry_after(item.work)
        self.actions.append(Refuse(item.work.request_id, code, reason, retry_after_s))

    def retry_after(self, work):
        """Return the seconds after which the backlog should be worked off."""
        views = self.candidates(work)
        slots = sum(max(1, view.state.slots) for view in views)
        if not slots:
            return MAX_RETRY_AFTER_S
        ahead = sum(item.work.tier <= work.tier for item in self.waiting.values())
        ahead += sum(view.load() for view in views)
        mean_ms = sum(view.service_ms for view in views) / len(views)
        backlog_s = ahead * mean_ms / slots / servers.MS_PER_SECOND
        return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s)))

    # Floors.

    def raise_floor(self, work, now_ms):
        """Ask the agents of a service to start nothing below a tier."""
        agents = {view.agent for view in self.views.values() if self.bears(view, work)}
        asked = self.floors.raise_floor(work.service, work.tier, agents, now_ms)
        self.tell_floor(asked)
        self.check_floors(now_ms)

    def tell_floor(self, messages_to):
        """Send each agent its message."""
        for agent, message in messages_to:
            self.actions.append(Send(agent, message))

    def bears(self, view, work):
        """Return whether a server must hold a floor of a service."""
        if not view.connected or view.state is None:
            return False
        return view.state.service == work.service

    def take_floor_held(self, floor_id, agent, now_ms):
        """Note that an agent holds a floor."""
        self.floors.note_held(floor_id, agent)
        self.check_floors(now_ms)

    def check_floors(self, now_ms):
        """Refuse what waited for the floors that are held now."""
        for service in self.floors.check(now_ms, self.is_connected):
            self.refuse_awaiting_floor(service, now_ms)

    def is_connected(self, agent):
        """Return whether an agent is known and can be reached."""
        view = self.views.get(agent)
        return view is not None and view.connected

    def refuse_awaiting_floor(self, service, now_ms):
        """Refuse the requests that waited for a floor."""
        awaiting_floor = [
            item
            for item in self.waiting.values()
            if item.awaiting_floor and item.work.service == service
        ]
        for item in awaiting_floor:
            if item.work.request_id in self.waiting:
                self.give_up(item, now_ms)
