"""Generates reproducible loads: requests with arrival time, workspace and length."""

import base64
import dataclasses
import random

VOCABULARY = (
    "packaging declaration polymer bottle importer weight exempt recycled return "
    "quarter invoice label threshold film tray courier parcel door address claim"
).split()
PHOTO_SIZE_RANGE_BYTES = (120_000, 400_000)
PHOTO_PROBABILITY = 0.5


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request: its class of work, its lengths and its share of the load.

    `prompt_words` and `max_tokens` are the inclusive bounds of a uniform
    distribution. `share` is the fraction of all requests. `within_ms` is the target
    time of an answer in milliseconds. The prompt begins with `shared_prefix_words`
    words that are the same in the whole workspace. `photo` states whether requests
    can carry a photo; `PHOTO_PROBABILITY` of them do.
    """

    work_class: str
    tier: int
    share: float
    prompt_words: tuple[int, int]
    max_tokens: tuple[int, int]
    within_ms: int
    shared_prefix_words: int = 0
    photo: bool = False


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a load.

    `at` is seconds from the start of the load, `entry` the index of the entry that
    it is sent to, and `photo` base64 text, empty if it carries no photo.
    """

    number: int
    at: float
    entry: int
    kind: RequestKind
    workspace: str
    prompt: str
    photo: str
    max_tokens: int


@dataclasses.dataclass(frozen=True)
class LoadProfile:
    """The parameters of a load.

    Arrivals are a Poisson process. Its rate is `requests_per_s`, multiplied by
    `burst` during the middle third of `duration_s`. `workspaces` holds pairs of name
    and weight.
    """

    kinds: tuple[RequestKind, ...]
    requests_per_s: float
    burst: float
    duration_s: float
    workspaces: tuple[tuple[str, float], ...]


KHANGAI_KINDS = (
    RequestKind("deadline-review", 1, 0.3, (200, 1500), (20, 120), 6000, 800),
    RequestKind("question", 2, 0.4, (15, 120), (10, 60), 4000, 100),
    RequestKind("draft", 3, 0.3, (300, 1500), (60, 240), 12000, 400),
)
ASSOCIATION_KINDS = (
    RequestKind("dispute", 1, 0.25, (100, 400), (20, 80), 6000, 200, True),
    RequestKind("doorstep", 2, 0.6, (30, 100), (8, 30), 8000, 100, True),
    RequestKind("audit", 3, 0.15, (200, 1200), (40, 160), 20000, 400),
)
WORKSPACE_WEIGHTS = (("w1", 8.0), ("w2", 4.0), ("w3", 1.0), ("w4", 1.0), ("w5", 1.0))


def make_text(rng, count):
    """Return `count` random words as text."""
    return " ".join(rng.choice(VOCABULARY) for _ in range(count))


def make_shared_prefix(workspace, kind):
    """Return the prompt prefix that all requests of a kind in a workspace share."""
    rng = random.Random(f"{workspace} {kind.work_class}")
    return make_text(rng, kind.shared_prefix_words)


def make_photo(rng):
    """Return random bytes in base64 that stand for a photo in a request body."""
    size = rng.randint(*PHOTO_SIZE_RANGE_BYTES)
    return base64.b64encode(rng.randbytes(size)).decode()


def generate(profile, seed, entries=3):
    """Return the arrivals of a load sorted by time; equal seeds give equal loads.

    Each arrival is assigned one of `entries` entries at random.
    """
    rng = random.Random(seed)
    names = [name for name, _ in profile.workspaces]
    weights = [weight for _, weight in profile.workspaces]
    shares = [kind.share for kind in profile.kinds]
    arrivals = []
    at = 0.0
    while True:
        in_burst = profile.duration_s / 3 <= at < 2 * profile.duration_s / 3
        at += rng.expovariate(
            profile.requests_per_s * (profile.burst if in_burst else 1.0)
        )
        if at >= profile.duration_s:
            return arrivals
        kind = rng.choices(profile.kinds, shares)[0]
        workspace = rng.choices(names, weights)[0]
        words = rng.randint(*kind.prompt_words)
        prompt = f"{make_shared_prefix(workspace, kind)} {make_text(rng, words)}"
        has_photo = kind.photo and rng.random() < PHOTO_PROBABILITY
        arrivals.append(
            Arrival(
                len(arrivals),
                at,
                rng.randrange(entries),
                kind,
                workspace,
                prompt,
                make_photo(rng) if has_photo else "",
                rng.randint(*kind.max_tokens),
            )
        )
