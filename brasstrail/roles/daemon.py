"""The daemon: runs the roles that its settings name, in one process.

The modules of a role are loaded when the role is started: on a small host loading all
of them takes a good part of the time between a start and the first request.
"""

import asyncio
import contextlib
import importlib
import signal
import sys

import click
from tornado import httpclient, httpserver, httputil

import brasstrail
import brasstrail.platform
from brasstrail.core import clock, data, errors
from brasstrail.protocol import dialects
from brasstrail.roles import hub, logs, metrics
from brasstrail.settings import settings

DRAIN_POLL_S = 0.05
MAX_ADMIN_BODY_BYTES = 8 * 1024 * 1024
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"


class Daemon:
    """The roles of one process, started and stopped together.

    Parameters
    ----------
    loaded : `settings.Settings`.
    log : a structlog logger, or None to make one from the settings.
    path : the file of the settings, which is read again on SIGHUP.
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
        self.control = None
        self.entry = None
        self.agent = None
        self.gateway = None
        self.publisher = None

    def make_logger(self):
        """Return the logger that the settings ask for."""
        output = logs.make_output(self.settings)
        self.metrics.gauge("log_lines_left_out", lambda: output.total_dropped_lines)
        return logs.make_logger(self.settings, output)

    async def start_all(self):
        """Start listening and all roles."""
        self.start()
        if "gateway" in self.settings.node.roles:
            self.gateway = load_role("gateway").Gateway(self.hub, self.metrics)
            self.gateway.register_gauges()
            await self.gateway.start()
            self.stack.callback(self.gateway.close)

    def start(self):
        """Start listening and all roles but the gateway."""
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
        """Serve gateways, operators of the document and announcements."""
        options = self.settings.control
        publisher = load_role("publisher")
        self.publisher = publisher.Publisher(self.hub, self.control, self.metrics)
        self.publisher.start()
        self.stack.callback(self.publisher.close)
        dialect = dialects.find(options.dialect)
        app = dialect.operator_app(self.publisher)
        server = httpserver.HTTPServer(app, max_body_size=MAX_DOCUMENT_BYTES)
        listen(server, options.document_address)
        self.stack.callback(server.stop)

    def serve_metrics(self):
        """Serve the metrics as text."""
        server = httpserver.HTTPServer(self.answer_metrics)
        server.listen(self.settings.metrics.port, self.settings.node.address)
        self.stack.callback(server.stop)

    def answer_metrics(self, request):
        """Send all metrics as text, or say that there is nothing else."""
        is_known = request.path == METRICS_PATH
        status = 200 if is_known else 404
        body = self.metrics.render().encode() if is_known else b""
        headers = httputil.HTTPHeaders(
            {"Content-Type": METRICS_TYPE, "Content-Length": str(len(body))}
        )
        start_line = httputil.ResponseStartLine("", status, httputil.responses[status])
        request.connection.write_headers(start_line, headers, body)
        request.connection.finish()

    def start_admin(self):
        """Start the operators' API."""
        admin = load_role("admin")
        role = admin.Admin(self.hub, self.control, self.metrics)
        app = load_role("web").make_app(role, admin.ROUTES)
        server = httpserver.HTTPServer(app, max_body_size=MAX_ADMIN_BODY_BYTES)
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
        """Return what this process says of itself."""
        node = self.settings.node
        return data.Member(
            node.name,
            self.incarnation,
            roles,
            node.dialed_address,
            node.region,
            node.data_centre,
        )

    def stop(self):
        """Ask the daemon to stop once its work is done."""
        self.stopping.set()

    async def run(self):
        """Run until asked to stop, then finish what is under way."""
        await self.start_all()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.stopping.wait()
        await self.shut_down()

    def reload(self):
        """Read the settings again and dial the control hosts they name.

        Everything else that settings say is fixed for the life of a process.
        """
        if self.path is None:
            return
        try:
            loaded = settings.load(self.path)
        except errors.SettingsInvalid as error:
            self.log.error("daemon: The settings are not taken.", reason=str(error))
            return
        seeds = loaded.cluster.peer_seeds
        if self.gateway is not None:
            self.gateway.subscription.dial(seeds)
        if self.control is not None:
            self.control.replication.dial_all(seeds)
        self.log.info("daemon: The settings were read again.", seeds=",".join(seeds))

    async def shut_down(self):
        """Let every request end, then stop all roles."""
        self.log.info("daemon: Stopping; open requests are finished first.")
        if self.gateway is not None:
            await self.gateway.drain()
        if self.entry is not None:
            await self.entry.drain()
        if self.agent is not None:
            await self.drain_agent()
        self.stack.close()
        self.log.info("daemon: Stopped.")

    async def drain_agent(self):
        """Admit nothing more and wait until nothing runs."""
        self.agent.begin_draining()
        deadline_ms = clock.now_ms() + self.settings.agent.drain_ms
        while not self.agent.idle and clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(2 * DRAIN_POLL_S)


def configure_http():
    """Choose the HTTP client that all roles use."""
    httpclient.AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")


def listen(server, address):
    """Let a server listen at an address, IP:port."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)


def load_role(name):
    """Return the module of a role, loaded now where it was not yet."""
    return importlib.import_module(f"brasstrail.roles.{name}")


async def run(loaded, path):
    """Run a daemon with these settings."""
    configure_http()
    await Daemon(loaded, path=path).run()


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    envvar="BRASSTRAIL_CONFIG",
    type=click.Path(dir_okay=False),
    help="The TOML file with the settings; else what BRASSTRAIL_CONFIG names.",
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
