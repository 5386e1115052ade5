"""Tests of the charts and the summary of requests, with made-up log lines."""

import io
import pathlib
import tempfile
import unittest

import orjson

from brasstrail.tools import report


def make_line(second, outcome, status, tier=1, servers="i-1", waited_ms=5):
    """Return a gateway's log line for the end of a request."""
    fields = {
        "timestamp": f"2026-12-04T10:00:{second:02d}.500000Z",
        "node": "g1",
        "event": report.REQUEST_ENDED,
        "level": "info",
        "outcome": outcome,
        "status": status,
        "tier": tier,
        "servers": servers,
        "waited_ms": waited_ms,
        "total_ms": 400,
    }
    return "  1.0 host " + orjson.dumps(fields).decode() + "\n"


LINES = [
    make_line(10, "answered", 200),
    make_line(10, "answered", 200, servers="i-1,i-2", waited_ms=300),
    make_line(11, "overload", 503, tier=2, servers=""),
    make_line(12, "caller_gone", 0, tier=2, servers=""),
    make_line(12, "broken", 502, servers="i-2"),
    "not a line of the log\n",
]


class ReportTest(unittest.TestCase):
    """The counts, the chart file and the summary."""

    def setUp(self):
        lines = report.logreader.read([io.StringIO("".join(LINES))])
        self.requests = report.read_requests(lines)

    def test_count_by_tier_kind_and_arrival_second(self):
        fields = report.count_requests(self.requests)
        self.assertEqual(fields[1]["answered"], {0: 2})
        self.assertEqual(fields[1]["failed"], {2: 1})
        self.assertEqual(fields[2]["refused"], {1: 1})
        self.assertEqual(fields[2]["left"], {2: 1})

    def test_wait_quantiles_and_attempts_by_server(self):
        self.assertEqual(report.wait_quantiles(self.requests)[0], (300, 300))
        attempts = report.count_attempts_by_server(self.requests)
        self.assertEqual(attempts["i-2"], {0: 1, 2: 1})

    def test_report_writes_chart_and_summary(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.svg"
            rows = report.make_report([io.StringIO("".join(LINES))], path)
            self.assertGreater(path.stat().st_size, 1000)
        self.assertIn("overload", "\n".join(rows))

    def test_logs_without_requests_give_header_only(self):
        self.assertEqual(len(report.make_report([io.StringIO("")], "unused.svg")), 1)


if __name__ == "__main__":
    unittest.main()
