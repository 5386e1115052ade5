"""A control host's replica, from a blank disk to a voter.

`Replica` wraps the replicated log with what comes before and around it, again
without sockets, files or clocks:

- The first control hosts found the cluster when all of them are blank and have
  seen one another. A blank host never founds one alone.
- A host whose disk is blank joins an existing cluster as a new replica: first
  as a learner; once it holds the log durably, as a voter in place of the one
  that its host was before.
- A replica that starts again does not vote until the others have told it what
  it is known to have acknowledged. If its disk holds less, it gives up that
  identity (`discard`) and comes back as a new replica.
"""

import dataclasses
import enum
import hashlib

from brasstrail.coordination import log as replog
from brasstrail.coordination import raft
from brasstrail.protocol import messages, snapshots

PROBE_INTERVAL_MS = 200
CHECK_TIMEOUT_MS = 1500
# Longer than an election, so that no voter goes for a change of leader, and short
# enough that a replacement is complete within the users' bound of 4 s.
VOTER_FAILURE_TIMEOUT_MS = 2000


class Phase(enum.StrEnum):
    """How far a replica has come."""

    BLANK = "blank"
    CHECKING = "checking"
    MEMBER = "member"


@dataclasses.dataclass(frozen=True)
class StoredState:
    """What a data folder held: the identity and the journal's content."""

    identity: snapshots.Identity
    hard_state: snapshots.HardState
    snapshot: snapshots.SnapshotFile | None = None
    entries: tuple = ()


@dataclasses.dataclass(frozen=True)
class Work:
    """What is to be done, in this order.

    `identity` is made durable, then `ready` is carried out as `raft.Ready`
    says, then each pair of a host and a message in `probes` is sent.
    """

    identity: snapshots.Identity | None
    ready: raft.Ready | None
    probes: tuple


