"""Answers of a fake backend server, framed by a length, chunks or their connection.

A stream that only its connection frames is always inside an event until its end: each
event is sent with the first line of the next one. A relay that closes the connection
anywhere thus leaves an answer that can be told from a whole one.
"""

import random

from brasstrail.transport import sockets

FRAMINGS = ("length", "chunks", "connection")


class Answer:
    """One answer, whose framing is drawn.

    Parameters
    ----------
    handler : the `tornado.web.RequestHandler` of the request.
    headers : the headers of the answer, by name.
    size : the size of the whole body in bytes.
    framings : the framings from which one is drawn.

    Attributes
    ----------
    stream : the connection's `iostream.IOStream`.
    is_raw : whether the answer is written past Tornado, which frames all others.
    sent_ahead : how many bytes of the next event were sent with the last one.
    """

    def __init__(self, handler, headers, size, framings=FRAMINGS):
        self.handler = handler
        self.framing = random.choice(framings)
        self.headers = dict(headers)
        if self.framing == "length":
            self.headers["Content-Length"] = str(size)
        self.stream = handler.request.connection.stream
        self.is_raw = self.framing == "connection"
        self.head = b""
        self.sent_ahead = 0
        if self.is_raw:
            handler.detach()
            self.stream.set_close_callback(handler.on_connection_close)
            lines = [f"{name}: {value}" for name, value in self.headers.items()]
            self.head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        else:
            for name, value in self.headers.items():
                handler.set_header(name, value)

    async def send(self, part):
        """Send a part of the body; raise `StreamClosedError` if the caller has left."""
        if self.is_raw:
            head, self.head = self.head, b""
            await self.stream.write(head + part)
        else:
            self.handler.write(part)
            await self.handler.flush()

    async def send_event(self, event, next_event):
        """Send what is missing of an event, and the first line of the next one."""
        sent = event[self.sent_ahead :]
        self.sent_ahead = 0
        if self.is_raw:
            first_line = next_event.partition(b"\n")[0]
            self.sent_ahead = len(first_line)
            sent += first_line
        await self.send(sent)

    async def send_half(self, event):
        """Send an event up to its middle."""
        await self.send(event[self.sent_ahead : max(self.sent_ahead, len(event) // 2)])

    async def end(self):
        """End the answer as its framing says."""
        if self.is_raw:
            await self.send(b"")
            self.stream.close()

    def break_off(self, is_reset):
        """Close or reset the connection, whatever was sent."""
        if not self.is_raw:
            self.handler.detach()
        if is_reset and not self.stream.closed():
            sockets.reset_on_close(self.stream.socket)
        self.stream.close()
