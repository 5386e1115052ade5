"""Sinks: the ways in which an answer goes to the caller."""

from brasstrail.protocol import chat
from brasstrail.roles import backend, exchange, web

EVENT_STREAM = "text/event-stream"
REQUEST_HEADER = "Brasstrail-Request"


class EventStreamSink(exchange.Sink):
    """Writes a chat answer as server-sent events, as it comes."""

    def __init__(self, handler):
        self.handler = handler
        self.engine_refused = False

    async def write_head(self, status, headers):
        """Take the engine's refusal of the request."""
        self.engine_refused = True
        self.handler.set_status(status)
        self.handler.set_header("Content-Type", web.JSON_TYPE)

    async def write_part(self, payload):
        """Write a piece and wait until the caller takes it."""
        if not self.response_started and not self.engine_refused:
            self.handler.set_header("Content-Type", EVENT_STREAM)
            self.handler.set_header("Cache-Control", "no-cache")
        self.response_started = True
        self.handler.write(payload)
        await self.handler.flush()

    async def write_end(self):
        """Write the end of the stream."""
        if not self.engine_refused:
            self.handler.write(chat.event(chat.STREAM_END))
        await self.handler.finish()


class BufferedSink(exchange.Sink):
    """Gathers a chat answer and writes it whole."""

    def __init__(self, handler):
        self.handler = handler
        self.chunks = []
        self.engine_refused = False

    async def write_head(self, status, headers):
        """Take the engine's refusal of the request."""
        self.engine_refused = True
        self.handler.set_status(status)

    async def write_part(self, payload):
        """Keep a piece."""
        self.chunks.append(payload)

    async def write_end(self):
        """Write the whole answer."""
        body = b"".join(self.chunks)
        if not self.engine_refused:
            body = chat.whole_answer(chat.EventSplitter().feed(body))
        self.handler.set_header("Content-Type", web.JSON_TYPE)
        await self.handler.finish(body)


class PassthroughSink(exchange.Sink):
    """Passes the status, the headers and the body of a service through."""

    def __init__(self, handler):
        self.handler = handler

    async def write_head(self, status, headers):
        """Take over the status and the headers."""
        self.response_started = True
        self.handler.clear()
        self.handler.set_status(status)
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
        """Write a piece and wait until the caller takes it."""
        self.handler.write(payload)
        await self.handler.flush()

    async def write_end(self):
        """End the answer."""
        await self.handler.finish()
