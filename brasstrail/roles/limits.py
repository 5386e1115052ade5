"""The limits of backend servers at a gateway, and the permits to send them requests.

`LimitDesk` records the limits that answers name and tells the other gateways. For a
limited server it asks the gateway that coordinates its permits; if that is this one, it
grants them to the others (see `coordination.limits`).
"""

import dataclasses
import itertools

from brasstrail.coordination import limits, trials
from brasstrail.core import clock
from brasstrail.protocol import messages

# A gateway is reachable if it was heard of within this time; gateways send their state
# each second, and one of two datagrams may be lost.
REACHABLE_MS = 3500
# A permit comes at the latest when its question is dropped, and is valid for a while.
MAX_GRANT_DELAY_MS = limits.QUESTION_VALIDITY_MS + limits.PERMIT_VALIDITY_MS
# Permits that are asked for at once for one server.
MAX_ASKED = 8
# How long the end of a limit is told to others.
ENDED_SHARED_MS = 10_000
# Limits in one message to other gateways.
MAX_SHARED = 128
# Number of gateways assumed until the control hosts have reported it.
ASSUMED_GATEWAY_COUNT = 10


@dataclasses.dataclass(frozen=True)
class Permit:
    """A permit to send one request to a server, which `coordinator` has granted.

    `granted_per_s` is the rate at which it grants permits to all gateways.
    """

    coordinator: str
    number: int
    granted_ms: int
    granted_per_s: float


