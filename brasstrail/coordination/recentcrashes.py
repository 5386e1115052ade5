"""Crashes of servers that an entry has seen itself, until its view shows them.

Control hosts record each crash, but an entry's view receives the record later than the
answer that reports the crash. Until then the entry counts what it has seen.
"""

import collections

# A view that is current shows a record within this time.
VALIDITY_MS = 10_000
# Requests whose crashes are kept; the oldest ones are dropped first.
MAX_REQUESTS = 1024


class RecentCrashes:
    """The agents of the servers that crashed lately, by the request's fingerprint.

    >>> crashes = RecentCrashes()
    >>> crashes.record("f", "agent-1", 0)
    >>> crashes.agents("f", VALIDITY_MS), crashes.agents("f", VALIDITY_MS + 1)
    ({'agent-1'}, set())
    """

    def __init__(self):
        self.by_fingerprint = collections.OrderedDict()

    def record(self, fingerprint, agent, now_ms):
        """Record that an agent's server crashed while it ran a request."""
        self.by_fingerprint.setdefault(fingerprint, {})[agent] = now_ms
        self.by_fingerprint.move_to_end(fingerprint)
        while len(self.by_fingerprint) > MAX_REQUESTS:
            self.by_fingerprint.popitem(last=False)

    def agents(self, fingerprint, now_ms):
        """Return the agents whose servers crashed within `VALIDITY_MS`."""
        return {
            agent
            for agent, crashed_ms in self.by_fingerprint.get(fingerprint, {}).items()
            if now_ms - crashed_ms <= VALIDITY_MS
        }

    def forget(self, fingerprint):
        """Forget the crashes of a request that was answered whole."""
        self.by_fingerprint.pop(fingerprint, None)
