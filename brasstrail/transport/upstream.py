"""Pooled HTTP connections to backend servers, with one request at a time on each.

`Upstream` is one connection. Bytes that arrive on it while no request is in
progress belong to no request, so the connection is closed. A request is written at
most once: this module never retries, and each failure says whether any byte of the
request may have reached the server.
"""

import asyncio
import contextlib
import enum
import socket

from tornado import http1connection, httputil, iostream, tcpclient

from brasstrail.core import bounds, clock, errors
from brasstrail.transport import intake, statuses

# Also what is read from the socket at once, for each connection.
CHUNK_BYTES = 16_384
MAX_HEADER_BYTES = 65536
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Chunks of an answer that are buffered until the reader has taken earlier ones.
MAX_BUFFERED_CHUNKS = 64
# The same in bytes. A stream's events are small; only the answers to callers that do
# not read come near.
MAX_BUFFERED_BYTES = 256 * 1024
# These detect silent connections: the time-out for the acknowledgement of written
# bytes by the other end, and the probes on a connection without traffic.
TCP_USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# An idle connection is closed this long before the server would close it.
IDLE_TIMEOUT_MARGIN_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 4.0
MIN_IDLE_TIMEOUT_S = 0.3


# Interim answers before an answer that are ignored; the parser recurses with each.
MAX_INTERIM_ANSWERS = 16
# Answers with one of these statuses never have a body.
BODILESS_STATUSES = (204, 304)


class Framing(enum.StrEnum):
    """What determines the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class AnswerEnd(enum.StrEnum):
    """How the reception of an answer ended.

    `WHOLE` means that its length or its last chunk was reached. Before that, the
    connection was closed in order or failed, for example by a reset.
    """

    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"


class ConnectFailed(Exception):
    """The connection failed before any byte of the request was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing listens at the address."""


class AnswerIncomplete(Exception):
    """The request was sent, but its complete answer was not received."""


class AnswerTooLarge(AnswerIncomplete):
    """The answer exceeds the size limit, so that the rest of it was not read."""


class Answer(httputil.HTTPMessageDelegate):
    """An answer that is being received.

    Attributes
    ----------
    head : a future of the start line and the headers.
    framing : `Framing` of the body, or None before the head.
    chunks : a queue of the received parts of the body; None follows the last one.
    is_parsed : whether the parser has reached the end of the body.
    end : `AnswerEnd`, or None while the answer is being received.
    interim_answers : how many were received.
    account : `intake.Account` of the process, which counts the buffered chunks.
    buffered_bytes : the size of the chunks that the reader has not taken.
    received_bytes : the size of all chunks. Small answers are never paused.
    on_interim : called with the start line and headers of each interim answer, or None.
    """

    def __init__(self, account=None, on_interim=None):
        self.account = account or intake.Account()
        self.on_interim = on_interim
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.has_room = asyncio.Event()
        self.head = asyncio.get_running_loop().create_future()
        self.framing = None
        self.chunks = asyncio.Queue(MAX_BUFFERED_CHUNKS)
        self.is_parsed = False
        self.end = None
        self.interim_answers = 0

    @property
    def is_whole(self):
        """Whether the answer was received completely, as far as its framing tells."""
        ended_in_order = self.is_parsed and self.end is AnswerEnd.CLOSED
        return self.end is AnswerEnd.WHOLE or (
            self.framing is Framing.CONNECTION and ended_in_order
        )

    def headers_received(self, start_line, headers):
        """Store the head; interim answers are passed to `on_interim`.

        Raises `httputil.HTTPInputError`, upon which the connection is closed, if there
        are too many of these, or if the status is none.
        """
        if not statuses.is_status(start_line.code):
            raise httputil.HTTPInputError("The status of an answer is none.")
        if start_line.code < statuses.FIRST_FINAL_STATUS:
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                raise httputil.HTTPInputError("The server sends only interim answers.")
            if self.on_interim is not None:
                self.on_interim(start_line, headers)
        elif not self.head.done():
            self.framing = find_framing(start_line.code, headers)
            self.head.set_result((start_line, headers))

    def data_received(self, chunk):
        """Queue a part of the body; wait while there is no room for more."""
        self.count(len(chunk))
        self.received_bytes += len(chunk)
        is_large = self.received_bytes > self.account.limits.small_bytes
        is_held = is_large and self.account.is_crowded
        if self.buffered_bytes > MAX_BUFFERED_BYTES or is_held:
            return self.put_and_wait(chunk)
        return self.chunks.put(chunk)

    async def put_and_wait(self, chunk):
        """Queue a part of the body, and wait until there is room for more."""
        await self.chunks.put(chunk)
        await self.account.wait_for_room(self)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.account.release_answer(self)
        while self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.has_room.clear()
            await self.has_room.wait()

    def count(self, size):
        """Count bytes that are buffered; a negative size releases them."""
        self.buffered_bytes += size
        self.account.add(size)
        if self.buffered_bytes <= MAX_BUFFERED_BYTES:
            self.has_room.set()

    async def take_chunk(self):
        """Return the next part of the body, or None at its end."""
        chunk = await self.chunks.get()
        if chunk is not None:
            self.count(-len(chunk))
        return chunk

    def finish(self):
        """Record that the parser has reached the end of the body."""
        self.is_parsed = True

    def on_connection_close(self):
        """Do nothing; `Upstream.read_answer` reports that the connection ended."""


def find_framing(status, headers):
    """Return the `Framing` of an answer's body."""
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    if "Content-Length" in headers or status in BODILESS_STATUSES:
        return Framing.LENGTH
    return Framing.CONNECTION


