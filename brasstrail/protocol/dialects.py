"""Dialects: how callers, backend servers and operators of a platform speak.

A dialect turns messages into the project's records and back and decides nothing.
An adapter registers one under a name, by which settings choose it.
"""

from brasstrail.core import errors

DIALECTS = {}


def register(name):
    """Register a dialect's class under a name, as a decorator."""

    def add(dialect):
        DIALECTS[name] = dialect
        return dialect

    return add


def create(name):
    """Return a new dialect; raise `errors.SettingsInvalid` for an unknown name."""
    if name not in DIALECTS:
        known_names = ", ".join(sorted(DIALECTS))
        raise errors.SettingsInvalid(
            "settings", [f"dialect {name!r} is unknown; choose one of {known_names}"]
        )
    return DIALECTS[name]()


class Dialect:
    """What an adapter offers. Each method says what it returns and raises."""

    def decode_catalog(self, body):
        """Return the `catalog.Catalog` in a document.

        Raises `errors.InvalidChange`, which lists every problem found.
        """
        raise NotImplementedError

    def read_call(self, start_line, headers):
        """Return the `calls.Call` of a caller's head; raise `errors.BadRequest`."""
        raise NotImplementedError

    def server_headers(self, call, identity, workspace, remaining_ms, resume_after):
        """Return the headers with which a call goes to a server.

        Parameters
        ----------
        identity : the server that is to serve it, and no other.
        workspace : the caller's workspace, or None.
        remaining_ms : how long the caller still waits.
        resume_after : the last event that the caller has, or an empty word.
        """
        raise NotImplementedError

    def read_answer(self, start_line, headers):
        """Return the `calls.AnswerHead` of a server's answer."""
        raise NotImplementedError

    def refusal_headers(self, call, retry_after_s):
        """Return the headers of an answer of the system's own."""
        raise NotImplementedError

    def operator_app(self, publisher):
        """Return the application, as tornado wants it, of the control host's API."""
        raise NotImplementedError

    def ready_path(self):
        """Return the path at which a gateway says whether it is ready."""
        raise NotImplementedError
