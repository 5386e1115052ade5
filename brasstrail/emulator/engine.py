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
    round_ms: float = 4.3
    round_ms_a_request: float = 0.15
    tokens_a_ms: float = 36.0
    chunk_tokens: int = 2048
    first_ms: float = 20.0
    factor: float = 1.0


@dataclasses.dataclass
class Run:
    """A request within an engine."""

    identity: str
    unread: int
    tokens: int
    made: int = 0


@dataclasses.dataclass(frozen=True)
class Made:
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
        self.queue = collections.deque()

    @property
    def is_idle(self):
        """Whether there is nothing to do."""
        return not self.running and not self.queue

    def admit(self, identity, prompt_tokens, output_tokens):
        """Take a request."""
        overhead = self.speed.first_ms * self.speed.tokens_a_ms
        unread = int(prompt_tokens + overhead)
        self.queue.append(Run(identity, unread, output_tokens))

    def cancel(self, identity):
        """Drop a request."""
        self.running = [run for run in self.running if run.identity != identity]
        self.queue = collections.deque(
            run for run in self.queue if run.identity != identity
        )

    def step(self):
        """Do one round; return its length and the tokens made at its end."""
        while self.queue and len(self.running) < self.speed.slots:
            self.running.append(self.queue.popleft())
        read = self.read_chunk()
        made = []
        for run in list(self.running):
            if run.unread:
                continue
            run.made += 1
            is_last = run.made >= run.tokens
            made.append(Made(run.identity, run.made, is_last))
            if is_last:
                self.running.remove(run)
        speed = self.speed
        round_ms = speed.round_ms + speed.round_ms_a_request * len(made)
        round_ms += read / speed.tokens_a_ms
        return round_ms * speed.factor, made

    def read_chunk(self):
        """Read one chunk of the prompts, the oldest first; return its tokens."""
        room = self.speed.chunk_tokens
        for run in self.running:
            taken = min(room, run.unread)
            run.unread -= taken
            room -= taken
        return self.speed.chunk_tokens - room
