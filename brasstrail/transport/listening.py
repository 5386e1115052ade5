"""HTTP servers whose connections an `intake.Account` counts and limits.

`Server` replaces Tornado's. What a request may hold is counted before it is held; heads
with too many fields are refused before they are parsed; bodies in tiny pieces are put
together; and an answer that comes before the end of its request's body does not close
the connection until the rest of the body has been read and dropped.
"""

import asyncio
import contextlib
import time

from tornado import http1connection, httpserver, httputil, iostream

from brasstrail.core import catalog
from brasstrail.transport import framing, intake

READ_BYTES = 16 * 1024
# An estimate of what a parsed field of a head uses beside its text.
FIELD_BYTES = 300
# Lines of a head that are no fields: the first one, the last one, and one before.
OTHER_HEAD_LINES = 3
# A piece of a body with more chunks than this is costly to parse: each chunk takes
# several microseconds.
DENSE_CHUNKS = 64
# After a refusal, this much of what is still sent is read, so that the answer arrives.
LINGER_BYTES = 256 * 1024
LINGER_S = 1.0
RETRY_AFTER_S = 1


class Rejected(Exception):
    """A request is refused by its head; its connection is closed after the answer."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Delegate(httputil.HTTPMessageDelegate):
    """Receives one request of a caller.

    Attributes
    ----------
    keeps_body : whether the body is held; if not, it is read and dropped.
    """

    keeps_body = True

    def refuse(self, connection):
        """Answer that there is no room for the request, which has not run."""
        connection.write_refusal()


class AnsweringDelegate(Delegate):
    """Calls a function with a `httputil.HTTPServerRequest` that has no body."""

    keeps_body = False

    def __init__(self, answer, connection):
        self.answer = answer
        self.connection = connection
        self.request = None

    def headers_received(self, start_line, headers):
        """Store the head."""
        self.request = httputil.HTTPServerRequest(
            connection=self.connection, start_line=start_line, headers=headers
        )

    def finish(self):
        """Answer the request."""
        self.answer(self.request)


class BodilessDelegate(httputil.HTTPServerConnectionDelegate):
    """Answers requests by a function of their heads; bodies are dropped."""

    def __init__(self, answer):
        self.answer = answer

    def start_request(self, server_connection, request_connection):
        """Return the delegate that receives the request."""
        return AnsweringDelegate(self.answer, request_connection)


class Reception(httputil.HTTPMessageDelegate):
    """Counts what a request holds on its way to its delegate.

    Parameters
    ----------
    connection : the `Connection`.
    delegate : the delegate of the request.
    """

    def __init__(self, connection, delegate):
        self.connection = connection
        self.stream = connection.stream
        self.delegate = delegate
        self.pending = bytearray()
        self.is_closed = False

    @property
    def keeps_body(self):
        """Whether the delegate holds the body."""
        return getattr(self.delegate, "keeps_body", True)

    @property
    def reads_parts(self):
        """Whether the handler takes each part of the body at once."""
        # Tornado's router has chosen the delegate of the handler by the head.
        handling = getattr(self.delegate, "delegate", None)
        return getattr(handling, "stream_request_body", False)

    def headers_received(self, start_line, headers):
        """Pass the head on."""
        length = headers.get("Content-Length", "0")
        self.stream.begin_body(int(length) if length.isdecimal() else 0)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Pass a part of the body on if there is room; small parts are put together."""
        stream = self.stream
        stream.received_bytes += len(chunk)
        if not self.keeps_body:
            return None
        if not stream.try_hold(len(chunk)):
            self.refuse()
            return None
        is_last = stream.received_bytes == stream.body_bytes
        is_passed_on = is_last or len(chunk) >= READ_BYTES or self.reads_parts
        if not self.pending and is_passed_on:
            return self.delegate.data_received(chunk)
        self.pending += chunk
        if not is_last and len(self.pending) < READ_BYTES:
            return None
        return self.flush()

    def flush(self):
        """Pass the parts on that were put together."""
        chunk = bytes(self.pending)
        self.pending.clear()
        return self.delegate.data_received(chunk) if chunk else None

    def refuse(self):
        """Answer that there is no room, and drop what has been received."""
        self.stream.account.counts["no_room"] += 1
        self.pending.clear()
        # Makes Tornado tell the caller that the connection will be closed.
        self.connection._disconnect_on_finish = True
        if isinstance(self.delegate, Delegate):
            self.delegate.refuse(self.connection)
        else:
            self.connection.write_refusal()
        self.on_connection_close()
        self.stream.release_request()

    def finish(self):
        """Pass on that the request is complete."""
        self.stream.begin_serving()
        self.delegate.finish()

    def on_connection_close(self):
        """Pass on, once, that the connection was closed."""
        if not self.is_closed:
            self.is_closed = True
            self.delegate.on_connection_close()


