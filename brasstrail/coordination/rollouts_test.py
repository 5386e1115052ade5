"""Tests of the judgement of versions, over drawn good and bad ones.

The load that they answer: 100 requests a second on three routes at 20 gateways, with
answers of which one in 200 fails at either version, times that differ between hosts by
a factor of nearly three, and servers that end at times.
"""

import dataclasses
import random
import unittest

from brasstrail.coordination import canaries, rollouts
from brasstrail.protocol import messages

ROUTES = (("chat", 0.5, 300.0), ("search", 0.35, 60.0), ("rare", 0.15, 900.0))
REQUESTS_PER_LOOK = 25
DURATION_MS = 60_000
CANARY_SHARE = 0.1
CANARY_SLACK = 50
ROLLBACK_MS = 5000
# The time until a step is known at all gateways: a commit and the way there.
NEWS_LOOKS = 2


@dataclasses.dataclass(frozen=True)
class Version:
    """How a version answers: the parts that fail and that are slow, and from when on.

    `route` limits the badness to one route. `min_share` limits it to a load: the share
    of the requests from which on it is bad.
    """

    failures: float = 0.0
    slow: float = 0.0
    factor: float = 1.0
    from_ms: int = 0
    route: str = ""
    min_share: float = 0.0

    def is_bad(self, route, now_ms, share):
        """Return whether the version is bad now on a route."""
        is_route = self.route in ("", route)
        return is_route and now_ms >= self.from_ms and share >= self.min_share


GOOD = Version()
BAD = {
    "fails at once": Version(failures=0.3),
    "fails always": Version(failures=1.0),
    "fails seldom": Version(failures=0.1),
    "slow at once": Version(slow=1.0, factor=4.0),
    "slow in part": Version(slow=0.4, factor=5.0),
    "fails late": Version(failures=0.4, from_ms=25_000),
    "slow late": Version(slow=1.0, factor=4.0, from_ms=25_000),
    "fails after the switch": Version(failures=0.5, min_share=0.5),
    "slow after the switch": Version(slow=1.0, factor=5.0, min_share=0.5),
    "fails under load": Version(failures=0.4, min_share=0.07),
    "fails on one route": Version(failures=0.5, route="search"),
    "slow on one route": Version(slow=1.0, factor=4.0, route="chat"),
    "fails on a rare route": Version(failures=0.7, route="rare"),
}


