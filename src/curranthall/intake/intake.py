"""Accept, show and cancel jobs at any entry; the store's row is authoritative."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from math import isfinite
from typing import Any, NamedTuple, Protocol

from curranthall.cells import records
from curranthall.cells.forecast import (
    CALLER_ESTIMATES,
    MIN_RETRY_AFTER_S,
    NEVER,
    Estimates,
    Prediction,
    Sent,
    UsualWork,
    is_predictable,
    latest_equal_s,
    measure_job,
    objective_s,
    predict,
    refusal_delay_s,
    retry_after_s,
)
from curranthall.cells.load import HOME_BONUS, Load, rate_cell, widest_step
from curranthall.cells.records import (
    PROGRESS_TABLE,
    Cancelled,
    Refused,
    StoredJob,
    decode_stored_job,
)
from curranthall.cells.succession import Succession
from curranthall.dag import Job, Phase, Progress, Queue
from curranthall.errors import (
    AnswerLost,
    CurranthallError,
    PeerUnreachable,
    PlatformDown,
    Unknown,
)
from curranthall.events import Event, log
from curranthall.intake.pending import PendingJobs
from curranthall.intake.tombstones import Tombstones
from curranthall.store import ABSENT, Check, Committed, Put, Row, Stale, Store
from curranthall.telemetry import acceptance_seconds, early_refusals, predicted_finish_seconds
from curranthall.values import checked, items, reason, text, whole

# Time limit for the phase request to the cell's holder, before the store is read instead.
HOLDER_TIMEOUT_S = 0.25
# Lifetime of a cached phase that is not final, if the holder does not answer.
PHASE_CACHE_S = 0.3
# Wait for callers that set no deadline.
DEFAULT_WAIT_S = 2.5
# Part of the caller's deadline reserved for the response's transit.
ANSWER_MARGIN_S = 0.15
# Share of the caller's wait after which an unconfirmed submission is answered as UNKNOWN, which
# leaves the caller time to retry at another entry.
UNSURE_SHARE = 0.45
STORE_RETRY_S = 0.1
# Time limit for storing a job on behalf of another entry.
RELAY_TIMEOUT_S = 1.5
# A submission adds to a cell's load for this long, as the cell's report is up to two renewals old.
SUBMISSION_TTL_S = 1.8
# Time limit for recording a refusal; a slow store takes 0.3 s. The job is then submitted as usual.
REFUSAL_TIMEOUT_S = 0.6


class Verdict(Enum):
    """Result of submitting a job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    # Refused, as it would be done too late in every cell.
    TOO_LATE = "too-late"
    # Refused, as it was cancelled before it could be stored.
    CANCELLED = "cancelled"


class Answer(NamedTuple):
    """Answer to a submission; `retry_after_s` counts for a job that would be done too late."""

    verdict: Verdict
    retry_after_s: int = MIN_RETRY_AFTER_S


class JobStatus(NamedTuple):
    """A job's phase as shown to callers; None if there is no such job."""

    phase: Phase | None


