"""What other writers and late reports do to a soak, and the checks of it.

In every run another writer reports to the control hosts beside the backend servers: a
service that no document names, values that cannot be passed on or used, or what is no
report at all. It moves on to another control host as servers do.

A `Phantom` is a server of the soak itself that rejects all requests. It is announced,
withdraws, and a report of it from before arrives after all processes were killed.
"""

import asyncio
import contextlib
import time

import orjson
from tornado import httpclient

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck

REPORT_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 1.0
# A control host that reaches no quorum answers so.
NO_QUORUM_STATUS = 503
REJECTION = (
    b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# Fields that replace those of a valid report, or a whole body.
ODD_REPORTS = (
    {"service": "mailer"},
    {"service": "mailer", "sequence": 2**64 - 999},
    {"born": 2**63},
    {"slots": -1},
    {"slots": "4"},
    {"cold_remaining_ms": 1e300},
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:²"},
    {"address": "a..b:80"},
    {"service": "mailer", "address": "nowhere.example:80"},
    {"service": "x" * 5000},
    {"state": "asleep"},
    {"sequence": None},
    b"",
    b"\xff\xfe",
    b"[" * 50_000,
    b'{"born": 1e999}',
)


async def call_control(load, method, identity, body):
    """Send a report, or a withdrawal, to a drawn control host; return the status.

    The status is 599 if there was no answer.
    """
    request = httpclient.HTTPRequest(
        f"http://{load.random.choice(load.controls)}/v1/instances/{identity}",
        method=method,
        body=body,
        request_timeout=CALL_TIMEOUT_S,
        connect_timeout=CALL_TIMEOUT_S,
        allow_nonstandard_methods=True,
    )
    try:
        client = httpclient.AsyncHTTPClient()
        return (await client.fetch(request, raise_error=False)).code
    except (OSError, httpclient.HTTPError):
        return 599


def make_report(address, sequence, changes=()):
    """Return the report of a ready server of the plain service, with some changes."""
    return {
        "service": fleetcalls.PLAIN_SERVICE,
        "address": address,
        "zone": "dc-1",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "born": 1,
        **dict(changes),
    }


async def run_foreign_writer(load):
    """Report as another writer does until the load is stopped."""
    number = 0
    while not load.stopped:
        number += 1
        odd = load.random.choice(ODD_REPORTS)
        body = odd
        if isinstance(odd, dict):
            body = orjson.dumps(make_report("127.0.0.1:9", number, odd))
        status = await call_control(load, "PUT", f"m-{number % 7}", body)
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
            writer.write(REJECTION)
            await writer.drain()
        writer.close()

    async def report(self, sequence):
        """Report as ready; return whether that was acknowledged."""
        body = orjson.dumps(make_report(self.address, sequence))
        return await call_control(self.load, "PUT", self.identity, body) == 200

    async def withdraw(self):
        """Withdraw until that is acknowledged."""
        while not self.load.stopped:
            status = await call_control(self.load, "DELETE", self.identity, None)
            if status == 200:
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
