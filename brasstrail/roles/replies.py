"""Writes the answer to one caller: complete, streamed, or created by the gateway.

A `Reply` keeps track of what was already sent. An answer that cannot be completed is
cut, so that the caller does not take it for complete.
"""

import orjson
from tornado import httputil

from brasstrail.core import clock
from brasstrail.protocol import events
from brasstrail.roles import refusals
from brasstrail.transport import callers


class Reply:
    """The answer to one request.

    Parameters
    ----------
    gateway : `gateway.Gateway`.
    connection : the caller's connection.

    Attributes
    ----------
    head_sent : whether the head of the answer was sent.
    event_cutter : splits a stream into events; None before a stream starts.
    head : the `calls.AnswerHead` of the stream that was begun, or None.
    end : how the answer to the caller ended, for the log: "complete", "cut" if its
        connection was closed within it, or "none" if there is no end yet.
    first_ms : when the first event, or the complete answer, was available; None
        before that.
    """

    def __init__(self, gateway, connection):
        self.gateway = gateway
        self.connection = connection
        self.head_sent = False
        self.head = None
        self.end = "none"
        self.status = 0
        self.event_cutter = None
        self.first_ms = None
        self.last_event_ms = None
        self.longest_pause_ms = 0

    @property
    def events(self):
        """The number of events that were passed on to the caller."""
        return self.event_cutter.events if self.event_cutter else 0

    def send_complete(self, head, body):
        """Send a server's complete answer, or cut the stream that has begun."""
        if self.head_sent:
            self.abort()
            return
        self.first_ms = clock.now_ms()
        headers = copy_headers(head)
        headers["Content-Length"] = str(len(body))
        self.write_head(head.status, head.reason, headers, body)
        self.finish()

    def send_refusal(self, refusal, call, ran):
        """Send an answer that the gateway creates itself, or cut one that has begun.

        Parameters
        ----------
        refusal : `refusals.Refused`.
        call : the caller's `calls.Call`, or None if it could not be parsed.
        ran : `data.RunStatus`, what is known about whether the request ran.
        """
        if self.head_sent:
            self.abort()
            return
        if self.connection.stream.closed():
            return
        headers = self.gateway.dialect.refusal_headers(call, refusal.retry_after_s)
        text = {"error": {"code": refusal.reason, "ran": str(ran)}}
        body = orjson.dumps(text)
        headers["Content-Length"] = str(len(body))
        reason = httputil.responses.get(refusal.status, "Failed")
        self.write_head(refusal.status, reason, headers, body)
        self.finish()

    def write_head(self, status, reason, headers, chunk=None):
        """Write the head of an answer."""
        if self.gateway.shutdown.is_begun:
            headers["Connection"] = "close"
            # Makes Tornado close the connection once the answer is written.
            self.connection._disconnect_on_finish = True
        self.head_sent = True
        self.status = status
        start_line = httputil.ResponseStartLine("", status, reason)
        self.connection.write_headers(start_line, headers, chunk)

    def begin_stream(self, last_id):
        """Start a stream, or continue one that another server started."""
        if self.event_cutter is None:
            self.event_cutter = events.EventCutter(last_id)
        else:
            self.event_cutter.begin_run()

    async def write_events(self, head, complete_events):
        """Send complete events of a stream."""
        self.record_event_time()
        self.write_stream_head(head)
        if self.connection.stream.closed():
            raise refusals.CallerDisconnected()
        await self.connection.write(complete_events)

    async def end_stream(self, head):
        """End a stream, including what followed its last event."""
        self.write_stream_head(head)
        if self.event_cutter.partial:
            await self.connection.write(bytes(self.event_cutter.partial))
        self.finish()

    def write_stream_head(self, head):
        """Write the head of a stream once; the stream has no known length."""
        if not self.head_sent:
            self.head = head
            callers.begin_answer(self.connection)
            self.write_head(head.status, head.reason, copy_headers(head))

    def record_event_time(self):
        """Record the arrival time of events and the longest pause between them."""
        now_ms = clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now_ms
        else:
            pause_ms = now_ms - self.last_event_ms
            self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)
        self.last_event_ms = now_ms

    def finish(self):
        """Complete the answer."""
        self.end = "complete"
        self.connection.finish()

    def abort(self):
        """Cut the answer because it cannot be completed."""
        self.end = "cut"
        callers.cut_answer(self.connection)


def copy_headers(head):
    """Return a copy of the headers of a server's answer."""
    headers = httputil.HTTPHeaders()
    for name, value in head.headers:
        headers.add(name, value)
    return headers
