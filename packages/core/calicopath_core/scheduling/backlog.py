"""Count what waits, so that a decision looks at totals instead of at every waiting job.

The counts follow from the jobs and change with them. A job that changes marks itself, and the next
question counts it anew, so a question costs the same whatever the number of jobs that wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from calicopath_core.scheduling.admission import outranks
from calicopath_core.scheduling.due_times import DueTimes
from calicopath_core.scheduling.jobs import ChangedJobs
from calicopath_core.scheduling.pacing import PacingClass, precedence

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from calicopath_core.scheduling.interfaces import SchedulerObserver
    from calicopath_core.scheduling.jobs import Job
    from calicopath_core.scheduling.pacing import Precedence

Key = TypeVar('Key')


class JobClass(NamedTuple):
    """Hold what decides which jobs go before others; there are a few classes, whatever the load."""

    resumed: bool
    is_over_allowance: bool
    effective_priority: int


class Counted(NamedTuple):
    """Hold what a job adds to the counts.

    `pieces` holds pieces that are not in a call yet, by service. `pacing_class` is `None` for jobs
    that pacing never holds back, such as started ones.
    """

    pieces: tuple[tuple[str, int], ...]
    is_in_time: bool
    is_started: bool
    pacing_class: PacingClass | None
    producers: frozenset[str]


class ClassCounts:
    """Hold the totals of one class of jobs.

    `pieces` by service and `jobs` by engine service count the jobs in time, `started_pieces` by
    service the jobs with progress, late ones included.
    """

    def __init__(self) -> None:
        self.members = 0
        self.pieces: dict[str, int] = {}
        self.jobs: dict[str, int] = {}
        self.started_pieces: dict[str, int] = {}


class Entry:
    """Hold a job, its class, its number in order of arrival, and what it adds to the counts."""

    def __init__(self, *, job: Job, number: int, counted: Counted) -> None:
        self.job = job
        self.number = number
        self.job_class = class_of(job)
        self.counted = counted


class Backlog:
    """Hold the jobs without an engine; times are monotonic seconds and never go back.

    A count that would become negative shows that the counts do not follow the jobs any more. They
    are then rebuilt from the jobs, and `observer` is told.
    """

    def __init__(self, *, observer: SchedulerObserver) -> None:
        self.observer = observer
        self.entries: dict[str, Entry] = {}
        self.classes: dict[JobClass, ClassCounts] = {}
        self.unstarted: dict[PacingClass, int] = {}
        self.by_producer: dict[str, set[str]] = {}
        self.late_times = DueTimes()
        self.hopeless_times = DueTimes()
        self.changed = ChangedJobs()
        self.unclassified: dict[str, Job] = {}
        self.last_number = 0
        self.now = 0.0
        self.is_inconsistent = False

    def __len__(self) -> int:
        return len(self.entries)

    def add(self, job: Job) -> None:
        """Count a job whose class and critical path are known."""
        self.remove(job)
        job.changed_in.append(self.changed)
        self.last_number += 1
        entry = Entry(job=job, number=self.last_number, counted=self.count(job))
        self.entries[job.id] = entry
        if job.pacing_class is None:
            self.unclassified[job.id] = job
        self.apply(entry, 1)
        self.set_times(entry)
        self.rebuild_if_inconsistent()

    def remove(self, job: Job) -> None:
        """Stop counting a job, if it is counted."""
        entry = self.entries.pop(job.id, None)
        if entry is None:
            return
        entry.job.changed_in.remove(self.changed)
        self.changed.jobs.pop(job.id, None)
        self.unclassified.pop(job.id, None)
        self.late_times.drop(job.id)
        self.hopeless_times.drop(job.id)
        self.apply(entry, -1)
        self.rebuild_if_inconsistent()

    def pieces_ahead(self, job: Job, now: float) -> Mapping[str, int]:
        """Return the pieces by service that go before a job's and are not in a call yet.

        Late jobs give way to those in time. If they counted, new jobs would be refused because of
        late ones, and a backlog would sustain itself long after its cause.
        """
        self.advance(now)
        ahead: dict[str, int] = {}
        for job_class, counts in self.classes.items():
            if not outranks(job, job_class):
                for service, pieces in counts.pieces.items():
                    ahead[service] = ahead.get(service, 0) + pieces
        own = self.entry_ahead_of_itself(job)
        for service, pieces in own.counted.pieces if own is not None else ():
            ahead[service] -= pieces
            if not ahead[service]:
                del ahead[service]
        return ahead

    def jobs_ahead(self, job: Job, now: float) -> int:
        """Return how many jobs for the same engines get permits before a job."""
        self.advance(now)
        service = job.place.service
        ahead = sum(
            counts.jobs.get(service, 0)
            for job_class, counts in self.classes.items()
            if not outranks(job, job_class)
        )
        return ahead - (self.entry_ahead_of_itself(job) is not None)

    def entry_ahead_of_itself(self, job: Job) -> Entry | None:
        """Return a job's own entry if the classes that go before the job count it."""
        entry = self.entries.get(job.id)
        if entry is None or not entry.counted.is_in_time or outranks(job, entry.job_class):
            return None
        return entry

    def started_pieces(self, max_precedence: Precedence) -> Mapping[str, int]:
        """Return the uncalled pieces, by service, of started jobs that go no later."""
        self.refresh()
        pieces: dict[str, int] = {}
        for job_class, counts in self.classes.items():
            if precedence(job_class) <= max_precedence:
                for service, count in counts.started_pieces.items():
                    pieces[service] = pieces.get(service, 0) + count
        return pieces

    def pop_unclassified(self) -> list[Job]:
        """Return the jobs that pacing has not looked at; each is returned once."""
        found = list(self.unclassified.values())
        self.unclassified.clear()
        return found

    def unstarted_classes(self) -> list[PacingClass]:
        """Return the pacing classes with jobs that have not started."""
        self.refresh()
        return list(self.unstarted)

    def hopeless(self, now: float) -> list[Job]:
        """Return the jobs that can no longer be completed before their deadline, oldest first.

        Each is returned once, unless it changes.
        """
        self.refresh()
        return self.in_order(self.hopeless_times.pop_before(now))

    def jobs_with_lost_results(self, alive: Iterable[str]) -> list[Job]:
        """Return the jobs with results at replicas that are gone."""
        self.refresh()
        gone = self.by_producer.keys() - set(alive)
        return self.in_order({name for producer in gone for name in self.by_producer[producer]})

    def in_order(self, names: Iterable[str]) -> list[Job]:
        """Return some jobs in the order in which they were added."""
        entries = [self.entries[name] for name in names]
        return [entry.job for entry in sorted(entries, key=lambda entry: entry.number)]

    def advance(self, now: float) -> None:
        """Count what has changed, and the jobs that have become late."""
        self.now = max(self.now, now)
        self.refresh()
        for name in self.late_times.pop_before(self.now):
            self.recount_job(self.entries[name])

    def refresh(self) -> None:
        """Count the jobs anew that have changed."""
        for job in self.changed.pop_all():
            entry = self.entries[job.id]
            self.recount_job(entry)
            self.set_times(entry)

    def recount_job(self, entry: Entry) -> None:
        """Replace what one job adds to the counts."""
        counted = self.count(entry.job)
        if counted != entry.counted:
            self.apply(entry, -1)
            entry.counted = counted
            self.apply(entry, 1)
            self.rebuild_if_inconsistent()

    def set_times(self, entry: Entry) -> None:
        """Set the times at which a job becomes late and at which it becomes hopeless."""
        job = entry.job
        if entry.counted.is_in_time:
            self.late_times.set(job.id, job.late_at())
        else:
            self.late_times.drop(job.id)
        self.hopeless_times.set(job.id, job.deadline_at - job.min_remaining_s())

    def count(self, job: Job) -> Counted:
        """Return what a job adds to the counts."""
        pieces: dict[str, int] = {}
        for phase, count in zip(job.place.phases, job.undispatched, strict=True):
            if count:
                pieces[phase.service] = pieces.get(phase.service, 0) + count
        return Counted(
            pieces=tuple(pieces.items()),
            is_in_time=self.now <= job.late_at(),
            is_started=job.has_progress,
            pacing_class=job.held_by,
            producers=frozenset(result.producer for result in job.all_results()),
        )

    def apply(self, entry: Entry, sign: int) -> None:
        """Add what a job counts for, or subtract it with a sign of -1."""
        counts = self.classes.setdefault(entry.job_class, ClassCounts())
        counted = entry.counted
        counts.members += sign
        for service, pieces in counted.pieces:
            if counted.is_in_time:
                self.change(counts.pieces, service, sign * pieces)
            if counted.is_started:
                self.change(counts.started_pieces, service, sign * pieces)
        if counted.is_in_time:
            self.change(counts.jobs, entry.job.place.service, sign)
        if counted.pacing_class is not None:
            self.change(self.unstarted, counted.pacing_class, sign)
        self.index_producers(entry, sign)
        if counts.members <= 0:
            del self.classes[entry.job_class]

    def index_producers(self, entry: Entry, sign: int) -> None:
        """Record at which replicas a job has results, or remove that with a sign of -1."""
        for producer in entry.counted.producers:
            if sign > 0:
                self.by_producer.setdefault(producer, set()).add(entry.job.id)
                continue
            names = self.by_producer.get(producer, set())
            names.discard(entry.job.id)
            if not names:
                self.by_producer.pop(producer, None)

    def change(self, counts: dict[Key, int], key: Key, change: int) -> None:
        """Change a count, and drop it at zero; record an inconsistency below that."""
        count = counts.get(key, 0) + change
        if count:
            counts[key] = count
        else:
            counts.pop(key, None)
        if count < 0:
            self.is_inconsistent = True

    def rebuild_if_inconsistent(self) -> None:
        """Count all jobs anew after an inconsistency, and report it."""
        if not self.is_inconsistent:
            return
        self.is_inconsistent = False
        self.observer.on_counts_rebuilt('backlog', len(self.entries))
        self.classes.clear()
        self.unstarted.clear()
        self.by_producer.clear()
        self.changed.jobs.clear()
        self.late_times.clear()
        self.hopeless_times.clear()
        for entry in self.entries.values():
            entry.counted = self.count(entry.job)
            self.apply(entry, 1)
            self.set_times(entry)


def class_of(job: Job) -> JobClass:
    """Return the class of a job."""
    return JobClass(job.resumed, job.is_over_allowance, job.effective_priority)
