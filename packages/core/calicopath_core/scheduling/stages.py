"""Gather the pieces of all boxes into calls to one stage service's replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.scheduling.jobs import LARGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from calicopath_core.fleet.deployment import StageSpec
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.jobs import Piece

GATHER_S = 0.03
"""How long a call waits to be filled when one replica alone is free; on the bench 20 and 60 ms were
alike, 120 ms was worse: while all replicas work, pieces gather by themselves."""

ROOM_SHARE = 0.95
"""The part of a replica's room that is planned for: results are about the size that is stated."""

EJECT_S = 1.0
MAX_EJECT_S = 8.0
"""How long a replica that failed a call is left alone; doubled with each failure in a row."""

FULL_S = 0.05
"""How long a replica that declined a call as full is left alone."""

SHORT_SLACK_S = 1.1
"""A piece that can wait no longer than this goes to any zone: three calls, the one at work in its
own zone and two that go before."""

WORTH_WAITING_BYTES = 150_000
"""A piece that moves less than this is made in any zone. Every piece of a phase fetches all results
of the phase before, so a phase of ten pieces in another zone moves its inputs ten times."""

SPARE_STEP_S = 0.4
"""Jobs whose time to spare differs by less than about a call are told apart by rank."""

OLD_RESULT_S = 1.2
"""How old a result may grow before what reads it goes first: the users' results live for 4 s, and
the stages that follow take about half of that."""

BUSY_SHARE = 1.0
"""With more pieces waiting than this many calls for each replica, no zone is waited for: what
one zone can't take then makes others late."""

NO_ROOM_S = 0.15
"""How long a replica that had no room for a result is left alone, whatever it tells of its room,
which is some 100 ms old."""

FOREIGN_S = 1.5
"""How long room that others have booked is believed to be taken: what a dead scheduler left lives
for 4 s at most, what one that leaves has made is freed within two calls."""

USUAL_FILL = 0.75
"""The part of a call that is filled under load; measured on the bench: 0.6 to 0.9."""

SLOWNESS_SMOOTHING = 0.5
SLOW_FACTOR = 1.8
"""A replica whose calls take this many times what is stated is only used when the others can't
keep up: waiting for another one's call to end and using that is as quick at twice the time."""

OVERDUE_FACTOR = 1.3
"""A call that takes this many times what is stated is not waited for any longer."""

SLOW_MEMORY_S = 3.0
"""How long a replica is thought slow without being tried."""


class Booking(NamedTuple):
    """Hold room for one result until it is freed or has run out, in monotonic seconds."""

    size: int
    until: float


class StageReplica:
    """Hold what this scheduler knows of one replica: calls at work, room, failures."""

    def __init__(self, *, replica: Replica) -> None:
        self.replica = replica
        self.calls = 0
        self.bookings: dict[str, Booking] = {}
        self.booked_bytes = 0
        self.reserved_bytes = 0
        self.failures = 0
        self.idle_until = 0.0
        self.no_room_until = 0.0
        self.foreign_bytes = 0.0
        self.foreign_until = 0.0
        self.due_at = 0.0
        self.slowness = 1.0
        self.measured_at = 0.0

    def on_time(self, took_s: float, expected_s: float, now: float) -> None:
        """Note how long a call took against what is stated."""
        self.slowness += SLOWNESS_SMOOTHING * (took_s / expected_s - self.slowness)
        self.measured_at = now

    def is_overdue(self, now: float) -> bool:
        """Tell whether a call takes longer than it should: the replica may be slow or gone."""
        return self.calls > 0 and now > self.due_at

    def is_slow(self, now: float) -> bool:
        """Tell whether calls take much longer here; after a while that is tried again."""
        return self.slowness > SLOW_FACTOR and now - self.measured_at < SLOW_MEMORY_S

    def room_left(self, spec: StageSpec, now: float) -> float:
        """Return the bytes free for results, as far as known; none after it said so itself."""
        if now < self.no_room_until:
            return 0.0
        foreign = self.foreign_bytes if now < self.foreign_until else 0.0
        return spec.room_bytes * ROOM_SHARE - self.booked_bytes - self.reserved_bytes - foreign

    def on_free_bytes(self, free_bytes: float, spec: StageSpec, now: float) -> None:
        """Note the room that the replica tells of: what is missing, others have booked."""
        own = self.booked_bytes + self.reserved_bytes
        self.foreign_bytes = max(0.0, spec.room_bytes - free_bytes - own)
        self.foreign_until = now + FOREIGN_S

    def free(self, handle: str) -> None:
        """Give the room of a result back."""
        booking = self.bookings.pop(handle, None)
        if booking is not None:
            self.booked_bytes -= booking.size

    def expire(self, now: float) -> None:
        """Give the room of results back that have run out."""
        for handle, booking in list(self.bookings.items()):
            if booking.until <= now:
                self.free(handle)


