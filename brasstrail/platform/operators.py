"""Serves the platform's operators and the announcements of its servers."""

import orjson
from tornado import web

from brasstrail.core import errors
from brasstrail.platform import announcements, documents


class Handler(web.RequestHandler):
    """A call to a control host; typed errors become answers.

    Parameters
    ----------
    publisher : `publisher.Publisher` of the process.
    """

    def initialize(self, publisher):
        """Keep what answers the calls."""
        self.publisher = publisher

    def send(self, status, body):
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def refuse(self, error):
        """Send a typed error."""
        self.publisher.log.warning(
            "operators: A call is refused.",
            path=self.request.path,
            code=error.code,
            reason=error.message,
        )
        self.send(error.status, orjson.dumps(error.to_json()))

    def log_exception(self, kind, value, trace):
        """Log a fault once, in the form of the log."""
        self.publisher.log.error("operators: A call failed.", reason=repr(value))


class ConfigurationHandler(Handler):
    """The document as a whole."""

    async def put(self):
        """Replace the document."""
        try:
            decoded = documents.decode(self.request.body)
            await self.publisher.replace_document(decoded.version, self.request.body)
        except errors.BrasstrailError as error:
            self.refuse(error)
            return
        self.send(200, orjson.dumps({"version": decoded.version}))

    async def get(self):
        """Return the newest document."""
        try:
            body = await self.publisher.read_document()
            if body is None:
                raise errors.NotFound("There is no document.", "Send one first.")
        except errors.BrasstrailError as error:
            self.refuse(error)
            return
        self.send(200, body)


class InstanceHandler(Handler):
    """One server's announcements."""

    def put(self, identity):
        """Take an announcement."""
        try:
            self.publisher.registry.announce(
                announcements.decode(identity, self.request.body)
            )
        except errors.BrasstrailError as error:
            self.refuse(error)
            return
        self.send(200, b"{}")

    def delete(self, identity):
        """Take a server's last word."""
        try:
            born_ms = announcements.decode_withdrawal(self.request.body)
            self.publisher.registry.withdraw(identity, born_ms)
        except errors.BrasstrailError as error:
            self.refuse(error)
            return
        self.send(200, b"{}")


def make_app(publisher):
    """Return the application of a control host."""
    context = {"publisher": publisher}
    routes = [
        (r"/v1/configuration", ConfigurationHandler, context),
        (r"/v1/instances/([^/]+)", InstanceHandler, context),
    ]
    return web.Application(routes, log_function=ignore_request)


def ignore_request(handler):
    """Leave the log to the handlers."""
