"""The gateway role: serves plain HTTP requests as configured in the catalog.

`Gateway` holds the state that all requests share: the catalog, the pool of servers
with the queue of waiting requests, the allotments, the retry budget and the server
connections. Each request is served by a `forwarding.ForwardedRequest` in its own
task. The gateway receives documents and server records from control hosts through
a `subscription`. Through `gossip` each gateway sends the others its running requests
per server and its allotment usage.
"""

import asyncio
import dataclasses

from tornado import httputil, ioloop

from brasstrail.coordination import allotments, directory, pool, retries, zones
from brasstrail.core import catalog, clock, data, errors, servers
from brasstrail.protocol import dialects, messages
from brasstrail.roles import (
    admitting,
    canary,
    columns,
    crashes,
    documents,
    forwarding,
    gossip,
    lease,
    limits,
    metrics,
    milestones,
    origins,
    pauses,
    places,
    refusals,
    registry,
    replies,
    shutdown,
    subscription,
)
from brasstrail.transport import listening, upstream

TICK_MS = 50
IDLE_SWEEP_INTERVAL_MS = 500
# How often the standing of workspaces near their limits is logged.
STANDING_INTERVAL_MS = 1000
# Backend servers announce themselves at an interval that the users of the system chose.
# Each does so at least once within this time, which is the default of the setting
# `control.announce_interval_ms`.
MAX_ANNOUNCE_DELAY_MS = 1200
IDLE_TIMEOUT_MARGIN_S = 1.0
LISTEN_BACKLOG = 1024
# Gateways do not detect silent servers themselves; control hosts report them.
DIRECTORY_INTERVAL_MS = 0
# Two thirds of that of control hosts: the way from these takes some seconds at most.
DIRECTORY_REPORT_DELAY_MS = directory.REPORT_DELAY_MS * 2 // 3
# A gateway that is no longer listed still counts for this long: about twice the time
# after which control hosts drop one that they have not heard of.
PEER_RETENTION_MS = 6000
# The head of a request with a longer body is checked before the body is received. A
# shorter one arrives with the head, or soon after it.
MAX_UNCHECKED_BYTES = 16 * 1024
MEMORY_RETRY_S = 1.0


class RequestDelegate(listening.Delegate):
    """Buffers one request and serves it once it is complete.

    Attributes
    ----------
    refusal : the `refusals.Refused` that the head alone determines, or None.
    keeps_body : whether the body is held; it is dropped if the request is refused.
    """

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.refusal = None
        # One growing buffer: many kept parts would fragment the heap.
        self.body = bytearray()

    @property
    def keeps_body(self):
        """Whether the body is held."""
        return self.refusal is None

    def headers_received(self, start_line, headers):
        """Store the start line and the headers; check them if a long body follows."""
        self.start_line = start_line
        self.headers = headers
        length = headers.get("Content-Length", "0")
        is_short = length.isdecimal() and int(length) <= MAX_UNCHECKED_BYTES
        if not is_short or "Transfer-Encoding" in headers:
            self.refusal = self.gateway.find_head_refusal(start_line, headers)

    def data_received(self, chunk):
        """Store a chunk of the body."""
        self.body += chunk

    def finish(self):
        """Serve the complete request."""
        body = bytes(self.body)
        self.body = bytearray()
        self.gateway.serve(
            self.connection, self.start_line, self.headers, body, self.refusal
        )

    def refuse(self, connection):
        """Answer that there is no room for the request, which has not run."""
        self.body = bytearray()
        self.gateway.refuse_for_memory(connection, self.start_line, self.headers)

    def on_connection_close(self):
        """Discard the body if the caller disconnects before the request is complete."""
        self.body = bytearray()


class ConnectionDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a `RequestDelegate` for each request on a caller's connection."""

    def __init__(self, gateway):
        self.gateway = gateway

    def start_request(self, server_connection, request_connection):
        """Return the delegate that receives the request."""
        return RequestDelegate(self.gateway, request_connection)


