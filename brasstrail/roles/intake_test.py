"""Hostile callers at all ports of real processes.

Each test brings one kind of traffic to each endpoint. While it lasts, the process has
to live within its memory and descriptors, and to answer an ordinary request.
"""

import asyncio
import contextlib
import pathlib
import resource
import tempfile
import unittest

import orjson

from brasstrail.fakes import scripted
from brasstrail.tools import cluster

MIB = 1024 * 1024
# The memory of a process in the target deployments. Without callers it uses 46 MB.
MEMORY_BOUND = 128 * MIB
DESCRIPTOR_LIMIT = 256
BODY_BYTES = 4 * MIB
ANSWER_BYTES = MIB - 65536
# Hostile callers get this long to send; the process may stop reading from them.
SEND_TIMEOUT_S = 4.0
ORDINARY_TIMEOUT_S = 20.0
ATTEMPT_TIMEOUT_S = 5.0
DOCUMENT = {
    "version": 1,
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/r/",
            "type": "idempotent",
            "timeout_ms": 5000,
            "goal_ms": 1000,
            "service": "s",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "s", "max_conns": 100}],
    "tenants": [{"name": "w", "api_keys": ["k"]}],
}
# The process, the name of its port, the path, and the status of an ordinary answer.
# A peer port does not answer HTTP.
ENDPOINTS = {
    "route": ("g", "http", "/r/x", 200),
    "no_route": ("g", "http", "/none", 404),
    "readiness": ("g", "ready", "/v1/readyz", 200),
    "metrics": ("g", "announce", "/metrics", 200),
    "document": ("c", "document", "/v1/configuration", 200),
    "peer": ("g", "peer", "/", None),
}
# A document is put, and anything else is posted or asked for.
METHODS = {"document": b"PUT"}


