"""Contract tests of the gateway on real sockets with scripted servers."""

import asyncio
import logging
import unittest

import orjson
import structlog

import brasstrail.platform  # noqa: F401
from brasstrail.core import clock
from brasstrail.fakes import scripted
from brasstrail.protocol import messages
from brasstrail.roles import gateway, hub, metrics, sending, shutdown
from brasstrail.settings import settings
from brasstrail.state import documents
from brasstrail.tools import ports

PORTS = ports.PortAllocator()
EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(1, 7))


def make_settings():
    """Return the settings of a gateway on loopback."""
    return settings.Settings(
        settings.Node(
            "g", ("gateway",), "one", "east", peer_port=PORTS.allocate(), regions={}
        ),
        settings.Cluster("c", "a-secret-of-16-letters", ("127.0.0.1:1",)),
        gateway=settings.GatewayRole(
            f"127.0.0.1:{PORTS.allocate()}", f"127.0.0.1:{PORTS.allocate()}"
        ),
    )


def make_route(name, kind, **changes):
    """Return a route of the operators' document."""
    return {
        "name": name,
        "host": "h",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 2000,
        "goal_ms": 1000,
        "service": "s",
        "max_attempts": 2,
        **changes,
    }


DOCUMENT = {
    "version": 1,
    "routes": [
        make_route("safe", "idempotent"),
        make_route("unsafe", "non_idempotent"),
        make_route("resumed", "streaming", resumable=True, timeout_ms=20_000),
        make_route("stream", "streaming"),
        make_route("public", "idempotent", public=True),
    ],
    "services": [{"name": "s", "max_conns": 9}],
    "tenants": [{"name": "w", "api_keys": ["k"]}],
}


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """A gateway with scripted servers; the first server is the nearest.

    The pool prefers the first server because the others are in other data centres.
    """

    async def asyncSetUp(self):
        self.settings = make_settings()
        self.lines = []
        # Without a class of its own the logger would drop what another test's
        # configuration of structlog filters out.
        log = structlog.wrap_logger(
            None,
            processors=[self.record_line],
            wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
        )
        self.hub = hub.Hub(self.settings, 1, log)
        self.gateway = gateway.Gateway(self.hub, metrics.Metrics())
        await self.gateway.start()
        self.addCleanup(self.hub.close)
        self.addCleanup(self.gateway.close)
        self.renew_lease()
        self.put_document(DOCUMENT)

    def record_line(self, logger, method, event):
        """Record a log entry instead of writing it."""
        self.lines.append(event)
        raise structlog.DropEvent

    def renew_lease(self):
        self.gateway.lease.renewed_ms = clock.boot_ms()

    def put_document(self, document):
        packed = documents.pack(orjson.dumps(document))
        self.gateway.apply_document(messages.Document(document["version"], packed))

    async def serve(self, *scripts):
        """Start one server per script; all but the first are in other data centres."""
        servers = []
        for server_index, steps in enumerate(scripts):
            server = scripted.ScriptedServer(*steps)
            await server.start()
            self.addCleanup(server.close)
            servers.append(server)
            zone = "east" if server_index == 0 else f"far{server_index}"
            self.announce(f"i{server_index}", server.address, zone)
        return servers

    def announce(self, identity, address, zone="east", phase="ready", sequence=1):
        record = messages.ServerRecord(
            identity, "s", address, zone, phase, 1, sequence, 4, 0.0, version="v1"
        )
        self.gateway.apply_directory(messages.Directory(False, (record,)))

    def last_request_line(self):
        """Return the log entry of the request that ended last."""
        return [
            line
            for line in self.lines
            if line["event"] == "forwarding: A request ended."
        ][-1]

    def remove_servers(self):
        for identity in list(self.gateway.pool.servers):
            self.gateway.pool.remove_server(identity)
        self.gateway.directory.known.clear()
        self.gateway.directory.by_address.clear()

    def list_one_version(self):
        """List one version of the service, since before any stream can have begun."""
        versions = (messages.ServiceVersion("s", "v1", 0),)
        listed = messages.Directory(False, (), 10**6, versions)
        self.gateway.apply_directory(listed)

    async def connect(self):
        host, _, port = self.settings.gateway.http_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    def write_request(
        self,
        writer,
        route,
        key="k",
        body=b"",
        protocol="HTTP/1.1",
        identity="42",
        **named,
    ):
        lines = [f"POST /{route}/x?y {protocol}", "Host: h"]
        if identity:
            lines.append(f"X-Attempt-Id: {identity}")
        if key:
            lines.append(f"Authorization: Token {key}")
        lines.append(f"Content-Length: {len(body)}")
        lines.extend(
            f"{name.replace('_', '-')}: {each}" for name, each in named.items()
        )
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def call(self, route, **options):
        """Return status, headers and body; body is None if it is incomplete."""
        reader, writer = await self.connect()
        self.write_request(writer, route, **options)
        return await asyncio.wait_for(read_answer(reader), 20)


