"""What the HTTP servers of all roles share."""

import cattrs
import orjson
from tornado import web

from brasstrail.core import errors
from brasstrail.roles import access
from brasstrail.settings import settings

AUTHORIZATION = "Authorization"
JSON_TYPE = "application/json"


class Handler(web.RequestHandler):
    """A handler that knows who calls and shows errors as JSON.

    Subclasses find the role in `self.role` and the caller in `self.token`.
    """

    allow_anonymous = False
    operators_only = False

    def initialize(self, role):
        self.role = role
        self.token = None

    def prepare(self):
        """Find out who calls."""
        if self.allow_anonymous:
            return
        tokens = self.role.hub.settings.auth.tokens
        header = self.request.headers.get(AUTHORIZATION, "")
        self.token = access.authenticate(tokens, header)
        if self.operators_only:
            access.require_operator(self.token)

    def write_json(self, json_object, status=200):
        """Finish with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(orjson.dumps(json_object))

    def write_problem(self, problem):
        """Finish with a typed error."""
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
        """Return a record of a type made of JSON, or raise a typed error."""
        try:
            return settings.CONVERTER.structure(json_object, record)
        except cattrs.BaseValidationError as error:
            problems = cattrs.transform_error(error, format_exception=settings.describe)
            raise errors.BadRequest(
                f"The body cannot be read: {'; '.join(problems)}.",
                "Send the fields that the pages list, with their types.",
            ) from error

    def log_exception(self, kind, error, trace):
        """Log only what is no typed error."""
        if not isinstance(error, errors.BrasstrailError):
            super().log_exception(kind, error, trace)

    def write_error(self, status_code, **details):
        """Show an error as JSON, whatever raised it."""
        error = details.get("exc_info", (None, None, None))[1]
        if not isinstance(error, errors.BrasstrailError):
            error = make_status_error(status_code)
        self.write_problem(error)


def make_status_error(status_code):
    """Return the typed error for a bare HTTP status."""
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
    """Every path that leads nowhere."""

    allow_anonymous = True

    def prepare(self):
        raise errors.NotFound(
            "There is nothing at this path.", "See the API page for the paths."
        )


class AliveHandler(Handler):
    """GET /healthz: the process stands."""

    allow_anonymous = True

    def get(self):
        self.write_json({"alive": True})


class ReadyHandler(Handler):
    """GET /readyz: the process takes requests."""

    allow_anonymous = True

    def get(self):
        ready = self.role.ready
        self.write_json({"ready": ready}, 200 if ready else 503)


class MetricsHandler(Handler):
    """GET /metrics: all metrics as text."""

    allow_anonymous = True

    def get(self):
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.role.metrics.render())


def make_app(role, routes):
    """Return the web application of a role."""
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
