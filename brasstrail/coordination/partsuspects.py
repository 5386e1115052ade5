"""Parts of prompts that end the backend servers which answer on them.

A part may end each server that begins to answer a request with it, whatever else the
request holds. Such requests are new in all else, so that their contents do not tell
(see `suspects`). `PartSuspects` counts by part how many server starts ended, or broke
off, while they ran a request with it. It uses the crashes of `suspects.Suspects`, which
tells it of each that is added, changed or removed, and takes part in the attribution
there.

What speaks for a part is a complete, successful answer to any request with it: it
disproves all crashes whose run was sent before. A part that has completed lately needs
more server starts than one that never has, and only those count that no other part
accounts for. A failure, a refusal or an answer that broke off says nothing about parts.

A part is held for some time after its last crash. Then one request at a time is tried,
over all gateways, until one completes or ends one more server.

It uses neither sockets nor clocks.
"""

import collections
import dataclasses
import heapq
import math

from brasstrail.coordination import attribution

# Server starts that a part may end before it is held if no request with it has
# completed; source: the users' rule, which allows five.
MAX_CRASHES = 3
# The same if another part has ended as many of these servers, for a part with which
# requests have completed lately, and for a common one; source: the same rule.
MAX_UNCERTAIN_CRASHES = 5
# What is known of a crash elsewhere arrives within this time: the crashes of other runs
# on the server, and the completions of their parts.
SETTLE_MS = 300
# The fraction of the starts of a proven or common part that no other part explains.
MIN_UNEXPLAINED_FRACTION = 2 / 3
# A part is common if at least this fraction of the runs on servers that had several of
# them had the part.
COMMON_FRACTION = 0.9
# How long a completed answer speaks for a part.
TRACK_RECORD_MS = 600_000
# How long a crash counts without a confirmation: a server whose announcements stop is
# noticed within this time.
UNCONFIRMED_MS = 8000
# How long a part is held after its last crash: one that may well be harmless, one that
# has ended fewer servers than the users' rule allows, and any other. The last is
# multiplied after each trial that ends a server.
UNCERTAIN_HOLD_MS = 5000
FIRST_HOLD_MS = 20_000
HOLD_MS = 60_000
HOLD_FACTOR = 4
MAX_HOLD_MS = 960_000
# Crashes further apart than this belong to different trials.
TRY_GAP_MS = 4000
# How long a caller of a part that is being tried is told to wait.
TRY_RETRY_S = 1.0
# Parts whose completions are kept, about 250 bytes each; the part of a full workspace's
# entries that is dropped.
MAX_COMPLETIONS = 16_384
EVICTED_FRACTION = 1 / 8
FIRST_PLACE = 1
# Order of contents and parts that account for equally many ends.
PART_ORDER = 0


@dataclasses.dataclass(frozen=True)
class Hold:
    """Why and until when a part is held.

    `servers` are the identities of the servers that ended, `crashes` is how many of
    their starts did. `crashed_ms` is when the last one did. From `until_ms` on, one
    request at a time is tried.
    """

    crashes: int
    servers: tuple[str, ...]
    crashed_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True)
class PartSuspicion:
    """Why a request with a part is refused, and for how long.

    `needs_trial` says that it may be sent as the one request that is tried now.
    """

    part: int
    hold: Hold
    needs_trial: bool
    retry_after_s: float


