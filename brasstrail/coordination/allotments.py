"""Rate limits of workspaces, shared by all gateways without synchronous calls.

Each gateway counts the cost that it admits and receives from the others what they have
admitted. All of them maintain the same token bucket: it refills at the workspace's rate
up to the burst, and every cost admitted by any gateway is deducted from it. The bucket
may use a part of the slack of the bound, because a request within its allotment must
not be refused for a count that is not exact; the rest of the slack covers what is
admitted before it is reported.

What the others have admitted since their last reports is estimated by their rates until
then. While little is left, each gateway admits no faster than its share of the rate, by
what it has admitted lately. Otherwise all of them would admit at once what is left only
once, and then wait until that is made up for.

While little is left, a request of a workspace's less urgent routes is admitted only
once the gateway's share covers the usual cost of one, the most urgent ones before that.

A gateway that has just started, or that was held up, knows too little: its bucket
starts empty, and takes the level over that another one reports. Until then, a gateway
that has just started spends little more than its even share of the rate, since it may
not hear of all others yet.

A gateway without recent reports may be cut off and still admit requests. It is assumed
to spend an even share of the rate and of the bucket, and a gateway that receives no
reports spends no more than its own. The sum therefore keeps to the bound in any network
partition. What was set aside is returned once the gateway reports what it has spent;
one that has started again cannot tell.
"""

import collections
import dataclasses

from brasstrail.coordination import urgency
from brasstrail.core import catalog

# A gateway counts as silent after this time without a report; gateways send at least
# one every second.
SILENT_AFTER_MS = 1500
# A gateway that is not listed counts for this long after its last report: longer than
# one that reaches no control host serves.
PEER_RETENTION_MS = 6000
# Gateways that are remembered after that.
MAX_FORMER = 4096
# How often the silent gateways are looked for.
SILENCE_CHECK_INTERVAL_MS = 100
MS_PER_SECOND = 1000
# Fraction of the bound's slack by which the bucket's capacity exceeds the burst; the
# rest covers what gateways admit before they receive each other's reports.
BUCKET_SLACK_FRACTION = 0.5
# The shortest interval over which a rate is measured.
RATE_INTERVAL_MS = 200
# Weight of the latest interval in the rate at which another gateway spends.
SPENDING_SMOOTHING_FACTOR = 0.5
# A gateway keeps to its share of the rate while less is left than the rate gives in
# this time: several times as long as a report takes.
PACED_S = 0.75
# Weight of a request in the usual cost of a workspace's requests. What less urgent
# requests prepay does not depend on their own size, so that large ones are not refused
# more often than small ones.
COST_SMOOTHING_FACTOR = 0.05
# A gateway without requests lately has this fraction of an even share.
MIN_SHARE_FRACTION = 0.25
# After a start of all hosts, each gateway hears of all others within this time.
START_MS = 4000
# Even shares that a gateway may spend on trial: callers are spread unevenly.
TRIAL_SHARES = 1.5
# Levels are taken over after a longer pause, within this time: all gateways report in
# it.
RELEARN_MS = 1000
# Number of gateways assumed until the control hosts have reported it.
ASSUMED_GATEWAY_COUNT = 10
# Upper bound of the wait that a refused caller is given.
MAX_RETRY_WAIT_S = 10.0


@dataclasses.dataclass
class Bucket:
    """The cost that a workspace may still spend, over all gateways.

    `refilled_ms` is the time of the last refill. The other gateways spend `peer_rate`
    in a millisecond, and `peer_offset` is the sum of the rate of each times the time of
    its last report, so that what they have not reported yet is found without a loop.
    This one spends `own_rate`. While little is left, it may spend `paced` at once, as
    counted at `paced_ms`; below 0 it has spent that in advance. `usual_cost` is a
    moving average of what its requests here cost.
    """

    level: float
    refilled_ms: int
    peer_rate: float = 0.0
    peer_offset: float = 0.0
    own_rate: float = 0.0
    paced: float = 0.0
    paced_ms: int = 0
    usual_cost: float | None = None

    def record_cost(self, cost):
        """Record what a request costs."""
        if self.usual_cost is None:
            self.usual_cost = cost
        self.usual_cost += COST_SMOOTHING_FACTOR * (cost - self.usual_cost)

    def unreported(self, now_ms):
        """Return the cost that others have presumably admitted since their reports.

        It stops to grow when all of them count as silent.
        """
        estimate = self.peer_rate * now_ms - self.peer_offset
        return max(0.0, min(estimate, self.peer_rate * SILENT_AFTER_MS))


