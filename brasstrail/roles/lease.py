"""A gateway's lease: how long the gateway may use its copy of keys and routes.

The copy is the catalog, decoded from the operators' document. The lease counts from the
time at which the heartbeat that renewed it was sent. The clock continues while the host
is suspended. Neither a frozen process nor network delay therefore extends the lease.
Requests may wait for a lease that is expected soon: after a restart of all hosts most
callers have only one more retry, which a refusal would use up.
"""

import asyncio

from brasstrail.core import clock

# When all hosts start together, each gateway has its lease within this time: they
# start within a third of a second of one another, and then elect a leader.
STARTUP_MS = 2000
# A gateway whose lease is older than this reports that it is not ready for requests.
# The lease is normally renewed several times a second.
MAX_READY_AGE_MS = 2500


class Lease:
    """The lease of one gateway.

    Parameters
    ----------
    duration_ms : how long the lease is valid after a renewal.

    Attributes
    ----------
    renewed_ms : when the heartbeat that last renewed the lease was sent, on the
        clock of `clock.boot_ms`; None before the first renewal.
    waiting : the futures of the requests that wait for the lease.
    """

    def __init__(self, duration_ms):
        self.duration_ms = duration_ms
        self.started_ms = clock.now_ms()
        self.renewed_ms = None
        self.waiting = set()

    def renew(self, sent_ms):
        """Renew the lease with a confirmed heartbeat that was sent at `sent_ms`."""
        self.renewed_ms = max(self.renewed_ms or sent_ms, sent_ms)

    @property
    def age_ms(self):
        """The age of the lease in milliseconds, or None if it was never renewed."""
        if self.renewed_ms is None:
            return None
        return clock.boot_ms() - self.renewed_ms

    @property
    def is_valid(self):
        """Whether the gateway may use its copy of keys and routes."""
        return self.renewed_ms is not None and self.age_ms < self.duration_ms

    @property
    def is_fresh(self):
        """Whether the lease is recent enough to report the gateway as ready."""
        return self.renewed_ms is not None and self.age_ms < MAX_READY_AGE_MS

    @property
    def uptime_ms(self):
        """The time since the process started, in milliseconds."""
        return clock.now_ms() - self.started_ms

    @property
    def is_expected(self):
        """Whether a lease is likely soon: just after startup, or just after expiry."""
        if self.uptime_ms < STARTUP_MS:
            return True
        return (
            self.renewed_ms is not None and self.age_ms < self.duration_ms + STARTUP_MS
        )

    async def wait(self, limit_ms):
        """Wait until `wake_waiters` is called, or for `limit_ms` milliseconds."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.add(waiter)
        try:
            await asyncio.wait_for(waiter, limit_ms / 1000)
        except asyncio.TimeoutError:
            return
        finally:
            self.waiting.discard(waiter)

    def wake_waiters(self):
        """Resume the requests that wait for the lease."""
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