@dataclasses.dataclass
class Tally:
    """The crashes of a part that count.

    Attributes
    ----------
    ended_ms : when each server start ended, by start.
    confirmed : the starts that are known to have ended.
    runs : the number of runs by start.
    place : that of the part in the latest prompt, counted from `FIRST_PLACE`.
    is_proven : whether requests with the part had completed lately.
    is_common : whether the part was in most runs.
    is_ambiguous : whether another part has ended as many servers, and one of the same.
    """

    ended_ms: dict = dataclasses.field(default_factory=dict)
    confirmed: set = dataclasses.field(default_factory=set)
    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    place: int = 0
    is_proven: bool = False
    is_common: bool = False
    is_ambiguous: bool = False

    def add(self, crash, evidence, bit):
        """Add a `suspects.Crash` with its `suspects.Evidence`."""
        start = crash.server_start
        self.ended_ms[start] = max(self.ended_ms.get(start, 0), evidence.ended_ms)
        if evidence.is_confirmed:
            self.confirmed.add(start)
        self.runs[start] += 1
        self.place = bit.bit_length()
        self.is_proven = self.is_proven or bool(evidence.completed_before & bit)

    def is_ripe(self, now_ms):
        """Return whether the part may be held now.

        It is if it stands out; otherwise once the reports of its last crash are in, and
        one that may well be harmless only by servers that are known to have ended.
        """
        if self.is_specific and len(self.ended_ms) >= MAX_UNCERTAIN_CRASHES:
            return True
        if now_ms - max(self.ended_ms.values()) < SETTLE_MS:
            return False
        return self.is_specific or len(self.confirmed) >= self.limit

    def find_common(self, run_counts):
        """Set `is_common` from the number of all runs on each server start."""
        shared = [start for start in self.ended_ms if run_counts[start] > 1]
        runs = sum(run_counts[start] for start in shared)
        own_runs = sum(self.runs[start] for start in shared)
        self.is_common = bool(runs) and own_runs >= COMMON_FRACTION * runs

    @property
    def is_specific(self):
        """Whether the part says much about what ended a server."""
        return not (self.is_proven or self.is_common)

    @property
    def limit(self):
        """How many server starts must be left to the part, so that it is held."""
        if not self.is_specific:
            unexplained = math.ceil(MIN_UNEXPLAINED_FRACTION * len(self.ended_ms))
            return max(MAX_UNCERTAIN_CRASHES, unexplained)
        return MAX_UNCERTAIN_CRASHES if self.is_ambiguous else MAX_CRASHES

    @property
    def trials(self):
        """How many further times servers ended after a pause."""
        times = sorted(self.ended_ms.values())
        return sum(
            later - earlier > TRY_GAP_MS
            for earlier, later in zip(times, times[1:], strict=False)
        )

    @property
    def hold_ms(self):
        """How long the part is held after its last crash."""
        excess = len(self.ended_ms) - MAX_UNCERTAIN_CRASHES
        if excess < 0:
            return FIRST_HOLD_MS
        failed_trials = min(excess, self.trials, 8)
        if not self.is_specific or self.is_ambiguous:
            failed_trials -= 1
        if failed_trials < 0:
            return UNCERTAIN_HOLD_MS
        return min(MAX_HOLD_MS, HOLD_MS * HOLD_FACTOR**failed_trials)

    def candidate(self):
        """Return the `attribution.Candidate` of the part.

        The more runs a part had, the less likely it is that all of them met servers
        that ended by chance. Of parts that were always together, the later one is
        shared by fewer requests, and the first one by most.
        """
        runs = self.runs.total()
        is_first = self.place == FIRST_PLACE
        order = (PART_ORDER, self.is_common, is_first, -runs, -self.place)
        limit = MAX_CRASHES if self.is_specific else self.limit
        return attribution.Candidate(
            frozenset(self.ended_ms), limit, order, int(self.is_proven)
        )

    def hold(self, is_attributed):
        """Return the `Hold` of the part.

        A part that is held and to which no ends are attributed any more may be tried.
        """
        crashed_ms = max(self.ended_ms.values())
        until_ms = crashed_ms + (self.hold_ms if is_attributed else 0)
        servers = tuple(sorted({server for server, _, _ in self.ended_ms}))
        return Hold(len(self.ended_ms), servers, crashed_ms, until_ms)


