"""The control role: serves the members attached to this control host.

It sends the attached members the view and the leader's stamp, forwards their
proposals and look-ups to the leader, and reports to the leader which members sent a
heartbeat recently and up to which index each is current. The leader also removes
members that no control host has reported within `member_timeout_ms`, expires old
answers and old suspicions, and proposes the cluster id.
"""

import asyncio
import dataclasses
import itertools

from tornado import ioloop

from brasstrail.core import clock, data, errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.roles import reads, replication

TICK_MS = 250
REPORT_INTERVAL_MS = 500
PENDING_TIMEOUT_MS = 4000
HOUSEKEEPING_INTERVAL_MS = 10_000
MS_PER_SECOND = 1000
READ_TIMEOUT_S = 1.0


@dataclasses.dataclass
class AttachedMember:
    """A member attached to this host.

    `index` is the index up to which its view is current.
    """

    link: object
    member: data.Member
    index: int
    last_seen_ms: int


@dataclasses.dataclass
class MemberReport:
    """The leader's latest report about a member from any control host."""

    index: int
    last_seen_ms: int


@dataclasses.dataclass
class PendingCall:
    """A proposal or a forwarded message that waits for its outcome.

    `answer` is called with the outcome. `due_ms` is when the call is dropped.
    `term` is the leader's term in which a proposal was made.
    """

    answer: object
    due_ms: int
    term: int = 0


