"""Sinks, which write answers to callers: as event stream, buffered or unchanged."""

from brasstrail.protocol import chat, events
from brasstrail.roles import backend, exchange, web
from brasstrail.transport import callers

EVENT_STREAM = events.MEDIA_TYPE
REQUEST_HEADER = "Brasstrail-Request"


class EventStreamSink(exchange.Sink):
    """Writes a chat answer as server-sent events, as they arrive."""

    def __init__(self, handler):
        self.handler = handler
        self.engine_refused = False

    async def write_head(self, status, headers):
        """Set the status of an error answer of the engine, which is no stream."""
        self.engine_refused = True
        self.handler.set_status(status)
        self.handler.set_header("Content-Type", web.JSON_TYPE)

    async def write_part(self, payload):
        """Write a chunk and wait until it is flushed to the caller."""
        if not self.response_started and not self.engine_refused:
            self.handler.set_header("Content-Type", EVENT_STREAM)
            self.handler.set_header("Cache-Control", "no-cache")
            callers.begin_answer(self.handler.request.connection)
        self.response_started = True
        self.handler.write(payload)
        await self.handler.flush()

    async def write_end(self):
        """Write the end marker of the stream and finish the response."""
        if not self.engine_refused:
            self.handler.write(chat.event(chat.STREAM_END))
        await self.handler.finish()


class BufferedSink(exchange.Sink):
    """Buffers a chat answer and writes it whole, as one JSON body."""

    def __init__(self, handler):
        self.handler = handler
        self.chunks = []
        self.engine_refused = False

    async def write_head(self, status, headers):
        """Set the status of an error answer of the engine, which is no stream."""
        self.engine_refused = True
        self.handler.set_status(status)

    async def write_part(self, payload):
        """Buffer a chunk."""
        self.chunks.append(payload)

    async def write_end(self):
        """Assemble the answer from the buffered events and write it."""
        body = b"".join(self.chunks)
        if not self.engine_refused:
            body = chat.whole_answer(chat.EventSplitter().feed(body))
        self.handler.set_header("Content-Type", web.JSON_TYPE)
        await self.handler.finish(body)


class PassthroughSink(exchange.Sink):
    """Passes the status, headers and body of a plain service's answer through."""

    def __init__(self, handler):
        self.handler = handler

    async def write_head(self, status, headers):
        """Set the status and the headers of the service's answer."""
        self.response_started = True
        self.handler.clear()
        self.handler.set_status(status)
        callers.begin_answer(self.handler.request.connection)
        written_names = set()
        for name, value in backend.parse_header_lines(headers):
            write_header = (
                self.handler.add_header
                if name in written_names
                else self.handler.set_header
            )
            write_header(name, value)
            written_names.add(name)
        number = self.handler.exchange.number
        self.handler.set_header(REQUEST_HEADER, number)

    async def write_part(self, payload):
        """Write a chunk and wait until it is flushed to the caller."""
        self.handler.write(payload)
        await self.handler.flush()

    async def write_end(self):
        """Finish the response."""
        await self.handler.finish()
