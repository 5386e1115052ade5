"""Callers that come together and leave together, and the checks of what they leave.

A crowd sends more requests to one gateway than its servers have places for, each on a
connection of its own. It leaves at one moment, or its gateway is asked to stop while
most of the crowd waits.
"""

import asyncio
import re

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck, soakload

CROWD_SIZE = 72
# The events of a stream of a crowd: its servers take some seconds for them.
CROWD_EVENTS = 60
# When a crowd leaves after it has come.
STAY_S = (0.3, 1.2)
# Log lines of faults within a process.
INTERNAL_ERRORS = re.compile(
    "A callback failed|failed within|failed with an internal error"
    "|had no owner and was freed|stops after an error"
)


class Crowd:
    """Callers with a connection each, at one gateway."""

    def __init__(self, load, gateway, size=CROWD_SIZE):
        self.load = load
        self.gateway = gateway
        self.callers = [fleetcalls.Caller() for _ in range(size)]
        self.replies = []
        self.tasks = []

    def come(self):
        """Send a request on each connection."""
        for caller in self.callers:
            route = self.load.random.choice(("talk", "tale"))
            reply = self.load.make_reply(route, "key-steady", self.gateway)
            reply.events = CROWD_EVENTS
            reply.query = f"?number={self.load.number}"
            self.replies.append(reply)
            self.tasks.append(asyncio.ensure_future(self.call(caller, reply)))
        self.load.observations.replies.extend(self.replies)

    async def call(self, caller, reply):
        """Send one request; its caller leaves when the task is cancelled."""
        try:
            await caller.call(
                self.load.gateways[self.gateway],
                reply,
                reply.events,
                soakload.CALL_DEADLINE_S,
            )
        finally:
            caller.close()

    def leave(self):
        """Close all connections at once."""
        for reply, task in zip(self.replies, self.tasks, strict=True):
            reply.has_left = not task.done()
            task.cancel()

    async def wait(self):
        """Wait until all callers have left or have an answer."""
        await asyncio.wait(self.tasks)


def read_internal_errors(folder):
    """Return (process, line) of the faults within processes that their logs tell."""
    return [
        (path.stem, line[:200])
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if INTERNAL_ERRORS.search(line)
    ]


@soakcheck.check("no process fails within")
def find_internal_errors(observations):
    """Find what the logs tell of errors that no fault accounts for."""
    yield from observations.internal_errors