async def read_answer(reader):
    """Return status, headers and body; body is None if it is incomplete."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head.decode().split("\r\n")
    headers = {}
    for item in rest:
        name, _, value = item.partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(line.split()[1])
    try:
        if "content-length" in headers:
            return (
                status,
                headers,
                await reader.readexactly(int(headers["content-length"])),
            )
        return status, headers, await read_chunks(reader)
    except asyncio.IncompleteReadError:
        return status, headers, None


async def read_chunks(reader):
    """Return the content of a chunked body."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


class PlainRequestTest(GatewayCase):
    """Non-streaming requests: forwarding, retries and the status of failures."""

    async def test_internal_error_is_answered_with_503(self):
        """Guards against a closed connection instead of an answer.

        An exception of an unexpected type in the gateway closed the caller's
        connection. Found by the soak test with seed 2.
        """
        servers = await self.serve([scripted.reply()])

        async def fail(address, timeout_ms):
            raise AttributeError("a fault")

        self.gateway.connections.open = fail
        status, headers, _ = await self.call("unsafe")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual(servers[0].requests, [])

    async def test_request_and_answer_are_forwarded_unchanged(self):
        (server,) = await self.serve([scripted.reply(201, b"b\0dy", X_Mine="1")])
        status, headers, body = await self.call("unsafe", body=b"in", X_Other="2")
        self.assertEqual((status, body), (201, b"b\0dy"))
        self.assertEqual(headers["x-mine"], "1")
        self.assertEqual(headers["x-server-signature"], "s")
        (request,) = server.requests
        self.assertEqual(request.request_line, "POST /unsafe/x?y HTTP/1.1")
        self.assertEqual(request.body, b"in")
        self.assertEqual(request.headers["x-other"], "2")
        self.assertEqual(request.headers["x-tenant-id"], "w")
        self.assertEqual(request.headers["x-expected-instance"], "i0")
        self.assertNotIn("authorization", request.headers)
        self.assertLessEqual(int(request.headers["x-deadline-ms"]), 2000)

    async def test_request_is_retried_when_answer_proves_it_did_not_run(self):
        for step in (
            scripted.reply(503, signed=False, X_Not_Executed="1"),
            scripted.reply(421, signed=False),
        ):
            first, second = await self.serve([step], [scripted.reply()])
            status, _, body = await self.call("unsafe")
            self.assertEqual((status, body), (200, b"whole"))
            self.assertEqual((len(first.requests), len(second.requests)), (1, 1))
            self.remove_servers()

    async def test_request_is_retried_when_connection_is_refused(self):
        first, second = await self.serve([scripted.never_answer], [scripted.reply()])
        first.close()
        await asyncio.sleep(0.01)
        status, _, _ = await self.call("unsafe")
        self.assertEqual(status, 200)

    async def test_non_idempotent_request_is_not_retried_if_it_may_have_run(self):
        broken_answers = {
            "closed": scripted.send_and_close(),
            "not an HTTP answer": scripted.send_and_close(b"\0\0garbage\r\n\r\n"),
            "body cut short": scripted.send_and_close(
                b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
                b"X-Attempt-Id: 42\r\nContent-Length: 9\r\n\r\nabc"
            ),
            "unsigned answer": scripted.reply(signed=False),
            "answer to another request": scripted.reply(X_Attempt_Id="41"),
            "encoded": scripted.reply(Content_Encoding="gzip"),
            "503 without a statement on the run": scripted.reply(503),
            "reset": scripted.reply_without_length(b"part", is_reset=True),
        }
        for name, step in broken_answers.items():
            with self.subTest(name):
                first, second = await self.serve([step], [scripted.reply()])
                target = f"unsafe/{name.replace(' ', '-')}"
                status, headers, _ = await self.call(target)
                self.assertEqual(status, 502)
                self.assertNotIn("x-server-signature", headers)
                self.assertEqual((len(first.requests), len(second.requests)), (1, 0))
                self.remove_servers()

    async def test_answer_that_ends_within_its_head_is_no_answer(self):
        """Guards against an empty or short answer that looks complete."""
        for content_type in ("text/plain", "text/event-stream"):
            for sent in scripted.cut_heads(content_type):
                for route in ("unsafe", "stream", "resumed"):
                    with self.subTest(sent[-24:], route=route):
                        self.renew_lease()
                        (server,) = await self.serve([scripted.send_and_close(sent)])
                        status, headers, body = await self.call(f"{route}/{len(sent)}")
                        self.assertEqual(status, 502, body)
                        self.assertNotIn("x-server-signature", headers)
                        server.close()
                        self.remove_servers()

    async def test_idempotent_request_is_retried_up_to_max_attempts(self):
        for step in (
            scripted.send_and_close(),
            scripted.reply(500),
            scripted.reply(X_Attempt_Id="41"),
        ):
            first, second = await self.serve([step], [scripted.reply()])
            status, _, body = await self.call("safe")
            self.assertEqual((status, body), (200, b"whole"))
            self.remove_servers()
        first, second = await self.serve(
            [scripted.reply(500, b"1")] * 2, [scripted.reply(500, b"2")]
        )
        status, headers, _ = await self.call("safe")
        self.assertEqual((status, headers["x-server-signature"]), (500, "s"))
        self.assertEqual(len(first.requests) + len(second.requests), 2)

    async def test_server_failure_is_forwarded_unchanged(self):
        await self.serve([scripted.reply(500, b"own words")])
        status, headers, body = await self.call("unsafe")
        self.assertEqual((status, body), (500, b"own words"))
        self.assertEqual(headers["x-server-signature"], "s")

    async def test_log_tells_how_both_answers_were_framed_and_ended(self):
        cases = (
            (scripted.reply(), "length", "whole"),
            (scripted.reply_without_length(b"x", False), "connection", "closed"),
            (scripted.reply_without_length(b"x", True), "connection", "reset"),
            (scripted.send_and_close(), "none", "closed"),
        )
        for step, framing, server_end in cases:
            with self.subTest(framing=framing, server_end=server_end):
                await self.serve([step])
                await self.call("unsafe")
                line = self.last_request_line()
                self.assertEqual(line["framings"], framing)
                self.assertEqual(line["server_ends"], server_end)
                self.assertEqual(line["caller_end"], "complete")
                self.remove_servers()

    async def test_answer_without_length_ends_with_its_connection(self):
        await self.serve([scripted.reply_without_length(b"to the end", is_reset=False)])
        status, _, body = await self.call("unsafe")
        self.assertEqual((status, body), (200, b"to the end"))

    async def test_bytes_after_an_answer_are_discarded(self):
        extra_bytes = (
            b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 1\r\n\r\nz"
        )
        step = scripted.reply(after=extra_bytes)
        (server,) = await self.serve([step])
        for _ in range(3):
            status, _, body = await self.call("unsafe")
            self.assertEqual((status, body), (200, b"whole"))
        self.assertEqual(server.connection_count, 3)

    async def test_connection_is_reused_after_complete_answers(self):
        (server,) = await self.serve([scripted.reply()])
        for _ in range(3):
            await self.call("unsafe")
        self.assertEqual(server.connection_count, 1)

    async def test_timeout_status_shows_whether_request_may_have_run(self):
        await self.serve([scripted.never_answer])
        status, _, _ = await self.call("unsafe", X_Deadline_Ms="200")
        self.assertEqual(status, 504)
        self.remove_servers()
        status, headers, _ = await self.call("unsafe", X_Deadline_Ms="200")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)

    async def test_request_that_will_not_be_served_is_refused_while_it_waits(self):
        """Guards against requests that are held for all their time and then refused."""
        (server,) = await self.serve([scripted.reply()])
        server_pool = self.gateway.pool
        server_pool.has_capacity = lambda server, now_ms: False
        server_pool.find_unserved = lambda now_ms: list(server_pool.latest_ms)
        status, headers, _ = await self.call("unsafe", X_Deadline_Ms="9000")
        self.assertEqual((status, server.requests), (503, []))
        self.assertTrue(0.1 <= float(headers["retry-after"]) <= 20)
        line = self.last_request_line()
        self.assertEqual((line["outcome"], line["predicted_wait_ms"]), ("no_room", 0))
        self.assertLess(line["total_ms"], 3000)

    async def test_caller_disconnect_closes_server_connection(self):
        (server,) = await self.serve([scripted.never_answer])
        _, writer = await self.connect()
        self.write_request(writer, "unsafe")
        await wait_until(lambda: server.requests)
        writer.close()
        await wait_until(lambda: server.peer_closed_count)
        await wait_until(lambda: not self.gateway.running)
        self.assertEqual(self.gateway.pool.own_load_shares(), {})

    async def test_leaving_server_receives_no_new_requests(self):
        first, second = await self.serve([scripted.reply()], [scripted.reply()])
        self.announce("i0", first.address, phase="leaving", sequence=2)
        self.announce("i0", first.address, phase="ready", sequence=1)
        await self.call("unsafe")
        self.assertEqual((len(first.requests), len(second.requests)), (0, 1))

    async def test_server_replaced_at_its_address_receives_no_requests(self):
        """Guards against requests to a former identity, which its successor rejects.

        Each of them was an arrival that the retry budget had to pay for.
        """
        (server,) = await self.serve([scripted.reply()])
        successor = messages.ServerRecord(
            "i9", "s", server.address, "east", "ready", 2, 1, 4, 0.0
        )
        self.gateway.apply_directory(messages.Directory(False, (successor,)))
        self.assertEqual(list(self.gateway.pool.servers), ["i9"])
        await self.call("unsafe")
        (request,) = server.requests
        self.assertEqual(request.headers["x-expected-instance"], "i9")
        self.announce("i0", server.address, sequence=2)
        self.assertEqual(list(self.gateway.pool.servers), ["i9"])


