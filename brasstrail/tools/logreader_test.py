"""Tests of the log reader with recorded lines."""

import unittest

from brasstrail.tools import logreader

RECORDED_LINES = [
    '1.2 h1 {"node": "g1", "server": "a", "phase": "ready", "event": "gateway: News of a server.", "timestamp": "2026-01-01T00:00:01Z"}',  # noqa: E501
    '1.3 h2 {"node": "g2", "server": "a", "phase": "leaving", "event": "gateway: News of a server.", "timestamp": "2026-01-01T00:00:02Z"}',  # noqa: E501
    "not a structured line",
    '{"node": "g1", "id": "7", "servers": "a", "outcome": "broken", "event": "forwarding: A request ended.", "timestamp": "2026-01-01T00:00:03Z"}',  # noqa: E501
    '{"node": "g1", "server": "a", "phase": "gone", "event": "gateway: News of a server.", "timestamp": "2026-01-01T00:00:04Z"}',  # noqa: E501
    '{"broken": ',
]


class LogReaderTest(unittest.TestCase):
    """The lines of one request or server out of the logs of several hosts."""

    def test_request_includes_latest_earlier_server_line(self):
        lines = logreader.read([RECORDED_LINES])
        found = logreader.find_request_lines(lines, "7")
        self.assertEqual(
            [(line.node, line.fields.get("phase")) for line in found],
            [("g1", "ready"), ("g1", None)],
        )

    def test_unknown_request_returns_no_lines(self):
        self.assertEqual(
            logreader.find_request_lines(logreader.read([RECORDED_LINES]), "8"), []
        )

    def test_server_lines_of_all_hosts_are_sorted_by_time(self):
        lines = logreader.read([list(reversed(RECORDED_LINES))])
        found = logreader.find_lines_by_field(lines, "server", "a")
        self.assertEqual(
            [line.fields["phase"] for line in found], ["ready", "leaving", "gone"]
        )


if __name__ == "__main__":
    unittest.main()
