"""HTTP handlers and helpers that the servers of all roles share."""

import cattrs
import orjson
from tornado import web

from brasstrail.core import errors
from brasstrail.roles import access
from brasstrail.settings import settings

AUTHORIZATION = "Authorization"
JSON_TYPE = "application/json"


class Handler(web.RequestHandler):
    """Base handler that authenticates callers and sends errors as JSON.

    `self.role` is the role that serves the request, and `self.token` the
    caller's `settings.Token`. With `allow_anonymous`, no token is required and
    `self.token` is None; with `operators_only`, the token must be an operator's.
    """

    allow_anonymous = False
    operators_only = False

    def initialize(self, role):
        self.role = role
        self.token = None

    def prepare(self):
        """Authenticate the caller."""
        if self.allow_anonymous:
            return
        tokens = self.role.hub.settings.auth.tokens
        header = self.request.headers.get(AUTHORIZATION, "")
        self.token = access.authenticate(tokens, header)
        if self.operators_only:
            access.require_operator(self.token)

    def write_json(self, json_object, status=200):
        """Finish the response with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(orjson.dumps(json_object))

    def write_problem(self, problem):
        """Finish the response with a typed error as JSON."""
        if problem.retry_after_s is not None:
            self.set_header("Retry-After", str(problem.retry_after_s))
        self.write_json(problem.to_json(), problem.status)

    def read_json(self):
        """Return the JSON object in the body, or raise a typed error."""
        try:
            json_object = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            raise errors.BadRequest(
                f"The body is not JSON: {error}.", "Send a JSON object."
            ) from error
        if not isinstance(json_object, dict):
            raise errors.BadRequest(
                "The body is not a JSON object.", "Send a JSON object."
            )
        return json_object

    def read_record(self, json_object, record):
        """Convert a JSON object to an instance of the class `record`.

        Raises `errors.BadRequest` if the object does not match the class.
        """
        try:
            return settings.CONVERTER.structure(json_object, record)
        except cattrs.BaseValidationError as error:
            problems = cattrs.transform_error(
                error, format_exception=settings.describe_structure_error
            )
            raise errors.BadRequest(
                f"The body cannot be read: {'; '.join(problems)}.",
                "Send the fields that the pages list, with their types.",
            ) from error

    def log_exception(self, kind, error, trace):
        """Log unexpected exceptions; typed errors are part of the API."""
        if not isinstance(error, errors.BrasstrailError):
            super().log_exception(kind, error, trace)

    def write_error(self, status_code, **details):
        """Send any exception as a typed error in JSON."""
        error = details.get("exc_info", (None, None, None))[1]
        if not isinstance(error, errors.BrasstrailError):
            error = make_status_error(status_code)
        self.write_problem(error)


def make_status_error(status_code):
    """Return the typed error for an HTTP status code."""
    if status_code == errors.NotFound.status:
        return errors.NotFound(
            "There is nothing at this path.", "See the API page for the paths."
        )
    if status_code < errors.Internal.status:
        problem = errors.BadRequest(
            f"The request is refused with status {status_code}.",
            "See the API page for the calls.",
        )
        problem.status = status_code
        return problem
    return errors.Internal(
        "The call failed inside the system.", "Report it with the logs of this time."
    )


class NotFoundHandler(Handler):
    """Answers requests to paths without a route."""

    allow_anonymous = True

    def prepare(self):
        raise errors.NotFound(
            "There is nothing at this path.", "See the API page for the paths."
        )


class AliveHandler(Handler):
    """GET /healthz: whether the process is running."""

    allow_anonymous = True

    def get(self):
        self.write_json({"alive": True})


class ReadyHandler(Handler):
    """GET /readyz: whether the role accepts requests."""

    allow_anonymous = True

    def get(self):
        ready = self.role.ready
        self.write_json({"ready": ready}, 200 if ready else 503)


class MetricsHandler(Handler):
    """GET /metrics: all metrics in the text exposition format."""

    allow_anonymous = True

    def get(self):
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.role.metrics.render())


def make_app(role, routes):
    """Return the Tornado application of a role, with health and metrics routes."""
    common_routes = [
        (r"/healthz", AliveHandler),
        (r"/readyz", ReadyHandler),
        (r"/metrics", MetricsHandler),
    ]
    arguments = {"role": role}
    return web.Application(
        [(path, handler, arguments) for path, handler in [*routes, *common_routes]],
        default_handler_class=NotFoundHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
