"""Serves the platform's operators and the announcements of its servers."""

import orjson
from tornado import web

from brasstrail.core import errors
from brasstrail.platform import announcements, documents


class JsonHandler(web.RequestHandler):
    """A call to a control host; typed errors become answers.

    Parameters
    ----------
    publisher : `publisher.Publisher` of the process.
    """

    def initialize(self, publisher):
        """Keep what answers the calls."""
        self.publisher = publisher

    def send_json(self, status, body):
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def send_typed_error(self, error):
        """Send a typed error."""
        self.publisher.log.warning(
            "operators: A call is refused.",
            path=self.request.path,
            code=error.code,
            reason=error.message,
        )
        self.send_json(error.status, orjson.dumps(error.to_json()))

    def log_exception(self, exception_type, value, traceback):
        """Log a fault once, in the form of the log."""
        self.publisher.log.error("operators: A call failed.", reason=repr(value))


class DocumentHandler(JsonHandler):
    """The document as a whole."""

    async def put(self):
        """Replace the document."""
        try:
            decoded = documents.decode(self.request.body)
            await self.publisher.replace_document(decoded.version, self.request.body)
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, orjson.dumps({"version": decoded.version}))

    async def get(self):
        """Return the newest document."""
        try:
            body = await self.publisher.read_document()
            if body is None:
                raise errors.NotFound("There is no document.", "Send one first.")
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, body)


class ServerAnnouncementHandler(JsonHandler):
    """One server's announcements."""

    def put(self, identity):
        """Take an announcement."""
        try:
            self.publisher.registry.announce(
                announcements.decode(identity, self.request.body)
            )
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, b"{}")

    def delete(self, identity):
        """Take a server's last word."""
        try:
            born_ms = announcements.decode_withdrawal(self.request.body)
            self.publisher.registry.withdraw(identity, born_ms)
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, b"{}")


def make_app(publisher):
    """Return the application of a control host."""
    handler_arguments = {"publisher": publisher}
    routes = [
        (r"/v1/configuration", DocumentHandler, handler_arguments),
        (r"/v1/instances/([^/]+)", ServerAnnouncementHandler, handler_arguments),
    ]
    return web.Application(routes, log_function=skip_request_log)


def skip_request_log(handler):
    """Leave the log to the handlers."""
