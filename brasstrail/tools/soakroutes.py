"""Routes that change in a soak run, and the checks that changes are in force.

Each document of a run has some routes of its own, besides the fixed ones: they are
added, moved to another service, split and dropped, and their time-outs change. One
route, the stamp, is in no other document, and tells one document from another under the
same version. A run may have thousands of further routes, which nobody requests.

Callers send probes on these routes to the gateways. What becomes of a probe shows which
documents the gateway may have used: those under which its route exists, or not, and
leads to the service that ran it.
"""

import asyncio
import collections
import dataclasses
import random
import time

from brasstrail.fakes import fleetcalls, fleetdocuments
from brasstrail.tools import soakcheck

SERVICES = (fleetcalls.PLAIN_SERVICE, fleetcalls.ENGINE_SERVICE)
# The number of routes that come and go, and how likely each change is in a document.
MAX_CHANGING_ROUTES = 12
ADD_PROBABILITY = 0.7
MOVE_PROBABILITY = 0.5
DROP_PROBABILITY = 0.3
# How many earlier documents the probes ask for, and how often one is sent.
PROBED_DOCUMENTS = 4
PROBE_INTERVAL_S = 0.05
PROBE_DEADLINE_S = 4.0
# Time-outs that change with each document, in milliseconds.
MIN_TIMEOUT_MS = 2000
MAX_TIMEOUT_MS = 8000
# A gateway may use an earlier document for this long after it has used a newer one.
DOWNGRADE_LIMIT_S = 0.25
# A storm sends a document each 0.1 s, without waiting for acknowledgements.
STORM_INTERVAL_S = 0.1


class RoutePlan:
    """The changing routes of the documents of a run.

    Parameters
    ----------
    seed : seed of the random draws.
    fixed_count : how many further routes each document has.

    Attributes
    ----------
    routes : the services of each changing route, by name.
    fixed : the further routes, as JSON objects.
    """

    def __init__(self, seed, fixed_count):
        self.random = random.Random(seed)
        self.count = 0
        self.routes = {}
        self.fixed = [
            self.make_route(f"fixed-{number}", SERVICES[:1])
            for number in range(fixed_count)
        ]

    def make_route(self, name, services):
        """Return the JSON object of a route with a drawn time-out."""
        return fleetdocuments.make_route(name, services, self.draw_timeout_ms())

    def draw_timeout_ms(self):
        """Return the time-out of a route in milliseconds."""
        return self.random.randint(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)

    def change(self):
        """Change the routes for the next document; return the name of its stamp."""
        draw = self.random
        self.count += 1
        if draw.random() < DROP_PROBABILITY or len(self.routes) >= MAX_CHANGING_ROUTES:
            if self.routes:
                del self.routes[draw.choice(sorted(self.routes))]
        if draw.random() < ADD_PROBABILITY:
            self.routes[f"added-{self.count}"] = self.draw_services()
        if self.routes and draw.random() < MOVE_PROBABILITY:
            self.routes[draw.choice(sorted(self.routes))] = self.draw_services()
        return f"stamp-{self.count}"

    def draw_services(self):
        """Return one service or both."""
        return self.random.choice((SERVICES[:1], SERVICES[1:], SERVICES))

    def add_routes(self, document):
        """Add the routes of the next document to it; return their services by name."""
        stamp = self.change()
        routes = {**self.routes, stamp: SERVICES[:1]}
        for route in self.random.sample(self.fixed, min(3, len(self.fixed))):
            fleetdocuments.set_timeout(route, self.draw_timeout_ms())
        document["routes"] += [
            self.make_route(name, services) for name, services in routes.items()
        ]
        document["routes"] += self.fixed
        return routes


@dataclasses.dataclass
class RefusedDocument:
    """A document that must not come into force.

    `route` is a route that only this document has. `must_be_refused` is false for
    documents whose version is not higher than one in force: those may be acknowledged,
    and change nothing. `statuses` are those of its answers.
    """

    kind: str
    route: str
    must_be_refused: bool
    statuses: list = dataclasses.field(default_factory=list)


