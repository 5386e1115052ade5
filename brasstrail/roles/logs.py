"""Structured logging, as logfmt lines for people or as JSON for programs.

Writing never blocks and is rate-limited: lines beyond the rate, and lines that the
reader of the output does not read in time, are dropped and counted in a separate
line.
"""

import datetime
import logging
import os
import sys

import structlog

from brasstrail.core import clock

LEVELS = logging.getLevelNamesMapping()
STREAMS = {"stderr": sys.stderr, "stdout": sys.stdout}
# The most lines that may be written at once, in seconds of the steady rate.
BURST_S = 3.0
MS_PER_SECOND = 1000


class BoundedOutput:
    """Writes lines to a file descriptor without blocking, up to a rate.

    A token bucket limits the rate; each line takes one token.

    Parameters
    ----------
    descriptor : the file descriptor.
    lines_a_second : the steady rate.
    render : turns a mapping into a line.

    Attributes
    ----------
    burst : the capacity of the token bucket, in lines.
    tokens : how many lines may be written now.
    refilled_ms : when the token bucket was last refilled.
    dropped_lines : how many lines were dropped since the last line that counts them.
    total_dropped_lines : how many lines were dropped since the start.
    unwritten : the end of a line that was written only in part.
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
        """Write a line, or drop and count it."""
        if not self.take_token():
            self.count_dropped_line()
            return
        if self.dropped_lines:
            self.write(self.dropped_lines_message() + "\n")
            self.dropped_lines = 0
        self.write(line + "\n")

    log = debug = info = warning = error = critical = msg

    def dropped_lines_message(self):
        """Return the line that reports how many lines were dropped."""
        table = {
            "timestamp": datetime.datetime.now(datetime.UTC).isoformat(),
            "level": "warning",
            "event": "log: Lines were left out.",
            "count": self.dropped_lines,
        }
        return self.render(None, "warning", table)

    def take_token(self):
        """Take a token for a line; return whether there was one."""
        now_ms = clock.now_ms()
        new_tokens = (now_ms - self.refilled_ms) / MS_PER_SECOND * self.rate
        self.refilled_ms = now_ms
        self.tokens = min(self.burst, self.tokens + new_tokens)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def write(self, text):
        """Write text, or drop it if it cannot be written now.

        A slow reader or a full device must not stop the process. The rest of a
        line that was written in part is written first.
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
        """Count a line that is dropped."""
        self.dropped_lines += 1
        self.total_dropped_lines += 1


def make_output(settings):
    """Return the log output of a process; unless a terminal, it is non-blocking."""
    descriptor = STREAMS[settings.log.output].fileno()
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    renderer = make_renderer(settings.log.format)
    return BoundedOutput(descriptor, settings.log.lines_a_second, renderer)


def make_logger(settings, output):
    """Return the logger of a process; every line has the node's name."""
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
    """Return the renderer of a log format: JSON, or else logfmt."""
    if log_format == "json":
        return structlog.processors.JSONRenderer()
    return structlog.processors.LogfmtRenderer(
        key_order=["timestamp", "level", "node", "event"], drop_missing=True
    )
