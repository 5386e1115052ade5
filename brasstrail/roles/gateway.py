"""The gateway role: serves callers who speak plain HTTP, by the catalog.

`Gateway` owns what all requests share: the catalog, the pool of servers with the
waiting requests, the allotments, the budget of second sendings, the connections.
Each request is served by a `forwarding.Forwarding` in a task of its own. Control
hosts tell the gateway of documents and servers through a `subscription`, and the
other gateways tell what they run and let in through `gossip`.
"""

import asyncio

from tornado import httpserver, httputil, ioloop

from brasstrail.coordination import allotments, directory, pool, retries
from brasstrail.core import catalog, clock, errors, servers
from brasstrail.protocol import dialects, messages
from brasstrail.roles import (
    forwarding,
    gossip,
    lease,
    metrics,
    registry,
    subscription,
)
from brasstrail.state import documents
from brasstrail.transport import upstream

TICK_MS = 50
IDLE_SWEEP_MS = 500
# Every backend server has announced itself within this time, the users' beat.
MAX_ANNOUNCE_MS = 1200
# A stopping gateway still takes requests while callers may still be sent to it: two
# questions a second apart, and the time of one answer.
TAKE_WHILE_STOPPING_MS = 2600
# What is left of the time to stop once the last request must have ended.
STOP_MARGIN_MS = 400
IDLE_SLACK_S = 1.0
CALLERS_BACKLOG = 1024
# Gateways leave it to control hosts to tell which servers are silent.
DIRECTORY_INTERVAL_MS = 0
DEFAULT_HEADER_BYTES = 65_536


class Caller(httputil.HTTPMessageDelegate):
    """Receives one request of a caller and hands it on once it is whole."""

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.chunks = []
        self.size = 0

    def headers_received(self, start_line, headers):
        """Take the head."""
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        """Take a part of the body."""
        self.chunks.append(chunk)
        self.size += len(chunk)

    def finish(self):
        """Serve the request."""
        body = b"".join(self.chunks)
        self.chunks = []
        self.gateway.serve(self.connection, self.start_line, self.headers, body)

    def on_connection_close(self):
        """The caller left before its request was whole."""
        self.chunks = []


class Callers(httputil.HTTPServerConnectionDelegate):
    """Receives the connections of callers."""

    def __init__(self, gateway):
        self.gateway = gateway

    def start_request(self, server_connection, request_connection):
        """Receive one request."""
        return Caller(self.gateway, request_connection)


