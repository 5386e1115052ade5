"""Simulated clusters of control hosts: disks, a network, and an oracle.

A simulated disk keeps what was synced and loses the rest in a crash. The oracle holds
every command that a leader has acknowledged, in order. `Cluster` leaves the order and
the fate of each message to its user; in `DelayedCluster` messages and disk writes take
time.
"""

import heapq
import itertools
import random

from brasstrail.coordination import raft, replica
from brasstrail.protocol import snapshots

TICK_MS = 50
SNAPSHOT_EVERY_ENTRIES = 12
# All hosts that lost power start again within this time, and a disk write takes this.
START_SPREAD_MS = 300
SYNC_MS = 3


class Disk:
    """The synced content of one host's disk."""

    def __init__(self, identity):
        self.identity = identity
        self.hard_state = snapshots.HardState(0, "")
        self.snapshot = None
        self.entries = {}

    def stored(self):
        """Return the disk's content as the journal would load it."""
        index = self.snapshot.index if self.snapshot else 0
        entries = []
        while index + 1 in self.entries:
            index += 1
            entries.append(self.entries[index])
        return replica.StoredState(
            self.identity, self.hard_state, self.snapshot, tuple(entries)
        )

    def sync(self, ready, count):
        """Make a `Ready` durable; a `count` limits how many entries are written."""
        if ready.snapshot is not None:
            self.snapshot = ready.snapshot
            self.entries = {}
        if ready.hard_state is not None and count != 0:
            self.hard_state = ready.hard_state
        for entry in ready.entries[:count]:
            later = [index for index in self.entries if index > entry.index]
            for index in later:
                del self.entries[index]
            self.entries[entry.index] = entry


class Host:
    """A control host: its disk, its replica while running, its applied commands."""

    def __init__(self, name, initial_hosts, seed):
        self.name = name
        self.initial_hosts = initial_hosts
        self.random = random.Random(seed)
        self.skew_ms = 0
        self.disk_count = 0
        self.frozen = False
        self.lose_disk()

    def lose_disk(self):
        """Stop the replica and replace the disk by a blank one."""
        self.disk_count += 1
        disk = f"disk{self.disk_count}"
        self.disk = Disk(snapshots.Identity(self.name, disk))
        self.replica = None
        self.applied = []

    def start(self, now_ms):
        """Start the replica process from its disk."""
        self.frozen = False
        stored = self.disk.stored()
        self.replica = replica.Replica(self.initial_hosts, stored, self.random, now_ms)
        self.applied = []
        if stored.snapshot is not None:
            self.applied = read_state(stored.snapshot.state)


def read_state(state):
    """Return the commands contained in a snapshot's state."""
    return state.split(b",") if state else []


