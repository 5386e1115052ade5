"""The HTTP API of a control host for the platform's operators and backend servers.

Operators replace and read the configuration document. Backend servers announce
and withdraw themselves.
"""

import asyncio

import orjson
from tornado import web

from brasstrail.core import bounds, errors
from brasstrail.platform import announcements, documents

# An order lasts for a week at most: a longer one is taken for a wrong unit.
MAX_DURATION_S = 7 * 24 * 3600
ORDER_REMEDY = "Name the service, the version to move to and the seconds."


class JsonHandler(web.RequestHandler):
    """Base class of the handlers: sends JSON answers and typed errors.

    Parameters
    ----------
    publisher : `publisher.Publisher` of the process.
    """

    def initialize(self, publisher):
        """Store the publisher that handles the requests."""
        self.publisher = publisher

    def send_json(self, status, body):
        """Send a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def send_typed_error(self, error):
        """Log a typed error and send it as a JSON answer."""
        self.publisher.log.warning(
            "operators: A call is refused.",
            path=self.request.path,
            code=error.code,
            reason=error.message,
        )
        self.send_json(error.status, orjson.dumps(error.to_json()))

    def log_exception(self, exception_type, value, traceback):
        """Log an unexpected exception once, in the project's log format."""
        self.publisher.log.error(
            "operators: A request failed with an unexpected error.", reason=repr(value)
        )


class DocumentHandler(JsonHandler):
    """Replaces and returns the configuration document as a whole.

    Parameters
    ----------
    decoder : `documents.Decoder`, which all calls share.
    """

    def initialize(self, publisher, decoder):
        """Store the publisher and the decoder."""
        super().initialize(publisher)
        self.decoder = decoder

    async def put(self):
        """Replace the configuration document; answer with its version."""
        try:
            decoded = await run_in_steps(self.decoder.steps(self.request.body))
            await self.publisher.replace_document(decoded.version, self.request.body)
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, orjson.dumps({"version": decoded.version}))

    async def get(self):
        """Send the newest configuration document."""
        try:
            body = await self.publisher.read_document()
            if body is None:
                raise errors.NotFound("There is no document.", "Send one first.")
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, body)


class ServerAnnouncementHandler(JsonHandler):
    """Receives the announcements of one backend server.

    The platform calls a server an instance in the path.
    """

    async def put(self, identity):
        """Record an announcement."""
        try:
            await self.publisher.registry.announce(
                announcements.decode(identity, self.request.body)
            )
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, b"{}")

    async def delete(self, identity):
        """Record that the server has shut down."""
        try:
            await self.publisher.registry.announce(
                announcements.decode_withdrawal(identity, self.request.body)
            )
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, b"{}")


class RolloutOrderHandler(JsonHandler):
    """Takes the orders of roll-outs."""

    async def post(self):
        """Commit an order; an empty object says that it is in the replicated log."""
        try:
            service, to, duration_ms = decode_order(self.request.body)
            body = await self.publisher.read_document()
            if body is None or service not in documents.service_names(body):
                raise errors.NotFound(
                    f"There is no service {service!r}.", "Name one of the document."
                )
            await self.publisher.rollouts.order(service, to, duration_ms)
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, b"{}")


class RolloutHandler(JsonHandler):
    """Tells how far the roll-out of a service is."""

    async def get(self, service):
        """Send the state of the latest roll-out."""
        try:
            rollout = await self.publisher.rollouts.read(service)
        except errors.BrasstrailError as error:
            self.send_typed_error(error)
            return
        self.send_json(200, orjson.dumps({"state": rollout.state, "to": rollout.to}))


def decode_order(body):
    """Return the service, the version and the duration in ms of an order.

    Raises `errors.BadRequest` if it is not valid.
    """
    try:
        order = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadRequest(f"It is not JSON: {error}.", ORDER_REMEDY) from error
    if not isinstance(order, dict):
        raise errors.BadRequest("The order is no object.", ORDER_REMEDY)
    service, to = order.get("service"), order.get("to")
    for name, text in (("service", service), ("to", to)):
        if not isinstance(text, str):
            raise errors.BadRequest(f"{name} is no word.", ORDER_REMEDY)
        bounds.check_name(name, text)
    duration_s = order.get("duration_s")
    if type(duration_s) not in (int, float) or not 0 < duration_s <= MAX_DURATION_S:
        raise errors.BadRequest("duration_s is no time above 0.", ORDER_REMEDY)
    return service, to, max(1, round(1000 * duration_s))


async def run_in_steps(steps):
    """Run a generator and return its result; other tasks run between two steps."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await asyncio.sleep(0)


def make_app(publisher):
    """Return the web application that a control host serves."""
    handler_arguments = {"publisher": publisher}
    routes = [
        (
            r"/v1/configuration",
            DocumentHandler,
            {**handler_arguments, "decoder": documents.Decoder()},
        ),
        (r"/v1/instances/([^/]+)", ServerAnnouncementHandler, handler_arguments),
        (r"/v1/rollouts", RolloutOrderHandler, handler_arguments),
        (r"/v1/rollouts/([^/]+)", RolloutHandler, handler_arguments),
    ]
    return web.Application(routes, log_function=skip_request_log)


def skip_request_log(handler):
    """Log nothing: the handlers log failed requests themselves."""
