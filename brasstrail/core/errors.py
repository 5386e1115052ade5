"""Typed errors with codes.

Each kind has a stable `code`, an HTTP status for the calls that report it, and
a message that names the remedy. An error that ends a caller's request also
says whether the request ran. Errors are values: they are collected, passed on
and reported, and `to_json` gives the form in which callers and operators see
them.
"""

from brasstrail.core import data


class BrasstrailError(Exception):
    """The base of all kinds of error.

    Parameters
    ----------
    message : what is wrong, as a sentence.
    remedy : what to do about it, as a sentence.
    ran : a `data.RunStatus` value where a caller's request ended, else None.
    retry_after_s : seconds after which a new try is sensible, or None.
    """

    code = "internal"
    status = 500

    def __init__(self, message, remedy, ran=None, retry_after_s=None):
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy
        self.ran = ran
        self.retry_after_s = retry_after_s

    def to_json(self):
        """Return the error in the form that callers see."""
        error = {"code": self.code, "message": self.message, "remedy": self.remedy}
        if self.ran is not None:
            error["ran"] = str(self.ran)
        if self.retry_after_s is not None:
            error["retry_after_s"] = self.retry_after_s
        return {"error": error}


ERROR_CLASSES = {}


def register(error_class):
    """Register a kind of error by its code."""
    ERROR_CLASSES[error_class.code] = error_class
    return error_class


def not_run(error_class, message, remedy, retry_after_s=None):
    """Return an error that ends a request which certainly did not run."""
    return error_class(message, remedy, data.RunStatus.NOT_RUN, retry_after_s)


@register
class Internal(BrasstrailError):
    """A fault of the system itself."""


@register
class BadRequest(BrasstrailError):
    """The request cannot be read."""

    code, status = "bad_request", 400


@register
class TooLarge(BrasstrailError):
    """The request exceeds a size limit."""

    code, status = "too_large", 413


@register
class Unauthorized(BrasstrailError):
    """The token is missing or unknown."""

    code, status = "unauthorized", 401


@register
class Forbidden(BrasstrailError):
    """The token does not allow this."""

    code, status = "forbidden", 403


@register
class NotFound(BrasstrailError):
    """The named thing does not exist."""

    code, status = "not_found", 404


@register
class UnknownClass(BrasstrailError):
    """The request names no class of work, or one that does not exist."""

    code, status = "unknown_class", 400


@register
class UnknownWorkspace(BrasstrailError):
    """The request names no workspace, or one that does not exist."""

    code, status = "unknown_workspace", 400


@register
class KeyRequired(BrasstrailError):
    """A request of a non-idempotent class came without a key."""

    code, status = "key_required", 400


@register
class KeyReused(BrasstrailError):
    """An idempotency key came back with another request."""

    code, status = "key_reused", 422


@register
class Overloaded(BrasstrailError):
    """The request was shed because its class cannot meet its target now."""

    code, status = "overloaded", 503


@register
class NoServer(BrasstrailError):
    """No backend server offers the service now."""

    code, status = "no_server", 503


@register
class NotReady(BrasstrailError):
    """This node lacks what it needs to accept requests."""

    code, status = "not_ready", 503


@register
class ServerFailed(BrasstrailError):
    """The backend server failed while it ran the request."""

    code, status = "server_failed", 502


@register
class ServerStalled(BrasstrailError):
    """The backend server, or its agent, was silent while it ran the request."""

    code, status = "server_stalled", 504


@register
class Suspect(BrasstrailError):
    """The request is held to crash backend servers."""

    code, status = "suspect_request", 422


@register
class OutcomeUnknown(BrasstrailError):
    """It cannot be known whether the request ran."""

    code, status = "outcome_unknown", 504


@register
class Conflict(BrasstrailError):
    """A change was made against a version that is no longer current."""

    code, status = "version_conflict", 409


@register
class InvalidChange(BrasstrailError):
    """A change of configuration is not valid."""

    code, status = "invalid_change", 422


@register
class NoQuorum(BrasstrailError):
    """No leader with a quorum could be reached in time."""

    code, status = "no_quorum", 503


@register
class LedgerFull(BrasstrailError):
    """The bound on execution records is reached."""

    code, status = "ledger_full", 503


@register
class DiskFailed(BrasstrailError):
    """The data folder could not be written or synced."""

    code, status = "disk_failed", 500


@register
class CorruptFile(BrasstrailError):
    """A file of the data folder does not match its checksums."""

    code, status = "corrupt_file", 500


@register
class SettingsInvalid(BrasstrailError):
    """The settings file has errors; `problems` lists every one of them."""

    code, status = "settings_invalid", 500

    def __init__(self, path, problems):
        listing = "; ".join(problems)
        super().__init__(f"{path}: {listing}.", "Correct each key that is named.")
        self.problems = problems


def from_code(code, message, remedy, ran=None, retry_after_s=None):
    """Rebuild an error that another process reported."""
    return ERROR_CLASSES.get(code, Internal)(message, remedy, ran, retry_after_s)
