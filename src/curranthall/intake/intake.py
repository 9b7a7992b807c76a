"""Accept, show and cancel jobs at any entry; the store's row is the truth."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, Protocol

from curranthall.cells import records
from curranthall.cells.load import HOME_BONUS, Load, suits, widest
from curranthall.cells.records import PROGRESS_TABLE, StoredJob, decode_stored_job
from curranthall.cells.succession import Succession
from curranthall.dag import Job, Phase, Progress
from curranthall.errors import AnswerLost, CurranthallError, PeerUnreachable, PlatformDown
from curranthall.events import Event, log
from curranthall.store import Check, Committed, Put, Row, Stale, Store
from curranthall.telemetry import acceptance_seconds

# How long the holder of a job's cell is asked for its phase before the store is read.
ASK_HOLDER_S = 0.25
# A phase read from the store answers for this long.
READ_FRESH_S = 0.3
# A caller that names no deadline waits this long.
DEFAULT_WAIT_S = 2.5
# Kept back from the caller's deadline for the answer's way.
ANSWER_S = 0.15
# A job that the store has not answered for after this part of the caller's time is better asked
# for again, at another entry: the caller is told that nothing is known.
UNSURE_SHARE = 0.45
STORE_RETRY_S = 0.1
# How long a peer tries to store a job for another entry.
RELAY_S = 1.5
# A cell's figures are up to two renewals old; what was sent to it counts this long.
SENT_S = 1.8


class Verdict(Enum):
    """What became of a job that was handed in."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Known(NamedTuple):
    """A job's phase as shown; None means that there is no such job."""

    phase: Phase | None


class Peers(Protocol):
    """What the intake asks of the links between entries."""

    def cast(self, peer: str, verb: str, body: Any) -> None:
        """Send without an answer; a message that can't be sent is dropped."""

    async def call(self, peer: str, verb: str, body: Any, timeout: float) -> Any:
        """Send and wait; raise a CurranthallError."""


class _Seen(NamedTuple):
    cell: str
    phase: Phase
    at: float


