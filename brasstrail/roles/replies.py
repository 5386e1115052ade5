"""Writes the answer to one caller: whole, as a stream, or of the system's own.

A `Reply` knows how far the answer has come. An answer that cannot be finished ends
with its connection, so that it does not look whole.
"""

import orjson
from tornado import httputil

from brasstrail.core import clock
from brasstrail.protocol import events
from brasstrail.roles import refusals


class Reply:
    """The answer to one request.

    Parameters
    ----------
    gateway : `gateway.Gateway`.
    connection : the caller's connection.

    Attributes
    ----------
    head_sent : whether the caller has the head of an answer.
    cutter : follows the events of a stream, once it has begun; else None.
    first_ms : when the first event, or the whole answer, was there; else None.
    """

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.head_sent = False
        self.status = 0
        self.cutter = None
        self.first_ms = None
        self.last_event_ms = None
        self.longest_pause_ms = 0

    @property
    def events(self):
        """How many events the caller has."""
        return self.cutter.events if self.cutter else 0

    def send_whole(self, head, body):
        """Send a server's whole answer."""
        self.first_ms = clock.now_ms()
        headers = copy_headers(head)
        headers["Content-Length"] = str(len(body))
        self.write_head(head.status, head.reason, headers, body)
        self.connection.finish()

    def refuse(self, refusal, call, ran):
        """Send an answer of the system's own.

        Parameters
        ----------
        refusal : `refusals.Refused`.
        call : the caller's `calls.Call`, or None where it could not be read.
        ran : `data.RunStatus`, what is known about the execution.
        """
        if self.head_sent:
            self.break_off()
            return
        if self.connection.stream.closed():
            return
        headers = self.gateway.dialect.refusal_headers(call, refusal.retry_after_s)
        text = {"error": {"code": refusal.reason, "ran": str(ran)}}
        body = orjson.dumps(text)
        headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(refusal.status, "Failed")
        self.write_head(refusal.status, reason, headers, body)
        self.connection.finish()

    def write_head(self, status, reason, headers, chunk=None):
        """Write the head of an answer."""
        if self.gateway.stopping_ms is not None:
            headers["Connection"] = "close"
            # The connection closes itself once the answer is written.
            self.connection._disconnect_on_finish = True
        self.head_sent = True
        self.status = status
        start_line = httputil.ResponseStartLine("", status, reason)
        self.connection.write_headers(start_line, headers, chunk)

    def begin_stream(self, last_id):
        """Begin a stream, or go on with one that another server began."""
        if self.cutter is None:
            self.cutter = events.EventCutter(last_id)
        else:
            self.cutter.restart()

    async def pass_events(self, head, chunk):
        """Write the events that are whole now."""
        whole = self.cutter.feed(chunk)
        if not whole:
            return
        self.note_events()
        self.write_stream_head(head)
        if self.connection.stream.closed():
            raise refusals.CallerGone()
        await self.connection.write(whole)

    async def end_stream(self, head):
        """End a stream as its server did."""
        self.write_stream_head(head)
        if self.cutter.partial:
            await self.connection.write(self.cutter.partial)
        self.connection.finish()

    def write_stream_head(self, head):
        """Write the head of a stream, whose length is not known, once."""
        if not self.head_sent:
            self.write_head(head.status, head.reason, copy_headers(head))

    def note_events(self):
        """Note when events came, from which pauses are measured."""
        now_ms = clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            pause_ms = now_ms - self.last_event_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_event_ms = now_ms

    def break_off(self):
        """End an answer that cannot be finished."""
        self.connection.close()


def copy_headers(head):
    """Return the headers of a server's answer."""
    headers = httputil.HTTPHeaders()
    for name, value in head.headers:
        headers.add(name, value)
    return headers
