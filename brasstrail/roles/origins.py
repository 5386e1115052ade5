"""Where streams began, as a gateway records, shares and looks it up.

A gateway tells some of the others about each stream that begins, when its first event
is passed on. One at which a caller takes the stream up asks them, unless it knows
itself. The holders are chosen by a hash of the stream's key, so that no gateway hears
of all streams.
"""

import asyncio
import collections
import dataclasses
import itertools
import random

from brasstrail.coordination import holders, origins
from brasstrail.core import catalog, clock
from brasstrail.protocol import messages
from brasstrail.roles import refusals

# A stream may be taken up for this multiple of its route's time limit: an attempt may
# last that long, and its caller may then take it up for as long again.
TAKE_UP_TIME_LIMITS = 2
# How long a question may take: two round trips between regions and the time that busy
# gateways take. It is sent again meanwhile to gateways that have not answered.
ANSWER_TIMEOUT_MS = 300
RESEND_INTERVAL_MS = 75
# Up to this number all other gateways are asked, also those that should not know: an
# answer of all of them is worth more than the few datagrams of a rare question.
MAX_GATEWAYS_ASKED = 32
ORIGINS_PER_DATAGRAM = 200
# A start of a server is known to all gateways within this time: an interval between two
# announcements, and the way to the gateways. Streams that began so shortly before on a
# new connection may be of either start.
START_NEWS_MS = 1500
REFRESH_INTERVAL_MS = 10_000
# Delay in seconds before a refused caller comes again: soon if an answer or a server
# may still come, later if that would need an operator.
SOON_RETRY_S = 1.0
LATE_RETRY_S = 5.0
RETRY_JITTER_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Finding:
    """What a gateway found out about the origin of a stream.

    `source` is the name of the gateway that knew it, "one_version" if the service had
    no other software, or "" if it is not known. `unanswered` counts the gateways that
    did not answer.
    """

    origin: origins.Origin | None
    source: str
    asked: int = 0
    unanswered: int = 0


class Question:
    """A question to other gateways that is under way.

    Attributes
    ----------
    pending : names of the gateways that have not answered.
    answer : a future of the (name, `origins.Origin`) of the first gateway that knows,
        or None once all have answered.
    """

    def __init__(self, names):
        self.pending = set(names)
        self.answer = asyncio.get_running_loop().create_future()

    def record(self, name, origin):
        """Record the answer of a gateway; `origin` is None if it does not know."""
        self.pending.discard(name)
        if self.answer.done():
            return
        if origin is not None:
            self.answer.set_result((name, origin))
        elif not self.pending:
            self.answer.set_result(None)