class Connection(http1connection.HTTP1Connection):
    """One request on a connection of a caller.

    Attributes
    ----------
    is_early : whether the answer is complete before the body has been read.
    """

    is_early = False

    def write_refusal(self):
        """Answer that there is no room for the request, which has not run."""
        fields = {"Content-Length": "0", "Retry-After": str(RETRY_AFTER_S)}
        status = httputil.ResponseStartLine("", 503, httputil.responses[503])
        self.write_headers(status, httputil.HTTPHeaders(fields))
        self.finish()

    def finish(self):
        """Complete the answer; the rest of the body is read and dropped."""
        self.is_early = not self._read_finished and not self.stream.closed()
        super().finish()

    def _finish_request(self, future):
        """End the request unless its body is still being received."""
        if not self.is_early or self.stream.closed():
            super()._finish_request(future)
            return
        self._clear_callbacks()
        self.stream.set_nodelay(False)
        if not self._finish_future.done():
            self._finish_future.set_result(None)

    def _parse_headers(self, data):
        """Return the start line and the headers, if there is room for them."""
        fields = data.count(b"\n") - OTHER_HEAD_LINES
        if fields > self.stream.account.limits.head_fields:
            raise Rejected(431, "head_fields")
        if not self.stream.try_hold(len(data) + FIELD_BYTES * max(0, fields)):
            raise Rejected(503, "no_room")
        return super()._parse_headers(data)

    def _read_body(self, code, headers, delegate):
        """Read a body that is not too large."""
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._max_body_size:
            raise Rejected(413, "body_size")
        return super()._read_body(code, headers, delegate)

    async def _read_chunked_body(self, delegate):
        """Read a body in chunks, many of them at a time."""
        decoder, size = framing.ChunkDecoder(), 0
        while not decoder.is_done:
            received = await self.stream.read_bytes(READ_BYTES, partial=True)
            started, chunks = time.thread_time(), decoder.chunks
            content = decoder.feed(received)
            size += len(content)
            if size > self._max_body_size:
                raise Rejected(413, "body_size")
            if content:
                await self._deliver_body(delegate, content)
            if decoder.chunks - chunks > DENSE_CHUNKS:
                cost_ms = 1000 * (time.thread_time() - started)
                await self.stream.account.wait_for_turn(cost_ms)
        self.stream.unread(decoder.rest)
        flushed = None if self._write_finished else delegate.flush()
        if flushed is not None:
            await flushed


class ServerConnection(http1connection.HTTP1ServerConnection):
    """A connection of a caller."""

    async def _server_request_loop(self, delegate):
        """Serve the requests of the connection one after the other."""
        try:
            while await self.serve_request(delegate):
                await asyncio.sleep(0)
        except Rejected as rejection:
            self.stream.account.counts[rejection.reason] += 1
            await self.reject(rejection.status)
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            asyncio.CancelledError,
        ):
            return
        except Exception:
            http1connection.gen_log.error("Uncaught exception", exc_info=True)
            self.stream.close()
        finally:
            self.stream.release_request()
            delegate.on_close(self)

    async def serve_request(self, delegate):
        """Serve one request; return whether another one may follow."""
        self.stream.begin_head()
        connection = Connection(self.stream, False, self.params, self.context)
        reception = Reception(connection, delegate.start_request(self, connection))
        may_follow = await connection.read_response(reception)
        if may_follow and connection.is_early:
            connection.close()
            return False
        return may_follow

    async def reject(self, status):
        """Send a refusal, read some of what is still sent, and close."""
        self.stream.release_request()
        answer = (
            f"HTTP/1.1 {status} {httputil.responses[status]}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n"
        )
        if status == 503:
            answer += f"Retry-After: {RETRY_AFTER_S}\r\n"
        left = LINGER_BYTES
        with contextlib.suppress(iostream.StreamClosedError, TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self.stream.write(answer.encode() + b"\r\n")
                while left > 0:
                    left -= len(await self.stream.read_bytes(READ_BYTES, partial=True))
        self.stream.close()


class Server(httpserver.HTTPServer):
    """An HTTP server whose connections are counted.

    Parameters
    ----------
    callback : of `httpserver.HTTPServer`.
    account : `intake.Account` of the process.
    options : of `httpserver.HTTPServer`.

    Attributes
    ----------
    header_timeout_ms : the time for a head, from its first byte.
    """

    def initialize(self, callback, account, **options):
        """Set the options that all servers share."""
        options.setdefault("max_header_size", catalog.CallerLimits().max_header_bytes)
        super().initialize(callback, chunk_size=READ_BYTES, **options)
        self.account = account
        self.header_timeout_ms = catalog.CallerLimits().header_timeout_ms

    @property
    def is_sending(self):
        """Whether some of an answer has not been passed to the operating system."""
        return any(each.stream.writing() for each in self._connections)

    def _handle_connection(self, connection, address):
        """Serve a connection, or close it if there are too many."""
        if not self.account.make_connection_room():
            self.account.counts["connections"] += 1
            connection.close()
            return
        stream = intake.Stream(
            self.account,
            connection,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        stream.header_timeout_ms = self.header_timeout_ms
        self.handle_stream(stream, address)

    def handle_stream(self, stream, address):
        """Serve the requests of a connection."""
        context = httpserver._HTTPRequestContext(
            stream, address, self.protocol, self.trusted_downstream
        )
        served = ServerConnection(stream, self.conn_params, context)
        self._connections.add(served)
        served.start_serving(self)
