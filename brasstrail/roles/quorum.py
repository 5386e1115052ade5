"""Logs the replica set of a control host, and what keeps it without a leader.

A host that has no leader names the voters that it has not heard from, so that the
logs of a single host show whether a quorum is out of reach, has lost its disks, or is
present and does not agree.
"""

from brasstrail.coordination import raft
from brasstrail.core import clock
from brasstrail.protocol import messages

# Longer than an election with a repeated vote.
LEADERLESS_LOG_MS = 2000
LEADERLESS_LOG_INTERVAL_MS = 5000
# A voter that was not heard for this long counts as missing.
VOTER_SILENCE_MS = 2000


def sender_of(message):
    """Return the identity of the replica that sent a message of the log.

    >>> sender_of(messages.VoteAsk("c1/d", 1, 0, 0, True))
    'c1/d'
    """
    if isinstance(message, messages.ReplicaProbe | messages.ProbeReply):
        return raft.replica_id(message.replica)
    return message.sender


class QuorumWatch:
    """Watches the replica of this control host.

    Parameters
    ----------
    log : a structlog logger.

    Attributes
    ----------
    heard_ms : when each replica was last heard, by identity.
    leader_seen_ms : when a leader was last known, or the start of the process.
    config_index : the index of the replica set that was last logged, or None.
    """

    def __init__(self, log):
        self.log = log
        self.heard_ms = {}
        self.leader_seen_ms = clock.now_ms()
        self.next_log_ms = 0
        self.config_index = None

    def record(self, message, now_ms):
        """Record that the sender of a message was heard."""
        self.heard_ms[sender_of(message)] = now_ms

    def check(self, replica, now_ms):
        """Log a change of the replica set, and the lack of a leader if it lasts."""
        node = replica.raft
        if node is not None and node.log.config_index != self.config_index:
            self.config_index = node.log.config_index
            self.log_replica_set(node)
        if node is not None and node.leader:
            self.leader_seen_ms = now_ms
        elif (
            self.leaderless_ms(now_ms) >= LEADERLESS_LOG_MS
            and now_ms >= self.next_log_ms
        ):
            self.next_log_ms = now_ms + LEADERLESS_LOG_INTERVAL_MS
            self.log_missing_leader(replica, now_ms)

    def leaderless_ms(self, now_ms):
        """Return for how long no leader has been known, in milliseconds."""
        return now_ms - self.leader_seen_ms

    def missing_voters(self, node, now_ms):
        """Return the identities of the other voters that were not heard recently."""
        oldest_ms = now_ms - VOTER_SILENCE_MS
        return [
            identity
            for identity in sorted(node.voters() - {node.identity})
            if self.heard_ms.get(identity, oldest_ms - 1) < oldest_ms
        ]

    def log_replica_set(self, node):
        """Log the voters and learners of the latest configuration."""
        self.log.info(
            "log: The replicas changed.",
            index=node.log.config_index,
            commit=node.commit,
            voters=sorted(map(raft.replica_id, node.log.voters)),
            learners=sorted(map(raft.replica_id, node.log.learners)),
            outgoing=sorted(map(raft.replica_id, node.log.outgoing)),
        )

    def log_missing_leader(self, replica, now_ms):
        """Log why no leader is known, as far as this host can tell."""
        node = replica.raft
        details = {}
        if node is not None:
            details = {
                "role": str(node.role),
                "term": node.term,
                "last_index": node.log.last_index,
                "last_term": node.log.last_term,
                "may_vote": node.may_vote,
                "voters": sorted(node.voters()),
                "votes": sorted(node.votes),
                "missing": self.missing_voters(node, now_ms),
            }
        self.log.warning(
            "log: No leader is known.",
            leaderless_ms=self.leaderless_ms(now_ms),
            phase=str(replica.phase),
            **details,
        )
