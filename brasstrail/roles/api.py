"""The callers' HTTP API: chat completions, models, and plain services.

A request gives its class and its workspace in headers, and an idempotency key
if its class is not idempotent. The rules for requests without these headers:

- Without a class, a request belongs to the only class of its service, if the
  service has just one; otherwise it is refused.
- Without a workspace, it belongs to the one that its token is bound to, or to
  the only configured workspace; otherwise it is refused.
- Without a key, a request of a non-idempotent class is refused. A key derived
  from the body would merge two intended submissions with equal bodies.
"""

import asyncio

import orjson
from tornado import iostream, web

from brasstrail.core import clock, data, errors
from brasstrail.protocol import chat
from brasstrail.roles import access, backend, exchange, inspection, once, sinks
from brasstrail.roles import web as roles_web
from brasstrail.transport import callers

CLASS_HEADER = "Brasstrail-Class"
WORKSPACE_HEADER = "Brasstrail-Workspace"
SERVICE_HEADER = "Brasstrail-Service"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200
SECOND_MS = 1000
CONSUMED_HEADERS = frozenset(
    name.lower()
    for name in (
        CLASS_HEADER,
        WORKSPACE_HEADER,
        SERVICE_HEADER,
        KEY_HEADER,
        roles_web.AUTHORIZATION,
    )
)


@web.stream_request_body
class CallerHandler(roles_web.Handler):
    """Base handler of callers' requests; limits the bodies held in memory.

    `held` is how many bytes of the body are included in the entry's `held_bytes`.
    """

    def initialize(self, role):
        super().initialize(role)
        self.body = bytearray()
        self.exchange = None
        self.task = None
        self.held = 0

    def prepare(self):
        """Authenticate the caller and check the announced size of the body."""
        super().prepare()
        length = int(self.request.headers.get("Content-Length", "0") or "0")
        self.check_size(length)

    def check_size(self, length):
        """Raise a typed error if a body of `length` bytes exceeds a limit.

        The limits are `max_body_bytes` for one body and `max_held_bytes` for all
        bodies that the entry holds.
        """
        settings = self.role.settings
        if length > settings.max_body_bytes:
            raise errors.not_run(
                errors.TooLarge,
                f"The body exceeds {settings.max_body_bytes} bytes.",
                "Send less, or ask operators to raise entry.max_body_bytes.",
            )
        if self.role.held_bytes + length > settings.max_held_bytes:
            raise errors.not_run(
                errors.Overloaded,
                "This entry holds as many bytes of bodies as it may.",
                "Send it again after 1 s.",
                1,
            )

    def data_received(self, chunk):
        """Append a chunk of the request body."""
        self.check_size(len(self.body) + len(chunk))
        self.body += chunk
        self.held += len(chunk)
        self.role.held_bytes += len(chunk)

    def on_finish(self):
        """Release the memory accounted to the body."""
        self.release_held_bytes()

    def release_held_bytes(self):
        """Subtract the body from the entry's count of held bytes."""
        self.role.held_bytes -= self.held
        self.held = 0

    def on_connection_close(self):
        """Cancel the exchange when the caller disconnects.

        The exchange of a request that must not run twice is not cancelled.
        """
        self.release_held_bytes()
        once_only = isinstance(self.exchange, once.AtMostOnceExchange)
        if self.task is not None and not once_only:
            self.task.cancel()

    async def serve(self, request, sink):
        """Run the exchange of a request and answer the caller."""
        kind = exchange.Exchange
        if not request.work_class.idempotent:
            kind = once.AtMostOnceExchange
        self.exchange = kind(self.role, request, sink)
        self.set_header(sinks.REQUEST_HEADER, self.exchange.number)
        self.role.exchanges.add(self.exchange)
        began_ms = clock.now_ms()
        self.task = self.role.hub.loop.create_task(self.exchange.run())
        outcome = "failed"
        try:
            await self.wait_for_task()
            outcome = "whole"
        except errors.BrasstrailError as error:
            outcome = error.code
            self.fail_response(error)
        except iostream.StreamClosedError:
            outcome = "gone"
        finally:
            self.role.exchanges.discard(self.exchange)
            self.record_outcome(request, outcome, clock.now_ms() - began_ms)

    async def wait_for_task(self):
        """Wait for the exchange.

        Cancellation, which follows a disconnect of the caller, is raised as
        `iostream.StreamClosedError`.
        """
        try:
            await self.task
        except asyncio.CancelledError:
            raise iostream.StreamClosedError() from None

    def record_outcome(self, request, outcome, elapsed_ms):
        """Count a request by outcome and record the times of whole answers."""
        metrics = self.role.metrics
        labels = {"service": request.service.name, "tier": request.work_class.tier}
        metrics.count("requests", outcome=outcome, **labels)
        if outcome != "whole":
            return
        metrics.record("whole_answer", elapsed_ms / SECOND_MS, **labels)
        first_ms = self.exchange.first_token_ms
        if first_ms is not None:
            first_s = (first_ms - self.exchange.arrived_ms) / SECOND_MS
            metrics.record("first_byte", first_s, **labels)

    def fail_response(self, error):
        """Send an error, or close the connection if the answer has begun.

        An event stream gets the error as its last event. The connection is closed
        so that the client cannot mistake the partial answer for a whole one.
        """
        if not self._headers_written:
            self.write_problem(error)
            return
        if self.get_header("Content-Type") == sinks.EVENT_STREAM:
            self.write(chat.event(orjson.dumps(error.to_json())))
            self.flush()
        callers.cut_answer(self.request.connection)

    def get_header(self, name):
        """Return a response header, or an empty string."""
        return self._headers.get(name, "")

    # Classification.

    @property
    def config(self):
        """The current configuration; raises `errors.NotReady` without one."""
        if not self.role.attachment.has_view:
            raise errors.not_run(
                errors.NotReady,
                "This entry has no configuration yet.",
                "Send it again after 1 s.",
                1,
            )
        return self.role.attachment.view.config

    def resolve_class(self, service):
        """Return the class of work that the request belongs to."""
        name = self.request.headers.get(CLASS_HEADER, "")
        classes = [item for item in self.config.classes if item.service == service.name]
        if name:
            classes = [item for item in classes if item.name == name]
        if len(classes) == 1:
            return classes[0]
        class_names = ", ".join(
            item.name for item in self.config.classes if item.service == service.name
        )
        raise errors.not_run(
            errors.UnknownClass,
            f"Service {service.name!r} has no class {name!r}."
            if name
            else f"Service {service.name!r} has several classes or none.",
            f"Name one in the header {CLASS_HEADER}: {class_names or 'none exists'}.",
        )

    def resolve_workspace(self):
        """Return the workspace that the request belongs to."""
        requested = self.request.headers.get(WORKSPACE_HEADER, "")
        name = access.resolve_workspace(self.token, requested)
        configured_workspaces = self.config.workspaces
        if not name and len(configured_workspaces) == 1:
            return configured_workspaces[0].name
        if self.config.find_workspace(name) is None:
            raise errors.not_run(
                errors.UnknownWorkspace,
                f"There is no workspace {name!r}."
                if name
                else "The request names no workspace.",
                f"Name one in the header {WORKSPACE_HEADER}.",
            )
        return name

    def require_key(self, work_class):
        """Return the idempotency key, or an empty string for idempotent classes.

        Raises `errors.KeyRequired` if the key is missing or too long.
        """
        key = self.request.headers.get(KEY_HEADER, "")
        if work_class.idempotent:
            return ""
        if not key or len(key) > MAX_KEY_CHARS:
            raise errors.not_run(
                errors.KeyRequired,
                f"Class {work_class.name!r} is not idempotent and needs a key "
                f"of 1 to {MAX_KEY_CHARS} letters.",
                f"Send a key of its own for each request in {KEY_HEADER}.",
            )
        return key

    def forwarded_headers(self):
        """Return the caller's headers that are forwarded to the server.

        Headers that the entry evaluates itself are left out.
        """
        lines = backend.forwarded_header_lines(self.request.headers.get_all())
        return tuple(
            line for line in lines if line.split(":")[0].lower() not in CONSUMED_HEADERS
        )

    def make_request(self, service, path, chat_request=None):
        """Return the `exchange.Request` with its class, workspace and key."""
        work_class = self.resolve_class(service)
        return exchange.Request(
            self.request.method,
            path,
            self.forwarded_headers(),
            bytes(self.body),
            service,
            work_class,
            self.resolve_workspace(),
            self.require_key(work_class),
            chat_request,
        )