class Replica:
    """The replica of one control host.

    Parameters
    ----------
    hosts : the names of the cluster's first control hosts; empty where this
        replica may not found one.
    stored : `Stored`, what the data folder held.
    random : a `random.Random`.
    now_ms : the present time.

    Attributes
    ----------
    raft : the replicated log, or None as long as the replica is blank.
    discard : whether this identity must be given up.
    known : the names of other control hosts to show this replica to.
    wanted_voters : how many voters there are to be; 0 means as many as founders.
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
        self.must_discard = False
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
    def descriptor(self):
        """This replica, as the log names it."""
        return messages.Replica(self.identity.name, self.identity.disk)

    def others(self):
        """Return the hosts to probe, apart from this one."""
        hosts = set(self.initial_hosts) | set(self.known_hosts)
        if self.raft is not None:
            hosts |= {raft.host_of(identity) for identity in self.raft.members()}
        return sorted(hosts - {self.identity.name})

    def start_raft(self, stored, now_ms):
        """Begin to take part in the replicated log."""
        log = replog.Log(stored.snapshot, stored.entries, stored.identity.founders)
        self.raft = raft.Raft(
            raft.replica_id(self.descriptor),
            log,
            stored.hard_state,
            self.random,
            now_ms,
        )

    # Time and messages.

    def tick(self, now_ms):
        """Note the time and do what is due."""
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
        """Return whether the log does not name this replica yet."""
        return raft.replica_id(self.descriptor) not in self.raft.members()

    def send_probes(self, now_ms):
        """Show this replica to the others when that is due."""
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
        """Take a message from another control host."""
        if isinstance(message, messages.ReplicaProbe):
            self.receive_probe(host, message)
        elif isinstance(message, messages.ProbeReply):
            self.receive_probe_reply(message, now_ms)
        elif self.raft is not None:
            self.raft.receive(message, now_ms)
            self.notify_regressed_replica(message)

    def receive_probe(self, host, probe):
        """Tell another replica who this one is and what it knows of it."""
        foreign = probe.cluster_id not in ("", self.identity.cluster_id)
        if foreign and self.identity.cluster_id:
            return
        self.latest_replicas[probe.replica.name] = probe.replica
        acknowledged = self.acknowledged(raft.replica_id(probe.replica))
        self.probes.append((host, self.make_probe_reply(acknowledged)))

    def make_probe_reply(self, acknowledged):
        """Return the answer to a probe."""
        return messages.ProbeReply(
            self.descriptor,
            self.identity.cluster_id,
            self.phase is Phase.BLANK,
            acknowledged,
            self.identity.founders,
        )

    def acknowledged(self, identity):
        """Return the highest index that a replica is known to hold."""
        if self.raft is None:
            return 0
        seen = self.raft.acknowledged_indexes.get(identity, 0)
        progress = self.raft.progress.get(identity)
        return max(seen, progress.match if progress else 0)

    def notify_regressed_replica(self, message):
        """Tell a replica that holds less than it acknowledged."""
        if not isinstance(message, messages.AppendReply) or message.success:
            return
        acknowledged = self.acknowledged(message.sender)
        if self.raft.is_leader and message.match < acknowledged:
            host = raft.host_of(message.sender)
            self.probes.append((host, self.make_probe_reply(acknowledged)))

    def receive_probe_reply(self, reply, now_ms):
        """Note what another replica is, and what it knows of this one."""
        self.probe_replies[reply.replica.name] = reply
        if self.phase is Phase.BLANK:
            self.try_joining(reply, now_ms)
        elif reply.acknowledged > self.raft.log.last_index:
            self.must_discard = True

    # From blank to member.

    def try_bootstrap(self, now_ms):
        """Found the cluster once every first host is here and blank."""
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
        """Enter the cluster that another replica belongs to."""
        if reply.blank:
            return
        self.enter_cluster(reply.cluster_id, reply.founders, now_ms)

    def enter_cluster(self, cluster_id, founders, now_ms):
        """Take on a cluster's identity and begin with an empty log.

        A founder votes at once: its log was never anything but empty. Others
        have no vote until the log gives them one.
        """
        self.identity = dataclasses.replace(
            self.identity, cluster_id=cluster_id, founders=founders
        )
        self.identity_changed = True
        self.phase = Phase.MEMBER
        self.start_raft(StoredState(self.identity, snapshots.HardState(0, "")), now_ms)

    def finish_check(self, now_ms):
        """Vote again once it is known what this replica acknowledged."""
        voters = {raft.host_of(identity) for identity in self.raft.voters()}
        others = voters - {self.identity.name}
        answered = others & set(self.probe_replies)
        is_waiting = now_ms - self.started_ms < CHECK_TIMEOUT_MS
        if answered != others and (
            is_waiting or (len(answered) + 1) * 2 <= len(voters)
        ):
            return
        self.phase = Phase.MEMBER
        self.raft.may_vote = True
        self.raft.reset_election_timer(now_ms)

    # Replacing replicas.

    def propose_replica_change(self):
        """Propose the next step of a replacement, if there is one."""
        target_voters = self.wanted_voters or len(self.identity.founders)
        change = next_replica_change(self.raft, self.latest_replicas, target_voters)
        if change is not None:
            self.raft.change_replicas(*change)

    # What is to be done.

    def take_work(self):
        """Return the `Work` that is to be done now, or None."""
        identity = self.identity if self.identity_changed else None
        ready = self.raft.take_ready() if self.raft is not None else None
        probes = tuple(self.probes)
        self.identity_changed = False
        self.probes = []
        if identity is None and ready is None and not probes:
            return None
        return Work(identity, ready, probes)


def cluster_id_of(founders):
    """Return the identity of the cluster that these replicas found."""
    text = " ".join(raft.replica_id(replica) for replica in founders)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def next_replica_change(node, latest_replicas, target_voters):
    """Return the voters and learners to propose next, or None.

    Parameters
    ----------
    node : the leader's `raft.Raft`.
    newcomers : the replicas that showed themselves, by host.
    wanted : how many voters there are to be.

    A newcomer becomes a learner. A learner that holds all that is committed
    becomes a voter where its host has a vote, where voters are too few, or where
    one of them is silent. Of two voters of one host the earlier one then goes, and
    so does a silent voter where there are more than are wanted.
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
        host_has_voter = any(voter.name == learner.name for voter in voters)
        is_needed = host_has_voter or len(voters) < target_voters or silent
        if is_needed and is_caught_up(node, learner):
            return (*voters, learner), without(learners, learner)
    for new_replica in latest_replicas.values():
        if new_replica in voters or new_replica in learners:
            continue
        kept = tuple(item for item in learners if item.name != new_replica.name)
        return voters, (*kept, new_replica)
    return None


def silent_voters(node):
    """Return the voters that the leader has not heard lately, longest first."""
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
    """Return whether a learner answers and holds all that is committed."""
    progress = node.progress.get(raft.replica_id(learner))
    if progress is None or progress.match < node.commit:
        return False
    return node.now_ms - progress.last_reply_ms <= raft.ELECTION_TIMEOUT_MIN_MS


def is_superseded(voter, latest_replicas):
    """Return whether another replica than `voter` speaks for its host now."""
    return latest_replicas.get(voter.name) != voter


def without(items, item):
    """Return a tuple without one item."""
    return tuple(each for each in items if each != item)
