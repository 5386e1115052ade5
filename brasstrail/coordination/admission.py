"""Admission control of one backend server, run by its agent.

Inference engines admit every request in order of arrival and have no
priorities, so the agent decides the order. Entries offer their waiting requests
to the agent, and the agent grants capacity to the offer that sorts first
whenever its server has capacity. The agent counts running requests itself and
does not use load reports for this.

The deadlines determine how many requests run at once: another request is
admitted as long as it and all running requests are expected to meet their
deadlines at the learned speed of the server, up to `MAX_REQUESTS_PER_SLOT` times
the slot count that the server reports. If no speed can be learned, the slot count
itself is the limit.

Offers are ordered by tier; tier 1 has the highest priority. Within a tier, the
workspace with the least recent usage comes first, and within a workspace the
request with the earliest deadline. A floor is a lease during which no request
of a lower tier is started. An entry raises a floor before it sheds a request of
a higher tier.
"""

import dataclasses
import math

from brasstrail.protocol import messages

# The time in which the recorded usage of a workspace decays to half.
USAGE_HALF_LIFE_MS = 10_000
# The cost of one output token in prompt tokens, for the usage of workspaces.
PREFILL_TOKENS_PER_OUTPUT_TOKEN = 8
# While no offer waits for a slot, the estimated capacity is at least this multiple of
# the active requests.
CAPACITY_GROWTH_FACTOR = 2
# Limit on the active requests for each reported slot, whatever the deadlines allow.
MAX_REQUESTS_PER_SLOT = 12
# How many offers, in order, one selection checks against the deadlines.
MAX_OFFERS_EVALUATED = 8
# Factor on the learned time per token if one more request were admitted.
TOKEN_TIME_SAFETY_FACTOR = 1.2
# With a learned speed, a server with fewer active requests admits any request.
MIN_CONCURRENT_REQUESTS = 1
MS_PER_SECOND = 1000
# The reasons for a decline, as they are sent to the entry.
DECLINED_FLOOR = "floor"
DECLINED_LEAVING = "leaving"
DECLINED_MODEL = "model"


@dataclasses.dataclass(frozen=True)
class PendingOffer:
    """An offer that is neither granted, declined nor withdrawn.

    The agent drops it after `deadline_ms`.
    """

    entry: str
    offer: messages.Offer
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Decision:
    """A `Grant` or `Decline` message for an entry, and the reason for it."""

    entry: str
    message: object
    reason: str


def offer_cost(offer):
    """Return the cost of an offer in equivalent prefill tokens."""
    return offer.prompt_tokens + PREFILL_TOKENS_PER_OUTPUT_TOKEN * offer.output_tokens


@dataclasses.dataclass
class RunningRequest:
    """A request that runs on the server.

    `prompt_tokens` and `output_tokens` are the tokens that still have to be
    prefilled and generated.
    """

    tier: int
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int


