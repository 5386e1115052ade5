"""The daemon: runs the roles named in its settings in one process.

The modules of a role are imported when the role is started: on a small host,
importing all of them takes much of the time from start to the first request.
"""

import asyncio
import contextlib
import importlib
import signal
import sys

import click
import orjson
from tornado import httpclient, httputil

import brasstrail
import brasstrail.platform
from brasstrail.core import clock, data, errors
from brasstrail.protocol import dialects
from brasstrail.roles import hub, logs, metrics
from brasstrail.settings import settings
from brasstrail.transport import heaps, listening

DRAIN_POLL_S = 0.05
MAX_ADMIN_BODY_BYTES = 8 * 1024 * 1024
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"
JSON_TYPE = "application/json"
# Questions are limited to 16 KB; the rest leaves room to answer one that is too long.
MAX_METRICS_BODY_BYTES = 64 * 1024
METRICS_TYPE = "text/plain; version=0.0.4"


class Daemon:
    """The roles of one process, started and stopped together.

    Parameters
    ----------
    loaded : `settings.Settings`.
    log : a structlog logger, or None to make one from the settings.
    path : the settings file, which is read again on SIGHUP; None for no reload.

    Attributes
    ----------
    stack : closes what was started, in reverse order.
    stopping : an event that is set when the daemon is asked to stop.
    incarnation : the wall-clock time of the start in ms.
    """

    def __init__(self, loaded, log=None, path=None):
        self.settings = loaded
        self.path = path
        self.metrics = metrics.Metrics()
        self.log = log or self.make_logger()
        self.stack = contextlib.ExitStack()
        self.stopping = asyncio.Event()
        self.incarnation = clock.wall_ms()
        self.hub = hub.Hub(loaded, self.incarnation, self.log)
        self.hub.intake_watch.register_metrics(self.metrics)
        self.control = None
        self.entry = None
        self.agent = None
        self.gateway = None
        self.publisher = None

    def make_logger(self):
        """Return a logger as configured in the settings."""
        output = logs.make_output(self.settings)
        self.metrics.gauge("log_lines_left_out", lambda: output.total_dropped_lines)
        return logs.make_logger(self.settings, output)

    async def start_all(self):
        """Open the peer port and start all roles."""
        self.start()
        if "gateway" in self.settings.node.roles:
            self.gateway = load_role("gateway").Gateway(self.hub, self.metrics)
            self.gateway.register_gauges()
            await self.gateway.start()
            self.stack.callback(self.gateway.close)

    def start(self):
        """Open the peer port and start all roles except the gateway."""
        roles = self.settings.node.roles
        self.hub.start()
        self.stack.callback(self.hub.close)
        if "control" in roles:
            self.start_control()
        if "entry" in roles or "agent" in roles:
            self.start_attached_roles(roles)
        self.stack.callback(self.hub.cancel_tasks)
        if self.settings.metrics.port:
            self.serve_metrics()
        self.log.info(
            "daemon: Started.",
            version=brasstrail.__version__,
            roles=",".join(roles),
            incarnation=self.incarnation,
        )

    def start_control(self):
        """Start the control role and the operators' API."""
        self.control = load_role("control").Control(self.hub)
        self.control.register_gauges(self.metrics)
        self.control.start()
        self.stack.callback(self.control.close)
        if self.settings.control.document_address:
            self.start_publisher()
        if self.settings.control.admin_port:
            self.start_admin()

    def start_publisher(self):
        """Start the publisher, and the HTTP server for documents and announcements."""
        options = self.settings.control
        publisher = load_role("publisher")
        self.publisher = publisher.Publisher(self.hub, self.control, self.metrics)
        self.publisher.start()
        self.stack.callback(self.publisher.close)
        dialect = dialects.create(options.dialect)
        app = dialect.operator_app(self.publisher)
        server = self.make_server(app, max_body_size=MAX_DOCUMENT_BYTES)
        listen(server, options.document_address)
        self.stack.callback(server.stop)

    def make_server(self, callback, **options):
        """Return an HTTP server with the limits of the process."""
        return listening.Server(callback, self.hub.account, **options)

    def serve_metrics(self):
        """Start the HTTP server for metrics."""
        server = self.make_server(
            self.answer_metrics, max_body_size=MAX_METRICS_BODY_BYTES
        )
        server.listen(self.settings.metrics.port, self.settings.node.address)
        self.stack.callback(server.stop)

    def answer_metrics(self, request):
        """Answer a request for metrics with text; answer 404 for unknown paths."""
        if request.path == EXPLAIN_PATH and self.gateway is not None:
            self.send(request, *self.explain(request), JSON_TYPE)
            return
        is_known = request.path == METRICS_PATH
        status = 200 if is_known else 404
        body = self.metrics.render().encode() if is_known else b""
        self.send(request, status, body, METRICS_TYPE)

    def explain(self, request):
        """Return status and body of the answer to a question about a request."""
        explaining = load_role("explaining")
        try:
            if request.method != "POST":
                raise errors.BadRequest(
                    "The question has no body.", "Send a POST with a JSON object."
                )
            question = explaining.read_question(request.body)
            return 200, orjson.dumps(explaining.explain(self.gateway, question))
        except errors.BrasstrailError as error:
            return error.status, orjson.dumps(error.to_json())

    def send(self, request, status, body, content_type):
        """Send a complete answer."""
        headers = httputil.HTTPHeaders(
            {"Content-Type": content_type, "Content-Length": str(len(body))}
        )
        start_line = httputil.ResponseStartLine("", status, httputil.responses[status])
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    def start_admin(self):
        """Start the HTTP server for the operators' API."""
        admin = load_role("admin")
        role = admin.Admin(self.hub, self.control, self.metrics)
        app = load_role("web").make_app(role, admin.ROUTES)
        server = self.make_server(app, max_body_size=MAX_ADMIN_BODY_BYTES)
        server.listen(self.settings.control.admin_port, self.settings.node.address)
        self.stack.callback(server.stop)

    def start_attached_roles(self, roles):
        """Start the roles that attach to a control host."""
        attachment = load_role("attachment").Attachment(
            self.hub, self.make_member(roles)
        )
        if "agent" in roles:
            self.agent = load_role("agent").Agent(self.hub, attachment)
            self.agent.start()
            self.stack.callback(self.agent.close)
        if "entry" in roles:
            self.entry = load_role("entry").Entry(self.hub, attachment)
            self.entry.start_serving()
            self.stack.callback(self.entry.close)
        attachment.start()
        self.stack.callback(attachment.close)

    def make_member(self, roles):
        """Return the description of this process that it announces."""
        node = self.settings.node
        return data.Member(
            node.name,
            self.incarnation,
            roles,
            node.advertised_address,
            node.region,
            node.data_centre,
        )

    def stop(self):
        """Request a stop; open requests are completed first."""
        self.stopping.set()

    async def run(self):
        """Run until a stop is requested, then complete open requests."""
        await self.start_all()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.stopping.wait()
        await self.shut_down()

    def reload(self):
        """Read the settings again and dial the control hosts that they name.

        All other settings stay as they were when the process started.
        """
        if self.path is None:
            return
        try:
            loaded = settings.load(self.path)
        except errors.SettingsInvalid as error:
            self.log.error(
                "daemon: The settings are invalid and not reloaded.", reason=str(error)
            )
            return
        seeds = loaded.cluster.peer_seeds
        if self.gateway is not None:
            self.gateway.subscription.dial(seeds)
        if self.control is not None:
            self.control.replication.dial_all(seeds)
        self.log.info("daemon: The settings were reloaded.", seeds=",".join(seeds))

    async def shut_down(self):
        """Drain the gateway, the entry and the agent, then stop all roles."""
        self.log.info("daemon: Stopping; open requests are completed first.")
        if self.gateway is not None:
            await self.gateway.shutdown.run()
        if self.entry is not None:
            await self.entry.drain()
        if self.agent is not None:
            await self.drain_agent()
        self.stack.close()
        self.log.info("daemon: Stopped.")

    async def drain_agent(self):
        """Stop admitting requests and wait up to `drain_ms` for running ones."""
        self.agent.start_draining()
        deadline_ms = clock.now_ms() + self.settings.agent.drain_ms
        while not self.agent.idle and clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(2 * DRAIN_POLL_S)


def configure_http():
    """Select the curl HTTP client for all roles."""
    httpclient.AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")


def listen(server, address):
    """Make a server listen on an address, IP:port."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)


def load_role(name):
    """Import the module of a role if necessary and return it."""
    return importlib.import_module(f"brasstrail.roles.{name}")


async def run(loaded, path):
    """Run a daemon with these settings."""
    configure_http()
    heaps.return_freed_blocks()
    await Daemon(loaded, path=path).run()


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    envvar="BRASSTRAIL_CONFIG",
    type=click.Path(dir_okay=False),
    help="The TOML settings file; the default is the value of BRASSTRAIL_CONFIG.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(brasstrail.__version__)
def main(path, check):
    """Run the brasstrail daemon."""
    try:
        loaded = settings.load(path)
    except errors.SettingsInvalid as error:
        for problem in error.problems:
            click.echo(f"{path}: {problem}", err=True)
        sys.exit(2)
    if check:
        click.echo(f"{path}: the settings are valid.")
        return
    try:
        asyncio.run(run(loaded, path))
    except (errors.BrasstrailError, OSError) as error:
        click.echo(f"brasstraild: {error}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