class Cluster:
    """Simulated hosts, the network between them, and the oracle."""

    def __init__(self, size, seed):
        names = [f"c{number}" for number in range(1, size + 1)]
        self.now_ms = 0
        self.hosts = {name: Host(name, names, f"{seed}{name}") for name in names}
        self.in_flight = []
        self.blocked_links = set()
        self.acknowledged = []
        self.pending = {}
        self.proposals = 0
        self.committed = {}
        for host in self.hosts.values():
            host.start(0)

    def running(self):
        """Return the hosts whose process runs and is not frozen."""
        return [
            host
            for host in self.hosts.values()
            if host.replica is not None and not host.frozen
        ]

    def leaders(self):
        """Return the running hosts whose replica has the leader role."""
        return [
            host
            for host in self.running()
            if host.replica.raft is not None and host.replica.raft.is_leader
        ]

    def carry_out_work(self, host, synced=None):
        """Carry out the pending work of a host.

        If `synced` is given, the process crashes during the sync: only that many
        entries have reached the disk, and the election state only if `synced` is
        not 0.
        """
        work = host.replica.take_work()
        if work is None:
            return
        if work.identity is not None:
            host.disk.identity = work.identity
        if work.ready is not None:
            host.disk.sync(work.ready, synced)
            if synced is not None:
                host.replica = None
                return
            self.complete_ready(host, work.ready)
        for target, message in work.probes:
            self.in_flight.append((host.name, target, message))

    def complete_ready(self, host, ready):
        """Do the work that follows a sync: send, restore, apply, acknowledge."""
        node = host.replica.raft
        node.mark_persisted(ready)
        for envelope in ready.outbox:
            target = raft.host_of(envelope.to)
            self.in_flight.append((host.name, target, envelope.message))
        if ready.snapshot is not None:
            host.applied = read_state(ready.snapshot.state)
        for entry in ready.committed:
            self.apply(host, entry)
        if len(node.log.entries) > SNAPSHOT_EVERY_ENTRIES:
            self.snapshot(host, node)

    def apply(self, host, entry):
        """Apply an entry and check that all hosts apply the same one at its index."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, "two hosts committed different records at one index"
        if not entry.command:
            return
        host.applied.append(entry.command)
        term = self.pending.get(entry.command)
        if host.replica.raft.is_leader and term == entry.term:
            del self.pending[entry.command]
            self.acknowledged.append(entry.command)

    def snapshot(self, host, node):
        """Save a snapshot of the applied commands and compact the host's log."""
        index = node.delivered_index
        voters, learners, outgoing = node.log.config_at(index)
        term = node.log.term_at(index)
        state = b",".join(host.applied)
        host.disk.snapshot = snapshots.SnapshotFile(
            index, term, voters, learners, state, outgoing
        )
        node.compact(index, state)

    def propose(self, host):
        """Propose a new command to a host that has the leader role."""
        self.proposals += 1
        command = b"%d" % self.proposals
        if host.replica.raft.propose(command) is not None:
            self.pending[command] = host.replica.raft.term

    def deliver(self, number, keep):
        """Deliver message `number` of those in flight; `keep` leaves a duplicate."""
        packet = self.in_flight[number]
        if not keep:
            del self.in_flight[number]
        source, target, message = packet
        host = self.hosts[target]
        if (source, target) in self.blocked_links:
            return
        if host.replica is None or host.frozen:
            return
        host.replica.receive(source, message, self.now_ms + host.skew_ms)
        self.carry_out_work(host)

    def tick_hosts(self):
        """Advance the time by one tick on every running host."""
        self.now_ms += TICK_MS
        for host in self.running():
            host.replica.tick(self.now_ms + host.skew_ms)
            self.carry_out_work(host)
            if host.replica.must_discard:
                host.lose_disk()
                host.start(self.now_ms + host.skew_ms)

    def run_rounds(self, rounds):
        """Run rounds of one tick each and deliver all messages."""
        for _ in range(rounds):
            self.tick_hosts()
            for _ in range(3):
                for _ in range(len(self.in_flight)):
                    self.deliver(0, keep=False)

    def run_rounds_with_removed_hosts(self, rounds):
        """Run rounds, dropping the messages to hosts that were removed."""
        for _ in range(rounds):
            self.tick_hosts()
            for _ in range(3):
                for packet in list(self.in_flight):
                    if packet[1] in self.hosts:
                        self.deliver(self.in_flight.index(packet), keep=False)
                    else:
                        self.in_flight.remove(packet)

    def heal(self):
        """End all partitions and pauses, and restart stopped hosts."""
        self.blocked_links.clear()
        for host in self.hosts.values():
            host.frozen = False
            if host.replica is None:
                host.start(self.now_ms + host.skew_ms)

    def check_all_present(self):
        """End all faults and check that no host lacks an acknowledged command.

        Also checks that each was applied only once and that no replica of a lost
        disk is still a voter.
        """
        self.heal()
        self.run_rounds(120)
        assert len(self.leaders()) == 1, "not exactly one leader after the faults ended"
        leader = self.leaders()[0]
        for command in self.acknowledged:
            assert leader.applied.count(command) == 1, (
                "an acknowledged command is lost or was applied twice"
            )
        for host in self.hosts.values():
            assert host.applied == leader.applied, (
                "a host did not apply all committed commands"
            )
        disks = {host.disk.identity.disk for host in self.hosts.values()}
        voters = leader.replica.raft.log.voters
        assert {voter.disk for voter in voters} <= disks, (
            "the replica of a lost disk is still a voter"
        )


