"""Keep calls away from endpoints that fail, without ever giving up on all of them."""

from __future__ import annotations

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_RATIO = 0.5


class Health:
    """Follow one endpoint's failures.

    After several failures in a row the endpoint is ejected for a time that doubles. Then a
    single call probes it; a success takes it back, a failure ejects it again.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.probing = False

    def is_ejected(self, now: float) -> bool:
        """Tell whether calls stay away, apart from the one probe that is due."""
        if self.ejected_until is None:
            return False
        return now < self.ejected_until or self.probing

    def on_chosen(self) -> None:
        """Note a call; the first one after an ejection is the probe."""
        if self.ejected_until is not None:
            self.probing = True

    def on_success(self) -> None:
        """Take the endpoint back."""
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = None
        self.probing = False

    def on_failure(self, now: float, *, may_eject: bool) -> bool:
        """Count a failure and return whether it ejects the endpoint."""
        self.consecutive_failures += 1
        if self.ejected_until is not None and not self.probing:
            return False
        if not self.probing and (self.consecutive_failures < FAILURES_TO_EJECT or not may_eject):
            return False
        self.probing = False
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + ejection_s
        return True

    def on_inconclusive(self) -> None:
        """Note that a call ended without telling anything about the endpoint."""
        self.probing = False


def may_eject(total: int, ejected: int) -> bool:
    """Tell whether one more of `total` endpoints may be ejected."""
    return (ejected + 1) <= total * MAX_EJECTED_RATIO