class StageBatch(NamedTuple):
    """Hold the pieces of one call and the replica that gets it."""

    target: StageReplica
    pieces: list[Piece]


class StageQueue:
    """Hold the pieces that wait for one service, and its replicas."""

    def __init__(self, *, service: str, spec: StageSpec) -> None:
        self.service = service
        self.spec = spec
        self.replicas: dict[str, StageReplica] = {}
        self.waiting: list[Piece] = []
        self.since: dict[int, float] = {}

    def set_replicas(self, replicas: Iterable[Replica]) -> None:
        """Take in which replicas there are; calls at work on those gone end by themselves."""
        listed = {replica.id: replica for replica in replicas}
        for name in list(self.replicas):
            if name not in listed:
                del self.replicas[name]
        for name, replica in listed.items():
            known = self.replicas.setdefault(name, StageReplica(replica=replica))
            known.replica = replica

    def add(self, piece: Piece, now: float) -> None:
        """Let a piece wait."""
        piece.note_called(False)
        piece.fetched = False
        self.waiting.append(piece)
        self.since[id(piece)] = now

    def drop_stale(self) -> None:
        """Forget the pieces of jobs that are over, or that are made anew."""
        for piece in self.waiting:
            if piece.stale:
                self.since.pop(id(piece), None)
        self.waiting = [piece for piece in self.waiting if not piece.stale]

    def free_replicas(self, now: float) -> list[StageReplica]:
        """Return the replicas that could take a call now, those with most room first."""
        found = [
            item
            for item in self.replicas.values()
            if item.calls < self.spec.concurrency and item.idle_until <= now
        ]
        if len(self.waiting) <= self.backlog_bound(now):
            found = [item for item in found if not item.is_slow(now)]
        return sorted(found, key=lambda item: -item.room_left(self.spec, now))

    def backlog_bound(self, now: float) -> int:
        """Return how many waiting pieces the replicas that aren't slow take with two calls each."""
        quick = sum(not item.is_slow(now) for item in self.replicas.values())
        return 2 * quick * self.spec.batch

    def next_batch(self, now: float, held: Container[str] = ()) -> StageBatch | None:
        """Return the next call to make, or nothing while it is better to wait.

        Pieces of the jobs that are `held` are left waiting.
        """
        if all(piece.job.id in held for piece in self.waiting):
            return None
        free = self.free_replicas(now)
        if not free:
            return None
        self.waiting.sort(key=lambda piece: order(piece, now))
        homes = self.homes(now) if self.is_calm() else set()
        for target in free:
            near = [
                piece
                for piece in self.waiting
                if piece.job.id not in held
                and not piece.is_early()
                and may_go(piece, target, homes, now)
            ]
            if not near:
                continue
            if len(near) < self.spec.batch and self.wait_s(len(free)) > self.waited_s(near, now):
                continue
            pieces = self.fitting(near, target, now)
            if pieces:
                return self.take(target, pieces, now)
        return None

    def is_calm(self) -> bool:
        """Tell whether few enough pieces wait for zones to matter."""
        return len(self.waiting) <= BUSY_SHARE * self.spec.batch * len(self.replicas)

    def homes(self, now: float) -> set[str]:
        """Return the zones in which a replica is worth waiting for."""
        return {
            item.replica.zone
            for item in self.replicas.values()
            if item.idle_until <= now
            and not item.is_slow(now)
            and not item.is_overdue(now)
            and item.room_left(self.spec, now) > 0
        }

    def waited_s(self, pieces: list[Piece], now: float) -> float:
        """Return how long the piece that waits longest has waited."""
        return now - min(self.since[id(piece)] for piece in pieces)

    def wait_s(self, free: int) -> float:
        """Return how long a call that is not full may wait: longer, the fewer replicas are free."""
        usable = max(1, len(self.replicas))
        return GATHER_S * (1 - (free - 1) / usable)

    def fitting(self, near: list[Piece], target: StageReplica, now: float) -> list[Piece]:
        """Return the pieces, in order, that one call to a replica can take.

        Large results of one job are kept together, so that its engine can be near all of them.
        """
        room = target.room_left(self.spec, now)
        found: list[Piece] = []
        for group in groups(near):
            size = group[0].result_bytes
            free = min(self.spec.batch - len(found), int(room // size) if size else len(group))
            whole = len(group) <= free
            if not whole and found and size >= LARGE_BYTES and len(group) <= self.spec.batch:
                continue
            taken = group[: max(0, free)]
            found.extend(taken)
            room -= size * len(taken)
            if len(found) == self.spec.batch:
                break
        return found

    def take(self, target: StageReplica, pieces: list[Piece], now: float) -> StageBatch:
        """Take pieces out of the queue and book their room."""
        taken = {id(piece) for piece in pieces}
        self.waiting = [piece for piece in self.waiting if id(piece) not in taken]
        for piece in pieces:
            self.since.pop(id(piece), None)
            piece.tries += 1
            piece.note_called(True)
            piece.job.zones.setdefault(piece.phase, target.replica.zone)
        target.calls += 1
        target.due_at = now + OVERDUE_FACTOR * self.expected_s(len(pieces))
        target.reserved_bytes += sum(piece.result_bytes for piece in pieces)
        return StageBatch(target, pieces)

    def book(self, maker: str, handle: str, size: int, now: float) -> None:
        """Count the room of a result that another scheduler had made."""
        target = self.replicas.get(maker)
        if target is not None:
            target.bookings[handle] = Booking(size, now + self.spec.result_ttl_s)
            target.booked_bytes += size
            # It was counted as somebody else's when the replica told of its room.
            target.foreign_bytes = max(0.0, target.foreign_bytes - size)

    def finished(self, batch: StageBatch, made: dict[str, int], now: float) -> None:
        """Turn the room booked into that of the results made, by handle and size."""
        target = batch.target
        target.calls -= 1
        target.reserved_bytes -= sum(piece.result_bytes for piece in batch.pieces)
        for handle, size in made.items():
            target.bookings[handle] = Booking(size, now + self.spec.result_ttl_s)
            target.booked_bytes += size
        target.failures = 0

    def no_room(self, batch: StageBatch, now: float) -> None:
        """Note that a replica had no room for a result."""
        batch.target.no_room_until = now + NO_ROOM_S

    def answer_lost(self, batch: StageBatch, now: float) -> None:
        """Count the room of results that were made and that nobody can give up."""
        sizes = {f'lost {piece.name}': piece.result_bytes for piece in batch.pieces}
        self.finished(batch, sizes, now)

    def failed(self, batch: StageBatch, now: float, *, full: bool) -> None:
        """Leave a replica alone for a while that failed a call or was full."""
        target = batch.target
        target.calls -= 1
        target.reserved_bytes -= sum(piece.result_bytes for piece in batch.pieces)
        if full:
            target.idle_until = now + FULL_S
            return
        target.failures += 1
        target.idle_until = now + min(MAX_EJECT_S, EJECT_S * 2 ** (target.failures - 1))

    def rate(self) -> float:
        """Return the pieces a second that the replicas can make with calls nearly full."""
        pieces = max(1, round(self.spec.batch * USUAL_FILL))
        return len(self.replicas) * pieces / self.expected_s(pieces)

    def usual_s(self) -> float:
        """Return what a call usually takes."""
        return self.expected_s(max(1, round(self.spec.batch * USUAL_FILL)))

    def expected_s(self, pieces: int) -> float:
        """Return what a call with so many pieces takes, in seconds."""
        return self.spec.call_s + self.spec.piece_s * pieces


def groups(pieces: list[Piece]) -> list[list[Piece]]:
    """Return pieces by job and phase, in order."""
    found: dict[tuple[str, int], list[Piece]] = {}
    for piece in pieces:
        found.setdefault((piece.job.id, piece.phase), []).append(piece)
    return list(found.values())


def may_go(piece: Piece, target: StageReplica, homes: set[str], now: float) -> bool:
    """Tell whether a piece may be made at a replica: at home, or anywhere if that can't wait."""
    home = piece.home
    if home is None or home == target.replica.zone or home not in homes:
        return True
    if piece.job.resumed or piece.moved_bytes() < WORTH_WAITING_BYTES:
        return True
    return 0 < piece.slack_s(now) < SHORT_SLACK_S


def order(piece: Piece, now: float) -> tuple[int, int, int, float]:
    """Return by what pieces are served: jobs in time by what time they have to spare, then rank.

    While there is time for all, those with least to spare go first whatever their rank; when there
    is not, all have little to spare and rank decides. Before them go jobs whose stream broke
    midway, since their callers see the pause, and jobs whose results would soon run out and have
    to be made again; after them, jobs that are late or will be: were they to go first, as those
    with least to spare, a backlog of some seconds would make every job late that comes after it.
    """
    job = piece.job
    if job.resumed or job.oldest_result_s(now) > OLD_RESULT_S:
        return (0, 0, 0, job.arrived_at)
    if piece.slack_s(now) < 0:
        return (2, 0, job.place.priority, job.objective_at)
    spare = max(0, int(piece.slack_s(now) / SPARE_STEP_S))
    return (1, spare, job.place.priority, job.objective_at)
