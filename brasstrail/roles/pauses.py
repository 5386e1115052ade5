"""How long what arrives may have waited while this process was held up.

Messages between gateways state ages, as clocks differ. A process that was stopped or
starved for some seconds then reads messages that have waited as long, and their ages
are too low by that. The periodic work of a process shows that it was held up.

>>> watch = PauseWatch(interval_ms=50, now_ms=0)
>>> watch.record_tick(50)
>>> watch.waited_ms(60), watch.waited_ms(5050)
(0, 5000)
"""

# Delays of the periodic work up to this are those of a busy host.
MAX_DELAY_MS = 200
# What has waited is read within this time after the process goes on.
CATCH_UP_MS = 200


class PauseWatch:
    """Notices from the periodic work that the process was held up.

    Parameters
    ----------
    interval_ms : the interval of the periodic work.
    now_ms : the current time.

    Attributes
    ----------
    last_tick_ms : when the periodic work last ran.
    pause_ms : how long the last pause was.
    resumed_ms : when the periodic work ran again after it, or None without any.
    """

    def __init__(self, interval_ms, now_ms):
        self.interval_ms = interval_ms
        self.last_tick_ms = now_ms
        self.pause_ms = 0
        self.resumed_ms = None

    def record_tick(self, now_ms):
        """Record that the periodic work runs now."""
        elapsed_ms = now_ms - self.last_tick_ms
        if self.is_pause(elapsed_ms):
            self.pause_ms = elapsed_ms
            self.resumed_ms = now_ms
        self.last_tick_ms = now_ms

    def waited_ms(self, now_ms):
        """Return how long what is read now may have waited; 0 without a pause."""
        elapsed_ms = now_ms - self.last_tick_ms
        if self.is_pause(elapsed_ms):
            return elapsed_ms
        if self.resumed_ms is None or now_ms - self.resumed_ms > CATCH_UP_MS:
            return 0
        return self.pause_ms + now_ms - self.resumed_ms

    def is_pause(self, elapsed_ms):
        """Return whether the process was held up in a time without periodic work."""
        return elapsed_ms - self.interval_ms > MAX_DELAY_MS
