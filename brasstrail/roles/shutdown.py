"""The planned stop of a gateway.

A gateway that is told to stop has a grace period, at the end of which its process is
killed. It says at once that it is not ready, accepts requests for as long as callers
may still be routed to it, and passes on only what can be expected to end in time. What
waits for a server is refused while its caller can still go elsewhere, and what has no
answer shortly before the end gets one that is true. Nothing is left without an answer,
and connections are closed once answers have been sent, not only made.
The other gateways are told last what this one has spent.
"""

import asyncio
import math

from brasstrail.core import clock

# Two readiness checks one second apart, plus the time of one response.
ACCEPT_MS = 2600
# Before the end of the grace period: all connections are closed, and before that the
# requests that still run are answered.
CLOSE_MARGIN_MS = 400
ANSWER_MARGIN_MS = 200
POLL_INTERVAL_S = 0.05
# A plain request may take this multiple of the mean service time.
PLAIN_SERVICE_TIMES = 3.0


class Shutdown:
    """The planned stop of one gateway.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    since_ms : when the gateway was told to stop, or None.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.log = gateway.log
        self.since_ms = None

    @property
    def is_begun(self):
        """Whether the gateway was told to stop."""
        return self.since_ms is not None

    @property
    def close_ms(self):
        """When all connections are closed; never before a stop."""
        if self.since_ms is None:
            return math.inf
        return self.since_ms + 1000 * self.gateway.settings.grace_s - CLOSE_MARGIN_MS

    @property
    def answer_ms(self):
        """When the requests that still run are answered; never before a stop."""
        return self.close_ms - ANSWER_MARGIN_MS

    @property
    def accepts_requests(self):
        """Whether new requests are accepted."""
        if self.since_ms is None:
            return True
        now_ms = clock.now_ms()
        return now_ms - self.since_ms < ACCEPT_MS and now_ms < self.answer_ms

    @property
    def has_unsent_answers(self):
        """Whether answers are still being made or sent.

        The task of a request ends when its answer has been buffered; a slow caller
        takes seconds to receive it.
        """
        return bool(self.gateway.running) or self.gateway.http.is_sending

    def latest_start_ms(self, work):
        """Return until when a `pool.Work` may be passed on so that it ends in time."""
        if self.since_ms is None:
            return math.inf
        pool = self.gateway.pool
        expected_ms = pool.expected_answer_ms(work, clock.now_ms())
        if pool.engines.get(work.service) is None:
            expected_ms *= PLAIN_SERVICE_TIMES
        return self.answer_ms - expected_ms

    async def run(self):
        """Stop the gateway; return once all answers have been sent."""
        gateway = self.gateway
        self.since_ms = clock.now_ms()
        self.log.info(
            "shutdown: Stopping.",
            running=len(gateway.running),
            waiting=len(gateway.waiters),
        )
        await self.wait_while(lambda: self.accepts_requests)
        gateway.http.stop()
        await self.wait_while(
            lambda: gateway.running and clock.now_ms() < self.answer_ms
        )
        unfinished = list(gateway.running.items())
        self.log.info("shutdown: Closing.", unfinished=len(unfinished))
        for task, request in unfinished:
            request.is_shut_down = True
            task.cancel()
        await self.wait_while(
            lambda: self.has_unsent_answers and clock.now_ms() < self.close_ms
        )
        self.log.info("shutdown: Closed.", cut=gateway.http.is_sending)
        gateway.gossip.send_all()
        await gateway.http.close_all_connections()

    async def wait_while(self, condition):
        """Wait while a condition holds; refuse what can no longer end in time."""
        while condition():
            self.refuse_late_waits()
            await asyncio.sleep(POLL_INTERVAL_S)

    def refuse_late_waits(self):
        """End the waits of requests that no server could answer in time any more."""
        now_ms = clock.now_ms()
        for ticket, (work, waiter) in list(self.gateway.waiters.items()):
            if now_ms > self.latest_start_ms(work):
                self.gateway.expire_wait(ticket, waiter)
