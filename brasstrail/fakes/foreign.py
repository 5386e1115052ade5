"""Reports that no backend server sends, and the answer of one that runs nothing."""

from tornado import httpclient

from brasstrail.fakes import fleetcalls

CALL_TIMEOUT_S = 1.0
REJECTION = (
    b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# Fields that replace those of a valid report, or a whole body.
ODD_REPORTS = (
    {"service": "mailer"},
    {"service": "mailer", "sequence": 2**64 - 999},
    {"born": 2**63},
    {"slots": -1},
    {"slots": "4"},
    {"cold_remaining_ms": 1e300},
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:²"},
    {"address": "a..b:80"},
    {"service": "mailer", "address": "nowhere.example:80"},
    {"service": "x" * 5000},
    {"state": "asleep"},
    {"sequence": None},
    b"",
    b"\xff\xfe",
    b"[" * 50_000,
    b'{"born": 1e999}',
)

# Fields that replace those of a valid report at the address of a server that runs.
CLAIMS = (
    {"service": "mailer"},
    {"service": "mailer", "state": "draining"},
)


async def call_control(address, method, identity, body):
    """Send a report, or a withdrawal, to a control host; return the status.

    The status is 599 if there was no answer.
    """
    request = httpclient.HTTPRequest(
        f"http://{address}/v1/instances/{identity}",
        method=method,
        body=body,
        request_timeout=CALL_TIMEOUT_S,
        connect_timeout=CALL_TIMEOUT_S,
        allow_nonstandard_methods=True,
    )
    try:
        client = httpclient.AsyncHTTPClient()
        return (await client.fetch(request, raise_error=False)).code
    except (OSError, httpclient.HTTPError):
        return 599


def make_report(address, sequence, changes=()):
    """Return the report of a ready server of the plain service, with some changes."""
    return {
        "service": fleetcalls.PLAIN_SERVICE,
        "address": address,
        "zone": "dc-1",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "born": 1,
        **dict(changes),
    }
