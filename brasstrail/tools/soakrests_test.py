"""Tests that the checks of rests and of servers that leave see each violation."""

import unittest

from brasstrail.fakes import fleetcalls
from brasstrail.tools import soakcheck, soakrests

RESTS = "a rest that a server asks for is kept"
LEAVING = "a server that says that it leaves gets nothing more"


class RestCheckTest(unittest.TestCase):
    """One server, and requests through gateways."""

    def setUp(self):
        self.observations = soakcheck.Observations()

    def arrive(self, at, gateway="g", **details):
        """Record a request that arrives at the server, and is answered at once."""
        identity = f"r{len(self.observations.replies)}"
        reply = fleetcalls.Reply(identity, "look", "key-steady", gateway, at, at)
        reply.status, reply.is_complete = 200, True
        self.observations.replies.append(reply)
        record = {"event": "arrived", "at": at, "id": identity, "server": "i-1"}
        self.observations.records.append({**record, **details})

    def find(self, guarantee):
        """Return the violations of one guarantee."""
        return list(soakcheck.CHECKS[guarantee](self.observations))

    def test_third_request_within_a_rest_is_seen(self):
        self.arrive(100.0, rest=3.0)
        for at in (100.2, 100.4, 101.0, 102.9, 103.1):
            self.arrive(at)
        self.assertEqual(self.find(RESTS), [])
        self.arrive(101.5, gateway="other")
        self.assertEqual(self.find(RESTS), [])
        self.arrive(102.0)
        self.assertEqual(len(self.find(RESTS)), 1)
        self.observations.faults.append(soakcheck.Fault("g", 99.0, 100.0, False))
        self.assertEqual(self.find(RESTS), [])

    def test_request_long_after_an_answer_of_a_leaving_server_is_seen(self):
        self.arrive(100.0, leaving=True)
        self.arrive(103.0)
        self.arrive(104.0, gateway="other")
        self.assertEqual(self.find(LEAVING), [])
        self.arrive(103.1)
        self.assertEqual(len(self.find(LEAVING)), 1)

    def test_new_start_of_the_same_identity_has_neither(self):
        self.arrive(100.0, leaving=True, rest=9.0)
        up = {"event": "up", "at": 103.5, "server": "i-1"}
        self.observations.records.append(up)
        for at in (104.0, 104.1, 104.2):
            self.arrive(at)
        self.assertEqual((self.find(RESTS), self.find(LEAVING)), ([], []))
        self.arrive(103.4)
        self.assertEqual(len(self.find(LEAVING)), 1)

    def test_rests_are_described(self):
        self.arrive(100.0, rest=3.0)
        self.arrive(100.0, leaving=True)
        text = soakrests.describe(self.observations)
        self.assertEqual(text, "1 rests asked for, 1 answers of leaving servers")


if __name__ == "__main__":
    unittest.main()