class DelayedCluster(Cluster):
    """A cluster whose messages and disk writes take time.

    Parameters
    ----------
    size : the number of control hosts.
    seed : determines all delays and time-outs.
    delay_ms : the time that a message takes between the first host, which is in
        another region, and each other one.

    Attributes
    ----------
    packets : a heap of (arrival time, number, sender, receiver, message).
    wake_ms : when each host runs its next tick, or starts.
    """

    def __init__(self, size, seed, delay_ms):
        super().__init__(size, seed)
        self.random = random.Random(seed)
        self.delay_ms = delay_ms
        self.far_host = next(iter(self.hosts))
        self.packets = []
        self.numbers = itertools.count()
        self.last_arrival_ms = {}
        self.disk_free_ms = dict.fromkeys(self.hosts, 0)
        self.wake_ms = dict.fromkeys(self.hosts, 0)

    def arrival_ms(self, sender, receiver, sent_ms):
        """Return when a message arrives, later than all earlier ones of its sender."""
        crosses_regions = self.far_host in (sender, receiver)
        delay_ms = self.delay_ms if crosses_regions else 1
        arrival_ms = sent_ms + delay_ms * self.random.uniform(1, 1.2)
        last_ms = self.last_arrival_ms.get((sender, receiver), 0)
        arrival_ms = max(arrival_ms, last_ms + 0.01)
        self.last_arrival_ms[sender, receiver] = arrival_ms
        return arrival_ms

    def carry_out_work(self, host, synced=None):
        """Carry out all pending work of a host; its disk writes take time."""
        if host.replica.must_discard:
            host.lose_disk()
            host.start(self.now_ms)
        while (work := host.replica.take_work()) is not None:
            done_ms = max(self.now_ms, self.disk_free_ms[host.name])
            if work.identity is not None:
                host.disk.identity = work.identity
                done_ms += SYNC_MS
            if work.ready is not None:
                if work.ready.entries or work.ready.hard_state or work.ready.snapshot:
                    done_ms += SYNC_MS
                host.disk.sync(work.ready, None)
                self.complete_ready(host, work.ready)
            self.disk_free_ms[host.name] = done_ms
            sent = [(host.name, target, each) for target, each in work.probes]
            for sender, receiver, message in self.in_flight + sent:
                packet = (
                    self.arrival_ms(sender, receiver, done_ms),
                    next(self.numbers),
                    sender,
                    receiver,
                    message,
                )
                heapq.heappush(self.packets, packet)
            self.in_flight = []

    def step(self):
        """Deliver the next message, or run the next tick."""
        name = min(self.wake_ms, key=self.wake_ms.get)
        if self.packets and self.packets[0][0] < self.wake_ms[name]:
            self.now_ms, _, sender, receiver, message = heapq.heappop(self.packets)
            host = self.hosts.get(receiver)
            if host is not None and host.replica is not None:
                host.replica.receive(sender, message, int(self.now_ms))
                self.carry_out_work(host)
            return
        self.now_ms = self.wake_ms[name]
        self.wake_ms[name] += TICK_MS
        host = self.hosts[name]
        if host.replica is None:
            host.start(int(self.now_ms))
            host.replica.known_hosts = tuple(self.hosts)
        host.replica.tick(int(self.now_ms))
        self.carry_out_work(host)

    def run_for(self, duration_ms):
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def has_working_leader(self):
        """Return whether a leader has committed an entry of its term."""
        return any(
            host.replica.raft.log.term_at(host.replica.raft.commit)
            == host.replica.raft.term
            for host in self.leaders()
        )

    def time_to_leader_ms(self, limit_ms):
        """Return how long it takes until a leader commits, or None after a limit."""
        begin_ms = self.now_ms
        while not self.has_working_leader():
            self.step()
            if self.now_ms - begin_ms > limit_ms:
                return None
        return self.now_ms - begin_ms

    def propose_some(self, count):
        """Commit some commands."""
        for _ in range(count):
            self.propose(self.leaders()[0])
            self.run_for(2 * self.delay_ms + TICK_MS)

    def lose_power(self, lost_disks=()):
        """Let all hosts lose power, some their disks, and start within `START_SPREAD`.

        No disk write is under way, since a simulated disk writes at once.
        """
        self.packets = []
        self.last_arrival_ms = {}
        for host in self.hosts.values():
            host.replica = None
            self.wake_ms[host.name] = self.now_ms + self.random.uniform(
                0, START_SPREAD_MS
            )
        for name in lost_disks:
            self.hosts[name].lose_disk()

    def lose_disk(self, name):
        """Let one host restart with a blank disk."""
        self.hosts[name].lose_disk()
        self.wake_ms[name] = self.now_ms + TICK_MS

    def replace_host(self, name, new_name):
        """Remove a host for good, and add a blank one at another address."""
        del self.hosts[name], self.wake_ms[name]
        self.hosts[new_name] = Host(new_name, (), new_name)
        if name == self.far_host:
            self.far_host = new_name
        self.wake_ms[new_name] = self.now_ms
        self.disk_free_ms[new_name] = 0

    def missing_commands(self):
        """Return the acknowledged commands that the leader does not hold."""
        applied = set(self.leaders()[0].applied)
        return [command for command in self.acknowledged if command not in applied]
