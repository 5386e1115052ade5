"""Translates heads of requests and answers between the platform and the project.

Names that mislead: `X-Token-Usage` holds what a request may use, not what it has
used: prompt tokens and the bound on output tokens. `X-Prefix-Hash` holds the parts
of the prompt with their sizes. `X-Tenant-Id` is a workspace's name. `X-Instance-Id`
is one start of a server.
"""

from tornado import httputil

from brasstrail.core import calls, errors, servers

ATTEMPT = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
EXPECTED_SERVER = "X-Expected-Instance"
SERVER = "X-Instance-Id"
WORKSPACE = "X-Tenant-Id"
SIGNATURE = "X-Server-Signature"
NOT_RUN = "X-Not-Executed"
LOAD = "X-Server-Load"
TOKENS = "X-Token-Usage"
PARTS = "X-Prefix-Hash"
EXPECTED_OUTPUT = "X-Length-Hint"
LAST_EVENT = "Last-Event-Id"
KEY_SCHEME = "token "
MISDIRECTED = 421

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
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
OWN_HEADERS = frozenset(
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
KEPT_HEADERS = frozenset(
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
    key = read_key(headers.get("Authorization"))
    return calls.Call(
        start_line.method,
        start_line.path,
        host_name(headers.get("Host", "")),
        passed_headers(headers, OWN_HEADERS),
        headers.get(ATTEMPT, ""),
        read_number(headers.get(DEADLINE)),
        key,
        read_prompt(headers),
        headers.get(LAST_EVENT, ""),
    )


def host_name(value):
    """Return the name in a `Host` header, without its port.

    >>> host_name("Some.example:8080")
    'some.example'
    """
    return value.strip().partition(":")[0].lower()


def read_key(value):
    """Return the API key in an `Authorization` header, or None."""
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip()


def passed_headers(headers, dropped=frozenset()):
    """Return the headers that go on, apart from those of the connection."""
    named = {
        word.strip().lower()
        for value in headers.get_list("Connection")
        for word in value.split(",")
    }
    named -= KEPT_HEADERS
    passed = []
    for name, value in headers.get_all():
        low = name.lower()
        if low in CONNECTION_HEADERS or low in dropped or low in named:
            continue
        passed.append((name, value))
    return tuple(passed)


def read_number(value):
    """Return the number in a header, or None where there is none.

    Raises `errors.BadRequest` where it is no number.
    """
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError as error:
        raise errors.BadRequest(
            f"{DEADLINE} is no number.", "Send milliseconds."
        ) from error
    return number if number >= 0 else 0.0


def read_prompt(headers):
    """Return the size of a generation, or None where it is not told."""
    sizes = whole_numbers(headers.get(TOKENS, ""))
    if len(sizes) != 2:
        return None
    read, most = sizes
    hints = whole_numbers(headers.get(EXPECTED_OUTPUT, ""))
    expected = min(most, hints[0]) if hints else most
    return calls.Prompt(read, most, expected, read_parts(headers.get(PARTS, "")))


def whole_numbers(value):
    """Return the whole numbers in a list with commas; none where one is not."""
    words = [word.strip() for word in value.split(",")]
    if not all(word.isdigit() for word in words):
        return []
    return [int(word) for word in words]


def read_parts(value):
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
    headers[EXPECTED_SERVER] = identity
    headers[DEADLINE] = str(max(1, int(remaining_ms)))
    if workspace is not None:
        headers[WORKSPACE] = workspace
    if resume_after:
        headers[LAST_EVENT] = resume_after
    return headers


def read_answer(start_line, headers):
    """Return the head of a server's answer."""
    connection = headers.get("Connection", "").lower()
    not_run = NOT_RUN in headers or start_line.code == MISDIRECTED
    return calls.AnswerHead(
        start_line.code,
        start_line.reason,
        passed_headers(headers),
        headers.get(ATTEMPT, ""),
        headers.get(SERVER, ""),
        SIGNATURE in headers,
        not_run,
        "Content-Encoding" in headers,
        "close" in connection,
        read_idle(headers.get("Keep-Alive")),
        read_load(headers.get(LOAD)),
    )


def read_idle(value):
    """Return the seconds in a `Keep-Alive` header, or None."""
    for item in (value or "").split(","):
        name, _, seconds = item.strip().partition("=")
        if name.lower() == "timeout" and seconds.isdigit():
            return float(seconds)
    return None


def read_load(value):
    """Return the load that an answer tells, or None."""
    numbers = whole_numbers(value or "")
    if len(numbers) != 3:
        return None
    return servers.LoadReport(*numbers)


def refusal_headers(call, retry_after_s):
    """Return the headers of an answer of the system's own."""
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    if call is not None and call.attempt_id:
        headers[ATTEMPT] = call.attempt_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers
