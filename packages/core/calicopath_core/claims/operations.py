"""Define the stored form of claims, and the operations on a group of claims.

An operation may be retried on newer values, by this box or another one. It gives the same result
even if an earlier attempt has taken effect.
"""

from __future__ import annotations

import enum
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from calicopath_core.claims.keys import ClaimKey


class ClaimState(enum.StrEnum):
    """State of a claim's call, as recorded in the store."""

    STARTED = 'started'
    ANSWERED = 'answered'


class StoredClaim(TypedDict):
    """Hold one claim; `time_ms` is the time in the key, `body` a digest of the request body."""

    nonce: str
    body: str
    state: str
    time_ms: int
    answer: NotRequired[dict[str, Any] | None]


class GroupValue(TypedDict):
    """Hold the claims of one group; all keys with a time up to `threshold_ms` count as claimed."""

    threshold_ms: int
    claims: dict[str, StoredClaim]


class OpResult(NamedTuple):
    """Tell whether the operation's nonce holds the key.

    If it does not, `claim` is the existing claim, or `None` if the claim was pruned.
    """

    granted: bool
    claim: StoredClaim | None = None


class ClaimOp(msgspec.Struct, frozen=True, tag='claim'):
    """Claim a key under a nonce."""

    key: ClaimKey
    nonce: str
    body: str

    def apply(self, value: GroupValue) -> OpResult:
        """Add the claim unless the key is claimed or not above the threshold."""
        held = value['claims'].get(str(self.key))
        if held is not None:
            return OpResult(held['nonce'] == self.nonce, held)
        if self.key.time_ms <= value['threshold_ms']:
            return OpResult(False)
        value['claims'][str(self.key)] = StoredClaim(
            nonce=self.nonce,
            body=self.body,
            state=ClaimState.STARTED.value,
            time_ms=self.key.time_ms,
        )
        return OpResult(True)


class RecordOp(msgspec.Struct, frozen=True, tag='record'):
    """Record an answer in a claim; `None` means that the answer was too large to keep."""

    key: ClaimKey
    nonce: str
    answer: dict[str, Any] | None

    def apply(self, value: GroupValue) -> OpResult:
        """Mark the claim as answered if it is still held under the nonce."""
        held = value['claims'].get(str(self.key))
        if held is None or held['nonce'] != self.nonce:
            return OpResult(False, held)
        value['claims'][str(self.key)] = StoredClaim(
            nonce=self.nonce,
            body=held['body'],
            state=ClaimState.ANSWERED.value,
            time_ms=held['time_ms'],
            answer=self.answer,
        )
        return OpResult(True)


class ReleaseOp(msgspec.Struct, frozen=True, tag='release'):
    """Release a key whose call provably never started."""

    key: ClaimKey
    nonce: str

    def apply(self, value: GroupValue) -> OpResult:
        """Remove the claim if it is still held under the nonce."""
        held = value['claims'].get(str(self.key))
        if held is None or held['nonce'] != self.nonce:
            return OpResult(False, held)
        del value['claims'][str(self.key)]
        return OpResult(True)


class CloseOp(msgspec.Struct, frozen=True, tag='close'):
    """Drop all claims up to a time; all keys up to that time then count as claimed."""

    threshold_ms: int

    def apply(self, value: GroupValue) -> OpResult:
        """Raise the threshold unless the group has no claims."""
        if value['claims']:
            raise_threshold(value, self.threshold_ms)
        return OpResult(True)


Op = ClaimOp | RecordOp | ReleaseOp | CloseOp


def merge_groups(stored: GroupValue, known: GroupValue) -> GroupValue:
    """Merge a stored group with the known one; a key claimed in either of them stays claimed."""
    claims = {**known['claims'], **stored['claims']}
    for key, claim in known['claims'].items():
        if claim['state'] == ClaimState.ANSWERED.value:
            claims[key] = claim
    value = GroupValue(threshold_ms=stored['threshold_ms'], claims=claims)
    raise_threshold(value, known['threshold_ms'])
    return value


def raise_threshold(value: GroupValue, threshold_ms: int) -> None:
    """Drop the claims up to a time and raise the threshold to it."""
    value['threshold_ms'] = max(value['threshold_ms'], threshold_ms)
    value['claims'] = {
        key: claim
        for key, claim in value['claims'].items()
        if claim['time_ms'] > value['threshold_ms']
    }
