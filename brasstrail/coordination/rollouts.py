"""Judges the version of a roll-out and decides its steps, without a network.

The new version is compared with the old one on the same route, over the same time: how
many of its answers are failures, and how many are slow. An answer is slow if it took
about twice as long as the upper quarter of the old version's, and longer than nearly
all of them. Both are judged over the whole roll-out and over the last ten seconds,
since a version may turn bad late, for each route and over all routes, with one test:
under the assumption that both versions are equal, the bad answers of both fall on the
new version as its answers do, which is a binomial distribution. Only relative numbers
count, so that failures which say nothing of the version, such as the deadlines of
callers under overload, weigh on both sides.

Errors. The probability that all looks at a good version together revert it is at most
`FALSE_REVERT_PROBABILITY`: it is divided by the number of looks (the duration over
`LOOK_INTERVAL_MS`) and of tests in each. For a duration of 60 s and four routes, a
single test then has an error of 1e-7 to 1e-8. With 8 % of the answers and an old
version that does not fail, a bad version is found at its 7th bad answer, and at its
14th if the bad answers are slow ones, which count half. Answers that break off need
some seconds, and at more than 20 answers a second slow ones need two to four. If the
old version has bad answers itself, a version with five times as many is found before
its 50th bad answer, one with three times as many at about that. One with fewer than
twice as many is not found, by `MIN_RATIO`.
"""

import collections
import dataclasses
import math

from brasstrail.coordination import canaries
from brasstrail.core.rolloutstates import RolloutState

LOOK_INTERVAL_MS = 250
FALSE_REVERT_PROBABILITY = 0.001
# Each of a route and of all routes is tested for failures, slow first answers and slow
# further events, over two spans of time.
TESTS_PER_ROUTE = 6
# A version counts as bad only from this many times as many bad answers as the old one.
MIN_RATIO = 2.0
# Slow answers come in groups: a queue, or a slow moment of a host, delays several. The
# numbers are divided by the size of a group before they are tested as independent ones:
# what the new version answers in a quarter of a second, and in 0.8 s of the answers
# beyond 20 a second. With a fixed size, moments of 1.5 s reverted 6 of 25 good versions
# at 500 requests a second.
MIN_SLOW_GROUP = 2.0
SLOW_GROUPS_PER_WINDOW = 40
DENSE_ANSWERS = 200
DENSE_GROUPS_PER_WINDOW = 12
# A server that ends breaks off all its answers at once, which says little about the
# version. Of the answers cut in a group interval the first counts, and those beyond
# what a server of usual size runs at once. As many servers of the new version may end
# as of the old one, though they have fewer requests, so that some are allowed: one each
# ten seconds, and so many.
GROUP_INTERVAL_MS = 500
CUTS_OF_ONE_END = 9
ALLOWED_CUTS = 2
CUT_INTERVAL_MS = 10_000
WINDOW_MS = 10_000
# With fewer answers of the old version in the window, for example after the switch, the
# window of the new one is compared with all answers of the old one.
MIN_OLD_ANSWERS = 30
# In buckets, of which three are a factor of 2: see the doc comment of the module.
SLOW_BUCKETS_ABOVE_QUARTILE = 4
SLOW_BUCKETS_ABOVE_TAIL = 2
# The parts of `canary_share` that the stages give to the new version. The last one
# leaves a fifth for what is repeated, and for streams that keep their version.
STAGE_SHARES = (0.2, 0.5, 0.8)
# A stage ends with so many answers, or after this part of the duration.
STAGE_ANSWERS = 30
STAGE_ROUTE_ANSWERS = 10
STAGE_FRACTION = 1 / 6
# The switch comes at the later of this part of the duration and this time before the
# deadline, within which most answers end.
SWITCH_FRACTION = 0.5
SWITCH_BEFORE_MS = 5000
COMPLETE_BEFORE_MS = 500
# Between the switch and the completion the new version is judged under the whole load
# for at least this time, since it may be bad only then. The old one can still be used.
MIN_SWITCHED_MS = 4250
# A gateway that is no longer listed may serve until its lease ends, by default 4.5 s
# after its last heartbeat.
LEASE_MS = 5000
# After the switch a version without any server is reverted once this has lasted longer
# than news of a server take.
MAX_SERVERLESS_MS = 1500
KINDS = ("failures", "slow first answers", "slow events")


