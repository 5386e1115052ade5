"""Converts the heads of HTTP requests and answers between platform and project.

Some of the platform's names are misleading:

- `X-Token-Usage` holds what a request may use, not what it has used: the number of
  prompt tokens and the maximum number of output tokens.
- `X-Prefix-Hash` lists the parts of the prompt with their sizes, as `identity:tokens`.
- `X-Length-Hint` is the expected number of output tokens.
- `X-Server-Load` holds a server's running and waiting requests and its slots. Some
  servers add how long work takes on their host now, in percent of the usual time.
- `Server-Limit` holds the requests a second that a server takes from all gateways.
- `Retry-After` of a server's 503 is about the gateway that it answers: it wants
  nothing from that for so many seconds.
- `X-Tenant-Id` is the name of a workspace.
- `Resumes` is the attempt id of the request that brought a stream's first event.
- `X-Instance-Id` identifies one start of a server; after a restart it differs.
"""

import re

import orjson
from tornado import httputil

from brasstrail.core import bounds, calls, errors, servers

ATTEMPT_ID_HEADER = "X-Attempt-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
EXPECTED_SERVER_HEADER = "X-Expected-Instance"
SERVER_HEADER = "X-Instance-Id"
WORKSPACE_HEADER = "X-Tenant-Id"
SIGNATURE_HEADER = "X-Server-Signature"
NOT_RUN_HEADER = "X-Not-Executed"
LOAD_HEADER = "X-Server-Load"
LIMIT_HEADER = "Server-Limit"
LIMIT_PATTERN = re.compile(r"\d{1,9}(\.\d{0,9})?")
RETRY_HEADER = "Retry-After"
LEAVING_HEADER = "Server-Leaving"
SECONDS_PATTERN = re.compile(r"\d{1,300}(\.\d{0,300})?")
TOKEN_BOUNDS_HEADER = "X-Token-Usage"
PROMPT_PARTS_HEADER = "X-Prefix-Hash"
EXPECTED_OUTPUT_HEADER = "X-Length-Hint"
LAST_EVENT_HEADER = "Last-Event-Id"
RESUMED_ATTEMPT_HEADER = "Resumes"
# The path at which a server reports on itself. Its `born` is when it started.
REPORT_PATH = "/v1/report"
API_KEY_SCHEME = "token "
# The scheme anywhere in a list of credentials, as it may stand beside another one.
API_KEY_PATTERN = re.compile(r"(^|[\s,])token\s", re.IGNORECASE)
# The highest count that a header states: tokens, requests, slots or seconds. Sums of
# those of all requests fit into the messages between gateways.
MAX_COUNT = 10**9
# The host factors that are taken as they are told; others count as the nearer bound.
# Hosts differ by a factor of 3 and are 2.5 times slower at moments: 20 leaves room for
# more, and a higher figure would not change which server is chosen.
MIN_HOST_FACTOR = 0.1
MAX_HOST_FACTOR = 20.0
HOST_PERCENT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
MISDIRECTED_REQUEST_STATUS = 421
UNAVAILABLE_STATUS = 503

# Hop-by-hop headers apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)
# Only the system sets these headers; a caller's values are removed.
RESERVED_HEADERS = frozenset(
    (
        "x-deadline-ms",
        "x-expected-instance",
        "x-expected-version",
        "x-tenant-id",
        "x-kv-reservation",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "wait-ms",
        "last-event-id",
    )
)
# These headers are forwarded even if a caller lists them in `Connection`, which would
# otherwise mark them as hop-by-hop.
END_TO_END_HEADERS = frozenset(
    (
        "host",
        "x-attempt-id",
        "x-model-id",
        "x-token-usage",
        "x-prefix-hash",
        "x-length-hint",
        "content-type",
    )
)


def read_call(start_line, headers):
    """Return the call described by the head of a caller's request.

    Raises `errors.BadRequest` if the deadline is not a number.
    """
    key = parse_api_key(headers.get("Authorization"))
    return calls.Call(
        start_line.method,
        start_line.path,
        parse_host_name(headers.get("Host", "")),
        forwarded_headers(headers, RESERVED_HEADERS),
        headers.get(ATTEMPT_ID_HEADER, ""),
        parse_deadline_ms(headers.get(DEADLINE_HEADER)),
        key,
        parse_prompt(headers),
        headers.get(LAST_EVENT_HEADER, ""),
        headers.get(RESUMED_ATTEMPT_HEADER, ""),
    )


