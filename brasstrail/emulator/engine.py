"""Timing model of one inference engine: continuous batching with chunked prefill.

`Engine` is a state machine in virtual time. Each step prefills one chunk of prompt
tokens, first come first served; then every running request whose prefill is complete
generates one token. The time of a step grows with the chunk and with the number of
tokens generated. Requests that do not fit into the batch wait in order of arrival.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Batch size and speed of an engine; times are in milliseconds.

    Attributes
    ----------
    slots : the largest number of requests in the batch.
    step_ms, step_ms_per_request : time of a step without prefill, and the time added
        for each request that decodes in it.
    prefill_tokens_per_ms : prefill speed.
    prefill_chunk_tokens : the largest number of prompt tokens prefilled in a step.
    request_overhead_ms : fixed time added to the prefill of each request.
    slowdown : factor that multiplies the time of each step, permanently.
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
    """A request that waits or runs in an engine."""

    identity: str
    remaining_prefill_tokens: int
    output_tokens: int
    generated_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class GeneratedToken:
    """A generated token; `number` counts from 1, `is_last` ends the answer."""

    identity: str
    number: int
    is_last: bool


class Engine:
    """The waiting queue and the running batch of one engine.

    Parameters
    ----------
    speed : `EngineSpeed`.

    Attributes
    ----------
    momentary_slowdown : a further factor, which is 1 except in slow moments.
    """

    def __init__(self, speed):
        self.speed = speed
        self.momentary_slowdown = 1.0
        self.running = []
        self.waiting = collections.deque()

    @property
    def host_factor(self):
        """The factor that multiplies the time of a step now."""
        return self.speed.slowdown * self.momentary_slowdown

    @property
    def is_idle(self):
        """Whether no request waits or runs."""
        return not self.running and not self.waiting

    def add_request(self, identity, prompt_tokens, output_tokens):
        """Append a request to the waiting queue."""
        overhead_tokens = (
            self.speed.request_overhead_ms * self.speed.prefill_tokens_per_ms
        )
        remaining_prefill_tokens = int(prompt_tokens + overhead_tokens)
        self.waiting.append(Request(identity, remaining_prefill_tokens, output_tokens))

    def cancel(self, identity):
        """Remove a request from the batch and the queue."""
        self.running = [
            request for request in self.running if request.identity != identity
        ]
        self.waiting = collections.deque(
            request for request in self.waiting if request.identity != identity
        )

    def step(self):
        """Run one step; return its time in ms and the tokens generated in it."""
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
        return step_ms * self.host_factor, generated

    def prefill_chunk(self):
        """Prefill one chunk, oldest request first; return its number of tokens."""
        remaining_budget = self.speed.prefill_chunk_tokens
        for request in self.running:
            processed_tokens = min(remaining_budget, request.remaining_prefill_tokens)
            request.remaining_prefill_tokens -= processed_tokens
            remaining_budget -= processed_tokens
        return self.speed.prefill_chunk_tokens - remaining_budget
