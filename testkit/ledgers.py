"""Make ledgers of requests under which replicas have ended."""

from __future__ import annotations

from unittest import mock

from calicopath_core.crashes.ledger import CrashLedger, CrashObserver
from testkit.virtual import VirtualClock


def new_ledger(observer: CrashObserver | None = None) -> CrashLedger:
    """Return a ledger that knows nothing, on virtual time."""
    return CrashLedger(clock=VirtualClock(), observer=observer or mock.Mock(spec=CrashObserver))
