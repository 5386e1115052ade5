"""Prompts with shared parts, and parts that end the servers that answer on them.

Ordinary prompts share the first part of their route and a part of their caller. Those
with a fatal part share these two, and are new in all else. The checks use the users'
bounds; they are registered in `soakcheck.CHECKS`.
"""

import asyncio
import collections
import dataclasses
import time

from brasstrail.fakes import fatalparts, fleetcalls
from brasstrail.tools import soakcheck

# Ordinary requests of a caller have one of this many further parts in common.
CALLER_PARTS = 6
NEW_PART_PROBABILITY = 0.2
# The users' bounds: requests with a part that may reach servers later than this time
# after it has ended this many.
MAX_SERVERS_ENDED = 5
MAX_LATE_REQUESTS = 3
# Parts that end servers at the same time in a run.
MAX_FATAL_PARTS = 2
# The users' bound: from this time after the last of these ends, harmless requests of
# the same route begin at least half as often as otherwise, of so many or more.
EFFECT_LIMIT_S = 8.0
MIN_SHARE_FRACTION = 0.5
MIN_REQUESTS = 20


@dataclasses.dataclass(frozen=True)
class FatalPart:
    """A part that ends servers, and how requests with it come.

    `identity` is made by `fatalparts.make_fatal_part`. A request comes each
    `interval_s` at `gateways_at_once` gateways, on one of `routes`.
    """

    identity: str
    routes: tuple[str, ...]
    keys: tuple[str, ...]
    interval_s: float
    gateways_at_once: int


def make_prompt(load, reply, fatal=""):
    """Return the list of parts of a request for a stream; the last part is its own.

    `fatal` is the identity of a fatal part, which comes at a drawn place.
    """
    draw = load.random
    first = fleetcalls.ROUTE_PARTS[reply.route]
    caller = f"ca{len(reply.key):x}{draw.randrange(CALLER_PARTS)}"
    shared = [first, caller]
    if draw.random() < NEW_PART_PROBABILITY:
        shared.append(f"e{int(time.time()) // 4:x}")
    if fatal:
        shared.insert(draw.randint(0, len(shared)), fatal)
    return ",".join(f"{part}:20" for part in (*shared, f"0{load.number:x}"))


async def repeat_fatal_part(load, part, seconds):
    """Send new requests with a `FatalPart` for some seconds."""
    end = time.monotonic() + seconds
    calls = []
    while time.monotonic() < end and not load.stopped:
        names = sorted(load.gateways)
        for gateway in load.random.sample(names, part.gateways_at_once):
            calls.append(asyncio.ensure_future(send_fatal_part(load, part, gateway)))
        await asyncio.sleep(part.interval_s)
    await asyncio.wait(calls)


async def send_fatal_part(load, part, gateway):
    """Send one request with a `FatalPart`, on a connection of its own."""
    draw = load.random
    reply = load.make_reply(draw.choice(part.routes), draw.choice(part.keys), gateway)
    reply.events = draw.randint(1, 30)
    reply.query = f"?part={load.number}"
    reply.prompt = make_prompt(load, reply, part.identity)
    reply.fatal_part = part.identity
    load.observations.replies.append(reply)
    caller = fleetcalls.Caller()
    await caller.call(load.gateways[gateway], reply, reply.events, 8.0)
    caller.close()


def draw_fatal_part(soak, number, seconds):
    """Return a `FatalPart` that is drawn by a `soak.Soak`."""
    draw = soak.random
    until_s = int(time.time() + draw.choice((seconds, seconds, seconds / 2))) + 1
    return FatalPart(
        fatalparts.make_fatal_part(
            draw.choice(fatalparts.ENDINGS), until_s, 16 * soak.options.seed + number
        ),
        draw.choice((("talk",), ("tale",), ("talk", "tale"))),
        draw.choice((("key-steady",), ("key-steady", "key-small"))),
        draw.choice((1.0, 0.3, 0.1)),
        draw.choice((1, 1, soak.options.gateways)),
    )


