"""The steps from a process's start to its first answer, each logged once.

After a loss of all hosts callers wait for the slowest of these steps. One line for each
step, with the time since the start, shows which step that was.
"""

from brasstrail.core import clock


class Milestones:
    """The steps that this process has reached.

    Parameters
    ----------
    log : a structlog logger.

    Attributes
    ----------
    reached : the names of the steps that were reached.
    """

    def __init__(self, log):
        self.log = log
        self.started_ms = clock.now_ms()
        self.reached = set()

    def reach(self, name, **fields):
        """Log that a step is reached, unless it was reached before.

        >>> milestones.reach("first_document", version=7)  # doctest: +SKIP
        """
        if name in self.reached:
            return
        self.reached.add(name)
        self.log.info(
            "start: A step was reached.",
            step=name,
            uptime_ms=clock.now_ms() - self.started_ms,
            **fields,
        )