@dataclasses.dataclass(frozen=True)
class Step:
    """The next step of a roll-out, in the fields of `commands.AdvanceRollout`."""

    state: str
    stage: int
    share: float
    reason: str


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What a decision needs beyond the outcomes.

    `gateways` are the names of the listed gateways, `has_servers` tells whether a ready
    server of the new version is known. `now_ms` is the wall clock.
    """

    gateways: tuple[str, ...]
    has_servers: bool
    now_ms: int


class Tally:
    """The outcomes of a route at one side, over the roll-out and over the window.

    Attributes
    ----------
    total, window : `canaries.RouteCounts`, whose cuts are those that count.
    deltas : (time, `canaries.RouteCounts`) of what the window holds.
    cuts_by_interval : the cuts so far of each recent group interval.
    """

    def __init__(self):
        self.total = canaries.RouteCounts()
        self.window = canaries.RouteCounts()
        self.deltas = collections.deque()
        self.cuts_by_interval = collections.Counter()

    def add(self, delta, now_ms, is_recent=True):
        """Add what has changed since a gateway's last report."""
        interval = now_ms // GROUP_INTERVAL_MS
        before = self.cuts_by_interval[interval]
        self.cuts_by_interval[interval] += delta.cuts
        counted = counted_cuts(before + delta.cuts) - counted_cuts(before)
        delta = dataclasses.replace(delta, cuts=counted)
        add_counts(self.total, delta, 1)
        if is_recent:
            self.add_to_window(delta, now_ms)

    def add_to_window(self, delta, now_ms):
        """Add to the window, with what has come since the last look."""
        add_counts(self.window, delta, 1)
        if self.deltas and now_ms - self.deltas[-1][0] < LOOK_INTERVAL_MS:
            add_counts(self.deltas[-1][1], delta, 1)
        else:
            self.deltas.append((now_ms, delta))

    def expire(self, now_ms):
        """Drop what the window no longer holds."""
        while self.deltas and now_ms - self.deltas[0][0] > WINDOW_MS:
            _, delta = self.deltas.popleft()
            add_counts(self.window, delta, -1)
        oldest = now_ms // GROUP_INTERVAL_MS - 1
        for interval in [each for each in self.cuts_by_interval if each < oldest]:
            del self.cuts_by_interval[interval]


def counted_cuts(cuts):
    """Return how many of the answers cut in a group interval count as failures."""
    return min(1, cuts) + max(0, cuts - CUTS_OF_ONE_END)


def add_counts(counts, delta, sign):
    """Add one `canaries.RouteCounts` to another, or subtract it with a sign of -1."""
    counts.answers += sign * delta.answers
    counts.failures += sign * delta.failures
    counts.cuts += sign * delta.cuts
    for name in ("first_times", "paces"):
        histogram = getattr(counts, name)
        for bucket, number in enumerate(getattr(delta, name)):
            if number:
                histogram[bucket] += sign * number


@dataclasses.dataclass
class GatewayReport:
    """The last report of a gateway: its counts by route and side, and its progress."""

    incarnation: int
    received_ms: int
    index: int = 0
    running_old: int = 0
    requests: int = 0
    counts: dict = dataclasses.field(default_factory=dict)


