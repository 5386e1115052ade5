"""The life cycle of a control host's replica, from a blank disk to a voter.

`Replica` adds bootstrap, joining, recovery checks and replacement of replicas
to the replicated log. Like `raft.Raft`, it does no I/O and reads no clock.

- The initial control hosts bootstrap the cluster once all of them are blank and
  have received probe replies from one another. A blank host never bootstraps a
  cluster alone.
- A host with a blank disk joins an existing cluster as a new replica: first as
  a learner and, once it holds the log durably, as a voter in place of its
  host's earlier replica, or of one that is silent. They change places in one joint
  change: side by side, the lost one would count among those that a quorum needs.
- A restarted replica does not vote until the others have reported the highest
  index that it acknowledged. If its disk holds less, the replica gives up its
  identity (`must_discard`) and rejoins as a new replica.
"""

import dataclasses
import enum
import hashlib

from brasstrail.coordination import log as replog
from brasstrail.coordination import raft
from brasstrail.core import data
from brasstrail.protocol import messages, snapshots

PROBE_INTERVAL_MS = 200
# How long the recovery check waits for the replies of all other voters' hosts.
CHECK_TIMEOUT_MS = 1500
# Longer than an election, so that a change of leader does not remove a voter, and
# short enough to complete a replacement within the 4 s that users require.
VOTER_FAILURE_TIMEOUT_MS = 2000


class Phase(enum.StrEnum):
    """The stage of a replica's life cycle.

    A blank replica belongs to no cluster. A checking one has restarted and does
    not vote yet. A member takes full part in the replicated log.
    """

    BLANK = "blank"
    CHECKING = "checking"
    MEMBER = "member"


@dataclasses.dataclass(frozen=True)
class StoredState:
    """The content of a data folder: the identity and the journal."""

    identity: snapshots.Identity
    hard_state: snapshots.HardState
    snapshot: snapshots.SnapshotFile | None = None
    entries: tuple = ()


@dataclasses.dataclass(frozen=True)
class Work:
    """Work for the owner of the `Replica`, to be done in this order.

    First `identity` is made durable, then `ready` is carried out as described
    in `raft.Ready`, then the probe messages are sent. `probes` holds pairs of a
    host name and a message.
    """

    identity: snapshots.Identity | None
    ready: raft.Ready | None
    probes: tuple


@dataclasses.dataclass(frozen=True)
class Regression:
    """A report that this replica's disk lost entries that it had acknowledged.

    `reporter` is the replica that knows the acknowledged index, `last_index` what the
    log held when the report arrived.
    """

    reporter: str
    acknowledged: int
    last_index: int


