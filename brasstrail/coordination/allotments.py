"""Rate limits of workspaces, shared by all gateways without synchronous calls.

Each gateway counts the cost that it admits and receives from the others what they have
admitted. All of them maintain the same token bucket: it refills at the workspace's rate
up to the burst, and every cost admitted by any gateway is deducted from it. The cost
admitted since the last reports of the others is covered by the slack of the bound. The
bucket may use a part of that slack, because a request within its allotment must not be
refused for a count that is not exact.

A gateway without recent reports may be partitioned and still admit requests. It is
assumed to spend an even share of the rate, and a gateway that receives no reports
spends no more than its own even share. The sum therefore keeps to the rate in any
network partition.
"""

import dataclasses

from brasstrail.core import catalog

# A gateway counts as silent after this time without a report; gateways send at least
# one every second.
SILENT_AFTER_MS = 3000
# How long a count of the silent gateways is used.
SILENT_COUNT_VALIDITY_MS = 100
MS_PER_SECOND = 1000
# Fraction of the bound's slack by which the bucket's capacity exceeds the burst; the
# rest covers what gateways admit before they receive each other's reports.
BUCKET_SLACK_FRACTION = 0.5
# Upper bound of the wait that a refused caller is given.
MAX_RETRY_WAIT_S = 10.0


@dataclasses.dataclass
class Bucket:
    """The cost that a workspace may still spend, over all gateways.

    `refilled_ms` is the time of the last refill.
    """

    level: float
    refilled_ms: int


@dataclasses.dataclass
class Peer:
    """The last report of another gateway's spending.

    `spent` is the total by workspace since that gateway started; `incarnation`
    identifies the start. `charged_ms` is the time at which the record was created.
    """

    incarnation: int
    last_report_ms: int
    spent: dict
    charged_ms: int


class Allotments:
    """The token buckets of all workspaces, as one gateway computes them.

    Parameters
    ----------
    now_ms : the current time.
    slack : the cost that may be admitted beyond an allotment because counts are not
        exact.

    Attributes
    ----------
    spent : the cost that this gateway has admitted since its start, by workspace.
    peers : the last report of each other gateway, by name.
    silent_count : how many other gateways were silent at `silent_counted_ms`.
    workspace_allotments : the `catalog.Allotment` of each workspace.
    """

    def __init__(self, now_ms, slack=0.0):
        self.started_ms = now_ms
        self.slack = BUCKET_SLACK_FRACTION * slack
        self.buckets = {}
        self.spent = {}
        self.peers = {}
        self.silent_count = 0
        self.silent_counted_ms = -SILENT_COUNT_VALIDITY_MS
        self.workspace_allotments = {}

    def configure(self, workspaces, now_ms):
        """Set the allotments from the workspaces of a catalog.

        New buckets start full. Levels above a lowered capacity are cut at once.
        """
        workspace_allotments = {each.workspace: each.allotment for each in workspaces}
        for name, allotment in workspace_allotments.items():
            self.refill_bucket(name, now_ms)
            bucket = self.buckets.get(name)
            if bucket is None:
                self.buckets[name] = Bucket(self.bucket_capacity(allotment), now_ms)
            else:
                bucket.level = min(bucket.level, self.bucket_capacity(allotment))
        self.workspace_allotments = workspace_allotments

    def set_peers(self, names, now_ms):
        """Set the names of the other gateways, as control hosts list them.

        A gateway that is no longer listed is kept until it has sent no report for
        twice `SILENT_AFTER_MS`.
        """
        for name in set(self.peers) - set(names):
            if now_ms - self.peers[name].last_report_ms > 2 * SILENT_AFTER_MS:
                del self.peers[name]
        for name in names:
            if name not in self.peers:
                self.peers[name] = Peer(0, now_ms, {}, now_ms)

    def record_peer_spending(self, name, incarnation, spent, now_ms):
        """Deduct what another gateway has spent since its last report.

        The first report of an incarnation only sets the base for later ones.

        Parameters
        ----------
        name : the other gateway.
        incarnation : identifies its start; its totals begin at 0 there.
        spent : its totals since that start, by workspace.
        """
        peer = self.peers.get(name)
        if peer is None or peer.incarnation != incarnation:
            self.peers[name] = Peer(incarnation, now_ms, dict(spent), now_ms)
            return
        for workspace, total in spent.items():
            fresh = total - peer.spent.get(workspace, 0.0)
            if fresh > 0:
                self.deduct_peer_spending(workspace, fresh, now_ms)
                peer.spent[workspace] = total
        peer.last_report_ms = now_ms

    def acquire(self, workspace, cost, now_ms):
        """Deduct a cost from a workspace's bucket; return 0, or the seconds to wait.

        A cost above the bucket's capacity is admitted when the bucket is full. A
        workspace without a rate is not limited.
        """
        allotment = self.workspace_allotments.get(workspace, catalog.Allotment())
        if not allotment.rate:
            return 0.0
        self.refill_bucket(workspace, now_ms)
        bucket = self.buckets[workspace]
        needed = min(cost, self.bucket_capacity(allotment))
        if bucket.level < needed:
            rate = self.usable_rate(allotment, now_ms)
            return min(MAX_RETRY_WAIT_S, (needed - bucket.level) / rate)
        bucket.level -= cost
        self.spent[workspace] = self.spent.get(workspace, 0.0) + cost
        return 0.0

    def refund(self, workspace, cost):
        """Return the cost of a request that no server has run to its bucket."""
        bucket = self.buckets.get(workspace)
        if bucket is None or not self.workspace_allotments[workspace].rate:
            return
        bucket.level += cost
        self.spent[workspace] = self.spent.get(workspace, 0.0) - cost

    def deduct_peer_spending(self, workspace, cost, now_ms):
        """Deduct a cost that another gateway has admitted."""
        if workspace in self.buckets and workspace in self.workspace_allotments:
            self.refill_bucket(workspace, now_ms)
            self.buckets[workspace].level -= cost

    def silent_peer_count(self, now_ms):
        """Return how many other gateways have sent no recent report."""
        if not 0 <= now_ms - self.silent_counted_ms < SILENT_COUNT_VALIDITY_MS:
            self.silent_counted_ms = now_ms
            self.silent_count = sum(
                now_ms - peer.last_report_ms > SILENT_AFTER_MS
                for peer in self.peers.values()
            )
        return min(self.silent_count, len(self.peers))

    def usable_rate(self, allotment, now_ms):
        """Return the part of a rate that is not reserved for silent gateways."""
        count = len(self.peers) + 1
        return allotment.rate * (count - self.silent_peer_count(now_ms)) / count

    def refill_bucket(self, workspace, now_ms):
        """Refill a bucket for the time since its last refill."""
        bucket = self.buckets.get(workspace)
        allotment = self.workspace_allotments.get(workspace)
        if bucket is None or allotment is None:
            return
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / MS_PER_SECOND
        refilled = elapsed_s * self.usable_rate(allotment, now_ms)
        bucket.refilled_ms = max(bucket.refilled_ms, now_ms)
        capacity = self.bucket_capacity(allotment)
        if bucket.level < capacity:
            bucket.level = min(capacity, bucket.level + refilled)

    def bucket_capacity(self, allotment):
        """Return the highest level of a bucket."""
        return allotment.burst + self.slack
