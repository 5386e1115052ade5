"""The dialect of the users' platform, registered as `fleet`."""

import importlib

from brasstrail.platform import documents, headers
from brasstrail.protocol import dialects


@dialects.register("fleet")
class FleetDialect(dialects.Dialect):
    """Converts messages of the platform's callers, backend servers and operators."""

    def __init__(self):
        self.decoder = documents.Decoder()

    def catalog_steps(self, body):
        """Decode a configuration document in steps, and return its catalog."""
        return self.decoder.steps(body)

    def read_call(self, start_line, http_headers):
        """Return the call described by the head of a caller's request."""
        return headers.read_call(start_line, http_headers)

    def server_headers(self, call, identity, workspace, remaining_ms, resume_after):
        """Return the request headers to send to a backend server."""
        return headers.server_headers(
            call, identity, workspace, remaining_ms, resume_after
        )

    def start_request(self, address):
        """Return the target and headers of the question when a server started."""
        return headers.start_request(address)

    def read_start(self, status, body):
        """Return when a server started, as it answers that question, or None."""
        return headers.read_start(status, body)

    def read_answer(self, start_line, http_headers):
        """Return the decoded head of a backend server's answer."""
        return headers.read_answer(start_line, http_headers)

    def says_leaving(self, http_headers):
        """Return whether the head of an answer says that its server leaves."""
        return headers.says_leaving(http_headers)

    def refusal_headers(self, call, retry_after_s):
        """Return the headers of an error response that the system itself sends."""
        return headers.refusal_headers(call, retry_after_s)

    def operator_app(self, publisher):
        """Return the web application that a control host serves.

        Its module is imported only here, because gateways do not need it and
        importing it takes long on a small host.
        """
        operators = importlib.import_module("brasstrail.platform.operators")
        return operators.make_app(publisher)

    def ready_path(self):
        """Return the path of a gateway's readiness check."""
        return "/v1/readyz"
