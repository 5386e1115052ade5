"""The control role: serves the members attached to this host.

It sends them the view and the leader's stamp, passes their proposals and
look-ups to the leader, and reports to the leader which of them are alive and
how current they are. The leader removes members of whom no control host has
heard for a while, expires old answers and old suspicions, and gives the
cluster its identity.
"""

import asyncio
import dataclasses
import itertools

from tornado import ioloop

from brasstrail.core import clock, data, errors
from brasstrail.protocol import codec, commands, messages
from brasstrail.roles import reads, replication

TICK_MS = 250
REPORT_MS = 500
LOOKUP_WAIT_MS = 4000
HOUSEKEEPING_MS = 10_000
SECOND_MS = 1000
READ_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Attached:
    """A member attached to this host."""

    link: object
    member: data.Member
    index: int
    heard_ms: int


@dataclasses.dataclass
class Seen:
    """What the leader knows of a member from the control hosts' reports."""

    index: int
    heard_ms: int


@dataclasses.dataclass
class Pending:
    """A proposal, or a question passed on, that waits for its outcome.

    `answer` is a function that takes the outcome. `term` is the leader's term in
    which a proposal was made.
    """

    answer: object
    due_ms: int
    term: int = 0


class Control:
    """The control role of a process."""

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
        self.seen = {}
        self.leader_since_ms = clock.now_ms()
        self.founding_term = 0
        self.listeners = []
        self.batch = []
        self.sent_index = 0
        self.sent_stamp = 0
        self.next_report_ms = 0
        self.next_housekeeping_ms = 0
        self.numbers = itertools.count(1)
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)
        hub.handlers.append(self)

    @property
    def machine(self):
        """The replicated state, as far as it is applied here."""
        return self.replication.machine

    @property
    def view(self):
        """The view within the replicated state."""
        return self.replication.machine.view

    def register_gauges(self, metrics):
        """Register what is shown of the replica and its state."""
        metrics.gauge("control_leads", lambda: int(self.replication.is_leader))
        metrics.gauge("control_index", lambda: self.machine.index)
        metrics.gauge("control_members", lambda: len(self.view.members))
        metrics.gauge("control_keys", lambda: len(self.machine.ledger.records))
        metrics.gauge("control_voters", lambda: len(self.replication.voters()))

    def start(self):
        """Start the replica and begin to serve."""
        self.replication.start()
        self.sent_index = self.view.index
        self.ticker.start()

    def close(self):
        """Stop serving."""
        self.ticker.stop()
        self.replication.close()

    # Links.

    def link_up(self, link):
        """Pass on the news of a connection."""
        self.replication.link_up(link)

    def link_reset(self, link):
        """Forget a member that lost its session; it will join again."""
        for name, attached in list(self.attached.items()):
            if attached.link is link:
                del self.attached[name]

    def link_message(self, link, message):
        """Take a message from a member or another control host."""
        if isinstance(message, replication.PEER_MESSAGES):
            self.replication.receive(link, message)
            self.reads.answer_reads()
            return
        handler = HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)

    # Members.

    def take_join(self, link, join):
        """Attach a member: send it the view and make it known to all."""
        member = join.member
        now_ms = clock.now_ms()
        self.attached[member.name] = Attached(link, member, 0, now_ms)
        if self.view.cluster_id:
            link.send(self.view.snapshot())
        self.propose_membership(member)

    def propose_membership(self, member):
        """Ask for a member to be known, if it is not yet."""
        if self.view.members.get(member.name) == member:
            return
        command = commands.AddMember(member)
        self.submit(codec.encode(codec.COMMAND, command), ignore)

    def take_beat(self, link, beat):
        """Note that a member is alive and how current it is."""
        attached = self.attached.get(link.name)
        if attached is not None and attached.link is link:
            attached.index = max(attached.index, beat.index)
            attached.heard_ms = clock.now_ms()

    def take_leave(self, link, leave):
        """Remove a member that stops."""
        attached = self.attached.pop(leave.name, None)
        if attached is not None:
            self.propose_removal(attached.member)

    def propose_removal(self, member):
        """Ask for a member to be forgotten."""
        command = commands.RemoveMember(member.name, member.incarnation, member.epoch)
        self.submit(codec.encode(codec.COMMAND, command), ignore)

    def take_report(self, link, report):
        """As leader, note which members another control host has."""
        now_ms = clock.now_ms()
        for name, index in zip(report.names, report.indexes, strict=True):
            self.seen[name] = Seen(index, now_ms)

    # Proposals.

    def submit(self, payload, answer):
        """Put a command into the log, here or through the leader.

        `answer` is called with an `Outcome`; it may not be called at all where
        the leader is lost, so the proposer must try again.
        """
        self.found_cluster()
        proposed = self.replication.propose(payload)
        if proposed is None:
            self.forward(payload, answer)
            return
        index, term = proposed
        due_ms = clock.now_ms() + LOOKUP_WAIT_MS
        pending = Pending(answer, due_ms, term)
        self.proposals.setdefault(index, []).append(pending)

    def forward(self, payload, answer):
        """Pass a command to the leader, if it is known."""
        number = self.make_number()
        sent = self.send_to_leader(messages.Propose(number, payload))
        if not sent:
            answer(messages.Outcome("", False, b""))
            return
        due_ms = clock.now_ms() + LOOKUP_WAIT_MS
        self.forwarded[number] = Pending(answer, due_ms)

    def send_to_leader(self, message):
        """Send a message to the leader; return whether there was a way."""
        link = self.replication.peers.get(self.replication.leader_host)
        if link is None or not link.connected:
            return False
        link.send(message)
        return True

    def make_number(self):
        """Return a number for a message that is passed on."""
        return f"{self.hub.name}.{self.hub.incarnation}.control.{next(self.numbers)}"

    def take_propose(self, link, propose):
        """Serve a proposal of a member or of another control host."""
        refusal = self.refuse_when_full(propose.command)
        if refusal is not None:
            link.send(messages.Outcome(propose.proposal_id, True, refusal))
            return

        def answer(outcome):
            link.send(
                messages.Outcome(propose.proposal_id, outcome.committed, outcome.result)
            )

        self.submit(propose.command, answer)

    def refuse_when_full(self, payload):
        """As leader, return the result for a new key beyond the bound."""
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

    def take_outcome(self, link, outcome):
        """Pass the leader's outcome to whoever proposed."""
        pending = self.forwarded.pop(outcome.proposal_id, None)
        if pending is not None:
            pending.answer(outcome)

    def applied(self, entry, outcome):
        """Answer the proposals that stood at an applied record."""
        if outcome.must_notify_members:
            self.batch.append(codec.encode(codec.COMMAND, outcome.command))
        for pending in self.proposals.pop(entry.index, []):
            committed = pending.term == entry.term
            result = messages.Outcome("", committed, outcome.result)
            self.hub.call_back(pending.answer, result)

    def batch_applied(self, restored):
        """Send the members what has changed, and answer what waited for it."""
        after, self.sent_index = self.sent_index, self.view.index
        if restored:
            self.publish(self.view.snapshot())
        elif self.batch:
            self.publish(
                messages.ViewChanges(after, self.sent_index, tuple(self.batch))
            )
        self.batch = []
        self.reads.answer_lookups()
        for listener in self.listeners:
            self.hub.call_back(listener)

    def publish(self, message):
        """Send a message to every attached member, encoded once."""
        payload = codec.encode(codec.MESSAGE, message)
        for attached in self.attached.values():
            attached.link.send_payload(payload)

    # Reads.

    def take_read(self, link, read):
        """Serve another control host's read."""
        self.reads.confirm(
            lambda index: link.send(self.read_reply(read.read_id, index))
        )

    async def read(self):
        """Return a `messages.ReadIndex` from the leader, or None."""
        future = self.hub.loop.create_future()

        def answer(reply):
            if not future.done():
                future.set_result(reply)

        if self.replication.is_leader:
            self.reads.confirm(lambda index: answer(self.read_reply("", index)))
        else:
            number = self.make_number()
            if not self.send_to_leader(messages.Read(number)):
                return None
            due_ms = clock.now_ms() + LOOKUP_WAIT_MS
            self.forwarded[number] = Pending(answer, due_ms)
        try:
            return await asyncio.wait_for(future, READ_TIMEOUT_S)
        except asyncio.TimeoutError:
            return None

    def read_reply(self, number, index):
        """Return the answer to a read that was confirmed at `index`."""
        behind = tuple(self.behind(index))
        return messages.ReadIndex(number, index, len(self.view.members), behind)

    def take_read_index(self, link, reply):
        """Pass the leader's index to whoever read."""
        pending = self.forwarded.pop(reply.read_id, None)
        if pending is not None:
            pending.answer(reply)

    def behind(self, index):
        """As leader, return the members not known to have reached `index`."""
        wanted = min(index, self.sent_index)
        names = []
        for name in self.view.members:
            seen = self.seen.get(name)
            if seen is None or seen.index < wanted:
                names.append(name)
        return names

    def take_lookup(self, link, lookup):
        """Serve a look-up here, or through the leader."""
        if not self.replication.is_leader:
            self.forward_lookup(link, lookup)
            return
        self.reads.look_up(link, lookup)

    def forward_lookup(self, link, lookup):
        """Pass a look-up to the leader and its answer back."""
        number = self.make_number()
        asked = dataclasses.replace(lookup, lookup_id=number)
        if not self.send_to_leader(asked):
            link.send(messages.Found(lookup.lookup_id, False))
            return

        def answer(found):
            link.send(dataclasses.replace(found, lookup_id=lookup.lookup_id))

        due_ms = clock.now_ms() + 2 * LOOKUP_WAIT_MS
        self.forwarded[number] = Pending(answer, due_ms)

    def take_found(self, link, found):
        """Pass the leader's record to whoever looked it up."""
        pending = self.forwarded.pop(found.lookup_id, None)
        if pending is not None:
            pending.answer(found)

    # Time.

    def tick(self):
        """Do what is due."""
        now_ms = clock.now_ms()
        if self.replication.failed is not None:
            return
        self.send_stamps()
        self.reads.answer_reads()
        self.reads.answer_lookups()
        self.drop_overdue(now_ms)
        if now_ms >= self.next_report_ms:
            self.next_report_ms = now_ms + REPORT_MS
            self.report(now_ms)
        if self.replication.is_leader:
            self.tick_leader(now_ms)
        else:
            self.leader_since_ms = now_ms

    def send_stamps(self):
        """Send the leader's stamp to the members when it has risen."""
        stamp = self.replication.stamp
        if stamp <= self.sent_stamp:
            return
        self.sent_stamp = stamp
        self.publish(messages.Stamp(stamp, self.sent_index))

    def drop_overdue(self, now_ms):
        """Forget what was passed on and never answered."""
        for number, pending in list(self.forwarded.items()):
            if now_ms > pending.due_ms:
                del self.forwarded[number]
        for index, waiting in list(self.proposals.items()):
            if all(now_ms > pending.due_ms for pending in waiting):
                del self.proposals[index]

    def report(self, now_ms):
        """Tell the leader which members are alive here."""
        limit_ms = self.settings.member_timeout_ms
        alive = {
            name: attached.index
            for name, attached in self.attached.items()
            if now_ms - attached.heard_ms <= limit_ms
        }
        report = messages.Report(tuple(alive), tuple(alive.values()))
        if self.replication.is_leader:
            self.take_report(None, report)
        else:
            self.send_to_leader(report)
        for name in set(self.attached) - set(alive):
            del self.attached[name]
        for attached in self.attached.values():
            self.propose_membership(attached.member)

    def tick_leader(self, now_ms):
        """Do what only the leader does."""
        self.found_cluster()
        self.remove_lost(now_ms)
        if now_ms >= self.next_housekeeping_ms:
            self.next_housekeeping_ms = now_ms + HOUSEKEEPING_MS
            self.expire()

    def found_cluster(self):
        """Name the cluster before anything else is put into its log, once a term.

        A view without the name would take that of any cluster.
        """
        if self.view.cluster_id or not self.replication.is_leader:
            return
        if self.founding_term == self.replication.term:
            return
        self.founding_term = self.replication.term
        cluster_id = self.replication.replica.identity.cluster_id
        command = commands.FoundCluster(cluster_id)
        self.replication.propose(codec.encode(codec.COMMAND, command))

    def remove_lost(self, now_ms):
        """Remove members of whom no control host has heard for a while."""
        limit_ms = self.settings.member_timeout_ms
        for member in list(self.view.members.values()):
            seen = self.seen.get(member.name)
            heard_ms = seen.heard_ms if seen else 0
            heard_ms = max(heard_ms, self.leader_since_ms)
            if now_ms - heard_ms > limit_ms:
                self.log.warning("membership: A member is lost.", peer=member.name)
                self.propose_removal(member)

    def expire(self):
        """Drop old answers and old suspicions."""
        now_ms = clock.wall_ms()
        retention_ms = self.settings.answer_retention_s * SECOND_MS
        answered = self.machine.ledger.answered
        oldest_ms = next(iter(answered.values()), now_ms)
        if oldest_ms < now_ms - retention_ms:
            command = commands.Expire(now_ms - retention_ms)
            self.submit(codec.encode(codec.COMMAND, command), ignore)
        limit_ms = now_ms - self.settings.suspicion_s * SECOND_MS
        for item in list(self.view.suspicions.values()):
            if item.updated_ms < limit_ms:
                command = commands.LiftSuspicion(item.fingerprint)
                self.submit(codec.encode(codec.COMMAND, command), ignore)


def ignore(outcome):
    """Take an outcome that nobody waits for."""


HANDLERS = {
    messages.Join: Control.take_join,
    messages.Beat: Control.take_beat,
    messages.Leave: Control.take_leave,
    messages.Report: Control.take_report,
    messages.Propose: Control.take_propose,
    messages.Outcome: Control.take_outcome,
    messages.Read: Control.take_read,
    messages.ReadIndex: Control.take_read_index,
    messages.Lookup: Control.take_lookup,
    messages.Found: Control.take_found,
}