class LimitDesk:
    """The limits of servers, and the permits that this gateway has and grants.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    heard_ms : when each other gateway was last heard of, by name.
    asked : (number, time) of the questions without an answer, by server and start.
    allocator : `limits.PermitAllocator`.
    timer : the call that grants the next permits, or None.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.log = gateway.log
        self.heard_ms = {}
        self.asked = {}
        self.numbers = itertools.count(1)
        self.allocator = limits.PermitAllocator()
        self.timer = None

    # Limits.

    def record_answer(self, announcement, per_s, sent_ms):
        """Record the limit in the head of an answer, or that it names none.

        Parameters
        ----------
        announcement : that of the server to which the request was sent.
        per_s : requests a second, or None.
        sent_ms : when the request was sent.
        """
        if per_s is not None and per_s > limits.MAX_RATE_PER_S:
            per_s = None
        limit = limits.Limit(per_s, sent_ms, clock.now_ms())
        self.apply(announcement.identity, announcement.born_ms, limit, "answer")

    def apply(self, identity, born_ms, limit, source):
        """Apply a limit to a server, unless what is known of it is newer."""
        server = self.gateway.pool.servers.get(identity)
        if server is None or server.announcement.born_ms != born_ms:
            return
        known = server.limit
        if known is None and limit.per_s is None:
            return
        server.limit = limits.latest(known, limit)
        if (known.per_s if known else None) == server.limit.per_s:
            return
        self.gateway.metrics.count("gateway_limit_changes")
        self.log.info(
            "limits: The limit of a server changed.",
            server=identity,
            born=born_ms,
            per_s=server.limit.per_s,
            before=known.per_s if known else None,
            source=source,
            age_ms=clock.now_ms() - limit.received_ms,
        )
        if server.limit.per_s is None:
            server.permits.clear()
            self.allocator.remove((identity, born_ms))
        self.gateway.gossip.send_soon()
        self.gateway.dispatch_waiting()

    # Exchange with other gateways.

    def reports(self):
        """Return the `messages.ServerLimit`s to send to the other gateways."""
        now_ms = clock.now_ms()
        reports = (
            make_report(server, now_ms)
            for server in self.gateway.pool.servers.values()
            if server.limit is not None
            and (
                server.is_limited
                or now_ms - server.limit.received_ms <= ENDED_SHARED_MS
            )
        )
        return tuple(itertools.islice(reports, MAX_SHARED))

    def apply_reports(self, name, reports):
        """Apply the limits that another gateway knows; it is reachable.

        Ages count from when the message arrived, however long it has waited to be read.
        """
        now_ms = clock.now_ms()
        arrived_ms = now_ms - self.gateway.pauses.waited_ms(now_ms)
        self.heard_ms[name] = arrived_ms
        for each in reports:
            limit = limits.Limit(
                each.per_s if each.is_named else None,
                arrived_ms - each.sent_ms_ago,
                arrived_ms - each.received_ms_ago,
            )
            self.apply(each.identity, each.born_ms, limit, f"reported_by_{name}")

    def reachable(self):
        """Return the names of the gateways that hear of each other, with this one."""
        now_ms = clock.now_ms()
        names = [
            name
            for name, heard_ms in self.heard_ms.items()
            if now_ms - heard_ms <= REACHABLE_MS and name in self.gateway.gossip.peers
        ]
        return sorted({*names, self.gateway.hub.name})

    def total(self):
        """Return how many gateways there are, or may be."""
        if not self.gateway.knows_gateways:
            return ASSUMED_GATEWAY_COUNT
        return len(self.gateway.gossip.peers) + 1

    def find_coordinator(self, identity):
        """Return the name of the gateway that coordinates a server's permits."""
        return trials.find_coordinator(self.reachable(), identity)

    # Permits of this gateway.

    def ask(self, wants):
        """Ask for permits that requests want.

        Parameters
        ----------
        wants : the ranks of the requests that want one, by server identity.
        """
        now_ms = clock.now_ms()
        for identity, ranks in wants.items():
            server = self.gateway.pool.servers.get(identity)
            if server is None or not server.is_limited:
                continue
            key = identity, server.announcement.born_ms
            asked = [
                each
                for each in self.asked.get(key, ())
                if now_ms - each[1] <= limits.QUESTION_VALIDITY_MS
            ]
            for rank in sorted(ranks)[len(asked) : MAX_ASKED]:
                number = next(self.numbers)
                asked.append((number, now_ms))
                self.send_question(server, number, rank)
            self.asked[key] = asked

    def send_question(self, server, number, rank):
        """Ask the coordinator of a server's permits for one."""
        report = make_report(server, clock.now_ms())
        question = messages.PermitQuestion(report, number, *rank)
        coordinator = self.find_coordinator(server.announcement.identity)
        if coordinator == self.gateway.hub.name:
            self.handle_question(question, coordinator)
        else:
            self.gateway.gossip.send_message((coordinator,), question)

    def accept(self, message, name):
        """Take a permit that another gateway, or this one, has granted.

        One that arrives long after it was asked for has run out: it has waited while
        this process, or the network, was held up. It is given back.
        """
        now_ms = clock.now_ms()
        key = message.identity, message.born_ms
        server = self.gateway.pool.servers.get(message.identity)
        asked = dict(self.asked.get(key, ()))
        asked_ms = asked.pop(message.number, None)
        self.asked[key] = list(asked.items())
        is_same = server and server.announcement.born_ms == message.born_ms
        if not is_same or not server.is_limited:
            return
        if asked_ms is None or now_ms - asked_ms > MAX_GRANT_DELAY_MS:
            self.log.info(
                "limits: A permit came too late and is given back.",
                server=message.identity,
                coordinator=name,
                asked_ms_ago=None if asked_ms is None else now_ms - asked_ms,
            )
            self.give_back(key, name)
            return
        server.permits.append(
            Permit(name, message.number, now_ms, message.granted_per_s)
        )
        self.gateway.dispatch_waiting()

    def give_back_unused(self, now_ms):
        """Give the permits back that were not used in time."""
        for server in self.gateway.pool.servers.values():
            while server.permits and not limits.is_valid(server.permits[0], now_ms):
                permit = server.permits.popleft()
                self.give_back(server.start, permit.coordinator)

    def give_back(self, start, coordinator):
        """Give a permit for a start of a server back to the gateway that granted it."""
        message = messages.PermitReturn(*start)
        if coordinator == self.gateway.hub.name:
            self.handle_return(message)
        elif coordinator in self.gateway.gossip.peers:
            self.gateway.gossip.send_message((coordinator,), message)

    # Permits that this gateway coordinates.

    def handle_question(self, question, name):
        """Record that a gateway wants a permit that this one coordinates."""
        report = question.limit
        if name != self.gateway.hub.name:
            self.apply_reports(name, (report,))
        server = self.gateway.pool.servers.get(report.identity)
        if server is None or server.announcement.born_ms != report.born_ms:
            return
        if self.find_coordinator(report.identity) != self.gateway.hub.name:
            return
        per_s = server.limit.per_s if server.is_limited else report.per_s
        rate = limits.granted_rate(per_s, len(self.reachable()), self.total())
        rank = question.tier, question.route_tier
        key = report.identity, report.born_ms
        self.allocator.ask(key, rate, name, question.number, rank, clock.now_ms())
        self.grant()

    def handle_return(self, message):
        """Take a permit back."""
        key = message.identity, message.born_ms
        self.allocator.give_back(key, clock.now_ms())
        self.grant()

    def grant(self):
        """Grant the permits that are due, and set the timer for the next ones."""
        now_ms = clock.now_ms()
        for granted in self.allocator.grants(now_ms):
            identity, born_ms = granted.server
            message = messages.PermitGrant(
                identity, born_ms, granted.number, granted.rate_per_s
            )
            if granted.gateway == self.gateway.hub.name:
                self.gateway.hub.loop.call_soon(self.accept, message, granted.gateway)
            elif granted.gateway in self.gateway.gossip.peers:
                self.gateway.gossip.send_message((granted.gateway,), message)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wait_ms = self.allocator.next_grant_ms(now_ms)
        if wait_ms is not None:
            loop = self.gateway.hub.loop
            self.timer = loop.call_later(wait_ms / 1000, self.grant)

    def close(self):
        """Stop granting permits."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # Periodic work and metrics.

    def tick(self, now_ms):
        """Give unused permits back and forget what is over."""
        self.give_back_unused(now_ms)
        for key in list(self.asked):
            identity, born_ms = key
            if self.gateway.pool.born_ms(identity) != born_ms:
                del self.asked[key]
        for key in list(self.allocator.buckets):
            identity, born_ms = key
            if self.gateway.pool.born_ms(identity) != born_ms:
                self.allocator.remove(key)

    def register_gauges(self, gauge):
        """Register the gauge of the limits, by server."""
        gauge("gateway_server_limit", self.current_limits)

    def current_limits(self):
        """Return the limits in force, in requests a second by server."""
        return {
            identity: server.limit.per_s
            for identity, server in self.gateway.pool.servers.items()
            if server.is_limited
        }


def make_report(server, now_ms):
    """Return the `messages.ServerLimit` of a `pool.Server` that had a limit."""
    limit, announcement = server.limit, server.announcement
    return messages.ServerLimit(
        announcement.identity,
        announcement.born_ms,
        limit.per_s is not None,
        limit.per_s or 0.0,
        max(0, now_ms - limit.sent_ms),
        max(0, now_ms - limit.received_ms),
    )
