"""The log: structured, as lines for people or as JSON for machines.

Writing never blocks and is bounded: lines beyond the rate, and lines that the
reader of the output does not take in time, are left out and counted in a line of
their own.
"""

import datetime
import logging
import os
import sys

import structlog

from brasstrail.core import clock

LEVELS = logging.getLevelNamesMapping()
STREAMS = {"stderr": sys.stderr, "stdout": sys.stdout}
# Lines that may come at once, in seconds of the steady rate.
BURST_S = 3.0
MS_PER_SECOND = 1000


class BoundedOutput:
    """Writes lines to a file descriptor, within a rate and without waiting.

    Parameters
    ----------
    descriptor : the file descriptor.
    lines_a_second : the steady rate.
    render : turns a mapping into a line.

    Attributes
    ----------
    left_out : how many lines were left out since the last line that says so.
    total_left_out : how many were left out since the start.
    rest : the end of a line of which the reader has taken the beginning.
    """

    def __init__(self, descriptor, lines_a_second, render):
        self.render = render
        self.descriptor = descriptor
        self.rate = lines_a_second
        self.burst = lines_a_second * BURST_S
        self.tokens = self.burst
        self.refilled_ms = clock.now_ms()
        self.dropped_lines = 0
        self.total_dropped_lines = 0
        self.unwritten = b""

    def msg(self, line):
        """Write a line, or count it as left out."""
        if not self.take_token():
            self.count_dropped_line()
            return
        if self.dropped_lines:
            self.write(self.dropped_lines_message() + "\n")
            self.dropped_lines = 0
        self.write(line + "\n")

    log = debug = info = warning = error = critical = msg

    def dropped_lines_message(self):
        """Return the line that counts what was left out."""
        table = {
            "timestamp": datetime.datetime.now(datetime.UTC).isoformat(),
            "level": "warning",
            "event": "log: Lines were left out.",
            "count": self.dropped_lines,
        }
        return self.render(None, "warning", table)

    def take_token(self):
        """Take the room of a line; return whether there was some."""
        now_ms = clock.now_ms()
        new_tokens = (now_ms - self.refilled_ms) / MS_PER_SECOND * self.rate
        self.refilled_ms = now_ms
        self.tokens = min(self.burst, self.tokens + new_tokens)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def write(self, text):
        """Write text; what cannot be written now is left out.

        A reader that is slow, or a full device, must not stop the process.
        """
        payload = text.encode()
        try:
            if self.unwritten:
                self.unwritten = self.unwritten[
                    os.write(self.descriptor, self.unwritten) :
                ]
            if self.unwritten:
                self.count_dropped_line()
                return
            self.unwritten = payload[os.write(self.descriptor, payload) :]
        except OSError:
            self.count_dropped_line()

    def count_dropped_line(self):
        """Count a line that is left out."""
        self.dropped_lines += 1
        self.total_dropped_lines += 1


def make_output(settings):
    """Return the output of a process's log."""
    descriptor = STREAMS[settings.log.output].fileno()
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    renderer = make_renderer(settings.log.format)
    return BoundedOutput(descriptor, settings.log.lines_a_second, renderer)


def make_logger(settings, output):
    """Return the logger of a process, with its name on every line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            output.render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            LEVELS[settings.log.level.upper()]
        ),
        logger_factory=lambda *arguments: output,
    )
    return structlog.get_logger().bind(node=settings.node.name)


def make_renderer(log_format):
    """Return the renderer of a form of log."""
    if log_format == "json":
        return structlog.processors.JSONRenderer()
    return structlog.processors.LogfmtRenderer(
        key_order=["timestamp", "level", "node", "event"], drop_missing=True
    )
