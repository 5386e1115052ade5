"""The timing of one engine: continuous batching with prompts read in chunks.

`Engine` is a state machine. In each round every running request whose prompt is
read makes a token, and one chunk of prompts is read, first come first served. The
longer the chunk and the batch, the longer the round. What does not fit into the
batch waits in order of arrival.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """How fast an engine is; times are milliseconds.

    `factor` makes everything that many times slower.
    """

    slots: int = 5
    step_ms: float = 4.3
    step_ms_per_request: float = 0.15
    prefill_tokens_per_ms: float = 36.0
    prefill_chunk_tokens: int = 2048
    request_overhead_ms: float = 20.0
    slowdown: float = 1.0


@dataclasses.dataclass
class Request:
    """A request within an engine."""

    identity: str
    remaining_prefill_tokens: int
    output_tokens: int
    generated_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class GeneratedToken:
    """A token that a request has made; `is_last` ends it."""

    identity: str
    number: int
    is_last: bool


class Engine:
    """One engine.

    Parameters
    ----------
    speed : `EngineSpeed`.
    """

    def __init__(self, speed):
        self.speed = speed
        self.running = []
        self.waiting = collections.deque()

    @property
    def is_idle(self):
        """Whether there is nothing to do."""
        return not self.running and not self.waiting

    def add_request(self, identity, prompt_tokens, output_tokens):
        """Take a request."""
        overhead_tokens = (
            self.speed.request_overhead_ms * self.speed.prefill_tokens_per_ms
        )
        remaining_prefill_tokens = int(prompt_tokens + overhead_tokens)
        self.waiting.append(Request(identity, remaining_prefill_tokens, output_tokens))

    def cancel(self, identity):
        """Drop a request."""
        self.running = [
            request for request in self.running if request.identity != identity
        ]
        self.waiting = collections.deque(
            request for request in self.waiting if request.identity != identity
        )

    def step(self):
        """Do one round; return its length and the tokens made at its end."""
        while self.waiting and len(self.running) < self.speed.slots:
            self.running.append(self.waiting.popleft())
        prefilled_tokens = self.prefill_chunk()
        generated = []
        for request in list(self.running):
            if request.remaining_prefill_tokens:
                continue
            request.generated_tokens += 1
            is_last = request.generated_tokens >= request.output_tokens
            generated.append(
                GeneratedToken(request.identity, request.generated_tokens, is_last)
            )
            if is_last:
                self.running.remove(request)
        speed = self.speed
        step_ms = speed.step_ms + speed.step_ms_per_request * len(generated)
        step_ms += prefilled_tokens / speed.prefill_tokens_per_ms
        return step_ms * speed.slowdown, generated

    def prefill_chunk(self):
        """Read one chunk of the prompts, the oldest first; return its tokens."""
        remaining_budget = self.speed.prefill_chunk_tokens
        for request in self.running:
            processed_tokens = min(remaining_budget, request.remaining_prefill_tokens)
            request.remaining_prefill_tokens -= processed_tokens
            remaining_budget -= processed_tokens
        return self.speed.prefill_chunk_tokens - remaining_budget
