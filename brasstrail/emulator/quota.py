"""Simulates one workspace at its limit, over many gateways in virtual time.

Callers send more than the workspace may have, while gateways are killed, stopped, cut
off or held up. The allotments are those of the product, and reports between gateways
take as long as `roles.gossip` makes them. Both sides come out: how much ran in the
worst window, as a fraction of what the users' rule allows, and how much of what a
single bucket would admit was refused.

>>> outcome = simulate(Case(gateways=3, seconds=1.0, phases=((0.0, 0.5),)))
>>> outcome.worst_window < 1.0, outcome.owed_refused
(True, 0.0)
"""

import collections
import dataclasses
import heapq
import itertools
import random

from brasstrail.coordination import allotments
from brasstrail.core import catalog

WORKSPACE = "w"
# The users' rule: (rate x window + burst) x (1 + overrun) + slack.
WINDOW_S = 8.0
OVERRUN = 0.1
STEP_MS = 10
# Between the start of all gateways and the first request.
LEAD_MS = 8000
REPORT_INTERVAL_MS = 250
# Delays of the network and of a busy process, and of batches as `roles.gossip` sends
# them: by the number of gateways in the own region and in the others.
OWN_REGION_DELAY_MS = 2
OTHER_REGION_DELAY_MS = 32
BUSY_DELAY_MS = 50
OWN_REGION_DATAGRAMS_PER_SECOND = 200
OTHER_REGIONS_DATAGRAMS_PER_SECOND = 100
# From its start, a gateway serves after the first time, and hears of the others after
# the second one.
READY_MS = 1000
LISTED_MS = 1500
# A gateway that reaches no control host serves for this long.
LEASE_S = 4.5


