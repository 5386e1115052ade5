"""Tests of the log output: rate-limited, non-blocking, and dropped lines counted."""

import json
import os
import select
import unittest

from brasstrail.roles import logs


class BoundedOutputTest(unittest.TestCase):
    """Lines beyond the rate, a pipe that is not read, and a full device."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.writer, False)

    def make_output(self, rate):
        return logs.BoundedOutput(self.writer, rate, logs.make_renderer("json"))

    def test_dropped_lines_are_counted_in_a_line_of_the_same_format(self):
        output = self.make_output(2)
        for number in range(20):
            output.msg(json.dumps({"number": number}))
        dropped_lines = output.dropped_lines
        self.assertEqual(dropped_lines, 20 - 2 * logs.BURST_S)
        output.tokens = 2.0
        output.msg("{}")
        lines = os.read(self.reader, 65536).decode().splitlines()
        counted = json.loads(lines[-2])
        self.assertEqual(counted["count"], dropped_lines)
        self.assertEqual(counted["event"], "log: Lines were left out.")

    def test_unread_pipe_does_not_block_the_writer(self):
        output = self.make_output(10**6)
        for _ in range(3000):
            output.msg("x" * 200)
        self.assertGreater(output.dropped_lines, 0)

    def test_full_device_does_not_raise(self):
        """An `OSError` from a full device must only drop the line.

        Found by the soak test, whose faults include a device that rejects writes.
        """
        output = logs.BoundedOutput(
            os.open("/dev/full", os.O_WRONLY), 1000, logs.make_renderer("json")
        )
        self.addCleanup(os.close, output.descriptor)
        output.msg("{}")
        self.assertEqual(output.dropped_lines, 1)

    def test_partly_written_line_is_completed_before_the_next(self):
        output = self.make_output(10**6)
        size = 3 * select.PIPE_BUF + 100  # Shorter lines are never written in part.
        while not output.unwritten and not output.dropped_lines:
            output.msg("x" * size)
        self.assertTrue(output.unwritten)
        taken = os.read(self.reader, 2**20)
        output.msg("next")
        taken += os.read(self.reader, 2**20)
        lines = [line for line in taken.decode().splitlines() if "event" not in line]
        self.assertEqual({line.strip("x") for line in lines}, {"", "next"})
        self.assertEqual({len(line) for line in lines}, {size, 4})


if __name__ == "__main__":
    unittest.main()