class Completions:
    """When requests with each part last completed.

    The table is bounded. A workspace that fills it displaces only its own entries.

    Attributes
    ----------
    by_part : (time, workspace that owns the entry) by part; the latest last.
    counts : the number of entries by workspace.
    """

    def __init__(self):
        self.by_part = collections.OrderedDict()
        self.counts = collections.Counter()

    def record(self, part, workspace, now_ms):
        """Record that a request with a part has completed."""
        known = self.by_part.get(part)
        if known is None:
            self.counts[workspace] += 1
        elif now_ms <= known[0]:
            return
        self.by_part[part] = (now_ms, known[1] if known else workspace)
        self.by_part.move_to_end(part)
        if len(self.by_part) > MAX_COMPLETIONS:
            self.evict()

    def evict(self):
        """Drop the oldest entries of the workspace that has the most."""
        workspace, count = self.counts.most_common(1)[0]
        left = max(1, int(count * EVICTED_FRACTION))
        for part, (_, owner) in list(self.by_part.items()):
            if owner == workspace and left:
                self.remove(part)
                left -= 1

    def remove(self, part):
        """Remove the entry of a part."""
        _, owner = self.by_part.pop(part)
        self.counts[owner] -= 1
        if not self.counts[owner]:
            del self.counts[owner]

    def remove_expired(self, now_ms):
        """Remove what no longer speaks for its part."""
        while self.by_part:
            part, (completed_ms, _) = next(iter(self.by_part.items()))
            if now_ms - completed_ms <= TRACK_RECORD_MS:
                return
            self.remove(part)

    def latest(self, count):
        """Return the latest completions as (part, time) pairs."""
        parts = list(self.by_part)[-count:]
        return [(part, self.by_part[part][0]) for part in parts]

    def time(self, part):
        """Return when a request with a part last completed, or None."""
        known = self.by_part.get(part)
        return known[0] if known else None


