"""Requests that end the backend servers that run them, as one gateway knows them.

A request may make each server that runs it end. Its caller sends it again with a new
attempt id, at any gateway, so that no limit on a single attempt applies. `Suspects`
therefore counts by the request's content how many server starts ended, or broke off,
while they ran it. After `MAX_CRASHES` the request is refused.

What tells such a request from others that ran on the same servers is that it never
completes. A complete answer disproves the crashes of all runs of that content that were
sent before it or within `TRACK_RECORD_MS` after it: a content that many callers send
has runs on every server that ends. It speaks for servers of the same version only,
since a new one may end at what the last one answered, and a failure only for earlier
runs: a server that fails requests may not have run them. A broken connection
is not yet a server that ended: it counts for `UNCONFIRMED_MS`, and longer only if the
end of that start is confirmed by the announcements of the server or of its successor.

A request that ran on several of these servers without being the cause has crashes too.
Each server start is therefore attributed to one content: the contents are taken in the
order of how many starts they alone can account for, and what is attributed to one does
not count against the next. Between equals, the one whose servers ended sooner after it
was sent goes first. A wrong order is corrected by the next crash of the real cause.
Parts of prompts take part in this (see `partsuspects`).

Gateways exchange the crashes. Each crash is identified by what it is about, so that
merging is a union and reports may be lost, repeated or reordered; its flags are only
ever set. Any gateway passes on any crash, so that the loss of the gateway that saw it
loses nothing. Ages are sent instead of times, since clocks differ.

It uses neither sockets nor clocks.
"""

import collections
import dataclasses
import itertools
import random
import zlib

from brasstrail.coordination import attribution, partsuspects

# Server starts that a request may end before it is refused; source: the users' rule
# on requests that crash servers.
MAX_CRASHES = 3
# Server starts after which a request is refused even if others account for them: the
# same rule allows three more runs after the third crash.
MAX_SHARED_CRASHES = 6
# How long a broken connection counts if the end of its server is not confirmed: several
# times as long as it takes to notice that announcements have stopped.
UNCONFIRMED_MS = 30_000
# How long a completed run speaks for later runs of the same content: also while all
# servers of its service end again and again, whatever they run.
TRACK_RECORD_MS = 600_000
# How long a request is refused after the crash that reached the limit. Each further
# crash doubles it.
HOLD_MS = 600_000
MAX_HOLD_MS = 3_600_000
# Each gateway prolongs a hold by its own part of up to this fraction, so that the
# gateways do not all try the request again at the same time.
HOLD_SPREAD_FRACTION = 0.5
# Retry-After while the one run that is allowed after a hold is under way.
MIN_RETRY_S = 1.0
# How long attributions in a large table are kept if no crash changes: unconfirmed
# crashes lapse.
ATTRIBUTION_VALIDITY_MS = 1000
# Shortest time between two attributions in a table of more than so many contents: one
# takes about 17 ms if the table is full.
MIN_ATTRIBUTION_INTERVAL_MS = 200
LARGE_TABLE_CONTENTS = 400
# Order of contents among what accounts for equally many ends, see `partsuspects`.
CONTENT_ORDER = 1
# A content is forgotten when this many times its hold has passed.
RETENTION_HOLDS = 2
# Crashes are shared for this fraction of the time for which they count. Without the
# rest, gateways would restore to each other what each has forgotten.
SHARED_FRACTION = 2 / 3
# Bounds of the tables, in entries. A crash takes about 700 bytes, a part of it 200.
MAX_CRASH_RECORDS = 4096
MAX_PART_REFERENCES = 32_768
MAX_LEFT_RUNS = 2048
MAX_COMPLETIONS = 8192
MAX_VERSIONS = 16
# Part of a workspace's crashes that is dropped when the table is full.
EVICTED_FRACTION = 1 / 8
# A run that was given up is remembered this long, in case its server turns out to have
# ended: longer than it takes to notice that announcements have stopped.
LEFT_RUN_MS = 15_000
# Crashes in one message to other gateways: those that this gateway saw or changed in
# the last second, so that a lost datagram does not matter, and up to `MAX_CRASHES` of
# a few contents, at the limit and others, for gateways that have started or were cut
# off. A gateway is sent two such messages a second by each other one, and between them
# what has changed since the last message.
RECENT_CHANGE_MS = 1000
MAX_CHANGES = 256
MAX_RECENT_SHARED = 80
MAX_HELD_SHARED = 2
MAX_OTHERS_SHARED = 1
MAX_PARTS_SHARED = 2
# Crashes, and completions, that a gateway is told when it starts: they fit into a few
# datagrams.
MAX_TOLD = 256