class Upstream:
    """A connection to a backend server.

    Parameters
    ----------
    stream : the connected `iostream.IOStream`.
    address : the server's address.
    account : `intake.Account` of the process, or None for one of its own.

    Attributes
    ----------
    answer : the `Answer` to the last request, or None before the first.
    read_task : the task that reads the answer, or None.
    write_future : completes when the request is written; None before the first.
    opened_ms : when it was opened.
    idle_until_ms : until when an idle connection may be reused.
    requests_sent : how many requests were sent on the connection.
    on_interim : called with the start line and headers of each interim answer, or None.
    """

    def __init__(self, stream, address, account=None):
        self.account = account or intake.Account()
        self.stream = stream
        self.address = address
        self.answer = None
        self.read_task = None
        self.write_future = None
        self.opened_ms = clock.now_ms()
        self.idle_until_ms = 0
        self.requests_sent = 0
        self.on_interim = None

    def send(self, method, target, headers, body):
        """Write a request and start to read its answer."""
        self.requests_sent += 1
        self.answer = Answer(self.account, self.on_interim)
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
        """Read one answer to its end and record how it ended."""
        with contextlib.suppress(
            iostream.StreamClosedError, iostream.UnsatisfiableReadError
        ):
            await connection.read_response(answer)
        self.account.release_answer(answer)
        answer.end = self.find_end(answer)
        if not answer.head.done():
            answer.head.set_exception(
                AnswerIncomplete("The connection ended before the answer's head.")
            )
            answer.head.exception()
        await answer.chunks.put(None)

    def find_end(self, answer):
        """Return the `AnswerEnd` of an answer whose reception has ended.

        An answer that is whole according to its length or chunks stays so if the
        connection fails afterwards. For the parser, a body that is framed by its
        connection ends with the connection, however that ended. An end in order while
        the request is still being written may be a reset that a relay has seen.
        """
        is_framed = answer.framing in (Framing.LENGTH, Framing.CHUNKS)
        if answer.is_parsed and is_framed:
            return AnswerEnd.WHOLE
        ended_in_order = self.stream.error is None and not self.is_writing
        return AnswerEnd.CLOSED if ended_in_order else AnswerEnd.RESET

    async def read_head(self):
        """Return the start line and the headers of the answer."""
        return await asyncio.shield(self.answer.head)

    async def read_chunk(self):
        """Return the next part of the body, or None at its end.

        Raises `AnswerIncomplete` if the answer ended before it was complete.
        """
        chunk = await self.answer.take_chunk()
        if chunk is None and not self.answer.is_whole:
            raise AnswerIncomplete("The connection ended within the answer's body.")
        return chunk

    async def read_body(self, max_bytes):
        """Return the complete body.

        Raises `AnswerIncomplete` if it ended early, or `AnswerTooLarge` if it exceeds
        `max_bytes`.
        """
        # One growing buffer: many kept parts would fragment the heap.
        body = bytearray()
        with contextlib.ExitStack() as stack:
            while (chunk := await self.read_chunk()) is not None:
                self.account.add(len(chunk))
                stack.callback(self.account.add, -len(chunk))
                body += chunk
                if len(body) > max_bytes:
                    raise AnswerTooLarge("The answer's body exceeds the size limit.")
            return bytes(body)

    def try_mark_idle(self, keep_alive_timeout_s):
        """Mark the connection as idle; return whether it can be reused.

        It cannot be reused if the request or the answer is incomplete, if the
        answer ends with the connection, if bytes arrived that belong to no answer,
        or if the remaining idle time is too short. `keep_alive_timeout_s` is how
        long the server keeps an idle connection, or None if it is not known.
        """
        if not self.is_ready_for_next():
            return False
        idle_timeout_s = (
            DEFAULT_IDLE_TIMEOUT_S
            if keep_alive_timeout_s is None
            else keep_alive_timeout_s - IDLE_TIMEOUT_MARGIN_S
        )
        if idle_timeout_s < MIN_IDLE_TIMEOUT_S:
            return False
        self.idle_until_ms = clock.now_ms() + int(idle_timeout_s * 1000)
        # A stream with a close callback detects its end and unexpected bytes.
        self.stream.set_close_callback(self.close)
        return True

    @property
    def is_writing(self):
        """Whether a request is still being written."""
        return self.write_future is not None and not self.write_future.done()

    def is_ready_for_next(self):
        """Return whether a request was answered and another one may be sent."""
        is_whole = self.answer is not None and self.answer.end is AnswerEnd.WHOLE
        return is_whole and not self.is_writing and self.is_open_and_drained()

    def is_open_and_drained(self):
        """Return whether the connection is open and has no unread bytes."""
        # The stream has no public method that returns the size of its buffer.
        return not self.stream.closed() and self.stream._read_buffer_size == 0

    def is_usable(self):
        """Return whether an idle connection can be used for another request."""
        return self.is_open_and_drained() and clock.now_ms() < self.idle_until_ms

    @property
    def framing(self):
        """The `Framing` of the answer to the last request, or None before its head."""
        return self.answer.framing if self.answer else None

    @property
    def end(self):
        """The `AnswerEnd` of that answer, or None while it is being received."""
        return self.answer.end if self.answer else None

    def close(self):
        """Close the connection; the server then stops work on an unfinished request."""
        if self.read_task is not None:
            self.read_task.cancel()
        if self.answer is not None:
            self.answer.count(-self.answer.buffered_bytes)
            self.account.release_answer(self.answer)
        self.stream.close()