class Control:
    """The control role of a process.

    Parameters
    ----------
    hub : `hub.Hub` of the process.

    Attributes
    ----------
    attached : `AttachedMember` by member name.
    proposals : lists of `PendingCall` by log index, for proposals made here.
    forwarded : `PendingCall` by message id, for messages sent to the leader.
    member_reports : `MemberReport` by member name; used only by the leader.
    leader_since_ms : when this host last was not the leader, to within one tick.
    cluster_id_term : the last term in which this host proposed the cluster id.
    listeners : functions called after each applied batch of log entries.
    unpublished_commands : encoded commands of the current batch for the members.
    sent_index, sent_stamp : what the members were last sent.
    """

    def __init__(self, hub):
        self.hub = hub
        self.log = hub.log
        self.settings = hub.settings.control
        self.replication = replication.Replication(
            hub, self.applied, self.batch_applied
        )
        self.attached = {}
        self.proposals = {}
        self.forwarded = {}
        self.reads = reads.Reads(self.replication)
        self.member_reports = {}
        self.leader_since_ms = clock.now_ms()
        self.cluster_id_term = 0
        self.listeners = []
        self.unpublished_commands = []
        self.sent_index = 0
        self.sent_stamp = 0
        self.next_report_ms = 0
        self.next_housekeeping_ms = 0
        self.id_counter = itertools.count(1)
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        hub.handlers.append(self)

    @property
    def machine(self):
        """The replicated state, up to the last log entry applied on this host."""
        return self.replication.machine

    @property
    def view(self):
        """The part of the replicated state that every member holds."""
        return self.replication.machine.view

    def register_gauges(self, metrics):
        """Register the gauges of the replica and its state."""
        metrics.gauge("control_leads", lambda: int(self.replication.is_leader))
        metrics.gauge("control_index", lambda: self.machine.index)
        metrics.gauge("control_members", lambda: len(self.view.members))
        metrics.gauge("control_keys", lambda: len(self.machine.ledger.records))
        replica_set = self.replication
        metrics.gauge("control_voters", lambda: len(replica_set.voters()))
        metrics.gauge("control_learners", lambda: len(replica_set.learners()))
        metrics.gauge(
            "control_voters_missing", lambda: len(replica_set.missing_voters())
        )
        metrics.gauge("control_leaderless_ms", replica_set.leaderless_ms)

    def start(self):
        """Start the replica and the periodic work."""
        self.replication.start()
        self.sent_index = self.view.index
        self.ticker.start()

    def close(self):
        """Stop the periodic work and the replica."""
        self.ticker.stop()
        self.replication.close()

    # Links.

    def link_up(self, link):
        """Notify the replica of a new connection."""
        self.replication.link_up(link)

    def link_reset(self, link):
        """Detach a member whose session was lost; it joins again by itself."""
        for name, attached in list(self.attached.items()):
            if attached.link is link:
                del self.attached[name]

    def link_message(self, link, message):
        """Handle a message from a member or another control host."""
        if isinstance(message, replication.PEER_MESSAGES):
            self.replication.receive(link, message)
            self.reads.answer_reads()
            return
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    # Members.

    def handle_join(self, link, join):
        """Attach a member, send it the view and propose its membership.

        The view is sent only once the cluster has an id; before that a member
        would accept any cluster's view.
        """
        member = join.member
        now_ms = clock.now_ms()
        self.attached[member.name] = AttachedMember(link, member, 0, now_ms)
        if self.view.cluster_id:
            link.send(self.view.snapshot())
        self.propose_membership(member)

    def propose_membership(self, member):
        """Propose to add or update a member, unless the view holds it already."""
        if self.view.members.get(member.name) == member:
            return
        command = commands.AddMember(member)
        self.submit(codec.encode(codec.COMMAND, command), ignore)

    def handle_beat(self, link, beat):
        """Record a member's heartbeat, and the index that its view reached."""
        attached = self.attached.get(link.name)
        if attached is not None and attached.link is link:
            attached.index = max(attached.index, beat.index)
            attached.last_seen_ms = clock.now_ms()

    def handle_leave(self, link, leave):
        """Detach a member that stops, and propose its removal."""
        attached = self.attached.pop(leave.name, None)
        if attached is not None:
            self.propose_removal(attached.member)

    def propose_removal(self, member):
        """Propose to remove a member."""
        command = commands.RemoveMember(member.name, member.incarnation, member.epoch)
        self.submit(codec.encode(codec.COMMAND, command), ignore)

    def handle_report(self, link, report):
        """On the leader, record the members that a control host reports."""
        now_ms = clock.now_ms()
        for name, index in zip(report.names, report.indexes, strict=True):
            self.member_reports[name] = MemberReport(index, now_ms)

    # Proposals.

    def submit(self, payload, answer):
        """Propose a command on this host if it leads, or forward it to the leader.

        `answer` is called with a `messages.Outcome`. It may never be called if the
        leader fails, so the proposer must time out and retry.
        """
        self.propose_cluster_id()
        proposed = self.replication.propose(payload)
        if proposed is None:
            self.forward(payload, answer)
            return
        index, term = proposed
        due_ms = clock.now_ms() + PENDING_TIMEOUT_MS
        pending = PendingCall(answer, due_ms, term)
        self.proposals.setdefault(index, []).append(pending)

    def forward(self, payload, answer):
        """Forward a command to the leader.

        Without a connection to the leader the outcome is "not committed" at once.
        """
        message_id = self.make_message_id()
        sent = self.send_to_leader(messages.Propose(message_id, payload))
        if not sent:
            answer(messages.Outcome("", False, b""))
            return
        due_ms = clock.now_ms() + PENDING_TIMEOUT_MS
        self.forwarded[message_id] = PendingCall(answer, due_ms)

    def send_to_leader(self, message):
        """Send a message to the leader; return whether a connection exists."""
        link = self.replication.peers.get(self.replication.leader_host)
        if link is None or not link.connected:
            return False
        link.send(message)
        return True

    def make_message_id(self):
        """Return a unique id for a message that is sent to the leader."""
        return f"{self.hub.name}.{self.hub.incarnation}.control.{next(self.id_counter)}"

    def handle_propose(self, link, propose):
        """Handle a proposal of a member or of another control host.

        A command that cannot be decoded is not proposed: each replica that applies it
        would fail, also after a restart.
        """
        try:
            command = codec.decode(codec.COMMAND, propose.command)
        except errors.BadRequest as error:
            self.log.error(
                "control: A proposal was refused.", peer=link.name, reason=str(error)
            )
            link.send(messages.Outcome(propose.proposal_id, False, b""))
            return
        refusal = self.ledger_full_result(propose.command)
        if refusal is not None:
            link.send(messages.Outcome(propose.proposal_id, True, refusal))
            return

        def answer(outcome):
            link.send(
                messages.Outcome(propose.proposal_id, outcome.committed, outcome.result)
            )

        payload = propose.command
        if isinstance(command, commands.StartRollout) and self.replication.is_leader:
            # The deadline counts on the clock of the leader, which also applies it.
            stamped = dataclasses.replace(command, now_ms=clock.wall_ms())
            payload = codec.encode(codec.COMMAND, stamped)
        self.submit(payload, answer)

    def ledger_full_result(self, payload):
        """Return the encoded `LedgerFull` result for a new key beyond `max_keys`.

        Returns None if the command may be proposed. Only the leader refuses keys.
        """
        records = self.machine.ledger.records
        if not self.replication.is_leader or len(records) < self.settings.max_keys:
            return None
        command = codec.decode(codec.COMMAND, payload)
        if not isinstance(command, commands.Receive):
            return None
        if (command.workspace, command.key) in records:
            return None
        result = commands.ExecutionResult(False, None, errors.LedgerFull.code)
        return codec.encode(codec.RESULT, result)

    def handle_outcome(self, link, outcome):
        """Complete the forwarded proposal that waits for this outcome."""
        pending = self.forwarded.pop(outcome.proposal_id, None)
        if pending is not None:
            pending.answer(outcome)

    def applied(self, entry, outcome):
        """Report the outcome of the proposals made at an applied entry's index.

        A proposal is committed only if the entry has the term in which it was
        made; another leader may have written that index.
        """
        if outcome.must_notify_members:
            self.unpublished_commands.append(
                codec.encode(codec.COMMAND, outcome.command)
            )
        for pending in self.proposals.pop(entry.index, []):
            committed = pending.term == entry.term
            result = messages.Outcome("", committed, outcome.result)
            self.hub.run_callback(pending.answer, result)

    def batch_applied(self, restored):
        """Publish the changes of the view and answer the look-ups that are ready.

        `restored` says that the state was replaced by a snapshot; the members then
        get the whole view.
        """
        after, self.sent_index = self.sent_index, self.view.index
        if restored:
            self.publish(self.view.snapshot())
        elif self.unpublished_commands:
            self.publish(
                messages.ViewChanges(
                    after, self.sent_index, tuple(self.unpublished_commands)
                )
            )
        self.unpublished_commands = []
        self.reads.answer_lookups()
        for listener in self.listeners:
            self.hub.run_callback(listener)

    def publish(self, message):
        """Send a message to every attached member."""
        attached_links = [attached.link for attached in self.attached.values()]
        self.hub.send_to_all(attached_links, message)

    # Reads.

    def handle_read(self, link, read):
        """Handle a read that another control host forwarded."""
        self.reads.confirm(
            lambda index: link.send(self.read_reply(read.read_id, index))
        )

    async def read(self):
        """Return a `messages.ReadIndex` from the leader.

        Returns None if the leader is not connected or does not answer within
        `READ_TIMEOUT_S`.
        """
        future = self.hub.loop.create_future()

        def answer(reply):
            if not future.done():
                future.set_result(reply)

        if self.replication.is_leader:
            self.reads.confirm(lambda index: answer(self.read_reply("", index)))
        else:
            message_id = self.make_message_id()
            if not self.send_to_leader(messages.Read(message_id)):
                return None
            due_ms = clock.now_ms() + PENDING_TIMEOUT_MS
            self.forwarded[message_id] = PendingCall(answer, due_ms)
        try:
            return await asyncio.wait_for(future, READ_TIMEOUT_S)
        except asyncio.TimeoutError:
            return None

    def read_reply(self, message_id, index):
        """Return the reply to a read that was confirmed at `index`."""
        behind = tuple(self.behind(index))
        return messages.ReadIndex(message_id, index, len(self.view.members), behind)

    def handle_read_index(self, link, reply):
        """Complete the forwarded read that waits for this index."""
        pending = self.forwarded.pop(reply.read_id, None)
        if pending is not None:
            pending.answer(reply)

    def behind(self, index):
        """On the leader, return the members not known to have reached `index`."""
        required_index = min(index, self.sent_index)
        names = []
        for name in self.view.members:
            last_report = self.member_reports.get(name)
            if last_report is None or last_report.index < required_index:
                names.append(name)
        return names

    def handle_lookup(self, link, lookup):
        """Answer a look-up if this host leads, or forward it to the leader."""
        if not self.replication.is_leader:
            self.forward_lookup(link, lookup)
            return
        self.reads.look_up(link, lookup)

    def forward_lookup(self, link, lookup):
        """Forward a look-up to the leader and return its answer over `link`.

        The time limit is twice the usual one: the leader may wait once for a quorum
        to confirm the read and once more for the record to change.
        """
        message_id = self.make_message_id()
        forwarded_lookup = dataclasses.replace(lookup, lookup_id=message_id)
        if not self.send_to_leader(forwarded_lookup):
            link.send(messages.Found(lookup.lookup_id, False))
            return

        def answer(found):
            link.send(dataclasses.replace(found, lookup_id=lookup.lookup_id))

        due_ms = clock.now_ms() + 2 * PENDING_TIMEOUT_MS
        self.forwarded[message_id] = PendingCall(answer, due_ms)

    def handle_found(self, link, found):
        """Complete the forwarded look-up that waits for this record."""
        pending = self.forwarded.pop(found.lookup_id, None)
        if pending is not None:
            pending.answer(found)

    # Periodic work.

    def tick(self):
        """Do the periodic work; runs every `TICK_MS`."""
        now_ms = clock.now_ms()
        if self.replication.failed is not None:
            return
        self.send_stamps()
        self.reads.answer_reads()
        self.reads.answer_lookups()
        self.drop_overdue(now_ms)
        if now_ms >= self.next_report_ms:
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS
            self.report(now_ms)
        if self.replication.is_leader:
            self.tick_leader(now_ms)
        else:
            self.leader_since_ms = now_ms

    def send_stamps(self):
        """Publish the leader's stamp if it is higher than the last one sent."""
        stamp = self.replication.stamp
        if stamp <= self.sent_stamp:
            return
        self.sent_stamp = stamp
        self.publish(messages.Stamp(stamp, self.sent_index))

    def drop_overdue(self, now_ms):
        """Drop forwarded messages and proposals that got no answer in time."""
        for message_id, pending in list(self.forwarded.items()):
            if now_ms > pending.due_ms:
                del self.forwarded[message_id]
        for index, waiting in list(self.proposals.items()):
            if all(now_ms > pending.due_ms for pending in waiting):
                del self.proposals[index]

    def report(self, now_ms):
        """Report members with a recent heartbeat to the leader, and detach the others.

        Recent means within `member_timeout_ms`. Of the members that stay attached,
        those that the view does not hold are proposed again.
        """
        timeout_ms = self.settings.member_timeout_ms
        alive = {
            name: attached.index
            for name, attached in self.attached.items()
            if now_ms - attached.last_seen_ms <= timeout_ms
        }
        report = messages.Report(tuple(alive), tuple(alive.values()))
        if self.replication.is_leader:
            self.handle_report(None, report)
        else:
            self.send_to_leader(report)
        for name in set(self.attached) - set(alive):
            del self.attached[name]
        for attached in self.attached.values():
            self.propose_membership(attached.member)

    def tick_leader(self, now_ms):
        """Do the periodic work of the leader."""
        self.propose_cluster_id()
        self.remove_silent_members(now_ms)
        if now_ms >= self.next_housekeeping_ms:
            self.next_housekeeping_ms = now_ms + HOUSEKEEPING_INTERVAL_MS
            self.expire()

    def propose_cluster_id(self):
        """Propose the cluster id, once a term, before any other command.

        A view without a cluster id would accept the view of any cluster.
        """
        if self.view.cluster_id or not self.replication.is_leader:
            return
        if self.cluster_id_term == self.replication.term:
            return
        self.cluster_id_term = self.replication.term
        cluster_id = self.replication.replica.identity.cluster_id
        command = commands.FoundCluster(cluster_id)
        self.replication.propose(codec.encode(codec.COMMAND, command))

    def remove_silent_members(self, now_ms):
        """Propose to remove members without a report within `member_timeout_ms`.

        The time counts at the earliest from when this host became the leader, since
        a new leader has no reports yet.
        """
        timeout_ms = self.settings.member_timeout_ms
        for member in list(self.view.members.values()):
            last_report = self.member_reports.get(member.name)
            last_seen_ms = last_report.last_seen_ms if last_report else 0
            last_seen_ms = max(last_seen_ms, self.leader_since_ms)
            if now_ms - last_seen_ms > timeout_ms:
                self.log.warning("membership: A member timed out.", peer=member.name)
                self.propose_removal(member)

    def expire(self):
        """Propose to drop answers and suspicions past their retention times."""
        now_ms = clock.wall_ms()
        retention_ms = self.settings.answer_retention_s * MS_PER_SECOND
        answered = self.machine.ledger.answered
        oldest_ms = next(iter(answered.values()), now_ms)
        if oldest_ms < now_ms - retention_ms:
            command = commands.Expire(now_ms - retention_ms)
            self.submit(codec.encode(codec.COMMAND, command), ignore)
        cutoff_ms = now_ms - self.settings.suspicion_s * MS_PER_SECOND
        for item in list(self.view.suspicions.values()):
            if item.updated_ms < cutoff_ms:
                command = commands.LiftSuspicion(item.fingerprint)
                self.submit(codec.encode(codec.COMMAND, command), ignore)


def ignore(outcome):
    """Discard an outcome that nobody waits for."""


HANDLERS = {
    messages.Join: Control.handle_join,
    messages.Beat: Control.handle_beat,
    messages.Leave: Control.handle_leave,
    messages.Report: Control.handle_report,
    messages.Propose: Control.handle_propose,
    messages.Outcome: Control.handle_outcome,
    messages.Read: Control.handle_read,
    messages.ReadIndex: Control.handle_read_index,
    messages.Lookup: Control.handle_lookup,
    messages.Found: Control.handle_found,
}
