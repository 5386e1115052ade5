"""Tests that the checks of changing routes see each violation."""

import unittest

import orjson

from brasstrail.fakes import fleetcalls, fleetdocuments
from brasstrail.platform import documents
from brasstrail.tools import soakcheck, soakroutes

PLAIN, ENGINE = soakroutes.SERVICES


def make_sent(version, routes, acknowledged_at=None, sent_at=0.0):
    """Return a document that was sent, with these services by route."""
    return soakcheck.SentDocument(
        version, frozenset(), sent_at, acknowledged_at, routes
    )


def make_probe(route, status, sent_at=100.0, identity="p"):
    """Return a probe at gateway "g"."""
    return soakroutes.Probe(identity, route, "g", sent_at, sent_at + 0.1, status)


def find(observations, guarantee):
    """Return the violations of one guarantee."""
    return list(soakcheck.CHECKS[guarantee](observations))


class RouteCheckTest(unittest.TestCase):
    """Two documents: the second adds a route, drops one, and moves one."""

    IN_TIME = "a change is in force in time"
    NO_STEP_BACK = "a gateway does not go back"

    def setUp(self):
        self.observations = soakcheck.Observations(
            documents=[
                make_sent(1, {"dropped": (PLAIN,), "moved": (PLAIN,)}, 1.0),
                make_sent(2, {"added": (PLAIN,), "moved": (ENGINE,)}, 10.0, 9.0),
            ]
        )

    def probe(self, route, status, sent_at=100.0, service=None):
        """Add a probe that a server of a service has run, if one is given."""
        identity = f"p{len(self.observations.probes)}"
        probe = make_probe(route, status, sent_at, identity)
        self.observations.probes.append(probe)
        if service:
            record = {"event": "start", "id": identity, "service": service, "at": 1}
            self.observations.records.append({**record, "server": "i-1"})

    def test_each_way_to_be_late_is_seen(self):
        for route, status, service in (
            ("added", 404, None),
            ("dropped", 200, PLAIN),
            ("moved", 200, PLAIN),
        ):
            with self.subTest(route):
                self.setUp()
                self.probe(route, status, service=service)
                self.assertEqual(len(find(self.observations, self.IN_TIME)), 1)

    def test_what_the_newest_document_allows_is_in_time(self):
        self.probe("added", 200, service=PLAIN)
        self.probe("dropped", 404)
        self.probe("moved", 200, service=ENGINE)
        self.probe("added", 503)
        self.assertEqual(find(self.observations, self.IN_TIME), [])

    def test_late_change_counts_only_after_the_limit_and_without_faults(self):
        self.probe("added", 404, sent_at=12.9)
        self.assertEqual(find(self.observations, self.IN_TIME), [])
        self.probe("added", 404, sent_at=13.1)
        self.assertEqual(len(find(self.observations, self.IN_TIME)), 1)
        self.observations.faults.append(soakcheck.Fault("g", 10.0, 12.0, False))
        self.assertEqual(find(self.observations, self.IN_TIME), [])

    def test_step_back_is_seen_unless_the_gateway_had_a_fault(self):
        self.probe("added", 200, sent_at=11.0, service=PLAIN)
        self.probe("dropped", 200, sent_at=11.2, service=PLAIN)
        self.assertEqual(find(self.observations, self.NO_STEP_BACK), [])
        self.probe("dropped", 200, sent_at=11.5, service=PLAIN)
        self.assertEqual(len(find(self.observations, self.NO_STEP_BACK)), 1)
        self.observations.faults.append(soakcheck.Fault("g", 11.3, 11.4))
        self.assertEqual(find(self.observations, self.NO_STEP_BACK), [])

    def test_refused_document_that_is_acknowledged_or_in_force_is_seen(self):
        guarantee = "what is refused stays out of force"
        refused = soakroutes.RefusedDocument("cut short", "refused-1", True, [400])
        self.observations.refused_documents.append(refused)
        self.assertEqual(find(self.observations, guarantee), [])
        refused.statuses.append(200)
        self.assertEqual(len(find(self.observations, guarantee)), 1)
        self.probe("refused-1", 200)
        self.assertEqual(len(find(self.observations, guarantee)), 2)

    def test_changed_content_of_a_version_is_seen(self):
        guarantee = "a version has one content"
        self.observations.documents = [
            make_sent(1, {"stamp-1": (PLAIN,)}),
            make_sent(1, {"stamp-2": (PLAIN,)}),
        ]
        reads = self.observations.reads
        reads.append(soakcheck.Read(1.0, 1, frozenset({"stamp-1"})))
        self.assertEqual(find(self.observations, guarantee), [])
        reads.append(soakcheck.Read(2.0, 1, frozenset({"stamp-2"})))
        self.assertEqual(len(find(self.observations, guarantee)), 1)
        reads[1:] = [soakcheck.Read(2.0, 1, frozenset({"stamp-3"}))]
        self.assertEqual(len(find(self.observations, guarantee)), 1)

    def test_late_return_is_seen(self):
        guarantee = "service is back soon after everything was lost"
        self.observations.returns.append((100.0, 115.0))
        for sent_at in (106.0, 113.0):
            reply = fleetcalls.Reply("r", "look", "key-steady", "g", sent_at)
            self.observations.replies.append(reply)
        self.assertEqual(len(find(self.observations, guarantee)), 2)
        for reply in self.observations.replies:
            reply.status, reply.is_complete = 200, True
        self.assertEqual(find(self.observations, guarantee), [])


class RoutePlanTest(unittest.TestCase):
    """The documents that the plan makes."""

    def test_documents_are_valid_and_change(self):
        plan = soakroutes.RoutePlan(1, 20)
        stamps = set()
        for version in range(1, 60):
            document = fleetcalls.make_document(version, ())
            routes = plan.add_routes(document)
            documents.decode(orjson.dumps(document))
            stamps.add(soakroutes.stamp_of(routes))
        self.assertEqual(len(stamps), 59)

    def test_each_invalid_document_is_refused(self):
        plan = soakroutes.RoutePlan(1, 20)
        for name, make_invalid in fleetdocuments.INVALID.items():
            workspace = fleetcalls.Workspace("steady", ("key-steady",))
            document = fleetcalls.make_document(1, (workspace,))
            plan.add_routes(document)
            make_invalid(document)
            with self.subTest(name), self.assertRaises(documents.errors.InvalidChange):
                documents.decode(orjson.dumps(document))


if __name__ == "__main__":
    unittest.main()