def parse_host_name(value):
    """Return the lower-case host name in a `Host` header, without the port.

    >>> parse_host_name("Some.example:8080")
    'some.example'
    """
    return value.strip().partition(":")[0].lower()


def carries_api_key(name, value):
    """Return whether a header may show an API key to whom it is sent."""
    return is_header(name, "authorization") and bool(API_KEY_PATTERN.search(value))


def is_header(name, wanted):
    """Return whether a header is the wanted one, as some servers read its name.

    Some take an underscore for a hyphen. `wanted` is in lower case.

    >>> is_header("X_Tenant_Id", "x-tenant-id")
    True
    """
    return name.lower().replace("_", "-") == wanted


def parse_api_key(value):
    """Return the API key in an `Authorization` header, or None."""
    if value is None or not value.lower().startswith(API_KEY_SCHEME):
        return None
    return value[len(API_KEY_SCHEME) :].strip()


def forwarded_headers(headers, excluded=frozenset()):
    """Return the headers to forward, as (name, value) pairs.

    Leaves out hop-by-hop headers, those that `Connection` lists, those in `excluded`,
    which holds names in lower case, and API keys.
    """
    connection_options = {
        option.strip().lower()
        for value in headers.get_list("Connection")
        for option in value.split(",")
    }
    connection_options -= END_TO_END_HEADERS
    forwarded = []
    for name, value in headers.get_all():
        lower_name = name.lower()
        if (
            lower_name in HOP_BY_HOP_HEADERS
            or lower_name.replace("_", "-") in excluded
            or lower_name in connection_options
            or carries_api_key(name, value)
        ):
            continue
        forwarded.append((name, value))
    return tuple(forwarded)


def parse_deadline_ms(value):
    """Return the milliseconds in a deadline header, or None if it is missing.

    A negative deadline counts as 0. Raises `errors.BadRequest` if the value is not
    a number.
    """
    if value is None:
        return None
    try:
        deadline_ms = float(value)
    except ValueError as error:
        raise errors.BadRequest(
            f"{DEADLINE_HEADER} is no number.", "Send milliseconds."
        ) from error
    return deadline_ms if deadline_ms >= 0 else 0.0


def parse_prompt(headers):
    """Return the size of a generation, or None if the request does not state it."""
    token_bounds = parse_integer_list(headers.get(TOKEN_BOUNDS_HEADER, ""))
    if len(token_bounds) != 2:
        return None
    input_tokens, max_output_tokens = token_bounds
    hints = parse_integer_list(headers.get(EXPECTED_OUTPUT_HEADER, ""))
    expected_output_tokens = (
        min(max_output_tokens, hints[0]) if hints else max_output_tokens
    )
    return calls.Prompt(
        input_tokens,
        max_output_tokens,
        expected_output_tokens,
        parse_prompt_parts(headers.get(PROMPT_PARTS_HEADER, "")),
    )


def parse_integer_list(value):
    """Return the integers in a comma-separated list, or [] if any item is invalid.

    >>> parse_integer_list("1460, 80"), parse_integer_list("1460,²")
    ([1460, 80], [])
    """
    numbers = [bounds.parse_count(item.strip(), MAX_COUNT) for item in value.split(",")]
    return [] if None in numbers else numbers


def parse_prompt_parts(value):
    """Return the parts of a prompt, up to the first one that is malformed."""
    parts = []
    for item in value.split(","):
        identity, _, digits = item.strip().partition(":")
        tokens = bounds.parse_count(digits, MAX_COUNT)
        if not identity or tokens is None:
            break
        parts.append(calls.PromptPart(identity, tokens))
    return tuple(parts)


def server_headers(call, identity, workspace, remaining_ms, resume_after):
    """Return the request headers to send to a backend server.

    `identity` is the only server that may process the request. `workspace` is the
    caller's workspace, or None; if it is set, no `Authorization` header of the caller
    is sent. `remaining_ms` is how long the caller still waits. `resume_after`
    is the id of the last event that the caller received, or an empty string.
    """
    headers = httputil.HTTPHeaders()
    for name, value in call.headers:
        if is_header(name, "authorization") and workspace is not None:
            continue
        headers.add(name, value)
    headers[EXPECTED_SERVER_HEADER] = identity
    headers[DEADLINE_HEADER] = str(max(1, int(remaining_ms)))
    if workspace is not None:
        headers[WORKSPACE_HEADER] = workspace
    if resume_after:
        headers[LAST_EVENT_HEADER] = resume_after
    return headers