class OriginTracker:
    """The origins of streams that a gateway knows.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    peers : the names of the other gateways.
    ring : `holders.HolderRing` of all gateways.
    questions : `Question` by number.
    recent : the own streams that began lately, as `Beginning`s in order.
    untold : own streams by key that no other gateway was told of, since their service
        has had one software only.
    gateway_lost_ms : when a gateway was last missing from the list of gateways, or
    None.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.log = gateway.log
        self.table = origins.OriginTable()
        self.versions = origins.VersionHistory()
        self.peers = frozenset()
        self.ring = holders.HolderRing(())
        self.questions = {}
        self.numbers = itertools.count(1)
        self.recent = collections.deque()
        self.untold = {}
        self.gateway_lost_ms = None
        self.next_refresh_ms = 0

    @property
    def node(self):
        """The `settings.Node` of the process."""
        return self.gateway.hub.settings.node

    # Streams that begin here.

    def record(self, request, announcement, opened_ms):
        """Record that the first event of a request's stream is passed on.

        Parameters
        ----------
        request : the `forwarding.ForwardedRequest`, whose software is known.
        announcement : the `servers.Announcement` of the server.
        opened_ms : when the connection to it was opened.
        """
        if not request.identity:
            return
        now_ms = clock.now_ms()
        workspace = request.admitted.workspace or ""
        origin = origins.Origin(
            workspace,
            request.admitted.service,
            request.software,
            now_ms,
            now_ms + take_up_ms(request.route),
        )
        key = origins.stream_key(workspace, request.content, request.identity)
        self.recent.append(Beginning(key, announcement, opened_ms, now_ms))
        self.add(key, origin)

    def add(self, key, origin):
        """Add an own stream, and tell its holders if that is new.

        While a service has one software, only that can have begun a stream, and nobody
        is told. All that may still be taken up are told of when another one is seen.
        """
        if not self.table.add(key, origin):
            return
        origin = self.table.by_key[key]
        if self.versions.has_one_software(origin.service):
            self.untold[key] = origin
        else:
            self.untold.pop(key, None)
            self.tell(self.holders_of(key), ((key, origin),))

    def tell_untold(self, service):
        """Tell the holders of a service's streams that were not told of them."""
        rows = collections.defaultdict(list)
        for key, origin in list(self.untold.items()):
            if origin.service == service:
                del self.untold[key]
                for name in self.holders_of(key):
                    rows[name].append((key, origin))
        self.tell_many(rows)

    def end_start(self, ended, current):
        """Make the streams uncertain that may be of either of two starts of a server.

        `ended` and `current` are their announcements. A connection that was opened
        before the news of the later start came may have led to it.
        """
        if ended.software == current.software:
            return
        now_ms = clock.now_ms()
        for each in self.recent:
            is_start = (each.announcement.identity, each.announcement.born_ms) == (
                ended.identity,
                ended.born_ms,
            )
            origin = self.table.by_key.get(each.key)
            if is_start and origin and now_ms - each.opened_ms <= START_NEWS_MS:
                self.add(
                    each.key,
                    dataclasses.replace(origin, software=origins.UNCERTAIN),
                )

    # Other gateways.

    def set_peers(self, peers):
        """Replace the list of the other gateways; tell new holders what they hold."""
        if self.peers - {peer.name for peer in peers}:
            self.gateway_lost_ms = clock.now_ms()
        former_ring = self.ring
        self.peers = frozenset(peer.name for peer in peers)
        own = holders.Candidate(
            self.gateway.hub.name, self.node.data_centre, self.node.region
        )
        self.ring = holders.HolderRing(
            [own]
            + [
                holders.Candidate(peer.name, peer.data_centre, peer.region)
                for peer in peers
            ]
        )
        self.tell_holders(former_ring, self.peers)

    def tell_started_peer(self, name):
        """Tell a gateway that has started anew the streams that it is to hold."""
        self.tell_holders(holders.HolderRing(()), (name,))

    def tell_holders(self, former_ring, names):
        """Tell those gateways their streams that a former ring did not give them."""
        now_ms = clock.now_ms()
        streams = collections.defaultdict(list)
        for key, origin in self.table.by_key.items():
            if origin.expires_ms < now_ms or key in self.untold:
                continue
            former = former_ring.holders(self.node.region, key)
            for name in self.ring.holders(self.node.region, key):
                if name in names and name not in former:
                    streams[name].append((key, origin))
        self.tell_many(streams)

    def tell_many(self, streams):
        """Send lists of (key, `origins.Origin`) pairs by the name of a gateway."""
        for name, rows in streams.items():
            for at in range(0, len(rows), ORIGINS_PER_DATAGRAM):
                self.tell((name,), rows[at : at + ORIGINS_PER_DATAGRAM])

    def holders_of(self, key):
        """Return the names of the other gateways that hold a stream of this region."""
        names = self.ring.holders(self.node.region, key)
        return [name for name in names if name in self.peers]

    def tell(self, names, streams):
        """Send (key, `origins.Origin`) pairs to other gateways."""
        if not names:
            return
        rows = tuple(to_message(key, origin) for key, origin in streams)
        self.gateway.gossip.send_message(names, messages.StreamOrigins(rows))

    def handle_origins(self, message):
        """Store the origins that this gateway is to hold."""
        for each in message.origins:
            self.table.add(each.key, to_origin(each))

    def handle_question(self, message, name):
        """Answer the question of another gateway."""
        origin = self.table.find(message.key, clock.now_ms())
        rows = () if origin is None else (to_message(message.key, origin),)
        answer = messages.OriginAnswer(message.number, rows)
        self.gateway.gossip.send_message((name,), answer)

    def handle_answer(self, message, name):
        """Pass an answer on to the request that waits for it."""
        question = self.questions.get(message.number)
        if question is None:
            return
        for each in message.origins:
            self.table.add(each.key, to_origin(each))
        origin = to_origin(message.origins[0]) if message.origins else None
        question.record(name, origin)

    # Streams that are taken up here.

    async def find(self, request):
        """Return the `origins.Origin` of the stream that a request takes up.

        Returns None if the request takes none up. Raises `refusals.Refused` if the
        origin is not known, or if the route no longer allows its service.
        """
        call = request.call
        is_stream = request.route.kind is catalog.RouteKind.STREAM
        if not is_stream or not call.resume_after:
            return None
        started_ms = clock.now_ms()
        finding = await self.look_up(request)
        origin = finding.origin
        self.log_finding(request, finding, clock.now_ms() - started_ms)
        source = finding.source if finding.source in SOURCES else "gateway"
        self.gateway.metrics.count("gateway_origins", source=source or "unknown")
        if origin is None:
            is_open = finding.unanswered > 0
            raise refusal("unknown_stream", SOON_RETRY_S if is_open else LATE_RETRY_S)
        if origin.software == origins.UNCERTAIN:
            raise refusal("uncertain_version", LATE_RETRY_S)
        if origin.service not in request.route.services:
            raise refusal("service_of_stream_left", LATE_RETRY_S)
        return origin

    async def look_up(self, request):
        """Return the `Finding` about the stream that a request takes up."""
        call = request.call
        workspace = request.admitted.workspace or ""
        key = origins.stream_key(workspace, request.content, call.resumes)
        known = self.table.find(key, clock.now_ms()) if call.resumes else None
        if known is not None:
            return Finding(known, "own")
        finding = Finding(None, "")
        if call.resumes:
            finding = await self.ask(key)
        if finding.origin is None and not finding.unanswered:
            sole = self.sole_origin(request)
            if sole is not None:
                return dataclasses.replace(finding, origin=sole, source="one_version")
        return finding

    async def ask(self, key):
        """Ask the other gateways where a stream began; return the `Finding`."""
        names = list(self.peers)
        if len(names) > MAX_GATEWAYS_ASKED:
            names = [
                name for name in self.ring.possible_holders(key) if name in self.peers
            ]
        if not names:
            return Finding(None, "")
        number = next(self.numbers)
        question = self.questions[number] = Question(names)
        message = messages.OriginQuestion(number, key)
        answer = None
        try:
            for _ in range(ANSWER_TIMEOUT_MS // RESEND_INTERVAL_MS):
                asked = [each for each in question.pending if each in self.peers]
                self.gateway.gossip.send_message(asked, message)
                await asyncio.wait(
                    (question.answer,), timeout=RESEND_INTERVAL_MS / 1000
                )
                if question.answer.done():
                    answer = question.answer.result()
                    break
        finally:
            del self.questions[number]
        name, origin = answer or ("", None)
        return Finding(origin, name, len(names), len(question.pending))

    def sole_origin(self, request):
        """Return the only origin that a stream can have, or None if it is not certain.

        It is certain if the route has one service, which had one software only for as
        long as a stream may be taken up, as far as this gateway was told while it had
        contact, and if no gateway was lost that may have begun the stream elsewhere.
        """
        gateway, now_ms = self.gateway, clock.now_ms()
        limit_ms = take_up_ms(request.route)
        lost_ms = self.gateway_lost_ms
        is_gateway_lost = lost_ms is not None and (
            now_ms - lost_ms <= limit_ms + gateway.lease.duration_ms
        )
        services = request.route.services
        if len(services) != 1 or not gateway.lease.is_fresh or is_gateway_lost:
            return None
        (service,) = services
        software = self.versions.sole_software(service, now_ms - limit_ms, now_ms)
        if software is None:
            return None
        workspace = request.admitted.workspace or ""
        return origins.Origin(workspace, service, software, now_ms, now_ms + limit_ms)

    def log_finding(self, request, finding, waited_ms):
        """Log where a stream began and from where that is known."""
        origin = finding.origin
        self.log.info(
            "origins: A stream is taken up.",
            id=request.identity,
            resumes=request.call.resumes,
            resume_after=request.call.resume_after,
            version=origin.software if origin else "",
            service=origin.service if origin else "",
            source=finding.source,
            age_ms=clock.now_ms() - origin.begun_ms if origin else None,
            asked=finding.asked,
            unanswered=finding.unanswered,
            waited_ms=waited_ms,
        )

    # News of servers, periodic work and metrics.

    def record_directory(self, update, last_confirmed_ms):
        """Record the versions in an update of the known servers.

        `last_confirmed_ms` is when the former control host was last heard of, or None.
        """
        now_ms = clock.now_ms()
        for each in update.versions:
            self.record_software(each.service, each.software, now_ms - each.age_ms)
        if update.history_ms:
            self.versions.record_list(now_ms - update.history_ms, last_confirmed_ms)

    def record_server(self, announcement):
        """Record that a server runs."""
        service, software = announcement.service, announcement.software
        self.record_software(service, software, clock.now_ms())

    def record_software(self, service, software, seen_ms):
        """Record that a server of a service had a software."""
        self.versions.record(service, software, seen_ms)
        if self.untold and not self.versions.has_one_software(service):
            self.tell_untold(service)

    def tick(self, now_ms):
        """Remove what has expired; record the software of the servers that run."""
        self.table.remove_expired(now_ms)
        if now_ms >= self.next_refresh_ms:
            self.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS
            for server in self.gateway.pool.servers.values():
                self.record_server(server.announcement)
            self.versions.remove_expired(now_ms)
        while self.untold:
            key = next(iter(self.untold))
            if key in self.table.by_key:
                break
            del self.untold[key]
        while self.recent and now_ms - self.recent[0].begun_ms > START_NEWS_MS:
            self.recent.popleft()

    def register_gauges(self, gauge):
        """Register the gauge of the table."""
        gauge("gateway_streams_known", lambda: len(self.table.by_key))


@dataclasses.dataclass(frozen=True)
class Beginning:
    """A stream that began at this gateway.

    `announcement` is that of the server to which the request was sent, on a connection
    that was opened at `opened_ms`.
    """

    key: str
    announcement: object
    opened_ms: int
    begun_ms: int


# The sources of an origin that are no names of gateways.
SOURCES = ("", "own", "one_version")


def take_up_ms(route):
    """Return for how long a stream of a route may be taken up, in milliseconds."""
    return int(TAKE_UP_TIME_LIMITS * route.time_limit_ms)


def refusal(reason, retry_after_s):
    """Return the refusal of a request that takes a stream up and has not run."""
    spread = random.uniform(1.0, 1.0 + RETRY_JITTER_FRACTION)
    return refusals.Refused(503, reason, retry_after_s * spread)


def to_message(key, origin):
    """Return the message record of an origin."""
    now_ms = clock.now_ms()
    return messages.StreamOrigin(
        key,
        origin.workspace,
        origin.service,
        origin.software,
        max(0, now_ms - origin.begun_ms),
        max(0, origin.expires_ms - now_ms),
    )


def to_origin(message):
    """Return the `origins.Origin` in a message record."""
    now_ms = clock.now_ms()
    return origins.Origin(
        message.workspace,
        message.service,
        message.software,
        now_ms - message.age_ms,
        now_ms + message.left_ms,
    )
