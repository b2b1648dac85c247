"""Define what boxes tell each other of requests under which replicas have ended.

Ages are spans in seconds, since boxes' clocks differ.
"""

from __future__ import annotations

import msgspec

from calicopath_core.membership.messages import News


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Tell how long ago which replicas ended under a request, and when it last survived.

    `ended_s` holds for each end how long ago it was, and how long ago the run had begun;
    `survived_s` is nothing for a request that never did.
    """

    content: str
    service: str
    crash_ages_s: dict[str, tuple[float, float]]
    survival_age_s: float | None


class CrashNews(News, frozen=True, tag='cr'):
    """Tell a box of requests under which replicas have ended.

    `complete` says that the sender knows what is kept in the store.
    """

    evidence: tuple[Evidence, ...]
    complete: bool = False


CRASH_MESSAGES = (CrashNews,)