async def send_refused_document(load):
    """Send a document that must not come into force, of a drawn kind."""
    kind = load.random.choice(
        (*fleetdocuments.INVALID, "cut short", "old version", "same version")
    )
    acknowledged = [
        each.version for each in load.observations.documents if each.acknowledged_at
    ]
    if not acknowledged:
        return
    version = load.version + 1
    if kind in ("old version", "same version"):
        version = min(acknowledged) if kind == "old version" else max(acknowledged)
    document = load.make_document(version)
    load.plan.count += 1
    name = f"refused-{load.plan.count}"
    document["routes"].append(load.plan.make_route(name, SERVICES[:1]))
    if kind in fleetdocuments.INVALID:
        fleetdocuments.INVALID[kind](document)
    refused = RefusedDocument(kind, name, kind not in ("old version", "same version"))
    load.observations.refused_documents.append(refused)
    for host in load.random.sample(load.controls, 2):
        status = await fleetcalls.put_document(
            host, document, load.operator_timeout_s, is_cut=kind == "cut short"
        )
        refused.statuses.append(status)


# Probes.


@dataclasses.dataclass(frozen=True)
class Probe:
    """A request on a route that changes, and what became of it."""

    identity: str
    route: str
    gateway: str
    sent_at: float
    ended_at: float
    status: int


async def run_prober(load):
    """Send probes until the load is stopped, on a connection to each gateway."""
    callers = {name: fleetcalls.Caller() for name in load.gateways}
    while not load.stopped:
        gateway = load.random.choice(sorted(load.gateways))
        route = draw_route(load)
        if route is not None:
            reply = load.make_reply(route, "", gateway)
            address = load.gateways[gateway]
            await callers[gateway].call(address, reply, 0, PROBE_DEADLINE_S)
            load.observations.probes.append(
                Probe(
                    reply.identity,
                    route,
                    gateway,
                    reply.sent_at,
                    reply.ended_at,
                    reply.status if reply.is_complete else 0,
                )
            )
        await asyncio.sleep(PROBE_INTERVAL_S)
    for caller in callers.values():
        caller.close()


def draw_route(load):
    """Return a route of the latest documents, or of one that must not be in force."""
    documents = load.observations.documents[-PROBED_DOCUMENTS:]
    names = sorted({name for each in documents for name in each.routes})
    refused = load.observations.refused_documents[-PROBED_DOCUMENTS:]
    names += [each.route for each in refused]
    return load.random.choice(names) if names else None


# Checks.


def services_by_probe(observations):
    """Return the services that ran each probe, by the probe's identity."""
    services = collections.defaultdict(set)
    probes = {each.identity for each in observations.probes}
    for record in observations.records:
        if record["event"] == "start" and record["id"] in probes:
            services[record["id"]].add(record["service"])
    return services


def allows(routes, probe, services):
    """Return whether a probe could end so under a document with these routes.

    The result is None if the probe does not show which routes were in force.
    """
    if probe.status == 404:
        return probe.route not in routes
    if services:
        return services <= set(routes.get(probe.route, ()))
    return None


@soakcheck.check("a change is in force in time")
def find_late_changes(observations):
    """Find probes that ended as only documents allow that had long been replaced."""
    services = services_by_probe(observations)
    for probe in observations.probes:
        before = probe.sent_at - soakcheck.DOCUMENT_IN_FORCE_LIMIT_S
        newest = soakcheck.newest_acknowledged_version(observations, before)
        possible = [
            allows(each.routes, probe, services[probe.identity])
            for each in observations.documents
            if each.version >= newest and each.sent_at < probe.ended_at
        ]
        if any(each is None or each for each in possible) or not possible:
            continue
        begin_at = probe.sent_at - soakcheck.CONTACT_LIMIT_S
        if not observations.had_fault(probe.gateway, begin_at, probe.ended_at, False):
            yield probe, newest, sorted(services[probe.identity])