@dataclasses.dataclass(frozen=True, eq=False)
class Run:
    """A request that was sent to one start of a server.

    `parts` are the `parts.shared_parts` of its prompt. `version` is that of the
    server's software, or empty if it is not stated.
    """

    attempt_id: str
    content: str
    workspace: str
    server: str
    born_ms: int
    sent_ms: int
    parts: tuple[int, ...] = ()
    version: str = ""


@dataclasses.dataclass(frozen=True)
class Crash:
    """The identity of a crash: a start of a server that ended while it ran a request.

    A server that comes back under the same identity may do so before its new start is
    known. `ordinal` tells its crashes apart: it counts those that were known when the
    run was sent, over a connection that the server had accepted. Only the first can be
    confirmed by the end of the start. `parts` are those of the run.
    """

    content: str
    workspace: str
    server: str
    born_ms: int
    ordinal: int
    parts: tuple[int, ...] = ()

    @property
    def server_start(self):
        """What identifies the start that ended, whoever sent the request."""
        return (self.server, self.born_ms, self.ordinal)


@dataclasses.dataclass
class Evidence:
    """What is known about a crash.

    Attributes
    ----------
    sent_ms : when the run was sent.
    ended_ms : when it broke off, or when its server was found to have ended.
    is_confirmed : whether the server's start is known to have ended.
    is_disproved : whether a run of the same content, sent by anyone, has completed
        since, or within `TRACK_RECORD_MS` before the run was sent, at a server of the
        same version.
    is_disproved_for_workspace : the same for runs of the crash's workspace.
    is_withdrawn : whether the server is known to have lived on.
    completed_after, completed_before : bits of the parts of the run with which other
        requests have completed: after the run was sent, or lately before.
    version : that of the server's software, or empty if it is not known.
    """

    sent_ms: int
    ended_ms: int
    is_confirmed: bool = False
    is_disproved: bool = False
    is_disproved_for_workspace: bool = False
    is_withdrawn: bool = False
    completed_after: int = 0
    completed_before: int = 0
    version: str = ""

    def merge(self, other):
        """Add what another gateway knows of the crash; return whether it is new."""
        duration_ms = other.ended_ms - other.sent_ms
        self.sent_ms = max(self.sent_ms, self.ended_ms - duration_ms)
        self.version = self.version or other.version
        is_changed = False
        for flag in MERGED_FLAGS:
            known = getattr(self, flag)
            merged = known | getattr(other, flag)
            if merged != known:
                setattr(self, flag, merged)
                is_changed = True
        return is_changed


