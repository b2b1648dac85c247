"""Create crash ledgers and guards for tests."""

from __future__ import annotations

from unittest import mock

from calicopath_core.crashes.guard import CrashGuard
from calicopath_core.crashes.ledger import CrashLedger, CrashObserver
from calicopath_core.crashes.sharing import CrashSharing
from testkit.virtual import VirtualClock


def new_ledger(observer: CrashObserver | None = None) -> CrashLedger:
    """Return an empty ledger, on virtual time."""
    return CrashLedger(clock=VirtualClock(), observer=observer or mock.Mock(spec=CrashObserver))


def new_guard() -> CrashGuard:
    """Return the guard of a box without peers."""
    ledger = new_ledger()
    sharing = CrashSharing(
        clock=ledger.clock,
        ledger=ledger,
        own_address='own:7',
        hubs=list,
        send=mock.Mock(),
    )
    return CrashGuard(ledger=ledger, sharing=sharing)
