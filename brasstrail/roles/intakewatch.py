"""The account of a process: limits from the settings, sweeps, metrics and logs."""

import collections

from brasstrail.transport import heaps, intake

SWEEP_INTERVAL_MS = 500
LOG_INTERVAL_MS = 1000
DEFAULT_HELD_BYTES = 32 * 1024 * 1024
# The entry's `max_held_bytes` limits bodies alone; this is for all else.
ENTRY_OTHER_BYTES = 16 * 1024 * 1024


def make_account(settings):
    """Return the `intake.Account` of a process; its roles share one."""
    limited = [
        getattr(settings, role)
        for role in ("control", "gateway")
        if role in settings.node.roles
    ]
    memory_mb = min((each.memory_mb for each in limited if each.memory_mb), default=0)
    held_bytes = sum(each.max_held_bytes for each in limited) or DEFAULT_HELD_BYTES
    if "entry" in settings.node.roles:
        held_bytes += settings.entry.max_held_bytes + ENTRY_OTHER_BYTES
    options = settings.intake
    limits = intake.Limits(
        intake.limit_held_bytes(held_bytes, memory_mb),
        options.max_connections or intake.limit_connections(memory_mb),
        intake.limit_server_connections(),
        options.small_request_bytes,
        options.max_head_fields,
        options.body_timeout_ms,
    )
    return intake.Account(limits)


class IntakeWatch:
    """Ends what is overdue and reports what was refused or closed.

    Parameters
    ----------
    account : `intake.Account` of the process.
    log : a structlog logger.

    Attributes
    ----------
    metrics : `metrics.Metrics` of the process, or None.
    reported : the counts of the account at the last sweep.
    logged : the counts of the account at the last log line.
    """

    def __init__(self, account, log):
        self.account = account
        self.log = log
        self.metrics = None
        self.reported = collections.Counter()
        self.logged = collections.Counter()
        self.next_sweep_ms = 0
        self.next_log_ms = 0

    def register_metrics(self, metrics):
        """Register the gauges, and count from now on."""
        self.metrics = metrics
        metrics.gauge("intake_held_bytes", lambda: self.account.held_bytes)
        metrics.gauge("intake_connections", lambda: len(self.account.streams))

    def tick(self, now_ms):
        """Sweep, count and log at their intervals."""
        if now_ms < self.next_sweep_ms:
            return
        self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        self.account.sweep(now_ms)
        if self.account.was_short and not self.account.is_crowded:
            self.account.was_short = False
            heaps.trim()
        new = self.account.counts - self.reported
        self.reported += new
        for reason, count in new.items():
            if self.metrics is not None:
                self.metrics.count("intake_refusals", count, reason=reason)
        if now_ms >= self.next_log_ms:
            self.log_refusals(now_ms)

    def log_refusals(self, now_ms):
        """Log what was refused or closed since the last line, in one line."""
        new = self.account.counts - self.logged
        if not new:
            return
        self.logged += new
        self.next_log_ms = now_ms + LOG_INTERVAL_MS
        self.log.warning(
            "intake: Requests were refused or connections closed.",
            held=self.account.held_bytes,
            connections=len(self.account.streams),
            **new,
        )