class Trial:
    """A roll-out that is judged from drawn answers.

    Attributes
    ----------
    sent, sent_new : the requests of the service, and those at the new version.
    bad_ms : the times of the bad answers.
    last_sent_ms : when a request was last sent to the new version.
    """

    def __init__(self, version, seed, share_scale=1.0):
        self.version = version
        self.draw = random.Random(seed)
        self.rollout = messages.Rollout(
            "s", "v2", DURATION_MS, 0, DURATION_MS, "in_progress",
            0, 0.0, "", 0, "", 0, (), 1,
        )  # fmt: skip
        self.judge = rollouts.Judge(self.rollout, CANARY_SHARE, 0)
        self.known_share = 0.0
        self.shares = [0.0] * NEWS_LOOKS
        self.counts = {}
        self.sent = self.sent_new = 0
        self.bad_ms = []
        self.last_sent_ms = 0
        self.slow_until_ms = 0

    def run(self):
        """Run until the roll-out is decided."""
        now_ms = 0
        while self.rollout.state == "in_progress":
            now_ms += rollouts.LOOK_INTERVAL_MS
            assert now_ms <= DURATION_MS
            self.shares.append(self.rollout.share)
            self.known_share = self.shares[-NEWS_LOOKS]
            self.send(now_ms)
            self.report(now_ms)
            self.look(now_ms)
        for _ in range(NEWS_LOOKS):
            now_ms += rollouts.LOOK_INTERVAL_MS
            self.send(now_ms)
        return self

    def send(self, now_ms):
        """Draw the answers of one interval, and at times the end of a server."""
        share = self.known_share
        if self.draw.random() < 0.02:
            self.slow_until_ms = now_ms + 1500
        for _ in range(REQUESTS_PER_LOOK):
            route, _, usual_ms = self.draw.choices(ROUTES, [r[1] for r in ROUTES])[0]
            is_new = self.draw.random() < share
            self.sent += 1
            self.answer(now_ms, route, usual_ms, is_new, share)
        for is_new in (True, False):
            if self.draw.random() < 0.008 and (share if is_new else share < 1.0):
                counts = self.counts_of("chat", is_new)
                counts.cuts += 6
                counts.answers += 6

    def answer(self, now_ms, route, usual_ms, is_new, share):
        """Draw one answer."""
        counts = self.counts_of(route, is_new)
        counts.answers += 1
        host = self.draw.choice((0.6, 1.7, 1.7))
        time_ms = usual_ms * host * self.draw.lognormvariate(0.0, 0.4)
        if now_ms < self.slow_until_ms and self.draw.random() < 0.3:
            time_ms *= 2.5
        is_failed = self.draw.random() < 0.005
        if is_new:
            self.sent_new += 1
            self.last_sent_ms = now_ms
            if self.version.is_bad(route, now_ms, share):
                is_slow = self.draw.random() < self.version.slow
                time_ms *= self.version.factor if is_slow else 1.0
                is_failed = is_failed or self.draw.random() < self.version.failures
                if is_failed or is_slow:
                    self.bad_ms.append(now_ms)
        counts.failures += is_failed
        counts.first_times[canaries.time_bucket(time_ms)] += 1

    def counts_of(self, route, is_new):
        """Return the counts of a route at one side."""
        return self.counts.setdefault((route, is_new), canaries.RouteCounts())

    def report(self, now_ms):
        """Report the counts as one gateway does."""
        routes = [
            canaries.make_outcomes("s", route, is_new, each)
            for (route, is_new), each in self.counts.items()
        ]
        running_old = int(self.known_share < 1.0)
        progress = messages.RolloutProgress("s", 0, running_old, self.sent)
        index = self.rollout.index
        self.judge.record("g", 1, index, progress, routes, now_ms)

    def look(self, now_ms):
        """Let the judge decide, and apply the step."""
        around = rollouts.Surroundings(("g",), True, now_ms)
        step = self.judge.decide(around)
        if step is not None:
            self.rollout = dataclasses.replace(
                self.rollout,
                index=self.rollout.index + 1,
                **dataclasses.asdict(step),
            )
        self.judge.update(self.rollout, now_ms)


class JudgeTest(unittest.TestCase):
    """Which versions are completed and reverted, and how soon."""

    def test_bad_versions_are_reverted_within_the_bounds(self):
        """Guards against a bad version that is completed, or exposed for too long."""
        for name, version in BAD.items():
            for seed in range(5):
                with self.subTest(name, seed=seed):
                    trial = Trial(version, seed).run()
                    self.assertEqual(trial.rollout.state, "reverted")
                    bound = CANARY_SHARE * trial.sent + CANARY_SLACK
                    if not version.min_share >= 0.5:
                        self.assertLess(trial.sent_new, bound)
                    if len(trial.bad_ms) >= 50:
                        late_ms = trial.last_sent_ms - trial.bad_ms[49]
                        self.assertLess(late_ms, ROLLBACK_MS)

    def test_good_versions_are_completed_before_the_deadline(self):
        """Guards against a good version that is reverted by chance."""
        for seed in range(40):
            with self.subTest(seed=seed):
                trial = Trial(GOOD, seed).run()
                self.assertEqual(trial.rollout.state, "completed", trial.rollout)

    def test_version_without_answers_is_reverted_at_its_deadline(self):
        """Guards against an unproven version that gets all requests."""
        judge = rollouts.Judge(Trial(GOOD, 0).rollout, CANARY_SHARE, 0)
        around = rollouts.Surroundings((), False, DURATION_MS - 5000)
        self.assertIsNone(judge.decide(around))
        around = dataclasses.replace(around, now_ms=DURATION_MS - 400)
        self.assertEqual(judge.decide(around).state, "reverted")


if __name__ == "__main__":
    unittest.main()
