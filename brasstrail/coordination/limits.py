"""The limits that backend servers in need name, and permits to send them requests.

A server names in its answers how many requests a second it takes from all gateways
together, for as long as it says so. `Limit` is what one gateway knows of that.

One gateway coordinates the permits of each limited server, chosen by a hash of the
server's identity among the gateways that hear of each other. The others ask it for a
permit for each request that they want to send there. `PermitAllocator` grants permits
at the limited rate, the highest rank first. It uses neither sockets nor clocks.
"""

import dataclasses
import itertools

# A server that names a lower limit is still sent requests at this rate, to learn when
# it takes more again: the users' rule allows five more in 4 s than the limit.
MIN_RATE_PER_S = 0.25
# A limit above this is none: more than one gateway can send.
MAX_RATE_PER_S = 1000.0
# Part of the limit that is granted: what arrives besides is a question to a server.
GRANTED_FRACTION = 0.97
# Permits that may be granted at once after a pause: of a second, within the bounds.
BURST_S = 0.5
MIN_BURST = 1.0
MAX_BURST = 4.0
# A question is dropped if no permit is free within this time; it is asked again.
QUESTION_VALIDITY_MS = 1000
# How long a permit may be used. It is given back afterwards.
PERMIT_VALIDITY_MS = 400
# Questions of one server that wait for a permit.
MAX_QUESTIONS = 256


@dataclasses.dataclass(frozen=True)
class Limit:
    """The limit of a server as an answer named it.

    Attributes
    ----------
    per_s : requests a second of all gateways, or None if the answer named none.
    sent_ms : when the request of the answer was sent.
    received_ms : when the head of the answer arrived.
    """

    per_s: float | None
    sent_ms: int
    received_ms: int

    def is_overtaken_by(self, other):
        """Return whether another answer's word replaces this one.

        It does if its request was sent after this answer had arrived. If the two
        requests were under way together, their order is not known, and the lower limit
        stands.
        """
        if other.sent_ms >= self.received_ms:
            return True
        if self.sent_ms >= other.received_ms:
            return False
        if other.per_s is None:
            return False
        return self.per_s is None or other.per_s < self.per_s


def latest(known, other):
    """Return which of two limits stands; `known` may be None."""
    if known is None or known.is_overtaken_by(other):
        return other
    return known


def is_valid(permit, now_ms):
    """Return whether a permit, which has a `granted_ms`, may still be used."""
    return now_ms - permit.granted_ms <= PERMIT_VALIDITY_MS


@dataclasses.dataclass(order=True)
class Question:
    """A gateway that waits for a permit; the lowest `rank` is served first."""

    rank: tuple[int, int]
    order: int
    gateway: str = dataclasses.field(compare=False)
    number: int = dataclasses.field(compare=False)
    asked_ms: int = dataclasses.field(compare=False)


@dataclasses.dataclass(frozen=True)
class Grant:
    """A permit for a gateway that has asked with a number.

    `rate_per_s` is the rate at which permits of the server are granted.
    """

    server: tuple[str, int]
    gateway: str
    number: int
    rate_per_s: float


@dataclasses.dataclass
class Bucket:
    """The permits of one server.

    `tokens` are those that are free, as of `updated_ms`. `rate_per_s` is how many more
    there are each second.
    """

    rate_per_s: float
    updated_ms: int
    tokens: float = 0.0
    questions: list = dataclasses.field(default_factory=list)

    @property
    def capacity(self):
        """How many permits may be free at once."""
        return min(MAX_BURST, max(MIN_BURST, BURST_S * self.rate_per_s))

    def refill(self, now_ms):
        """Add the permits since the last time."""
        elapsed_s = max(0, now_ms - self.updated_ms) / 1000
        self.tokens = min(self.capacity, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_ms = now_ms


class PermitAllocator:
    """The permits that this gateway grants.

    Attributes
    ----------
    buckets : `Bucket` by the identity and the start of a server.
    """

    def __init__(self):
        self.buckets = {}
        self.orders = itertools.count()

    def ask(self, server, rate_per_s, gateway, number, rank, now_ms):
        """Add a question for a permit at a rate.

        A bucket begins empty: another gateway may have granted permits until now.
        """
        bucket = self.buckets.get(server)
        if bucket is None:
            bucket = self.buckets[server] = Bucket(rate_per_s, now_ms)
        bucket.refill(now_ms)
        bucket.rate_per_s = rate_per_s
        if len(bucket.questions) < MAX_QUESTIONS:
            question = Question(rank, next(self.orders), gateway, number, now_ms)
            bucket.questions.append(question)

    def give_back(self, server, now_ms):
        """Take a permit back that was not used."""
        bucket = self.buckets.get(server)
        if bucket is not None:
            bucket.refill(now_ms)
            bucket.tokens = min(bucket.capacity, bucket.tokens + 1.0)

    def grants(self, now_ms):
        """Return the `Grant`s that are due now, and forget old questions."""
        granted = []
        for server, bucket in self.buckets.items():
            bucket.refill(now_ms)
            bucket.questions = sorted(
                each
                for each in bucket.questions
                if now_ms - each.asked_ms <= QUESTION_VALIDITY_MS
            )
            while bucket.questions and bucket.tokens >= 1.0:
                bucket.tokens -= 1.0
                question = bucket.questions.pop(0)
                granted.append(
                    Grant(server, question.gateway, question.number, bucket.rate_per_s)
                )
        return granted

    def next_grant_ms(self, now_ms):
        """Return in how many milliseconds a permit becomes free, or None."""
        waits = [
            (1.0 - bucket.tokens) / bucket.rate_per_s * 1000
            for bucket in self.buckets.values()
            if bucket.questions
        ]
        return max(1.0, min(waits)) if waits else None

    def remove(self, server):
        """Forget a server that has no limit any more, or has left."""
        self.buckets.pop(server, None)


def granted_rate(limit_per_s, reachable, total):
    """Return the rate of permits that a coordinator grants, in requests a second.

    `reachable` of all `total` gateways hear of each other. The others may have a
    coordinator of their own.
    """
    share = min(1.0, reachable / max(1, total))
    return GRANTED_FRACTION * max(MIN_RATE_PER_S, limit_per_s) * share
