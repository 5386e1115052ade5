"""Tests of the picture of a time, on recorded lines."""

import io
import pathlib
import tempfile
import unittest

import orjson

from brasstrail.tools import report


def make_line(second, outcome, status, tier=1, servers="i-1", waited_ms=5):
    """Return a line of a gateway's log."""
    table = {
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
    return "  1.0 host " + orjson.dumps(table).decode() + "\n"


LINES = [
    make_line(10, "answered", 200),
    make_line(10, "answered", 200, servers="i-1,i-2", waited_ms=300),
    make_line(11, "overload", 503, tier=2, servers=""),
    make_line(12, "caller_gone", 0, tier=2, servers=""),
    make_line(12, "broken", 502, servers="i-2"),
    "not a line of the log\n",
]


class ReportTest(unittest.TestCase):
    """What is counted, and that a file comes of it."""

    def setUp(self):
        lines = report.logreader.read([io.StringIO("".join(LINES))])
        self.requests = report.read_requests(lines)

    def test_requests_are_counted_by_tier_kind_and_second_of_arrival(self):
        table = report.counts(self.requests)
        self.assertEqual(table[1]["answered"], {0: 2})
        self.assertEqual(table[1]["failed"], {2: 1})
        self.assertEqual(table[2]["refused"], {1: 1})
        self.assertEqual(table[2]["left"], {2: 1})

    def test_waits_and_sendings(self):
        self.assertEqual(report.waits(self.requests)[0], (300, 300))
        sent = report.sendings(self.requests)
        self.assertEqual(sent["i-2"], {0: 1, 2: 1})

    def test_a_picture_and_a_summary_are_made(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.svg"
            rows = report.make([io.StringIO("".join(LINES))], path)
            self.assertGreater(path.stat().st_size, 1000)
        self.assertIn("overload", "\n".join(rows))

    def test_logs_without_requests_give_an_empty_summary(self):
        self.assertEqual(len(report.make([io.StringIO("")], "unused.svg")), 1)


if __name__ == "__main__":
    unittest.main()
