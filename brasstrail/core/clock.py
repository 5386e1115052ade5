"""The clocks of the daemon. State machines never read them; they are told."""

import time


def now_ms():
    """Return a monotonic time in milliseconds, of this process only."""
    return int(time.monotonic() * 1000)


def wall_ms():
    """Return the time of day in milliseconds since 1970."""
    return int(time.time() * 1000)


def boot_ms():
    """Return a monotonic time that goes on while the host is suspended."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)