@dataclasses.dataclass(frozen=True)
class Loss:
    """Some gateways that are away from `at_s` for `for_s`.

    Those that are "killed" or "stopped" start anew, without and with a last report.
    Those that are "cut" go on without reports, until their lease ends. "frozen" ones
    read the reports that have arrived, and then serve what has.
    """

    how: str
    gateways: tuple[int, ...]
    at_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class Case:
    """A load and what happens to the gateways.

    `phases` holds (time in s, tokens asked as a multiple of the rate). `cost` is the
    mean size of a request.
    """

    gateways: int
    seconds: float
    phases: tuple[tuple[float, float], ...]
    losses: tuple[Loss, ...] = ()
    rate: float = 50_000.0
    burst: float = 50_000.0
    slack: float = 110_000.0
    cost: float = 3000.0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What ran in the worst window, as a fraction of the bound, and what was refused.

    A single bucket, with nothing but the rate and the burst, would admit what is owed.
    `owed_refused` is the fraction of these requests that was refused, and `refused`
    that of all requests. `delivered` is the cost that ran as a fraction of the cost
    that was owed.
    """

    worst_window: float
    owed_refused: float
    refused: float
    delivered: float


class Gateway:
    """One gateway of the simulation, over its starts."""

    def __init__(self, simulation, number):
        self.simulation = simulation
        self.number = number
        self.name = f"g{number}"
        self.region = number % 2
        self.incarnation = 0
        self.away = None
        self.allotments = None

    def start(self, now_ms):
        """Begin without any knowledge."""
        simulation = self.simulation
        self.incarnation = 1 + LEAD_MS + now_ms
        self.allotments = allotments.Allotments(
            now_ms, simulation.case.slack, self.incarnation
        )
        self.allotments.configure((simulation.access,), now_ms)
        others = [each.name for each in simulation.gateways if each is not self]
        self.others = others
        self.started_ms = now_ms


class Simulation:
    """One run of a `Case`."""

    def __init__(self, case):
        self.case = case
        self.rng = random.Random(case.seed)
        allotment = catalog.Allotment(
            catalog.AllotmentUnit.TOKENS, case.rate, case.burst
        )
        self.access = catalog.WorkspaceAccess(WORKSPACE, ("k",), allotment)
        self.gateways = [Gateway(self, number) for number in range(case.gateways)]
        self.weights = [self.rng.uniform(0.5, 1.5) for _ in self.gateways]
        self.reports = []
        self.numbers = itertools.count()
        self.ran = []
        self.owed = collections.Counter()
        self.reference_level = case.burst
        self.owed_cost = 0.0
        self.backlog = collections.defaultdict(list)
        self.unread = collections.defaultdict(list)

    def run(self):
        """Run to the end and return the `Outcome`."""
        for gateway in self.gateways:
            gateway.start(-LEAD_MS)
        for now_ms in range(-LEAD_MS, int(1000 * self.case.seconds), STEP_MS):
            self.apply_losses(now_ms)
            self.deliver_reports(now_ms)
            self.send_reports(now_ms)
            if now_ms >= 0:
                self.send_requests(now_ms)
        return self.outcome()

    # Losses.

    def apply_losses(self, now_ms):
        """Let gateways go and come back."""
        for loss in self.case.losses:
            if int(1000 * loss.at_s) // STEP_MS == now_ms // STEP_MS:
                for number in loss.gateways:
                    self.lose(self.gateways[number], loss, now_ms)
        for gateway in self.gateways:
            loss = gateway.away
            if loss is not None and now_ms >= 1000 * (loss.at_s + loss.for_s):
                self.bring_back(gateway, now_ms)

    def lose(self, gateway, loss, now_ms):
        """Let a gateway go."""
        gateway.away = loss
        if loss.how == "stopped":
            self.report(gateway, now_ms)

    def bring_back(self, gateway, now_ms):
        """Let a gateway come back."""
        loss, gateway.away = gateway.away, None
        if loss.how in ("killed", "stopped"):
            gateway.start(now_ms)
        if loss.how == "frozen":
            gateway.allotments.begin_catch_up(now_ms)
            for source, incarnation, report in self.unread.pop(gateway.number, ()):
                gateway.allotments.record_report(source, incarnation, report, now_ms)
            gateway.allotments.end_catch_up(now_ms, 1000 * loss.for_s)
            for cost, is_owed in self.backlog.pop(gateway.number, ()):
                self.offer(gateway, cost, is_owed, now_ms)

    def is_serving(self, gateway, now_ms):
        """Return whether a gateway takes requests."""
        loss = gateway.away
        if now_ms < gateway.started_ms + READY_MS:
            return False
        if loss is None or loss.how == "frozen":
            return True
        return loss.how == "cut" and now_ms < 1000 * (loss.at_s + LEASE_S)

    # Reports.

    def send_reports(self, now_ms):
        """Let each gateway report at its interval."""
        for gateway in self.gateways:
            offset_ms = gateway.number * 37 % REPORT_INTERVAL_MS // STEP_MS * STEP_MS
            if gateway.away is None and now_ms % REPORT_INTERVAL_MS == offset_ms:
                self.report(gateway, now_ms)

    def report(self, gateway, now_ms):
        """Send what a gateway has spent to the others."""
        report = gateway.allotments.report(now_ms)
        report = dataclasses.replace(report, spent=dict(report.spent))
        message = gateway.incarnation, report
        for region in (0, 1):
            at_ms = now_ms + self.delay_ms(gateway.region == region)
            item = at_ms, next(self.numbers), gateway, region, message
            heapq.heappush(self.reports, item)

    def delay_ms(self, is_own_region):
        """Return how long a report takes."""
        half = len(self.gateways) / 2
        if is_own_region:
            batch_ms = max(20, 1000 * half / OWN_REGION_DATAGRAMS_PER_SECOND)
            return BUSY_DELAY_MS + OWN_REGION_DELAY_MS + batch_ms
        batch_ms = max(100, 1000 * half / OTHER_REGIONS_DATAGRAMS_PER_SECOND)
        return BUSY_DELAY_MS + OTHER_REGION_DELAY_MS + batch_ms

    def deliver_reports(self, now_ms):
        """Deliver the reports that have arrived to those that are there."""
        while self.reports and self.reports[0][0] <= now_ms:
            _, _, source, region, (incarnation, report) = heapq.heappop(self.reports)
            if source.away is not None and source.away.how == "cut":
                continue
            for gateway in self.gateways:
                if gateway is source or gateway.region != region:
                    continue
                if gateway.away is not None and gateway.away.how == "frozen":
                    item = source.name, incarnation, report
                    self.unread[gateway.number].append(item)
                if gateway.away is not None:
                    continue
                if now_ms < gateway.started_ms + LISTED_MS:
                    continue
                if not gateway.allotments.knows_peers:
                    gateway.allotments.set_peers(gateway.others, now_ms)
                gateway.allotments.record_report(
                    source.name, incarnation, report, now_ms
                )

    # Requests.

    def send_requests(self, now_ms):
        """Let the workspace send what it does in one step."""
        asked = [x for at_s, x in self.case.phases if 1000 * at_s <= now_ms][-1]
        left = asked * self.case.rate * STEP_MS / 1000 / self.case.cost
        while left > 0:
            if self.rng.random() < left:
                self.send_request(now_ms)
            left -= 1
        refill = self.case.rate * STEP_MS / 1000
        self.reference_level = min(self.case.burst, self.reference_level + refill)

    def send_request(self, now_ms):
        """Send one request to some gateway."""
        cost = min(12 * self.case.cost, 100 + self.rng.expovariate(1 / self.case.cost))
        is_owed = self.reference_level >= min(cost, self.case.burst)
        if is_owed:
            self.reference_level -= cost
            self.owed_cost += cost
        while True:
            (gateway,) = self.rng.choices(self.gateways, self.weights)
            if self.is_serving(gateway, now_ms):
                break
            if not any(self.is_serving(each, now_ms) for each in self.gateways):
                return
        if gateway.away is not None and gateway.away.how == "frozen":
            self.backlog[gateway.number].append((cost, is_owed))
            return
        self.offer(gateway, cost, is_owed, now_ms)

    def offer(self, gateway, cost, is_owed, now_ms):
        """Ask a gateway to admit a request, and count the result."""
        is_refused = gateway.allotments.acquire(WORKSPACE, cost, now_ms) > 0
        self.owed[is_owed, is_refused] += 1
        if not is_refused:
            self.ran.append((now_ms, cost))

    def outcome(self):
        """Return what came out."""
        case, owed = self.case, self.owed
        bound = (case.rate * WINDOW_S + case.burst) * (1 + OVERRUN) + case.slack
        total, worst, first = 0.0, 0.0, 0
        for at_ms, cost in self.ran:
            total += cost
            while self.ran[first][0] <= at_ms - 1000 * WINDOW_S:
                total -= self.ran[first][1]
                first += 1
            worst = max(worst, total)
        refused = owed[True, True] + owed[False, True]
        return Outcome(
            worst / bound,
            owed[True, True] / max(1, owed[True, True] + owed[True, False]),
            refused / max(1, sum(owed.values())),
            sum(cost for _, cost in self.ran) / max(1.0, self.owed_cost),
        )


def simulate(case):
    """Run a `Case` and return its `Outcome`."""
    return Simulation(case).run()


def roll(count, at_s, over_s, down_s, how="stopped"):
    """Return the losses of gateways that are restarted one after another."""
    return tuple(
        Loss(how, (number,), at_s + over_s * number / count, down_s)
        for number in range(count)
    )
