"""Exceptions for requests that no server answers, each with a reason code.

The HTTP status states what is known about execution: 429 and 503 guarantee that the
request has not run and never will, 502 and 504 state nothing about it.
"""


class Refused(Exception):
    """The gateway answers the request itself, with an error.

    Parameters
    ----------
    status : the HTTP status.
    reason : a short code for logs and metrics.
    retry_after_s : the delay in seconds before a retry, or None.
    """

    def __init__(self, status, reason, retry_after_s=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class AttemptFailed(Exception):
    """An attempt at a server produced no usable answer.

    Parameters
    ----------
    reason : a short code for logs and metrics.
    needs_backoff : whether the server receives no requests for a while.
    """

    def __init__(self, reason, needs_backoff):
        super().__init__(reason)
        self.reason = reason
        self.needs_backoff = needs_backoff


class NotRun(AttemptFailed):
    """The server has not run the request and never will."""


class ServerUnavailable(NotRun):
    """The server may be sent nothing any more since it was chosen; nothing was sent."""


class ExecutionUnknown(AttemptFailed):
    """The server may have run the request."""


class ServerBrokeOff(ExecutionUnknown):
    """The connection ended before the whole answer: the server may have ended."""


class CallerDisconnected(Exception):
    """The caller closed its connection."""
