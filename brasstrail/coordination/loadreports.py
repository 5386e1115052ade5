"""What backend servers report of their load and of the speed of their hosts.

Answers of some servers tell how many requests run and wait there, and how long work
takes on their host at this moment: the host factor, 1.0 is as usual. Hosts differ
permanently, and each is slow for a second or two at times. A gateway therefore keeps
a fast figure, which is the last one and fades within `FAST_FADE_MS`, and a slow one,
which is an average and tells hosts apart after a slow moment has passed.

A report is a claim. One that is old, or that the measured times contradict, loses its
weight, and what the gateway has learned itself takes its place.
"""

import dataclasses
import math

# A slow moment of a host lasts one to two seconds; after this time without another
# report, the last one says nothing of the moment any more.
FAST_FADE_MS = 2000.0
# Time constant of the average. It is several times as long as a slow moment, and short
# against the time that a host stays in service.
SLOW_TIME_CONSTANT_MS = 10_000.0
# After three time constants without a report the average is no longer used.
FACTOR_EXPIRY_MS = 30_000.0
# The counts of requests in a report are used and passed on for this long: several
# requests start and end in that time at a server that is in use.
COUNTS_EXPIRY_MS = 1000.0
# A first answer contradicts the report if it takes over three times what the factor
# says and, as paths between regions take 60 ms there and back, 100 ms more.
CONTRADICTION_RATIO = 3.0
CONTRADICTION_MARGIN_MS = 100.0
# The trust in a server's reports after a contradiction, relative to that before, and
# the part of the missing trust that an answer in time restores: two false figures in a
# row outweigh several true ones.
CONTRADICTED_TRUST = 0.5
TRUST_RECOVERY = 0.1
# Servers are equally good if their scores differ by less than this: the expected delay
# is not known more precisely. Gateways that read the same reports draw among them. The
# margin has an upper bound, as the penalty for a missed deadline is part of a score.
SCORE_MARGIN_FRACTION = 0.1
MIN_SCORE_MARGIN_MS = 5.0
MAX_SCORE_MARGIN_MS = 25.0
# So many requests of which no gateway has told count as a queue: fewer may be ones that
# gateways have dispatched and not told yet, which takes up to 50 ms.
MIN_UNKNOWN_REQUESTS = 3
TOKEN_TIME_SMOOTHING_FACTOR = 0.2
# Reports that a gateway passes on in one message: a gateway gets answers of few servers
# within a second, and a message has to fit into a datagram.
MAX_SHARED_REPORTS = 64


