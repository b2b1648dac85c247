"""Eject endpoints that fail, as a circuit breaker does, but never more than a part of them."""

from __future__ import annotations

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_RATIO = 0.5


class Health:
    """Track one endpoint's failures and its ejection.

    After several failures in a row the endpoint is ejected. Then a single call probes it: a success
    ends the ejection, a failure ejects it again for twice as long.
    """

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.probing = False

    def is_ejected(self, now: float) -> bool:
        """Return whether no call may be sent; `False` also when a probe is due."""
        if self.ejected_until is None:
            return False
        return now < self.ejected_until or self.probing

    def on_chosen(self) -> None:
        """Record a call; the first one after an ejection is the probe."""
        if self.ejected_until is not None:
            self.probing = True

    def on_success(self) -> None:
        """Record a success, which ends an ejection."""
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = None
        self.probing = False

    def on_failure(self, now: float, *, may_eject: bool) -> bool:
        """Record a failure and return whether it ejects the endpoint."""
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
        """Record the end of a call that says nothing about the endpoint's health."""
        self.probing = False


def may_eject(total: int, ejected: int) -> bool:
    """Return whether one more of `total` endpoints may be ejected."""
    return (ejected + 1) <= total * MAX_EJECTED_RATIO