class PartSuspects:
    """The crashes of parts that one gateway knows.

    Attributes
    ----------
    by_part : the bits of the crashes that no later answer has disproved, by part: the
        place of the part in the flags of `suspects.Evidence`, by `suspects.Crash`.
    reference_count : how many crashes all parts have together.
    evidence : the `suspects.Evidence` of all crashes.
    run_counts : the number of all crashes by server start.
    completions : `Completions`.
    tallies : `Tally` by part, of the parts that have ended several servers.
    holds : `Hold` by part.
    news : (part, `Hold` or None) of the parts that were held, or let in again.
    """

    def __init__(self):
        self.by_part = {}
        self.reference_count = 0
        self.evidence = {}
        self.run_counts = collections.Counter()
        self.completions = Completions()
        self.tallies = {}
        self.holds = {}
        self.news = collections.deque(maxlen=MAX_COMPLETIONS)

    # Crashes.

    def add(self, crash, evidence):
        """Add a crash, with what is known of the completions of its parts.

        Returns whether that adds to what the `suspects.Evidence` says.
        """
        known = evidence.completed_after, evidence.completed_before
        for place, part in enumerate(crash.parts):
            bit = 1 << place
            completed_ms = self.completions.time(part)
            if completed_ms is not None and completed_ms >= evidence.sent_ms:
                evidence.completed_after |= bit
            elif (
                completed_ms is not None
                and completed_ms >= evidence.sent_ms - TRACK_RECORD_MS
            ):
                evidence.completed_before |= bit
            if not evidence.completed_after & bit:
                self.by_part.setdefault(part, {})[crash] = bit
                self.reference_count += 1
        self.evidence[crash] = evidence
        self.run_counts[crash.server_start] += 1
        return known != (evidence.completed_after, evidence.completed_before)

    def update(self, crash, evidence):
        """Drop a known crash from the parts that other gateways have seen complete."""
        for place, part in enumerate(crash.parts):
            if evidence.completed_after & (1 << place):
                self.drop(part, crash)

    def remove(self, crash):
        """Remove a crash."""
        for part in crash.parts:
            self.drop(part, crash)
        del self.evidence[crash]
        self.run_counts[crash.server_start] -= 1
        if not self.run_counts[crash.server_start]:
            del self.run_counts[crash.server_start]

    def drop(self, part, crash):
        """Remove a crash from those of a part."""
        crashes = self.by_part.get(part, {})
        if crashes.pop(crash, None) is None:
            return
        self.reference_count -= 1
        if not crashes:
            del self.by_part[part]

    def complete(self, parts, workspace, now_ms, completed_ms=None):
        """Record a complete and successful answer to a request with some parts.

        `completed_ms` is given if another gateway has seen it. Returns the crashes that
        it disproves for one of the parts.
        """
        completed_ms = now_ms if completed_ms is None else completed_ms
        changed = {}
        for part in parts:
            self.completions.record(part, workspace, completed_ms)
            for crash, bit in list(self.by_part.get(part, {}).items()):
                evidence = self.evidence[crash]
                if evidence.sent_ms <= completed_ms:
                    evidence.completed_after |= bit
                    self.drop(part, crash)
                    changed[crash] = evidence
        return changed

    # Attribution.

    def candidates(self, now_ms):
        """Return the `attribution.Candidate`s by part."""
        self.tallies = {}
        for part, crashes in self.by_part.items():
            if len(crashes) >= MAX_CRASHES:
                tally = self.tally(crashes, now_ms)
                if len(tally.ended_ms) >= MAX_CRASHES:
                    self.tallies[part] = tally
        self.find_ambiguous()
        return {
            part: tally.candidate()
            for part, tally in self.tallies.items()
            if part in self.holds or tally.is_specific or tally.is_ripe(now_ms)
        }

    def find_ambiguous(self):
        """Set `is_ambiguous` of the parts that do not stand out on their servers."""
        counts_by_start = {}
        for tally in self.tallies.values():
            if tally.is_specific:
                for start in tally.ended_ms:
                    counts_by_start.setdefault(start, []).append(len(tally.ended_ms))
        highest = {
            start: heapq.nlargest(2, numbers)
            for start, numbers in counts_by_start.items()
        }
        for tally in self.tallies.values():
            if tally.is_specific:
                count = len(tally.ended_ms)
                tally.is_ambiguous = any(
                    highest[start][-1] >= count and len(highest[start]) > 1
                    for start in tally.ended_ms
                )

    def tally(self, crashes, now_ms):
        """Return the `Tally` of the crashes of a part."""
        tally = Tally()
        for crash, bit in crashes.items():
            evidence = self.evidence[crash]
            if counts(evidence, now_ms):
                tally.add(crash, evidence, bit)
        tally.find_common(self.run_counts)
        return tally

    def apply(self, attributed, now_ms):
        """Set the holds from how many ends of servers are attributed to each part.

        A part that has ended many servers stays held although another one is found to
        account for their ends: it gets its next chance when it is tried.
        """
        holds = {}
        for part, tally in self.tallies.items():
            known = self.holds.get(part)
            was_held = known is not None and known.until_ms > known.crashed_ms
            has_many = len(tally.ended_ms) >= MAX_UNCERTAIN_CRASHES
            is_ripe = known is not None or tally.is_ripe(now_ms)
            is_cause = is_ripe and attributed.get(part, 0) >= tally.limit
            if is_cause or (was_held and has_many):
                holds[part] = tally.hold(is_attributed=True)
            elif known is not None:
                holds[part] = tally.hold(is_attributed=False)
        for part in [*(holds.keys() - self.holds.keys())]:
            self.news.append((part, holds[part]))
        for part in [*(self.holds.keys() - holds.keys())]:
            self.news.append((part, None))
        self.holds = holds

    # Decision.

    def judge(self, parts, now_ms):
        """Return the `PartSuspicion` for which a request is refused, or None."""
        suspicions = []
        for part in parts:
            hold = self.holds.get(part)
            if hold is not None:
                needs_trial = now_ms >= hold.until_ms
                left_s = (hold.until_ms - now_ms) / 1000
                retry_after_s = TRY_RETRY_S if needs_trial else max(TRY_RETRY_S, left_s)
                suspicions.append(PartSuspicion(part, hold, needs_trial, retry_after_s))
        return max(suspicions, key=lambda each: each.hold.until_ms, default=None)

    def is_held(self, crash):
        """Return whether a part of a crash is held."""
        return any(part in self.holds for part in crash.parts)

    def held_crashes(self, part):
        """Return the crashes of a part, the latest last."""
        crashes = self.by_part.get(part, {})
        return sorted(crashes, key=lambda each: self.evidence[each].ended_ms)


def counts(evidence, now_ms):
    """Return whether a crash counts against the parts of its request."""
    if evidence.is_withdrawn:
        return False
    return evidence.is_confirmed or now_ms - evidence.ended_ms <= UNCONFIRMED_MS