def start_request(address):
    """Return the target and the headers of the question when a server started."""
    return REPORT_PATH, httputil.HTTPHeaders({"Host": address})


def read_start(status, body):
    """Return when a server started, in Unix milliseconds, or None if it is not stated.

    `status` and `body` are those of its answer to `start_request`.
    """
    try:
        report = orjson.loads(body) if status == 200 else None
    except orjson.JSONDecodeError:
        return None
    born_ms = report.get("born") if isinstance(report, dict) else None
    return born_ms if type(born_ms) is int else None


def read_answer(start_line, headers):
    """Return the decoded head of a backend server's answer.

    The request did not run if the server says so, or if the status is 421.
    """
    connection = headers.get("Connection", "").lower()
    not_run = NOT_RUN_HEADER in headers or start_line.code == MISDIRECTED_REQUEST_STATUS
    return calls.AnswerHead(
        start_line.code,
        start_line.reason,
        forwarded_headers(headers),
        headers.get(ATTEMPT_ID_HEADER, ""),
        headers.get(SERVER_HEADER, ""),
        SIGNATURE_HEADER in headers,
        not_run,
        "Content-Encoding" in headers,
        "close" in connection,
        parse_keep_alive_timeout_s(headers.get("Keep-Alive")),
        parse_load_report(headers.get(LOAD_HEADER)),
        headers.get("Content-Type", ""),
        *parse_limit(headers.get_list(LIMIT_HEADER)),
        parse_rest_s(start_line.code, headers.get_list(RETRY_HEADER)),
        says_leaving(headers),
    )


def parse_limit(values):
    """Return the limit in an answer's headers, and whether it can be read.

    The lowest of several limits holds. The limit is None if there is none.

    >>> parse_limit(["2.5"]), parse_limit([]), parse_limit(["-1"])
    ((2.5, True), (None, True), (None, False))
    """
    items = [item.strip() for value in values for item in value.split(",")]
    numbers = [float(item) for item in items if LIMIT_PATTERN.fullmatch(item)]
    return min(numbers, default=None), len(numbers) > 0 or not values


def says_leaving(headers):
    """Return whether a server says in the head of an answer that it leaves."""
    return any(
        item.strip() == "1"
        for value in headers.get_list(LEAVING_HEADER)
        for item in value.split(",")
    )


def parse_rest_s(status, values):
    """Return the rest that an answer asks for in seconds, or None.

    Only a 503 asks for rest. The longest of several times holds; a time of 0, one below
    0, a date and what is no number ask for none.

    >>> parse_rest_s(503, ["2", "0.5"]), parse_rest_s(503, ["-1"])
    (2.0, None)
    """
    if status != UNAVAILABLE_STATUS:
        return None
    items = [item.strip() for value in values for item in value.split(",")]
    numbers = [float(item) for item in items if SECONDS_PATTERN.fullmatch(item)]
    return max(numbers, default=0.0) or None


def parse_keep_alive_timeout_s(value):
    """Return the time-out in seconds in a `Keep-Alive` header, or None."""
    for item in (value or "").split(","):
        name, _, digits = item.strip().partition("=")
        seconds = bounds.parse_count(digits, MAX_COUNT)
        if name.lower() == "timeout" and seconds is not None:
            return float(seconds)
    return None


def parse_load_report(value):
    """Return the server load in an answer's header, or None if it is not reported."""
    items = (value or "").split(",")
    numbers = parse_integer_list(",".join(items[:3]))
    if len(numbers) != 3 or len(items) > 4:
        return None
    if len(items) == 3:
        return servers.LoadReport(*numbers)
    host_factor = parse_host_factor(items[3].strip())
    return servers.LoadReport(*numbers, host_factor) if host_factor else None


def parse_host_factor(value):
    """Return the host factor that a percentage states, or None if it is malformed.

    >>> parse_host_factor("170"), parse_host_factor("0"), parse_host_factor("-5")
    (1.7, None, None)
    """
    if not HOST_PERCENT_PATTERN.fullmatch(value) or float(value) == 0:
        return None
    return min(MAX_HOST_FACTOR, max(MIN_HOST_FACTOR, float(value) / 100))


def refusal_headers(call, retry_after_s):
    """Return the headers of an error response that the system itself sends.

    `call` is None if the request could not be decoded. `retry_after_s` is None if
    the response does not state when to retry.
    """
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    if call is not None and call.attempt_id:
        headers[ATTEMPT_ID_HEADER] = call.attempt_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers
