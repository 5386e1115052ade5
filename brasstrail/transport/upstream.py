"""Connections to backend servers: one request at a time, kept and used again.

`Upstream` is one connection. Whatever arrives on it while no request is under
way belongs to nobody, so a connection that has shown such bytes is closed. A
request is written at most once: nothing here sends anything again, and each
failure says whether any byte of the request may have reached the server.
"""

import asyncio
import socket

from tornado import http1connection, httputil, iostream, tcpclient

from brasstrail.core import clock

CHUNK_BYTES = 65536
MAX_HEADER_BYTES = 65536
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Chunks of an answer that wait here until its caller has taken earlier ones.
MAX_BUFFERED_CHUNKS = 64
# How long written bytes may stay without an acknowledgement by the other end, and
# how a connection that carries nothing is probed; both show silent connections.
TCP_USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# An idle connection is closed before the server would close it.
IDLE_TIMEOUT_MARGIN_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 4.0
MIN_IDLE_TIMEOUT_S = 0.3


class ConnectFailed(Exception):
    """No byte of the request was sent."""


class AnswerIncomplete(Exception):
    """The request was sent, and its answer did not come whole."""


class Answer(httputil.HTTPMessageDelegate):
    """An answer as it arrives.

    Attributes
    ----------
    head : a future of the start line and the headers.
    has_length : whether its framing tells where it ends.
    whole : whether it has come to its end.
    """

    def __init__(self):
        self.head = asyncio.get_running_loop().create_future()
        self.has_length = True
        self.chunks = asyncio.Queue(MAX_BUFFERED_CHUNKS)
        self.whole = False

    def headers_received(self, start_line, headers):
        """Take the head; interim answers are passed over."""
        if start_line.code >= 200 and not self.head.done():
            is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
            self.has_length = is_chunked or "Content-Length" in headers
            self.head.set_result((start_line, headers))

    def data_received(self, chunk):
        """Take a part of the body, at the pace at which it is consumed."""
        return self.chunks.put(chunk)

    def finish(self):
        """Note that the answer is whole as far as its framing tells."""
        self.whole = True

    def on_connection_close(self):
        """The connection ended within the answer; the reader tells."""


