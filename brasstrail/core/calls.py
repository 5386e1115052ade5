"""A caller's request and a backend server's answer, as plain records.

An adapter makes them out of a message's head and back. Fields hold what the
system needs to decide; `headers` are passed on as they came, without those that
concern one connection only or that only the system may set.
"""

import dataclasses

from brasstrail.core import servers


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, shared by all prompts that begin alike up to it."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The size of a generation: tokens in, at most out, and expected out."""

    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request without its body.

    `attempt_id` names this sending of the request; `deadline_ms` is how long the
    caller waits, or None where it does not say; `key` is its API key or None;
    `resume_after` is the last event that the caller has, or an empty word.
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

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The head of a backend server's answer.

    `is_signed` says that the answer carries a server's signature, and
    `is_not_run` that the request did not run there. `attempt_id` identifies the
    attempt that it answers and `identity` the server that answered; both are
    empty where the server does not send them. `is_encoded` says that the body
    has a content encoding, and `closes_connection` that the server closes the
    connection after it. `keep_alive_timeout_s` is how long the server keeps an
    idle connection, or None.
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
