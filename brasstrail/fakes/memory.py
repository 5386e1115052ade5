"""A platform in memory: gateways, backend servers and callers without a network.

`Platform` drives the code of real gateways. Connections to servers and datagrams of
gateways are objects, and datagrams are delivered only by `Platform.exchange`, so that a
test decides what each gateway knows. The answers of servers are framed by a length, by
chunks and by their connection in turn. The events of a stream state the version of the
server that made them.

The query of a request's target steers what happens. `count=N` sets the number of
events, `break=N` breaks each run off within the event after its first N, and `leave=N`
makes the caller leave after N events. `end=NAME` ends each server that begins to run
the request, in the way that `ENDINGS` registers under the name; `only=WORKSPACE` limits
this to a workspace. With `call=TARGET` the run first sends a request to a gateway.

A request with one of `Platform.fatal_parts` in its prompt, except as the last part,
ends each server that begins to run it, too.
"""

import asyncio
import itertools
import logging
import re
import types
import urllib.parse

import orjson
import structlog
from tornado import httputil, iostream

from brasstrail.core import clock
from brasstrail.protocol import messages
from brasstrail.roles import gateway, gossip, hub, metrics
from brasstrail.settings import settings
from brasstrail.state import documents
from brasstrail.transport import upstream

HOST = "h"
REPORT_PATH = "/v1/report"
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# How long the servers have been listed when a gateway starts, unless a test says less.
LISTED_MS = 3_600_000
POLL_INTERVAL_S = 0.005
STREAM_EVENTS = 3


class Server:
    """A backend server. `runs` are the attempt ids of all runs, over all starts.

    `version` is that of its software. `limit` is the limit that it names in its
    answers, as text, or None. `arrivals` are the times at which requests came.
    While `rest` is a text the server turns requests away and asks for that much rest;
    the items of `rests` are used up first. `asked` holds (gateway, time, seconds) of
    each answer that asked for rest, `visits` (gateway, time) of each request. While
    `says_leaving` the server says so in each answer. `load` is the load report in its
    answers, as text, or None, and `stated_identity` the identity in them, or None.
    """

    def __init__(self, platform, identity, service, version):
        self.platform = platform
        self.identity = identity
        self.service = service
        self.version = version
        number = len(platform.servers)
        self.address = f"10.0.{number // 256}.{number % 256}:1"
        self.born_ms = 0
        self.is_up = False
        self.runs = []
        self.limit = None
        self.arrivals = []
        self.rest = None
        self.rests = []
        self.asked = []
        self.visits = []
        self.says_leaving = False
        self.load = None
        self.stated_identity = None
        self.connections = set()
        self.gate = asyncio.Event()
        self.gate.set()

    def start(self, version=None, is_announced=True):
        """Begin a new start, with another version if one is given, and announce it."""
        self.born_ms = next(self.platform.starts)
        self.version = self.version if version is None else version
        self.is_up = True
        if is_announced:
            self.platform.announce(self, "ready")

    def end(self, is_reset=False):
        """End: all connections are closed, or reset, whatever was sent on them."""
        self.is_up = False
        for connection in list(self.connections):
            connection.break_off(is_reset)