class Upstream:
    """A connection to a backend server.

    Parameters
    ----------
    stream : the connected `iostream.IOStream`.
    address : the server's address.
    """

    def __init__(self, stream, address):
        self.stream = stream
        self.address = address
        self.answer = None
        self.read_task = None
        self.write_future = None
        self.idle_until_ms = 0
        self.requests_sent = 0

    def send(self, method, target, headers, body):
        """Write a request and begin to read its answer."""
        self.requests_sent += 1
        self.answer = Answer()
        parameters = http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )
        connection = http1connection.HTTP1Connection(
            self.stream, True, parameters, self.address
        )
        start_line = httputil.RequestStartLine(method, target, "")
        self.write_future = connection.write_headers(start_line, headers, body or None)
        connection.finish()
        self.read_task = asyncio.ensure_future(
            self.read_answer(connection, self.answer)
        )

    async def read_answer(self, connection, answer):
        """Read one answer to its end, and say whether it is whole."""
        try:
            await connection.read_response(answer)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            answer.whole = False
        # A body without a length ends with its connection; a reset is no end. One
        # that is whole by its framing stays so, whatever becomes of the connection.
        if self.stream.error is not None and not answer.has_length:
            answer.whole = False
        if not answer.head.done():
            answer.head.set_exception(AnswerIncomplete("The connection ended."))
            answer.head.exception()
        await answer.chunks.put(None)

    async def read_head(self):
        """Return the start line and the headers of the answer."""
        return await asyncio.shield(self.answer.head)

    async def read_chunk(self):
        """Return the next part of the body, or None at its end.

        Raises `AnswerBroken` where the answer did not come whole.
        """
        chunk = await self.answer.chunks.get()
        if chunk is None and not self.answer.whole:
            raise AnswerIncomplete("The answer was cut off.")
        return chunk

    async def read_body(self, max_bytes):
        """Return the whole body; raise `AnswerBroken` where it is not whole."""
        chunks = []
        size = 0
        while (chunk := await self.read_chunk()) is not None:
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise AnswerIncomplete("The answer is too large.")
        return b"".join(chunks)

    def try_mark_idle(self, keep_alive_timeout_s):
        """Keep the connection for another request; return whether it may be.

        It may not where the request or the answer was not finished, where the
        answer ended with the connection, or where bytes of nobody's arrived.
        """
        finished = self.read_task is not None and self.answer.whole
        written = self.write_future is not None and self.write_future.done()
        if not (
            finished
            and written
            and self.answer.has_length
            and self.is_open_and_drained()
        ):
            return False
        idle_timeout_s = (
            DEFAULT_IDLE_TIMEOUT_S
            if keep_alive_timeout_s is None
            else keep_alive_timeout_s - IDLE_TIMEOUT_MARGIN_S
        )
        if idle_timeout_s < MIN_IDLE_TIMEOUT_S:
            return False
        self.idle_until_ms = clock.now_ms() + int(idle_timeout_s * 1000)
        # With a callback the stream watches for its end and for stray bytes.
        self.stream.set_close_callback(self.close)
        return True

    def is_open_and_drained(self):
        """Return whether the connection is open and holds no stray bytes."""
        # The stream has no public way to tell what lies in its buffer.
        return not self.stream.closed() and self.stream._read_buffer_size == 0

    def is_usable(self):
        """Return whether an idle connection may carry another request."""
        return self.is_open_and_drained() and clock.now_ms() < self.idle_until_ms

    def close(self):
        """Close the connection; a server stops its work on that."""
        if self.read_task is not None:
            self.read_task.cancel()
        self.stream.close()


def set_silence_timeouts(sock):
    """Let the operating system close a connection that has gone silent."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


class ConnectionPool:
    """The idle connections to all servers, and the way to new ones.

    They are kept by (address, identity): an address may pass to another server.
    """

    def __init__(self):
        self.idle = {}
        self.client = tcpclient.TCPClient()
        self.opened_count = 0

    def take_idle(self, address, identity):
        """Return an idle connection that may be used, or None."""
        kept = self.idle.get((address, identity), [])
        while kept:
            upstream = kept.pop()
            if upstream.is_usable():
                upstream.stream.set_close_callback(None)
                return upstream
            upstream.close()
        return None

    async def open(self, address, timeout_ms):
        """Return a new connection; raise `ConnectFailed`."""
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        connecting = self.client.connect(host, int(port))
        try:
            stream = await asyncio.wait_for(connecting, timeout_ms / 1000)
        except (OSError, asyncio.TimeoutError, iostream.StreamClosedError) as error:
            raise ConnectFailed(str(error) or type(error).__name__) from error
        if stream.closed():
            # It was reset between its establishment and this task's turn.
            raise ConnectFailed("The connection was reset at once.")
        stream.set_nodelay(True)
        set_silence_timeouts(stream.socket)
        return Upstream(stream, address)

    def release(self, upstream, identity, keep_alive_timeout_s):
        """Keep a connection whose request is over, or close it."""
        if upstream.try_mark_idle(keep_alive_timeout_s):
            key = (upstream.address, identity)
            self.idle.setdefault(key, []).append(upstream)
        else:
            upstream.close()

    def close_expired(self):
        """Close the idle connections that may not be used again."""
        for key, kept in list(self.idle.items()):
            usable = [upstream for upstream in kept if upstream.is_usable()]
            for upstream in kept:
                if upstream not in usable:
                    upstream.close()
            self.idle[key] = usable
            if not usable:
                del self.idle[key]

    def close(self):
        """Close all idle connections."""
        for kept in self.idle.values():
            for upstream in kept:
                upstream.close()
        self.idle = {}
