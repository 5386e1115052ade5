"""The clocks of the daemon.

State machines do not read clocks: the time is passed to them.
"""

import time


def now_ms():
    """Return a monotonic time in milliseconds, valid within this process only."""
    return int(time.monotonic() * 1000)


def wall_ms():
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * 1000)


def boot_ms():
    """Return a monotonic time in milliseconds that also advances during suspend."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)
