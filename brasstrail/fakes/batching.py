"""The timing model of the fake engine: continuous batching over a prefix cache.

The model is a state machine in virtual time. `step` does one round: a piece of
prefill for the oldest request that needs it, and one token for each request
that decodes. The caller waits for the time that the round took. Requests are
admitted in the order of their arrival, as far as the memory for caches goes.
"""

import collections
import dataclasses
import hashlib

PREFILL_CHUNK_TOKENS = 512
BLOCK_TOKENS = 256
VOCABULARY = ("tax", "plastic", "label", "door", "parcel", "net", "return", "weight")


@dataclasses.dataclass(frozen=True)
class Speed:
    """How fast an engine is, and how much it holds.

    `prefill_rate` is tokens a second. A round takes `round_ms` and
    `round_ms_per_request` for each request that decodes in it.
    """

    prefill_rate: float = 20_000.0
    step_ms: float = 8.0
    step_ms_per_request: float = 0.5
    kv_cache_tokens: int = 200_000
    prefix_cache_blocks: int = 400


@dataclasses.dataclass
class Job:
    """A request inside the engine."""

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
    """Return the text of a prompt's token, the same on every engine."""
    hash_bytes = hashlib.blake2b(
        digest + number.to_bytes(4, "big"), digest_size=2
    ).digest()
    return f"{VOCABULARY[hash_bytes[0] % len(VOCABULARY)]}{hash_bytes[1]} "


def draw_output_length(digest, bound):
    """Return the length of the answer to a prompt, from a fifth of the bound up."""
    share = int.from_bytes(digest[:4], "big") / 2**32
    return max(1, round(bound * (0.2 + 0.8 * share)))


class Batch:
    """The requests inside an engine and its prefix cache.

    Attributes
    ----------
    events : pairs of ("stored" or "evicted", block hash), oldest first.
    prefilled_tokens : all prompt tokens that were prefilled.
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
        """Admit a request, behind those that came before."""
        self.waiting.append(job)
        self.admit()

    def admit(self):
        """Move requests from the queue into the batch while memory lasts."""
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
        """Return the tokens that the running requests hold."""
        return sum(job.prompt_tokens + job.to_generate for job in self.running)

    def start_prefill(self, job):
        """Look up the cache and queue the rest for prefill."""
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
        """Take a request out; return whether it was there."""
        for job in [*self.running, *self.waiting]:
            if job.request_id == request_id:
                job.cancelled = True
                return True
        return False

    def step(self):
        """Do one round and return its time in seconds and the jobs with a token."""
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
        """Prefill pieces of the oldest prompts and return the tokens done."""
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
        """Forget the requests that were cancelled."""
        self.running = [job for job in self.running if not job.cancelled]
        kept = [job for job in self.waiting if not job.cancelled]
        self.waiting = collections.deque(kept)

    def store_blocks(self, prefix):
        """Keep the blocks of a prompt, dropping the least recently used."""
        for block in prefix:
            if block not in self.prefix_cache:
                self.events.append(("stored", block))
            self.prefix_cache[block] = True
            self.prefix_cache.move_to_end(block)
        while len(self.prefix_cache) > self.speed.prefix_cache_blocks:
            block, _ = self.prefix_cache.popitem(last=False)
            self.events.append(("evicted", block))

    def load(self):
        """Return the load as an engine reports it."""
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "prefill_backlog": sum(
                job.remaining_prefill_tokens for job in self.running
            ),
        }