class Connection:
    """A connection to a server; the interface is that of `upstream.Upstream`.

    `framing` is the `upstream.Framing` of its answers.
    """

    def __init__(self, server, gateway=""):
        self.server = server
        self.gateway = gateway
        self.address = server.address
        self.on_interim = None
        self.attempt_id = ""
        self.requests_sent = 0
        self.chunks = asyncio.Queue()
        self.runner = None
        self.framing = None
        self.is_stream = False
        self.head_sent = False
        self.end = None
        self.opened_ms = clock.now_ms()
        server.connections.add(self)

    def send(self, method, target, headers, body):
        """Send a request; the server runs it in a task of its own."""
        self.requests_sent += 1
        if target == REPORT_PATH:
            return self.report()
        self.framing = next(self.server.platform.framings)
        self.attempt_id = headers["X-Attempt-Id"]
        self.runner = asyncio.ensure_future(self.run(target, headers))

    def report(self):
        """Answer when the server started."""
        if not self.server.is_up:
            return self.break_off()
        self.framing = upstream.Framing.LENGTH
        self.send_head(200)
        self.chunks.put_nowait(orjson.dumps({"born": self.server.born_ms}))
        self.finish()

    def is_ready_for_next(self):
        """Return whether another request may be sent."""
        return self.server.is_up

    async def run(self, target, headers):
        """Run a request as the server does."""
        server = self.server
        if not server.is_up:
            return self.break_off()
        server.arrivals.append(clock.now_ms())
        server.visits.append((self.gateway, clock.now_ms()))
        if server.says_leaving and "interim" in target:
            headers = httputil.HTTPHeaders({"Server-Leaving": "1"})
            start_line = httputil.ResponseStartLine("HTTP/1.1", 103, "")
            if self.on_interim is not None:
                self.on_interim(start_line, headers)
            return self.break_off()
        rest = server.rests.pop(0) if server.rests else server.rest
        if rest is not None:
            return self.ask_for_rest(rest)
        expected = headers.get("X-Expected-Instance", server.identity)
        if expected != server.identity:
            self.send_head(421)
            return self.finish()
        server.runs.append(self.attempt_id)
        self.is_stream = server.platform.is_stream(target)
        query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
        if "call" in query:
            await server.platform.call(server.platform.names[0], query["call"])
        if (
            "end" in query
            and query.get("only", headers["X-Tenant-Id"]) == (headers["X-Tenant-Id"])
        ):
            return await ENDINGS[query["end"]](self)
        *shared, _ = headers.get("X-Prefix-Hash", "").split(",")
        for part in shared:
            ending = server.platform.fatal_parts.get(part.partition(":")[0])
            if ending:
                return await ENDINGS[ending](self)
        await server.gate.wait()
        self.send_head(500 if "fail" in target else 200)
        after = int(headers.get("Last-Event-Id", 0))
        last = int(query.get("count", STREAM_EVENTS))
        broken_after = after + int(query.get("break", last))
        for number in range(after + 1, last + 1):
            if number > broken_after:
                self.chunks.put_nowait(b"id: %d\nda" % number)
                return self.break_off(is_reset=number % 2 == 0)
            event = b"id: %d\ndata: %s\n\n" % (number, server.version.encode())
            self.chunks.put_nowait(event)
        self.finish()

    def ask_for_rest(self, rest):
        """Turn the request away; `rest` holds the times, one a line."""
        texts = rest.split("\n")
        seconds = max((float(each) for each in texts if is_time(each)), default=0.0)
        self.server.asked.append((self.gateway, clock.now_ms(), seconds))
        self.send_head(
            503, [("X-Not-Executed", "1")] + [("Retry-After", each) for each in texts]
        )
        self.finish()

    def send_head(self, status, more=()):
        """Send the head of an answer, with more headers."""
        self.head_sent = True
        headers = httputil.HTTPHeaders({"X-Attempt-Id": self.attempt_id})
        for name, value in more:
            headers.add(name, value)
        if self.server.says_leaving:
            headers["Server-Leaving"] = "1"
        headers["X-Server-Signature"] = self.server.identity
        headers["Connection"] = "close"
        if self.server.limit is not None:
            headers["Server-Limit"] = self.server.limit
        if self.server.load is not None:
            headers["X-Server-Load"] = self.server.load
        if self.server.stated_identity is not None:
            headers["X-Instance-Id"] = self.server.stated_identity
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, "x")
        self.chunks.put_nowait((start_line, headers))

    def finish(self):
        """End the answer according to its framing."""
        is_closed = self.framing is upstream.Framing.CONNECTION
        self.end = upstream.AnswerEnd.CLOSED if is_closed else upstream.AnswerEnd.WHOLE
        self.chunks.put_nowait(None)

    def break_off(self, is_reset=False):
        """Close or reset the connection, whatever was sent of the answer."""
        is_framed = self.framing is not upstream.Framing.CONNECTION
        if is_reset or is_framed or not self.head_sent:
            self.end = (
                upstream.AnswerEnd.RESET if is_reset else upstream.AnswerEnd.CLOSED
            )
            self.chunks.put_nowait(upstream.AnswerIncomplete("closed"))
        else:
            self.finish()

    async def read(self):
        """Return what the server sends next; None at the end of an answer."""
        item = await self.chunks.get()
        if isinstance(item, upstream.AnswerIncomplete):
            raise item
        return item

    async def read_head(self):
        """Return the start line and the headers of the answer."""
        return await self.read()

    async def read_chunk(self):
        """Return the next chunk of the body, or None at its end."""
        return await self.read()

    async def read_body(self, max_bytes):
        """Return the whole body."""
        body = b""
        while chunk := await self.read():
            body += chunk
        return body

    def close(self):
        """Close the connection; the server stops the run."""
        self.server.connections.discard(self)
        if self.runner is not None:
            self.runner.cancel()


