"""What other writers and late reports do to a soak, and the checks of it.

In every run another writer reports to the control hosts beside the backend servers: a
service that no document names, values that cannot be passed on or used, or what is no
report at all, in part at the address of a server that runs. It moves on to another
control host as servers do.

A `Phantom` is a server of the soak itself that rejects all requests. It is announced,
withdraws, and a report of it from before arrives after all processes were killed.
"""

import asyncio
import contextlib
import time

import orjson

from brasstrail.fakes import foreign
from brasstrail.tools import soakcheck

REPORT_INTERVAL_S = 0.4
UNUSED_ADDRESS = "127.0.0.1:9"
# The fraction of reports that claim the address of a server that runs.
CLAIM_FRACTION = 0.5


async def run_foreign_writer(load):
    """Report as another writer does until the load is stopped."""
    number = 0
    while not load.stopped:
        number += 1
        odd = load.random.choice(foreign.ODD_REPORTS)
        address = UNUSED_ADDRESS
        if load.random.random() < CLAIM_FRACTION:
            odd = load.random.choice(foreign.CLAIMS)
            address = load.random.choice(load.server_addresses)
        body = odd
        if isinstance(odd, dict):
            born_ms = load.random.choice((1, int(time.time() * 1000)))
            changes = {"born": born_ms, **odd}
            body = orjson.dumps(foreign.make_report(address, number, changes))
        control = load.random.choice(load.controls)
        status = await foreign.call_control(control, "PUT", f"m-{number % 7}", body)
        load.observations.foreign_reports.append((time.time(), status, repr(odd)[:60]))
        await asyncio.sleep(load.random.uniform(0.5, 1.5) * REPORT_INTERVAL_S)


@soakcheck.check("another writer's report is refused or ignored")
def find_failed_reports(observations):
    """Find reports that a control host answered with an internal error."""
    for at, status, odd in observations.foreign_reports:
        if status == 500:
            yield at, status, odd


class Phantom:
    """A server of the soak that rejects all requests.

    `arrivals` are the times at which requests came, `withdrawn_at` is when its
    withdrawal was acknowledged, or None.
    """

    def __init__(self, load, identity):
        self.load = load
        self.identity = identity
        self.server = None
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self.arrivals = []
        self.withdrawn_at = None

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.reject, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def reject(self, reader, writer):
        """Reject the requests of a connection; each is counted."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"GET /v1/report "):
                self.arrivals.append(time.time())
            writer.write(foreign.REJECTION)
            await writer.drain()
        writer.close()

    async def report(self, sequence):
        """Report as ready; return whether that was acknowledged."""
        start = {"born": self.born_ms}
        body = orjson.dumps(foreign.make_report(self.address, sequence, start))
        return await self.call_control("PUT", body) == 200

    async def call_control(self, method, body):
        """Tell a drawn control host of this server; return the status."""
        control = self.load.random.choice(self.load.controls)
        return await foreign.call_control(control, method, self.identity, body)

    async def withdraw(self):
        """Withdraw until that is acknowledged."""
        while not self.load.stopped:
            if await self.call_control("DELETE", None) == 200:
                self.withdrawn_at = time.time()
                return
            await asyncio.sleep(0.1)


@soakcheck.check("a server that has withdrawn stays out")
def find_requests_to_withdrawn(observations):
    """Find requests to a `Phantom` later than the limit after its withdrawal."""
    for phantom in observations.phantoms:
        if phantom.withdrawn_at is None:
            continue
        end_at = phantom.withdrawn_at + soakcheck.DRAIN_LIMIT_S
        late = [at for at in phantom.arrivals if at > end_at]
        if late:
            yield phantom.identity, len(late), late[0] - phantom.withdrawn_at
