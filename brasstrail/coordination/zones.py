"""Locality-aware routing: which requests of a gateway leave its data centre.

`Zones` has no sockets and no clock; a `pool.Pool` asks it which of the servers with
room gets a request. A request stays in its data centre while a server there is expected
to begin its answer well within its goal. While no server there has room, it leaves if
the time that it gains is worth more than the price of the distance. The share of such
requests that leave follows the shortage at a bounded rate; those that would miss their
goal by waiting leave at once.

All state is that of one gateway. What it knows of servers elsewhere is what gateways
tell each other of their load in any case.
"""

import dataclasses
import enum
import math
import zlib

# A request stays, or waits for a server of its data centre, if its first answer is
# expected within this fraction of the time that is left to its goal. The rest
# covers errors of the estimate, and the way to another data centre if it leaves later.
GOAL_FRACTION = 0.25
# A request leaves a local server with room also if that gains it, beyond the price,
# more than this fraction of the time that is left to its goal. Otherwise requests stay
# at slow servers while fast ones elsewhere are free: emulated, the worth of deployment
# T fell from 0.983 to 0.964.
GAIN_FRACTION = 0.05
# The share of requests that leaves moves by at most a tenth in 100 ms, so that the
# gateways see in each other's reports (20 ms within a region, 100 ms to others) what
# a change does before they go on with it.
SHARE_CHANGE_PER_MS = 0.001
# Time constant of the moving average of the shortage: long enough to cover several
# requests of a gateway with ten a second.
SHORTAGE_AVERAGE_MS = 500.0
# Weight of a new connect time in the moving average of a data centre.
ROUND_TRIP_SMOOTHING_FACTOR = 0.2
# A request on a new connection takes two round trips to its first answer: one for the
# connection and one for the request.
ROUND_TRIPS = 2.0
# A server with a higher failure rate is used only if there is no other: the rate of one
# that has failed twice in a row is 0.36 (`pool.FAILURE_RATE_SMOOTHING_FACTOR`).
MAX_FAILURE_RATE = 0.3
# A data centre or region is avoided after this many failed connects in a row, for this
# long: one failure may be that of one server, and a cut link is tried by few requests.
CUT_FAILURES = 2
CUT_AVOIDANCE_MS = 1000
# A data centre is short from this load on: the capacity of an engine with 6 slots is 8
# (`pool.ENGINE_QUEUE_REQUESTS`), so that its slots are full at three quarters.
SHORT_LOAD = 0.75
# Size of an answer for each expected output token: an event of a few tokens with its
# framing takes 100 to 200 bytes.
ANSWER_BYTES_PER_TOKEN = 40
BYTES_PER_KB = 1000.0


class Distance(enum.StrEnum):
    """How far a server is from a gateway."""

    DATA_CENTRE = "data_centre"
    REGION = "region"
    OTHER_REGION = "other_region"


class Reason(enum.StrEnum):
    """Why a request was sent where it was sent."""

    LOCAL = "local"
    SOONER = "sooner"
    SHORTAGE = "shortage"
    GOAL = "goal"
    RETRY = "retry"
    NO_LOCAL_SERVER = "no_local_server"
    RETURNING = "returning"


def find_distance(node, regions, data_centre):
    """Return the `Distance` of a data centre from a `settings.Node`."""
    if data_centre == node.data_centre:
        return Distance.DATA_CENTRE
    if regions.get(data_centre) == node.region:
        return Distance.REGION
    return Distance.OTHER_REGION


def is_sound(server):
    """Return whether a `pool.Server` is heard of and does not fail often."""
    return not server.silent and server.failure_rate <= MAX_FAILURE_RATE


def transfer_bytes(body_bytes, output_tokens):
    """Return the expected size of a request and its answer, in bytes."""
    return body_bytes + ANSWER_BYTES_PER_TOKEN * output_tokens


@dataclasses.dataclass(frozen=True)
class Selection:
    """The server that gets a request, and why.

    `best` is (score, identity, server), or None if the request waits.
    """

    best: tuple | None
    reason: Reason = Reason.LOCAL


@dataclasses.dataclass
class Spill:
    """The share of a service's requests that leaves.

    Attributes
    ----------
    shortage : moving average of whether no server of the data centre had room, 0 to 1.
    share : the share of requests without a local server with room that may leave.
    returning : the share that still leaves after the local servers were lost and have
        come back.
    updated_ms : the time of the last update, or None before the first.
    """

    shortage: float = 0.0
    share: float = 0.0
    returning: float = 0.0
    updated_ms: int | None = None

    def update(self, is_short, now_ms):
        """Record whether no local server has room, and move the share."""
        if self.updated_ms is None:
            self.updated_ms = now_ms
        elapsed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = max(self.updated_ms, now_ms)
        weight = 1.0 - math.exp(-elapsed_ms / SHORTAGE_AVERAGE_MS)
        self.shortage += weight * (float(is_short) - self.shortage)
        largest_change = SHARE_CHANGE_PER_MS * elapsed_ms
        change = self.shortage - self.share
        self.share += max(-largest_change, min(largest_change, change))
        self.returning = max(0.0, self.returning - largest_change)