@dataclasses.dataclass(frozen=True)
class Report:
    """What a gateway tells the others, by workspace: the totals spent, and the levels.

    Either is None if it is not told. Levels are told only of buckets that are not full.
    """

    spent: dict | None = None
    levels: dict | None = None


@dataclasses.dataclass
class Peer:
    """The last report of another gateway's spending.

    `spent` is the total by workspace since that gateway started, as it told at
    `spent_ms`, or None if it has not; `incarnation` identifies the start. `rates` is
    the cost in a millisecond by workspace, as measured until `rated_ms`, and `unrated`
    the cost since then. While the gateway is silent, `silent_since_ms` says since when,
    and `set_aside` holds what it is assumed to have spent of each bucket.
    """

    incarnation: int
    last_report_ms: int
    spent: dict | None
    spent_ms: int = 0
    rates: dict = dataclasses.field(default_factory=dict)
    rated_ms: int = 0
    unrated: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    silent_since_ms: int | None = None
    set_aside: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Standing:
    """What a gateway knows of a workspace at its limit, for the log.

    `left` may be spent, of `capacity`, and rises by `rate` a second; others have
    presumably spent `unreported` of it. `spent` is what this gateway has admitted since
    its start, without what it has `refunded`. `others_spent` is what the others have
    reported since they are known, and `oldest_report_ms` the age of the report that
    came first of their last ones.
    """

    left: float
    unreported: float
    capacity: float
    rate: float
    spent: float
    refunded: float
    others_spent: float
    oldest_report_ms: int
    silent: int


