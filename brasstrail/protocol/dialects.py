"""Dialects: the message formats of a platform's callers, servers and operators.

A dialect converts messages to and from the project's records and makes no
decisions. An adapter registers a dialect under a name, and the settings select it
by that name.
"""

from brasstrail.core import errors

DIALECTS = {}


def register(name):
    """Return a class decorator that registers a dialect under a name."""

    def add(dialect):
        DIALECTS[name] = dialect
        return dialect

    return add


def create(name):
    """Return a new instance of a dialect.

    Raises `errors.SettingsInvalid` if no dialect has this name.
    """
    if name not in DIALECTS:
        known_names = ", ".join(sorted(DIALECTS))
        raise errors.SettingsInvalid(
            "settings", [f"dialect {name!r} is unknown; choose one of {known_names}"]
        )
    return DIALECTS[name]()


class Dialect:
    """The interface that an adapter implements."""

    def catalog_steps(self, body):
        """Decode a document in steps, and return the `catalog.Catalog` it describes.

        This is a generator: between two steps, which take a few milliseconds, a process
        can serve requests. Raises `errors.InvalidChange`, whose message names the
        problem.
        """
        raise NotImplementedError

    def read_call(self, start_line, headers):
        """Return the `calls.Call` of the head of a caller's request.

        Raises `errors.BadRequest` if the head is invalid.
        """
        raise NotImplementedError

    def server_headers(self, call, identity, workspace, remaining_ms, resume_after):
        """Return the headers of the request that is sent to a backend server.

        Parameters
        ----------
        identity : the only backend server that may process the request.
        workspace : the caller's workspace, or None.
        remaining_ms : how much longer the caller waits.
        resume_after : the id of the last event that the caller received, or an
            empty string.
        """
        raise NotImplementedError

    def start_request(self, address):
        """Return the target and the headers of the question when a server started.

        `address` is that of the backend server, which answers a GET request with them.
        """
        raise NotImplementedError

    def read_start(self, status, body):
        """Return the Unix time in milliseconds at which a server started.

        `status` and `body` are those of its answer to `start_request`. The result is
        None if it does not state the time.
        """
        raise NotImplementedError

    def read_answer(self, start_line, headers):
        """Return the `calls.AnswerHead` of a backend server's answer."""
        raise NotImplementedError

    def says_leaving(self, headers):
        """Return whether a head, also an interim one, says that its server leaves."""
        raise NotImplementedError

    def refusal_headers(self, call, retry_after_s):
        """Return the headers of an error response that the system itself sends.

        Parameters
        ----------
        call : the call, or None if its head could not be decoded.
        retry_after_s : when the caller should retry, or None if that is not stated.
        """
        raise NotImplementedError

    def operator_app(self, publisher):
        """Return the tornado application of the control host's API.

        Operators and backend servers use the API."""
        raise NotImplementedError

    def ready_path(self):
        """Return the path at which a gateway reports whether it is ready."""
        raise NotImplementedError
