"""The servers that have said that they leave, or that they are gone.

What a control host has acknowledged must hold after a loss of all memory: a report from
before that arrives afterwards must not bring the server back. A retirement is therefore
committed before it is acknowledged, and kept for longer than any report is under way.
"""

from brasstrail.core import servers
from brasstrail.protocol import commands, snapshots

RETENTION_MS = 600_000
# More than the servers of the largest installation, each replaced within that time.
MAX_RETIREMENTS = 20_000


class Retirements:
    """The latest retirement of each server.

    Parameters
    ----------
    retirements : `snapshots.Retirement`s, in the order of their times.

    Attributes
    ----------
    by_identity : the retirements, in the order of their times.
    news : those that were not taken with `take_news` yet.
    """

    def __init__(self, retirements=()):
        self.by_identity = {each.record.identity: each for each in retirements}
        self.news = dict(self.by_identity)

    def apply(self, command):
        """Record the servers in a `commands.RetireServers` unless they are older."""
        for record in command.records:
            held = self.by_identity.get(record.identity)
            if held is not None and sort_key(record) < sort_key(held.record):
                continue
            retirement = snapshots.Retirement(record, command.now_ms)
            self.by_identity.pop(record.identity, None)
            self.by_identity[record.identity] = retirement
            self.news[record.identity] = retirement
        self.remove_expired(command.now_ms)
        return commands.Plain(True)

    def remove_expired(self, now_ms):
        """Forget what is older than `RETENTION_MS`, or beyond `MAX_RETIREMENTS`."""
        while self.by_identity:
            identity, oldest = next(iter(self.by_identity.items()))
            is_expired = now_ms - oldest.time_ms > RETENTION_MS
            if not is_expired and len(self.by_identity) <= MAX_RETIREMENTS:
                return
            del self.by_identity[identity]
            self.news.pop(identity, None)

    def covers(self, record):
        """Return whether a record says nothing that is not committed already."""
        held = self.by_identity.get(record.identity)
        if held is None or held.record.born_ms != record.born_ms:
            return False
        if record.ended_by_ms > held.record.ended_by_ms:
            return False
        return is_gone(held.record) or held.record.phase == record.phase

    def take_news(self):
        """Return the retirements since the last call."""
        taken = tuple(self.news.values())
        self.news = {}
        return taken


def is_gone(record):
    """Return whether a record says that its server is gone."""
    return record.phase == servers.ServerPhase.GONE


def sort_key(record):
    """Return the key that orders the retirements of a server."""
    return record.born_ms, is_gone(record), record.sequence
