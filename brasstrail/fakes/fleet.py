"""A fake backend server of the platform, run as a separate process.

It announces itself to control hosts, answers plain requests and event streams, and
writes each execution to a journal file for test checks. On SIGTERM it shuts down as the
platform's servers do: it announces that it is draining, continues to serve, withdraws
its announcement and exits.

The last part of a path is the number of events of the answer; 0 requests a plain
answer, which is a response that is not an event stream.

Its answers are framed by a length, by chunks or by their connection. SIGUSR1 makes it
break off some answers, streams within an event, until the next SIGUSR1.

While there is a file with the ending ".limit" beside its journal, the server names the
number in it as its limit in all answers. While there is one with the ending ".endless",
some of its answers never end. While there is one with the ending ".rest", the server
turns some requests away and asks for as many seconds of rest as stand in it. While
there is one with the ending ".leaving", and while it drains, it says in all answers
that it leaves. While there is one with the ending ".earlier", it writes some earlier
answers once more. While there is one with the ending ".failing", it breaks off streams
and answers some requests for the rest of a stream with an error.

The query parameter `end` makes a request end each server that begins to execute it, and
names the way in which the server ends (see `ENDINGS`). Some parts of prompts do so, too
(see `fatalparts`).
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import time

import click
import orjson
from tornado import httpclient, httpserver, iostream, web

from brasstrail.fakes import answers, endless, fatalparts, faultyanswers
from brasstrail.transport import sockets

ANNOUNCE_INTERVAL_S = 0.4
ANNOUNCE_TIMEOUT_S = 1.0
# The platform's limit on the time in which requests may still reach a draining server,
# and how long a server continues to run after that before it withdraws and exits.
DRAIN_PERIOD_S = 3.0
POST_DRAIN_PERIOD_S = 1.5
MEAN_EVENT_INTERVAL_S = 0.03
PLAIN_SERVICE_TIME_S = 0.1
# How long a server that falls silent keeps its connections before its process exits.
SILENCE_S = 3.0
# Events that a server sends before it ends in the middle of the next one.
EVENTS_BEFORE_END = 2
EVENT_STREAM = "text/event-stream"
# While a server breaks off answers: the fraction of its answers, and of these the
# fraction that it ends by a reset. It ends the others in order.
BREAK_FRACTION = 0.5
# The fraction of answers that never end while a server has such answers, and the pauses
# in them.
ENDLESS_FRACTION = 0.2
ENDLESS_PAUSES_S = (0.0, 0.0, 0.3)
RESET_FRACTION = 0.5
# A server with the file `.host` is this many times slower, by turns, for this long in
# each period. The offset in the period follows from the port.
SLOW_FACTOR = 2.5
SLOW_S = 1.5
SLOW_PERIOD_S = 6.0
# The fraction of requests that a server turns away while it asks for rest.
REST_FRACTION = 0.5


class Server:
    """One process of a backend server.

    Each start has a new identity, unless the option `keep_identity` is set.

    Parameters
    ----------
    options : values of the command-line options, by name.
    """

    def __init__(self, options):
        self.options = options
        self.born_ms = int(1000 * time.time())
        self.identity = f"i-{options['port']}"
        if not options["keep_identity"]:
            self.identity += f"-{self.born_ms}"
        self.state = "ready"
        self.sequence = 0
        self.breaks_answers = False
        self.journal = open(options["journal"], "ab", buffering=0)
        self.endless_path = pathlib.Path(options["journal"]).with_suffix(".endless")
        self.limit_path = pathlib.Path(options["journal"]).with_suffix(".limit")
        self.rest_path = pathlib.Path(options["journal"]).with_suffix(".rest")
        self.leaving_path = pathlib.Path(options["journal"]).with_suffix(".leaving")
        self.earlier_path = pathlib.Path(options["journal"]).with_suffix(".earlier")
        self.failing_path = pathlib.Path(options["journal"]).with_suffix(".failing")
        self.host_path = pathlib.Path(options["journal"]).with_suffix(".host")
        self.running = 0
        port = options["port"]
        self.write_record("up", name=f"server-{port}", version=options["version"])

    def write_record(self, event, **details):
        """Append a record to the journal."""
        record = {"event": event, "at": time.time(), "server": self.identity}
        self.journal.write(orjson.dumps({**record, **details}) + b"\n")

    def read_limit(self):
        """Return the limit that the server names as text, or an empty string."""
        try:
            return self.limit_path.read_text()
        except FileNotFoundError:
            return ""

    def host_percent(self):
        """Return how long work takes now, in percent, or None if that is not told.

        The file `.host` states the permanent part, 100 is as usual.
        """
        try:
            percent = float(self.host_path.read_text())
        except (FileNotFoundError, ValueError):
            return None
        phase_s = (time.time() + int(self.options["port"])) % SLOW_PERIOD_S
        return percent * (SLOW_FACTOR if phase_s < SLOW_S else 1.0)

    def read_load(self):
        """Return the load report of an answer, or an empty string."""
        percent = self.host_percent()
        if percent is None:
            return ""
        slots = self.options["slots"]
        waiting = max(0, self.running - slots)
        return f"{self.running - waiting},{waiting},{slots},{percent:.0f}"

    async def sleep(self, seconds):
        """Work for some time, which is longer on a slow host."""
        await asyncio.sleep(seconds * (self.host_percent() or 100.0) / 100)

    def draw_rest(self):
        """Return the seconds of rest to ask for with a request, or an empty string."""
        if random.random() >= REST_FRACTION:
            return ""
        try:
            return self.rest_path.read_text()
        except FileNotFoundError:
            return ""

    @property
    def says_leaving(self):
        """Whether the server says in its answers that it leaves."""
        return self.state == "draining" or self.leaving_path.exists()

    def draws_endless(self):
        """Return whether the next answer never ends."""
        return random.random() < ENDLESS_FRACTION and self.endless_path.exists()

    def toggle_breaks(self):
        """Begin to break off some answers, or stop doing so."""
        self.breaks_answers = not self.breaks_answers

    def draws_break(self):
        """Return whether the next answer is broken off."""
        return self.breaks_answers and random.random() < BREAK_FRACTION

    def draws_stream_break(self, after):
        """Return whether the next stream, of the events that follow, is broken off."""
        if self.draws_break():
            return True
        is_new = not after
        return (
            is_new and random.random() < BREAK_FRACTION and self.failing_path.exists()
        )

    def draw_failure(self, after):
        """Return the status and body of a failure of the rest of a stream, or None."""
        if not after or not self.failing_path.exists():
            return None
        return faultyanswers.draw_failure()

    async def send_announcement(self, method):
        """Announce to a random control host; return whether it acknowledged."""
        self.sequence += 1
        announcement = {
            "service": self.options["service"],
            "address": f"127.0.0.1:{self.options['announced_port']}",
            "zone": self.options["zone"],
            "version": self.options["version"],
            "slots": self.options["slots"],
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born_ms,
            "sequence": self.sequence,
        }
        host = random.choice(self.options["controls"].split(","))
        request = httpclient.HTTPRequest(
            f"http://{host}/v1/instances/{self.identity}",
            method=method,
            body=orjson.dumps(announcement) if method == "PUT" else None,
            request_timeout=ANNOUNCE_TIMEOUT_S,
        )
        with contextlib.suppress(OSError, httpclient.HTTPError):
            reply = await httpclient.AsyncHTTPClient().fetch(request)
            return reply.code == 200
        return False

    async def announce(self):
        """Announce while the server is ready; retry after 50 ms if not acknowledged."""
        while self.state == "ready":
            acknowledged = await self.send_announcement("PUT")
            await asyncio.sleep(ANNOUNCE_INTERVAL_S if acknowledged else 0.05)

    async def drain(self):
        """Announce draining, serve remaining requests, withdraw and stop the loop.

        The announcement is repeated until acknowledged, for `DRAIN_PERIOD_S` at most.
        """
        self.state = "draining"
        drain_end_s = time.monotonic() + DRAIN_PERIOD_S
        while time.monotonic() < drain_end_s and not await self.send_announcement(
            "PUT"
        ):
            await asyncio.sleep(0.05)
        self.write_record("leaving")
        await asyncio.sleep(DRAIN_PERIOD_S + POST_DRAIN_PERIOD_S)
        await self.send_announcement("DELETE")
        asyncio.get_running_loop().stop()


class ExecutionHandler(web.RequestHandler):
    """Executes a request and records its start and end."""

    def initialize(self, server):
        self.server = server
        self.identity = ""
        self.limit = ""
        self.is_leaving = False
        self.is_running = False

    async def get(self, count):
        """Execute an idempotent request."""
        await self.run(int(count))

    async def post(self, count):
        """Execute a request."""
        await self.run(int(count))

    async def run(self, count):
        """Execute a request, or refuse it with 421 if it expects another identity."""
        request_headers = self.request.headers
        self.identity = request_headers.get("X-Attempt-Id", "")
        expected = request_headers.get("X-Expected-Instance", self.server.identity)
        self.limit = self.server.read_limit()
        rest, self.is_leaving = self.server.draw_rest(), self.server.says_leaving
        self.server.write_record(
            "arrived",
            id=self.identity,
            limit=float(self.limit or 0),
            rest=float(rest or 0),
            leaving=self.is_leaving,
        )
        if self.limit:
            self.set_header("Server-Limit", self.limit)
        if self.is_leaving:
            self.set_header("Server-Leaving", "1")
        if self.server.read_load():
            self.set_header("X-Server-Load", self.server.read_load())
        if rest:
            self.set_status(503)
            self.set_header("X-Attempt-Id", self.identity)
            self.set_header("X-Not-Executed", "1")
            self.set_header("Retry-After", rest)
            return
        if expected != self.server.identity:
            self.set_status(421)
            self.set_header("X-Attempt-Id", self.identity)
            self.set_header("X-Not-Executed", "1")
            return
        await self.write_earlier_answer()
        after = int(request_headers.get("Last-Event-Id", 0))
        self.server.write_record(
            "start",
            id=self.identity,
            workspace=request_headers.get("X-Tenant-Id", ""),
            after=after,
            has_key="Authorization" in request_headers,
            service=self.server.options["service"],
        )
        self.is_running = True
        self.server.running += 1
        prompt = request_headers.get("X-Prefix-Hash", "")
        ending = self.get_argument("end", fatalparts.find_ending(prompt, time.time()))
        if ending:
            self.server.write_record("ended", id=self.identity, how=ending)
            await ENDINGS[ending](self, count)
        if random.random() < self.server.options["failure_fraction"]:
            return self.fail(500, b"a fault of this version")
        failure = self.server.draw_failure(after)
        if failure is not None:
            return self.fail(*failure)
        is_complete = False
        with contextlib.suppress(iostream.StreamClosedError):
            if self.server.draws_endless():
                await self.send_endless(count)
            if count:
                is_complete = await self.send_stream(after, count)
            else:
                is_complete = await self.send_plain()
        self.record_end(is_complete)

    async def write_earlier_answer(self):
        """Write a copy of an earlier answer on the connection, if one is drawn."""
        stream = self.request.connection.stream
        earlier_id = getattr(stream, "last_attempt_id", "")
        stream.last_attempt_id = self.identity
        if not self.server.earlier_path.exists():
            return
        copy = faultyanswers.draw_copy(earlier_id)
        if copy is not None:
            with contextlib.suppress(iostream.StreamClosedError):
                await stream.write(copy)

    def fail(self, status, body):
        """Answer with a failure that the server has made."""
        self.set_status(status)
        self.set_header("X-Attempt-Id", self.identity)
        self.set_header("X-Server-Signature", f"{self.server.identity}.{self.identity}")
        self.write(body)
        self.record_end(True)

    def begin_answer(self, size, content_type, framings=answers.FRAMINGS):
        """Return an `answers.Answer` with a signature; `size` is that of its body."""
        headers = {
            "X-Attempt-Id": self.identity,
            "X-Server-Signature": f"{self.server.identity}.{self.identity}",
            "Content-Type": content_type,
        }
        if self.limit:
            headers["Server-Limit"] = self.limit
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.server.read_load():
            headers["X-Server-Load"] = self.server.read_load()
        return answers.Answer(self, headers, size, framings)

    async def send_endless(self, count):
        """Send an answer that never ends, until the caller closes the connection."""
        first, repeated = endless.draw_answer(bool(count))
        pause_s = random.choice(ENDLESS_PAUSES_S)
        part = repeated if pause_s else repeated * (4096 // len(repeated))
        stream = self.request.connection.stream
        self.detach()
        stream.set_close_callback(self.on_connection_close)
        await stream.write(first)
        while True:
            await stream.write(part)
            await asyncio.sleep(pause_s)

    async def send_plain(self):
        """Send a plain answer; return whether it is complete."""
        await self.server.sleep(random.uniform(0.5, 2.0) * PLAIN_SERVICE_TIME_S)
        body = f"{self.identity} done by {self.server.identity}".encode()
        answer = self.begin_answer(len(body), "text/plain")
        if self.server.draws_break() and not answer.is_raw:
            await answer.send(body[: len(body) // 2])
            answer.break_off(random.random() < RESET_FRACTION)
            return False
        await answer.send(body)
        await answer.end()
        return True

    def make_events(self, after, count):
        """Return the events of a stream of `count` events that follow `after`."""
        version = self.server.options["version"].encode()
        return [
            b"id: %d\ndata: %s %d/%d %s\n\n"
            % (number, self.identity.encode(), number, count, version)
            for number in range(after + 1, count + 1)
        ]

    async def send_stream(self, after, count):
        """Send the events after `after`; return whether the stream is complete."""
        events = self.make_events(after, count)
        answer = self.begin_answer(sum(map(len, events)), EVENT_STREAM)
        is_broken = events and self.server.draws_stream_break(after)
        broken = random.choice(events) if is_broken else b""
        next_events = [*events[1:], b""][: len(events)]
        for event, next_event in zip(events, next_events, strict=True):
            await self.server.sleep(random.uniform(0.5, 1.5) * MEAN_EVENT_INTERVAL_S)
            if event == broken:
                await answer.send_half(event)
                answer.break_off(random.random() < RESET_FRACTION)
                return False
            await answer.send_event(event, next_event)
        await answer.end()
        return True

    async def send_incomplete(self, count, event_count):
        """Send the beginning of an answer.

        Of a stream of `count` events it is up to `event_count` events and half of one.
        """
        if not count:
            answer = self.begin_answer(1000, "text/plain", ("length", "chunks"))
            await answer.send(b"half an answer")
            return
        after = int(self.request.headers.get("Last-Event-Id", 0))
        events = self.make_events(after, max(count, after + 1))
        answer = self.begin_answer(sum(map(len, events)), EVENT_STREAM)
        sent = min(event_count, len(events) - 1)
        for event, next_event in itertools.pairwise(events[: sent + 1]):
            await answer.send_event(event, next_event)
        await answer.send_half(events[sent])

    def record_end(self, is_complete):
        """Record the end of the execution, once."""
        if self.is_running:
            self.is_running = False
            self.server.running -= 1
            self.server.write_record("end", id=self.identity, whole=is_complete)

    def on_connection_close(self):
        """Record an incomplete execution when the gateway closes the connection."""
        self.record_end(False)


# Ways in which a request ends its server: functions of the handler and the number of
# events, by name.
ENDINGS = {}


def ending(name):
    """Return a decorator that registers a way in which a server ends."""

    def register(function):
        ENDINGS[name] = function
        return function

    return register


@ending("exit")
async def exit_process(handler, count):
    """End the process; the kernel closes its connections."""
    os._exit(1)


@ending("reset")
async def reset_and_exit(handler, count):
    """Reset the request's connection and end the process."""
    sockets.reset_on_close(handler.request.connection.stream.socket)
    os._exit(1)