@dataclasses.dataclass
class ZoneLoad:
    """The load of the servers of a service in a data centre, over all gateways."""

    capacity: float = 0.0
    running: int = 0

    @property
    def load(self):
        """The running requests for each unit of capacity."""
        return self.running / max(1.0, self.capacity)


@dataclasses.dataclass
class Path:
    """What is known of the way to a data centre, or to another region.

    `connect_ms` is a moving average, or None before the first connection. `failures`
    counts failed connects in a row, the last at `failed_ms`.
    """

    connect_ms: float | None = None
    failures: int = 0
    failed_ms: int = 0

    def is_cut(self, now_ms):
        """Return whether servers beyond it are avoided."""
        is_recent = now_ms - self.failed_ms < CUT_AVOIDANCE_MS
        return self.failures >= CUT_FAILURES and is_recent


class Zones:
    """The decisions of one gateway on distances.

    Parameters
    ----------
    node : `settings.Node` of the gateway.
    regions : the region of each data centre.
    link_cost : `settings.LinkCost`.

    Attributes
    ----------
    spills : `Spill` by service.
    paths : `Path` by data centre within the region, and by other region: all data
        centres of another region are behind one link.
    """

    def __init__(self, node, regions, link_cost):
        self.node = node
        self.regions = regions
        self.cost_ms_per_kb = {
            Distance.DATA_CENTRE: 0.0,
            Distance.REGION: link_cost.region,
            Distance.OTHER_REGION: link_cost.other_region,
        }
        self.distances = {}
        self.spills = {}
        self.paths = {}

    def distance(self, data_centre):
        """Return the `Distance` of a data centre."""
        if data_centre not in self.distances:
            self.distances[data_centre] = find_distance(
                self.node, self.regions, data_centre
            )
        return self.distances[data_centre]

    def path_name(self, data_centre):
        """Return the key in `paths` of the way to a data centre."""
        if self.distance(data_centre) is Distance.OTHER_REGION:
            return self.regions.get(data_centre, data_centre)
        return data_centre

    # Prices.

    def price_ms(self, data_centre, default_ms, work):
        """Return the price of a distance in ms: round trips and transferred bytes.

        `default_ms` stands for the round trips while none has been measured. Within
        the data centre the price is 0.
        """
        distance = self.distance(data_centre)
        if distance is Distance.DATA_CENTRE:
            return 0.0
        path = self.paths.get(self.path_name(data_centre))
        is_measured = path is not None and path.connect_ms is not None
        round_trips_ms = ROUND_TRIPS * path.connect_ms if is_measured else default_ms
        size_kb = work.transfer_bytes / BYTES_PER_KB
        return round_trips_ms + size_kb * self.cost_ms_per_kb[distance]

    def record_connect(self, data_centre, elapsed_ms):
        """Record how long a connection to a data centre took to open."""
        path = self.paths.setdefault(self.path_name(data_centre), Path())
        path.failures = 0
        previous_ms = elapsed_ms if path.connect_ms is None else path.connect_ms
        path.connect_ms = previous_ms + ROUND_TRIP_SMOOTHING_FACTOR * (
            elapsed_ms - previous_ms
        )

    def record_connect_failure(self, data_centre, now_ms):
        """Record that a connection to a data centre could not be opened."""
        path = self.paths.setdefault(self.path_name(data_centre), Path())
        path.failures += 1
        path.failed_ms = now_ms

    def is_cut(self, data_centre, now_ms):
        """Return whether a data centre is avoided because connects to it failed."""
        path = self.paths.get(self.path_name(data_centre))
        return path is not None and path.is_cut(now_ms)

    # Decisions.

    def select(self, found, work, tried, now_ms, server_pool, openings):
        """Return the `Selection` for a request.

        Parameters
        ----------
        found : (score, identity, server) of the servers that have room.
        tried : the identities of servers that must not be chosen again; a request that
            was tried before does not wait for a local server.
        server_pool : `pool.Pool`.
        openings : `pool.Openings`.
        """
        local, remote = self.split(found)
        spill = self.spills.setdefault(work.service, Spill())
        is_first = not tried and work.software is None
        if is_first:
            spill.update(not local, now_ms)
        if local:
            best = min(local)
            if not self.is_good_enough(work, best, remote, now_ms):
                return self.select_sooner(best, remote, work, now_ms, openings)
            if not (spill.returning and self.draw(work) < spill.returning):
                return Selection(best)
        return self.select_remote(
            local, remote, work, is_first, now_ms, server_pool, openings
        )

    def split(self, found):
        """Return the sound servers found in the data centre, and the others."""
        local, remote = [], []
        for each in found:
            server = each[2]
            is_local = server.announcement.data_centre == self.node.data_centre
            chosen = local if is_local and is_sound(server) else remote
            chosen.append(each)
        return local, remote

    def is_within_goal(self, work, delay_ms, now_ms):
        """Return whether a delay leaves enough of the time to a request's goal."""
        return delay_ms <= GOAL_FRACTION * (work.first_answer_due_ms - now_ms)

    def is_good_enough(self, work, best, remote, now_ms):
        """Return whether a request stays at the best local server that has room."""
        if not self.is_within_goal(work, best[0], now_ms):
            return False
        gain_ms = best[0] - min(remote)[0] if remote else 0.0
        return gain_ms <= GAIN_FRACTION * (work.first_answer_due_ms - now_ms)

    def draw(self, work):
        """Return a number from 0 to 1 that is always the same for a request.

        A request that stays at one share stays until the share has risen.
        """
        return zlib.crc32(work.identity.encode()) / 2**32

    def select_sooner(self, local_best, remote, work, now_ms, openings):
        """Return the server with the lowest score: the local one is too slow."""
        best = self.best_remote(remote, work, now_ms, openings, is_urgent=True)
        if best is not None and best[0] < local_best[0]:
            return Selection(best, Reason.SOONER)
        return Selection(local_best)

    def select_remote(
        self, local, remote, work, is_first, now_ms, server_pool, openings
    ):
        """Return the selection for a request that no local server is to get.

        If `local` has servers, the local servers have come back a short time ago, and
        their load rises at a bounded rate.
        """
        if local:
            best = self.best_remote(remote, work, now_ms, openings, is_urgent=True)
            if best is not None and self.is_within_goal(work, best[0], now_ms):
                return Selection(best, Reason.RETURNING)
            return Selection(min(local))
        zone_loads = self.zone_loads(work, openings)
        own = zone_loads.get(self.node.data_centre)
        if own is None:
            self.spills[work.service].returning = 1.0
            reason = Reason.NO_LOCAL_SERVER
        elif not is_first:
            reason = Reason.RETRY
        else:
            reason = self.reason_to_leave(own, remote, work, now_ms, server_pool)
        if reason is None:
            return Selection(None)
        is_urgent = reason is not Reason.SHORTAGE
        best = self.best_remote(remote, work, now_ms, openings, is_urgent)
        return Selection(best, reason)

    def reason_to_leave(self, own, remote, work, now_ms, server_pool):
        """Return why a request does not wait for a local server, or None.

        Assumes that the other gateways of the data centre have as many requests waiting
        as this one, and that all of them go first.
        """
        if not remote:
            return Reason.GOAL
        gateways = server_pool.gateway_count / max(1, len(self.regions))
        ahead = max(1, len(server_pool.waiting)) * max(1.0, gateways)
        service_ms = server_pool.service_time_ms(work.service)
        local_ms = ahead * service_ms / max(1.0, own.capacity)
        local_ms += server_pool.prefill_time_ms(work, 0)
        if not self.is_within_goal(work, local_ms, now_ms):
            return Reason.GOAL
        gains = local_ms > min(remote)[0]
        if gains and self.draw(work) < self.spills[work.service].share:
            return Reason.SHORTAGE
        return None

    def best_remote(self, remote, work, now_ms, openings, is_urgent):
        """Return the best server elsewhere, or None.

        One to which connects fail, and a silent or failing one, gets a request only if
        there is no other and `is_urgent`. A data centre that is short and above the
        even load of all also gets one that gains more than `GAIN_FRACTION` there.
        """
        usable = [
            each
            for each in remote
            if is_sound(each[2])
            and not self.is_cut(each[2].announcement.data_centre, now_ms)
        ]
        if not usable:
            return min(remote, default=None) if is_urgent else None
        best = min(usable)
        open_zones = self.open_zones(work, openings)
        preferred = [
            each for each in usable if each[2].announcement.data_centre in open_zones
        ]
        if not preferred:
            return best if is_urgent else None
        best_preferred = min(preferred)
        largest_gain_ms = GAIN_FRACTION * (work.first_answer_due_ms - now_ms)
        if best_preferred[0] - best[0] > largest_gain_ms:
            return best
        return best_preferred

    def open_zones(self, work, openings):
        """Return the data centres that are not both short and above the even load."""
        zone_loads = self.zone_loads(work, openings)
        capacity = sum(each.capacity for each in zone_loads.values())
        running = sum(each.running for each in zone_loads.values())
        even_load = ZoneLoad(capacity, running).load
        return {
            data_centre
            for data_centre, each in zone_loads.items()
            if each.load <= max(even_load, SHORT_LOAD)
        }

    def zone_loads(self, work, openings):
        """Return the `ZoneLoad` of each data centre with sound servers for a work.

        They are found once for all requests that wait.
        """
        key = work.service, work.software, work.rule
        if key not in openings.zone_loads:
            loads = openings.zone_loads[key] = {}
            for server in openings.accepting:
                if work.may_run_on(server) and is_sound(server):
                    zone = loads.setdefault(server.announcement.data_centre, ZoneLoad())
                    zone.capacity += server.capacity
                    zone.running += openings.pool.total_running(server)
        return openings.zone_loads[key]
