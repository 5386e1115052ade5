"""The replicated log as a replica holds it in memory.

The log begins after a snapshot. It also knows who replicates it: the voters
and learners of its newest record that names any, or else of the snapshot.
"""


class Log:
    """Records after a snapshot, and the snapshot.

    Parameters
    ----------
    snapshot : `snapshots.SnapshotFile`, or None for a log from the beginning.
    entries : `messages.Entry` records that follow it.
    voters : the first voters, where there is no snapshot.
    """

    def __init__(self, snapshot=None, entries=(), voters=()):
        self.snapshot_index = snapshot.index if snapshot else 0
        self.snapshot_term = snapshot.term if snapshot else 0
        self.snapshot_voters = snapshot.voters if snapshot else tuple(voters)
        self.snapshot_learners = snapshot.learners if snapshot else ()
        self.snapshot_state = snapshot.state if snapshot else b""
        self.entries = list(entries)
        self.config_entries = [entry for entry in self.entries if entry.voters]

    @property
    def last_index(self):
        """The index of the last record."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self):
        """The term of the last record."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def config_entry(self):
        """The newest record that names replicas, or None."""
        return self.config_entries[-1] if self.config_entries else None

    @property
    def config_index(self):
        """The index of the newest record that names replicas."""
        entry = self.config_entry
        return entry.index if entry else self.snapshot_index

    @property
    def voters(self):
        """The replicas that vote."""
        entry = self.config_entry
        return entry.voters if entry else self.snapshot_voters

    @property
    def learners(self):
        """The replicas that hold the log without voting."""
        entry = self.config_entry
        return entry.learners if entry else self.snapshot_learners

    def term_at(self, index):
        """Return the term of a record, or None where there is none."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def matches(self, index, term):
        """Return whether the log holds the record of that index and term."""
        if index < self.snapshot_index:
            return True
        return self.term_at(index) == term

    def slice(self, start, count):
        """Return up to `count` records from `start`; None sets no bound."""
        offset = max(0, start - self.snapshot_index - 1)
        end = None if count is None else offset + max(0, count)
        return tuple(self.entries[offset:end])

    def append(self, entry):
        """Put a record at the end."""
        self.entries.append(entry)
        if entry.voters:
            self.config_entries.append(entry)

    def truncate(self, index):
        """Drop the record at `index` and all after it."""
        del self.entries[max(0, index - self.snapshot_index - 1) :]
        self.config_entries = [
            entry for entry in self.config_entries if entry.index < index
        ]

    def config_at(self, index):
        """Return the voters and the learners as of the record at `index`."""
        for entry in reversed(self.config_entries):
            if entry.index <= index:
                return entry.voters, entry.learners
        return self.snapshot_voters, self.snapshot_learners

    def compact(self, index, state):
        """Drop the records up to `index`, whose outcome is `state`."""
        if index <= self.snapshot_index:
            return
        voters, learners = self.config_at(index)
        term = self.term_at(index)
        del self.entries[: index - self.snapshot_index]
        self.config_entries = [
            entry for entry in self.config_entries if entry.index > index
        ]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_voters = voters
        self.snapshot_learners = learners
        self.snapshot_state = state

    def restore(self, message):
        """Become what an `InstallSnapshot` message holds."""
        if self.term_at(message.index) == message.index_term:
            self.compact(message.index, message.state)
            return
        self.entries = []
        self.config_entries = []
        self.snapshot_index = message.index
        self.snapshot_term = message.index_term
        self.snapshot_voters = message.voters
        self.snapshot_learners = message.learners
        self.snapshot_state = message.state