class Replica:
    """The replica of one control host.

    Parameters
    ----------
    initial_hosts : the names of the hosts that bootstrap the cluster; empty if
        this replica may not bootstrap one.
    stored : `StoredState`, the content of the data folder.
    random : a `random.Random`.
    now_ms : the current time in milliseconds.

    Attributes
    ----------
    raft : the replicated log, or None while the replica is blank.
    regression : the `Regression` for which this identity must be given up, or None.
    known_hosts : the names of further control hosts to probe.
    wanted_voters : the target number of voters; 0 means as many as founders.
    latest_replicas : the replica that each host reported in its latest probe.
    probe_replies : the latest probe reply of each host.
    """

    def __init__(self, initial_hosts, stored, random, now_ms):
        self.initial_hosts = tuple(initial_hosts)
        self.known_hosts = ()
        self.wanted_voters = 0
        self.identity = stored.identity
        self.random = random
        self.started_ms = now_ms
        self.next_probe_ms = now_ms
        self.probes = []
        self.identity_changed = False
        self.regression = None
        self.probe_replies = {}
        self.latest_replicas = {}
        self.raft = None
        self.phase = Phase.BLANK
        if stored.identity.cluster_id:
            self.phase = Phase.CHECKING
            self.start_raft(stored, now_ms)
            self.raft.may_vote = False
            self.finish_check(now_ms)

    @property
    def must_discard(self):
        """Whether this identity must be given up."""
        return self.regression is not None

    @property
    def descriptor(self):
        """The record that identifies this replica in the log and in probes."""
        return messages.Replica(self.identity.name, self.identity.disk)

    def others(self):
        """Return the names of the other control hosts, which are to be probed."""
        hosts = set(self.initial_hosts) | set(self.known_hosts)
        if self.raft is not None:
            hosts |= {raft.host_of(identity) for identity in self.raft.members()}
        return sorted(hosts - {self.identity.name})

    def start_raft(self, stored, now_ms):
        """Create the Raft state from the stored state."""
        log = replog.Log(stored.snapshot, stored.entries, stored.identity.founders)
        self.raft = raft.Raft(
            raft.replica_id(self.descriptor),
            log,
            stored.hard_state,
            self.random,
            now_ms,
        )

    # Ticks and messages.

    def tick(self, now_ms):
        """Advance to the given time and run the steps that are due."""
        if self.raft is not None:
            self.raft.tick(now_ms)
        if self.phase is not Phase.MEMBER or self.is_outside_config():
            self.send_probes(now_ms)
        if self.phase is Phase.BLANK:
            self.try_bootstrap(now_ms)
        if self.phase is Phase.CHECKING:
            self.finish_check(now_ms)
        if self.raft is not None and self.raft.is_leader:
            self.propose_replica_change()

    def is_outside_config(self):
        """Return whether this replica is neither a voter nor a learner."""
        return raft.replica_id(self.descriptor) not in self.raft.members()

    def send_probes(self, now_ms):
        """Send a probe to every other host if the probe interval has passed."""
        if now_ms < self.next_probe_ms:
            return
        self.next_probe_ms = now_ms + PROBE_INTERVAL_MS
        blank = self.phase is Phase.BLANK
        message = messages.ReplicaProbe(
            self.descriptor, self.identity.cluster_id, blank
        )
        for host in self.others():
            self.probes.append((host, message))

    def receive(self, host, message, now_ms):
        """Process a message from another control host."""
        if isinstance(message, messages.ReplicaProbe):
            self.receive_probe(host, message)
        elif isinstance(message, messages.ProbeReply):
            self.receive_probe_reply(message, now_ms)
        elif self.raft is not None:
            self.raft.receive(message, now_ms)
            self.notify_regressed_replica(message)

    def receive_probe(self, host, probe):
        """Record the sender and reply with its highest acknowledged index.

        A replica that belongs to a cluster ignores probes from a different one.
        """
        foreign = probe.cluster_id not in ("", self.identity.cluster_id)
        if foreign and self.identity.cluster_id:
            return
        self.latest_replicas[probe.replica.name] = probe.replica
        reply = self.make_probe_reply(raft.replica_id(probe.replica))
        self.probes.append((host, reply))

    def make_probe_reply(self, identity):
        """Return a probe reply that reports what a replica has acknowledged."""
        acknowledged = self.acknowledged(identity)
        return messages.ProbeReply(
            self.descriptor,
            self.identity.cluster_id,
            self.phase is Phase.BLANK,
            acknowledged.index,
            self.identity.founders,
            acknowledged.term,
            identity,
        )

    def acknowledged(self, identity):
        """Return the `raft.Position` that a replica is known to have acknowledged."""
        if self.raft is None:
            return raft.Position()
        seen = self.raft.acknowledged.get(identity, raft.Position())
        progress = self.raft.progress.get(identity)
        if progress is None or progress.match < seen.index:
            return seen
        return self.raft.position_at(progress.match)

    def notify_regressed_replica(self, message):
        """Send the acknowledged index to a replica whose log ends before it."""
        if not isinstance(message, messages.AppendReply) or message.success:
            return
        acknowledged = self.acknowledged(message.sender)
        if self.raft.is_leader and message.match < acknowledged.index:
            reply = self.make_probe_reply(message.sender)
            self.probes.append((raft.host_of(message.sender), reply))

    def receive_probe_reply(self, reply, now_ms):
        """Join the sender's cluster if blank; else check the reported index.

        If this log ends before the reported index, the disk has lost entries
        that the replica acknowledged, and the identity must be given up. A log that
        ends with a later term has lost nothing: a later leader has replaced entries
        that were never committed.
        """
        self.probe_replies[reply.replica.name] = reply
        if self.phase is Phase.BLANK:
            self.try_joining(reply, now_ms)
        elif self.has_lost(reply):
            self.regression = Regression(
                raft.replica_id(reply.replica),
                reply.acknowledged,
                self.raft.log.last_index,
            )

    def has_lost(self, reply):
        """Return whether the log has lost what this replica acknowledged.

        The reply may be about an earlier replica of this host. An earlier build tells
        neither the replica nor the term.
        """
        if reply.subject not in ("", raft.replica_id(self.descriptor)):
            return False
        log = self.raft.log
        term = reply.acknowledged_term
        is_replaced = term and log.last_term > term
        return reply.acknowledged > log.last_index and not is_replaced

    # Bootstrap, joining and the recovery check.

    def try_bootstrap(self, now_ms):
        """Bootstrap the cluster once all initial hosts have replied as blank."""
        if self.identity.name not in self.initial_hosts:
            return
        others = [host for host in self.initial_hosts if host != self.identity.name]
        if any(host not in self.probe_replies for host in others):
            return
        if not all(self.probe_replies[host].blank for host in others):
            return
        replicas = [self.probe_replies[host].replica for host in others]
        founders = sorted([*replicas, self.descriptor], key=raft.replica_id)
        self.enter_cluster(cluster_id_of(founders), tuple(founders), now_ms)

    def try_joining(self, reply, now_ms):
        """Join the sender's cluster, unless the sender is blank too."""
        if reply.blank:
            return
        self.enter_cluster(reply.cluster_id, reply.founders, now_ms)

    def enter_cluster(self, cluster_id, founders, now_ms):
        """Adopt a cluster's identity and start with an empty log.

        A founder may vote at once, because its log has always been empty. Other
        replicas have no vote until the log makes them voters.
        """
        self.identity = dataclasses.replace(
            self.identity, cluster_id=cluster_id, founders=founders
        )
        self.identity_changed = True
        self.phase = Phase.MEMBER
        self.start_raft(StoredState(self.identity, snapshots.HardState(0, "")), now_ms)

    def finish_check(self, now_ms):
        """Allow votes once the others have reported the acknowledged index.

        All other voters' hosts must have replied. After `CHECK_TIMEOUT_MS`, a
        majority of the voters' hosts, including this one, is enough.
        """
        host_sets = [
            {raft.host_of(identity) for identity in voters}
            for voters in self.raft.voter_sets()
        ]
        known = {self.identity.name, *self.probe_replies}
        if now_ms - self.started_ms < CHECK_TIMEOUT_MS:
            is_complete = all(hosts <= known for hosts in host_sets)
        else:
            is_complete = all(
                len(hosts & known) * 2 > len(hosts) for hosts in host_sets
            )
        if not is_complete:
            return
        self.phase = Phase.MEMBER
        self.raft.may_vote = True
        self.raft.reset_election_timer(now_ms)

    # Replacing replicas.

    def propose_replica_change(self):
        """Propose the next change of voters or learners, if one is needed."""
        if self.raft.log.outgoing:
            self.raft.finish_joint_change()
            return
        target_voters = self.wanted_voters or len(self.identity.founders)
        change = next_replica_change(self.raft, self.latest_replicas, target_voters)
        if change is None:
            return
        voters, learners = change
        if len(set(voters) ^ set(self.raft.log.voters)) > 1:
            self.raft.change_replicas_jointly(voters, learners)
        else:
            self.raft.change_replicas(voters, learners)

    # Work for the owner.

    def take_work(self):
        """Return the pending `Work`, or None if there is none."""
        identity = self.identity if self.identity_changed else None
        ready = self.raft.take_ready() if self.raft is not None else None
        probes = tuple(self.probes)
        self.identity_changed = False
        self.probes = []
        if identity is None and ready is None and not probes:
            return None
        return Work(identity, ready, probes)


