"""The replicated log: a Raft state machine that does no I/O and reads no clock.

Its owner passes the current time, received messages and proposals to `Raft`.
`take_ready` returns the resulting work: the entries and the election state to
make durable, the messages to send after that, and the committed entries. The
daemon performs this work with a disk and sockets; the fuzz tests simulate both.

The algorithm is Raft as published by Ongaro and Ousterhout, with these
extensions: a pre-vote before each election, in which one of two candidates gives
way, so that they do not defeat each other; a leader that steps down when it
loses contact with its quorum, reads confirmed by a heartbeat round, learners
(replicas without a vote), membership changes of one voter at a time, and joint
changes that replace a voter by another one. A replica is identified by its host and
its disk, so a host that lost its disk rejoins as a different replica.
"""

import dataclasses
import enum

from brasstrail.core import errors
from brasstrail.protocol import messages, snapshots

HEARTBEAT_INTERVAL_MS = 100
# A replica ignores vote requests for the shortest election timeout after contact with
# a leader. A leader without a quorum for the longest one steps down.
ELECTION_TIMEOUT_MIN_MS = 600
ELECTION_TIMEOUT_MAX_MS = 1100
# During its first STARTUP_PERIOD_MS, a replica without contact to a leader or candidate
# starts a pre-vote sooner, because all replicas may have started at the same time.
STARTUP_PERIOD_MS = 2500
STARTUP_TIMEOUT_MIN_MS = 100
STARTUP_TIMEOUT_MAX_MS = 300
MAX_ENTRIES_PER_APPEND = 256
# Bytes of commands that are under way to a replica. They delay the heartbeats behind
# them; a link of 15 Mbit/s transmits them in 140 ms. A single entry may be larger.
MAX_UNDERWAY_BYTES = 256 * 1024
# Weight of the term in a stamp, so that each stamp of a later term is higher.
STAMP_TERM_FACTOR = 1 << 32


class Role(enum.StrEnum):
    """The Raft role of a replica; a pre-candidate runs a pre-vote."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


def replica_id(replica):
    """Return the identity string of a replica, "host/disk"."""
    return f"{replica.name}/{replica.disk}"


def host_of(identity):
    """Return the host name from a replica's identity."""
    return identity.rsplit("/", 1)[0]


@dataclasses.dataclass
class Progress:
    """The leader's replication state for another replica.

    `match` is the highest index that the replica has acknowledged, `next_index`
    the next one to send, and `round_id` the latest heartbeat round that it has
    answered. `last_reply_ms` and `last_sent_ms` are times in milliseconds.
    """

    match: int = 0
    next_index: int = 1
    round_id: int = 0
    last_reply_ms: int = 0
    last_sent_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Position:
    """An index of the log and the term of the entry there.

    Where that entry is committed, the term may be a later one.
    """

    index: int = 0
    term: int = 0


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message and the identity of the replica to send it to."""

    to: str
    message: object


@dataclasses.dataclass(frozen=True)
class Ready:
    """Work for the owner of the `Raft`, to be done in this order.

    First `snapshot`, `entries` and `hard_state` are made durable together; an
    entry replaces the stored entries of the same and later indexes. Then the
    messages in `outbox` are sent and the entries in `committed` are applied. A
    snapshot is restored before entries are applied.
    """

    hard_state: snapshots.HardState | None
    snapshot: snapshots.SnapshotFile | None
    entries: tuple
    outbox: tuple
    committed: tuple


EMPTY_READY = Ready(None, None, (), (), ())


class Raft:
    """The Raft state of one replica.

    Parameters
    ----------
    identity : the replica's identity, "host/disk".
    log : `log.Log`, as read from disk.
    hard_state : `snapshots.HardState`, as read from disk.
    random : a `random.Random`, from which election timeouts are drawn.
    now_ms : the current time in milliseconds.

    Attributes
    ----------
    commit : the highest index known to be committed.
    delivered_index : the highest committed index returned by `take_ready` or
        covered by a snapshot.
    durable_index : the highest index that is known to be on this replica's disk.
    confirmed_round : the latest heartbeat round that a quorum has answered.
    stamp : the highest stamp seen. A leader's stamp consists of its term and its
        confirmed round, so it rises only while a quorum answers the leader.
    acknowledged : the `Position` of the highest index that each replica has
        acknowledged, by identity, as received from leaders.
    has_contact : whether a leader, or a candidate that may win, has been heard of.
    may_vote : false until it is certain that the disk holds all entries that
        this replica has acknowledged.
    """

    def __init__(self, identity, log, hard_state, random, now_ms):
        self.identity = identity
        self.log = log
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.saved_hard_state = hard_state
        self.random = random
        self.now_ms = now_ms
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact_ms = None
        self.has_contact = False
        self.commit = log.snapshot_index
        self.delivered_index = log.snapshot_index
        self.votes = set()
        self.progress = {}
        self.round_id = 0
        self.confirmed_round = 0
        self.next_heartbeat_ms = now_ms
        self.stamp = 0
        self.may_vote = True
        self.acknowledged = {}
        self.outbox = []
        self.durable_index = log.last_index
        self.pending_snapshot = None
        self.started_ms = now_ms
        self.election_due_ms = 0
        self.reset_election_timer(now_ms)

    # Membership.

    def voter_sets(self):
        """Return the sets of identities of which a quorum has a majority each.

        There are two during a joint change: the voters after and before it.
        """
        sets = [self.log.voters, self.log.outgoing]
        return [
            {replica_id(replica) for replica in voters} for voters in sets if voters
        ]

    def voters(self):
        """Return the identities of all voters, also of the outgoing ones."""
        return set().union(*self.voter_sets())

    def members(self):
        """Return the identities of all voters and learners."""
        learners = {replica_id(replica) for replica in self.log.learners}
        return self.voters() | learners

    def is_quorum(self, identities):
        """Return whether the identities include a majority of the voters."""
        identities = set(identities)
        sets = self.voter_sets()
        return bool(sets) and all(
            len(voters & identities) * 2 > len(voters) for voters in sets
        )

    def quorum_value(self, own_value, attribute):
        """Return the highest value that a quorum has reached, or 0.

        Parameters
        ----------
        own_value : the value of this replica.
        attribute : the name of the value in the `Progress` of the others.
        """
        reached = []
        for voters in self.voter_sets():
            values = sorted(
                own_value
                if identity == self.identity
                else getattr(self.progress_of(identity), attribute)
                for identity in voters
            )
            reached.append(values[(len(values) - 1) // 2])
        return min(reached, default=0)

    @property
    def is_leader(self):
        """Whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    # Time.

    def reset_election_timer(self, now_ms):
        """Restart the election timer with a random timeout."""
        shortest_ms, longest_ms = ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
        if (
            not self.has_contact
            and self.role is not Role.CANDIDATE
            and now_ms - self.started_ms < STARTUP_PERIOD_MS
        ):
            shortest_ms, longest_ms = STARTUP_TIMEOUT_MIN_MS, STARTUP_TIMEOUT_MAX_MS
        self.election_due_ms = now_ms + self.random.randint(shortest_ms, longest_ms)

    def tick(self, now_ms):
        """Set the current time and start a pre-vote or heartbeats that are due."""
        self.now_ms = now_ms
        if self.is_leader:
            self.tick_leader(now_ms)
        elif now_ms >= self.election_due_ms:
            self.start_pre_vote(now_ms)

    def tick_leader(self, now_ms):
        """Send due heartbeats, or step down if no quorum has answered recently."""
        responsive = {
            identity
            for identity, progress in self.progress.items()
            if now_ms - progress.last_reply_ms <= ELECTION_TIMEOUT_MAX_MS
        }
        if not self.is_quorum(responsive | {self.identity}):
            self.become_follower(self.term, "", now_ms)
            return
        if now_ms >= self.next_heartbeat_ms:
            self.start_heartbeat_round(now_ms)

    def start_heartbeat_round(self, now_ms):
        """Start a new heartbeat round to all other replicas.

        Where nothing was sent to a replica for two heartbeat intervals, sending
        resumes after the last index that the replica acknowledged.
        """
        self.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
        self.round_id += 1
        self.update_confirmed_round()
        for identity in sorted(self.members() - {self.identity}):
            progress = self.progress_of(identity)
            if now_ms - progress.last_sent_ms >= 2 * HEARTBEAT_INTERVAL_MS:
                progress.next_index = progress.match + 1
            self.send_append(identity)

    # Elections.

    def start_pre_vote(self, now_ms):
        """Start a pre-vote: check, without raising the term, if a quorum would vote."""
        self.reset_election_timer(now_ms)
        if self.identity not in self.voters() or not self.may_vote:
            return
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self.votes = {self.identity}
        self.request_votes(self.term + 1, trial=True)
        self.count_votes(now_ms)

    def start_election(self, now_ms):
        """Become a candidate for the next term."""
        self.role = Role.CANDIDATE
        self.reset_election_timer(now_ms)
        self.term += 1
        self.vote = self.identity
        self.leader = ""
        self.votes = {self.identity}
        self.request_votes(self.term, trial=False)
        self.count_votes(now_ms)

    def request_votes(self, term, trial):
        """Send a vote request to every other voter; `trial` marks a pre-vote."""
        request = messages.VoteAsk(
            self.identity, term, self.log.last_index, self.log.last_term, trial
        )
        for identity in sorted(self.voters() - {self.identity}):
            self.outbox.append(Envelope(identity, request))

    def count_votes(self, now_ms):
        """Proceed to the election, or to leader, once a quorum has granted votes."""
        if not self.is_quorum(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election(now_ms)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now_ms)

    def become_leader(self, now_ms):
        """Become leader and append an empty entry.

        Entries of earlier terms count as committed only once an entry of this
        term is committed.
        """
        self.role = Role.LEADER
        self.leader = self.identity
        self.progress = {}
        for identity in self.members() - {self.identity}:
            self.progress_of(identity).last_reply_ms = now_ms
        self.round_id = 0
        self.confirmed_round = 0
        self.append(b"")
        self.start_heartbeat_round(now_ms)

    def become_follower(self, term, leader, now_ms):
        """Become a follower of `leader`, which is empty where it is not known."""
        if term > self.term:
            self.term = term
            self.vote = ""
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = set()
        self.reset_election_timer(now_ms)

    def has_leader_contact(self, now_ms):
        """Return whether a leader was in contact within the shortest timeout."""
        if self.is_leader:
            return True
        last_contact_ms = self.last_leader_contact_ms
        return (
            last_contact_ms is not None
            and now_ms - last_contact_ms < ELECTION_TIMEOUT_MIN_MS
        )

    # Messages.

    def receive(self, message, now_ms):
        """Process a message from another replica."""
        self.now_ms = now_ms
        handler = HANDLERS[type(message)]
        handler(self, message, now_ms)

    def receive_vote_request(self, request, now_ms):
        """Answer a vote request.

        The request is ignored while a leader is in contact. The vote is denied
        if the request's term is old, if this replica has voted for another one in
        that term or may not vote, or if the sender's log is not up to date. Of two
        replicas in a pre-vote, the one that the other outranks gives way.
        """
        if self.has_leader_contact(now_ms):
            return
        if not request.trial and request.term > self.term:
            self.become_follower(request.term, "", now_ms)
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.trial:
            granted = request.term > self.term and not self.keeps_candidacy(request)
        else:
            granted = request.term == self.term and self.vote in ("", request.sender)
        granted = granted and up_to_date and self.may_vote
        if granted:
            self.give_way(request, now_ms)
        term = request.term if granted else self.term
        reply = messages.VoteReply(self.identity, term, granted, request.trial)
        self.outbox.append(Envelope(request.sender, reply))

    def keeps_candidacy(self, request):
        """Return whether this replica is a candidate that outranks the sender."""
        own_rank = (self.log.last_term, self.log.last_index, self.identity)
        rank = (request.last_term, request.last_index, request.sender)
        is_candidate = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
        return is_candidate and own_rank > rank

    def give_way(self, request, now_ms):
        """Leave the sender of a vote request the time for its election."""
        if request.trial:
            self.role = Role.FOLLOWER
        else:
            self.vote = request.sender
        self.votes = set()
        self.has_contact = True
        self.reset_election_timer(now_ms)

    def receive_vote_reply(self, reply, now_ms):
        """Count a vote for the current pre-vote or election."""
        if reply.term > self.term and not reply.granted:
            self.become_follower(reply.term, "", now_ms)
            return
        expected_role = Role.PRE_CANDIDATE if reply.trial else Role.CANDIDATE
        term = self.term + 1 if reply.trial else self.term
        if self.role is expected_role and reply.granted and reply.term == term:
            self.votes.add(reply.sender)
            self.count_votes(now_ms)

    def accept_leader(self, message, now_ms):
        """Follow the sender, or reject it and return false if its term is old."""
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return False
        self.become_follower(message.term, message.sender, now_ms)
        self.last_leader_contact_ms = now_ms
        self.has_contact = True
        return True

    def receive_append(self, message, now_ms):
        """Store the leader's entries if the log holds the entry before them."""
        if not self.accept_leader(message, now_ms):
            return
        self.record_acknowledged(message)
        self.stamp = max(self.stamp, message.stamp)
        if not self.log.matches(message.previous_index, message.previous_term):
            hint = min(self.log.last_index, message.previous_index - 1)
            self.reply_append(message, False, hint)
            return
        for entry in message.entries:
            self.accept_entry(entry)
        match = message.previous_index + len(message.entries)
        match = max(match, self.log.snapshot_index)
        self.commit = max(self.commit, min(message.commit, match))
        self.reply_append(message, True, match)

    def record_acknowledged(self, message):
        """Keep what the leader knows to be acknowledged, unless more is known."""
        for identity, position in decode_matches(message).items():
            known = self.acknowledged.get(identity, Position())
            if position.index >= known.index:
                self.acknowledged[identity] = position

    def accept_entry(self, entry):
        """Append one of the leader's entries, replacing conflicting ones.

        Raises `errors.Internal` if a committed entry would be replaced.
        """
        if entry.index <= self.log.snapshot_index:
            return
        if self.log.term_at(entry.index) == entry.term:
            return
        if entry.index <= self.commit:
            raise errors.Internal(
                f"The leader tried to replace committed log entry {entry.index}.",
                "Stop this replica and report the fault with the logs.",
            )
        self.log.truncate(entry.index)
        self.durable_index = min(self.durable_index, entry.index - 1)
        self.log.append(entry)

    def reply_append(self, message, success, match):
        """Queue a reply, which is sent once the accepted entries are durable."""
        reply = messages.AppendReply(
            self.identity, self.term, success, match, message.round_id
        )
        self.outbox.append(Envelope(message.sender, reply))

    def receive_append_reply(self, reply, now_ms):
        """Update the replication state of the sender and send what it lacks."""
        if reply.term > self.term:
            self.become_follower(reply.term, "", now_ms)
            return
        if not self.is_leader or reply.term != self.term:
            return
        if reply.sender not in self.members():
            return
        progress = self.progress_of(reply.sender)
        progress.last_reply_ms = now_ms
        progress.round_id = max(progress.round_id, reply.round_id)
        self.update_confirmed_round()
        if not reply.success:
            progress.next_index = max(reply.match + 1, progress.match + 1, 1)
            self.send_append(reply.sender)
            return
        progress.match = max(progress.match, reply.match)
        progress.next_index = max(progress.next_index, progress.match + 1)
        self.advance_commit()
        if self.has_entries_for(progress):
            self.send_append(reply.sender)

    def receive_snapshot(self, message, now_ms):
        """Replace the log with the leader's snapshot if it is ahead of `commit`."""
        if not self.accept_leader(message, now_ms):
            return
        if message.index > self.commit:
            self.log.restore(message)
            self.commit = message.index
            self.delivered_index = message.index
            self.durable_index = message.index
            self.pending_snapshot = snapshots.SnapshotFile(
                message.index,
                message.index_term,
                message.voters,
                message.learners,
                message.state,
                message.outgoing,
            )
        self.reply_append(message, True, message.index)

    # Leader.

    def progress_of(self, identity):
        """Return the `Progress` of a replica, created on first use."""
        if identity not in self.progress:
            fresh = Progress(
                next_index=self.log.last_index + 1, last_reply_ms=self.now_ms
            )
            self.progress[identity] = fresh
        return self.progress[identity]

    def send_append(self, identity):
        """Send a replica the next entries, an empty heartbeat or a snapshot.

        The snapshot is sent where the log no longer holds the entry before the
        next ones.
        """
        progress = self.progress_of(identity)
        progress.last_sent_ms = self.now_ms
        previous_index = progress.next_index - 1
        if previous_index < self.log.snapshot_index:
            self.send_snapshot(identity, progress)
            return
        entries = self.next_entries(progress)
        message = messages.Append(
            self.identity,
            self.term,
            previous_index,
            self.log.term_at(previous_index),
            entries,
            self.commit,
            self.round_id,
            self.stamp,
            *self.encode_matches(),
        )
        progress.next_index += len(entries)
        self.outbox.append(Envelope(identity, message))

    def has_entries_for(self, progress):
        """Return whether a replica lacks entries that may be sent to it now."""
        if progress.next_index > self.log.last_index:
            return False
        needs_snapshot = progress.next_index <= self.log.snapshot_index
        return needs_snapshot or bool(self.next_entries(progress))

    def next_entries(self, progress):
        """Return the entries that may be sent now to the replica of a `Progress`.

        They are few enough that at most `MAX_UNDERWAY_BYTES` are under way, or one
        entry if nothing else is.
        """
        first_index = max(progress.match, self.log.snapshot_index) + 1
        underway = self.log.slice(first_index, progress.next_index - first_index)
        underway_bytes = sum(len(entry.command) for entry in underway)
        entries = []
        for entry in self.log.slice(progress.next_index, MAX_ENTRIES_PER_APPEND):
            is_first = not (underway or entries)
            underway_bytes += len(entry.command)
            if underway_bytes > MAX_UNDERWAY_BYTES and not is_first:
                break
            entries.append(entry)
        return tuple(entries)

    def send_snapshot(self, identity, progress):
        """Send a replica the current snapshot."""
        message = messages.InstallSnapshot(
            self.identity,
            self.term,
            self.log.snapshot_index,
            self.log.snapshot_term,
            self.log.snapshot_voters,
            self.log.snapshot_learners,
            self.log.snapshot_state,
            self.round_id,
            self.log.snapshot_outgoing,
        )
        progress.next_index = self.log.snapshot_index + 1
        self.outbox.append(Envelope(identity, message))

    def encode_matches(self):
        """Return "identity=index" for each acknowledged index, and their terms.

        Every append carries these, so that other replicas keep them as well.
        """
        pairs = sorted(self.progress.items())
        matches = tuple(f"{identity}={item.match}" for identity, item in pairs)
        return matches, tuple(self.position_at(item.match).term for _, item in pairs)

    def position_at(self, index):
        """Return the `Position` of an index that another replica has acknowledged.

        A committed entry is never replaced, so that it counts with the current term.
        """
        term = self.term if index <= self.commit else self.log.term_at(index)
        return Position(index, term or self.term)

    def update_confirmed_round(self):
        """Update the latest heartbeat round that a quorum has answered.

        The stamp follows once an entry of this term is committed.
        """
        confirmed = self.quorum_value(self.round_id, "round_id")
        self.confirmed_round = max(self.confirmed_round, confirmed)
        if self.log.term_at(self.commit) == self.term:
            stamp = self.term * STAMP_TERM_FACTOR + self.confirmed_round
            self.stamp = max(self.stamp, stamp)

    def advance_commit(self):
        """Commit the highest index that a quorum holds durably.

        Only an entry of the current term is committed this way, as Raft requires.
        """
        index = self.quorum_value(self.durable_index, "match")
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            self.update_confirmed_round()
            self.step_down_if_removed()

    def step_down_if_removed(self):
        """Step down once a change that removes this replica is committed."""
        is_config_committed = self.log.config_index <= self.commit
        if is_config_committed and self.identity not in self.voters():
            self.become_follower(self.term, "", self.now_ms)

    def append(self, command, voters=(), learners=(), outgoing=()):
        """Append an entry to the leader's log and return its index."""
        index = self.log.last_index + 1
        sets = tuple(voters), tuple(learners), tuple(outgoing)
        self.log.append(messages.Entry(index, self.term, command, *sets))
        return index

    def propose(self, command):
        """Append a command to the log and return its index, or None.

        None means that this replica is not the leader. The command is committed
        only if the entry at that index is committed with the current term.
        """
        if not self.is_leader:
            return None
        return self.append(command)

    def change_replicas(self, voters, learners):
        """Propose a new set of voters and learners; return the index, or None.

        None means that this replica is not the leader, that an earlier change is
        not committed, that no entry of the current term is committed yet, that
        `voters` is empty, or that more than one voter would change at once.
        """
        old = self.voters()
        new = {replica_id(replica) for replica in voters}
        if len(old ^ new) > 1 or not new or self.log.outgoing:
            return None
        if not self.may_change_replicas():
            return None
        return self.append(b"", voters, learners)

    def change_replicas_jointly(self, voters, learners):
        """Propose a joint change to any new set of voters; return the index, or None.

        Until `finish_joint_change`, decisions take a majority of the voters before the
        change and one of those after it. A voter is thus replaced without a state in
        which the one that is lost and the new one count side by side. None is returned
        under the conditions of `change_replicas`, whatever the number of voters.
        """
        if not voters or self.log.outgoing or not self.may_change_replicas():
            return None
        return self.append(b"", voters, learners, self.log.voters)

    def finish_joint_change(self):
        """Propose that only the new voters decide; return the index, or None.

        None means that no joint change is in progress, or that it is not committed.
        """
        if not self.log.outgoing or not self.may_change_replicas():
            return None
        return self.append(b"", self.log.voters, self.log.learners)

    def may_change_replicas(self):
        """Return whether this leader may propose the next change of the replicas.

        The change before it and an entry of the current term must be committed.
        """
        return (
            self.is_leader
            and self.log.config_index <= self.commit
            and self.log.term_at(self.commit) == self.term
        )

    def flush_appends(self):
        """Send new entries to each replica that was not sent all of them yet."""
        for identity in sorted(self.members() - {self.identity}):
            progress = self.progress_of(identity)
            if self.has_entries_for(progress):
                self.send_append(identity)

    def start_read_round(self):
        """Start a heartbeat round for a read and return its number.

        The read is confirmed once `confirmed_round` reaches that number.
        """
        self.start_heartbeat_round(self.now_ms)
        return self.round_id

    # Work for the owner.

    def take_ready(self):
        """Return the pending work as a `Ready`, or None if there is none."""
        if self.is_leader:
            self.flush_appends()
        hard_state = snapshots.HardState(self.term, self.vote)
        changed_state = hard_state if hard_state != self.saved_hard_state else None
        entries = self.log.slice(self.durable_index + 1, None)
        committed = self.log.slice(
            self.delivered_index + 1, self.commit - self.delivered_index
        )
        ready = Ready(
            changed_state,
            self.pending_snapshot,
            entries,
            tuple(self.outbox),
            committed,
        )
        if ready == EMPTY_READY:
            return None
        self.saved_hard_state = hard_state
        self.pending_snapshot = None
        self.outbox = []
        self.delivered_index = max(self.delivered_index, self.commit)
        return ready

    def mark_persisted(self, ready):
        """Record that the durable part of `ready` has been written to disk."""
        if ready.entries:
            last = ready.entries[-1]
            if self.log.term_at(last.index) == last.term:
                self.durable_index = max(self.durable_index, last.index)
        if self.is_leader:
            self.advance_commit()

    def compact(self, index, state):
        """Drop entries up to `index`; `state`, their result, is already on disk."""
        self.log.compact(index, state)


def decode_matches(message):
    """Return the `Position` that each replica has acknowledged, by identity.

    A leader of an earlier build does not tell their terms.
    """
    terms = message.match_terms or (message.term,) * len(message.matches)
    positions = {}
    for pair, term in zip(message.matches, terms, strict=True):
        identity, _, index = pair.rpartition("=")
        positions[identity] = Position(int(index), term)
    return positions


HANDLERS = {
    messages.VoteAsk: Raft.receive_vote_request,
    messages.VoteReply: Raft.receive_vote_reply,
    messages.Append: Raft.receive_append,
    messages.AppendReply: Raft.receive_append_reply,
    messages.InstallSnapshot: Raft.receive_snapshot,
}
