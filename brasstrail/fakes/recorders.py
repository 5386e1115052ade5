"""A journal on a simulated disk, and an oracle of what it must hold."""

from brasstrail.coordination import raft
from brasstrail.protocol import messages, snapshots
from brasstrail.state import journal

# Later than the terms of all batches that tests write.
NEXT_TERM = 9


def make_batch(first, last, term, snapshot=None, voted_term=None):
    """Return a `raft.Ready` with the entries from `first` to `last`."""
    entries = tuple(
        messages.Entry(index, term, b"c%d.%d" % (index, term))
        for index in range(first, last + 1)
    )
    state = snapshots.HardState(voted_term, "c1/d") if voted_term else None
    return raft.Ready(state, snapshot, entries, (), ())


def make_snapshot(index, term):
    """Return a snapshot at an index."""
    return snapshots.SnapshotFile(index, term, (), (), b"state %d" % index)


class Recorder:
    """A journal on a simulated disk, and the (index, term) that it must hold.

    `term` is the newest term whose election state was made durable.
    """

    def __init__(self, folder, disk):
        self.folder = folder
        self.disk = disk
        self.held = {}
        self.snapshot_index = 0
        self.term = 0
        self.journal = journal.Journal(folder, disk)

    def restart(self):
        """Start the process again and return what it reads."""
        self.journal.close()
        self.journal = journal.Journal(self.folder, self.disk)
        return self.journal.load()

    def persist(self, batch):
        """Write a batch, which is acknowledged once it is written.

        A leader's entry replaces held ones only if it conflicts with them.
        """
        first = batch.entries[0].index if batch.entries else None
        keeps = batch.snapshot is not None and (
            self.held.get(batch.snapshot.index) == batch.snapshot.term
        )
        if batch.snapshot is not None and not keeps:
            self.held = {}
        elif first is not None and not keeps:
            self.held = {i: t for i, t in self.held.items() if i < first}
        self.journal.persist(batch)
        if batch.hard_state is not None:
            self.term = batch.hard_state.term
        if batch.snapshot is not None:
            self.snapshot_index = batch.snapshot.index
        self.held.update((entry.index, entry.term) for entry in batch.entries)

    def hold(self, loaded):
        """Acknowledge what was read, and append an entry to it."""
        self.held.update((entry.index, entry.term) for entry in loaded.entries)
        self.snapshot_index = loaded.snapshot.index if loaded.snapshot else 0
        last_index = max(self.snapshot_index, *self.held, 0)
        self.persist(make_batch(last_index + 1, last_index + 1, NEXT_TERM))

    def save(self, index, term):
        """Compact the log up to an index."""
        self.journal.save_snapshot(make_snapshot(index, term))
        self.snapshot_index = index

    def check(self, loaded):
        """Raise `AssertionError` if something that was acknowledged is not read."""
        snapshot_index = loaded.snapshot.index if loaded.snapshot else 0
        read = {entry.index: entry.term for entry in loaded.entries}
        assert snapshot_index >= self.snapshot_index, "an older snapshot was read"
        for index, term in self.held.items():
            assert index <= snapshot_index or read.get(index) == term, (
                f"entry {index} of term {term} was acknowledged and is lost"
            )
        assert loaded.hard_state.term >= self.term, "the election state is older"