# Flags of `Evidence`, which are only ever set.
MERGED_FLAGS = (
    "is_confirmed",
    "is_disproved",
    "is_disproved_for_workspace",
    "is_withdrawn",
    "completed_after",
    "completed_before",
)


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Why a request is refused, and for how long.

    `servers` are the identities of the servers that ended, `crashes` is their number,
    `is_own` whether the caller's workspace alone has reached the limit.
    """

    servers: tuple[str, ...]
    crashes: int
    is_own: bool
    retry_after_s: float


class Suspects:
    """The crashes that one gateway knows, and the runs that may become crashes.

    Parameters
    ----------
    name : the gateway.

    Attributes
    ----------
    by_content : `Evidence` by `Crash`, by content.
    by_start : the crashes by server and start.
    parts : `partsuspects.PartSuspects`, which has the same crashes by part.
    record_counts : the number of crashes by workspace.
    open_runs : the runs without a known end, by server and start.
    left_runs : when each of them was given up, for those that were, oldest first.
    running_counts : the number of runs that are not given up, by content.
    completions : when a run last completed, by content, workspace and version, and by
        content, None for all workspaces and version; the latest last.
    versions : the versions in these, the latest last.
    changes : (time, `Crash`) of the changes that this gateway made, oldest first.
    part_changes : the same where only parts have completed; these are shared last.
    ranks : the order in which ends of servers were attributed to contents.
    start_ranks : the rank of the content that accounts for it, by server start.
    attributed_until_ms : until when both are valid; 0 if a crash has changed.
    attributed_ms : when the ends were last attributed.
    """

    def __init__(self, name):
        self.name = name
        self.by_content = {}
        self.by_start = {}
        self.parts = partsuspects.PartSuspects()
        self.record_counts = collections.Counter()
        self.open_runs = {}
        self.left_runs = collections.OrderedDict()
        self.running_counts = collections.Counter()
        self.completions = collections.OrderedDict()
        self.versions = collections.OrderedDict()
        self.changes = collections.deque(maxlen=MAX_CHANGES)
        self.part_changes = collections.deque(maxlen=MAX_CHANGES)
        self.random = random.Random(name)
        self.ranks = {}
        self.start_ranks = {}
        self.attributed_until_ms = 0
        self.attributed_ms = -MIN_ATTRIBUTION_INTERVAL_MS

    # Decision.

    def judge(self, content, workspace, now_ms):
        """Return the `Suspicion` for which a request is refused, or None.

        When a hold has ended, one run at a time is allowed.
        """
        evidence = self.by_content.get(content)
        if not evidence:
            return None
        self.update_attribution(now_ms)
        suspicions = []
        for is_own, group in counted_groups(evidence, workspace, now_ms):
            alone = self.without_explained(content, group)
            for limit, each in ((MAX_CRASHES, alone), (MAX_SHARED_CRASHES, group)):
                suspicions.append(
                    self.judge_group(content, each, limit, is_own, now_ms)
                )
        suspicions = [each for each in suspicions if each is not None]
        return max(suspicions, key=lambda each: each.retry_after_s, default=None)

    def without_explained(self, content, group):
        """Return a group without the starts that contents before it account for."""
        own_rank = self.ranks.get(content, len(self.ranks))
        return {
            start: evidence
            for start, evidence in group.items()
            if self.start_ranks.get(start, own_rank) >= own_rank
        }

    def update_attribution(self, now_ms):
        """Attribute the ends of servers anew if crashes have changed or lapsed.

        A large table is gone through a few times a second only.
        """
        is_large = len(self.by_content) > LARGE_TABLE_CONTENTS
        if now_ms < self.attributed_until_ms or (
            is_large and now_ms < self.attributed_ms + MIN_ATTRIBUTION_INTERVAL_MS
        ):
            return
        self.attributed_ms = now_ms
        validity_ms = ATTRIBUTION_VALIDITY_MS if is_large else partsuspects.SETTLE_MS
        self.attributed_until_ms = now_ms + validity_ms
        contents = self.candidates(now_ms)
        candidates = {**contents, **self.parts.candidates(now_ms)}
        self.ranks = {}
        self.start_ranks = {}
        parts = {}
        for rank, (name, starts) in enumerate(attribution.attribute(candidates)):
            self.start_ranks.update(dict.fromkeys(starts, rank))
            if name in contents:
                self.ranks[name] = rank
            else:
                parts[name] = len(starts)
        self.parts.apply(parts, now_ms)

    def judge_parts(self, parts, now_ms):
        """Return the `partsuspects.PartSuspicion` for some parts, or None."""
        if not self.by_content:
            return None
        self.update_attribution(now_ms)
        return self.parts.judge(parts, now_ms)

    def candidates(self, now_ms):
        """Return the contents that reach the limit, as `attribution.Candidate`s."""
        candidates = {}
        for content, evidence in self.by_content.items():
            if len(evidence) < MAX_CRASHES:
                continue
            counted = {
                crash.server_start: each.ended_ms - each.sent_ms
                for crash, each in evidence.items()
                if counts(each, now_ms) and not each.is_disproved_for_workspace
            }
            if len(counted) >= MAX_CRASHES:
                mean_duration_ms = sum(counted.values()) / len(counted)
                candidates[content] = attribution.Candidate(
                    frozenset(counted), MAX_CRASHES, (CONTENT_ORDER, mean_duration_ms)
                )
        return candidates

    def judge_group(self, content, group, limit, is_own, now_ms):
        """Return the `Suspicion` from `Evidence` by server start, or None.

        A hold ends early when so many unconfirmed crashes have lapsed that fewer than
        `limit` are left.
        """
        if len(group) < limit:
            return None
        last_ms = max(each.ended_ms for each in group.values())
        until_ms = last_ms + self.hold_ms(content, len(group) - limit)
        lapses_ms = sorted(
            each.ended_ms + UNCONFIRMED_MS
            for each in group.values()
            if not each.is_confirmed
        )
        spare = len(group) - limit
        if len(lapses_ms) > spare:
            until_ms = min(until_ms, lapses_ms[spare])
        if now_ms >= until_ms and not self.running_counts[content]:
            return None
        names = tuple(sorted({server for server, _, _ in group}))
        retry_after_s = max(MIN_RETRY_S, (until_ms - now_ms) / 1000)
        return Suspicion(names, len(group), is_own, retry_after_s)

    def hold_ms(self, content, excess):
        """Return how long this gateway refuses a request after its last crash.

        `excess` is the number of crashes beyond the limit.
        """
        spread = zlib.crc32(f"{self.name} {content}".encode()) / 2**32
        return int(shortest_hold_ms(excess) * (1 + HOLD_SPREAD_FRACTION * spread))

    # Runs of this gateway.

    def begin(self, run):
        """Record that a request is sent to a server."""
        self.open_runs.setdefault((run.server, run.born_ms), set()).add(run)
        self.running_counts[run.content] += 1

    def discard(self, run):
        """Forget a run; return whether it was open."""
        key = run.server, run.born_ms
        runs = self.open_runs.get(key, set())
        if run not in runs:
            return False
        runs.discard(run)
        if not runs:
            del self.open_runs[key]
        if self.left_runs.pop(run, None) is None:
            self.stop_counting(run)
        return True

    def stop_counting(self, run):
        """Record that a run is no longer under way."""
        self.running_counts[run.content] -= 1
        if self.running_counts[run.content] <= 0:
            del self.running_counts[run.content]

    def leave(self, run, now_ms):
        """Record that a run was given up without knowing what its server did."""
        if run not in self.open_runs.get((run.server, run.born_ms), ()):
            return
        if run not in self.left_runs:
            self.stop_counting(run)
        self.left_runs[run] = now_ms
        if len(self.left_runs) > MAX_LEFT_RUNS:
            counts_by_workspace = collections.Counter(
                each.workspace for each in self.left_runs
            )
            largest = counts_by_workspace.most_common(1)[0][0]
            self.discard(
                next(each for each in self.left_runs if each.workspace == largest)
            )

    def complete(self, run, now_ms, is_success=True):
        """Record that a server has given its whole answer, be it a failure."""
        self.discard(run)
        if is_success:
            self.complete_parts(run.parts, run.workspace, now_ms)
            for workspace in (run.workspace, None):
                key = run.content, workspace, run.version
                self.completions[key] = now_ms
                self.completions.move_to_end(key)
            self.record_version(run.version)
            self.drop_old_completions()
        for crash, evidence in self.by_content.get(run.content, {}).items():
            if is_success:
                self.disprove(crash, evidence, now_ms)
            elif is_same_version(evidence.version, run.version):
                self.set_disproved(crash, evidence, None, now_ms)
                if crash.workspace == run.workspace:
                    self.set_disproved(crash, evidence, crash.workspace, now_ms)

    def record_version(self, version):
        """Remember a version of which a server has completed a run."""
        self.versions[version] = None
        self.versions.move_to_end(version)
        while len(self.versions) > MAX_VERSIONS:
            self.versions.popitem(last=False)

    def complete_parts(self, parts, workspace, now_ms, completed_ms=None):
        """Record a successful answer to a request with some parts.

        `completed_ms` is given if another gateway has seen it.
        """
        changed = self.parts.complete(parts, workspace, now_ms, completed_ms)
        for crash in changed:
            self.attributed_until_ms = 0
            self.part_changes.append((now_ms, crash))

    def drop_old_completions(self):
        """Drop the oldest completions beyond the bound."""
        while len(self.completions) > MAX_COMPLETIONS:
            self.completions.popitem(last=False)

    def recent_completions(self):
        """Return the latest completions as (key, completed_ms)."""
        latest = itertools.islice(reversed(self.completions.items()), MAX_TOLD)
        return list(latest)

    def add_completion(self, key, completed_ms, now_ms):
        """Add a completion that another gateway has seen."""
        if completed_ms <= self.completions.get(key, -1):
            return
        self.completions[key] = completed_ms
        # It is dropped before those of this gateway.
        self.completions.move_to_end(key, last=False)
        content, _, version = key
        self.record_version(version)
        self.drop_old_completions()
        for crash, evidence in self.by_content.get(content, {}).items():
            self.disprove(crash, evidence, now_ms)

    def break_off(self, run, now_ms, is_confirmed=False):
        """Record that a run ended without its whole answer; return a new `Crash`.

        Returns None if the run's end was known, or its crash is recorded already.
        """
        if not self.discard(run):
            return None
        crash = self.crash_of(run)
        evidence = Evidence(run.sent_ms, now_ms, is_confirmed, version=run.version)
        is_new = self.add(crash, evidence, now_ms)
        self.changes.append((now_ms, crash))
        return crash if is_new else None

    def crash_of(self, run):
        """Return the `Crash` of a run that broke off."""
        start = run.server, run.born_ms
        earlier = [
            crash.ordinal
            for crash, evidence in self.by_content.get(run.content, {}).items()
            if (crash.server, crash.born_ms) == start
            and evidence.ended_ms < run.sent_ms
        ]
        ordinal = max(earlier, default=-1) + 1
        return Crash(
            run.content, run.workspace, run.server, run.born_ms, ordinal, run.parts
        )

    def end_server(self, server, born_ms, now_ms):
        """Record that a start of a server has ended; return the new `Crash`es by run.

        It confirms the crashes of that start, and each run there without a known end
        becomes one.
        """
        found = {}
        for run in list(self.open_runs.get((server, born_ms), ())):
            crash = self.break_off(run, now_ms, is_confirmed=True)
            if crash is not None:
                found[run] = crash
        self.confirm(server, born_ms, now_ms)
        return found

    def confirm(self, server, born_ms, now_ms):
        """Confirm the crashes of a start of a server, which has ended."""
        for crash in self.by_start.get((server, born_ms), ()):
            evidence = self.by_content[crash.content][crash]
            if not crash.ordinal and not evidence.is_confirmed:
                evidence.is_confirmed = True
                self.attributed_until_ms = 0
                self.changes.append((now_ms, crash))

    def withdraw(self, server, born_ms, since_ms, until_ms, now_ms):
        """Record that a start of a server has lived on; return how many crashes it had.

        These are the ones between `since_ms` and `until_ms`, of which the server has
        shown that it was the same process.
        """
        withdrawn = 0
        for crash in self.by_start.get((server, born_ms), ()):
            evidence = self.by_content[crash.content][crash]
            if since_ms < evidence.ended_ms < until_ms and not evidence.is_withdrawn:
                evidence.is_withdrawn = True
                self.attributed_until_ms = 0
                self.changes.append((now_ms, crash))
                withdrawn += 1
        return withdrawn

    # The table.

    def clear(self):
        """Forget all crashes."""
        for crash, _ in list(self.all_records()):
            self.remove(crash)

    def all_records(self):
        """Yield all (`Crash`, `Evidence`) pairs."""
        for evidence in self.by_content.values():
            yield from evidence.items()

    def record_count(self):
        """Return the number of crashes in the table."""
        return self.record_counts.total()

    def contents_at_limit(self, now_ms):
        """Return the contents to which the ends of enough servers are attributed."""
        self.update_attribution(now_ms)
        return [content for content in self.ranks if content in self.by_content]

    def add(self, crash, evidence, now_ms):
        """Add a crash, or set the flags of a known one; return whether it is new."""
        known = self.by_content.get(crash.content, {}).get(crash)
        if known is None:
            self.by_content.setdefault(crash.content, {})[crash] = evidence
            start = crash.server, crash.born_ms
            self.by_start.setdefault(start, set()).add(crash)
            self.record_counts[crash.workspace] += 1
            self.disprove(crash, evidence, now_ms)
            if self.parts.add(crash, evidence):
                self.part_changes.append((now_ms, crash))
            if (
                self.record_count() > MAX_CRASH_RECORDS
                or self.parts.reference_count > MAX_PART_REFERENCES
            ):
                self.evict()
            return True
        if known.merge(evidence):
            self.attributed_until_ms = 0
            self.parts.update(crash, known)
        return False

    def disprove(self, crash, evidence, now_ms):
        """Set the flags of a crash whose content has completed lately, or since."""
        self.attributed_until_ms = 0
        since_ms = evidence.sent_ms - TRACK_RECORD_MS
        for workspace in (None, crash.workspace):
            completed_ms = self.completed_ms(crash.content, workspace, evidence.version)
            if completed_ms is not None and completed_ms >= since_ms:
                self.set_disproved(crash, evidence, workspace, now_ms)

    def completed_ms(self, content, workspace, version):
        """Return when a content last completed at servers of a version, or None.

        A version that is not known may be any.
        """
        versions = (version, "") if version else self.versions
        times = (self.completions.get((content, workspace, v)) for v in versions)
        return max((each for each in times if each is not None), default=None)

    def set_disproved(self, crash, evidence, workspace, now_ms):
        """Set that a crash is disproved, for a workspace, or for all if it is None."""
        self.attributed_until_ms = 0
        flag = "is_disproved" if workspace is None else "is_disproved_for_workspace"
        if not getattr(evidence, flag):
            setattr(evidence, flag, True)
            self.changes.append((now_ms, crash))

    def remove(self, crash):
        """Remove a crash."""
        self.attributed_until_ms = 0
        evidence = self.by_content[crash.content]
        del evidence[crash]
        if not evidence:
            del self.by_content[crash.content]
        start = crash.server, crash.born_ms
        self.by_start[start].discard(crash)
        if not self.by_start[start]:
            del self.by_start[start]
        self.parts.remove(crash)
        self.record_counts[crash.workspace] -= 1
        if not self.record_counts[crash.workspace]:
            del self.record_counts[crash.workspace]

    def evict(self):
        """Drop crashes of the workspace that has the most.

        Those of held parts go last; of the others, those of contents with the fewest
        crashes go first, and then the oldest. A caller that fills the table thus loses
        its own records, and no others.
        """
        workspace, count = self.record_counts.most_common(1)[0]
        records = [
            (
                self.parts.is_held(crash),
                len(self.by_content[crash.content]),
                evidence.ended_ms,
                crash,
            )
            for crash, evidence in self.all_records()
            if crash.workspace == workspace
        ]
        records.sort(key=lambda each: each[:3])
        for *_, crash in records[: max(1, int(count * EVICTED_FRACTION))]:
            self.remove(crash)

    def remove_expired(self, now_ms):
        """Remove what no longer counts."""
        for run, left_ms in list(self.left_runs.items()):
            if now_ms - left_ms <= LEFT_RUN_MS:
                break
            self.discard(run)
        for content, evidence in list(self.by_content.items()):
            is_over = now_ms > self.end_ms(content, 1)
            for crash, each in list(evidence.items()):
                is_needed = self.parts.is_held(crash) and not each.is_withdrawn
                if (is_over and not is_needed) or not is_kept(each, now_ms):
                    self.remove(crash)
        self.parts.completions.remove_expired(now_ms)

    def end_ms(self, content, fraction):
        """Return when a fraction of the time has passed that a content is remembered.

        The time begins with the last crash.
        """
        evidence = self.by_content[content]
        last_ms = max(each.ended_ms for each in evidence.values())
        excess = max(0, len(evidence) - MAX_CRASHES)
        longest_hold_ms = shortest_hold_ms(excess) * (1 + HOLD_SPREAD_FRACTION)
        return last_ms + fraction * RETENTION_HOLDS * longest_hold_ms

    # Exchange with other gateways.

    def shared_records(self, now_ms, since_ms=None):
        """Return the (`Crash`, `Evidence`) pairs for the next message to the others.

        Those that have changed since `since_ms`; without it all recent changes, and
        some of the others.
        """
        chosen = dict.fromkeys(self.recent_changes(now_ms, since_ms or 0))
        if since_ms is None:
            chosen.update(dict.fromkeys(self.draw_records(now_ms)))
        return [
            (crash, self.by_content[crash.content][crash])
            for crash in chosen
            if self.is_shared(crash, now_ms)
        ]

    def draw_records(self, now_ms):
        """Return some `Crash`es of those that are told again and again."""
        chosen = {}
        for contents, count in (
            (self.contents_at_limit(now_ms), MAX_HELD_SHARED),
            (list(self.by_content), MAX_OTHERS_SHARED),
        ):
            for content in self.draw(contents, count):
                crashes = self.draw(list(self.by_content[content]), MAX_CRASHES)
                chosen.update(dict.fromkeys(crashes))
        for part in self.draw(list(self.parts.holds), MAX_PARTS_SHARED):
            latest = self.parts.held_crashes(part)[
                -partsuspects.MAX_UNCERTAIN_CRASHES :
            ]
            chosen.update(dict.fromkeys(latest))
        return list(chosen)

    def latest_records(self, now_ms):
        """Return the (`Crash`, `Evidence`) pairs that a new gateway has to know.

        Those of contents at their limit come first, then the latest ones.
        """
        held = set(self.contents_at_limit(now_ms))
        records = [
            (crash, evidence)
            for crash, evidence in self.all_records()
            if self.is_shared(crash, now_ms)
        ]
        records.sort(
            key=lambda each: (
                each[0].content not in held and not self.parts.is_held(each[0]),
                -each[1].ended_ms,
            )
        )
        return records[:MAX_TOLD]

    def recent_changes(self, now_ms, since_ms=0):
        """Return the crashes that this gateway changed lately, the latest first.

        `since_ms` leaves out those that have not changed since then.
        """
        recent = {}
        for changes in (self.changes, self.part_changes):
            while changes and now_ms - changes[0][0] > RECENT_CHANGE_MS:
                changes.popleft()
            recent.update(
                dict.fromkeys(
                    crash for at_ms, crash in reversed(changes) if at_ms >= since_ms
                )
            )
        return list(recent)[:MAX_RECENT_SHARED]

    def is_shared(self, crash, now_ms):
        """Return whether a crash is in the table, and passed on to other gateways."""
        evidence = self.by_content.get(crash.content, {}).get(crash)
        if evidence is None:
            return False
        if evidence.is_withdrawn or not evidence.is_confirmed:
            return now_ms - evidence.ended_ms <= SHARED_FRACTION * UNCONFIRMED_MS
        return now_ms <= self.end_ms(crash.content, SHARED_FRACTION)

    def draw(self, items, count):
        """Return up to `count` of the items."""
        return self.random.sample(items, min(count, len(items)))


def is_same_version(one, other):
    """Return whether two versions may be the same; an empty one is not known."""
    return one == other or not one or not other


def shortest_hold_ms(excess):
    """Return the hold of a request with `excess` crashes beyond the limit."""
    return min(MAX_HOLD_MS, HOLD_MS * 2 ** min(20, excess))


def counts(evidence, now_ms):
    """Return whether a crash counts: it is confirmed, or recent."""
    return is_kept(evidence, now_ms) and not evidence.is_withdrawn


def is_kept(evidence, now_ms):
    """Return whether a crash is still known: it is confirmed, or recent."""
    return evidence.is_confirmed or now_ms - evidence.ended_ms <= UNCONFIRMED_MS


def counted_groups(evidence, workspace, now_ms):
    """Yield whether they are a workspace's own, and the crashes that count.

    The crashes of all callers come first, then those of the workspace alone. Each is a
    dict of `Evidence` by server start. The first answers for a request that comes from
    several workspaces, the second for a workspace whose request is harmless when others
    send it.
    """
    everyone, own = {}, {}
    for crash, each in evidence.items():
        if not counts(each, now_ms):
            continue
        if not each.is_disproved:
            everyone[crash.server_start] = each
        if crash.workspace == workspace and not each.is_disproved_for_workspace:
            own[crash.server_start] = each
    yield False, everyone
    yield True, own
