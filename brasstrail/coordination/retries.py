"""The retry budget, which each gateway computes from its own requests.

The retries of all gateways together keep to the bound because each gateway may retry
only a fraction of its own requests, plus an even part of the fixed slack.

After a start or a loss of control hosts, gateways are told of too few others for some
seconds. A lower number of gateways therefore applies only after a whole window, as a
higher one counted in the retries that the window still holds.
"""

import collections

# Fraction of the stated bound that is used. The rest is reserved for gateways that
# restart within a window and so lose their counts.
BOUND_FRACTION = 0.8
# Number of gateways assumed until the control hosts have reported it.
ASSUMED_GATEWAY_COUNT = 10


class RetryBudget:
    """The retries that one gateway may make, for each service.

    Parameters
    ----------
    settings : `settings.GatewayRole`, which holds the permitted retries for each
        request (ratio), the permitted retries of all gateways beyond that (slack),
        and the window in which both are counted.

    Attributes
    ----------
    gateway_count : how many gateways there are by the last report.
    former_counts : (count, time until which it still applies) of earlier reports.
    requests : the times of the requests in the window, by service.
    retries : the times of the retries in the window, by service.
    """

    def __init__(self, settings):
        self.ratio = settings.retry_ratio * BOUND_FRACTION
        self.slack = settings.retry_slack * BOUND_FRACTION
        self.window_ms = 1000 * settings.retry_window_s
        self.gateway_count = ASSUMED_GATEWAY_COUNT
        self.former_counts = []
        self.requests = collections.defaultdict(collections.deque)
        self.retries = collections.defaultdict(collections.deque)

    def set_gateway_count(self, count, now_ms):
        """Record a report of how many gateways there are."""
        if count == self.gateway_count:
            return
        self.remove_expired_counts(now_ms)
        self.former_counts.append((self.gateway_count, now_ms + self.window_ms))
        self.gateway_count = count

    def sharing_gateways(self, now_ms):
        """Return by how many gateways the slack is divided."""
        self.remove_expired_counts(now_ms)
        former = (count for count, _ in self.former_counts)
        return max(self.gateway_count, *former, 1)

    def remove_expired_counts(self, now_ms):
        """Remove the counts that no longer apply."""
        self.former_counts = [each for each in self.former_counts if each[1] > now_ms]

    def record_request(self, service, now_ms):
        """Count a request for a service."""
        self.prune_expired(self.requests[service], now_ms).append(now_ms)

    def acquire(self, service, now_ms):
        """Count a retry if the budget allows it; return whether it does."""
        if not self.allows_retry(service, now_ms):
            return False
        self.retries[service].append(now_ms)
        return True

    def refund(self, service, charged_ms):
        """Take a retry that was not made out of the count.

        `charged_ms` is when it was counted.
        """
        if charged_ms in self.retries[service]:
            self.retries[service].remove(charged_ms)

    def allows_retry(self, service, now_ms):
        """Return whether one more retry is within the budget."""
        recent_retries = self.prune_expired(self.retries[service], now_ms)
        return len(recent_retries) + 1 <= self.allowance(service, now_ms)

    def allowance(self, service, now_ms):
        """Return how many retries this gateway may make in the present window."""
        requests = self.prune_expired(self.requests[service], now_ms)
        return self.ratio * len(requests) + self.slack / self.sharing_gateways(now_ms)

    def prune_expired(self, times, now_ms):
        """Remove the times that lie before the window; return the remaining ones."""
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return times