@dataclasses.dataclass
class HostLoad:
    """What the answers of one start of a server have reported.

    Attributes
    ----------
    report : the last `servers.LoadReport`, or None.
    reported_ms : when the server made it.
    own_report, own_ms : the last report that this gateway has read in an answer, and
        when; None before the first. Reports that other gateways pass on do not count,
        so that none goes round in circles.
    known_running : the requests of all gateways that were known to run at the server
        when the report was read.
    slow_factor : average of the host factor, or None if it was never told.
    observed_ms : the time over which that is an average.
    trust : the weight of the reports against own measurements, 0 to 1.
    usual_token_ms : time per output token at a host factor of 1, or None.
    """

    report: object = None
    reported_ms: float = 0.0
    own_report: object = None
    own_ms: float | None = None
    known_running: int = 0
    slow_factor: float | None = None
    observed_ms: float = 0.0
    trust: float = 1.0
    usual_token_ms: float | None = None

    def record(self, report, reported_ms, known_running, is_own):
        """Record a report, unless it is older than the last one."""
        if self.report is not None and reported_ms < self.reported_ms:
            return
        if report.host_factor is not None:
            self.update_slow_factor(report.host_factor, reported_ms)
        self.report = report
        self.reported_ms = reported_ms
        self.known_running = known_running
        if is_own:
            self.own_report = report
            self.own_ms = reported_ms

    def update_slow_factor(self, host_factor, reported_ms):
        """Update the average: over all time at first, later over the last ten seconds.

        A figure counts for the time since the one before it, so that many reports
        within a slow moment weigh no more than its length.
        """
        if self.slow_factor is None:
            self.slow_factor = host_factor
            return
        passed_ms = min(SLOW_TIME_CONSTANT_MS, reported_ms - self.reported_ms)
        self.observed_ms = min(SLOW_TIME_CONSTANT_MS, self.observed_ms + passed_ms)
        if self.observed_ms > 0:
            weight = passed_ms / self.observed_ms
            if self.observed_ms >= SLOW_TIME_CONSTANT_MS:
                weight = 1.0 - math.exp(-passed_ms / SLOW_TIME_CONSTANT_MS)
            self.slow_factor += weight * (host_factor - self.slow_factor)

    def age_ms(self, now_ms):
        """Return how old the last report is, in ms."""
        return max(0.0, now_ms - self.reported_ms)

    def factor(self, now_ms):
        """Return the host factor that the reports tell, or None if that is not known.

        It is the last one, which fades to the average.
        """
        if self.slow_factor is None or self.report.host_factor is None:
            return None
        age_ms = self.age_ms(now_ms)
        if age_ms > FACTOR_EXPIRY_MS:
            return None
        if age_ms >= FAST_FADE_MS:
            return self.slow_factor
        weight = 1.0 - age_ms / FAST_FADE_MS
        return self.slow_factor + weight * (self.report.host_factor - self.slow_factor)

    def slowdown(self, learned, now_ms):
        """Return by what the usual times are multiplied.

        `learned` is what own measurements say; it holds without reports, and as far as
        they are not trusted.
        """
        factor = self.factor(now_ms)
        if factor is None:
            return learned
        return learned + self.trust * (factor - learned)

    def token_ms(self, learned_ms, now_ms, service_usual_ms=None):
        """Return the expected time per output token.

        Parameters
        ----------
        learned_ms : what own measurements say; it holds without reports, and as far as
            they are not trusted.
        service_usual_ms : the time at a host factor of 1 at the servers of the service,
            which holds until this one was measured, or None.
        """
        factor = self.factor(now_ms)
        usual_ms = self.usual_token_ms or service_usual_ms
        if factor is None or usual_ms is None:
            return learned_ms
        return learned_ms + self.trust * (usual_ms * factor - learned_ms)

    def usual_time(self, token_ms):
        """Return a measured time per output token as it is at a host factor of 1.

        It is None if the server told no factor.
        """
        factor = self.factor(self.reported_ms)
        return None if factor is None else token_ms / factor

    def record_token_time(self, token_ms):
        """Record a measured time per output token, at the host factor last told."""
        usual_ms = self.usual_time(token_ms)
        if usual_ms is None:
            return
        if self.usual_token_ms is None:
            self.usual_token_ms = usual_ms
        self.usual_token_ms += TOKEN_TIME_SMOOTHING_FACTOR * (
            usual_ms - self.usual_token_ms
        )

    def record_first_answer(self, elapsed_ms, usual_ms):
        """Compare the time of a first answer with what the last report says.

        `usual_ms` is what it takes at a host factor of 1.
        """
        factor = self.factor(self.reported_ms)
        if factor is None:
            return
        limit_ms = CONTRADICTION_RATIO * factor * usual_ms + CONTRADICTION_MARGIN_MS
        if elapsed_ms > limit_ms:
            self.trust *= CONTRADICTED_TRUST
        else:
            self.trust += TRUST_RECOVERY * (1.0 - self.trust)

    def present_requests(self, known_running, now_ms):
        """Return how many requests are at the server.

        These are the ones in its report, with what all gateways are known to have
        dispatched there since and what has ended, but at least those that are known.
        """
        if not self.tells_counts(now_ms):
            return known_running
        reported = self.report.running + self.report.waiting
        return max(known_running, reported + known_running - self.known_running)

    def tells_counts(self, now_ms):
        """Return whether the counts of a report with a host factor are fresh."""
        if self.report is None or self.report.host_factor is None:
            return False
        return self.trust > 0.5 and self.age_ms(now_ms) <= COUNTS_EXPIRY_MS


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A server with room for a request, and its score in ms, the lowest is best."""

    score_ms: float
    identity: str
    server: object


def select(candidates, now_ms, rng):
    """Return the candidate to choose, or None if there is none.

    Without host factors it is the one with the lowest score, the first of several. Of
    servers that tell host factors, one with a queue that the gateways do not know of is
    left out while another one has a free slot, and one is drawn of those whose scores
    are nearly the lowest.

    Parameters
    ----------
    candidates : the `Candidate`s.
    rng : the `random.Random` of this gateway. Each gateway draws by itself, so that not
        all send to the server that looked idle in one report.
    """
    best = min(candidates, key=lambda each: each.score_ms, default=None)
    if best is None or best.server.host.factor(now_ms) is None:
        return best
    is_best_queued = is_queued(best.server, now_ms)
    if is_best_queued:
        free = [each for each in candidates if has_free_slot(each.server, now_ms)]
        best = min(free, key=lambda each: each.score_ms, default=best)
        candidates = free or candidates
    margin_ms = max(MIN_SCORE_MARGIN_MS, SCORE_MARGIN_FRACTION * best.score_ms)
    limit_ms = best.score_ms + min(MAX_SCORE_MARGIN_MS, margin_ms)
    near = [
        each
        for each in candidates
        if each.score_ms <= limit_ms
        and each.server.host.factor(now_ms) is not None
        and (is_best_queued or not is_queued(each.server, now_ms))
    ]
    return rng.choice(near) if len(near) > 1 else best


def is_queued(server, now_ms):
    """Return whether requests wait at a server of which no gateway has told.

    Requests of gateways are part of its score. If those alone made a queue, a slow
    server with a free slot would be chosen where a fast one with a short queue answers
    sooner.
    """
    host = server.host
    if not host.tells_counts(now_ms):
        return False
    unknown = host.report.running + host.report.waiting - server.total_running
    if unknown < MIN_UNKNOWN_REQUESTS:
        return False
    present = host.present_requests(server.total_running, now_ms)
    return present > server.announcement.slots


def has_free_slot(server, now_ms):
    """Return whether a slot of a server is free, as far as is known."""
    present = server.host.present_requests(server.total_running, now_ms)
    return present < server.announcement.slots


@dataclasses.dataclass(frozen=True)
class SharedReport:
    """The last report of one start of a server, as gateways pass it on."""

    start: tuple[str, int]
    report: object
    age_ms: float


def reports_to_share(servers, now_ms):
    """Return the `SharedReport`s that were read here within a second, the newest first.

    Reports without a host factor are kept to this gateway.
    """
    own = [
        each
        for each in servers
        if each.host.own_ms is not None
        and now_ms - each.host.own_ms <= COUNTS_EXPIRY_MS
        and each.host.own_report.host_factor is not None
    ]
    own.sort(key=lambda each: -each.host.own_ms)
    return [
        SharedReport(
            each.start, each.host.own_report, max(0.0, now_ms - each.host.own_ms)
        )
        for each in own[:MAX_SHARED_REPORTS]
    ]