def make_head(endpoint, method, *fields):
    """Return the head of a request with the key of the workspace."""
    start_line = b"%s %s HTTP/1.1" % (method, ENDPOINTS[endpoint][2].encode())
    lines = (start_line, b"Host: h", b"Authorization: Token k", *fields)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def body_parts(endpoint, announced, sent):
    """Yield a request whose body has `sent` of `announced` bytes."""
    yield make_head(
        endpoint, METHODS.get(endpoint, b"POST"), b"Content-Length: %d" % announced
    )
    for _ in range(sent // 65536):
        yield bytes(65536)
    yield bytes(sent % 65536)


def chunk_parts(endpoint):
    """Yield a request with a body in chunks of 16 bytes, without the last one."""
    method = METHODS.get(endpoint, b"POST")
    yield make_head(endpoint, method, b"Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // 65536):
        yield (b"10\r\n" + bytes(16) + b"\r\n") * 4096


def field_parts(endpoint):
    """Yield requests with as many short fields as fit into a head."""
    fields = (b"%x:" % number for number in range(2500))
    yield from (make_head(endpoint, b"GET", *fields),) * 20


# The number of callers and what each of them sends to an endpoint, by kind of traffic.
CROWDS = {
    "bodies_one_byte_short": (
        40,
        lambda each: body_parts(each, BODY_BYTES, BODY_BYTES - 1),
    ),
    "bodies_over_the_limit": (40, lambda each: body_parts(each, 2**30, BODY_BYTES)),
    "small_chunks": (40, chunk_parts),
    "many_fields": (40, field_parts),
    "pipelined_requests": (
        40,
        lambda each: (make_head(each, b"GET") * 100 for _ in range(20)),
    ),
    "unread_answers": (120, lambda each: (make_head(each, b"GET"),)),
    "unfinished_heads": (400, lambda each: (make_head(each, b"GET")[:-3],)),
    "connections": (400, lambda each: ()),
}


@contextlib.contextmanager
def limit_descriptors(count):
    """Limit the descriptors of the processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def send_parts(stack, port, parts):
    """Open a connection that stays open, and send what its other end reads in time."""
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            # A limit of one byte keeps the answers in the kernel's buffers.
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
            stack.callback(abort, writer)
            for part in parts:
                writer.write(part)
                await writer.drain()


def abort(writer):
    """Close a connection at once, unless it has been closed."""
    if not writer.is_closing():
        writer.transport.abort()


class HostileCallersTest(unittest.IsolatedAsyncioTestCase):
    """A gateway and a control process under all kinds of `CROWDS`."""

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        metrics = "[metrics]\nport = {announce}\n"
        nodes = (
            cluster.NodeSpec(
                "c",
                ("control",),
                extra_settings='document_address = "127.0.0.1:{document}"\n',
            ),
            cluster.NodeSpec(
                "g",
                ("gateway",),
                extra_settings="max_held_bytes = 8388608\n" + metrics,
            ),
        )
        running = cluster.Cluster(folder, nodes, (), relayed=False)
        with limit_descriptors(DESCRIPTOR_LIMIT):
            self.cluster = await self.stack.enter_async_context(running)
        server = scripted.ScriptedServer(scripted.reply(body=bytes(ANSWER_BYTES)))
        await server.start()
        self.stack.callback(server.close)
        await self.wait_for("/v1/configuration", orjson.dumps(DOCUMENT))
        announcement = {
            "service": "s",
            "address": server.address,
            "zone": "dc-1",
            "version": "v1",
            "slots": 100,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": 1,
            "sequence": 1,
        }
        body = orjson.dumps(announcement)
        await self.wait_for("/v1/instances/i", body)
        announcing = asyncio.ensure_future(self.announce(announcement))
        self.stack.callback(announcing.cancel)
        for endpoint in ENDPOINTS:
            self.assertTrue(await self.is_answered(endpoint), endpoint)

    async def wait_for(self, path, body):
        """Repeat a call of the control process until it succeeds."""

        async def succeeds():
            return await self.fetch_status("c", "document", path, body) == 200

        await self.cluster.wait_until(succeeds, path)

    async def announce(self, announcement):
        """Announce the server again and again, as each server does."""
        while True:
            announcement["sequence"] += 1
            body = orjson.dumps(announcement)
            await self.fetch_status("c", "document", "/v1/instances/i", body)
            await asyncio.sleep(0.4)

    async def fetch_status(self, name, port_name, path, body=None):
        """Return the status of an ordinary answer, or 599 without one."""
        headers = {"Host": "h", "Authorization": "Token k"}
        try:
            reply = await self.cluster.fetch(
                self.cluster.ports[name][port_name],
                path,
                body,
                ATTEMPT_TIMEOUT_S,
                headers=headers,
                method="GET" if body is None else "PUT",
            )
        except OSError:
            return 599
        return reply.code

    async def is_answered(self, endpoint):
        """Return whether an ordinary request is answered, at the latest in a repeat."""
        name, port_name, path, status = ENDPOINTS[endpoint]
        if status is None:
            name, port_name, path, status = ENDPOINTS["metrics"]
        deadline = asyncio.get_running_loop().time() + ORDINARY_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            if await self.fetch_status(name, port_name, path) == status:
                return True
            await asyncio.sleep(0.2)
        return False

    async def check(self, kind):
        """Bring one kind of traffic to each endpoint."""
        for endpoint, (name, port_name, *_) in ENDPOINTS.items():
            with self.subTest(endpoint), contextlib.ExitStack() as connections:
                folder = pathlib.Path(f"/proc/{self.cluster.processes[name].pid}")
                # Makes the kernel measure the peak of the memory from now on.
                (folder / "clear_refs").write_text("5")
                count, make_parts = CROWDS[kind]
                port = self.cluster.ports[name][port_name]
                sent = (
                    send_parts(connections, port, make_parts(endpoint))
                    for _ in range(count)
                )
                await asyncio.gather(*sent)
                self.assertTrue(self.cluster.is_running(name))
                self.assertTrue(await self.is_answered(endpoint), "no answer")
                lines = (folder / "status").read_text().splitlines()
                (peak,) = (each.split()[1] for each in lines if "VmHWM" in each)
                self.assertLess(1024 * int(peak), MEMORY_BOUND)
                descriptors = len(list((folder / "fd").iterdir()))
                self.assertLess(descriptors, DESCRIPTOR_LIMIT - 16)


def make_test(kind):
    """Return the test of one kind of traffic."""

    async def test(self):
        await self.check(kind)

    test.__name__ = f"test_{kind}"
    test.__doc__ = f"Guards against a process that {kind} end, fill or hang."
    return test


for _kind in CROWDS:
    setattr(HostileCallersTest, f"test_{_kind}", make_test(_kind))