class AdmissionController:
    """The offers, grants and running requests of one backend server.

    The offer id and the dispatch id of an attempt are equal: both are the `request_id`
    of its work. An active request runs or holds a grant.

    Parameters
    ----------
    grant_hold_ms : how long a grant reserves capacity for a request that has
        not arrived yet.
    speed : `slopes.SpeedEstimator` of the server; None for a plain service.

    Attributes
    ----------
    slots : the number of concurrent requests that the server reports it can run.
    accepting : whether new requests are admitted at all.
    offers : `PendingOffer` by entry and offer id.
    grants : the time at which each grant expires, by entry and offer id.
    running : `RunningRequest` by dispatch id.
    floors : the time at which each floor expires, by tier.
    workspace_usage : the decayed cost of the granted requests of each workspace.
    active_suspects : the dispatch ids of granted or running requests that are
        suspected of crashing a server; at most one is granted at a time.
    """

    def __init__(self, grant_hold_ms, speed=None):
        self.grant_hold_ms = grant_hold_ms
        self.speed = speed
        self.slots = 0
        self.accepting = True
        self.models = ()
        self.offers = {}
        self.grants = {}
        self.running = {}
        self.floors = {}
        self.workspace_usage = {}
        self.usage_updated_ms = 0
        self.active_suspects = set()

    # Offers.

    def offer(self, entry, offer, now_ms):
        """Add an offer; return the resulting decisions."""
        reason = self.decline_reason(offer, now_ms)
        if reason is not None:
            return [decline(entry, offer, reason)]
        key = (entry, offer.offer_id)
        self.offers[key] = PendingOffer(entry, offer, now_ms + offer.slack_ms)
        return self.grant_offers(now_ms)

    def decline_reason(self, offer, now_ms):
        """Return the reason to decline an offer, or None."""
        if not self.accepting:
            return DECLINED_LEAVING
        if offer.tier > self.lowest_admitted_tier(now_ms):
            return DECLINED_FLOOR
        if offer.model and offer.model not in self.models:
            return DECLINED_MODEL
        return None

    def withdraw(self, entry, offer_id, now_ms):
        """Remove an offer and its grant; return the resulting decisions."""
        self.offers.pop((entry, offer_id), None)
        self.grants.pop((entry, offer_id), None)
        self.active_suspects.discard(offer_id)
        return self.grant_offers(now_ms)

    def remove_entry(self, entry, now_ms):
        """Remove the offers and grants of a disconnected entry.

        Return the resulting decisions.
        """
        for key in [key for key in self.offers if key[0] == entry]:
            del self.offers[key]
        for key in [key for key in self.grants if key[0] == entry]:
            del self.grants[key]
            self.active_suspects.discard(key[1])
        return self.grant_offers(now_ms)

    # Capacity.

    def active_count(self):
        """Return the number of requests that run or hold a grant."""
        return len(self.running) + len(self.grants)

    def free_slots(self):
        """Return how many more requests fit into the reported slots."""
        return self.slots - self.active_count()

    @property
    def capacity(self):
        """The current estimate of how many requests the server can run at once.

        Once offers wait and no reported slot is free, it is the active count.
        """
        if self.offers and self.free_slots() <= 0:
            return self.active_count()
        return max(self.slots, CAPACITY_GROWTH_FACTOR * self.active_count())

    def grant_offers(self, now_ms):
        """Grant capacity to offers in order; return the decisions."""
        self.drop_expired(now_ms)
        decisions = []
        while self.accepting:
            pending = self.select_offer(now_ms)
            if pending is None:
                break
            decisions.append(self.grant(pending, now_ms))
        return decisions

    def select_offer(self, now_ms):
        """Return the offer to grant now, or None.

        If an offer would cause a missed deadline, a later offer of the same
        tier may be granted instead, but never one of a lower tier.
        """
        ranked = self.ranked(now_ms)
        if not ranked:
            return None
        if self.admits_unconditionally():
            return ranked[0]
        if self.active_count() >= MAX_REQUESTS_PER_SLOT * self.slots:
            return None
        for pending in ranked[:MAX_OFFERS_EVALUATED]:
            if pending.offer.tier != ranked[0].offer.tier:
                break
            if self.meets_deadlines(pending, now_ms):
                return pending
        return None

    def admits_unconditionally(self):
        """Return whether any request is admitted regardless of its deadline.

        Without a learned speed, the reported slots are the limit. Otherwise
        only an idle server admits any request.
        """
        if self.speed is None or not self.models:
            return self.free_slots() > 0
        return self.active_count() < MIN_CONCURRENT_REQUESTS

    def meets_deadlines(self, pending, now_ms):
        """Return whether granting an offer keeps all deadlines.

        Running requests that are expected to miss their deadline anyway are
        ignored.
        """
        if self.speed is None or not pending.offer.model:
            return False
        offer = pending.offer
        backlog = sum(active.prompt_tokens for active in self.running.values())
        before_ms = now_ms + self.prefill_ms(backlog)
        after_ms = now_ms + self.prefill_ms(backlog + offer.prompt_tokens)
        token_before_ms = self.speed.token_ms(self.active_count())
        token_after_ms = TOKEN_TIME_SAFETY_FACTOR * self.speed.token_ms(
            self.active_count() + 1
        )
        if after_ms + offer.output_tokens * token_after_ms > pending.deadline_ms:
            return False
        return all(
            after_ms + active.output_tokens * token_after_ms <= active.deadline_ms
            or before_ms + active.output_tokens * token_before_ms > active.deadline_ms
            for active in self.running.values()
        )

    def prefill_ms(self, tokens):
        """Return the time to prefill a number of prompt tokens."""
        return tokens * MS_PER_SECOND / self.speed.prefill_rate

    def drop_expired(self, now_ms):
        """Remove unused grants that expired and offers past their deadline."""
        for key, expires_ms in list(self.grants.items()):
            if now_ms > expires_ms:
                del self.grants[key]
                self.active_suspects.discard(key[1])
        for key, pending in list(self.offers.items()):
            if now_ms > pending.deadline_ms:
                del self.offers[key]

    def ranked(self, now_ms):
        """Return the offers that may be granted, in the order of granting.

        A suspect request is left out while another one is granted or running.
        """
        allowed = [
            pending
            for pending in self.offers.values()
            if not (pending.offer.suspect and self.active_suspects)
        ]
        self.decay_usage(now_ms)
        return sorted(allowed, key=self.sort_key)

    def sort_key(self, pending):
        """Return the key that orders offers for granting."""
        offer = pending.offer
        usage = self.workspace_usage.get(offer.workspace, 0.0)
        return offer.tier, usage, pending.deadline_ms, offer.offer_id

    def grant(self, pending, now_ms):
        """Reserve capacity for an offer; return the decision."""
        offer = pending.offer
        key = (pending.entry, offer.offer_id)
        del self.offers[key]
        self.grants[key] = now_ms + self.grant_hold_ms
        if offer.suspect:
            self.active_suspects.add(offer.offer_id)
        usage = self.workspace_usage.get(offer.workspace, 0.0)
        self.workspace_usage[offer.workspace] = usage + offer_cost(offer)
        reason = f"tier {offer.tier}, {len(self.offers)} offers left"
        return Decision(pending.entry, messages.Grant(offer.offer_id), reason)

    def decay_usage(self, now_ms):
        """Apply exponential decay to the usage of workspaces.

        Entries that decay below 1 are removed.
        """
        elapsed_ms = now_ms - self.usage_updated_ms
        self.usage_updated_ms = now_ms
        factor = math.exp2(-elapsed_ms / USAGE_HALF_LIFE_MS)
        self.workspace_usage = {
            workspace: cost * factor
            for workspace, cost in self.workspace_usage.items()
            if cost * factor >= 1
        }

    # Running.

    def start(self, entry, work, slack_ms, now_ms):
        """Start a request; return the reason if it is rejected, else None.

        A request whose grant is missing, for example because it expired, still
        starts if a reported slot is free.
        """
        dispatch_id = work.request_id
        granted = self.grants.pop((entry, dispatch_id), None)
        reason = None
        if not self.accepting:
            reason = DECLINED_LEAVING
        elif work.tier > self.lowest_admitted_tier(now_ms):
            reason = DECLINED_FLOOR
        elif granted is None and self.free_slots() <= 0:
            reason = "room"
        if reason is not None:
            self.active_suspects.discard(dispatch_id)
            return reason
        self.start_unconditionally(work, slack_ms, now_ms)
        return None

    def start_unconditionally(self, work, slack_ms, now_ms):
        """Record a request as running without an admission check.

        Used after the check, and for requests that a policy pushes.
        """
        self.running[work.request_id] = RunningRequest(
            work.tier, now_ms + slack_ms, work.prompt_tokens, work.output_tokens
        )

    def record_progress(self, dispatch_id, tokens):
        """Record that a request finished prefill and generated tokens."""
        running = self.running.get(dispatch_id)
        if running is not None:
            running.prompt_tokens = 0
            running.output_tokens = max(1, running.output_tokens - tokens)

    def finish(self, dispatch_id, now_ms):
        """Record the end of a request; return the resulting decisions."""
        self.running.pop(dispatch_id, None)
        self.active_suspects.discard(dispatch_id)
        return self.grant_offers(now_ms)

    # Floors.

    def lowest_admitted_tier(self, now_ms):
        """Return the lowest tier of which requests may start now.

        Expired floors are removed.
        """
        self.floors = {
            tier: expires_ms
            for tier, expires_ms in self.floors.items()
            if expires_ms > now_ms
        }
        return min(self.floors, default=math.inf)

    def raise_floor(self, tier, lease_ms, now_ms):
        """Block the tiers below `tier` for a lease.

        Return the decisions that decline the offers of those tiers.
        """
        expires_ms = max(self.floors.get(tier, 0), now_ms + lease_ms)
        self.floors[tier] = expires_ms
        declined = []
        for key, pending in list(self.offers.items()):
            if pending.offer.tier > tier:
                del self.offers[key]
                declined.append(decline(pending.entry, pending.offer, DECLINED_FLOOR))
        return declined

    def close(self):
        """Stop admitting requests; return the decisions that decline all offers."""
        self.accepting = False
        declined = [
            decline(pending.entry, pending.offer, DECLINED_LEAVING)
            for pending in self.offers.values()
        ]
        self.offers = {}
        return declined


def decline(entry, offer, reason):
    """Return the decision to decline an offer."""
    return Decision(entry, messages.Decline(offer.offer_id, reason), reason)