class PeerLinks(Protocol):
    """Messaging between entries."""

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send without waiting for an answer; drop the message if it can't be sent."""

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Send and return the answer; raise a CurranthallError."""


class _Submission(NamedTuple):
    """What was sent to a cell lately."""

    at: float
    cell: str
    service: str
    filling: bool
    cores: float
    work: float


class Choice(NamedTuple):
    """The cell chosen for a job, and why: room in cores and prediction by cell."""

    cell: str
    rooms: dict[str, float]
    doubted: list[str]
    # Of all cells that are not evacuated; None where nothing is known.
    predictions: dict[str, Prediction | None]


class _CachedPhase(NamedTuple):
    cell: str
    phase: Phase
    cached_at: float


def _finishes(predictions: dict[str, Prediction | None]) -> dict[str, float | str]:
    """Return predicted finishes in seconds for a log line."""
    return {
        cell: "unknown" if each is None else "never" if each == NEVER else round(each.finish_s, 2)
        for cell, each in predictions.items()
    }


class Intake:
    """Handles jobs for the callers of one entry."""

    def __init__(
        self,
        succession: Succession,
        store: Store,
        peers: PeerLinks,
        clock: Callable[[], float],
        evacuated: Callable[[], frozenset[str]],
        queue_of: Callable[[Job], Queue | None],
    ) -> None:
        self._succession = succession
        self._store = store
        self._peers = peers
        self._clock = clock
        self._evacuated = evacuated
        self._queue_of = queue_of
        self._phases: dict[str, _CachedPhase] = {}
        self._submissions: list[_Submission] = []
        # The source of run times for predictions.
        self.estimates: Estimates = CALLER_ESTIMATES
        self._usual_work = UsualWork()
        self._pending = PendingJobs(succession, store, clock)
        self._tombstones = Tombstones(store, clock)

    # Submission

    async def submit(self, job: Job, wait_s: float) -> Verdict:
        """Store a job; ACCEPTED means it is committed, a refusal that it never runs."""
        return (await self.accept(job, wait_s)).verdict

    async def accept(self, job: Job, wait_s: float) -> Answer:
        """Store a job as `submit` does; tell when a job that would be late may come back."""
        started_at = self._clock()
        until = started_at + min(wait_s - ANSWER_MARGIN_S, wait_s * UNSURE_SHARE)
        # A refusal with a later version may be of a later attempt, whose caller knows of it.
        seen = self._succession.watch.epoch_seen
        self._usual_work.observe(job)
        delay_s = self._refusal_delay_s(job)
        verdict = None if delay_s is None else await self._refuse_late(job, until)
        if verdict is None:
            verdict = await self._store_job(job, until, seen)
        acceptance_seconds.observe(self._clock() - started_at, verdict=verdict.value)
        if delay_s is None or verdict is not Verdict.TOO_LATE:
            return Answer(verdict)
        return Answer(verdict, retry_after_s(delay_s, random.random()))

    async def _store_job(self, job: Job, until: float, seen: int) -> Verdict:
        cell = self.choose_cell(job)
        claims = {cell: self._succession.watch.epoch(cell)}
        queue = self._queue_of(job)
        writer, timed = self._succession.me.name, job.is_timed
        progress = Progress(cell, writer=writer, claims=claims, queue=queue, timed=timed)
        store_job = self._relay if self._store.failing else self._create
        return await store_job(job, progress, until, seen)

    def _refusal_delay_s(self, job: Job) -> float | None:
        """Return after how many seconds a job would be in time if it is to be refused now."""
        queue = self._queue_of(job)
        if not self._succession.options.early_refusal or queue is None or self._store.failing:
            return None
        predictions = self._predict_all(job).values()
        return refusal_delay_s(predictions, objective_s(job, queue))

    async def refuse(self, job_id: str) -> bool:
        """Record the refusal of a job; return False if it is stored.

        Nothing that was sent before can store it then. Raise PlatformDown or AnswerLost.
        """
        return isinstance(await self._tombstones.refuse(job_id), Committed)

    async def _refuse_late(self, job: Job, until: float) -> Verdict | None:
        """Record a refusal; return None if it may not be recorded and the job is to be stored."""
        try:
            async with asyncio.timeout(min(REFUSAL_TIMEOUT_S, until - self._clock())):
                answer = await self._tombstones.refuse(job.id)
        except (TimeoutError, PlatformDown, AnswerLost) as exc:
            log(Event.REFUSAL_UNSURE, job=job.id, queue=job.queue, error=exc or "timeout")
            early_refusals.count(outcome="unsure")
            return None
        match answer:
            case Committed(version):
                log(Event.JOB_TOO_LATE, job=job.id, queue=job.queue, version=version)
                early_refusals.count(outcome="refused")
                return Verdict.TOO_LATE
            case Stale():
                log(Event.JOB_KNOWN, job=job.id, queue=job.queue)
                early_refusals.count(outcome="known")
                return Verdict.ACCEPTED

    async def _create(self, job: Job, progress: Progress, until: float, seen: int) -> Verdict:
        may_be_stored = False
        refusal_version = ABSENT
        while True:
            try:
                async with asyncio.timeout(until - self._clock()):
                    answer = await records.create_job(self._store, job, progress, refusal_version)
                    if isinstance(answer, Stale):
                        # Before the store tells why, a refusal would be a guess.
                        may_be_stored = True
                        conflict = await records.find_conflict(self._store, job.id, answer)
            except TimeoutError:
                log(Event.JOB_UNSURE, job=job.id, queue=job.queue)
                return Verdict.UNKNOWN
            except PlatformDown as exc:
                if not may_be_stored:
                    log(Event.JOB_REFUSED, job=job.id, queue=job.queue, why=exc)
                    return Verdict.REFUSED
            except AnswerLost as exc:
                # The write may still take effect, so the job can no longer be refused.
                may_be_stored = True
                log(Event.STORE_FAILED, what="accept", job=job.id, error=exc)
            else:
                if isinstance(answer, Committed):
                    return self._handle_commit(job, progress, answer)
                match conflict:
                    case None:
                        return self._handle_commit(job, progress, answer)
                    case Cancelled(version):
                        why = "cancelled before it was stored"
                        log(
                            Event.JOB_REFUSED,
                            job=job.id,
                            queue=job.queue,
                            why=why,
                            version=version,
                        )
                        return Verdict.CANCELLED
                    case Refused(version) if version > seen:
                        # It ends all creations sent before, so nothing of them gets stored.
                        log(Event.JOB_TOO_LATE, job=job.id, queue=job.queue, version=version)
                        return Verdict.TOO_LATE
                    case Refused(version):
                        refusal_version = version
                continue
            await asyncio.sleep(STORE_RETRY_S)

    async def _relay(self, job: Job, progress: Progress, until: float, seen: int) -> Verdict:
        """Store a job through a peer, while the store is unreachable from this entry."""
        body = StoredJob(job, progress, seen).encode()
        for address in self._holder_addresses():
            left_s = until - self._clock()
            try:
                verdict = Verdict(await self._peers.call(address, "store", body, left_s))
            except PeerUnreachable:
                continue
            except (CurranthallError, ValueError) as exc:
                log(Event.JOB_UNSURE, job=job.id, queue=job.queue, via=address, error=exc)
                return Verdict.UNKNOWN
            log(Event.JOB_RELAYED, job=job.id, via=address, verdict=verdict.value)
            if verdict is Verdict.REFUSED:
                continue
            if verdict is Verdict.ACCEPTED:
                self._phases[job.id] = _CachedPhase(progress.cell, Phase.QUEUED, self._clock())
            return verdict
        log(Event.JOB_REFUSED, job=job.id, queue=job.queue, why="the store is away")
        return Verdict.REFUSED

    def _holder_addresses(self) -> list[str]:
        """Return the addresses of the cells' holders, except this entry."""
        watch, own = self._succession.watch, self._succession.me.address
        owners = [watch.holder(cell) for cell in watch.cells]
        return sorted({owner.address for owner in owners if owner is not None} - {own})

    async def _store_for_peer(self, body: Any) -> Verdict:
        stored = decode_stored_job(body)
        if self._store.failing:
            return Verdict.REFUSED
        progress = stored.progress
        # The sender, cut off from the store, may not know about a takeover yet.
        known_epoch = self._succession.watch.epoch(progress.cell)
        progress.claims[progress.cell] = max(known_epoch, progress.claims.get(progress.cell, 0))
        # The version is the newest one that the sender had seen when the submission began.
        until = self._clock() + RELAY_TIMEOUT_S
        return await self._create(stored.job, progress, until, stored.version)

    def _handle_commit(self, job: Job, progress: Progress, answer: Committed | Stale) -> Verdict:
        match answer:
            case Committed(version):
                stored = StoredJob(job, progress, version)
                cell = progress.cell
                log(
                    Event.JOB_STORED,
                    job=job.id,
                    queue=job.queue,
                    customer=job.customer,
                    cell=cell,
                    epoch=progress.claims.get(cell, 0),
                    row_age_ms=self._succession.watch.row_age_ms(cell, self._clock()),
                    version=version,
                    work=round(job.work(), 1),
                )
                self._hand_over(stored)
            case Stale():
                # A job with this id is already stored.
                log(Event.JOB_KNOWN, job=job.id, queue=job.queue)
        return Verdict.ACCEPTED

    def _hand_over(self, stored: StoredJob) -> None:
        cell = stored.progress.cell
        self._phases[stored.job.id] = _CachedPhase(cell, Phase.QUEUED, self._clock())
        self._succession.send_to_holder(cell, stored)

    def choose_cell(self, job: Job) -> str:
        """Return the cell that best fits a job; add the job to what the cell was sent."""
        now, step = self._clock(), widest_step(job)
        choice = self.rank_cells(job)
        cores = step.width * step.size.cores
        needed = measure_job(job, self.estimates)
        self._submissions.append(
            _Submission(now, choice.cell, job.service, step.filling, cores, needed.work)
        )
        fields: dict[str, object] = {}
        if choice.predictions:
            fields["finish_s"] = _finishes(choice.predictions)
            chosen = choice.predictions.get(choice.cell)
            if chosen is not None and isfinite(chosen.finish_s):
                predicted_finish_seconds.observe(chosen.finish_s)
        log(
            Event.CELL_CHOSEN,
            job=job.id,
            cell=choice.cell,
            cores=round(cores, 1),
            rooms=choice.rooms,
            doubted=choice.doubted,
            **fields,
        )
        return choice.cell

    def rank_cells(self, job: Job) -> Choice:
        """Return the cell that best fits the job's widest step.

        Cells whose holder may be gone are chosen only if no other cell has workers for it. With
        projected load, the cells with about the earliest predicted finish go before the others.
        """
        now, evacuated, step = self._clock(), self._evacuated(), widest_step(job)
        home, cells = self._succession.me.domain, self._succession.watch.cells
        best, best_rank = home, (False, False, -float("inf"))
        rooms: dict[str, float] = {}
        doubted: list[str] = []
        self._submissions = [row for row in self._submissions if now - row.at < SUBMISSION_TTL_S]
        uses_predictions = self._succession.options.projected_load
        predictions = self._predict_all(job) if uses_predictions else {}
        owners = {cell: self._succession.watch.live_holder(cell, now) for cell in cells}
        live = {c: owner for c, owner in owners.items() if owner is not None and c not in evacuated}
        doubted = [c for c, owner in live.items() if self._succession.may_be_gone(c, owner, now)]
        finishes = {c: each.finish_s for c, each in predictions.items() if each is not None}
        trusted = [finishes[c] for c in live if c in finishes and c not in doubted]
        latest_s = latest_equal_s(trusted or finishes.values())
        for cell, owner in live.items():
            recent = sum(row.cores for row in self._submissions if row.cell == cell)
            load = owner.load.get(job.service, Load())
            rooms[cell] = round(load.room(step) - recent, 1)
            score = rate_cell(load, step, cell, cells, recent) + (
                HOME_BONUS if cell == home else 0.0
            )
            is_early = finishes.get(cell, float("inf")) <= latest_s
            rank = (cell not in doubted, is_early, score)
            if score > -float("inf") and rank > best_rank:
                best, best_rank = cell, rank
        return Choice(best, rooms, doubted, predictions)

    def _predict_all(self, job: Job) -> dict[str, Prediction | None]:
        """Predict a job's finish in all cells that are not evacuated; empty if that's impossible.

        Rows that are too old tell nothing, unless the cell has no worker for the job.
        """
        queue, now, evacuated = self._queue_of(job), self._clock(), self._evacuated()
        if queue is None or not is_predictable(job):
            return {}
        needed, place = measure_job(job, self.estimates), self._usual_work.place(job, queue)
        found: dict[str, Prediction | None] = {}
        sent_cores, sent_work = defaultdict[str, float](float), defaultdict[str, float](float)
        for row in self._submissions:
            is_recent = now - row.at < SUBMISSION_TTL_S
            if is_recent and (row.service, row.filling) == (job.service, needed.step.filling):
                sent_cores[row.cell] += row.cores
                sent_work[row.cell] += row.work
        for cell in self._succession.watch.cells:
            if cell not in evacuated:
                owner = self._succession.watch.live_holder(cell, now)
                load = None if owner is None else owner.load.get(job.service)
                sent = Sent(sent_cores[cell], sent_work[cell])
                can_run = self._succession.can_run(cell, job)
                found[cell] = predict(load, needed, place, sent, can_run)
        return found

    # Status

    async def phase(self, job_id: str) -> JobStatus:
        """Return a job's phase; raise PlatformDown or AnswerLost if it can't be determined."""
        local_phase = self._local_phase(job_id)
        if local_phase is not None:
            return JobStatus(local_phase)
        cached = self._phases.get(job_id)
        if cached is not None and cached.phase.is_final:
            return JobStatus(cached.phase)
        if cached is not None:
            reported = await self._request_phase(cached.cell, job_id)
            if reported is not None:
                self._phases[job_id] = _CachedPhase(cached.cell, reported, self._clock())
                return JobStatus(reported)
            if self._clock() - cached.cached_at < PHASE_CACHE_S:
                return JobStatus(cached.phase)
        return await self._read_phase(job_id)

    def _local_phase(self, job_id: str) -> Phase | None:
        for runtime in self._succession.held.values():
            tracked = runtime.dispatcher.tracked.get(job_id)
            if tracked is not None and tracked.progress.cell == runtime.cell:
                return tracked.visible_phase
        return None

    async def _request_phase(self, cell: str, job_id: str) -> Phase | None:
        # Ask the last known holder even if its row is old, as the store may be down.
        owner = self._succession.watch.holder(cell)
        if owner is None or owner.address == self._succession.me.address:
            return None
        try:
            value = await self._peers.call(owner.address, "phase", job_id, HOLDER_TIMEOUT_S)
            return None if value is None else Phase(whole(value))
        except CurranthallError:
            return None
        except ValueError as exc:
            log(Event.FRAME_REFUSED, peer=owner.address, why=reason(exc))
            return None

    async def _read_phase(self, job_id: str) -> JobStatus:
        found = await records.read_progress(self._store, job_id)
        if found is None:
            return JobStatus(None)
        progress, _ = found
        self._phases[job_id] = _CachedPhase(progress.cell, progress.phase, self._clock())
        return JobStatus(progress.phase)

    async def count_pending(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not started."""
        return await self._pending.count(queue)

    # Cancellation

    async def cancel(self, job_id: str, wait_s: float) -> bool:
        """Cancel a job; return whether it exists.

        Raise PlatformDown or AnswerLost if the store fails, RateExceeded if too many unknown jobs
        are cancelled, and Unknown if the job's row can't be read.
        """
        until = self._clock() + wait_s - ANSWER_MARGIN_S
        while True:
            try:
                if self._store.failing:
                    return await self._cancel_by_peer(job_id, until)
                return await self._cancel(job_id)
            except (PlatformDown, AnswerLost):
                if self._clock() > until:
                    raise
                await asyncio.sleep(STORE_RETRY_S)

    async def _cancel_by_peer(self, job_id: str, until: float) -> bool:
        for address in self._holder_addresses():
            try:
                left_s = until - self._clock()
                return bool(await self._peers.call(address, "cancel", job_id, left_s))
            except CurranthallError as exc:
                log(Event.STORE_FAILED, what="cancel", job=job_id, via=address, error=exc)
        return await self._cancel(job_id)

    async def _cancel(self, job_id: str) -> bool:
        found = await records.read_progress(self._store, job_id)
        if found is None:
            # A creation that is under way must not take effect once the caller was told.
            answer = await self._tombstones.cancel(job_id)
            if isinstance(answer, Committed):
                log(Event.JOB_NOT_STORED, job=job_id, version=answer.version)
                return False
            found = await records.read_progress(self._store, job_id)
        while found is not None:
            progress, version = found
            if progress.phase.is_final:
                return True
            progress.phase = Phase.CANCELLED
            progress.writer = self._succession.me.name
            data, part = progress.encode(), records.part_of(job_id)
            answer = await self._store.commit(
                part,
                [Check(PROGRESS_TABLE, job_id, version)],
                [Put(PROGRESS_TABLE, job_id, data)],
                [],
            )
            if isinstance(answer, Committed):
                log(Event.JOB_CANCELLED, job=job_id)
                row = Row(PROGRESS_TABLE, part, job_id, data, answer.version)
                self._notify_cell_holders(progress, row)
                return True
            found = await records.read_progress(self._store, job_id)
        raise Unknown(job=job_id, why="its row can't be read")

    def _notify_cell_holders(self, progress: Progress, row: Row) -> None:
        self._phases[row.key] = _CachedPhase(progress.cell, progress.phase, self._clock())
        for cell in records.other_cells(progress, ""):
            runtime = self._succession.held.get(cell)
            owner = self._succession.watch.holder(cell)
            if runtime is not None:
                runtime.refresh(row.key, row)
            elif owner is not None:
                self._peers.cast(owner.address, "row", [*row])

    # Messages from peers

    async def handle(self, peer: str, verb: str, body: Any) -> Any:
        """Handle a peer's message and return the answer."""
        match verb:
            case "phase":
                local_phase = self._local_phase(text(body))
                return None if local_phase is None else int(local_phase)
            case "store":
                return (await self._store_for_peer(body)).value
            case "cancel":
                return await self._cancel(text(body))
            case "job":
                stored = decode_stored_job(body)
                for runtime in list(self._succession.held.values()):
                    runtime.offer(stored)
            case "row":
                row = checked(Row(*items(body)))
                for runtime in list(self._succession.held.values()):
                    runtime.refresh(row.key, row)
        return None
