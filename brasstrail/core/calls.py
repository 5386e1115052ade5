"""A caller's request and a backend server's answer, as plain records.

A gateway uses them; an entry uses `data.Work`. A dialect (see `protocol.dialects`)
converts HTTP message heads to and from these records. The fields hold what routing
and scheduling decisions need. `headers` are forwarded unchanged, except hop-by-hop
headers and headers that only the system may set, which are left out.
"""

import dataclasses
import hashlib

from brasstrail.core import servers

# Length of a content digest in bytes: two of a million different contents are equal
# with a probability of about 1 in 10 million.
DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt.

    Prompts whose beginnings are equal up to the end of a part share that part.
    """

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The size of a generation: input, maximum output and expected output tokens."""

    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request without its body.

    `attempt_id` identifies this attempt of the request. `deadline_ms` is how long
    the caller waits, or None if the request does not state it. `key` is the API
    key, or None. `resume_after` is the id of the last event that the caller
    received, or an empty string. `resumes` is the attempt id of the request that
    brought the first event of the stream that this one takes up, or an empty string.
    """

    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    attempt_id: str = ""
    deadline_ms: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    resume_after: str = ""
    resumes: str = ""

    @property
    def path(self):
        """The request target without its query string."""
        return self.target.partition("?")[0]


def digest_content(call, body):
    """Return a digest that is equal for all attempts of one request, as hex text.

    It covers the method, the host, the target and the body, which a caller repeats
    when it sends a request again. Headers are not covered: the attempt id, the deadline
    and the last event of a stream differ between attempts.
    """
    head = f"{call.method} {call.host} {call.target}\n".encode()
    return hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).hexdigest()


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The head of a backend server's answer.

    `is_signed` says that the answer carries a server's signature, and
    `is_not_run` that the request did not run there. `attempt_id` identifies the
    attempt that it answers and `identity` the server that answered; both are
    empty where the server does not send them. `is_encoded` says that the body
    has a content encoding, and `closes_connection` that the server closes the
    connection after it. `keep_alive_timeout_s` is how long the server keeps an
    idle connection, or None. `load` is the load report in the answer, or None.
    `content_type` is empty if it is not stated. `limit_per_s` is how many requests a
    second the server takes from all gateways, or None if it does not say so; it means
    nothing unless `is_limit_readable`. `rest_s` is for how many seconds the server
    wants no more requests from this gateway, or None if it does not say so.
    `is_leaving` says that the server serves for a short time only.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    attempt_id: str = ""
    identity: str = ""
    is_signed: bool = False
    is_not_run: bool = False
    is_encoded: bool = False
    closes_connection: bool = False
    keep_alive_timeout_s: float | None = None
    load: servers.LoadReport | None = None
    content_type: str = ""
    limit_per_s: float | None = None
    is_limit_readable: bool = True
    rest_s: float | None = None
    is_leaving: bool = False