class Gateway:
    """The gateway role of a process.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    process_metrics : `metrics.Metrics` of the process.

    Attributes
    ----------
    catalog : `catalog.Catalog` of the newest document, or None before the first one.
    used_version : the newest document version that a request was admitted with.
    waiters : (work, future of its `places.Place`) of requests that wait for a server,
        by ticket of the pool.
    places : the `places.Place`s that are taken.
    running : `forwarding.ForwardedRequest` by task.
    knows_gateways : whether control hosts have told which gateways there are.
    held_bytes : the total size of the bodies of running requests.
    unlisted_ms : since when a gateway has not been listed, by its `gossip.Peer`, for
        those that still count: control hosts that have just started list few, and a
        gateway that starts again is listed later than it sends its first message.
    shutdown : `shutdown.Shutdown`, the planned stop.
    logged_unready_reason : the reason of the last logged readiness, or None.
    """

    def __init__(self, hub, process_metrics):
        self.hub = hub
        self.log = hub.log
        self.metrics = process_metrics
        self.settings = hub.settings.gateway
        self.dialect = dialects.create(self.settings.dialect)
        self.milestones = milestones.Milestones(hub.log)
        self.catalog = None
        self.document_version = 0
        self.used_version = 0
        now_ms = clock.now_ms()
        self.pool = pool.Pool(hub.settings.node, dict(hub.settings.node.regions))
        self.pool.zones = self.make_zones()
        self.directory = directory.Directory(
            DIRECTORY_INTERVAL_MS, DIRECTORY_REPORT_DELAY_MS
        )
        self.allotments = allotments.Allotments(
            now_ms,
            self.settings.allotment_slack,
            hub.incarnation,
            self.settings.allotment_window_s,
        )
        self.budget = retries.RetryBudget(self.settings)
        self.connections = upstream.ConnectionPool(hub.account)
        self.subscription = subscription.Subscription(hub, self)
        self.gossip = gossip.Gossip(hub, self)
        self.crashes = crashes.CrashTracker(self)
        self.origins = origins.OriginTracker(self)
        self.documents = documents.DocumentReader(self)
        self.limits = limits.LimitDesk(self)
        self.canary = canary.CanaryRouter(self)
        self.pauses = pauses.PauseWatch(TICK_MS, now_ms)
        self.knows_gateways = False
        self.waiters = {}
        self.places = set()
        self.running = {}
        self.held_bytes = 0
        self.logged_unready_reason = None
        self.shutdown = shutdown.Shutdown(self)
        self.lease = lease.Lease(self.settings.lease_ms)
        self.unlisted_ms = {}
        self.last_sweep_ms = now_ms
        self.last_standing_ms = now_ms
        self.http = None
        self.ready_http = None
        self.ticker = ioloop.PeriodicCallback(self.tick, TICK_MS)

    def make_zones(self):
        """Return the `zones.Zones` if the settings name prices, or None."""
        link_cost = self.settings.link_cost_ms_per_kb
        if not link_cost.is_set:
            return None
        node = self.hub.settings.node
        return zones.Zones(node, dict(node.regions), link_cost)

    # Start and stop.

    async def start(self):
        """Start listening for requests and subscribe to a control host."""
        limits = catalog.CallerLimits()
        self.http = listening.Server(
            ConnectionDelegate(self),
            self.hub.account,
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
            idle_connection_timeout=limits.idle_timeout_ms / 1000
            + IDLE_TIMEOUT_MARGIN_S,
        )
        host, _, port = self.settings.http_address.rpartition(":")
        self.http.listen(int(port), host, backlog=LISTEN_BACKLOG)
        self.ready_http = listening.Server(
            listening.BodilessDelegate(self.handle_readiness_request), self.hub.account
        )
        host, _, port = self.settings.ready_address.rpartition(":")
        self.ready_http.listen(int(port), host)
        self.gossip.open()
        self.subscription.start()
        self.ticker.start()

    def close(self):
        """Stop serving without waiting for running requests."""
        self.ticker.stop()
        self.subscription.close()
        self.limits.close()
        self.gossip.close()
        for server in (self.http, self.ready_http):
            if server is not None:
                server.stop()
        self.connections.close()

    @property
    def is_ready(self):
        """Whether the readiness endpoint reports this gateway as ready."""
        return not self.unready_reason

    @property
    def unready_reason(self):
        """Why this gateway is not ready; empty if it is."""
        if self.shutdown.is_begun:
            return "stopping"
        if self.catalog is None:
            return "no_document"
        if self.lease.renewed_ms is None:
            return "no_lease"
        return "" if self.lease.is_fresh else "old_lease"

    def log_readiness(self):
        """Log a change of the reason why this gateway is not ready."""
        reason = self.unready_reason
        if reason == self.logged_unready_reason:
            return
        self.logged_unready_reason = reason
        active_link = self.subscription.active_link
        self.log.info(
            "gateway: The readiness changed.",
            ready=not reason,
            reason=reason,
            lease_age_ms=self.lease_age_gauge_ms(),
            document_version=self.document_version,
            control_host=active_link.name if active_link is not None else "",
        )

    @property
    def is_catalog_trusted(self):
        """Whether the copy of keys and routes may be used to admit requests."""
        return self.lease.is_valid or not self.settings.fails_closed

    @property
    def is_catalog_fresh(self):
        """Whether that copy is recent enough to deny what it does not hold."""
        return self.lease.is_fresh or not self.settings.fails_closed

    def is_discovering_servers(self):
        """Return whether some servers may not have announced themselves since startup.

        Each server announces itself at least once in `MAX_ANNOUNCE_DELAY_MS`.
        """
        return self.lease.uptime_ms < lease.STARTUP_MS + MAX_ANNOUNCE_DELAY_MS

    async def wait_for_lease(self, limit_ms):
        """Wait up to `limit_ms` for a valid lease if one is expected soon."""
        if not self.shutdown.is_begun and self.lease.is_expected:
            await self.lease.wait(limit_ms)

    def record_use(self):
        """Log the first request that is admitted with each document."""
        if self.used_version != self.document_version:
            self.used_version = self.document_version
            self.log.info(
                "gateway: A document was first used.", version=self.document_version
            )

    def on_lease_renewed(self):
        """Resume the requests that wait for the lease."""
        if self.lease.is_valid:
            self.milestones.reach("first_lease", version=self.document_version)
        if self.catalog is not None and self.lease.is_valid:
            self.lease.wake_waiters()

    def handle_readiness_request(self, request):
        """Answer a readiness check: 200 if the gateway is ready, else 503."""
        status = 503
        if request.path == self.dialect.ready_path() and self.is_ready:
            status = 200
        start_line = httputil.ResponseStartLine("", status, httputil.responses[status])
        headers = httputil.HTTPHeaders({"Content-Length": "0"})
        request.connection.write_headers(start_line, headers)
        request.connection.finish()

    # Updates from control hosts and other gateways.

    def apply_document(self, document):
        """Apply a document if it is newer than the current one."""
        self.log.info(
            "gateway: A document arrived.",
            version=document.version,
            bytes=len(document.packed),
            held=self.document_version,
        )
        self.documents.add(document)

    def use_document(self, version, decoded, decode_ms):
        """Put a decoded document in force.

        Parameters
        ----------
        version : that of the document, which is newer than the one in force.
        decoded : its `catalog.Catalog`.
        decode_ms : how long it took to decode, with what ran in between.
        """
        now_ms = clock.now_ms()
        self.document_version = version
        self.catalog = decoded
        self.allotments.configure(decoded.workspaces, now_ms)
        self.pool.configure(decoded.services)
        self.apply_limits(decoded.limits)
        self.log.info(
            "gateway: A document is in force.",
            version=version,
            routes=len(decoded.routes),
            workspaces=len(decoded.workspaces),
            decode_ms=decode_ms,
        )
        self.milestones.reach("first_document", version=version)
        self.on_lease_renewed()
        self.dispatch_waiting()

    def apply_limits(self, limits):
        """Apply the request limits to requests that arrive from now on."""
        parameters = self.http.conn_params
        parameters.max_header_size = limits.max_header_bytes
        parameters.max_body_size = limits.max_body_bytes
        parameters.header_timeout = (
            limits.idle_timeout_ms / 1000 + IDLE_TIMEOUT_MARGIN_S
        )
        self.http.header_timeout_ms = limits.header_timeout_ms

    def apply_directory(self, update):
        """Apply server records; a complete update also removes servers not in it."""
        self.origins.record_directory(update, self.subscription.last_confirmed_ms)
        for record, announcement, age_ms in registry.valid_records(update, self.log):
            self.apply_server_record(record, announcement, age_ms)
        if update.complete:
            listed = {record.identity for record in update.records}
            for identity in set(self.directory.known) - listed:
                known = self.directory.known[identity]
                if known.phase is servers.ServerPhase.READY:
                    self.crashes.silence_server(known.announcement)
                self.directory.remove(identity)
                self.pool.remove_server(identity)
        self.dispatch_waiting()

    def apply_server_record(self, record, announcement, age_ms):
        """Apply the record of one server unless a newer one was already applied.

        `announcement` and `age_ms` are those in the record.
        """
        is_silent = announcement.phase is servers.ServerPhase.SILENT
        if is_silent:
            announcement = registry.with_ready_phase(announcement)
        replaced = self.directory.running_starts(announcement)
        self.directory.record_announcement(announcement, clock.now_ms() - age_ms)
        known = self.directory.known[record.identity].announcement
        self.milestones.reach("first_server", server=record.identity)
        if known.phase is not servers.ServerPhase.GONE:
            self.origins.record_server(known)
        self.log.info(
            "gateway: News of a server.",
            server=record.identity,
            phase=record.phase,
            version=record.version,
            born=record.born_ms,
            sequence=record.sequence,
            age_ms=age_ms,
            believed=str(known.phase),
            believed_sequence=known.sequence,
        )
        self.report_ended_starts(replaced, known, is_silent)
        self.pool.put_server(known, is_silent)

    def report_ended_starts(self, replaced, known, is_silent):
        """Tell the crash tracker which starts of servers have ended unannounced.

        `replaced` are the announcements of the starts that were running, with the same
        identity or address, before the announcement `known` was recorded.
        """
        for each in replaced:
            if self.directory.is_replaced(each):
                self.crashes.end_server(each, "server_replaced")
                self.origins.end_start(each, known)
                if each.identity != known.identity:
                    self.pool.remove_server(each.identity)
        if is_silent and known.phase is servers.ServerPhase.READY:
            self.crashes.silence_server(known)

    def apply_gateways(self, update):
        """Update the list of the other gateways."""
        now_ms = clock.now_ms()
        self.knows_gateways = True
        node = self.hub.settings.node
        rows = zip(update.names, update.addresses, update.data_centres, strict=True)
        others = []
        for name, address, data_centre in rows:
            if address != node.advertised_address:
                region = node.regions.get(data_centre, node.region)
                others.append(gossip.Peer(name, address, data_centre, region))
        if not self.gossip.peers:
            # The others tell this gateway what it has to know once they hear of it.
            self.gossip.send_soon()
        for peer in set(self.gossip.peers.values()) - set(others):
            self.unlisted_ms.setdefault(peer, now_ms)
        for peer in others:
            self.unlisted_ms.pop(peer, None)
        self.set_peers([*others, *self.unlisted_ms])
        self.allotments.set_peers([peer.name for peer in others], now_ms)
        self.crashes.trials.set_peers([peer.name for peer in others])
        self.budget.set_gateway_count(len(others) + 1, now_ms)
        self.pool.gateway_count = len(others) + 1
        self.log.info("gateway: The gateways changed.", count=len(others) + 1)

    def drop_unlisted_peers(self, now_ms):
        """Drop the gateways that have not been listed for `PEER_RETENTION_MS`."""
        for peer, since_ms in list(self.unlisted_ms.items()):
            if now_ms - since_ms > PEER_RETENTION_MS:
                del self.unlisted_ms[peer]
                others = set(self.gossip.peers.values()) - {peer}
                self.set_peers(list(others))

    def set_peers(self, peers):
        """Set the other gateways that this one exchanges messages with."""
        self.gossip.set_peers(peers)
        self.origins.set_peers(peers)

    def apply_peer_start(self, name):
        """Tell another gateway that has started what it would have known."""
        if name in self.gossip.peers:
            self.origins.tell_started_peer(name)
            self.crashes.tell_started_peer(name)
            # The state tells it the limits of servers.
            self.gossip.send_soon()

    def apply_peer_message(self, message, name):
        """Handle a message of another gateway that is not its state."""
        handler = PEER_MESSAGE_HANDLERS.get(type(message))
        if handler is not None:
            handler(self, message, name)

    def apply_peer_state(self, message):
        """Apply another gateway's running requests and allotment usage."""
        now_ms = clock.now_ms()
        shares = columns.read_load(message)
        report = columns.read_report(message)
        load_reports = columns.read_load_reports(message)
        rows = columns.read_waits(message)
        self.pool.update_load_shares(message.name, shares, now_ms, rows)
        self.allotments.record_report(message.name, message.incarnation, report, now_ms)
        self.crashes.merge(message.name, message.crashes)
        self.limits.apply_reports(message.name, message.limits)
        sent_ms = now_ms - self.pauses.waited_ms(now_ms)
        for each in load_reports:
            self.pool.record_report(
                each.start, each.report, sent_ms - each.age_ms, is_own=False
            )
        for each in message.departures:
            start = each.identity, each.born_ms
            self.record_departure(start, message.name, sent_ms - each.heard_ms_ago)

    def state(self, number, with_spent, crashes_since_ms):
        """Return the state that this gateway sends to the others.

        Parameters
        ----------
        number : the sequence number of the message.
        with_spent : whether to include the allotment usage.
        crashes_since_ms : since when crashes have changed that are included, or None
            for all that are told at times.
        """
        report = allotments.Report()
        if with_spent:
            report = self.allotments.report(clock.now_ms())
        as_columns = self.gossip.all_read_columns
        return messages.GatewayState(
            self.hub.name,
            self.hub.incarnation,
            number,
            crashes=self.crashes.reports(crashes_since_ms),
            limits=self.limits.reports(),
            departures=self.departure_reports(),
            reads_columns=True,
            **columns.load_fields(self.pool.own_load_shares(), as_columns),
            **columns.spending_fields(report.spent or {}, as_columns),
            **columns.level_fields(report.levels),
            **columns.report_fields(self.pool.own_reports(clock.now_ms()), as_columns),
            **self.wait_fields(clock.now_ms()),
        )

    def wait_fields(self, now_ms):
        """Return the fields of a state on waits, if any server reports a host factor.

        Elsewhere no gateway uses them, and each datagram would cost more to read.
        """
        if not self.host_factors():
            return {}
        return columns.wait_fields(self.pool.own_rows(now_ms))

    def record_departure(self, start, source, heard_ms):
        """Record that a start of a server leaves, and tell the other gateways.

        `source` is the attempt id or the gateway from which that is known.
        """
        if not self.pool.departures.record(start, source, heard_ms):
            return
        self.log.info(
            "gateway: A server leaves.",
            server=start[0],
            born=start[1],
            source=source,
            age_ms=clock.now_ms() - heard_ms,
        )
        self.gossip.send_soon()

    def departure_reports(self):
        """Return the `messages.ServerDeparture`s to send to the other gateways."""
        now_ms = clock.now_ms()
        return tuple(
            messages.ServerDeparture(*start, max(0, now_ms - departure.heard_ms))
            for start, departure in self.pool.departures.latest()
        )

    def catch_up(self, now_ms):
        """Read what other gateways have sent before anything is admitted.

        A process that was held up would otherwise refill its buckets for all that time
        and serve what has waited, before it knows what the others have spent.
        """
        held_ms = now_ms - self.pauses.last_tick_ms
        if self.pauses.is_pause(held_ms):
            self.pauses.record_tick(now_ms)
            self.allotments.begin_catch_up(now_ms)
            self.gossip.read_waiting()
            self.gossip.apply_all_pending()
            self.allotments.end_catch_up(now_ms, held_ms)
            self.log.info("gateway: The process was held up.", held_ms=held_ms)
        elif self.allotments.is_learning(now_ms):
            self.gossip.apply_all_pending()

    # Requests.

    def find_head_refusal(self, start_line, headers):
        """Return the `refusals.Refused` that a head alone determines, or None."""
        try:
            call = self.dialect.read_call(start_line, headers)
            admitting.check_head(self, call)
        except errors.BadRequest as error:
            return refusals.Refused(400, error.code)
        except refusals.Refused as refusal:
            return refusal
        return None

    def refuse_for_memory(self, connection, start_line, headers):
        """Answer a request of which only a part was received that there is no room."""
        refusal = refusals.Refused(503, "memory", MEMORY_RETRY_S)
        self.metrics.count("gateway_refusals", reason=refusal.reason)
        try:
            call = self.dialect.read_call(start_line, headers)
        except errors.BadRequest:
            call = None
        replies.Reply(self, connection).send_refusal(
            refusal, call, data.RunStatus.NOT_RUN
        )

    def serve(self, connection, start_line, headers, body, refusal=None):
        """Serve a complete request in its own task.

        `refusal` is the `refusals.Refused` that its head has determined, or None.
        """
        request = forwarding.ForwardedRequest(self, connection)
        task = self.hub.loop.create_task(
            request.run(start_line, headers, body, refusal)
        )
        self.running[task] = request
        self.held_bytes += len(body)
        connection.set_close_callback(task.cancel)
        task.add_done_callback(lambda done: self.on_request_done(done, len(body)))

    def on_request_done(self, task, size):
        """Remove a finished request; log an unhandled exception."""
        request = self.running.pop(task)
        self.held_bytes -= size
        if not task.cancelled() and task.exception() is not None:
            self.log.error(
                "gateway: A request failed with an internal error.",
                id=request.identity,
                reason=repr(task.exception()),
            )
            request.connection.close()

    async def wait_for_server(self, work, tried, timeout_ms, may_refuse=False):
        """Return a request's `places.Place` at a server, or None after `timeout_ms`.

        If it `may_refuse`, None is returned earlier once it is clear that no server
        will have capacity in time.
        """
        latest_ms = clock.now_ms() + timeout_ms if may_refuse else None
        ticket = self.pool.enqueue(work, tried, latest_ms)
        waiter = self.hub.loop.create_future()
        self.waiters[ticket] = work, waiter
        expiry = self.hub.loop.call_later(
            timeout_ms / 1000, self.expire_wait, ticket, waiter
        )
        try:
            self.dispatch_waiting()
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result() is not None:
                waiter.result().release()
            raise
        finally:
            expiry.cancel()
            self.waiters.pop(ticket, None)
            self.pool.remove_waiting(ticket)

    def expire_wait(self, ticket, waiter):
        """Complete a request's wait with None: no server had capacity in time."""
        self.pool.remove_waiting(ticket)
        if not waiter.done():
            waiter.set_result(None)

    def dispatch_waiting(self):
        """Assign servers to the waiting requests that can start now."""
        if not self.pool.waiting:
            return
        self.gossip.apply_all_pending()
        self.drop_abandoned_waits()
        for ticket, choice in self.pool.dispatch_waiting(clock.now_ms()):
            work, waiter = self.waiters[ticket]
            waiter.set_result(places.Place(self, choice, work))
            self.gossip.send_soon()
        wants = self.pool.take_wants()
        if wants:
            self.limits.ask(wants)

    def refuse_unserved(self):
        """End the waits of requests that no server will have capacity for in time."""
        for ticket in self.pool.find_unserved(clock.now_ms()):
            _, waiter = self.waiters[ticket]
            self.expire_wait(ticket, waiter)

    def drop_abandoned_waits(self):
        """Remove the requests from the queue whose tasks were cancelled.

        Such a task may not have run again yet, so that its ticket is still there.
        """
        for ticket, (_, waiter) in self.waiters.items():
            if waiter.done():
                self.pool.remove_waiting(ticket)

    def free_lost_places(self):
        """Free the places at servers that have no owner, and log each."""
        owned = {(each.choice.identity, each.work.identity) for each in self.places}
        for identity, server in self.pool.servers.items():
            for work in list(server.running.values()):
                if (identity, work.identity) not in owned:
                    self.pool.remove_running(identity, work)
                    self.log.error(
                        "gateway: A place at a server had no owner and was freed.",
                        server=identity,
                        id=work.identity,
                    )

    def has_room(self, work, tried):
        """Return whether a server that was not tried could run a work at once."""
        self.gossip.apply_all_pending()
        return self.pool.choose(work, tried, clock.now_ms()) is not None

    def tick(self):
        """Run the periodic work: dispatch, gossip, closing of idle connections.

        An error in one part is logged and does not keep the others from running.
        """
        now_ms = clock.now_ms()
        self.catch_up(now_ms)
        self.pauses.record_tick(now_ms)
        run = self.hub.run_callback
        run(self.dispatch_waiting)
        run(self.refuse_unserved)
        run(self.log_readiness)
        run(self.gossip.tick)
        run(self.crashes.tick, now_ms)
        run(self.origins.tick, now_ms)
        run(self.limits.tick, now_ms)
        run(self.canary.tick, now_ms)
        if now_ms - self.last_sweep_ms >= IDLE_SWEEP_INTERVAL_MS:
            self.last_sweep_ms = now_ms
            run(self.gossip.apply_all_pending)
            run(self.connections.close_expired)
            run(self.free_lost_places)
            run(self.pool.rests.remove_expired, now_ms)
            run(self.pool.departures.remove_expired, now_ms)
            run(self.drop_unlisted_peers, now_ms)
            if self.lease.is_fresh:
                run(self.allotments.drop_unlisted, now_ms)
            run(self.log_standings, now_ms)

    def log_standings(self, now_ms):
        """Log at a fixed rate what is known of workspaces near their limits."""
        if now_ms - self.last_standing_ms < STANDING_INTERVAL_MS:
            return
        self.last_standing_ms = now_ms
        for name in self.allotments.pressed(now_ms):
            standing = self.allotments.standing(name, now_ms)
            fields = dataclasses.asdict(standing)
            self.log.info(
                "gateway: A workspace is near its limit.",
                workspace=name,
                **{field: round(each) for field, each in fields.items()},
            )

    def register_gauges(self):
        """Register the gauges of the gateway."""
        gauge = self.metrics.gauge
        gauge("gateway_running", lambda: len(self.running))
        gauge("gateway_waiting", lambda: len(self.pool.waiting))
        gauge("gateway_document_version", lambda: self.document_version)
        gauge("gateway_ready", lambda: int(self.is_ready))
        gauge("gateway_lease_age_ms", self.lease_age_gauge_ms)
        gauge("gateway_rollouts", lambda: len(self.canary.exposures))
        gauge("gateway_connections_opened", lambda: self.connections.opened_count)
        gauge("gateway_held_bytes", lambda: self.held_bytes)
        gauge("gateway_peers", lambda: self.pool.gateway_count - 1)
        gauge("gateway_servers", lambda: len(self.pool.servers))
        gauge("gateway_servers_leaving", lambda: len(self.leaving_servers()))
        gauge("gateway_servers_resting", lambda: len(self.resting_servers()))
        gauge("gateway_host_factor", self.host_factors)
        gauge("gateway_report_trust", self.report_trusts)
        gauge("gateway_datagrams", lambda: self.gossip.datagrams_sent)
        gauge("gateway_datagrams_unsent", lambda: self.gossip.datagrams_unsent)
        self.crashes.register_gauges(gauge)
        self.origins.register_gauges(gauge)
        self.limits.register_gauges(gauge)
        metrics.register_bytes_sent_gauges(self.metrics, self.hub)

    def leaving_servers(self):
        """Return the identities of the servers that have said that they leave."""
        return [
            identity
            for identity, server in self.pool.servers.items()
            if server.start in self.pool.departures
        ]

    def host_factors(self):
        """Return the host factor of each server that tells one, by identity."""
        now_ms = clock.now_ms()
        factors = {
            identity: server.host.factor(now_ms)
            for identity, server in self.pool.servers.items()
        }
        return {name: each for name, each in factors.items() if each is not None}

    def report_trusts(self):
        """Return the trust in the reports of each server that tells a host factor."""
        return {
            identity: self.pool.servers[identity].host.trust
            for identity in self.host_factors()
        }

    def resting_servers(self):
        """Return the identities of the servers that rest now."""
        now_ms = clock.now_ms()
        return [
            identity
            for identity, server in self.pool.servers.items()
            if self.pool.rests.until_ms(server.start, now_ms) is not None
        ]

    def lease_age_gauge_ms(self):
        """Return the age of the lease in milliseconds, or -1 if there was none."""
        age_ms = self.lease.age_ms
        return -1 if age_ms is None else age_ms


PEER_MESSAGE_HANDLERS = {
    messages.StreamOrigins: lambda gateway, message, name: (
        gateway.origins.handle_origins(message)
    ),
    messages.OriginQuestion: lambda gateway, message, name: (
        gateway.origins.handle_question(message, name)
    ),
    messages.OriginAnswer: lambda gateway, message, name: gateway.origins.handle_answer(
        message, name
    ),
    messages.CrashHistory: lambda gateway, message, name: (
        gateway.crashes.handle_history(message, name)
    ),
    messages.TrialQuestion: lambda gateway, message, name: (
        gateway.crashes.trials.handle_question(message, name)
    ),
    messages.TrialAnswer: lambda gateway, message, name: (
        gateway.crashes.trials.handle_answer(message)
    ),
    messages.PermitQuestion: lambda gateway, message, name: (
        gateway.limits.handle_question(message, name)
    ),
    messages.PermitGrant: lambda gateway, message, name: gateway.limits.accept(
        message, name
    ),
    messages.PermitReturn: lambda gateway, message, name: gateway.limits.handle_return(
        message
    ),
    messages.TrialEnd: lambda gateway, message, name: gateway.crashes.trials.handle_end(
        message, name
    ),
}
