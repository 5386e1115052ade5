"""A gateway's lease: how long it may act on the keys and routes that it knows.

The lease counts from when the beat that renewed it was sent, on a clock that goes on
while the host is suspended, so that neither a frozen process nor bytes held up on the
way make it last longer. Requests may wait for a lease that is about to come: after a
start of all hosts most callers have one more try each, which a refusal would use up.
"""

import asyncio

from brasstrail.core import clock

# A process that starts with all others has its lease within this time: they start
# within a third of a second of one another, and then elect a leader.
STARTUP_MS = 2000
# A gateway whose lease is older than this does not ask for new callers; it is renewed
# several times a second.
MAX_READY_AGE_MS = 2500


class Lease:
    """The lease of one gateway.

    Parameters
    ----------
    lasts_ms : how long the lease lasts.

    Attributes
    ----------
    renewed_ms : the sending of the beat that renewed it, on the clock of
        `clock.boot_ms`, or None.
    waiting : the futures of requests that wait for it.
    """

    def __init__(self, duration_ms):
        self.duration_ms = duration_ms
        self.started_ms = clock.now_ms()
        self.renewed_ms = None
        self.waiting = set()

    def renew(self, sent_ms):
        """Renew the lease by a beat that was sent at a time and confirmed."""
        self.renewed_ms = max(self.renewed_ms or sent_ms, sent_ms)

    @property
    def age_ms(self):
        """The age of the lease, or None where there was none."""
        if self.renewed_ms is None:
            return None
        return clock.boot_ms() - self.renewed_ms

    @property
    def is_valid(self):
        """Whether what is known of keys and routes may be acted on."""
        return self.renewed_ms is not None and self.age_ms < self.duration_ms

    @property
    def is_fresh(self):
        """Whether the lease is so young that new callers should come."""
        return self.renewed_ms is not None and self.age_ms < MAX_READY_AGE_MS

    @property
    def uptime_ms(self):
        """How long ago the process started."""
        return clock.now_ms() - self.started_ms

    @property
    def is_expected(self):
        """Whether a lease is likely to come soon: after a start, or just lost."""
        if self.uptime_ms < STARTUP_MS:
            return True
        return (
            self.renewed_ms is not None and self.age_ms < self.duration_ms + STARTUP_MS
        )

    async def wait(self, limit_ms):
        """Wait until `wake` is called, or for so long."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.add(waiter)
        try:
            await asyncio.wait_for(waiter, limit_ms / 1000)
        except asyncio.TimeoutError:
            return
        finally:
            self.waiting.discard(waiter)

    def wake_waiters(self):
        """Let the requests go on that wait for the lease."""
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
