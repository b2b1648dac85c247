"""Gather the pieces of all boxes into calls to one stage service's replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.permits.holder import PermitIssuer, UnlimitedIssuer
from calicopath_core.scheduling.jobs import LARGE_RESULT_BYTES
from calicopath_core.scheduling.placing import (
    DomainPreference,
    failure_domain_waits,
    may_run_in,
    preference_of,
)
from calicopath_core.scheduling.stage_replicas import OVERDUE_FACTOR, Booking, StageReplica
from calicopath_core.scheduling.waiting import WaitingPieces, update_ranking

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Iterator

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Piece
    from calicopath_core.scheduling.waiting import PieceGroup, RankedGroup

MAX_BATCH_DELAY_S = 0.03
"""How long a call waits to be filled when one replica alone is free. Mean worth is the same from
20 to 60 ms and lower at 120 ms: while all replicas work, pieces gather by themselves."""

MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
"""How long a replica that failed a call is left alone; doubled with each failure in a row."""

MIN_FULL_BACKOFF_S = 0.05
MAX_FULL_BACKOFF_S = 0.4
"""How long a replica that declined a call as full is left alone, doubled each time in a row: one
that declines all for 5 s gets 15 calls in place of 100. What it asks for itself comes on top."""

BUSY_CALLS_PER_REPLICA = 1.0
"""With more pieces waiting than this many calls for each replica, no failure domain is waited for:
what one failure domain can't take then makes others late."""

NO_ROOM_BACKOFF_S = 0.15
"""How long a replica that had no room for a result is left alone, whatever it tells of its room,
which is some 100 ms old."""

TYPICAL_FILL_RATIO = 0.75
"""The part of a call that is filled under load: 0.6 to 0.9, the mean over the calls of a day."""


class StageBatch(NamedTuple):
    """Hold the pieces of one call and the replica that gets it."""

    target: StageReplica
    pieces: list[Piece]