class Gateway:
    """The gateway role of a process.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    recorded : `metrics.Metrics` of the process.
    """

    def __init__(self, hub, recorded):
        self.hub = hub
        self.log = hub.log
        self.metrics = recorded
        self.settings = hub.settings.gateway
        self.dialect = dialects.find(self.settings.dialect)
        self.catalog = None
        self.document_version = 0
        now_ms = clock.now_ms()
        self.pool = pool.Pool(hub.settings.node, dict(hub.settings.node.regions))
        self.directory = directory.Directory(DIRECTORY_INTERVAL_MS)
        self.allotments = allotments.Allotments(now_ms, self.settings.allotment_slack)
        self.budget = retries.RetryBudget(self.settings)
        self.connections = upstream.Connections()
        self.subscription = subscription.Subscription(hub, self)
        self.gossip = gossip.Gossip(hub, self)
        self.turns = {}
        self.running = {}
        self.held_bytes = 0
        self.stopping_ms = None
        self.lease = lease.Lease(self.settings.lease_ms)
        self.swept_ms = now_ms
        self.http = None
        self.ready_http = None
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)

    # Start and stop.

    async def start(self):
        """Listen for callers and begin to follow a control host."""
        limits = catalog.CallerLimits()
        self.http = httpserver.HTTPServer(
            Callers(self),
            max_header_size=max(DEFAULT_HEADER_BYTES, limits.max_header_bytes),
            max_body_size=limits.max_body_bytes,
            idle_connection_timeout=limits.idle_timeout_ms / 1000 + IDLE_SLACK_S,
        )
        host, _, port = self.settings.http_address.rpartition(":")
        self.http.listen(int(port), host, backlog=CALLERS_BACKLOG)
        self.ready_http = httpserver.HTTPServer(self.answer_ready)
        host, _, port = self.settings.ready_address.rpartition(":")
        self.ready_http.listen(int(port), host)
        await self.gossip.open()
        self.subscription.start()
        self.ticker.start()

    def close(self):
        """Stop serving at once."""
        self.ticker.stop()
        self.subscription.close()
        self.gossip.close()
        for server in (self.http, self.ready_http):
            if server is not None:
                server.stop()
        self.connections.close()

    async def drain(self):
        """Let callers go elsewhere, then let every request end."""
        self.stopping_ms = clock.now_ms()
        last_ms = self.stopping_ms + 1000 * self.settings.grace_s - STOP_MARGIN_MS
        self.log.info("gateway: Stopping.", running=len(self.running))
        await asyncio.sleep(TAKE_WHILE_STOPPING_MS / 1000)
        self.http.stop()
        while self.running and clock.now_ms() < last_ms:
            await asyncio.sleep(0.05)
        self.log.info("gateway: Stopped taking requests.", running=len(self.running))
        await self.http.close_all_connections()

    @property
    def takes_requests(self):
        """Whether new requests are served."""
        if self.stopping_ms is None:
            return True
        return clock.now_ms() - self.stopping_ms < TAKE_WHILE_STOPPING_MS

    @property
    def is_ready(self):
        """Whether callers should be sent here."""
        is_serving = self.stopping_ms is None and self.catalog is not None
        return is_serving and self.lease.is_fresh

    def is_learning_servers(self):
        """Return whether some servers may not have been heard since the start.

        They announce themselves within about a second of one another.
        """
        return self.lease.since_start_ms < lease.START_MS + MAX_ANNOUNCE_MS

    async def wait_for_lease(self, limit_ms):
        """Wait until keys and routes may be acted on, where that is expected soon."""
        if self.stopping_ms is None and self.lease.is_expected:
            await self.lease.wait(limit_ms)

    def lease_renewed(self):
        """Go on with the requests that wait for the lease."""
        if self.catalog is not None and self.lease.holds:
            self.lease.wake()

    def answer_ready(self, request):
        """Say whether callers should be sent here."""
        status = 503
        if request.path == self.dialect.ready_path() and self.is_ready:
            status = 200
        start_line = httputil.ResponseStartLine("", status, httputil.responses[status])
        headers = httputil.HTTPHeaders({"Content-Length": "0"})
        request.connection.write_headers(start_line, headers)
        request.connection.finish()

    # News.

    def take_document(self, document):
        """Put a newer document in force."""
        if document.version <= self.document_version:
            return
        try:
            decoded = self.dialect.decode_catalog(documents.unpack(document.packed))
        except errors.BrasstrailError as error:
            self.log.error(
                "gateway: A document cannot be read.",
                version=document.version,
                reason=str(error),
            )
            return
        now_ms = clock.now_ms()
        self.document_version = document.version
        self.catalog = decoded
        self.allotments.configure(decoded.workspaces, now_ms)
        self.pool.configure(decoded.services)
        self.apply_limits(decoded.limits)
        self.log.info(
            "gateway: A document is in force.",
            version=document.version,
            routes=len(decoded.routes),
            workspaces=len(decoded.workspaces),
        )
        self.lease_renewed()
        self.start_turns()

    def apply_limits(self, limits):
        """Put the bounds on callers in force for what arrives from now on."""
        parameters = self.http.conn_params
        parameters.max_header_size = max(DEFAULT_HEADER_BYTES, limits.max_header_bytes)
        parameters.max_body_size = limits.max_body_bytes
        parameters.header_timeout = limits.idle_timeout_ms / 1000 + IDLE_SLACK_S

    def take_directory(self, update):
        """Take news of servers."""
        for record in update.records:
            self.take_server(record)
        if update.complete:
            named = {record.identity for record in update.records}
            for identity in set(self.directory.known) - named:
                self.directory.remove(identity)
                self.pool.remove_server(identity)
        self.start_turns()

    def take_server(self, record):
        """Take news of one server, unless later news has come before."""
        announcement = registry.to_announcement(record)
        is_silent = announcement.phase is servers.ServerPhase.SILENT
        if is_silent:
            announcement = registry.as_ready(announcement)
        self.directory.record_announcement(announcement, clock.now_ms() - record.age_ms)
        known = self.directory.known[record.identity].announcement
        self.log.info(
            "gateway: News of a server.",
            server=record.identity,
            phase=record.phase,
            sequence=record.sequence,
            age_ms=record.age_ms,
            believed=str(known.phase),
            believed_sequence=known.sequence,
        )
        self.pool.put_server(known, is_silent)

    def take_gateways(self, update):
        """Take news of the other gateways."""
        node = self.hub.settings.node
        told = zip(update.names, update.addresses, update.data_centres, strict=True)
        others = []
        for name, address, data_centre in told:
            if address != node.dialed_address:
                region = node.regions.get(data_centre, node.region)
                others.append(gossip.Peer(name, address, data_centre, region))
        self.gossip.set_peers(others)
        self.allotments.set_peers([peer.name for peer in others], clock.now_ms())
        self.budget.gateway_count = len(others) + 1
        self.pool.gateway_count = len(others) + 1
        self.log.info("gateway: The gateways changed.", count=len(others) + 1)

    def take_state(self, message):
        """Take what another gateway runs and has let in."""
        now_ms = clock.now_ms()
        shares = {
            share.identity: pool.LoadShare(
                share.running, share.input_tokens, share.output_tokens
            )
            for share in message.shares
        }
        spent = {each.workspace: each.amount for each in message.spent}
        self.pool.update_load_shares(message.name, shares, now_ms)
        self.allotments.record_peer_spending(
            message.name, message.incarnation, spent, now_ms
        )
        self.start_turns()

    def state(self, number, with_spent):
        """Return what this gateway tells the others."""
        shares = tuple(
            messages.ServerShare(
                identity, share.running, share.input_tokens, share.output_tokens
            )
            for identity, share in self.pool.own_load_shares().items()
        )
        spent = ()
        if with_spent:
            spent = tuple(
                messages.Spent(workspace, amount)
                for workspace, amount in self.allotments.spent.items()
            )
        return messages.GatewayState(
            self.hub.name, self.hub.incarnation, number, shares, spent
        )

    # Requests.

    def serve(self, connection, start_line, headers, body):
        """Serve a whole request in a task of its own."""
        request = forwarding.Forwarding(self, connection)
        task = self.hub.loop.create_task(request.run(start_line, headers, body))
        self.running[task] = request
        self.held_bytes += len(body)
        connection.set_close_callback(task.cancel)
        task.add_done_callback(lambda done: self.ended(done, len(body)))

    def ended(self, task, size):
        """Forget a request that is over."""
        request = self.running.pop(task)
        self.held_bytes -= size
        if not task.cancelled() and task.exception() is not None:
            self.log.error(
                "gateway: A request failed within.",
                id=request.identity,
                reason=repr(task.exception()),
            )
            request.connection.close()

    async def wait_for_turn(self, work, tried, timeout_ms):
        """Return the `pool.Choice` for a request, or None where no room came.

        The work then counts as started at that server.
        """
        ticket = self.pool.enqueue(work, tried)
        turn = self.hub.loop.create_future()
        self.turns[ticket] = turn
        expiry = self.hub.loop.call_later(
            timeout_ms / 1000, self.end_turn, ticket, turn
        )
        try:
            self.start_turns()
            return await turn
        except asyncio.CancelledError:
            self.pool.remove_waiting(ticket)
            if turn.done() and not turn.cancelled() and turn.result() is not None:
                self.release(turn.result().identity, work)
            raise
        finally:
            expiry.cancel()
            self.turns.pop(ticket, None)
            self.pool.remove_waiting(ticket)

    def end_turn(self, ticket, turn):
        """Tell a request that no room has come in its time."""
        self.pool.remove_waiting(ticket)
        if not turn.done():
            turn.set_result(None)

    def start_turns(self):
        """Send the waiting requests whose turn has come."""
        if not self.pool.waiting:
            return
        for ticket, choice in self.pool.dispatch_waiting(clock.now_ms()):
            self.turns[ticket].set_result(choice)
            self.gossip.send_soon()

    def release(self, identity, work):
        """Note that a server no longer works on a request."""
        self.pool.remove_running(identity, work)
        self.gossip.send_soon()
        self.start_turns()

    def tick(self):
        """Do what is due."""
        now_ms = clock.now_ms()
        self.start_turns()
        self.gossip.tick()
        if now_ms - self.swept_ms >= IDLE_SWEEP_MS:
            self.swept_ms = now_ms
            self.connections.drop_old()

    def register_gauges(self):
        """Register what is shown beside counters and histograms."""
        gauge = self.metrics.gauge
        gauge("gateway_running", lambda: len(self.running))
        gauge("gateway_waiting", lambda: len(self.pool.waiting))
        gauge("gateway_document_version", lambda: self.document_version)
        gauge("gateway_lease_age_ms", self.shown_lease_age_ms)
        gauge("gateway_connections_opened", lambda: self.connections.opened)
        gauge("gateway_held_bytes", lambda: self.held_bytes)
        gauge("gateway_peers", lambda: self.pool.gateway_count - 1)
        gauge("gateway_servers", lambda: len(self.pool.servers))
        gauge("gateway_datagrams", lambda: self.gossip.datagrams)
        metrics.gauge_bytes(self.metrics, self.hub)

    def shown_lease_age_ms(self):
        """Return the age of the lease, or -1 where there was none."""
        age_ms = self.lease.age_ms
        return -1 if age_ms is None else age_ms