class Intake:
    """Serves callers at one entry."""

    def __init__(
        self,
        succession: Succession,
        store: Store,
        peers: Peers,
        clock: Callable[[], float],
        evacuated: Callable[[], frozenset[str]],
    ) -> None:
        self._succession = succession
        self._store = store
        self._peers = peers
        self._clock = clock
        self._evacuated = evacuated
        self._seen: dict[str, _Seen] = {}
        self._sent: list[tuple[float, str, float]] = []

    # Accepting

    async def submit(self, job: Job, wait_s: float) -> Verdict:
        """Store a job; accepted means committed, refused that it never runs."""
        began = self._clock()
        until = began + min(wait_s - ANSWER_S, wait_s * UNSURE_SHARE)
        cell = self.choose_cell(job)
        claims = {cell: self._succession.watch.epoch(cell)}
        progress = Progress(cell, writer=self._succession.me.name, claims=claims)
        store = self._relay if self._store.failing else self._create
        verdict = await store(job, progress, until)
        acceptance_seconds.observe(self._clock() - began, verdict=verdict.value)
        return verdict

    async def _create(self, job: Job, progress: Progress, until: float) -> Verdict:
        asked = False
        while True:
            try:
                async with asyncio.timeout(until - self._clock()):
                    answer = await records.create_job(self._store, job, progress)
            except TimeoutError:
                log(Event.JOB_UNSURE, job=job.id, queue=job.queue)
                return Verdict.UNKNOWN
            except PlatformDown as exc:
                if not asked:
                    log(Event.JOB_REFUSED, job=job.id, queue=job.queue, why=exc)
                    return Verdict.REFUSED
            except AnswerLost as exc:
                # The write may still take effect, so only the store can tell from here on.
                asked = True
                log(Event.STORE_FAILED, what="accept", job=job.id, error=exc)
            else:
                return self._accepted(job, progress, answer)
            await asyncio.sleep(STORE_RETRY_S)

    async def _relay(self, job: Job, progress: Progress, until: float) -> Verdict:
        """Have a peer store a job while the store can't be reached from here."""
        body = [job.encode(), progress.encode(), 0]
        for address in self._holders():
            left = until - self._clock()
            try:
                verdict = Verdict(await self._peers.call(address, "store", body, left))
            except PeerUnreachable:
                continue
            except CurranthallError as exc:
                log(Event.JOB_UNSURE, job=job.id, queue=job.queue, via=address, error=exc)
                return Verdict.UNKNOWN
            log(Event.JOB_RELAYED, job=job.id, via=address, verdict=verdict.value)
            if verdict is not Verdict.REFUSED:
                self._seen[job.id] = _Seen(progress.cell, Phase.QUEUED, self._clock())
                return verdict
        log(Event.JOB_REFUSED, job=job.id, queue=job.queue, why="the store is away")
        return Verdict.REFUSED

    def _holders(self) -> list[str]:
        """Give the addresses of the cells' holders, the own one left out."""
        watch, own = self._succession.watch, self._succession.me.address
        owners = [watch.holder(cell) for cell in watch.cells]
        return sorted({owner.address for owner in owners if owner is not None} - {own})

    async def _store_for_peer(self, body: Any) -> Verdict:
        stored = decode_stored_job(body)
        if self._store.failing:
            return Verdict.REFUSED
        progress = stored.progress
        # An entry that is cut from the store may not know of a takeover yet.
        known = self._succession.watch.epoch(progress.cell)
        progress.claims[progress.cell] = max(known, progress.claims.get(progress.cell, 0))
        return await self._create(stored.job, progress, self._clock() + RELAY_S)

    def _accepted(self, job: Job, progress: Progress, answer: Committed | Stale) -> Verdict:
        match answer:
            case Committed(version):
                stored = StoredJob(job, progress, version)
                work = round(job.work(), 1)
                log(Event.JOB_STORED, job=job.id, queue=job.queue, cell=progress.cell, work=work)
                self._hand_over(stored)
            case Stale():
                log(Event.JOB_KNOWN, job=job.id, queue=job.queue)
        return Verdict.ACCEPTED

    def _hand_over(self, stored: StoredJob) -> None:
        cell = stored.progress.cell
        self._seen[stored.job.id] = _Seen(cell, Phase.QUEUED, self._clock())
        self._succession.send_to_holder(cell, stored)

    def choose_cell(self, job: Job) -> str:
        """Give the cell with the most room for the job's widest step."""
        now, closed, step = self._clock(), self._evacuated(), widest(job)
        home, cells = self._succession.me.domain, self._succession.watch.cells
        best, best_rate = home, -float("inf")
        self._sent = [row for row in self._sent if now - row[0] < SENT_S]
        for cell in cells:
            owner = self._succession.watch.live_holder(cell, now)
            if owner is None or cell in closed:
                continue
            sent = sum(cores for _, to, cores in self._sent if to == cell)
            load = owner.load.get(job.service, Load())
            rate = suits(load, step, cell, cells, sent) + (HOME_BONUS if cell == home else 0.0)
            if rate > best_rate:
                best, best_rate = cell, rate
        self._sent.append((now, best, step.width * step.size.cores))
        return best

    # Showing

    async def phase(self, job_id: str) -> Known:
        """Give a job's phase; raise PlatformDown or AnswerLost when it can't be known."""
        local = self._local(job_id)
        if local is not None:
            return Known(local)
        seen = self._seen.get(job_id)
        if seen is not None and seen.phase.final:
            return Known(seen.phase)
        if seen is not None:
            asked = await self._ask_holder(seen.cell, job_id)
            if asked is not None:
                self._seen[job_id] = _Seen(seen.cell, asked, self._clock())
                return Known(asked)
            if self._clock() - seen.at < READ_FRESH_S:
                return Known(seen.phase)
        return await self._read(job_id)

    def _local(self, job_id: str) -> Phase | None:
        for runtime in self._succession.held.values():
            tracked = runtime.dispatcher.tracked.get(job_id)
            if tracked is not None and tracked.progress.cell == runtime.cell:
                return tracked.shown
        return None

    async def _ask_holder(self, cell: str, job_id: str) -> Phase | None:
        # The last holder seen is asked even when its row is old: the store may be away.
        owner = self._succession.watch.holder(cell)
        if owner is None or owner.address == self._succession.me.address:
            return None
        try:
            value = await self._peers.call(owner.address, "phase", job_id, ASK_HOLDER_S)
        except CurranthallError:
            return None
        return None if value is None else Phase(value)

    async def _read(self, job_id: str) -> Known:
        found = await records.read_progress(self._store, job_id)
        if found is None:
            return Known(None)
        progress, _ = found
        self._seen[job_id] = _Seen(progress.cell, progress.phase, self._clock())
        return Known(progress.phase)

    def pending(self, queue: str) -> int:
        """Count the accepted jobs of a queue of which nothing has begun."""
        watch, held = self._succession.watch, self._succession.held
        counts = [
            held[cell].waiting_jobs() if cell in held else watch.waiting(cell)
            for cell in watch.cells
        ]
        return sum(count.get(queue, 0) for count in counts)

    # Cancelling

    async def cancel(self, job_id: str, wait_s: float) -> bool:
        """Cancel a job; tell whether there is one. Raise PlatformDown or AnswerLost."""
        until = self._clock() + wait_s - ANSWER_S
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
        for address in self._holders():
            try:
                left = until - self._clock()
                return bool(await self._peers.call(address, "cancel", job_id, left))
            except CurranthallError as exc:
                log(Event.STORE_FAILED, what="cancel", job=job_id, via=address, error=exc)
        return await self._cancel(job_id)

    async def _cancel(self, job_id: str) -> bool:
        found = await records.read_progress(self._store, job_id)
        while found is not None:
            progress, version = found
            if progress.phase.final:
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
                self._tell_cancelled(progress, row)
                return True
            found = await records.read_progress(self._store, job_id)
        return False

    def _tell_cancelled(self, progress: Progress, row: Row) -> None:
        self._seen[row.key] = _Seen(progress.cell, progress.phase, self._clock())
        for cell in records.other_cells(progress, ""):
            runtime = self._succession.held.get(cell)
            owner = self._succession.watch.holder(cell)
            if runtime is not None:
                runtime.refresh(row.key, row)
            elif owner is not None:
                self._peers.cast(owner.address, "row", [*row])

    # What peers ask

    async def handle(self, peer: str, verb: str, body: Any) -> Any:
        """Answer a peer's message."""
        match verb:
            case "phase":
                local = self._local(str(body))
                return None if local is None else int(local)
            case "store":
                return (await self._store_for_peer(body)).value
            case "cancel":
                return await self._cancel(str(body))
            case "job":
                stored = decode_stored_job(body)
                for runtime in list(self._succession.held.values()):
                    runtime.offer(stored)
            case "row":
                row = Row(*body)
                for runtime in list(self._succession.held.values()):
                    runtime.refresh(row.key, row)
        return None
