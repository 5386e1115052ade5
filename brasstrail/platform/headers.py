"""Translates heads of requests and answers between the platform and the project.

Names that mislead: `X-Token-Usage` holds what a request may use, not what it has
used: prompt tokens and the bound on output tokens. `X-Prefix-Hash` holds the parts
of the prompt with their sizes. `X-Tenant-Id` is a workspace's name. `X-Instance-Id`
is one start of a server.
"""

from tornado import httputil

from brasstrail.core import calls, errors, servers

ATTEMPT_ID_HEADER = "X-Attempt-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
EXPECTED_SERVER_HEADER = "X-Expected-Instance"
SERVER_HEADER = "X-Instance-Id"
WORKSPACE_HEADER = "X-Tenant-Id"
SIGNATURE_HEADER = "X-Server-Signature"
NOT_RUN_HEADER = "X-Not-Executed"
LOAD_HEADER = "X-Server-Load"
TOKEN_BOUNDS_HEADER = "X-Token-Usage"
PROMPT_PARTS_HEADER = "X-Prefix-Hash"
EXPECTED_OUTPUT_HEADER = "X-Length-Hint"
LAST_EVENT_HEADER = "Last-Event-Id"
API_KEY_SCHEME = "token "
MISDIRECTED_REQUEST_STATUS = 421

# Headers that concern one connection only.
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
# Headers that the system sets itself, whatever a caller sends.
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
# Headers that a caller cannot declare as concerning its connection only.
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
    """Return the call in a caller's head; raise `errors.BadRequest`."""
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
    )


def parse_host_name(value):
    """Return the name in a `Host` header, without its port.

    >>> host_name("Some.example:8080")
    'some.example'
    """
    return value.strip().partition(":")[0].lower()


def parse_api_key(value):
    """Return the API key in an `Authorization` header, or None."""
    if value is None or not value.lower().startswith(API_KEY_SCHEME):
        return None
    return value[len(API_KEY_SCHEME) :].strip()


def forwarded_headers(headers, excluded=frozenset()):
    """Return the headers that go on, apart from those of the connection."""
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
            or lower_name in excluded
            or lower_name in connection_options
        ):
            continue
        forwarded.append((name, value))
    return tuple(forwarded)


def parse_deadline_ms(value):
    """Return the number in a header, or None where there is none.

    Raises `errors.BadRequest` where it is no number.
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
    """Return the size of a generation, or None where it is not told."""
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
    """Return the whole numbers in a list with commas; none where one is not."""
    items = [item.strip() for item in value.split(",")]
    if not all(item.isdigit() for item in items):
        return []
    return [int(item) for item in items]


def parse_prompt_parts(value):
    """Return the parts of a prompt; those that cannot be read end the list."""
    parts = []
    for item in value.split(","):
        identity, _, tokens = item.strip().partition(":")
        if not identity or not tokens.isdigit():
            break
        parts.append(calls.PromptPart(identity, int(tokens)))
    return tuple(parts)


def server_headers(call, identity, workspace, remaining_ms, resume_after):
    """Return the headers with which a call goes to a server."""
    headers = httputil.HTTPHeaders()
    for name, value in call.headers:
        if name.lower() == "authorization" and workspace is not None:
            continue
        headers.add(name, value)
    headers[EXPECTED_SERVER_HEADER] = identity
    headers[DEADLINE_HEADER] = str(max(1, int(remaining_ms)))
    if workspace is not None:
        headers[WORKSPACE_HEADER] = workspace
    if resume_after:
        headers[LAST_EVENT_HEADER] = resume_after
    return headers


def read_answer(start_line, headers):
    """Return the head of a server's answer."""
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
    )


def parse_keep_alive_timeout_s(value):
    """Return the seconds in a `Keep-Alive` header, or None."""
    for item in (value or "").split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return float(seconds)
    return None


def parse_load_report(value):
    """Return the load that an answer tells, or None."""
    numbers = parse_integer_list(value or "")
    if len(numbers) != 3:
        return None
    return servers.LoadReport(*numbers)


def refusal_headers(call, retry_after_s):
    """Return the headers of an answer of the system's own."""
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    if call is not None and call.attempt_id:
        headers[ATTEMPT_ID_HEADER] = call.attempt_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers
