"""The replicated log: a Raft state machine without sockets, files or clocks.

`Raft` is told of the time, of messages and of proposals. What it wants done
comes from `take_ready`: the records and the election state to be made durable,
the messages to be sent once they are, and the entries that are committed. The
daemon drives it with a disk and sockets; the fuzzer drives it with neither.

The algorithm is Raft as published by Ongaro and Ousterhout, with the trial
vote before an election, a leader that steps down when its quorum is silent,
reads confirmed by a round of heartbeats, learners, and changes of one voter at
a time. A replica is named by its host and by the identity of its disk, so that
a host whose disk was lost comes back as another replica.
"""

import dataclasses
import enum

from brasstrail.core import errors
from brasstrail.protocol import messages, snapshots

HEARTBEAT_INTERVAL_MS = 100
ELECTION_TIMEOUT_MIN_MS = 600
ELECTION_TIMEOUT_MAX_MS = 1100
# A replica that has just started and hears no leader asks for one sooner: all may
# have started together. Longer than a round trip between regions with its syncs.
STARTUP_PERIOD_MS = 2500
STARTUP_TIMEOUT_MIN_MS = 100
STARTUP_TIMEOUT_MAX_MS = 300
MAX_ENTRIES_PER_APPEND = 256
STAMP_TERM_FACTOR = 1 << 32


