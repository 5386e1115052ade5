"""The in-memory form of the replicated log on one replica.

The log holds the entries that follow a snapshot. It also determines the current
voters and learners: those of its latest configuration entry or, if it holds
none, those of the snapshot. During a joint change, the outgoing voters are those
before it.
"""


class Log:
    """A snapshot and the entries that follow it.

    An entry that lists voters is a configuration entry.

    Parameters
    ----------
    snapshot : `snapshots.SnapshotFile`, or None for a log that starts at index 1.
    entries : the `messages.Entry` records that follow the snapshot.
    voters : the initial voters, used if there is no snapshot.

    Attributes
    ----------
    command_bytes : the bytes of the commands of all entries.
    """

    def __init__(self, snapshot=None, entries=(), voters=()):
        self.snapshot_index = snapshot.index if snapshot else 0
        self.snapshot_term = snapshot.term if snapshot else 0
        self.snapshot_voters = snapshot.voters if snapshot else tuple(voters)
        self.snapshot_learners = snapshot.learners if snapshot else ()
        self.snapshot_outgoing = snapshot.outgoing if snapshot else ()
        self.snapshot_state = snapshot.state if snapshot else b""
        self.entries = list(entries)
        self.command_bytes = count_bytes(self.entries)
        self.config_entries = [entry for entry in self.entries if entry.voters]

    @property
    def last_index(self):
        """The index of the last entry, or of the snapshot if there is none."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self):
        """The term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def config_entry(self):
        """The latest configuration entry, or None."""
        return self.config_entries[-1] if self.config_entries else None

    @property
    def config_index(self):
        """The index of the latest configuration entry, or of the snapshot."""
        entry = self.config_entry
        return entry.index if entry else self.snapshot_index

    @property
    def voters(self):
        """The replicas that have a vote."""
        entry = self.config_entry
        return entry.voters if entry else self.snapshot_voters

    @property
    def learners(self):
        """The replicas that hold the log but have no vote."""
        entry = self.config_entry
        return entry.learners if entry else self.snapshot_learners

    @property
    def outgoing(self):
        """The voters before a joint change; empty if none is in progress."""
        entry = self.config_entry
        return entry.outgoing if entry else self.snapshot_outgoing

    def term_at(self, index):
        """Return the term at an index, or None if the log holds no such entry."""
        if index == self.snapshot_index:
            return self.snapshot_term
        offset = index - self.snapshot_index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def matches(self, index, term):
        """Return whether the log holds the entry with this index and term.

        An index before the snapshot always matches.
        """
        if index < self.snapshot_index:
            return True
        return self.term_at(index) == term

    def slice(self, start, count):
        """Return up to `count` entries from index `start`; None means no limit."""
        offset = max(0, start - self.snapshot_index - 1)
        end = None if count is None else offset + max(0, count)
        return tuple(self.entries[offset:end])

    def append(self, entry):
        """Append an entry."""
        self.entries.append(entry)
        self.command_bytes += len(entry.command)
        if entry.voters:
            self.config_entries.append(entry)

    def truncate(self, index):
        """Remove the entry at `index` and all later ones."""
        first = max(0, index - self.snapshot_index - 1)
        self.command_bytes -= count_bytes(self.entries[first:])
        del self.entries[first:]
        self.config_entries = [
            entry for entry in self.config_entries if entry.index < index
        ]

    def config_at(self, index):
        """Return voters, learners and outgoing voters as of the entry at `index`."""
        for entry in reversed(self.config_entries):
            if entry.index <= index:
                return entry.voters, entry.learners, entry.outgoing
        return self.snapshot_voters, self.snapshot_learners, self.snapshot_outgoing

    def compact(self, index, state):
        """Replace the entries up to `index` by a snapshot whose state is `state`."""
        if index <= self.snapshot_index:
            return
        voters, learners, outgoing = self.config_at(index)
        term = self.term_at(index)
        count = index - self.snapshot_index
        self.command_bytes -= count_bytes(self.entries[:count])
        del self.entries[:count]
        self.config_entries = [
            entry for entry in self.config_entries if entry.index > index
        ]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_voters = voters
        self.snapshot_learners = learners
        self.snapshot_outgoing = outgoing
        self.snapshot_state = state

    def restore(self, message):
        """Replace the log with the snapshot of an `InstallSnapshot` message.

        Entries after the snapshot are kept if the log holds its last entry.
        """
        if self.term_at(message.index) == message.index_term:
            self.compact(message.index, message.state)
            return
        self.entries = []
        self.command_bytes = 0
        self.config_entries = []
        self.snapshot_index = message.index
        self.snapshot_term = message.index_term
        self.snapshot_voters = message.voters
        self.snapshot_learners = message.learners
        self.snapshot_outgoing = message.outgoing
        self.snapshot_state = message.state


def count_bytes(entries):
    """Return the bytes of the commands of some entries."""
    return sum(len(entry.command) for entry in entries)