def abandon(connecting):
    """Cancel a task that opens a connection, and close what it has opened."""
    connecting.cancel()
    connecting.add_done_callback(close_opened)


def close_opened(connecting):
    """Close the stream that a finished task has opened, if any."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def set_silence_timeouts(sock):
    """Make the operating system close a connection that becomes silent."""
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
    """Keeps the idle connections to all servers and opens new ones.

    Idle connections are stored by (address, identity), because an address may be
    reassigned to another server.

    Parameters
    ----------
    account : `intake.Account` of the process, or None for one of its own.

    Attributes
    ----------
    idle : lists of idle connections by (address, identity).
    opened_count : how many connections were opened, including failed attempts.
    """

    def __init__(self, account=None):
        self.account = account or intake.Account()
        self.idle = {}
        self.client = tcpclient.TCPClient()
        self.opened_count = 0

    def take_idle(self, address, identity):
        """Return a usable idle connection, or None."""
        kept = self.idle.get((address, identity), [])
        while kept:
            upstream = kept.pop()
            if upstream.is_usable():
                upstream.stream.set_close_callback(None)
                return upstream
            upstream.close()
        return None

    async def open(self, address, timeout_ms):
        """Return a new connection.

        Raises `ConnectFailed` if there is none within `timeout_ms`.
        """
        self.opened_count += 1
        try:
            host, port = bounds.split_address(address)
        except errors.BadRequest as error:
            raise ConnectFailed(error.message) from error
        connecting = asyncio.ensure_future(self.client.connect(host, port))
        try:
            # `wait_for` drops a cancellation that comes together with the connection.
            await asyncio.wait((connecting,), timeout=timeout_ms / 1000)
        except asyncio.CancelledError:
            abandon(connecting)
            raise
        if not connecting.done():
            abandon(connecting)
            raise ConnectFailed("There was no connection in time.")
        try:
            stream = connecting.result()
        except ConnectionRefusedError as error:
            raise ConnectRefused(str(error)) from error
        except (OSError, iostream.StreamClosedError) as error:
            raise ConnectFailed(str(error) or type(error).__name__) from error
        if stream.closed():
            # It was reset after it was established and before this task continued.
            raise ConnectFailed(
                "The connection was reset immediately after it was established."
            )
        stream.read_chunk_size = CHUNK_BYTES
        stream.set_nodelay(True)
        set_silence_timeouts(stream.socket)
        return Upstream(stream, address, self.account)

    def release(self, upstream, identity, keep_alive_timeout_s):
        """Keep a connection whose request has ended for reuse, or close it."""
        kept_count = sum(map(len, self.idle.values()))
        has_room = kept_count < self.account.limits.server_connections
        if has_room and upstream.try_mark_idle(keep_alive_timeout_s):
            key = (upstream.address, identity)
            self.idle.setdefault(key, []).append(upstream)
        else:
            upstream.close()

    def close_expired(self):
        """Close the idle connections that cannot be reused any more."""
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
