"""A fake plain service that records each executed call.

`POST` on any path executes a non-idempotent operation, an act; `GET` is a look-up that
returns the number of acts. `GET /fake/seen` lists all acts, for test checks.
"""

import asyncio
import dataclasses
import hashlib
import os
import time

import click
import orjson
from tornado import httpclient, httpserver, web

from brasstrail.fakes import announcer


@dataclasses.dataclass
class Faults:
    """The faults injected at present.

    `delay_ms` delays each answer to a `POST`, after its act was recorded. `padding` is
    the number of bytes added to the answer. `die_before` and `die_after` crash the
    server before or after it executes the next call.
    """

    delay_ms: int = 0
    padding: int = 0
    die_before: bool = False
    die_after: bool = False


class Service:
    """State of a fake plain service.

    `journal_path` is a file that lists each act. `exit_on_crash` is whether a crash
    ends the process.
    """

    def __init__(self, name, exit_on_crash=False, journal_path=None):
        self.name = name
        self.journal_path = journal_path
        self.exit_on_crash = exit_on_crash
        self.acts = []
        self.faults = Faults()
        self.crashed = False

    def execute(self, path, key, body):
        """Execute a call without deduplication; record the act, return its number."""
        record = {"path": path, "key": key, "body": body, "at": time.time()}
        self.acts.append(record)
        if self.journal_path:
            with open(self.journal_path, "ab") as file:
                file.write(orjson.dumps(record) + b"\n")
        return len(self.acts)

    def crash(self):
        """Crash: end the process, or close the connection of each later `POST`."""
        if self.exit_on_crash:
            os._exit(3)
        self.crashed = True


class ExecuteHandler(web.RequestHandler):
    """Handles all paths except those below /fake/."""

    def initialize(self, service):
        self.service = service

    def get(self, path):
        self.finish(orjson.dumps({"path": path, "acts": len(self.service.acts)}))

    async def post(self, path):
        service = self.service
        if service.crashed or service.faults.die_before:
            service.crash()
            return self.request.connection.stream.close()
        key = self.request.headers.get("Idempotency-Key", "")
        number = service.execute(path, key, digest(self.request))
        if service.faults.die_after:
            service.crash()
            return self.request.connection.stream.close()
        await asyncio.sleep(service.faults.delay_ms / 1000)
        self.set_status(201)
        self.set_header("X-Receipt", f"{service.name}-{number}")
        receipt = {"receipt": f"{service.name}-{number}", "key": key}
        self.finish(orjson.dumps(receipt) + b" " * service.faults.padding)


def digest(request):
    """Return the SHA-256 digest of the request body in hexadecimal."""
    return hashlib.sha256(request.body).hexdigest()


class ActsHandler(web.RequestHandler):
    """GET /fake/seen: all acts."""

    def initialize(self, service):
        self.service = service

    def get(self):
        self.finish(orjson.dumps({"acts": self.service.acts}))


class SetFaultsHandler(web.RequestHandler):
    """POST /fake/set with fields of `Faults`."""

    def initialize(self, service):
        self.service = service

    def post(self):
        changes = orjson.loads(self.request.body)
        self.service.faults = dataclasses.replace(self.service.faults, **changes)
        self.finish(orjson.dumps(dataclasses.asdict(self.service.faults)))


def make_app(service):
    """Return the web application of a fake plain service."""
    arguments = {"service": service}
    return web.Application(
        [
            (r"/fake/seen", ActsHandler, arguments),
            (r"/fake/set", SetFaultsHandler, arguments),
            (r"(/.*)", ExecuteHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


def start(service, port, address="127.0.0.1"):
    """Start the HTTP server of a plain service and return it."""
    server = httpserver.HTTPServer(make_app(service))
    server.listen(port, address)
    return server


async def serve(port, announce, service_name, slots, delay_ms, journal_path):
    """Run the service and announce it until the process ends."""
    httpclient.AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    service = Service(f"{service_name}-{port}", True, journal_path)
    service.faults = Faults(delay_ms=delay_ms)
    start(service, port)
    announcement = announcer.Announcement(
        service_name, "plain", f"http://127.0.0.1:{port}", (), slots
    )
    if announce:
        await announcer.announce_periodically(announce, announcement)
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--announce", default="", help="The agent's announce address.")
@click.option("--service", default="filing-app")
@click.option("--slots", type=int, default=16)
@click.option("--delay-ms", type=int, default=0, help="Time that each act takes.")
@click.option("--journal", default=None, help="A file that lists every act.")
def main(port, announce, service, slots, delay_ms, journal):
    """Run a fake plain service."""
    asyncio.run(serve(port, announce, service, slots, delay_ms, journal))


if __name__ == "__main__":
    main()
