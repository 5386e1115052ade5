"""Timing model of the fake engine: continuous batching with a prefix cache.

The model is a state machine in virtual time. `Batch.step` runs one step: one chunk of
prefill, taken from the oldest requests that need it, and one token for each request
that decodes. `fakes.engine.Engine.run` then waits for the time that the step takes.
Requests are admitted in order of arrival as far as the KV cache has room.
"""

import collections
import dataclasses
import hashlib

PREFILL_CHUNK_TOKENS = 512
BLOCK_TOKENS = 256
VOCABULARY = ("tax", "plastic", "label", "door", "parcel", "net", "return", "weight")


@dataclasses.dataclass(frozen=True)
class Speed:
    """Speed and cache sizes of an engine.

    `prefill_rate` is in tokens per second. A step in which requests decode takes
    `step_ms`, and `step_ms_per_request` for each of them, in addition to its prefill.
    `kv_cache_tokens` bounds the tokens of running requests, `prefix_cache_blocks` the
    blocks in the prefix cache.
    """

    prefill_rate: float = 20_000.0
    step_ms: float = 8.0
    step_ms_per_request: float = 0.5
    kv_cache_tokens: int = 200_000
    prefix_cache_blocks: int = 400


@dataclasses.dataclass
class Job:
    """A request in the engine.

    `prefix` holds the hashes of the prompt's cache blocks, `to_generate` the length of
    the answer in tokens. `resumed_from` is the number of tokens that the caller already
    has; `generated` includes them. `prefilled` is the number of tokens prefilled so
    far, `cached_tokens` the number found in the prefix cache instead. `at` is the Unix
    time of submission in seconds.
    """

    request_id: str
    digest: bytes
    prompt_tokens: int
    prefix: tuple
    to_generate: int
    generated: int = 0
    resumed_from: int = 0
    cached_tokens: int = 0
    remaining_prefill_tokens: int = 0
    prefilled: int = 0
    cancelled: bool = False
    at: float = 0.0


def token_text(digest, number):
    """Return the text of token `number` of an answer, the same on every engine."""
    hash_bytes = hashlib.blake2b(
        digest + number.to_bytes(4, "big"), digest_size=2
    ).digest()
    return f"{VOCABULARY[hash_bytes[0] % len(VOCABULARY)]}{hash_bytes[1]} "


def draw_output_length(digest, bound):
    """Return the answer's length in tokens, derived from the prompt's digest.

    The length lies between a fifth of the bound and the bound.
    """
    share = int.from_bytes(digest[:4], "big") / 2**32
    return max(1, round(bound * (0.2 + 0.8 * share)))


class Batch:
    """The waiting and running requests of an engine, and its prefix cache.

    Attributes
    ----------
    prefix_cache : cached blocks as keys, least recently used first.
    events : pairs of ("stored" or "evicted", block hash), oldest first.
    prefilled_tokens : total number of tokens prefilled so far.
    slowdown : factor that multiplies the time of each step.
    """

    def __init__(self, speed):
        self.speed = speed
        self.waiting = collections.deque()
        self.running = []
        self.prefix_cache = collections.OrderedDict()
        self.events = []
        self.prefilled_tokens = 0
        self.slowdown = 1.0

    def add(self, job):
        """Append a request to the queue and admit what fits."""
        self.waiting.append(job)
        self.admit()

    def admit(self):
        """Move requests from the queue into the batch while the KV cache has room.

        An empty batch admits a request of any size.
        """
        while self.waiting:
            job = self.waiting[0]
            needed_tokens = job.prompt_tokens + job.to_generate
            if (
                self.running
                and self.used_kv_cache_tokens() + needed_tokens
                > self.speed.kv_cache_tokens
            ):
                return
            self.waiting.popleft()
            self.start_prefill(job)

    def used_kv_cache_tokens(self):
        """Return the KV cache tokens reserved by the running requests."""
        return sum(job.prompt_tokens + job.to_generate for job in self.running)

    def start_prefill(self, job):
        """Look up the prompt in the prefix cache and add the request to the batch."""
        cached_blocks = 0
        for block in job.prefix:
            if block not in self.prefix_cache:
                break
            self.prefix_cache.move_to_end(block)
            cached_blocks += 1
        job.cached_tokens = min(cached_blocks * BLOCK_TOKENS, job.prompt_tokens - 1)
        job.remaining_prefill_tokens = (
            job.prompt_tokens + job.resumed_from - job.cached_tokens
        )
        self.running.append(job)

    def cancel(self, request_id):
        """Mark a request as cancelled; return whether it was found."""
        for job in [*self.running, *self.waiting]:
            if job.request_id == request_id:
                job.cancelled = True
                return True
        return False

    def step(self):
        """Run one step; return its time in seconds and the jobs that got a token."""
        self.remove_cancelled()
        self.admit()
        decoding = [job for job in self.running if job.remaining_prefill_tokens == 0]
        prefilled = self.prefill()
        step_s = prefilled / self.speed.prefill_rate
        if decoding:
            per_request_ms = self.speed.step_ms_per_request * len(decoding)
            step_s += (self.speed.step_ms + per_request_ms) / 1000
        for job in decoding:
            job.generated += 1
        self.running = [job for job in self.running if job.generated < job.to_generate]
        return step_s * self.slowdown, decoding

    def prefill(self):
        """Prefill one chunk, oldest requests first; return its number of tokens."""
        remaining_budget = PREFILL_CHUNK_TOKENS
        for job in self.running:
            chunk_tokens = min(job.remaining_prefill_tokens, remaining_budget)
            if chunk_tokens == 0:
                continue
            job.remaining_prefill_tokens -= chunk_tokens
            job.prefilled += chunk_tokens
            remaining_budget -= chunk_tokens
            if job.remaining_prefill_tokens == 0:
                self.store_blocks(job.prefix)
        chunk_total_tokens = PREFILL_CHUNK_TOKENS - remaining_budget
        self.prefilled_tokens += chunk_total_tokens
        return chunk_total_tokens

    def remove_cancelled(self):
        """Remove cancelled requests from the batch and the queue."""
        self.running = [job for job in self.running if not job.cancelled]
        kept = [job for job in self.waiting if not job.cancelled]
        self.waiting = collections.deque(kept)

    def store_blocks(self, prefix):
        """Store the blocks of a prompt and evict the least recently used ones."""
        for block in prefix:
            if block not in self.prefix_cache:
                self.events.append(("stored", block))
            self.prefix_cache[block] = True
            self.prefix_cache.move_to_end(block)
        while len(self.prefix_cache) > self.speed.prefix_cache_blocks:
            block, _ = self.prefix_cache.popitem(last=False)
            self.events.append(("evicted", block))

    def load(self):
        """Return the load report of the engine at this moment."""
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "prefill_backlog": sum(
                job.remaining_prefill_tokens for job in self.running
            ),
        }
