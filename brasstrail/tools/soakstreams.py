"""Streams that callers take up again, and the versions of the servers that make them.

`StreamCaller` takes a stream up at drawn gateways until it is whole. The checks judge
all tries of a stream together; they are registered in `soakcheck.CHECKS`.
"""

import asyncio
import collections
import dataclasses
import time

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck

VERSIONS = ("v1", "v2", "v3")
# A stream is taken up at most this often, within the caller's time for all of it.
MAX_TAKE_UPS = 4
STREAM_DEADLINE_S = 12.0
MIN_CALL_S = 0.5
# Delays before a stream is taken up: at once, soon, or after seconds.
TAKE_UP_DELAYS_S = (0.0, 0.0, 0.2, 1.0, 3.0)
# How often a caller leaves within a stream, and takes one up at two gateways at once.
LEAVE_PROBABILITY = 0.15
DOUBLE_PROBABILITY = 0.1
# The users' bound: of this many streams or more that are taken up while this many
# servers of their version serve, at least this fraction of the share of new streams
# that begin goes on.
MIN_TAKE_UPS = 12
MIN_SERVERS = 2
MIN_SHARE_FRACTION = 0.5
# Statuses that say nothing about the choice of a server: unknown keys and allotments.
UNCOUNTED_STATUSES = (401, 429)


class StreamCaller:
    """Takes one broken stream up again.

    Parameters
    ----------
    load : `soakload.Load`, which sends the requests and draws gateways.
    reply : `fleetcalls.Reply` of the request that brought the first event.
    """

    def __init__(self, load, reply):
        self.load = load
        self.first = reply
        self.last_event = received_events(reply)
        self.deadline_at = reply.sent_at + STREAM_DEADLINE_S

    async def run(self):
        """Take the stream up until it is whole or its time is over."""
        draw = self.load.random
        delay_s = draw.choice(TAKE_UP_DELAYS_S)
        for _ in range(MAX_TAKE_UPS):
            if time.time() + delay_s > self.deadline_at - MIN_CALL_S:
                return
            await asyncio.sleep(delay_s)
            if self.load.stopped:
                return
            count = 2 if draw.random() < DOUBLE_PROBABILITY else 1
            replies = await asyncio.gather(*(self.go_on() for _ in range(count)))
            reply = max(replies, key=lambda each: received_events(each))
            if reply.is_complete and reply.status == 200:
                return
            self.last_event += received_events(reply)
            delay_s = float(reply.retry_after or draw.choice(TAKE_UP_DELAYS_S))

    async def go_on(self):
        """Send one try to a drawn gateway; return its `fleetcalls.Reply`."""
        gateway = self.load.random.choice(sorted(self.load.gateways))
        reply = dataclasses.replace(
            self.load.make_reply(self.first.route, self.first.key, gateway),
            events=self.first.events,
            query=self.first.query,
            prompt=self.first.prompt,
            after=self.last_event,
            resumes=self.first.identity,
        )
        self.load.observations.replies.append(reply)
        caller = fleetcalls.Caller()
        left_s = self.deadline_at - time.time()
        await caller.call(self.load.gateways[gateway], reply, reply.events, left_s)
        caller.close()
        if left_s < fleetcalls.ROUTE_TIMEOUT_S and time.time() >= self.deadline_at:
            # Its own deadline came before the time limit of the route.
            reply.has_left = True
        return reply


def received_events(reply):
    """Return how many events the caller received in an answer."""
    return len(soakcheck.EVENT_PATTERN.findall(reply.body))


@soakcheck.check("a stream is of one software version")
def find_mixed_versions(observations):
    """Find streams with events of servers of two versions, in one answer or over tries.

    This holds at all gateways, whatever fault they have.
    """
    versions = collections.defaultdict(set)
    for reply in observations.replies:
        if reply.route in soakcheck.STREAM_ROUTES:
            matches = soakcheck.EVENT_PATTERN.findall(reply.body)
            versions[reply.stream].update(version for *_, version in matches)
    for stream, found in versions.items():
        if len(found) > 1:
            yield stream, sorted(found)


@dataclasses.dataclass(frozen=True)
class Shares:
    """How many new streams began and taken-up ones went on, of how many.

    Counted are requests at gateways without a fault; of the streams that are taken up,
    those whose version several servers without a fault had.
    """

    begun: int
    new: int
    went_on: int
    taken_up: int

    @property
    def are_fair(self):
        """Whether streams go on about as often as new ones begin."""
        if self.taken_up < MIN_TAKE_UPS or not self.new:
            return True
        share = self.went_on / self.taken_up
        return share >= MIN_SHARE_FRACTION * self.begun / self.new

    def __str__(self):
        return (
            f"{self.begun} of {self.new} new streams began, "
            f"{self.went_on} of {self.taken_up} taken up went on"
        )


def count_shares(observations):
    """Return the `Shares` of a run."""
    counts = collections.Counter()
    versions = find_versions(observations)
    starts = ServerStarts(observations)
    for reply in observations.replies:
        is_stream = reply.route in soakcheck.STREAM_ROUTES and not reply.fatal
        if not is_stream or reply.status in UNCOUNTED_STATUSES:
            continue
        since_at = reply.sent_at - soakcheck.CONTACT_LIMIT_S
        if observations.had_fault(reply.gateway, since_at, reply.ended_at, False):
            continue
        has_events = received_events(reply) > 0
        if not reply.after:
            counts["new"] += 1
            counts["begun"] += has_events
        elif starts.count(versions.get(reply.stream), reply.sent_at) >= MIN_SERVERS:
            counts["taken_up"] += 1
            counts["went_on"] += has_events or (
                reply.is_complete and reply.status == 200
            )
    return Shares(*(counts[each] for each in ("begun", "new", "went_on", "taken_up")))


def find_versions(observations):
    """Return the version that began each stream, by the stream's first request."""
    versions = {}
    for reply in observations.replies:
        matches = soakcheck.EVENT_PATTERN.findall(reply.body)
        if matches and not reply.after:
            versions[reply.identity] = matches[0][-1].decode()
    return versions


class ServerStarts:
    """Which servers had which version when, from their journals."""

    def __init__(self, observations):
        self.observations = observations
        self.by_name = collections.defaultdict(list)
        for record in sorted(observations.records, key=lambda each: each["at"]):
            if record["event"] == "up":
                self.by_name[record["name"]].append((record["at"], record["version"]))

    def count(self, version, at):
        """Return how many servers without a fault had a version at a time."""
        count = 0
        for name, starts in self.by_name.items():
            earlier = [each for since_at, each in starts if since_at <= at]
            has_fault = self.observations.had_fault(
                name, at - soakcheck.CONTACT_LIMIT_S, at + 1.0, False
            )
            count += bool(earlier) and earlier[-1] == version and not has_fault
        return count


@soakcheck.check("streams that are taken up go on")
def find_refused_take_ups(observations):
    """Find a run in which too few of the streams that were taken up went on."""
    shares = count_shares(observations)
    if not shares.are_fair:
        yield str(shares)
