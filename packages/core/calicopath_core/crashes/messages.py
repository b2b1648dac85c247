"""Define the messages with which boxes share crash evidence.

Times are sent as ages in seconds, because the clocks of boxes differ.
"""

from __future__ import annotations

import msgspec

from calicopath_core.membership.messages import News


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Hold the crashes during one request, and the age of its last completed run.

    `crash_ages_s` maps a crash ID to the age of the crash and the age of the start of the run;
    `survival_age_s` is `None` if no run of the request has completed.
    """

    content: str
    service: str
    crash_ages_s: dict[str, tuple[float, float]]
    survival_age_s: float | None


class CrashNews(News, frozen=True, tag='cr'):
    """Send crash evidence to another box.

    `complete` is set if the sender has loaded the blocked requests from the store.
    """

    evidence: tuple[Evidence, ...]
    complete: bool = False


CRASH_MESSAGES = (CrashNews,)