class ChatHandler(CallerHandler):
    """POST /v1/chat/completions."""

    async def post(self):
        chat_request = chat.read_request(chat.parse_body(bytes(self.body)))
        service = self.find_service(chat_request.model)
        request = self.make_request(service, self.request.path, chat_request)
        sink = (
            sinks.EventStreamSink(self)
            if chat_request.stream
            else sinks.BufferedSink(self)
        )
        await self.serve(request, sink)

    def find_service(self, model):
        """Return the model service for a request.

        The service header selects it, or else the service of the class that the
        class header names; without either, the first service with the model.
        """
        requested = self.request.headers.get(SERVICE_HEADER, "")
        work_class = self.config.find_class(self.request.headers.get(CLASS_HEADER, ""))
        if not requested and work_class is not None:
            requested = work_class.service
        for service in self.config.services:
            if service.kind != data.ServiceKind.MODEL or model not in service.models:
                continue
            if requested in ("", service.name):
                return service
        raise errors.not_run(
            errors.NotFound,
            f"No service offers the model {model!r}.",
            "GET /v1/models lists the models.",
        )


class PlainHandler(CallerHandler):
    """Any method on /services/NAME/PATH."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    async def any_method(self, name, path):
        """Forward the request to the service."""
        service = self.config.find_service(name)
        if service is None or service.kind != data.ServiceKind.PLAIN:
            raise errors.not_run(
                errors.NotFound,
                f"There is no plain service {name!r}.",
                "`brasstrail config show` lists the services.",
            )
        if self.request.query:
            path = f"{path}?{self.request.query}"
        request = self.make_request(service, path)
        await self.serve(request, sinks.PassthroughSink(self))

    get = head = post = put = patch = delete = options = any_method


class ModelsHandler(roles_web.Handler):
    """GET /v1/models."""

    def get(self):
        config = self.role.attachment.view.config
        names = sorted({model for item in config.services for model in item.models})
        listing = [
            {"id": name, "object": "model", "created": 0, "owned_by": "brasstrail"}
            for name in names
        ]
        self.write_json({"object": "list", "data": listing})


ROUTES = [
    (r"/v1/chat/completions", ChatHandler),
    (r"/v1/models", ModelsHandler),
    (r"/services/([^/]+)(/.*)", PlainHandler),
    *inspection.ROUTES,
]
