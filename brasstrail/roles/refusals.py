"""Why a request is not answered by a server, as typed reasons.

Statuses are statements: 429 and 503 say that the request has not run and never will,
502 and 504 say nothing about that.
"""


class Refused(Exception):
    """The request gets an answer of the system's own.

    Parameters
    ----------
    status : the HTTP status.
    reason : a short word for logs and metrics.
    retry_after_s : when to come back, or None.
    """

    def __init__(self, status, reason, retry_after_s=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class AttemptFailed(Exception):
    """A sending to a server brought no answer.

    Parameters
    ----------
    reason : a short word for logs and metrics.
    rests : whether the server is to be left alone for a while.
    """

    def __init__(self, reason, needs_backoff):
        super().__init__(reason)
        self.reason = reason
        self.needs_backoff = needs_backoff


class NotRun(AttemptFailed):
    """The server has not run the request and never will."""


class ExecutionUnknown(AttemptFailed):
    """The server may have run the request."""


class CallerDisconnected(Exception):
    """The caller closed its connection."""