def is_time(text):
    """Return whether a text is a number of seconds."""
    return text.replace(".", "", 1).isdigit()


ENDINGS = {}


def ending(name):
    """Return a decorator that registers a way in which a request ends its server."""

    def register(function):
        ENDINGS[name] = function
        return function

    return register


@ending("reset")
async def reset(connection):
    """Reset all connections without any answer."""
    connection.server.end(is_reset=True)


@ending("restart")
async def restart(connection):
    """End and come back at once, as a new start under the same identity."""
    connection.server.end()
    connection.server.start()


@ending("silent")
async def fall_silent(connection):
    """Send nothing more on any connection."""
    connection.server.is_up = False
    await asyncio.Event().wait()


@ending("partial")
async def answer_in_part(connection):
    """Send the first event and half of the second, and close all connections."""
    await send_incomplete(connection)
    connection.server.end()


@ending("partial reset")
async def answer_in_part_and_reset(connection):
    """Send the first event and half of the second, and reset all connections."""
    await send_incomplete(connection)
    connection.server.end(is_reset=True)


@ending("head")
async def answer_with_head_only(connection):
    """Send the head of an answer and close all connections."""
    connection.framing = upstream.Framing.LENGTH
    connection.send_head(200)
    await asyncio.sleep(0)
    connection.server.end()


@ending("ten events")
async def answer_with_ten_events(connection):
    """Send ten events and close all connections."""
    connection.framing = upstream.Framing.LENGTH
    connection.send_head(200)
    for number in range(1, 11):
        connection.chunks.put_nowait(b"id: %d\ndata: x\n\n" % number)
        await asyncio.sleep(0)
    connection.server.end()


async def send_incomplete(connection):
    """Send the first event and half of the second.

    A plain answer has a length then, since nobody can tell that it is incomplete if
    only its connection frames it.
    """
    if not connection.is_stream:
        connection.framing = upstream.Framing.LENGTH
    connection.send_head(200)
    connection.chunks.put_nowait(b"id: 1\ndata: x\n\nid: 2\nda")
    await asyncio.sleep(0)


