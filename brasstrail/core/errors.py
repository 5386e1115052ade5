"""Typed errors with codes.

Each class has a stable `code` and an HTTP status for the calls that report it.
Each error has a message and a remedy, and an error that ends a caller's request
also says whether the request ran. Errors are also passed around as values, not
only raised. `to_json` returns the form that callers and operators receive.
"""

from brasstrail.core import data


class BrasstrailError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    message : what is wrong, as a sentence.
    remedy : what to do about it, as a sentence.
    ran : a `data.RunStatus` value if the error ends a caller's request, else None.
    retry_after_s : seconds after which to retry, or None.
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
        """Return the error as the JSON object that callers receive."""
        error = {"code": self.code, "message": self.message, "remedy": self.remedy}
        if self.ran is not None:
            error["ran"] = str(self.ran)
        if self.retry_after_s is not None:
            error["retry_after_s"] = self.retry_after_s
        return {"error": error}


ERROR_CLASSES = {}


def register(error_class):
    """Register an error class by its code and return the class."""
    ERROR_CLASSES[error_class.code] = error_class
    return error_class


def not_run(error_class, message, remedy, retry_after_s=None):
    """Return an error that ends a request that is known not to have run."""
    return error_class(message, remedy, data.RunStatus.NOT_RUN, retry_after_s)


@register
class Internal(BrasstrailError):
    """An internal error of the system."""


@register
class BadRequest(BrasstrailError):
    """The request cannot be parsed."""

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
    """The named object does not exist."""

    code, status = "not_found", 404


@register
class UnknownClass(BrasstrailError):
    """The request names no class of work, or names one that does not exist."""

    code, status = "unknown_class", 400


@register
class UnknownWorkspace(BrasstrailError):
    """The request names no workspace, or names one that does not exist."""

    code, status = "unknown_workspace", 400


@register
class KeyRequired(BrasstrailError):
    """A request of a non-idempotent class has no idempotency key."""

    code, status = "key_required", 400


@register
class KeyReused(BrasstrailError):
    """An idempotency key was reused for a different request."""

    code, status = "key_reused", 422


@register
class Overloaded(BrasstrailError):
    """The request was shed because its class cannot currently meet its target."""

    code, status = "overloaded", 503


@register
class NoServer(BrasstrailError):
    """No backend server currently offers the service."""

    code, status = "no_server", 503


@register
class NotReady(BrasstrailError):
    """This node is not ready to accept requests."""

    code, status = "not_ready", 503


@register
class ServerFailed(BrasstrailError):
    """The backend server failed while it ran the request."""

    code, status = "server_failed", 502


@register
class ServerStalled(BrasstrailError):
    """The backend server, or its agent, sent nothing for too long during the run."""

    code, status = "server_stalled", 504


@register
class Suspect(BrasstrailError):
    """The request is suspected of crashing backend servers."""

    code, status = "suspect_request", 422


@register
class OutcomeUnknown(BrasstrailError):
    """It cannot be determined whether the request ran."""

    code, status = "outcome_unknown", 504


@register
class Conflict(BrasstrailError):
    """A change is based on a version that is no longer current."""

    code, status = "version_conflict", 409


@register
class RolloutInProgress(BrasstrailError):
    """Another roll-out of the service is in progress."""

    code, status = "rollout_in_progress", 409


@register
class InvalidChange(BrasstrailError):
    """A configuration change is not valid."""

    code, status = "invalid_change", 422


@register
class NoQuorum(BrasstrailError):
    """No leader with a quorum was reached in time."""

    code, status = "no_quorum", 503


@register
class LedgerFull(BrasstrailError):
    """The maximum number of execution records is reached."""

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
    """Rebuild an error that another process reported.

    An unknown code gives an `Internal` error.
    """
    return ERROR_CLASSES.get(code, Internal)(message, remedy, ran, retry_after_s)