@soakcheck.check("a gateway does not go back")
def find_downgrades(observations):
    """Find probes that ended as only documents allow that the gateway had replaced."""
    services = services_by_probe(observations)
    floors = {}
    for probe in sorted(observations.probes, key=lambda each: each.sent_at):
        ran = services[probe.identity]
        versions = [
            each.version
            for each in observations.documents
            if each.sent_at < probe.ended_at and allows(each.routes, probe, ran)
        ]
        if not versions:
            continue
        known = floors.setdefault(probe.gateway, [])
        since = known[0][0] if known else probe.sent_at
        if observations.had_fault(probe.gateway, since, probe.ended_at, False):
            known.clear()
        floor = max(
            (
                version
                for ended_at, version in known
                if ended_at + DOWNGRADE_LIMIT_S < probe.sent_at
            ),
            default=0,
        )
        if max(versions) < floor:
            yield probe, max(versions), floor
        known.append((probe.ended_at, min(versions)))


@soakcheck.check("what is refused stays out of force")
def find_refused_in_force(observations):
    """Find invalid documents that were acknowledged, and probes of their routes."""
    routes = {each.route: each.kind for each in observations.refused_documents}
    for each in observations.refused_documents:
        if each.must_be_refused and 200 in each.statuses:
            yield each
    for probe in observations.probes:
        if probe.route in routes and probe.status == 200:
            yield probe, routes[probe.route]


@soakcheck.check("a version has one content")
def find_changed_contents(observations):
    """Find reads of a version with a content that was not sent, or that had another."""
    sent = collections.defaultdict(set)
    for each in observations.documents:
        sent[each.version].add(stamp_of(each.routes))
    read = {}
    for each in observations.reads:
        stamp = stamp_of(each.routes)
        if stamp not in sent[each.version]:
            yield each.version, stamp
        elif read.setdefault(each.version, stamp) != stamp:
            yield each.version, read[each.version], stamp


def stamp_of(routes):
    """Return the stamp among the names of routes, or an empty string."""
    return next((name for name in routes if name.startswith("stamp-")), "")


@soakcheck.check("service is back soon after everything was lost")
def find_late_returns(observations):
    """Find losses of everything after which too little was served in time.

    The users' bound is a quarter of what is sent later than 12 s after the return;
    ours is nine tenths of what is sent later than 5 s.
    """
    for back_at, end_at in observations.returns:
        for limit_s, fraction in (
            (soakcheck.OWN_RECOVERY_LIMIT_S, soakcheck.MIN_RECOVERED_FRACTION),
            (soakcheck.RECOVERY_LIMIT_S, soakcheck.USERS_RECOVERED_FRACTION),
        ):
            replies = [
                reply
                for reply in observations.replies
                if back_at + limit_s <= reply.sent_at < end_at
                and reply.key == "key-steady"
                and not (reply.fatal or reply.fatal_part or reply.has_left)
            ]
            served = sum(each.status == 200 and each.is_complete for each in replies)
            if served < fraction * len(replies):
                yield back_at, limit_s, served, len(replies)


def describe(observations):
    """Return how many probes showed a document, and how many losses there were."""
    services = services_by_probe(observations)
    shown = sum(
        each.status == 404 or bool(services[each.identity])
        for each in observations.probes
    )
    refused = sum(each.must_be_refused for each in observations.refused_documents)
    returns = "; ".join(
        f"first answer {first_answer_s(observations, back_at):.1f} s after a return"
        for back_at, _ in observations.returns
    )
    return (
        f"{shown} of {len(observations.probes)} probes, {refused} invalid documents"
        + (f", {returns}" if returns else "")
    )


def first_answer_s(observations, back_at):
    """Return how long after a return the first answer was sent, in seconds."""
    return (
        min(
            (
                each.ended_at
                for each in observations.replies
                if each.sent_at > back_at and each.status == 200
            ),
            default=time.time(),
        )
        - back_at
    )
