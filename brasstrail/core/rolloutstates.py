"""The states of a roll-out, in which a service moves to another version."""

import enum


class RolloutState(enum.StrEnum):
    """The state of a roll-out; the last two are final."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"