class Allotments:
    """The token buckets of all workspaces, as one gateway computes them.

    Parameters
    ----------
    now_ms : the current time.
    slack : the cost that may be admitted beyond an allotment because counts are not
        exact.
    incarnation : that of the process; a gateway with a higher one has started later.
    window_s : the time over which the bound holds.

    Attributes
    ----------
    spent : the cost that this gateway has admitted since its start, by workspace.
    refunded : the cost that was given back since then, by workspace.
    others_spent : the cost that was deducted for other gateways, by workspace.
    peers : the last report of each other gateway, by name.
    listed : the names of the other gateways that the control hosts list.
    former : the incarnations of gateways that were removed, by name.
    learning_until_ms : until when levels are taken over from the first gateway that
        tells them; its own are not told until then.
    trial_since_ms : since when this gateway keeps to its even share, or None.
    trial_spent : what it had spent then, by workspace.
    full_from_ms : when the buckets are taken for full, whatever was spent before this
        gateway started, or None once that has been done.
    knows_peers : whether the control hosts have reported the other gateways.
    workspace_allotments : the `catalog.Allotment` of each workspace.
    tiers : `urgency.TierActivity` of the workspaces.
    """

    def __init__(self, now_ms, slack=0.0, incarnation=0, window_s=8.0):
        self.started_ms = now_ms
        self.incarnation = incarnation
        self.slack = BUCKET_SLACK_FRACTION * slack
        self.buckets = {}
        self.spent = {}
        self.reported = {}
        self.reported_ms = now_ms
        self.refunded = collections.Counter()
        self.others_spent = collections.Counter()
        self.peers = {}
        self.listed = frozenset()
        self.former = {}
        self.silent_count = 0
        self.next_silence_check_ms = now_ms
        self.learning_until_ms = now_ms + START_MS
        self.trial_since_ms = now_ms
        self.trial_spent = {}
        self.full_from_ms = now_ms + MS_PER_SECOND * window_s
        self.knows_peers = False
        self.has_document = False
        self.workspace_allotments = {}
        self.tiers = urgency.TierActivity()

    def configure(self, workspaces, now_ms):
        """Set the allotments from the workspaces of a catalog.

        New buckets start full. Those of the first catalog start empty: what was spent
        before this gateway started is not known. Levels above a lowered capacity are
        cut at once.
        """
        workspace_allotments = {each.workspace: each.allotment for each in workspaces}
        self.fill_after_window(now_ms)
        for name, allotment in workspace_allotments.items():
            self.refill_bucket(name, now_ms)
            bucket = self.buckets.get(name)
            capacity = self.bucket_capacity(allotment)
            if bucket is None and (self.has_document or self.full_from_ms is None):
                self.buckets[name] = Bucket(capacity, now_ms)
            elif bucket is None:
                uptime_s = (now_ms - self.started_ms) / MS_PER_SECOND
                level = min(capacity, uptime_s * allotment.rate)
                self.buckets[name] = Bucket(level, now_ms)
            else:
                bucket.level = min(bucket.level, capacity)
        self.has_document = True
        self.workspace_allotments = workspace_allotments
        self.tiers.keep(workspace_allotments)

    def set_peers(self, names, now_ms):
        """Set the names of the other gateways, as control hosts list them.

        Those that are no longer listed are kept until `drop_unlisted` removes them.
        """
        self.knows_peers = True
        self.listed = frozenset(names)
        for name in names:
            if name not in self.peers:
                self.peers[name] = Peer(0, now_ms, None)

    def drop_unlisted(self, now_ms):
        """Remove the gateways that are not listed and have not reported for long.

        It must be called only while a quorum confirms the list: a gateway that is cut
        off together with a control host is told that there are no others.
        """
        for name in set(self.peers) - self.listed:
            peer = self.peers[name]
            if now_ms - peer.last_report_ms > PEER_RETENTION_MS:
                self.remove_peer(name)
                self.former.pop(name, None)
                self.former[name] = peer.incarnation
        while len(self.former) > MAX_FORMER:
            del self.former[next(iter(self.former))]

    def remove_peer(self, name):
        """Forget another gateway."""
        peer = self.peers.pop(name)
        self.add_rates(peer, -1)
        self.silent_count -= peer.silent_since_ms is not None

    # Reports.

    def report(self, now_ms):
        """Return the `Report` for the other gateways."""
        self.update_own_rates(now_ms)
        if self.is_learning(now_ms):
            return Report(self.spent)
        levels = {}
        for name, allotment in self.workspace_allotments.items():
            if allotment.rate:
                left = self.left(name, now_ms)
                if left < self.bucket_capacity(allotment):
                    levels[name] = left
        return Report(self.spent, levels)

    def update_own_rates(self, now_ms):
        """Update the rates at which this gateway spends, as the others do."""
        elapsed_ms = now_ms - self.reported_ms
        if elapsed_ms < RATE_INTERVAL_MS:
            return
        for name, bucket in self.buckets.items():
            fresh = self.spent.get(name, 0.0) - self.reported.get(name, 0.0)
            latest = max(0.0, fresh / elapsed_ms)
            bucket.own_rate += SPENDING_SMOOTHING_FACTOR * (latest - bucket.own_rate)
        self.reported = dict(self.spent)
        self.reported_ms = now_ms

    def record_report(self, name, incarnation, report, now_ms):
        """Deduct what another gateway has spent since its last report.

        The first report of a gateway that has run for longer than this one only sets
        the base for later ones. One that has started later has spent all of it since.

        Parameters
        ----------
        name : the other gateway.
        incarnation : identifies its start; its totals begin at 0 there.
        report : its `Report`.
        """
        peer = self.find_peer(name, incarnation, now_ms)
        peer.last_report_ms = now_ms
        if report.spent is not None:
            self.end_silence(peer, now_ms)
            self.record_spending(peer, report.spent, now_ms)
        if self.is_learning(now_ms) and report.levels is not None:
            self.take_over(report.levels, now_ms)

    def find_peer(self, name, incarnation, now_ms):
        """Return the `Peer` of a start of another gateway."""
        peer = self.peers.get(name)
        if peer is not None and peer.incarnation == incarnation:
            return peer
        known = peer.incarnation if peer is not None else 0
        known = known or self.former.get(name) or self.incarnation or incarnation
        is_later = incarnation > known
        if peer is not None:
            self.remove_peer(name)
        base = {} if is_later else None
        self.peers[name] = Peer(incarnation, now_ms, base, rated_ms=now_ms)
        return self.peers[name]

    def record_spending(self, peer, spent, now_ms):
        """Deduct what another gateway has spent since it last told its totals."""
        if peer.spent is None:
            peer.spent = dict(spent)
        is_first = not peer.spent_ms
        self.add_rates(peer, -1)
        peer.spent_ms = now_ms
        for workspace, total in spent.items():
            fresh = total - peer.spent.get(workspace, 0.0)
            peer.spent[workspace] = total
            peer.unrated[workspace] += fresh
            self.deduct_peer_spending(workspace, fresh, now_ms)
        if is_first:
            peer.unrated.clear()
        self.update_rates(peer, now_ms)
        self.add_rates(peer, 1)

    def update_rates(self, peer, now_ms):
        """Measure the rates at which another gateway spends, at intervals."""
        elapsed_ms = now_ms - peer.rated_ms
        if elapsed_ms < RATE_INTERVAL_MS:
            return
        for workspace, cost in peer.unrated.items():
            rate = peer.rates.get(workspace, 0.0)
            latest = max(0.0, cost / elapsed_ms)
            rate += SPENDING_SMOOTHING_FACTOR * (latest - rate)
            peer.rates[workspace] = rate
        peer.unrated = collections.Counter(dict.fromkeys(peer.rates, 0.0))
        peer.rated_ms = now_ms

    def add_rates(self, peer, sign):
        """Add the rates of another gateway to the sums, or subtract them."""
        for workspace, rate in peer.rates.items():
            bucket = self.buckets.get(workspace)
            if bucket is not None:
                bucket.peer_rate += sign * rate
                bucket.peer_offset += sign * rate * peer.spent_ms

    def take_over(self, levels, now_ms):
        """Take over the levels of another gateway; buckets that it omits are full."""
        if not self.workspace_allotments:
            return
        for name, allotment in self.workspace_allotments.items():
            bucket = self.buckets[name]
            capacity = self.bucket_capacity(allotment)
            bucket.level = min(capacity, levels.get(name, capacity))
            bucket.refilled_ms = now_ms
        self.learning_until_ms = now_ms
        self.trial_since_ms = self.full_from_ms = None

    def is_learning(self, now_ms):
        """Return whether levels are to be taken over from another gateway."""
        return now_ms < self.learning_until_ms

    def begin_catch_up(self, now_ms):
        """Refill all buckets after a pause, also beyond their capacity.

        What the others have spent meanwhile is to be read before anything is admitted.
        """
        for name, bucket in self.buckets.items():
            allotment = self.workspace_allotments.get(name)
            if allotment is not None:
                elapsed_s = max(0, now_ms - bucket.refilled_ms) / MS_PER_SECOND
                bucket.level += elapsed_s * self.usable_rate(allotment)
                bucket.refilled_ms = now_ms

    def end_catch_up(self, now_ms, held_ms):
        """Cut the levels to the capacities.

        After a pause of `held_ms` that was long, they are taken over from a report.
        """
        for name, bucket in self.buckets.items():
            allotment = self.workspace_allotments.get(name, catalog.Allotment())
            bucket.level = min(bucket.level, self.bucket_capacity(allotment))
        if held_ms > RELEARN_MS:
            self.learning_until_ms = max(self.learning_until_ms, now_ms + RELEARN_MS)
            self.trial_since_ms, self.trial_spent = now_ms, dict(self.spent)

    def deduct_peer_spending(self, workspace, cost, now_ms):
        """Deduct a cost that another gateway has admitted; below 0 it was returned."""
        if cost and workspace in self.buckets:
            self.refill_bucket(workspace, now_ms)
            self.buckets[workspace].level -= cost
            self.others_spent[workspace] += cost

    # Requests.

    def acquire(self, workspace, cost, now_ms, tier=0):
        """Deduct a cost from a workspace's bucket; return 0, or the seconds to wait.

        `tier` is that of the request's route, the most urgent first. A cost above the
        bucket's capacity is admitted when the bucket is full. A
        workspace without a rate is not limited.
        """
        allotment = self.workspace_allotments.get(workspace, catalog.Allotment())
        if not allotment.rate:
            return 0.0
        rate = self.usable_rate(allotment)
        self.tiers.record(workspace, tier, now_ms)
        self.buckets[workspace].record_cost(cost)
        urgent_part = self.tiers.urgency(workspace, tier, now_ms)
        excess = max(
            self.excess_cost(workspace, allotment, cost, now_ms, urgent_part),
            self.excess_on_trial(workspace, allotment, now_ms),
        )
        if excess > 0:
            return min(MAX_RETRY_WAIT_S, excess / rate)
        bucket = self.buckets[workspace]
        bucket.level -= cost
        bucket.paced -= cost
        self.spent[workspace] = self.spent.get(workspace, 0.0) + cost
        return 0.0

    def refund(self, workspace, cost):
        """Return the cost of a request that no server has run to its bucket."""
        allotment = self.workspace_allotments.get(workspace, catalog.Allotment())
        if workspace not in self.buckets or not allotment.rate:
            return
        self.buckets[workspace].level += cost
        self.refunded[workspace] += cost
        self.spent[workspace] = self.spent.get(workspace, 0.0) - cost

    def fill_after_window(self, now_ms):
        """Fill the buckets that started empty, once what came before counts no more."""
        if self.full_from_ms is None or now_ms < self.full_from_ms:
            return
        self.full_from_ms = None
        for name, bucket in self.buckets.items():
            allotment = self.workspace_allotments.get(name, catalog.Allotment())
            capacity = self.bucket_capacity(allotment)
            bucket.level = min(capacity, bucket.level + capacity)

    def excess_cost(self, workspace, allotment, cost, now_ms, urgent_part):
        """Return by how much a cost exceeds what may be spent now; 0 if it does not.

        `urgent_part` is the fraction of the usual cost that need not be there before.
        """
        left = self.left(workspace, now_ms)
        needed = min(cost, self.bucket_capacity(allotment))
        bucket = self.buckets[workspace]
        paced_below = PACED_S * allotment.rate if self.peers else 0.0
        if left >= max(needed, paced_below):
            bucket.paced, bucket.paced_ms = 0.0, now_ms
            return 0.0
        if not self.peers:
            return needed - left
        gain = min(2.0, max(0.0, 1.0 + left / paced_below))
        share = gain * self.own_share(bucket, allotment)
        elapsed_s = max(0, now_ms - bucket.paced_ms) / MS_PER_SECOND
        bucket.paced += elapsed_s * share * self.usable_rate(allotment)
        prepaid = (1.0 - urgent_part) * bucket.usual_cost
        bucket.paced = min(bucket.paced, max(cost, prepaid))
        bucket.paced_ms = max(bucket.paced_ms, now_ms)
        if bucket.paced >= prepaid:
            return 0.0
        least_share = MIN_SHARE_FRACTION / (len(self.peers) + 1)
        return (prepaid - bucket.paced) / max(share, least_share)

    def own_share(self, bucket, allotment):
        """Return this gateway's share of a rate, by what it has spent lately."""
        count = len(self.peers) + 1
        least = MIN_SHARE_FRACTION * allotment.rate / MS_PER_SECOND / count
        own = max(bucket.own_rate, least)
        return own / (own + max(0.0, bucket.peer_rate))

    def excess_on_trial(self, workspace, allotment, now_ms):
        """Return what this gateway has spent beyond its share while it keeps to that.

        It does so from its start, or after a long pause, until it has learned levels.
        """
        if self.trial_since_ms is None or now_ms - self.trial_since_ms > START_MS:
            self.trial_since_ms = None
            return 0.0
        count = len(self.peers) + 1 if self.knows_peers else ASSUMED_GATEWAY_COUNT
        trial_s = (now_ms - self.trial_since_ms) / MS_PER_SECOND
        share = (allotment.burst + allotment.rate * trial_s) / count
        spent = self.spent.get(workspace, 0.0) - self.trial_spent.get(workspace, 0.0)
        return spent - TRIAL_SHARES * share

    def left(self, workspace, now_ms):
        """Return what may be spent now, as far as this gateway can know."""
        self.check_silence(now_ms)
        self.refill_bucket(workspace, now_ms)
        bucket = self.buckets[workspace]
        return bucket.level - bucket.unreported(now_ms)

    # Silent gateways.

    def check_silence(self, now_ms):
        """Look for other gateways that have sent no recent report."""
        if now_ms < self.next_silence_check_ms:
            return
        self.next_silence_check_ms = now_ms + SILENCE_CHECK_INTERVAL_MS
        for peer in self.peers.values():
            is_silent = now_ms - peer.last_report_ms > SILENT_AFTER_MS
            if is_silent and peer.silent_since_ms is None:
                self.begin_silence(peer, now_ms)

    def begin_silence(self, peer, now_ms):
        """Set aside what a silent gateway may spend."""
        self.add_rates(peer, -1)
        peer.rates = {}
        count = len(self.peers) + 1
        for name, allotment in self.workspace_allotments.items():
            if allotment.rate:
                self.refill_bucket(name, now_ms)
                share = self.bucket_capacity(allotment) / count
                peer.set_aside[name] = share
                self.buckets[name].level -= share
        peer.silent_since_ms = now_ms
        self.silent_count += 1

    def end_silence(self, peer, now_ms):
        """Return what was set aside for a gateway that tells its totals again."""
        if peer.silent_since_ms is None:
            return
        silent_ms = now_ms - peer.silent_since_ms
        count = len(self.peers) + 1
        for name, share in peer.set_aside.items():
            allotment = self.workspace_allotments.get(name)
            if allotment is not None:
                self.refill_bucket(name, now_ms)
                share += allotment.rate / count * silent_ms / MS_PER_SECOND
                self.buckets[name].level += share
        peer.silent_since_ms = None
        peer.set_aside = {}
        self.silent_count -= 1

    # Buckets.

    def usable_rate(self, allotment):
        """Return the part of a rate that is not reserved for silent gateways."""
        count = len(self.peers) + 1
        return allotment.rate * (count - self.silent_count) / count

    def refill_bucket(self, workspace, now_ms):
        """Refill a bucket for the time since its last refill."""
        self.fill_after_window(now_ms)
        bucket = self.buckets.get(workspace)
        allotment = self.workspace_allotments.get(workspace)
        if bucket is None or allotment is None:
            return
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / MS_PER_SECOND
        refilled = elapsed_s * self.usable_rate(allotment)
        bucket.refilled_ms = max(bucket.refilled_ms, now_ms)
        capacity = self.bucket_capacity(allotment)
        if bucket.level < capacity:
            bucket.level = min(capacity, bucket.level + refilled)

    def bucket_capacity(self, allotment):
        """Return the highest level of a bucket."""
        return allotment.burst + self.slack

    # Logs.

    def standing(self, workspace, now_ms):
        """Return the `Standing` of a workspace that has an allotment."""
        left = self.left(workspace, now_ms)
        allotment = self.workspace_allotments[workspace]
        reported_ms = [peer.last_report_ms for peer in self.peers.values()]
        return Standing(
            left,
            self.buckets[workspace].unreported(now_ms),
            self.bucket_capacity(allotment),
            self.usable_rate(allotment),
            self.spent.get(workspace, 0.0),
            self.refunded[workspace],
            self.others_spent[workspace],
            now_ms - min(reported_ms, default=now_ms),
            self.silent_count,
        )

    def pressed(self, now_ms):
        """Return the names of the workspaces that have spent half of their buckets."""
        return [
            name
            for name, allotment in self.workspace_allotments.items()
            if allotment.rate
            and self.left(name, now_ms) < self.bucket_capacity(allotment) / 2
        ]