class Judge:
    """Judges one order from the outcomes of all gateways.

    Parameters
    ----------
    rollout : `messages.Rollout`.
    canary_share : the setting of this name.
    now_ms : the wall clock.

    Attributes
    ----------
    tallies : `Tally` by route and whether it is of the new version.
    reports : `GatewayReport` by gateway.
    expected : the requests that the shares so far would send to the new version.
    stage_since_ms : when the present stage began, or this leader took it up.
    stage_answers : the answers of the new version by route when the stage began.
    looked_ms : when the outcomes were last judged.
    serverless_since_ms : since when the new version has had no server, or None.
    """

    def __init__(self, rollout, canary_share, now_ms):
        self.rollout = rollout
        self.canary_share = canary_share
        self.started_ms = now_ms
        self.tallies = collections.defaultdict(Tally)
        self.reports = {}
        self.expected = 0.0
        self.stage_since_ms = rollout.ordered_ms
        self.stage_answers = {}
        self.serverless_since_ms = None
        self.looked_ms = now_ms

    def update(self, rollout, now_ms):
        """Take note of the record of the order, after a step."""
        if rollout.stage != self.rollout.stage:
            self.stage_since_ms = now_ms
            self.stage_answers = self.answers_by_route()
        self.rollout = rollout

    def record(self, name, incarnation, index, progress, routes, now_ms):
        """Record a report of a gateway; its counts only grow during one start of it.

        Parameters
        ----------
        progress : the `messages.RolloutProgress` of the order.
        routes : the `messages.RouteOutcomes` of the service.
        """
        report = self.reports.get(name)
        is_known = report is not None and report.incarnation == incarnation
        if not is_known:
            report = self.reports[name] = GatewayReport(incarnation, now_ms)
        # A new leader gets the counts of all the time before at once.
        is_taken_up = now_ms - self.started_ms <= WINDOW_MS
        gained = max(0, progress.requests - report.requests)
        if self.rollout.share < 1.0:
            self.expected += gained * self.rollout.share
        report.received_ms = now_ms
        report.index = index
        report.running_old = progress.running_old
        report.requests = progress.requests
        for each in routes:
            key = each.route, each.is_new
            earlier = report.counts.get(key)
            report.counts[key] = each
            is_recent = earlier is not None or not is_taken_up
            self.tallies[key].add(subtract(each, earlier), now_ms, is_recent)

    def answers_by_route(self):
        """Return the answers of the new version, by route."""
        return {
            route: tally.total.answers
            for (route, is_new), tally in self.tallies.items()
            if is_new
        }

    # Decision.

    def decide(self, around):
        """Return the next `Step`, or None if there is nothing to do.

        Parameters
        ----------
        around : `Surroundings`.
        """
        self.looked_ms = around.now_ms
        for tally in self.tallies.values():
            tally.expire(around.now_ms)
        finding = self.find()
        if finding:
            return self.revert(finding)
        if self.rollout.share >= 1.0:
            return self.decide_end(around)
        if around.now_ms >= self.rollout.deadline_ms - COMPLETE_BEFORE_MS:
            return self.revert("not proven in time")
        if around.now_ms >= earliest_switch_ms(self.rollout):
            return self.decide_switch(around)
        return self.decide_stage(around)

    def revert(self, reason):
        """Return the step that reverts the roll-out."""
        return Step(str(RolloutState.REVERTED), self.rollout.stage, 0.0, reason)

    def decide_stage(self, around):
        """Return the step to the first stage or to the next one, if it is due.

        The first one begins when the new version has a server.
        """
        stage = self.rollout.stage
        if stage == len(STAGE_SHARES):
            return None
        is_due = self.ends_stage(around.now_ms) if stage else around.has_servers
        if not is_due:
            return None
        share = STAGE_SHARES[stage] * self.canary_share
        state = str(RolloutState.IN_PROGRESS)
        return Step(state, stage + 1, share, f"stage {stage + 1}")

    def ends_stage(self, now_ms):
        """Return whether the present stage has seen enough."""
        gained = {
            route: answers - self.stage_answers.get(route, 0)
            for route, answers in self.answers_by_route().items()
        }
        is_enough = sum(gained.values()) >= STAGE_ANSWERS and all(
            gained.get(route, 0) >= STAGE_ROUTE_ANSWERS for route in self.busy_routes()
        )
        stage_ms = STAGE_FRACTION * self.rollout.duration_ms
        is_long = now_ms - self.stage_since_ms >= stage_ms
        return is_enough or (is_long and sum(gained.values()) > 0)

    def busy_routes(self):
        """Return the routes on which the old version has answered."""
        return {
            route
            for (route, is_new), tally in self.tallies.items()
            if not is_new and tally.total.answers
        }

    def decide_switch(self, around):
        """Return the step that sends all requests to a proven version, or None."""
        if not around.has_servers or not self.is_proven():
            return None
        state = str(RolloutState.IN_PROGRESS)
        return Step(state, self.rollout.stage + 1, 1.0, "proven, switched")

    def is_proven(self):
        """Return whether there are enough answers, without a finding.

        Where the shares give few requests, what chance leaves of the expected ones is
        enough, of each route in proportion to its part of the old version's answers.
        """
        answers = self.answers_by_route()
        total = sum(answers.values())
        if total < max(1, min(STAGE_ANSWERS, likely_answers(self.expected))):
            return False
        old = {route: self.tallies[route, False].total for route in self.busy_routes()}
        old_total = sum(each.answers for each in old.values())
        return all(
            answers.get(route, 0)
            >= min(
                STAGE_ROUTE_ANSWERS,
                likely_answers(self.expected * each.answers / old_total),
            )
            for route, each in old.items()
        )

    def decide_end(self, around):
        """After the switch, return the step that ends the roll-out, or None."""
        if around.has_servers:
            self.serverless_since_ms = None
        elif self.serverless_since_ms is None:
            self.serverless_since_ms = around.now_ms
        elif around.now_ms - self.serverless_since_ms > MAX_SERVERLESS_MS:
            return self.revert("no server of the new version")
        if around.now_ms >= self.rollout.deadline_ms:
            return self.revert("not switched in time")
        is_due = around.now_ms >= self.rollout.deadline_ms - COMPLETE_BEFORE_MS
        is_judged = around.now_ms - self.stage_since_ms >= MIN_SWITCHED_MS
        if not is_due and not (is_judged and self.is_old_idle(around)):
            return None
        if not around.has_servers:
            return None
        reason = "old version idle" if self.is_old_idle(around) else "deadline"
        state = str(RolloutState.COMPLETED)
        return Step(state, self.rollout.stage, 1.0, reason)

    def is_old_idle(self, around):
        """Return whether no gateway runs or sends anything on the old version.

        Gateways that are no longer listed count until their lease has ended. A leader
        that has just begun waits for as long, for those that it has not heard of.
        """
        if around.now_ms - self.started_ms <= LEASE_MS:
            return False
        for name in {*around.gateways, *self.reports}:
            report = self.reports.get(name)
            if report is None:
                return False
            is_expired = around.now_ms - report.received_ms > LEASE_MS
            if name not in around.gateways and is_expired:
                continue
            if report.index < self.rollout.index or report.running_old:
                return False
        return True

    # Judgement.

    def find(self):
        """Return what is bad about the new version, as text, or ""."""
        routes = {route for route, is_new in self.tallies if is_new}
        if not routes:
            return ""
        looks = max(1, self.rollout.duration_ms // LOOK_INTERVAL_MS)
        tests = looks * TESTS_PER_ROUTE * (len(routes) + 1)
        limit = math.log(FALSE_REVERT_PROBABILITY / tests)
        for kind in KINDS:
            for span in ("total", "window"):
                evidence = {
                    route: self.evidence(route, kind, span) for route in sorted(routes)
                }
                for route, each in (*evidence.items(), ("all", merge(evidence))):
                    if each.is_bad(limit):
                        return f"{kind} on {route} ({span}): {each.describe()}"
        return ""

    def evidence(self, route, kind, span):
        """Return the `Evidence` on a route, of one kind and one span of time."""
        new, old = self.tallies[route, True], self.tallies[route, False]
        new_counts, old_counts = getattr(new, span), getattr(old, span)
        if old_counts.answers < MIN_OLD_ANSWERS:
            old_counts = old.total
        if kind == "failures":
            return Evidence(
                new_counts.failures + max(0, new_counts.cuts - self.allowed_cuts(span)),
                new_counts.answers,
                old_counts.failures + old_counts.cuts,
                old_counts.answers,
            )
        group = slow_group(new.window.answers)
        name = "first_times" if kind == "slow first answers" else "paces"
        return slow_evidence(
            getattr(new_counts, name), getattr(old_counts, name), group
        )

    def allowed_cuts(self, span):
        """Return how many cuts of the new version say nothing of it."""
        span_ms = WINDOW_MS
        if span == "total":
            span_ms = self.looked_ms - self.rollout.ordered_ms
        return ALLOWED_CUTS + span_ms // CUT_INTERVAL_MS


@dataclasses.dataclass(frozen=True)
class Evidence:
    """The bad answers and all answers of the new and of the old version.

    `expected` is how many of the bad answers would be of the new version if both were
    equal; None derives it from the numbers of answers.
    """

    bad_new: float
    new: float
    bad_old: float
    old: float
    expected: float | None = None

    @property
    def expected_bad_new(self):
        """How many bad answers the new version would have if both were equal."""
        if self.expected is not None:
            return self.expected
        if not self.new or not self.old:
            return self.bad_new
        return (self.bad_new + self.bad_old) * self.new / (self.new + self.old)

    def is_bad(self, limit):
        """Return whether the new version is worse.

        `limit` is the logarithm of the probability up to which chance is excluded.
        """
        if not self.bad_new or not self.new or not self.old:
            return False
        if self.bad_new / self.new < MIN_RATIO * self.bad_old / self.old:
            return False
        bad = self.bad_new + self.bad_old
        probability = min(1.0, self.expected_bad_new / bad)
        return log_binomial_tail(int(self.bad_new), int(bad), probability) < limit

    def describe(self):
        """Return the numbers as text."""
        return (
            f"{self.bad_new:g} of {self.new:g} against {self.bad_old:g} of {self.old:g}"
        )


def likely_answers(expected):
    """Return how many answers come in nearly all cases if so many are expected.

    Gateways draw, and keep below the share, so that a third of them may be missing.
    """
    return expected * 2 / 3 - 2.5 * math.sqrt(expected)


def merge(evidence):
    """Return the `Evidence` over several routes.

    What would be expected is summed by route, so that another mix of routes at the new
    version is no evidence.
    """
    rows = [each for each in evidence.values() if each.new and each.old]
    return Evidence(
        sum(each.bad_new for each in rows),
        sum(each.new for each in rows),
        sum(each.bad_old for each in rows),
        sum(each.old for each in rows),
        sum(each.expected_bad_new for each in rows),
    )


def slow_group(answers):
    """Return how many slow answers count as one, given the answers in the window."""
    return max(
        MIN_SLOW_GROUP,
        answers / SLOW_GROUPS_PER_WINDOW,
        (answers - DENSE_ANSWERS) / DENSE_GROUPS_PER_WINDOW,
    )


def slow_evidence(new_times, old_times, group):
    """Return the `Evidence` of slow answers from two histograms of times.

    `group` is the `slow_group`.
    """
    old = sum(old_times)
    if old < MIN_OLD_ANSWERS:
        return Evidence(0, 0, 0, 0)
    slow = max(
        find_quantile(old_times, 0.75) + SLOW_BUCKETS_ABOVE_QUARTILE,
        find_quantile(old_times, 0.95) + SLOW_BUCKETS_ABOVE_TAIL,
    )
    return Evidence(
        sum(new_times[slow:]) // group,
        sum(new_times) / group,
        sum(old_times[slow:]) / group,
        old / group,
    )


def find_quantile(times, fraction):
    """Return the bucket of a histogram in which a quantile lies."""
    left = fraction * sum(times)
    for bucket, number in enumerate(times):
        left -= number
        if left <= 0:
            return bucket
    return len(times) - 1


def log_binomial_tail(successes, trials, probability):
    """Return the logarithm of the chance of at least so many successes.

    >>> round(math.exp(log_binomial_tail(2, 2, 0.5)), 6)
    0.25
    """
    if successes <= 0 or probability >= 1.0:
        return 0.0
    if probability <= 0.0:
        return -math.inf
    log_odds = math.log(probability) - math.log1p(-probability)
    first = (
        math.lgamma(trials + 1)
        - math.lgamma(successes + 1)
        - math.lgamma(trials - successes + 1)
        + successes * math.log(probability)
        + (trials - successes) * math.log1p(-probability)
    )
    total, term = 1.0, 1.0
    for count in range(successes, trials):
        term *= (trials - count) / (count + 1) * math.exp(log_odds)
        total += term
        if term < 1e-9 * total and count > trials * probability:
            break
    return min(0.0, first + math.log(total))


def subtract(outcomes, earlier):
    """Return the `canaries.RouteCounts` between two `messages.RouteOutcomes`.

    `earlier` is None for the first ones.
    """
    if earlier is None:
        earlier = dataclasses.replace(
            outcomes, answers=0, failures=0, cuts=0, first_times=(), paces=()
        )
    return canaries.RouteCounts(
        max(0, outcomes.answers - earlier.answers),
        max(0, outcomes.failures - earlier.failures),
        max(0, outcomes.cuts - earlier.cuts),
        subtract_times(outcomes.first_times, earlier.first_times),
        subtract_times(outcomes.paces, earlier.paces),
    )


def subtract_times(times, earlier):
    """Return the difference of two histograms as they are sent."""
    rows = zip(
        canaries.unpack_histogram(times),
        canaries.unpack_histogram(earlier),
        strict=True,
    )
    return [max(0, now - before) for now, before in rows]


def earliest_switch_ms(rollout):
    """Return when all requests go to the new version if it is proven."""
    half_ms = rollout.ordered_ms + SWITCH_FRACTION * rollout.duration_ms
    return max(half_ms, rollout.deadline_ms - SWITCH_BEFORE_MS)
