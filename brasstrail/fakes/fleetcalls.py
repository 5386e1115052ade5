"""Clients that act as callers and operators of the platform, for tests and the soak."""

import asyncio
import contextlib
import dataclasses
import time

import orjson
from tornado import httpclient

ENGINE_SERVICE = "engine"
PLAIN_SERVICE = "plain"
HOST = "soak.example"
EVENT_END = b"\n\n"
ROUTE_TIMEOUT_S = 6.0
# Routes by name, which is also the path prefix: type, whether a stream may be resumed,
# and service. "look" and "act" have plain answers, "talk" and "tale" event streams.
ROUTES = {
    "look": ("idempotent", False, PLAIN_SERVICE),
    "act": ("non_idempotent", False, PLAIN_SERVICE),
    "talk": ("streaming", False, ENGINE_SERVICE),
    "tale": ("streaming", True, ENGINE_SERVICE),
}
# Each third document makes this route public.
SOMETIMES_PUBLIC_ROUTE = "look"
# The first part of the prompts of each route for streams.
ROUTE_PARTS = {"talk": "f0", "tale": "f1"}


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace of the configuration: its API keys and its allotment of requests.

    `rate_per_s` is in requests per second, `burst` in requests.
    """

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass
class Reply:
    """The result of one request as the caller received it.

    `sent_at` and `ended_at` are Unix times in seconds. `status` 0 means that no
    complete response head was received. `key` is the API key that was sent, `gateway`
    the name of the gateway. `is_sent` is set once the request was written
    to the connection, `is_complete` once the whole response was received. `events` is
    the number of events requested, `query` the query string with its question mark.
    `fatal` names a repeated request that ends its servers, `fatal_part` the part of its
    prompt that does; they are empty otherwise. `prompt` is the list of parts.
    For a stream that is taken up, `after` is the last event that the caller has and
    `resumes` the identity of the request that brought the first one. The caller leaves
    once it has received `leave_after` events, and has then set `has_left`. `stray` is
    what arrived where the size of a chunk was due.
    """

    identity: str
    route: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    retry_after: str = ""
    body: bytes = b""
    is_complete: bool = False
    is_sent: bool = False
    events: int = 0
    query: str = ""
    fatal: str = ""
    prompt: str = ""
    fatal_part: str = ""
    after: int = 0
    resumes: str = ""
    leave_after: int | None = None
    has_left: bool = False
    stray: bytes = b""

    @property
    def stream(self):
        """The identity of the request that began the stream."""
        return self.resumes or self.identity


def make_document(version, workspaces):
    """Return the configuration document with all routes, services and workspaces."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "type": kind,
            "timeout_ms": int(1000 * ROUTE_TIMEOUT_S),
            "goal_ms": 1000,
            "priority": priority,
            "service": service,
            "max_attempts": 2,
            "public": name == SOMETIMES_PUBLIC_ROUTE and version % 3 == 0,
            "resumable": resumable,
            "itl_goal_ms": 500,
        }
        for priority, (name, (kind, resumable, service)) in enumerate(ROUTES.items())
    ]
    runtime = {"slots": 6, "kv_capacity": 100_000, "stride": 5}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": PLAIN_SERVICE, "health_path": "/health", "max_conns": 200},
            {
                "name": ENGINE_SERVICE,
                "health_path": "/health",
                "max_conns": 200,
                "runtime": runtime,
            },
        ],
        "limits": {"idle_timeout_ms": 15_000, "max_body_bytes": 1_000_000},
        "tenants": [
            {
                "name": workspace.name,
                "api_keys": list(workspace.keys),
                "rate_per_s": workspace.rate_per_s,
                "burst": workspace.burst,
            }
            for workspace in workspaces
        ],
    }


async def put_document(address, document, timeout_s, is_cut=False):
    """Send a configuration document once; return the status.

    `document` is a JSON object, or its text. With `is_cut` its last third is missing.
    The status is 599 if no response was received.
    """
    body = document if isinstance(document, bytes) else orjson.dumps(document)
    if is_cut:
        body = body[: 2 * len(body) // 3]
    return (await send_configuration_request(address, "PUT", body, timeout_s)).code


async def read_document(address, timeout_s):
    """Return the JSON object that a control host answers, or None if it has none."""
    reply = await send_configuration_request(address, "GET", None, timeout_s)
    return orjson.loads(reply.body) if reply.code == 200 else None


async def send_configuration_request(address, method, body, timeout_s):
    """Send a configuration request; return the response, with 599 for a failed call."""
    request = httpclient.HTTPRequest(
        f"http://{address}/v1/configuration",
        method=method,
        body=body,
        request_timeout=timeout_s,
        connect_timeout=timeout_s,
    )
    try:
        return await httpclient.AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, httpclient.HTTPError):
        return httpclient.HTTPResponse(request, 599)


class Caller:
    """A caller with one connection, which it reuses as long as possible."""

    def __init__(self):
        self.address = ""
        self.reader = None
        self.writer = None

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, address, reply, events, deadline_s):
        """Send a request and record the outcome in `reply`."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError
        ):
            await asyncio.wait_for(
                self.exchange(address, reply, events, deadline_s), deadline_s
            )
        reply.ended_at = time.time()
        if not reply.is_complete:
            self.close()

    async def exchange(self, address, reply, events, deadline_s):
        """Send the request, on a new connection if needed, and read the response."""
        if address != self.address or self.writer is None:
            self.close()
            host, _, port = address.rpartition(":")
            self.address = address
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        method = "GET" if reply.route == "look" else "POST"
        head = (
            f"{method} /{reply.route}/{events}{reply.query} HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            f"X-Attempt-Id: {reply.identity}\r\n"
            f"X-Deadline-Ms: {int(1000 * deadline_s)}\r\nX-Token-Usage: 200,40\r\n"
            "Content-Length: 0\r\n"
        )
        if reply.key:
            head += f"Authorization: Token {reply.key}\r\n"
        if reply.prompt:
            head += f"X-Prefix-Hash: {reply.prompt}\r\n"
        if reply.after:
            head += f"Last-Event-Id: {reply.after}\r\nResumes: {reply.resumes}\r\n"
        self.writer.write(f"{head}\r\n".encode())
        await self.writer.drain()
        reply.is_sent = True
        await self.read_answer(reply)

    async def read_answer(self, reply):
        """Read a response into `reply`, as it arrives."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *rest = head.split("\r\n")
        headers = {}
        for item in rest:
            name, _, value = item.partition(":")
            headers[name.strip().lower()] = value.strip()
        reply.status = int(line.split()[1])
        reply.retry_after = headers.get("retry-after", "")
        if "content-length" in headers:
            size = int(headers["content-length"])
            reply.body = await self.reader.readexactly(size)
        else:
            while size := await self.read_chunk_size(reply):
                reply.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                if reply.leave_after and reply.body.count(EVENT_END) >= (
                    reply.leave_after
                ):
                    reply.has_left = True
                    return
            await self.reader.readexactly(2)
        reply.is_complete = True
        if headers.get("connection", "").lower() == "close":
            self.close()

    async def read_chunk_size(self, reply):
        """Return the size of the next chunk; record what is none and raise."""
        line = await self.reader.readuntil(b"\r\n")
        try:
            return int(line, 16)
        except ValueError:
            reply.stray = line
            raise