class Role(enum.StrEnum):
    """The roles of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


def replica_id(replica):
    """Return the one word that names a replica."""
    return f"{replica.name}/{replica.disk}"


def host_of(identity):
    """Return the host's name in a replica's identity."""
    return identity.rsplit("/", 1)[0]


@dataclasses.dataclass
class Progress:
    """What the leader knows of another replica."""

    match: int = 0
    next_index: int = 1
    round_id: int = 0
    last_reply_ms: int = 0
    last_sent_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Envelope:
    """A message and the identity of the replica that it is for."""

    to: str
    message: object


@dataclasses.dataclass(frozen=True)
class Ready:
    """What is to be done, in this order.

    `snapshot`, `entries` and `hard_state` are made durable together; entries
    replace those of the same and later indexes. Then `outbox` is sent and
    `committed` is applied. A snapshot is restored before entries are applied.
    """

    hard_state: snapshots.HardState | None
    snapshot: snapshots.SnapshotFile | None
    entries: tuple
    outbox: tuple
    committed: tuple


EMPTY_READY = Ready(None, None, (), (), ())


class Raft:
    """One replica.

    Parameters
    ----------
    identity : the replica's identity, "host/disk".
    log : `log.Log`, as it was read from disk.
    hard_state : `snapshots.HardState`, as it was read from disk.
    random : a `random.Random`, from which election timeouts are drawn.
    now_ms : the present time.

    Attributes
    ----------
    may_vote : false until it is certain that the disk holds all that this
        replica has acknowledged.
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
        self.commit = log.snapshot_index
        self.delivered_index = log.snapshot_index
        self.votes = set()
        self.progress = {}
        self.round_id = 0
        self.confirmed_round = 0
        self.next_heartbeat_ms = now_ms
        self.stamp = 0
        self.may_vote = True
        self.acknowledged_indexes = {}
        self.outbox = []
        self.durable_index = log.last_index
        self.pending_snapshot = None
        self.started_ms = now_ms
        self.election_due_ms = 0
        self.reset_election_timer(now_ms)

    # Who votes.

    def voters(self):
        """Return the identities of the voters."""
        return {replica_id(replica) for replica in self.log.voters}

    def members(self):
        """Return the identities of voters and learners."""
        learners = {replica_id(replica) for replica in self.log.learners}
        return self.voters() | learners

    def is_quorum(self, identities):
        """Return whether the identities hold a majority of the voters."""
        voters = self.voters()
        return len(voters & set(identities)) * 2 > len(voters)

    @property
    def is_leader(self):
        """Whether this replica leads its term."""
        return self.role is Role.LEADER

    # Time.

    def reset_election_timer(self, now_ms):
        """Draw the time at which silence of the leader is too long."""
        shortest_ms, longest_ms = ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
        if (
            self.last_leader_contact_ms is None
            and now_ms - self.started_ms < STARTUP_PERIOD_MS
        ):
            shortest_ms, longest_ms = STARTUP_TIMEOUT_MIN_MS, STARTUP_TIMEOUT_MAX_MS
        self.election_due_ms = now_ms + self.random.randint(shortest_ms, longest_ms)

    def tick(self, now_ms):
        """Note the time; start elections and heartbeats that are due."""
        self.now_ms = now_ms
        if self.is_leader:
            self.tick_leader(now_ms)
        elif now_ms >= self.election_due_ms:
            self.start_pre_vote(now_ms)

    def tick_leader(self, now_ms):
        """Send heartbeats, or step down where the quorum is silent."""
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
        """Send everybody a heartbeat with a new number."""
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
        """Ask whether an election could be won, without raising the term."""
        self.reset_election_timer(now_ms)
        if self.identity not in self.voters() or not self.may_vote:
            return
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self.votes = {self.identity}
        self.request_votes(self.term + 1, trial=True)
        self.count_votes(now_ms)

    def start_election(self, now_ms):
        """Stand for the next term."""
        self.reset_election_timer(now_ms)
        self.role = Role.CANDIDATE
        self.term += 1
        self.vote = self.identity
        self.leader = ""
        self.votes = {self.identity}
        self.request_votes(self.term, trial=False)
        self.count_votes(now_ms)

    def request_votes(self, term, trial):
        """Ask every other voter for its vote."""
        request = messages.VoteAsk(
            self.identity, term, self.log.last_index, self.log.last_term, trial
        )
        for identity in sorted(self.voters() - {self.identity}):
            self.outbox.append(Envelope(identity, request))

    def count_votes(self, now_ms):
        """Go on to the next step where a quorum has said yes."""
        if not self.is_quorum(self.votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election(now_ms)
        elif self.role is Role.CANDIDATE:
            self.become_leader(now_ms)

    def become_leader(self, now_ms):
        """Lead the term; commit an empty record to learn what is committed."""
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
        """Follow a leader, or wait for one where it is not known."""
        if term > self.term:
            self.term = term
            self.vote = ""
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = set()
        self.reset_election_timer(now_ms)

    def has_leader_contact(self, now_ms):
        """Return whether a leader was heard so lately that none is missed."""
        if self.is_leader:
            return True
        last_contact_ms = self.last_leader_contact_ms
        return (
            last_contact_ms is not None
            and now_ms - last_contact_ms < ELECTION_TIMEOUT_MIN_MS
        )

    # Messages.

    def receive(self, message, now_ms):
        """Take a message from another replica."""
        self.now_ms = now_ms
        handler = HANDLERS[type(message)]
        handler(self, message, now_ms)

    def receive_vote_request(self, request, now_ms):
        """Vote, unless a leader is alive or the asker lacks records."""
        if self.has_leader_contact(now_ms):
            return
        if not request.trial and request.term > self.term:
            self.become_follower(request.term, "", now_ms)
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.trial:
            granted = request.term > self.term
        else:
            granted = request.term == self.term and self.vote in ("", request.sender)
        granted = granted and up_to_date and self.may_vote
        if granted and not request.trial:
            self.vote = request.sender
            self.reset_election_timer(now_ms)
        term = request.term if granted else self.term
        reply = messages.VoteReply(self.identity, term, granted, request.trial)
        self.outbox.append(Envelope(request.sender, reply))

    def receive_vote_reply(self, reply, now_ms):
        """Count a vote for the election or the trial that is under way."""
        if reply.term > self.term and not reply.granted:
            self.become_follower(reply.term, "", now_ms)
            return
        expected_role = Role.PRE_CANDIDATE if reply.trial else Role.CANDIDATE
        term = self.term + 1 if reply.trial else self.term
        if self.role is expected_role and reply.granted and reply.term == term:
            self.votes.add(reply.sender)
            self.count_votes(now_ms)

    def accept_leader(self, message, now_ms):
        """Follow the sender; return false where its term is over."""
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return False
        self.become_follower(message.term, message.sender, now_ms)
        self.last_leader_contact_ms = now_ms
        return True

    def receive_append(self, message, now_ms):
        """Take the leader's records where they join on to the log."""
        if not self.accept_leader(message, now_ms):
            return
        self.acknowledged_indexes.update(decode_matches(message.matches))
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

    def accept_entry(self, entry):
        """Put one of the leader's records in place."""
        if entry.index <= self.log.snapshot_index:
            return
        if self.log.term_at(entry.index) == entry.term:
            return
        if entry.index <= self.commit:
            raise errors.Internal(
                f"Record {entry.index} is committed and was to be replaced.",
                "Stop this replica and report the fault with the logs.",
            )
        self.log.truncate(entry.index)
        self.durable_index = min(self.durable_index, entry.index - 1)
        self.log.append(entry)

    def reply_append(self, message, success, match):
        """Answer the leader; the answer leaves once the records are durable."""
        reply = messages.AppendReply(
            self.identity, self.term, success, match, message.round_id
        )
        self.outbox.append(Envelope(message.sender, reply))

    def receive_append_reply(self, reply, now_ms):
        """Note how far a replica has come."""
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
        if progress.next_index <= self.log.last_index:
            self.send_append(reply.sender)

    def receive_snapshot(self, message, now_ms):
        """Take the leader's whole state in place of a log that is too old."""
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
            )
        self.reply_append(message, True, message.index)

    # Leading.

    def progress_of(self, identity):
        """Return the leader's account of a replica, made on first use."""
        if identity not in self.progress:
            fresh = Progress(
                next_index=self.log.last_index + 1, last_reply_ms=self.now_ms
            )
            self.progress[identity] = fresh
        return self.progress[identity]

    def send_append(self, identity):
        """Send a replica what it lacks, or a heartbeat."""
        progress = self.progress_of(identity)
        progress.last_sent_ms = self.now_ms
        previous_index = progress.next_index - 1
        if previous_index < self.log.snapshot_index:
            self.send_snapshot(identity, progress)
            return
        entries = self.log.slice(progress.next_index, MAX_ENTRIES_PER_APPEND)
        message = messages.Append(
            self.identity,
            self.term,
            previous_index,
            self.log.term_at(previous_index),
            entries,
            self.commit,
            self.round_id,
            self.stamp,
            self.encode_matches(),
        )
        progress.next_index += len(entries)
        self.outbox.append(Envelope(identity, message))

    def send_snapshot(self, identity, progress):
        """Send a replica the whole state."""
        message = messages.InstallSnapshot(
            self.identity,
            self.term,
            self.log.snapshot_index,
            self.log.snapshot_term,
            self.log.snapshot_voters,
            self.log.snapshot_learners,
            self.log.snapshot_state,
            self.round_id,
        )
        progress.next_index = self.log.snapshot_index + 1
        self.outbox.append(Envelope(identity, message))

    def encode_matches(self):
        """Return what each replica has acknowledged, for the others to keep."""
        pairs = sorted(self.progress.items())
        return tuple(f"{identity}={item.match}" for identity, item in pairs)

    def update_confirmed_round(self):
        """Find the latest round that a quorum has answered."""
        voters = self.voters()
        rounds = sorted(
            self.round_id
            if identity == self.identity
            else self.progress_of(identity).round_id
            for identity in voters
        )
        confirmed = rounds[(len(rounds) - 1) // 2] if rounds else 0
        self.confirmed_round = max(self.confirmed_round, confirmed)
        if self.log.term_at(self.commit) == self.term:
            stamp = self.term * STAMP_TERM_FACTOR + self.confirmed_round
            self.stamp = max(self.stamp, stamp)

    def advance_commit(self):
        """Commit what a quorum holds durably, if it is of this term."""
        voters = self.voters()
        held = sorted(
            self.durable_index
            if identity == self.identity
            else self.progress_of(identity).match
            for identity in voters
        )
        index = held[(len(held) - 1) // 2] if held else 0
        if index > self.commit and self.log.term_at(index) == self.term:
            self.commit = index
            self.update_confirmed_round()
            self.step_down_if_removed()

    def step_down_if_removed(self):
        """Stop leading once a change that removes this replica is committed."""
        is_config_committed = self.log.config_index <= self.commit
        if is_config_committed and self.identity not in self.voters():
            self.become_follower(self.term, "", self.now_ms)

    def append(self, command, voters=(), learners=()):
        """Put a record at the end of the leader's log and return its index."""
        index = self.log.last_index + 1
        self.log.append(
            messages.Entry(index, self.term, command, tuple(voters), tuple(learners))
        )
        return index

    def propose(self, command):
        """Return the index at which a command will stand, or None.

        None means that this replica does not lead. The command is committed
        only if the entry at that index is committed with the present term.
        """
        if not self.is_leader:
            return None
        return self.append(command)

    def change_replicas(self, voters, learners):
        """Propose other replicas; return the index, or None.

        None means that this replica does not lead, that an earlier change is
        not committed, or that more than one voter would change at once.
        """
        old = self.voters()
        new = {replica_id(replica) for replica in voters}
        if not self.is_leader or len(old ^ new) > 1 or not new:
            return None
        if self.log.config_index > self.commit:
            return None
        if self.log.term_at(self.commit) != self.term:
            return None
        return self.append(b"", voters, learners)

    def flush_appends(self):
        """Send the leader's new records to those that have all before them."""
        for identity in sorted(self.members() - {self.identity}):
            progress = self.progress_of(identity)
            if progress.next_index <= self.log.last_index:
                self.send_append(identity)

    def start_read_round(self):
        """Start a round; a read is confirmed when `confirmed_round` reaches it."""
        self.start_heartbeat_round(self.now_ms)
        return self.round_id

    # What is to be done.

    def take_ready(self):
        """Return what is to be done now, or None."""
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
        """Note that the durable part of `ready` is on the disk."""
        if ready.entries:
            last = ready.entries[-1]
            if self.log.term_at(last.index) == last.term:
                self.durable_index = max(self.durable_index, last.index)
        if self.is_leader:
            self.advance_commit()

    def compact(self, index, state):
        """Drop the log up to `index`, whose outcome `state` is on the disk."""
        self.log.compact(index, state)


def decode_matches(pairs):
    """Return what replicas have acknowledged, by identity."""
    matches = {}
    for pair in pairs:
        identity, _, index = pair.rpartition("=")
        matches[identity] = int(index)
    return matches


HANDLERS = {
    messages.VoteAsk: Raft.receive_vote_request,
    messages.VoteReply: Raft.receive_vote_reply,
    messages.Append: Raft.receive_append,
    messages.AppendReply: Raft.receive_append_reply,
    messages.InstallSnapshot: Raft.receive_snapshot,
}
