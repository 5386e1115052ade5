"""Drives a control host's replica with a disk, sockets and real time."""

import asyncio
import concurrent.futures
import random
import secrets
import threading

from tornado import ioloop

from brasstrail.coordination import raft, replica
from brasstrail.core import clock, errors
from brasstrail.protocol import messages, snapshots
from brasstrail.state import journal, machine

TICK_MS = 50
# A full disk is tried again often enough that service returns with its room.
DISK_RETRY_S = 0.5
PEER_MESSAGES = (
    messages.VoteAsk,
    messages.VoteReply,
    messages.Append,
    messages.AppendReply,
    messages.InstallSnapshot,
    messages.ReplicaProbe,
    messages.ProbeReply,
)


class Replication:
    """The replica of this control host and the state it adds up to.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    on_applied : called with (entry, `machine.AppliedCommand`) for each record.
    on_batch : called after each batch of records with whether the whole state
        was restored before it.

    Attributes
    ----------
    failed : the error that stopped the replica, or None.
    """

    def __init__(self, hub, on_applied, on_batch):
        self.hub = hub
        self.log = hub.log
        self.settings = hub.settings.control
        self.on_applied = on_applied
        self.on_batch = on_batch
        self.machine = machine.Machine()
        self.machine.restore(b"")
        self.journal = journal.Journal(self.settings.data_folder)
        self.disk = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self.stopped = threading.Event()
        self.wake = asyncio.Event()
        self.peers = {}
        self.failed = None
        self.replica = None
        self.was_leader = False
        self.dialed_index = -1
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)

    # Start and stop.

    def start(self):
        """Read the data folder and begin."""
        self.load()
        self.dial_all(self.hub.settings.cluster.peer_seeds)
        self.ticker.start()
        self.hub.spawn(self.drive())

    def dial_all(self, seeds):
        """Keep links to the control hosts at these addresses."""
        for seed in seeds:
            self.dial(seed)
        known = (*self.replica.known, *seeds)
        self.replica.known = tuple(dict.fromkeys(known))

    def dial(self, address):
        """Keep a link to another control host."""
        if address not in (self.hub.name, self.hub.settings.node.dialed_address):
            self.hub.dial(address, self)

    def dial_members(self):
        """Keep links to the replicas whose names are their addresses."""
        node = self.replica.raft
        if node is None or node.log.config_index == self.dialed_index:
            return
        self.dialed_index = node.log.config_index
        for identity in sorted(node.members()):
            host = raft.host_of(identity)
            if ":" in host:
                self.dial(host)

    def load(self):
        """Make the replica from what the disk holds."""
        identity, loaded = self.read_folder()
        stored = replica.Stored(
            identity, loaded.hard_state, loaded.snapshot, loaded.entries
        )
        if loaded.torn_bytes:
            self.log.warning("log: A torn write was cut off.", bytes=loaded.torn_bytes)
        self.replica = replica.Replica(
            self.founders(), stored, random.Random(), clock.now_ms()
        )
        own = self.hub.settings.cluster
        self.replica.known = own.peer_seeds if own.seed_port else ()
        self.replica.wanted_voters = self.settings.wanted_voters
        self.machine.restore(loaded.snapshot.state if loaded.snapshot else b"")
        self.log.info(
            "log: The replica starts.",
            replica=raft.replica_id(self.replica.me),
            phase=str(self.replica.phase),
            records=len(loaded.entries),
        )

    def voters(self):
        """Return the replicas that vote, as far as is known here."""
        node = self.replica.raft if self.replica is not None else None
        return node.log.voters if node is not None else ()

    def founders(self):
        """Return the names of the hosts that found the cluster."""
        if self.settings.seeds_found:
            return self.hub.settings.cluster.peer_seeds
        if self.hub.settings.cluster.peer_seeds and not self.settings.initial_replicas:
            return ()
        return self.settings.initial_replicas or (self.hub.name,)

    def read_folder(self):
        """Return the identity and the content of the data folder.

        A folder that is damaged is moved aside, and the replica begins anew,
        unless it is the only one.
        """
        try:
            identity = self.journal.read_identity()
            if identity is None:
                identity = self.make_identity()
            return identity, self.journal.load()
        except errors.CorruptFile as error:
            if len(self.founders()) == 1:
                raise
            self.log.error("log: The data folder is damaged.", reason=str(error))
            self.journal.move_aside(clock.wall_ms())
            return self.make_identity(), self.journal.load()

    def make_identity(self):
        """Write the identity of a new, blank replica."""
        identity = snapshots.Identity(self.hub.name, secrets.token_hex(4))
        self.journal.write_identity(identity)
        return identity

    def close(self):
        """Stop the replica and close its files."""
        self.ticker.stop()
        self.stopped.set()
        self.disk.shutdown(wait=True)
        self.journal.close()

    # Peers.

    def link_up(self, link):
        """Remember the way to another control host that this one dialed."""
        if link.address:
            self.peers[link.name] = link
            self.replica.next_probe_ms = 0
            self.wake.set()

    def note_peer(self, link):
        """Remember the way to a control host that dialed this one.

        Others than control hosts dial as well; only these speak of the log.
        """
        known = self.peers.get(link.name)
        if known is None or not known.connected:
            self.peers[link.name] = link

    def receive(self, link, message):
        """Take a message of the replicated log."""
        self.note_peer(link)
        if self.failed is None:
            self.replica.receive(link.name, message, clock.now_ms())
            self.wake.set()

    def send(self, host, message):
        """Send a message to another control host, if there is a way now.

        Nothing is queued for a host that cannot be reached: the log repeats
        what is lost.
        """
        link = self.peers.get(host)
        if link is not None and link.connected:
            link.send(message)

    # Work.

    def tick(self):
        """Let the replica note the time."""
        if self.failed is None:
            self.replica.tick(clock.now_ms())
            self.dial_members()
            self.wake.set()

    async def drive(self):
        """Carry out the replica's work until the disk fails."""
        while self.failed is None:
            await self.wake.wait()
            self.wake.clear()
            try:
                await self.work()
            except errors.DiskFailed as error:
                self.fail(error)

    def fail(self, error):
        """Stop the replica: what its disk holds is no longer certain."""
        self.failed = error
        self.ticker.stop()
        self.log.error("log: The disk failed and the replica stops.", reason=str(error))

    async def work(self):
        """Carry out all the work there is."""
        while self.failed is None:
            if self.replica.discard:
                self.begin_anew()
            work = self.replica.take_work()
            if work is None:
                return
            await self.carry_out(work)

    async def carry_out(self, work):
        """Make work durable, then send and apply what depends on it."""
        if is_durable_work(work):
            await self.hub.loop.run_in_executor(self.disk, self.persist, work)
        if work.ready is not None:
            self.replica.raft.persisted(work.ready)
            for envelope in work.ready.outbox:
                self.send(raft.host_of(envelope.to), envelope.message)
            self.apply(work.ready)
        for host, message in work.probes:
            self.send(host, message)
        self.note_leadership()

    def persist(self, work):
        """Write what must be durable; runs on the disk's thread.

        Where the disk refuses, the work is done again in a new segment until the
        disk takes it or the process stops.
        """
        segment = None
        while True:
            try:
                if segment is not None:
                    self.journal.open_segment(segment)
                self.persist_once(work)
                return
            except errors.DiskFailed as error:
                if self.stopped.wait(DISK_RETRY_S):
                    raise
                segment = self.journal.segment_number + 1
                self.log.error("log: The disk refuses a write.", reason=str(error))

    def persist_once(self, work):
        """Write what must be durable."""
        if work.identity is not None:
            self.journal.write_identity(work.identity)
        if work.ready is not None:
            self.journal.persist(work.ready)

    def apply(self, ready):
        """Restore and apply what is committed."""
        if ready.snapshot is not None:
            self.machine.restore(ready.snapshot.state)
        for entry in ready.committed:
            self.on_applied(entry, self.machine.apply(entry))
        if ready.committed or ready.snapshot is not None:
            self.on_batch(ready.snapshot is not None)
        if len(self.replica.raft.log.entries) > self.settings.snapshot_every:
            self.take_snapshot()

    def take_snapshot(self):
        """Keep the state and drop the log that led to it."""
        node = self.replica.raft
        index = self.machine.index
        voters, learners = node.log.config_at(index)
        state = self.machine.dump()
        snapshot = snapshots.SnapshotFile(
            index, node.log.term_at(index), voters, learners, state
        )
        try:
            self.journal.save_snapshot(snapshot)
        except errors.DiskFailed as error:
            # The log holds all that the snapshot would; the next record tries again.
            self.log.error("log: The disk refuses a snapshot.", reason=str(error))
            return
        node.compact(index, state)
        self.log.info("log: A snapshot was taken.", index=index, bytes=len(state))

    def begin_anew(self):
        """Give up an identity whose disk holds less than was acknowledged."""
        self.log.error(
            "log: The disk is older than what it acknowledged; "
            "the replica comes back as a new one."
        )
        self.journal.move_aside(clock.wall_ms())
        self.load()

    def note_leadership(self):
        """Log each change of leadership."""
        node = self.replica.raft
        leads = node is not None and node.is_leader
        if leads != self.was_leader:
            self.was_leader = leads
            words = "leads" if leads else "no longer leads"
            self.log.info(f"log: This replica {words}.", term=node.term)

    # What others ask.

    @property
    def is_leader(self):
        """Whether this replica believes that it leads."""
        node = self.replica.raft
        return self.failed is None and node is not None and node.is_leader

    @property
    def term(self):
        """The term of the log, as far as it is known here."""
        node = self.replica.raft
        return node.term if node is not None else 0

    @property
    def leader_host(self):
        """The host of the leader, or an empty word."""
        node = self.replica.raft
        return raft.host_of(node.leader) if node is not None and node.leader else ""

    @property
    def stamp(self):
        """The leader's stamp, as far as it is known here."""
        node = self.replica.raft
        return node.stamp if node is not None else 0

    def propose(self, command):
        """Return the index and the term of a proposal, or None."""
        if not self.is_leader:
            return None
        index = self.replica.raft.propose(command)
        self.wake.set()
        return index, self.replica.raft.term


def is_durable_work(work):
    """Return whether some of the work must reach the disk."""
    if work.identity is not None:
        return True
    ready = work.ready
    if ready is None:
        return False
    return bool(ready.entries or ready.hard_state or ready.snapshot)
