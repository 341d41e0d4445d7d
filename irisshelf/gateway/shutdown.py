"""The schedule of an instance's planned stop."""

from __future__ import annotations

import dataclasses

# Reserved within the time to stop, so that the process exits before it is
# killed.
_STOP_MARGIN_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Schedule:
    """When an instance stops; times in monotonic seconds.

    The schedule stays as it began: settings that are reloaded meanwhile do not
    change when the process will be killed.

    Attributes:
        began_s: When the stop signal arrived.
        ends_s: When requests that are still in progress are ended.
    """

    began_s: float
    ends_s: float


def plan(began_s: float, stop_s: float) -> Schedule:
    """Returns the schedule of a stop.

    Args:
        began_s: When the stop signal arrived.
        stop_s: Time from then until the process is killed, in seconds.

    Example:
        >>> plan(100.0, 8.0).ends_s
        107.5
    """
    return Schedule(
        began_s=began_s, ends_s=began_s + max(0.0, stop_s - _STOP_MARGIN_S)
    )