def cluster_id_of(founders):
    """Return the cluster id, a hash of the identities of the founders."""
    text = " ".join(raft.replica_id(replica) for replica in founders)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def next_replica_change(node, latest_replicas, target_voters):
    """Return the voters and learners to propose next, or None for no change.

    Parameters
    ----------
    node : the leader's `raft.Raft`.
    latest_replicas : the replica that each host reported in its latest probe.
    target_voters : the target number of voters.

    A new replica becomes a learner. A learner that holds all committed entries
    becomes a voter in place of its host's earlier replica, or in place of a silent
    voter, or in addition if there are too few voters. A silent voter is removed while
    there are more voters than targeted, and so is the earlier of two on one host.
    """
    voters, learners = node.log.voters, node.log.learners
    for voter in voters:
        host_voters = [item for item in voters if item.name == voter.name]
        if (
            len(host_voters) > 1
            and host_voters[-1] != voter
            and is_superseded(voter, latest_replicas)
        ):
            return without(voters, voter), learners
    silent = silent_voters(node)
    if silent and len(voters) > target_voters:
        return without(voters, silent[0]), learners
    for learner in learners:
        if not is_caught_up(node, learner):
            continue
        replaced = data.find_by_name(voters, learner.name)
        if replaced is None and len(voters) >= target_voters:
            replaced = silent[0] if silent else None
            if replaced is None:
                continue
        return (*without(voters, replaced), learner), without(learners, learner)
    for new_replica in latest_replicas.values():
        if new_replica in voters or new_replica in learners:
            continue
        kept = tuple(item for item in learners if item.name != new_replica.name)
        return voters, (*kept, new_replica)
    return None


def silent_voters(node):
    """Return the voters without a recent reply to the leader, longest first.

    A voter is silent after `VOTER_FAILURE_TIMEOUT_MS` without a reply.
    """
    silent = []
    for voter in node.log.voters:
        progress = node.progress.get(raft.replica_id(voter))
        if progress is None:
            continue
        silence_ms = node.now_ms - progress.last_reply_ms
        if silence_ms > VOTER_FAILURE_TIMEOUT_MS:
            silent.append((silence_ms, voter))
    silent.sort(key=lambda pair: -pair[0])
    return [voter for _, voter in silent]


def is_caught_up(node, learner):
    """Return whether a learner replied recently and holds all committed entries."""
    progress = node.progress.get(raft.replica_id(learner))
    if progress is None or progress.match < node.commit:
        return False
    return node.now_ms - progress.last_reply_ms <= raft.ELECTION_TIMEOUT_MIN_MS


def is_superseded(voter, latest_replicas):
    """Return whether `voter` is not the latest replica that its host reported."""
    return latest_replicas.get(voter.name) != voter


def without(items, item):
    """Return a tuple of the items that differ from `item`."""
    return tuple(each for each in items if each != item)
