"""Batch the pieces of all boxes into calls to the replicas of one stage service."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.fleet.pace import PaceEstimates
from calicopath_core.permits.issuer import PermitIssuer, UnlimitedIssuer
from calicopath_core.scheduling.jobs import LARGE_RESULT_BYTES
from calicopath_core.scheduling.placing import failure_domain_waits, may_run_in
from calicopath_core.scheduling.stage_replicas import OVERDUE_FACTOR, Booking, StageReplica
from calicopath_core.scheduling.waiting import WaitingPieces

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Iterator, Mapping

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Job, Piece
    from calicopath_core.scheduling.pacing import PacingClass
    from calicopath_core.scheduling.waiting import PieceGroup, ReadyGroups

MAX_BATCH_DELAY_S = 0.03
"""How long an incomplete batch waits when only one replica is free. The mean score is the same from
20 to 60 ms and lower at 120 ms: while all replicas are busy, batches fill without waiting."""

MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
"""How long a replica gets no calls after a failure; doubles with each consecutive failure."""

MIN_FULL_BACKOFF_S = 0.05
MAX_FULL_BACKOFF_S = 0.4
"""How long a replica gets no calls after it declined one as full; doubles with each consecutive
decline, so that a replica that declines for 5 s gets 15 calls instead of 100. A backoff that the
replica requests itself applies in addition."""

BUSY_CALLS_PER_REPLICA = 1.0
"""Backlog, in full calls per replica, above which preferred failure domains are ignored: pieces
that wait for one failure domain then make other jobs late."""

NO_SPACE_BACKOFF_S = 0.15
"""How long a replica that had no space for a result gets no calls, whatever free space it reports:
its reports are some 100 ms old."""

MAX_SKIPPED_GROUPS = 64
"""Groups that a call may skip because they don't fit, several times the jobs that share a call. A
call would otherwise be compared with all that wait. Beyond them only small results are taken."""

TYPICAL_FILL_RATIO = 0.75
"""Expected fill ratio of a call under load; the daily mean is between 0.6 and 0.9."""


class StageBatch(NamedTuple):
    """Hold the pieces of one call and the replica that it goes to."""

    target: StageReplica
    pieces: list[Piece]


class CallContents:
    """Hold the pieces of a call that is being filled, and the space that its replica has left.

    `considered` are the numbers of the groups that were taken or skipped.
    """

    def __init__(self, *, free_bytes: float) -> None:
        self.free_bytes = free_bytes
        self.pieces: list[Piece] = []
        self.considered: set[int] = set()


class StageQueue:
    """Hold the waiting pieces of one stage service, and its replicas.

    A job for which `runs_alone` is true shares no call with other jobs: replicas crashed during its
    request, and jobs that shared a call with the cause would be blocked too. `backoff_left_s`
    returns for how many seconds a replica still refuses calls from this box. `on_inconsistent` is
    told of an order of what waits that had to be rebuilt.
    """

    def __init__(
        self,
        *,
        service: str,
        spec: StageSpec,
        runs_alone: Callable[[Job], bool] = lambda job: False,
        backoff_left_s: Callable[[Replica], float] = lambda replica: 0.0,
        permits: PermitIssuer | None = None,
        on_inconsistent: Callable[[int], None] = lambda count: None,
        pace: PaceEstimates | None = None,
    ) -> None:
        self.pace = pace or PaceEstimates()
        self.permits = permits or UnlimitedIssuer()
        self.service = service
        self.spec = spec
        self.runs_alone = runs_alone
        self.backoff_left_s = backoff_left_s
        self.replicas: dict[str, StageReplica] = {}
        self.known_replicas: dict[str, StageReplica] = {}
        self.waiting = WaitingPieces(on_inconsistent=on_inconsistent)

    def set_replicas(self, usable: Iterable[Replica], alive: Container[str] = ()) -> None:
        """Set the replicas that may be called; calls in progress on others run to their end.

        Replicas that are only `alive`, such as those of an evacuated failure domain, get no calls,
        but the space that their results take is still tracked.
        """
        listed = {replica.id: replica for replica in usable}
        self.known_replicas = {
            name: item for name, item in self.known_replicas.items() if name in alive
        }
        for name, replica in listed.items():
            target = self.known_replicas.get(name) or self.replicas.get(name)
            target = target or StageReplica(replica=replica, pace=self.pace)
            target.replica = replica
            self.known_replicas[name] = target
        self.replicas = {name: self.known_replicas[name] for name in listed}

    def add(self, piece: Piece, now: float) -> None:
        """Queue a piece for a call."""
        piece.set_dispatched(False)
        piece.has_fetched_inputs = False
        self.waiting.add(piece, now)

    def drop_stale(self, job: Job) -> None:
        """Drop the pieces of a job that has ended or recomputes them."""
        self.waiting.drop_stale(job)

    def available_replicas(self) -> list[StageReplica]:
        """Return the replicas that do not back off this box."""
        return [item for item in self.replicas.values() if self.backoff_left_s(item.replica) <= 0]

    def free_replicas(self, now: float) -> list[StageReplica]:
        """Return the replicas that can take a call now: the fastest, then those with most space."""
        found = [
            item
            for item in self.replicas.values()
            if item.open_calls < self.spec.concurrency
            and item.unavailable_until <= now
            and self.backoff_left_s(item.replica) <= 0
            and self.permits.available_in_s(item.replica) <= 0
        ]
        if not found:
            return found
        if len(self.waiting) <= self.max_quick_backlog(now):
            found = [item for item in found if not item.is_slow(now)]
        return sorted(
            found,
            key=lambda item: (
                item.duration_s(self.spec.call_s, now),
                -item.free_result_bytes(self.spec, now),
            ),
        )

    def max_quick_backlog(self, now: float) -> int:
        """Return how many pieces two calls to each replica that is not slow would take.

        Nothing waits for an ejected one: its next call may fail too.
        """
        quick_replicas = sum(
            not (item.is_slow(now) or item.is_ejected(now)) for item in self.available_replicas()
        )
        return 2 * quick_replicas * self.spec.batch

    def batches(self, now: float, held: Container[PacingClass] = ()) -> Iterator[StageBatch]:
        """Yield the calls to make now; classes of jobs in `held` keep waiting."""
        if not self.waiting or not self.free_replicas(now):
            return
        available = self.available_replicas()
        while self.waiting and (free := self.free_replicas(now)):
            batch = self.choose_batch(free, available, self.waiting.ready(held, now), now)
            if batch is None:
                return
            yield batch

    def next_batch(self, now: float, held: Container[PacingClass] = ()) -> StageBatch | None:
        """Return the next call to make, or `None` while waiting is better."""
        return next(self.batches(now, held), None)

    def choose_batch(
        self,
        free: list[StageReplica],
        available: list[StageReplica],
        ready: ReadyGroups,
        now: float,
    ) -> StageBatch | None:
        """Return a call to the first free replica that suits waiting groups, or `None`.

        The `available` replicas are those that do not back off this box, free or not.
        """
        fill_wait_s = self.fill_wait_s(len(free), len(available))
        if self.is_worth_waiting(ready, fill_wait_s, now):
            return None  # Neither is any part of the groups worth a call.
        # A lightly loaded stage has no more groups than a call of each replica takes.
        preferred = ready.preferred() if self.is_lightly_loaded(len(available)) else set()
        hosts = [item for item in available if item.replica.failure_domain in preferred]
        waits = failure_domain_waits(hosts, self.spec, self.permits, now)
        for target in free:
            eligible = ready
            if preferred:
                failure_domain = target.replica.failure_domain
                eligible = ready.accepted(
                    partial(may_run_group_in, failure_domain, waits=waits, now=now)
                )
                if self.is_worth_waiting(eligible, fill_wait_s, now):
                    continue
            pieces = self.fitting_pieces(eligible, target, now)
            if pieces:
                return self.start_batch(target, pieces, now)
        return None

    def is_worth_waiting(
        self, groups: Iterable[PieceGroup], fill_wait_s: float, now: float
    ) -> bool:
        """Tell whether groups do not fill a call, and the oldest may still wait for others."""
        count, waiting_since = 0, now
        for group in groups:
            count += len(group.pieces)
            waiting_since = min(waiting_since, group.waiting_since)
            if count >= self.spec.batch:
                return False
        return fill_wait_s > now - waiting_since

    def is_lightly_loaded(self, available: int) -> bool:
        """Tell whether the backlog is small enough to respect preferred failure domains."""
        return len(self.waiting) <= BUSY_CALLS_PER_REPLICA * self.spec.batch * available

    def fill_wait_s(self, free: int, available: int) -> float:
        """Return how long an incomplete batch may wait: longer, the fewer replicas are free."""
        return MAX_BATCH_DELAY_S * (1 - (free - 1) / max(1, available))

    def fitting_pieces(self, groups: ReadyGroups, target: StageReplica, now: float) -> list[Piece]:
        """Return the pieces, in order, that fit into one call to a replica.

        Groups whose results are larger than the free space are left out. Space also becomes scarce
        while the call is filled: after many groups that don't fit, small results are taken.
        """
        call = CallContents(free_bytes=max(0.0, target.free_result_bytes(self.spec, now)))
        if not self.fill(call, groups.fitting(call.free_bytes)):
            self.fill(call, groups.fitting(min(call.free_bytes, LARGE_RESULT_BYTES - 1)))
        return call.pieces

    def fill(self, call: CallContents, groups: Iterable[PieceGroup]) -> bool:
        """Add pieces that fit to a call; return false if too many groups were skipped.

        Large results of one job stay together, so that its engine can be near all of them.
        """
        skipped = 0
        for group in groups:
            if skipped > MAX_SKIPPED_GROUPS:
                return False
            if group.number in call.considered:
                continue
            call.considered.add(group.number)
            alone = self.runs_alone(group.first.job)
            if alone and call.pieces:
                skipped += 1
                continue
            size = group.result_bytes
            pieces = group.pieces
            free_slots = min(
                self.spec.batch - len(call.pieces),
                int(call.free_bytes // size) if size else len(pieces),
            )
            fits_whole = len(pieces) <= free_slots
            if (
                not fits_whole
                and call.pieces
                and size >= LARGE_RESULT_BYTES
                and len(pieces) <= self.spec.batch
            ):
                skipped += 1
                continue
            taken = pieces[: max(0, free_slots)]
            skipped += not taken
            call.pieces.extend(taken)
            call.free_bytes -= size * len(taken)
            if len(call.pieces) == self.spec.batch or (alone and call.pieces):
                break
        return True

    def start_batch(self, target: StageReplica, pieces: list[Piece], now: float) -> StageBatch:
        """Remove pieces from the queue and reserve space for their results."""
        self.waiting.remove(pieces)
        for piece in pieces:
            piece.tries += 1
            piece.set_dispatched(True)
            piece.job.failure_domains.setdefault(piece.phase, target.replica.failure_domain)
        target.open_calls += 1
        expected_s = target.duration_s(self.expected_call_s(len(pieces)), now)
        target.free_at = now + expected_s
        target.due_at = now + OVERDUE_FACTOR * expected_s
        target.reserved_bytes += sum(piece.result_bytes for piece in pieces)
        return StageBatch(target, pieces)

    def book_result(self, producer: str, handle: str, size: int, now: float) -> None:
        """Book the space of a result that another scheduler had computed."""
        target = self.replicas.get(producer)
        if target is not None:
            target.bookings[handle] = Booking(size, now + self.spec.result_ttl_s)
            target.booked_bytes += size
            # The replica's last report counted this space as booked by other schedulers.
            target.other_bytes = max(0.0, target.other_bytes - size)

    def on_finished(self, batch: StageBatch, made: dict[str, int], now: float) -> None:
        """Replace a call's reserved space by bookings of its results, given by handle and size."""
        target = batch.target
        target.open_calls -= 1
        target.reserved_bytes -= sum(piece.result_bytes for piece in batch.pieces)
        for handle, size in made.items():
            target.bookings[handle] = Booking(size, now + self.spec.result_ttl_s)
            target.booked_bytes += size
        target.consecutive_failures = target.consecutive_declines = 0

    def on_no_space(self, batch: StageBatch, now: float) -> None:
        """Record that a replica had no space for a result."""
        batch.target.no_space_until = now + NO_SPACE_BACKOFF_S

    def on_answer_lost(self, batch: StageBatch, now: float) -> None:
        """Book the space of results whose handles are unknown, until they expire."""
        sizes = {f'lost {piece.name}': piece.result_bytes for piece in batch.pieces}
        self.on_finished(batch, sizes, now)

    def on_failed(self, batch: StageBatch, now: float, *, full: bool) -> None:
        """Eject a replica for a while after a failed call, or briefly if it was full."""
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
        """Return how many pieces the available replicas compute per second in typical calls."""
        pieces = max(1, round(self.spec.batch * TYPICAL_FILL_RATIO))
        return pieces * self.calls_per_s(self.available_replicas(), pieces)

    def calls_per_s(self, replicas: Iterable[StageReplica], pieces: int) -> float:
        """Return how many calls of that many pieces the replicas take per second."""
        unlimited_per_s = 1 / self.expected_call_s(pieces)
        rates = (self.permits.rate_of(item.replica) for item in replicas)
        return sum(
            unlimited_per_s if rate is None else min(unlimited_per_s, rate) for rate in rates
        )

    def opens_in_s(self) -> float:
        """Return the seconds until the first replica may be called; 0 if one may be called now."""
        waits = (
            max(self.backoff_left_s(item.replica), self.permits.available_in_s(item.replica))
            for item in self.replicas.values()
        )
        return min(waits, default=0.0)

    def typical_piece_s(self) -> float:
        """Return the share of one piece in the duration of a typical call, in seconds."""
        return self.typical_call_s() / max(1, round(self.spec.batch * TYPICAL_FILL_RATIO))

    def typical_call_s(self) -> float:
        """Return the duration of a typical call, in seconds."""
        return self.expected_call_s(max(1, round(self.spec.batch * TYPICAL_FILL_RATIO)))

    def expected_call_s(self, pieces: int) -> float:
        """Return the expected duration of a call with that many pieces, in seconds."""
        return self.spec.call_s + self.spec.piece_s * pieces


def may_run_group_in(
    failure_domain: str, group: PieceGroup, *, waits: Mapping[str, float], now: float
) -> bool:
    """Tell whether the pieces of a group may run in a failure domain."""
    if group.failure_domain is None:
        return True
    return may_run_in(group.preference(now), failure_domain, waits)


def jobs_of(batch: StageBatch) -> list[Job]:
    """Return the distinct jobs whose pieces are in a call."""
    return list({piece.job.id: piece.job for piece in batch.pieces}.values())