class ServerConnections:
    """The connections of a gateway; the interface is `upstream.ConnectionPool`'s."""

    def __init__(self, platform, gateway):
        self.platform = platform
        self.gateway = gateway
        self.opened_count = 0

    def take_idle(self, address, identity):
        """Return None: no connection is kept."""

    async def open(self, address, timeout_ms):
        """Return a connection; raise `upstream.ConnectRefused` if nothing listens."""
        await asyncio.sleep(0)
        server = self.platform.by_address[address]
        if not server.is_up:
            raise upstream.ConnectRefused("refused")
        return Connection(server, self.gateway)

    def release(self, connection, identity, keep_alive_timeout_s):
        """Close a connection; none is kept."""
        connection.close()

    def close_expired(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


class CallerConnection:
    """A caller's connection, which collects the answer.

    The caller leaves once it has received `leave_after` events.
    """

    def __init__(self, leave_after=None):
        self.leave_after = leave_after
        self.status = 0
        self.headers = None
        self.body = b""
        self.is_finished = False
        self.is_closed = False
        self.stream = types.SimpleNamespace(closed=lambda: self.is_closed)
        self._request_start_line = httputil.RequestStartLine("POST", "/", "HTTP/1.1")

    def write_headers(self, start_line, headers, chunk=None):
        """Store the head of the answer."""
        self.status, self.headers = start_line.code, headers
        self.body += chunk or b""

    async def write(self, chunk):
        """Store a chunk of the body; raise as Tornado does if the caller has left."""
        if self.is_closed:
            raise iostream.StreamClosedError
        self.body += chunk
        if self.leave_after is not None and len(self.events) >= self.leave_after:
            self.is_closed = True
            raise iostream.StreamClosedError

    @property
    def events(self):
        """The received events, as (number, version) pairs."""
        return [
            (int(number), version.decode())
            for number, version in EVENT_PATTERN.findall(self.body)
        ]

    def finish(self):
        """Store that the answer is complete."""
        self.is_finished = True

    def close(self):
        """Store that the connection is closed."""
        self.is_closed = True

    def set_close_callback(self, callback):
        """Do nothing: a test cancels the request's task instead."""

    @property
    def code(self):
        """The code of a refusal, or an empty string."""
        try:
            return orjson.loads(self.body)["error"]["code"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return ""


class Transport:
    """The datagram transport of a gateway, which queues what is sent."""

    def __init__(self, platform, address):
        self.platform = platform
        self.address = address

    def is_closing(self):
        """Return False."""
        return False

    def sendto(self, payload, address):
        """Queue a datagram."""
        self.platform.datagrams.append((self.address, address, payload))

    def read_waiting(self):
        """Do nothing: datagrams are delivered by the platform."""

    def close(self):
        """Do nothing."""


class Platform:
    """Gateways and backend servers in one event loop.

    Attributes
    ----------
    framings : the framings of the next connections to servers.
    gateways : the gateways by name; `add_gateway` adds or replaces one.
    servers : all `Server`s.
    lines : the log entries of all gateways, as dicts.
    cut : names of gateways that receive and send no datagrams.
    has_controls : whether gateways hear of servers.
    fatal_parts : names of `ENDINGS` by the identity of the part that ends servers.
    listed_ms : for how long the servers have been listed when a gateway starts.
    lease_age_ms : the age of a gateway's lease when it receives a request.
    places : the (data centre, region) pairs in which the gateways are, in turn.
    """

    def __init__(self, document, gateway_count=3, places=(("east", "one"),)):
        self.document = document
        self.places = dict(places)
        self.listed_ms = LISTED_MS
        self.lease_age_ms = 0
        self.starts = itertools.count(1)
        self.attempts = itertools.count(1)
        self.incarnations = itertools.count(1)
        self.framings = itertools.cycle(upstream.Framing)
        self.servers = []
        self.by_address = {}
        self.gateways = {}
        self.datagrams = []
        self.lines = []
        self.cut = set()
        self.has_controls = True
        self.fatal_parts = {}
        self.names = [f"g{number}" for number in range(gateway_count)]
        self.data_centres = dict(
            zip(self.names, itertools.cycle(self.places), strict=False)
        )
        for name in self.names:
            self.add_gateway(name)

    def add_gateway(self, name):
        """Add a gateway, or start it anew without what it knew."""
        data_centre = self.data_centres[name]
        region = self.places[data_centre]
        node = settings.Node(
            name, ("gateway",), region, data_centre, regions=dict(self.places)
        )
        options = settings.Settings(
            node, settings.Cluster("c", "a-secret-of-16-letters", ("127.0.0.1:1",))
        )
        # Without a class of its own the logger would drop what another test's
        # configuration of structlog filters out.
        log = structlog.wrap_logger(
            None,
            processors=[self.record_line],
            wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
        )
        gateway_hub = hub.Hub(options, next(self.incarnations), log)
        created = gateway.Gateway(gateway_hub, metrics.Metrics())
        created.connections = ServerConnections(self, name)
        created.http = types.SimpleNamespace(conn_params=types.SimpleNamespace())
        created.gossip.transport = Transport(self, (name, 1))
        packed = documents.pack(orjson.dumps(self.document))
        created.apply_document(messages.Document(self.document["version"], packed))
        self.gateways[name] = created
        self.list_gateways(name, self.names)
        records = tuple(self.make_record(each, "ready") for each in self.servers)
        versions = tuple(
            messages.ServiceVersion(each.service, each.version, 0)
            for each in self.servers
        )
        created.apply_directory(
            messages.Directory(True, records, self.listed_ms, versions)
        )

    def list_gateways(self, name, names):
        """Tell a gateway which gateways there are, as the control hosts do."""
        others = [each for each in names if each != name]
        self.gateways[name].apply_gateways(
            messages.Gateways(
                tuple(others),
                tuple(f"{each}:1" for each in others),
                (),
                tuple(self.data_centres[each] for each in others),
            )
        )

    def record_line(self, logger, method, event):
        """Record a log entry instead of writing it."""
        self.lines.append(event)
        raise structlog.DropEvent

    def add_servers(self, service, count, version="v1"):
        """Add and start servers of a service."""
        for _ in range(count):
            identity = f"{service}-{len(self.servers)}"
            server = Server(self, identity, service, version)
            self.servers.append(server)
            self.by_address[server.address] = server
            server.start()

    def announce(self, server, phase, names=None):
        """Tell gateways of a server, as the control hosts do."""
        record = self.make_record(server, phase)
        for name in (names or self.gateways) if self.has_controls else ():
            self.gateways[name].apply_directory(messages.Directory(False, (record,)))

    def make_record(self, server, phase):
        """Return what control hosts tell of a server."""
        return messages.ServerRecord(
            server.identity,
            server.service,
            server.address,
            next(iter(self.places)),
            phase,
            server.born_ms,
            1,
            4,
            0.0,
            version=server.version,
        )

    def is_stream(self, target):
        """Return whether the route of a request's target has streams."""
        return any(
            target.startswith(route["path_prefix"]) and route["type"] == "streaming"
            for route in self.document["routes"]
        )

    def exchange(self):
        """Let each gateway send its whole state to the others, and deliver it."""
        for each in self.gateways.values():
            each.gossip.own_region.last_spent_ms = -gossip.SPENT_INTERVAL_MS
            each.gossip.own_region.last_crashes_ms = -gossip.CRASHES_INTERVAL_MS
            each.gossip.send(each.gossip.own_region)
            each.gossip.send(each.gossip.other_regions)
        self.deliver()

    def deliver(self):
        """Deliver the datagrams that gateways have sent."""
        while self.datagrams:
            (source, _), (target, _), payload = self.datagrams.pop(0)
            if source not in self.cut and target not in self.cut:
                receiver = self.gateways[target].gossip
                receiver.datagram_received(payload, (source, 1))

    def forget_failures(self):
        """Make all servers selectable again without waiting for their back-off."""
        for each in self.gateways.values():
            for server in each.pool.servers.values():
                server.backoff_until_ms = 0

    def begin(self, name, target, key="k", **headers):
        """Send a request with a new attempt id; return its task and connection.

        The gateway's lease is renewed first, however long the test has taken.
        """
        self.gateways[name].lease.renewed_ms = clock.boot_ms() - self.lease_age_ms
        query = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
        connection = CallerConnection(int(query["leave"]) if "leave" in query else None)
        fields = {
            "Host": HOST,
            "X-Attempt-Id": f"a{next(self.attempts)}",
            "Authorization": f"Token {key}",
            **{each.replace("_", "-"): text for each, text in headers.items()},
        }
        start_line = httputil.RequestStartLine("POST", target, "HTTP/1.1")
        self.gateways[name].serve(
            connection, start_line, httputil.HTTPHeaders(fields), b""
        )
        return list(self.gateways[name].running)[-1], connection

    async def call(self, name, target, key="k", **headers):
        """Send a request, wait until it has ended and return its connection."""
        task, connection = self.begin(name, target, key, **headers)
        await self.wait([task])
        return connection

    async def wait(self, tasks):
        """Wait until requests have ended; meanwhile gateways assign waiting ones."""
        while any(not task.done() for task in tasks):
            await asyncio.wait(tasks, timeout=POLL_INTERVAL_S)
            self.deliver()
            for each in self.gateways.values():
                each.dispatch_waiting()

    def run_count(self):
        """Return how many runs all servers have begun."""
        return sum(len(server.runs) for server in self.servers)
