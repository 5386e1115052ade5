"""Runs a control host's replica with disk I/O, connections and the clock."""

import asyncio
import concurrent.futures
import dataclasses
import random
import secrets
import threading

from tornado import ioloop

from brasstrail.coordination import raft, replica
from brasstrail.core import clock, errors
from brasstrail.protocol import messages, snapshots
from brasstrail.roles import quorum
from brasstrail.state import journal, machine

TICK_MS = 50
# Short enough that service resumes soon after space on a full disk is freed.
DISK_RETRY_S = 0.5
# A snapshot is taken once the log is larger than this and than a multiple of the last
# snapshot: memory and disk are bounded, a replica that is behind is sent little, and a
# large state is not written for each few entries.
MIN_COMPACTED_BYTES = 1024 * 1024
COMPACTED_SNAPSHOTS = 2
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
    """The replica of this control host and the state machine that it applies.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    on_applied : called with (log entry, `machine.AppliedCommand`) for each entry.
    on_batch : called after each batch of log entries with whether the whole state
        was restored from a snapshot before it.

    Attributes
    ----------
    work_available : an event that is set when the replica may have work.
    peers : links to the other control hosts, by host name.
    failed : the error that stopped the replica, or None.
    dialed_config_index : the index of the replica set that was last dialed.
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
        self.work_available = asyncio.Event()
        self.peers = {}
        self.failed = None
        self.replica = None
        self.was_leader = False
        self.dialed_config_index = -1
        self.quorum_watch = quorum.QuorumWatch(hub.log)
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)

    # Start and stop.

    def start(self):
        """Load the data folder, dial the other control hosts and start working."""
        self.load()
        self.dial_all(self.hub.settings.cluster.peer_seeds)
        self.ticker.start()
        self.hub.spawn(self.run_work_loop())

    def dial_all(self, seeds):
        """Open links to the control hosts at these addresses."""
        for seed in seeds:
            self.dial(seed)
        known = (*self.replica.known_hosts, *seeds)
        self.replica.known_hosts = tuple(dict.fromkeys(known))

    def dial(self, address):
        """Open a link to another control host, unless the address is this host's."""
        if address not in (self.hub.name, self.hub.settings.node.advertised_address):
            self.hub.dial(address, self)

    def dial_members(self):
        """Open links to the replicas of the log whose names are addresses."""
        node = self.replica.raft
        if node is None or node.log.config_index == self.dialed_config_index:
            return
        self.dialed_config_index = node.log.config_index
        for identity in sorted(node.members()):
            host = raft.host_of(identity)
            if ":" in host:
                self.dial(host)

    def load(self):
        """Create the replica from the contents of the data folder."""
        identity, loaded = self.read_folder()
        stored = replica.StoredState(
            identity, loaded.hard_state, loaded.snapshot, loaded.entries
        )
        if loaded.torn_bytes:
            self.log.warning(
                "log: A torn write was truncated.", bytes=loaded.torn_bytes
            )
        self.replica = replica.Replica(
            self.founders(), stored, random.Random(), clock.now_ms()
        )
        cluster_settings = self.hub.settings.cluster
        self.replica.known_hosts = (
            cluster_settings.peer_seeds if cluster_settings.seed_port else ()
        )
        self.replica.wanted_voters = self.settings.wanted_voters
        self.machine.restore(loaded.snapshot.state if loaded.snapshot else b"")
        self.log_start(loaded)

    def log_start(self, loaded):
        """Log what the replica found on its disk."""
        self.log.info(
            "log: The replica is starting.",
            replica=raft.replica_id(self.replica.descriptor),
            phase=str(self.replica.phase),
            records=len(loaded.entries),
            snapshot_index=loaded.snapshot.index if loaded.snapshot else 0,
            last_index=loaded.entries[-1].index if loaded.entries else 0,
            term=loaded.hard_state.term,
        )

    def voters(self):
        """Return the voters of the latest configuration in this host's log."""
        node = self.replica.raft if self.replica is not None else None
        return node.log.voters if node is not None else ()

    def learners(self):
        """Return the learners of the latest configuration in this host's log."""
        node = self.replica.raft if self.replica is not None else None
        return node.log.learners if node is not None else ()

    def missing_voters(self):
        """Return the identities of the voters that this host has not heard lately."""
        node = self.replica.raft if self.replica is not None else None
        if node is None:
            return []
        return self.quorum_watch.missing_voters(node, clock.now_ms())

    def leaderless_ms(self):
        """Return for how long this host has known no leader, in milliseconds."""
        return self.quorum_watch.leaderless_ms(clock.now_ms())

    def founders(self):
        """Return the names of the hosts that form a new cluster.

        It is empty where this host may only join an existing cluster.
        """
        if self.settings.seeds_found:
            return self.hub.settings.cluster.peer_seeds
        if self.hub.settings.cluster.peer_seeds and not self.settings.initial_replicas:
            return ()
        return self.settings.initial_replicas or (self.hub.name,)

    def read_folder(self):
        """Return the identity and the contents of the data folder.

        A damaged folder is moved aside and the replica starts blank, and so are records
        whose identity was moved aside before the process ended. A single replica has
        no other copy, so there the error of a damaged folder is raised.
        """
        try:
            identity = self.journal.read_identity()
            if identity is None:
                if self.journal.record_paths():
                    self.journal.move_aside(clock.wall_ms())
                identity = self.make_identity()
            return identity, self.journal.load()
        except errors.CorruptFile as error:
            if len(self.founders()) == 1:
                raise
            self.log.error(
                "log: The data folder is damaged; the replica starts blank.",
                reason=str(error),
            )
            self.journal.move_aside(clock.wall_ms())
            return self.make_identity(), self.journal.load()

    def make_identity(self):
        """Write the identity of a new, blank replica."""
        identity = snapshots.Identity(self.hub.name, secrets.token_hex(4))
        self.journal.write_identity(identity)
        self.log.info("log: The disk is blank; a new replica begins on it.")
        return identity

    def close(self):
        """Stop the replica and close its files."""
        self.ticker.stop()
        self.stopped.set()
        self.disk.shutdown(wait=True)
        self.journal.close()

    # Peers.

    def link_up(self, link):
        """Record the link to a control host that this one dialed."""
        if link.address:
            self.peers[link.name] = link
            self.replica.next_probe_ms = 0
            self.work_available.set()

    def record_peer(self, link):
        """Record the link to a control host that dialed this one.

        Other processes dial as well; only control hosts send log messages, so
        this is called when one arrives.
        """
        known = self.peers.get(link.name)
        if known is None or not known.connected:
            self.peers[link.name] = link

    def receive(self, link, message):
        """Handle a message of the replicated log."""
        self.record_peer(link)
        if self.failed is None:
            now_ms = clock.now_ms()
            self.quorum_watch.record(message, now_ms)
            self.replica.receive(link.name, message, now_ms)
            self.work_available.set()

    def send(self, host, message):
        """Send a message to another control host if it is connected.

        Nothing is queued for an unreachable host: the log protocol sends lost
        messages again.
        """
        link = self.peers.get(host)
        if link is not None and link.connected:
            self.hub.send_to_all((link,), message)

    # Work.

    def tick(self):
        """Pass the current time to the replica."""
        if self.failed is None:
            now_ms = clock.now_ms()
            self.replica.tick(now_ms)
            self.quorum_watch.check(self.replica, now_ms)
            self.dial_members()
            self.work_available.set()

    async def run_work_loop(self):
        """Process the replica's work until it fails."""
        while self.failed is None:
            await self.work_available.wait()
            self.work_available.clear()
            try:
                await self.work()
            except Exception as error:
                self.fail(error)

    def fail(self, error):
        """Stop the replica: how much of its work was done is not certain.

        Once its process starts again, it goes on from what is on its disk.
        """
        self.failed = error
        self.ticker.stop()
        self.log.error("log: The replica stops after an error.", reason=repr(error))

    async def work(self):
        """Process work until the replica has no more."""
        while self.failed is None:
            if self.replica.must_discard:
                self.restart_with_new_identity()
            work = self.replica.take_work()
            if work is None:
                return
            await self.process_work(work)

    async def process_work(self, work):
        """Make work durable, then send the messages and apply the entries."""
        if needs_disk_write(work):
            await self.hub.loop.run_in_executor(self.disk, self.persist, work)
        if work.ready is not None:
            self.replica.raft.mark_persisted(work.ready)
            for envelope in work.ready.outbox:
                self.send(raft.host_of(envelope.to), envelope.message)
            self.apply(work.ready)
            if self.is_snapshot_due():
                await self.take_snapshot()
        for host, message in work.probes:
            self.send(host, message)
        self.log_leadership_change()

    def persist(self, work):
        """Write what must be durable; runs on the disk thread.

        If a write fails, the work is written again to a new segment every
        `DISK_RETRY_S` until it succeeds or the process stops.
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
                self.log.error(
                    "log: A write to the disk failed; retrying.", reason=str(error)
                )

    def persist_once(self, work):
        """Write the identity and the log records of one piece of work."""
        if work.identity is not None:
            self.journal.write_identity(work.identity)
        if work.ready is not None:
            self.journal.persist(work.ready)

    def apply(self, ready):
        """Restore the snapshot, if any, and apply the committed entries."""
        if ready.snapshot is not None:
            self.machine.restore(ready.snapshot.state)
        for entry in ready.committed:
            self.on_applied(entry, self.machine.apply(entry))
        if ready.committed or ready.snapshot is not None:
            self.on_batch(ready.snapshot is not None)

    def is_snapshot_due(self):
        """Return whether the log is long or large enough for a snapshot."""
        log = self.replica.raft.log
        largest_bytes = max(
            MIN_COMPACTED_BYTES, COMPACTED_SNAPSHOTS * len(log.snapshot_state)
        )
        is_large = log.command_bytes > largest_bytes
        is_long = len(log.entries) > self.settings.snapshot_every
        return (is_large or is_long) and self.machine.index > log.snapshot_index

    async def take_snapshot(self):
        """Save a snapshot of the state and compact the log up to it.

        It is written on the disk thread: a slow disk must not delay heartbeats.
        """
        node = self.replica.raft
        index = self.machine.index
        voters, learners, outgoing = node.log.config_at(index)
        state = self.machine.dump()
        snapshot = snapshots.SnapshotFile(
            index, node.log.term_at(index), voters, learners, state, outgoing
        )
        try:
            await self.hub.loop.run_in_executor(
                self.disk, self.journal.save_snapshot, snapshot
            )
        except errors.DiskFailed as error:
            # The log still holds everything that the snapshot would, so nothing is
            # lost; the next batch of applied entries tries again.
            self.log.error(
                "log: A snapshot could not be written to disk.", reason=str(error)
            )
            return
        node.compact(index, state)
        self.log.info("log: A snapshot was taken.", index=index, bytes=len(state))

    def restart_with_new_identity(self):
        """Restart as a new replica when the disk holds less than was acknowledged.

        The old identity must not vote again, since it lost acknowledged entries.
        """
        self.log.error(
            "log: The disk holds less than this replica acknowledged; "
            "it restarts as a new replica.",
            **dataclasses.asdict(self.replica.regression),
        )
        self.journal.move_aside(clock.wall_ms())
        self.load()

    def log_leadership_change(self):
        """Log when this replica becomes the leader or stops being it."""
        node = self.replica.raft
        leads = node is not None and node.is_leader
        if leads != self.was_leader:
            self.was_leader = leads
            change = "leads" if leads else "no longer leads"
            self.log.info(f"log: This replica {change}.", term=node.term)

    # State for the other parts of the process.

    @property
    def is_leader(self):
        """Whether this replica considers itself the leader; a newer one may exist."""
        node = self.replica.raft
        return self.failed is None and node is not None and node.is_leader

    @property
    def term(self):
        """The latest term known to this host; 0 while the replica is blank."""
        node = self.replica.raft
        return node.term if node is not None else 0

    @property
    def leader_host(self):
        """The host name of the leader; empty if it is unknown."""
        node = self.replica.raft
        return raft.host_of(node.leader) if node is not None and node.leader else ""

    @property
    def stamp(self):
        """The highest leader's stamp known to this host; 0 while blank.

        A leader raises it only while a quorum answers it.
        """
        node = self.replica.raft
        return node.stamp if node is not None else 0

    def propose(self, command):
        """Append a command to the log; return its index and term.

        Returns None if this replica does not lead.
        """
        if not self.is_leader:
            return None
        index = self.replica.raft.propose(command)
        self.work_available.set()
        return index, self.replica.raft.term


def needs_disk_write(work):
    """Return whether any of the work must be written to disk."""
    if work.identity is not None:
        return True
    ready = work.ready
    if ready is None:
        return False
    return bool(ready.entries or ready.hard_state or ready.snapshot)
