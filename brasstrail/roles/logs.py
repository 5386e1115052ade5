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
        self.room = self.burst
        self.filled_ms = clock.now_ms()
        self.left_out = 0
        self.total_left_out = 0
        self.rest = b""

    def msg(self, line):
        """Write a line, or count it as left out."""
        if not self.take_room():
            self.leave_out()
            return
        if self.left_out:
            self.write(self.left_out_line() + "\n")
            self.left_out = 0
        self.write(line + "\n")

    log = debug = info = warning = error = critical = msg

    def left_out_line(self):
        """Return the line that counts what was left out."""
        table = {
            "timestamp": datetime.datetime.now(datetime.UTC).isoformat(),
            "level": "warning",
            "event": "log: Lines were left out.",
            "count": self.left_out,
        }
        return self.render(None, "warning", table)

    def take_room(self):
        """Take the room of a line; return whether there was some."""
        now_ms = clock.now_ms()
        gained = (now_ms - self.filled_ms) / MS_PER_SECOND * self.rate
        self.filled_ms = now_ms
        self.room = min(self.burst, self.room + gained)
        if self.room < 1:
            return False
        self.room -= 1
        return True

    def write(self, text):
        """Write text; what cannot be written now is left out.

        A reader that is slow, or a full device, must not stop the process.
        """
        payload = text.encode()
        try:
            if self.rest:
                self.rest = self.rest[os.write(self.descriptor, self.rest) :]
            if self.rest:
                self.leave_out()
                return
            self.rest = payload[os.write(self.descriptor, payload) :]
        except OSError:
            self.leave_out()

    def leave_out(self):
        """Count a line that is left out."""
        self.left_out += 1
        self.total_left_out += 1


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


def make_renderer(form):
    """Return the renderer of a form of log."""
    if form == "json":
        return structlog.processors.JSONRenderer()
    return structlog.processors.LogfmtRenderer(
        key_order=["timestamp", "level", "node", "event"], drop_missing=True
    )
