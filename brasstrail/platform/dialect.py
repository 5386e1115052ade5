"""The platform's dialect, under the name `fleet`."""

import importlib

from brasstrail.platform import documents, headers
from brasstrail.protocol import dialects


@dialects.register("fleet")
class FleetDialect(dialects.Dialect):
    """Speaks with the platform's callers, servers and operators."""

    def decode_catalog(self, body):
        """Return the catalog in a document."""
        return documents.decode(body)

    def read_call(self, start_line, http_headers):
        """Return the call in a caller's head."""
        return headers.read_call(start_line, http_headers)

    def server_headers(self, call, identity, workspace, remaining_ms, resume_after):
        """Return the headers with which a call goes to a server."""
        return headers.server_headers(
            call, identity, workspace, remaining_ms, resume_after
        )

    def read_answer(self, start_line, http_headers):
        """Return the head of a server's answer."""
        return headers.read_answer(start_line, http_headers)

    def refusal_headers(self, call, retry_after_s):
        """Return the headers of an answer of the system's own."""
        return headers.refusal_headers(call, retry_after_s)

    def operator_app(self, publisher):
        """Return the application of a control host.

        Gateways do without it, and loading it takes long on a small host.
        """
        operators = importlib.import_module("brasstrail.platform.operators")
        return operators.make_app(publisher)

    def ready_path(self):
        """Return the path of the question whether a gateway is ready."""
        return "/v1/readyz"
