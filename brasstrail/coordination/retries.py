"""The budget of second sendings, kept by each gateway from its own requests.

Sums over all gateways keep to the bound because each gateway spends only a part
that its own requests earn, and an even part of the fixed slack.
"""

import collections

# What is kept of the stated bound for gateways that start again within a window.
BOUND_FRACTION = 0.8
# A gateway that has not been told takes itself for one of so many.
ASSUMED_GATEWAY_COUNT = 10


class RetryBudget:
    """The second sendings that one gateway may still make to a service.

    Parameters
    ----------
    settings : `settings.GatewayRole`, which holds ratio, slack and window.
    """

    def __init__(self, settings):
        self.ratio = settings.retry_ratio * BOUND_FRACTION
        self.slack = settings.retry_slack * BOUND_FRACTION
        self.window_ms = 1000 * settings.retry_window_s
        self.gateway_count = ASSUMED_GATEWAY_COUNT
        self.requests = collections.defaultdict(collections.deque)
        self.retries = collections.defaultdict(collections.deque)

    def record_request(self, service, now_ms):
        """Count a request for a service."""
        self.prune_expired(self.requests[service], now_ms).append(now_ms)

    def acquire(self, service, now_ms):
        """Count a second sending if there is room; return whether there was."""
        if not self.has_room(service, now_ms):
            return False
        self.retries[service].append(now_ms)
        return True

    def has_room(self, service, now_ms):
        """Return whether one more second sending is within the budget."""
        requests = self.prune_expired(self.requests[service], now_ms)
        recent_retries = self.prune_expired(self.retries[service], now_ms)
        allowed = self.ratio * len(requests) + self.slack / self.gateway_count
        return len(recent_retries) + 1 <= allowed

    def prune_expired(self, times, now_ms):
        """Drop the times that lie before the window and return the rest."""
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return times