class StageQueue:
    """Hold the pieces that wait for one service, and its replicas.

    A job that `goes_alone` shares no call with others: replicas have ended under its request, and
    those that are in the call with the cause would be blocked with it. `back_s` tells for how long
    a replica wants nothing from this box.
    """

    def __init__(
        self,
        *,
        service: str,
        spec: StageSpec,
        runs_alone: Callable[[Job], bool] = lambda job: False,
        backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        permits: PermitIssuer | None = None,
    ) -> None:
        self.permits = permits or UnlimitedIssuer()
        self.service = service
        self.spec = spec
        self.runs_alone = runs_alone
        self.backoff_left_s = backoff_left_s
        self.replicas: dict[str, StageReplica] = {}
        self.known_replicas: dict[str, StageReplica] = {}
        self.waiting = WaitingPieces()

    def set_replicas(self, usable: Iterable[Replica], alive: Container[str] = ()) -> None:
        """Take in which replicas may be called; calls at work on others end by themselves.

        Of those that are only `alive`, as in a failure domain that is taken out, the room stays
        counted that their results take.
        """
        listed = {replica.id: replica for replica in usable}
        self.known_replicas = {
            name: item for name, item in self.known_replicas.items() if name in alive
        }
        for name, replica in listed.items():
            target = self.known_replicas.get(name) or self.replicas.get(name)
            target = target or StageReplica(replica=replica)
            target.replica = replica
            self.known_replicas[name] = target
        self.replicas = {name: self.known_replicas[name] for name in listed}

    def add(self, piece: Piece, now: float) -> None:
        """Let a piece wait."""
        piece.set_dispatched(False)
        piece.has_fetched_inputs = False
        self.waiting.add(piece, now)

    def drop_stale(self, job: Job) -> None:
        """Forget the pieces of a job that is over, or that it makes anew."""
        self.waiting.drop_stale(job)

    def available_replicas(self) -> list[StageReplica]:
        """Return the replicas that do not ask this box to leave them alone."""
        return [item for item in self.replicas.values() if self.backoff_left_s(item.replica) <= 0]

    def free_replicas(self, now: float) -> list[StageReplica]:
        """Return the replicas that could take a call now, those with most room first."""
        found = [
            item
            for item in self.available_replicas()
            if item.open_calls < self.spec.concurrency
            and item.unavailable_until <= now
            and self.permits.available_in_s(item.replica) <= 0
        ]
        if len(self.waiting) <= self.max_quick_backlog(now):
            found = [item for item in found if not item.is_slow(now)]
        return sorted(found, key=lambda item: -item.room_left(self.spec, now))

    def max_quick_backlog(self, now: float) -> int:
        """Return how many waiting pieces the replicas that aren't slow take with two calls each."""
        quick_replicas = sum(not item.is_slow(now) for item in self.available_replicas())
        return 2 * quick_replicas * self.spec.batch

    def batches(self, now: float, held: Container[str] = ()) -> Iterator[StageBatch]:
        """Yield the calls to make now; pieces of the jobs that are `held` are left waiting.

        What waits is looked at once for all of them, not anew for each call.
        """
        if not self.waiting or not self.free_replicas(now):
            return
        ranked = self.waiting.ready(held, now)
        homes = {item.number: preference_of(item.group.first, now) for item in ranked}
        while ranked and (free := self.free_replicas(now)):
            batch = self.choose_batch(free, ranked, homes, now)
            if batch is None:
                return
            for item in update_ranking(ranked, batch.pieces, now):
                homes[item.number] = preference_of(item.group.first, now)
            yield batch

    def next_batch(self, now: float, held: Container[str] = ()) -> StageBatch | None:
        """Return the next call to make, or nothing while it is better to wait."""
        return next(self.batches(now, held), None)

    def choose_batch(
        self,
        free: list[StageReplica],
        ranked: list[RankedGroup],
        homes: dict[int, DomainPreference],
        now: float,
    ) -> StageBatch | None:
        """Return a call of waiting groups to one of the free replicas, the first that it suits."""
        prefers_domain = self.is_lightly_loaded() and any(
            homes[item.number].failure_domain for item in ranked
        )
        waits = (
            failure_domain_waits(self.available_replicas(), self.spec, self.permits, now)
            if prefers_domain
            else {}
        )
        for target in free:
            failure_domain = target.replica.failure_domain
            eligible = [
                item.group
                for item in ranked
                if may_run_in(homes[item.number], failure_domain, waits)
            ]
            if not eligible:
                continue
            count = sum(len(group.pieces) for group in eligible)
            if count < self.spec.batch and self.fill_wait_s(len(free)) > longest_wait_s(
                eligible, now
            ):
                continue
            pieces = self.fitting_pieces(eligible, target, now)
            if pieces:
                return self.start_batch(target, pieces, now)
        return None

    def is_lightly_loaded(self) -> bool:
        """Tell whether few enough pieces wait for failure domains to matter."""
        return len(self.waiting) <= BUSY_CALLS_PER_REPLICA * self.spec.batch * len(
            self.available_replicas()
        )

    def fill_wait_s(self, free: int) -> float:
        """Return how long a call that is not full may wait: longer, the fewer replicas are free."""
        usable = max(1, len(self.available_replicas()))
        return MAX_BATCH_DELAY_S * (1 - (free - 1) / usable)

    def fitting_pieces(
        self, groups: list[PieceGroup], target: StageReplica, now: float
    ) -> list[Piece]:
        """Return the pieces, in order, that one call to a replica can take.

        Large results of one job are kept together, so that its engine can be near all of them.
        """
        room = target.room_left(self.spec, now)
        found: list[Piece] = []
        for group in groups:
            alone = self.runs_alone(group.first.job)
            if alone and found:
                continue
            size = group.result_bytes
            pieces = group.pieces
            free_slots = min(
                self.spec.batch - len(found), int(room // size) if size else len(pieces)
            )
            fits_whole = len(pieces) <= free_slots
            if (
                not fits_whole
                and found
                and size >= LARGE_RESULT_BYTES
                and len(pieces) <= self.spec.batch
            ):
                continue
            taken = pieces[: max(0, free_slots)]
            found.extend(taken)
            room -= size * len(taken)
            if len(found) == self.spec.batch or (alone and found):
                break
        return found

    def start_batch(self, target: StageReplica, pieces: list[Piece], now: float) -> StageBatch:
        """Take pieces out of the queue and book their room."""
        self.waiting.remove(pieces)
        for piece in pieces:
            piece.tries += 1
            piece.set_dispatched(True)
            piece.job.failure_domains.setdefault(piece.phase, target.replica.failure_domain)
        target.open_calls += 1
        target.free_at = now + self.expected_call_s(len(pieces))
        target.due_at = now + OVERDUE_FACTOR * self.expected_call_s(len(pieces))
        target.reserved_bytes += sum(piece.result_bytes for piece in pieces)
        return StageBatch(target, pieces)

    def book_result(self, maker: str, handle: str, size: int, now: float) -> None:
        """Count the room of a result that another scheduler had made."""
        target = self.replicas.get(maker)
        if target is not None:
            target.bookings[handle] = Booking(size, now + self.spec.result_ttl_s)
            target.booked_bytes += size
            # It was counted as somebody else's when the replica told of its room.
            target.other_bytes = max(0.0, target.other_bytes - size)

    def on_finished(self, batch: StageBatch, made: dict[str, int], now: float) -> None:
        """Turn the room booked into that of the results made, by handle and size."""
        target = batch.target
        target.open_calls -= 1
        target.reserved_bytes -= sum(piece.result_bytes for piece in batch.pieces)
        for handle, size in made.items():
            target.bookings[handle] = Booking(size, now + self.spec.result_ttl_s)
            target.booked_bytes += size
        target.consecutive_failures = target.consecutive_declines = 0

    def on_no_room(self, batch: StageBatch, now: float) -> None:
        """Note that a replica had no room for a result."""
        batch.target.no_room_until = now + NO_ROOM_BACKOFF_S

    def on_answer_lost(self, batch: StageBatch, now: float) -> None:
        """Count the room of results that were made and that nobody can give up."""
        sizes = {f'lost {piece.name}': piece.result_bytes for piece in batch.pieces}
        self.on_finished(batch, sizes, now)

    def on_failed(self, batch: StageBatch, now: float, *, full: bool) -> None:
        """Leave a replica alone for a while that failed a call or was full."""
        target = batch.target
        target.open_calls -= 1
        target.reserved_bytes -= sum(piece.result_bytes for piece in batch.pieces)
        if full:
            target.unavailable_until = now + min(
                MAX_FULL_BACKOFF_S, MIN_FULL_BACKOFF_S * 2**target.consecutive_declines
            )
            target.consecutive_declines += 1
            return
        target.consecutive_failures += 1
        target.unavailable_until = now + min(
            MAX_EJECTION_S, MIN_EJECTION_S * 2 ** (target.consecutive_failures - 1)
        )

    def pieces_per_s(self) -> float:
        """Return the pieces a second that the replicas can make with calls nearly full."""
        pieces = max(1, round(self.spec.batch * TYPICAL_FILL_RATIO))
        return pieces * self.calls_per_s(self.available_replicas(), pieces)

    def calls_per_s(self, replicas: Iterable[StageReplica], pieces: int) -> float:
        """Return the calls of so many pieces that some replicas take in a second."""
        unlimited_per_s = 1 / self.expected_call_s(pieces)
        rates = (self.permits.rate_of(item.replica) for item in replicas)
        return sum(
            unlimited_per_s if rate is None else min(unlimited_per_s, rate) for rate in rates
        )

    def opens_in_s(self) -> float:
        """Return when the first replica may be called, 0 for now."""
        waits = (
            max(self.backoff_left_s(item.replica), self.permits.available_in_s(item.replica))
            for item in self.replicas.values()
        )
        return min(waits, default=0.0)

    def typical_piece_s(self) -> float:
        """Return what a piece takes of a call that is filled as usual."""
        return self.typical_call_s() / max(1, round(self.spec.batch * TYPICAL_FILL_RATIO))

    def typical_call_s(self) -> float:
        """Return what a call usually takes."""
        return self.expected_call_s(max(1, round(self.spec.batch * TYPICAL_FILL_RATIO)))

    def expected_call_s(self, pieces: int) -> float:
        """Return what a call with so many pieces takes, in seconds."""
        return self.spec.call_s + self.spec.piece_s * pieces


def longest_wait_s(groups: list[PieceGroup], now: float) -> float:
    """Return how long the group that waits longest has waited."""
    return now - min(group.waiting_since for group in groups)


def jobs_of(batch: StageBatch) -> list[Job]:
    """Return the jobs whose pieces a call holds, each once."""
    return list({piece.job.id: piece.job for piece in batch.pieces}.values())