async def wait_until(condition):
    """Wait up to about 5 s until a condition holds."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("The condition did not hold in time.")


class AccessTest(GatewayCase):
    """Checks of keys and routes, and their dependence on the lease."""

    async def test_status_of_known_and_unknown_keys_and_routes(self):
        await self.serve([scripted.reply()])
        for route, key, expected in (
            ("safe", "k", 200),
            ("safe", "other", 401),
            ("safe", "", 401),
            ("public", "", 200),
            ("public", "other", 401),
            ("none", "k", 404),
        ):
            with self.subTest(route=route, key=key):
                status, _, _ = await self.call(route, key=key)
                self.assertEqual(status, expected)

    async def test_expired_lease_neither_serves_nor_denies_keys(self):
        (server,) = await self.serve([scripted.reply()])
        self.expire_lease(10_000)
        for route, key in (("safe", "k"), ("safe", "other"), ("none", "k")):
            status, headers, _ = await self.call(route, key=key)
            self.assertEqual(status, 503)
            self.assertIn("retry-after", headers)
        self.assertEqual(server.requests, [])
        status, _, _ = await self.call("public", key="")
        self.assertEqual(status, 200)

    async def test_key_is_not_used_without_a_lease_on_a_public_route(self):
        """Guards against a revoked key that a gateway serves after a freeze or cut."""
        (server,) = await self.serve([scripted.reply()])
        self.expire_lease(10_000)
        for key in ("k", "other"):
            status, headers, _ = await self.call("public", key=key)
            self.assertEqual(status, 503)
            self.assertIn("retry-after", headers)
        self.put_document({**DOCUMENT, "version": 2, "tenants": []})
        status, _, _ = await self.call("safe", key="k")
        self.assertEqual((status, server.requests), (503, []))
        self.renew_lease()
        for route in ("public", "safe"):
            status, _, _ = await self.call(route, key="k")
            self.assertEqual(status, 200)

    async def test_revoked_key_on_a_route_that_was_public_waits_for_the_lease(self):
        """Guards against an old copy that decides in the moment after a freeze."""
        (server,) = await self.serve([scripted.reply()])
        self.expire_lease(1000)
        call = asyncio.ensure_future(self.call("public", key="k"))
        await wait_until(lambda: self.gateway.lease.waiting)
        self.renew_lease()
        closed = {**DOCUMENT["routes"][-1], "public": False}
        revoked = [{"name": "w", "api_keys": ["k2"]}]
        routes = [*DOCUMENT["routes"][:-1], closed]
        self.put_document(
            {**DOCUMENT, "version": 2, "routes": routes, "tenants": revoked}
        )
        status, _, _ = await call
        self.assertEqual(status, 401)
        self.assertEqual(server.requests, [])

    async def test_new_key_on_a_route_that_was_public_waits_for_the_lease(self):
        """Guards against a server that is shown a key which the gateway does not know.

        It also guards against a request of a workspace that runs as nobody's.
        """
        (server,) = await self.serve([scripted.reply()])
        lease_ms = self.settings.gateway.lease_ms
        self.expire_lease(-lease_ms // 4)
        self.assertTrue(self.gateway.lease.is_valid)
        call = asyncio.ensure_future(self.call("public", key="new"))
        await wait_until(lambda: self.gateway.lease.waiting)
        closed = {**DOCUMENT["routes"][-1], "public": False}
        routes = [*DOCUMENT["routes"][:-1], closed]
        added = [{"name": "w", "api_keys": ["k", "new"]}]
        self.put_document(
            {**DOCUMENT, "version": 2, "routes": routes, "tenants": added}
        )
        self.renew_lease()
        self.gateway.on_lease_renewed()
        status, _, _ = await call
        self.assertEqual(status, 200)
        (request,) = server.requests
        self.assertNotIn("new", str(request.headers))
        self.assertEqual(request.headers["x-tenant-id"], "w")

    def expire_lease(self, ago_ms):
        """Set the startup and the expiry of the lease to `ago_ms` milliseconds ago."""
        self.gateway.lease.started_ms = clock.now_ms() - ago_ms
        lease_ms = self.settings.gateway.lease_ms
        self.gateway.lease.renewed_ms = clock.boot_ms() - lease_ms - ago_ms

    async def test_request_at_startup_waits_for_lease(self):
        """Guards against refusals after all hosts restart at once.

        Each caller has only one more retry, which a refusal would use up.
        """
        (server,) = await self.serve([scripted.reply()])
        self.gateway.lease.renewed_ms = None
        call_task = asyncio.ensure_future(self.call("safe", X_Deadline_Ms="3000"))
        await asyncio.sleep(0.2)
        self.assertFalse(call_task.done())
        self.renew_lease()
        self.gateway.on_lease_renewed()
        status, _, _ = await call_task
        self.assertEqual(status, 200)

    async def test_request_at_startup_waits_for_server_announcements(self):
        """Restarted control hosts know no servers for about a second."""
        calls = [self.call("safe", X_Deadline_Ms="3000") for _ in range(8)]
        call_task = asyncio.ensure_future(asyncio.gather(*calls))
        await asyncio.sleep(0.2)
        self.assertFalse(call_task.done())
        await self.serve([scripted.reply()])
        self.assertEqual([status for status, _, _ in await call_task], 8 * [200])

    async def test_service_without_servers_refuses_at_once_after_startup(self):
        self.gateway.lease.started_ms = clock.now_ms() - 10_000
        request_start_ms = clock.now_ms()
        status, headers, _ = await self.call("safe", X_Deadline_Ms="3000")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertLess(clock.now_ms() - request_start_ms, 200)

    async def test_request_is_refused_in_time_when_no_lease_arrives(self):
        self.gateway.lease.renewed_ms = None
        request_start_ms = clock.now_ms()
        status, headers, _ = await self.call("safe", X_Deadline_Ms="900")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertLess(clock.now_ms() - request_start_ms, 600)

    async def test_request_is_refused_at_once_when_lease_is_long_expired(self):
        self.expire_lease(10_000)
        request_start_ms = clock.now_ms()
        status, _, _ = await self.call("safe", X_Deadline_Ms="6000")
        self.assertEqual(status, 503)
        self.assertLess(clock.now_ms() - request_start_ms, 200)

    async def test_removed_key_stays_rejected_after_older_document(self):
        await self.serve([scripted.reply()])
        newer = {**DOCUMENT, "version": 5, "tenants": [{"name": "w", "api_keys": []}]}
        self.put_document(newer)
        self.put_document({**DOCUMENT, "version": 4})
        status, _, _ = await self.call("safe")
        self.assertEqual(status, 401)


class StreamTest(GatewayCase):
    """Streams: each event once and in order; only a complete stream ends normally."""

    async def test_stream_is_forwarded_unchanged(self):
        await self.serve([scripted.stream(EVENTS, pause_s=0.01)])
        status, _, body = await self.call("stream")
        self.assertEqual((status, body), (200, b"".join(EVENTS)))

    async def test_broken_stream_resumes_on_another_server(self):
        first, second = await self.serve(
            [
                scripted.stream(
                    EVENTS[:3], is_complete=False, partial_event=b"id: 4\nda"
                )
            ],
            [scripted.stream(EVENTS[3:])],
        )
        status, _, body = await self.call("resumed")
        self.assertEqual((status, body), (200, b"".join(EVENTS)))
        self.assertEqual(second.requests[0].headers["last-event-id"], "3")
        self.assertEqual(len(first.requests), 1)

    async def test_broken_non_resumable_stream_ends_incomplete(self):
        first, second = await self.serve(
            [scripted.stream(EVENTS[:3], is_complete=False)], [scripted.stream(EVENTS)]
        )
        status, _, body = await self.call("stream")
        self.assertEqual((status, body), (200, None))
        self.assertEqual(second.requests, [])
        line = self.last_request_line()
        self.assertEqual(
            (line["framings"], line["server_ends"], line["caller_end"]),
            ("chunks", "closed", "cut"),
        )

    async def test_silent_stream_is_kept_when_it_cannot_fail_over(self):
        pause_s = sending.STREAM_SILENCE_TIMEOUT_MS / 1000 + 0.3
        slow = scripted.stream(EVENTS[:2], pause_s=pause_s)
        (server,) = await self.serve([slow])
        status, _, body = await self.call("resumed")
        self.assertEqual((status, body), (200, b"".join(EVENTS[:2])))
        self.assertEqual(len(server.requests), 1)

    async def test_started_answer_is_not_refused_for_a_long_queue(self):
        first, second = await self.serve(
            [scripted.stream(EVENTS[:3], is_complete=False)],
            [scripted.stream(EVENTS[3:])],
        )
        server_pool = self.gateway.pool
        server_pool.expected_wait_ms = lambda work, now_ms: (
            10**6 if first.requests else 0
        )
        status, _, body = await self.call("resumed")
        self.assertEqual((status, body), (200, b"".join(EVENTS)))

    async def test_silent_stream_fails_over_to_server_with_room(self):
        pause_s = sending.STREAM_SILENCE_TIMEOUT_MS / 1000 + 60
        first, second = await self.serve(
            [scripted.stream(EVENTS, pause_s=pause_s)], [scripted.stream(EVENTS[1:])]
        )
        status, _, body = await self.call("resumed")
        self.assertEqual((status, body), (200, b"".join(EVENTS)))
        await wait_until(lambda: first.peer_closed_count)

    async def test_last_event_id_of_caller_is_forwarded(self):
        self.list_one_version()
        (server,) = await self.serve([scripted.stream(EVENTS[2:])])
        _, _, body = await self.call("resumed", Last_Event_Id="2")
        self.assertEqual(body, b"".join(EVENTS[2:]))
        self.assertEqual(server.requests[0].headers["last-event-id"], "2")


class ReadinessTest(GatewayCase):
    """The readiness endpoint and requests during shutdown."""

    async def fetch_readiness_status(self):
        host, _, port = self.settings.gateway.ready_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
        status, _, _ = await read_answer(reader)
        writer.close()
        return status

    async def test_ready_only_with_document_and_fresh_lease(self):
        self.assertEqual(await self.fetch_readiness_status(), 200)
        self.assertEqual(self.gateway.unready_reason, "")
        self.gateway.lease.renewed_ms = clock.boot_ms() - 4000
        self.assertEqual(await self.fetch_readiness_status(), 503)
        self.assertEqual(self.gateway.unready_reason, "old_lease")
        self.renew_lease()
        self.gateway.shutdown.since_ms = clock.now_ms()
        self.assertEqual(await self.fetch_readiness_status(), 503)
        self.assertEqual(self.gateway.unready_reason, "stopping")

    async def test_request_that_waited_for_the_lease_is_charged_when_admitted(self):
        """Guards against a bucket that is refilled again for the time of each wait."""
        await self.serve([scripted.reply()])
        self.gateway.lease.renewed_ms = clock.boot_ms() - self.gateway.lease.duration_ms
        acquire = self.gateway.allotments.acquire
        charged_ms = []

        def record(workspace, cost, now_ms, tier):
            charged_ms.append(now_ms)
            return acquire(workspace, cost, now_ms, tier)

        self.gateway.allotments.acquire = record
        calling = asyncio.ensure_future(self.call("safe"))
        await asyncio.sleep(0.1)
        renewed_ms = clock.now_ms()
        self.renew_lease()
        self.gateway.on_lease_renewed()
        status, _, _ = await calling
        self.assertEqual(status, 200)
        self.assertGreaterEqual(min(charged_ms), renewed_ms)

    async def test_stopping_gateway_answers_and_closes_connections(self):
        await self.serve([scripted.reply()])
        self.gateway.shutdown.since_ms = clock.now_ms()
        status, headers, _ = await self.call("unsafe")
        self.assertEqual((status, headers["connection"]), (200, "close"))
        self.gateway.shutdown.since_ms -= shutdown.ACCEPT_MS
        status, headers, _ = await self.call("unsafe")
        self.assertEqual((status, headers["connection"]), (503, "close"))


if __name__ == "__main__":
    unittest.main()
