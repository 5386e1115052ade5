"""Tests of the log reader on recorded lines."""

import unittest

from brasstrail.tools import logreader

RECORDED = [
    '1.2 h1 {"node": "g1", "server": "a", "phase": "ready", "event": "gateway: News of a server.", "timestamp": "2026-01-01T00:00:01Z"}',  # noqa: E501
    '1.3 h2 {"node": "g2", "server": "a", "phase": "leaving", "event": "gateway: News of a server.", "timestamp": "2026-01-01T00:00:02Z"}',  # noqa: E501
    "no line of ours",
    '{"node": "g1", "id": "7", "servers": "a", "outcome": "broken", "event": "forwarding: A request ended.", "timestamp": "2026-01-01T00:00:03Z"}',  # noqa: E501
    '{"node": "g1", "server": "a", "phase": "gone", "event": "gateway: News of a server.", "timestamp": "2026-01-01T00:00:04Z"}',  # noqa: E501
    '{"broken": ',
]


class FollowTest(unittest.TestCase):
    """One request, with what its own gateway believed before."""

    def test_a_request_with_the_last_news_of_its_server_before_it(self):
        lines = logreader.read([RECORDED])
        found = logreader.follow_request(lines, "7")
        self.assertEqual(
            [(line.node, line.fields.get("phase")) for line in found],
            [("g1", "ready"), ("g1", None)],
        )

    def test_an_unknown_request_gives_nothing(self):
        self.assertEqual(logreader.follow_request(logreader.read([RECORDED]), "8"), [])

    def test_a_server_across_hosts_in_order_of_time(self):
        lines = logreader.read([list(reversed(RECORDED))])
        found = logreader.follow_field(lines, "server", "a")
        self.assertEqual(
            [line.fields["phase"] for line in found], ["ready", "leaving", "gone"]
        )


if __name__ == "__main__":
    unittest.main()
