"""Allotments of workspaces, shared by all gateways without asking one another.

Each gateway counts what it lets in and hears from the others what they have let
in. All keep the same bucket: it fills at the workspace's rate up to the burst, and
everything that any gateway let in is taken from it. What was let in since the
others last spoke is covered by the bound's slack, of which the bucket may use a
part: a request within its allotment must not be refused for a count that is not
exact.

A gateway that is silent may be cut off and serving. It is taken to spend its even
share, and a gateway that hears nobody spends no more than its own even share, so
that the sum keeps to the rate however the gateways are cut apart.
"""

import dataclasses

from brasstrail.core import catalog

# Gateways speak once a second at least.
SILENT_AFTER_MS = 3000
MS_PER_SECOND = 1000
# The part of the bound's slack by which the bucket is deeper than the burst; the
# rest is for what gateways let in before they hear of one another.
BUCKET_SLACK_FRACTION = 0.5
# A refused caller is not sent away for longer than this.
MAX_RETRY_WAIT_S = 10.0


@dataclasses.dataclass
class Bucket:
    """What a workspace may still spend, over all gateways."""

    level: float
    refilled_ms: int


@dataclasses.dataclass
class Peer:
    """What another gateway has said of its spending."""

    incarnation: int
    last_report_ms: int
    spent: dict
    charged_ms: int


class Allotments:
    """The buckets of all workspaces, as this gateway sees them.

    Parameters
    ----------
    now_ms : the present time.
    slack : what may be let in beyond an allotment because counts are not exact.
    """

    def __init__(self, now_ms, slack=0.0):
        self.started_ms = now_ms
        self.slack = BUCKET_SLACK_FRACTION * slack
        self.buckets = {}
        self.spent = {}
        self.peers = {}
        self.workspace_allotments = {}

    def configure(self, workspaces, now_ms):
        """Take the workspaces of a catalog."""
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
        """Take the names of the other gateways that are alive."""
        for name in set(self.peers) - set(names):
            if now_ms - self.peers[name].last_report_ms > 2 * SILENT_AFTER_MS:
                del self.peers[name]
        for name in names:
            if name not in self.peers:
                self.peers[name] = Peer(0, now_ms, {}, now_ms)

    def record_peer_spending(self, name, incarnation, spent, now_ms):
        """Take what another gateway has spent since it started.

        Parameters
        ----------
        spent : the sums by workspace.
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
        """Take a cost from a workspace; return 0, or the seconds to wait.

        A cost above the whole burst is let in when the bucket is full.
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
        """Return the cost of a request that no server has run."""
        bucket = self.buckets.get(workspace)
        if bucket is None or not self.workspace_allotments[workspace].rate:
            return
        bucket.level += cost
        self.spent[workspace] = self.spent.get(workspace, 0.0) - cost

    def deduct_peer_spending(self, workspace, cost, now_ms):
        """Take what another gateway has let in."""
        if workspace in self.buckets and workspace in self.workspace_allotments:
            self.refill_bucket(workspace, now_ms)
            self.buckets[workspace].level -= cost

    def silent_peer_count(self, now_ms):
        """Return how many gateways have not spoken lately."""
        return sum(
            now_ms - peer.last_report_ms > SILENT_AFTER_MS
            for peer in self.peers.values()
        )

    def usable_rate(self, allotment, now_ms):
        """Return the part of a rate that is not kept for silent gateways."""
        count = len(self.peers) + 1
        return allotment.rate * (count - self.silent_peer_count(now_ms)) / count

    def refill_bucket(self, workspace, now_ms):
        """Let a bucket fill up to the present time."""
        bucket = self.buckets.get(workspace)
        allotment = self.workspace_allotments.get(workspace)
        if bucket is None or allotment is None:
            return
        elapsed_s = max(0, now_ms - bucket.refilled_ms) / MS_PER_SECOND
        refilled = elapsed_s * self.usable_rate(allotment, now_ms)
        bucket.refilled_ms = now_ms
        capacity = self.bucket_capacity(allotment)
        if bucket.level < capacity:
            bucket.level = min(capacity, bucket.level + refilled)

    def bucket_capacity(self, allotment):
        """Return how much a bucket holds."""
        return allotment.burst + self.slack