def find_ends_by_part(observations):
    """Return the times at which servers ended for each fatal part, in order."""
    parts = {reply.identity: reply.fatal_part for reply in observations.replies}
    ends = collections.defaultdict(list)
    for record in sorted(observations.records, key=lambda each: each["at"]):
        if record["event"] == "ended" and parts.get(record["id"]):
            ends[parts[record["id"]]].append(record["at"])
    return ends


@soakcheck.check("requests with a part that ends servers are held back")
def find_repeats_of_fatal_parts(observations):
    """Find parts whose requests were sent on although they had ended several servers.

    Arrivals sent by gateways that had a fault shortly before are not counted, as in
    `soakcheck.find_repeats_of_fatal_requests`.
    """
    replies = {reply.identity: reply for reply in observations.replies}
    parts = {reply.identity: reply.fatal_part for reply in observations.replies}
    for part, ended in find_ends_by_part(observations).items():
        if len(ended) < MAX_SERVERS_ENDED:
            continue
        limit_at = ended[MAX_SERVERS_ENDED - 1] + soakcheck.HOLD_BACK_LIMIT_S
        late = [
            record["at"] - limit_at
            for record in observations.records
            if record["event"] == "start"
            and limit_at < record["at"] < fatalparts.end_of(part)
            and parts.get(record["id"]) == part
            and not observations.had_fault(
                replies[record["id"]].gateway,
                record["at"] - soakcheck.HOLD_BACK_LIMIT_S,
                record["at"],
                False,
            )
        ]
        if len(late) > MAX_LATE_REQUESTS:
            yield part, len(ended), sorted(round(each, 1) for each in late)


@dataclasses.dataclass(frozen=True)
class HarmlessShares:
    """How many harmless streams began, beside requests with fatal parts and otherwise.

    Counted are first attempts at gateways that had no fault; those beside are of the
    routes of the fatal parts, once these have had the time to be held.
    """

    begun_beside: int
    beside: int
    begun_otherwise: int
    otherwise: int

    @property
    def are_fair(self):
        """Whether harmless streams begin about as often as otherwise."""
        if min(self.beside, self.otherwise) < MIN_REQUESTS:
            return True
        share = self.begun_beside / self.beside
        return share >= MIN_SHARE_FRACTION * self.begun_otherwise / self.otherwise

    def __str__(self):
        return (
            f"{self.begun_beside} of {self.beside} streams beside fatal parts began, "
            f"{self.begun_otherwise} of {self.otherwise} otherwise"
        )


def find_effect_times(observations):
    """Return (routes, begin, end) for each fatal part that has ended servers.

    The time begins once the part must be held and lasts while its requests come.
    """
    ends = find_ends_by_part(observations)
    sent = collections.defaultdict(list)
    for reply in observations.replies:
        if reply.fatal_part:
            sent[reply.fatal_part].append(reply)
    return [
        (
            {reply.route for reply in sent[part]},
            ended[:MAX_SERVERS_ENDED][-1] + EFFECT_LIMIT_S,
            max(reply.sent_at for reply in sent[part]),
        )
        for part, ended in ends.items()
    ]


def count_harmless_shares(observations):
    """Return the `HarmlessShares` of a run."""
    times = find_effect_times(observations)
    counts = collections.Counter()
    for reply in observations.replies:
        is_fatal = reply.fatal or reply.fatal_part
        if reply.route not in soakcheck.STREAM_ROUTES or is_fatal or reply.resumes:
            continue
        if reply.status in (401, 429) or observations.had_fault(
            reply.gateway,
            reply.sent_at - soakcheck.CONTACT_LIMIT_S,
            reply.ended_at,
            False,
        ):
            continue
        is_beside = any(
            reply.route in routes and begin_at < reply.sent_at < end_at
            for routes, begin_at, end_at in times
        )
        group = "beside" if is_beside else "otherwise"
        counts[group] += 1
        counts["begun", group] += bool(soakcheck.EVENT_PATTERN.search(reply.body))
    return HarmlessShares(
        counts["begun", "beside"],
        counts["beside"],
        counts["begun", "otherwise"],
        counts["otherwise"],
    )


@soakcheck.check("harmless requests are served beside fatal parts")
def find_harmed_requests(observations):
    """Find a run in which too few harmless streams began beside fatal parts."""
    shares = count_harmless_shares(observations)
    if not shares.are_fair:
        yield str(shares)
