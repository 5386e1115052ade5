"""The agent's HTTP client for its backend server.

A `Call` runs one request and buffers the answer until it is read. When the buffer
is full, the transfer is paused, so that a slow caller slows only its own stream
at the engine. A call can be aborted at any time.
"""

import asyncio
import dataclasses
import re

import orjson
import pycurl
from tornado import curl_httpclient, httpclient, httputil

from brasstrail.transport import statuses

CONNECT_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 1.0
MAX_FETCHED_BYTES = 1024 * 1024
NO_TIMEOUT_S = 0
NO_SIZE_LIMIT = 0
MAX_CLIENTS = 1000
MAX_HELD_BYTES = 65536
STATUS_LINE = re.compile(rf"HTTP/\S+ ({statuses.STATUS_PATTERN})(?: |$)")
UNSENT_ERRNOS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "accept-encoding",
    }
)


def make_client():
    """Return a new HTTP client for calls to the backend server."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CLIENTS
    )


def forwarded_header_lines(headers):
    """Convert pairs of headers to "Name: value" lines, for those to forward."""
    return tuple(
        f"{name}: {value}"
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS
    )


def parse_header_lines(lines):
    """Convert "Name: value" lines to pairs of name and value."""
    pairs = []
    for line in lines:
        name, _, value = line.partition(":")
        pairs.append((name.strip(), value.strip()))
    return pairs


@dataclasses.dataclass(frozen=True)
class Failure:
    """The failure of a call; `sent` is false if no byte reached the server."""

    reason: str
    sent: bool


class Call:
    """One request to the backend server, whose answer is read as a stream.

    The transfer is paused while `MAX_HELD_BYTES` or more are waiting to be read.

    Attributes
    ----------
    status : the status of the answer; 0 before its head has arrived.
    headers : the header lines of the answer that are forwarded.
    lines : the header lines received so far.
    held : the chunks of the body that were not read yet.
    state_changed : an event that is set when data, the head or the end arrives.
    failure : `Failure` once the call has failed, else None.
    """

    def __init__(self, client):
        self.client = client
        self.curl = None
        self.aborted = False
        self.paused = False
        self.ended = False
        self.failure = None
        self.status = 0
        self.head_received = False
        self.lines = []
        self.headers = ()
        self.held = []
        self.held_bytes = 0
        self.state_changed = asyncio.Event()

    async def run(self, url, method, header_lines, body):
        """Send the request and receive the whole answer; set `failure` on error."""
        has_body = bool(body) or method in ("POST", "PUT", "PATCH")
        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=httputil.HTTPHeaders(),
            body=body if has_body else None,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=NO_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            header_callback=self.handle_header_line,
            streaming_callback=ignore_chunk,
            prepare_curl_callback=self.configure_curl,
        )
        for name, value in parse_header_lines(header_lines):
            request.headers.add(name, value)
        try:
            await self.client.fetch(request, raise_error=False)
        except curl_httpclient.CurlError as error:
            sent = error.errno not in UNSENT_ERRNOS
            self.failure = Failure(error.message or f"error {error.errno}", sent)
        except (OSError, httpclient.HTTPError) as error:
            self.failure = Failure(str(error) or type(error).__name__, True)
        finally:
            self.curl = None
            self.check_head()
            self.ended = True
            self.state_changed.set()

    def check_head(self):
        """Set `failure` if the answer has ended before its head did.

        For libcurl a head may end with its connection.
        """
        if not self.head_received and self.failure is None:
            self.failure = Failure("its answer ended within the head", True)

    def configure_curl(self, curl):
        """Set callbacks that can pause or abort the transfer.

        Each call uses a new connection. On a reused connection, libcurl silently
        sends a request again if the server closes the connection without an
        answer, although the server may have run the first one.
        """
        self.curl = curl
        # The client uses its handles again.
        curl.setopt(pycurl.MAXFILESIZE, NO_SIZE_LIMIT)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.WRITEFUNCTION, self.handle_body_chunk)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self.handle_progress)

    def handle_header_line(self, line):
        """Process one line of the answer's head; the empty line ends it.

        The heads of interim answers (1xx) are skipped.
        """
        line = line.strip()
        if line.startswith("HTTP/"):
            status = STATUS_LINE.match(line)
            self.status = int(status[1]) if status else 0
            self.lines = []
        elif line:
            self.lines.append(line)
        elif self.status >= statuses.FIRST_FINAL_STATUS:
            self.headers = forwarded_header_lines(parse_header_lines(self.lines))
            self.head_received = True
            self.state_changed.set()

    def handle_body_chunk(self, chunk):
        """Buffer a chunk of the body, or pause or abort the transfer.

        Returns the number of bytes taken; 0 makes libcurl abort.
        """
        if self.aborted:
            return 0
        if self.held_bytes >= MAX_HELD_BYTES:
            self.paused = True
            return pycurl.WRITEFUNC_PAUSE
        self.held.append(chunk)
        self.held_bytes += len(chunk)
        self.state_changed.set()
        return len(chunk)

    def handle_progress(self, *amounts):
        """Return 1, which makes libcurl end the transfer, if the call was aborted."""
        return 1 if self.aborted else 0

    async def read(self, timeout_s):
        """Return the buffered bytes, or no bytes at the end of the answer.

        Waits for the head and some of the body. Raises `asyncio.TimeoutError` if
        nothing arrives for `timeout_s`.
        """
        while not (self.held and self.head_received) and not self.ended:
            self.state_changed.clear()
            await asyncio.wait_for(self.state_changed.wait(), timeout_s)
        chunk = b"".join(self.held)
        self.held = []
        self.held_bytes = 0
        self.unpause()
        return chunk

    def unpause(self):
        """Continue the transfer if it was paused."""
        if self.paused and self.curl is not None:
            self.paused = False
            self.curl.pause(pycurl.PAUSE_CONT)

    def abort(self):
        """Abort the transfer."""
        self.aborted = True
        self.unpause()


def ignore_chunk(chunk):
    """Do nothing: `Call.handle_body_chunk` receives the body."""


def limit_answer(curl):
    """Let a transfer fail once its answer is longer than `MAX_FETCHED_BYTES`."""
    curl.setopt(pycurl.MAXFILESIZE, MAX_FETCHED_BYTES)


async def fetch_json(client, url, body=None):
    """Return the JSON answer of a short call to the backend server.

    Sends a POST with `body` as JSON, or a GET without it. Returns None if the call
    fails, takes longer than `FETCH_TIMEOUT_S`, or returns no JSON, or more of it than
    `MAX_FETCHED_BYTES`.
    """
    request = httpclient.HTTPRequest(
        url,
        method="GET" if body is None else "POST",
        body=None if body is None else orjson.dumps(body),
        request_timeout=FETCH_TIMEOUT_S,
        prepare_curl_callback=limit_answer,
    )
    try:
        response = await client.fetch(request)
        return orjson.loads(response.body)
    except (OSError, httpclient.HTTPError, orjson.JSONDecodeError):
        return None