@ending("silent")
async def fall_silent(handler, count):
    """Stop answering and announcing, without closing connections, and exit later."""
    time.sleep(SILENCE_S)
    os._exit(1)


@ending("partial")
async def answer_in_part(handler, count):
    """Send the beginning of an answer and end the process."""
    await handler.send_incomplete(count, EVENTS_BEFORE_END)
    os._exit(1)


@ending("events")
async def end_after_events(handler, count):
    """Send ten events, if there are as many, and half of one, and end the process."""
    await handler.send_incomplete(count, 10)
    os._exit(1)


class HealthHandler(web.RequestHandler):
    """Health check of the server."""

    def initialize(self, server):
        self.server = server

    def get(self):
        """Return 200 while the server is ready and 503 while it drains."""
        self.set_status(200 if self.server.state == "ready" else 503)
        self.set_header("X-Instance-Id", self.server.identity)


class ReportHandler(web.RequestHandler):
    """Report of the server's start."""

    def initialize(self, server):
        self.server = server

    def get(self):
        """Return when the server started."""
        self.finish({"born": self.server.born_ms, "state": self.server.state})


async def serve(options):
    """Run the server until it has drained after a SIGTERM."""
    httpclient.AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    server = Server(options)
    context = {"server": server}
    app = web.Application(
        [
            (r"/health", HealthHandler, context),
            (r"/v1/report", ReportHandler, context),
            (r"/.*/(\d+)", ExecutionHandler, context),
        ],
        log_function=lambda handler: None,
    )
    httpserver.HTTPServer(app).listen(options["port"], "127.0.0.1")
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGTERM, lambda: asyncio.ensure_future(server.drain())
    )
    loop.add_signal_handler(signal.SIGUSR1, server.toggle_breaks)
    await server.announce()
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--announced-port", type=int, required=True, help="Port for callers.")
@click.option(
    "--controls", required=True, help="Addresses of control hosts, separated by commas."
)
@click.option("--service", required=True)
@click.option("--zone", default="dc-1")
@click.option("--version", default="v1", help="The version of its software.")
@click.option("--failure-fraction", default=0.0, help="Part of answers that fail.")
@click.option("--slots", type=int, default=6)
@click.option("--journal", required=True, help="File that lists executions.")
@click.option("--keep-identity", is_flag=True, help="Each start has the same identity.")
def main(**options):
    """Run a backend server."""
    with contextlib.suppress(RuntimeError):
        asyncio.run(serve(options))


if __name__ == "__main__":
    main()
