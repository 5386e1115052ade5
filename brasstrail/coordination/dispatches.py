"""An agent's record of dispatches, which prevents running one twice.

For one incarnation of the agent, it determines whether a dispatch may be started,
and whether it is certain that a dispatch was not started and never will be.
"""

import collections

MAX_REMEMBERED_DISPATCHES = 200_000

OTHER_INCARNATION = "it was meant for an earlier incarnation"
REVOKED = "it was revoked"
ALREADY_STARTED = "it was started already"


class DispatchHistory:
    """The dispatches that one incarnation has started or revoked.

    Parameters
    ----------
    incarnation : the incarnation of the agent.
    max_remembered : the number of started dispatches that are kept. After the
        first one is evicted, no dispatch can be revoked any more.
    """

    def __init__(self, incarnation, max_remembered=MAX_REMEMBERED_DISPATCHES):
        self.incarnation = incarnation
        self.max_remembered = max_remembered
        self.started = collections.OrderedDict()
        self.revoked = set()
        self.has_forgotten = False

    def rejection_reason(self, dispatch_id, incarnation):
        """Return the reason why a dispatch must not be started, or None."""
        if incarnation != self.incarnation:
            return OTHER_INCARNATION
        if dispatch_id in self.revoked:
            return REVOKED
        if dispatch_id in self.started:
            return ALREADY_STARTED
        return None

    def record_started(self, dispatch_id):
        """Record a started dispatch."""
        self.started[dispatch_id] = True
        if len(self.started) > self.max_remembered:
            self.started.popitem(last=False)
            self.has_forgotten = True

    def revoke_if_unstarted(self, dispatch_id, incarnation):
        """Revoke a dispatch unless it may have been started.

        Return whether it is certain that the dispatch was not started and never
        will be. This is never certain for another incarnation, because this
        incarnation has no record of what an earlier one started.
        """
        if incarnation != self.incarnation or self.has_forgotten:
            return False
        if dispatch_id in self.started:
            return False
        self.revoked.add(dispatch_id)
        return True
