"""Tests of the log: bounded, counted, never blocking."""

import json
import os
import select
import unittest

from brasstrail.roles import logs


class BoundTest(unittest.TestCase):
    """Lines beyond the rate, and a reader that takes nothing."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.writer, False)

    def make(self, rate):
        return logs.BoundedOutput(self.writer, rate, logs.make_renderer("json"))

    def test_lines_beyond_the_rate_are_counted_in_a_line_of_the_same_form(self):
        output = self.make(2)
        for number in range(20):
            output.msg(json.dumps({"number": number}))
        left_out = output.left_out
        self.assertEqual(left_out, 20 - 2 * logs.BURST_S)
        output.room = 2.0
        output.msg("{}")
        lines = os.read(self.reader, 65536).decode().splitlines()
        counted = json.loads(lines[-2])
        self.assertEqual(counted["count"], left_out)
        self.assertEqual(counted["event"], "log: Lines were left out.")

    def test_a_reader_that_takes_nothing_blocks_nobody(self):
        output = self.make(10**6)
        for _ in range(3000):
            output.msg("x" * 200)
        self.assertGreater(output.left_out, 0)

    def test_a_full_device_stops_nobody(self):
        """Found with the soak's fault of a device that refuses writes."""
        output = logs.BoundedOutput(
            os.open("/dev/full", os.O_WRONLY), 1000, logs.make_renderer("json")
        )
        self.addCleanup(os.close, output.descriptor)
        output.msg("{}")
        self.assertEqual(output.left_out, 1)

    def test_a_line_that_was_begun_is_finished_before_the_next(self):
        output = self.make(10**6)
        size = 3 * select.PIPE_BUF + 100  # A short line is never written in part.
        while not output.rest and not output.left_out:
            output.msg("x" * size)
        self.assertTrue(output.rest)
        taken = os.read(self.reader, 2**20)
        output.msg("next")
        taken += os.read(self.reader, 2**20)
        lines = [line for line in taken.decode().splitlines() if "event" not in line]
        self.assertEqual({line.strip("x") for line in lines}, {"", "next"})
        self.assertEqual({len(line) for line in lines}, {size, 4})


if __name__ == "__main__":
    unittest.main()
