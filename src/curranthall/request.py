"""Request routing: choose an endpoint, wait for a slot, send, and retry within a budget."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from curranthall.config import Config
from curranthall.errors import (
    AnswerLost,
    BadDeadline,
    ConnectFailed,
    CurranthallError,
    NotRun,
    PeerUnreachable,
    Refused,
    Unknown,
)
from curranthall.events import Event, log
from curranthall.lease import HeldWorker, LeaseKeeper
from curranthall.link import Mesh
from curranthall.model import HostState
from curranthall.roster import Roster, WorkerView

MAX_DEADLINE_S = 600.0
MAX_WAITERS = 64
MAX_ATTEMPTS = 4
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.01
PENALTY_S = 5.0
PENALTY_LATENCY_S = 1.0
REMOTE_COST_S = 0.002
FIRST_ATTEMPT_SHARE = 0.6
DUPLICATE_WINDOW_S = 30.0


class ServiceRequest(NamedTuple):
    """A caller's request; `deadline` is a time on this entry's monotonic clock."""

    id: str
    service: str
    customer: str
    body: bytes
    deadline: float
    idempotent: bool


class Candidate(NamedTuple):
    """An endpoint that can take a request, with its estimated cost in seconds."""

    holder: str
    worker: str
    cost: float
    is_local: bool


class _Waiter(NamedTuple):
    customer: str
    deadline: float
    fut: asyncio.Future[None]


class SlotQueue:
    """The slots of one held worker and the requests waiting for a slot.

    A free slot goes to the customer with the fewest used slots per weight, and among its
    requests to the one with the earliest deadline.
    """

    def __init__(self) -> None:
        self.latency = INITIAL_LATENCY_S
        self.penalty_until = 0.0
        self._waiters: list[_Waiter] = []
        self._used_slots: dict[str, int] = defaultdict(int)
        self._weights: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Count the waiting requests."""
        return len(self._waiters)

    async def acquire(
        self, held: HeldWorker, req: ServiceRequest, weight: float, now: float
    ) -> None:
        """Take a slot; raise NotRun if none becomes free in time or the queue is full."""
        self._weights[req.customer] = weight
        if self._count_free(held) > 0 and not self._waiters:
            self._occupy_slot(held, req.customer)
            return
        rounds = self._estimate_position(req.customer) / held.host.slots + 1
        if now + rounds * self.latency > req.deadline or not self._make_room_for(req.customer):
            raise NotRun(why="overload", worker=held.host.name)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(req.customer, req.deadline, fut)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, req.deadline - now - self.latency)):
                await fut
        except TimeoutError as exc:
            self._give_up(held, waiter)
            raise NotRun(why="no slot in time", worker=held.host.name) from exc
        except asyncio.CancelledError:
            self._give_up(held, waiter)
            raise

    def release(self, held: HeldWorker, customer: str, took_s: float | None) -> None:
        """Free a slot and grant it to the next waiter."""
        held.inflight -= 1
        self._used_slots[customer] -= 1
        if not self._used_slots[customer]:
            del self._used_slots[customer]
        if took_s is not None:
            self.latency += LATENCY_WEIGHT * (took_s - self.latency)
        while self._waiters and self._count_free(held) > 0:
            waiter = min(self._waiters, key=self._sort_key)
            self._waiters.remove(waiter)
            if not waiter.fut.done():
                self._occupy_slot(held, waiter.customer)
                waiter.fut.set_result(None)

    def _occupy_slot(self, held: HeldWorker, customer: str) -> None:
        held.inflight += 1
        self._used_slots[customer] += 1

    def _sort_key(self, waiter: _Waiter) -> tuple[float, float]:
        used = self._used_slots.get(waiter.customer, 0) / self._weights[waiter.customer]
        return used, waiter.deadline

    def _estimate_position(self, customer: str) -> int:
        """Estimate the queue position, counting as many of each other customer as of this one."""
        counts = Counter(waiter.customer for waiter in self._waiters)
        own = counts[customer] + 1
        return own + sum(min(n, own) for name, n in counts.items() if name != customer)

    def _make_room_for(self, customer: str) -> bool:
        """Return whether one more request may wait.

        If the queue is full, displace a request of the customer with the most waiting requests.
        """
        if len(self._waiters) < MAX_WAITERS:
            return True
        counts = Counter(waiter.customer for waiter in self._waiters)
        largest, most = counts.most_common(1)[0]
        if counts[customer] + 1 >= most:
            return False
        displaced = max(
            (w for w in self._waiters if w.customer == largest), key=lambda w: w.deadline
        )
        self._waiters.remove(displaced)
        if not displaced.fut.done():
            displaced.fut.set_exception(NotRun(why="overload, displaced"))
        return True

    def _give_up(self, held: HeldWorker, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.fut.done() and not waiter.fut.cancelled() and not waiter.fut.exception():
            # The slot was granted at the same moment; pass it on.
            self.release(held, waiter.customer, None)

    def _count_free(self, held: HeldWorker) -> int:
        others = held.lease.other_inflight if held.lease is not None else 0
        return held.host.slots - held.inflight - others


class Endpoints:
    """The lease holder's side: admits requests to held workers and sends them."""

    def __init__(self, keeper: LeaseKeeper, config: Config, clock: Callable[[], float]) -> None:
        self._keeper = keeper
        self._config = config
        self._clock = clock
        self.slot_queues: dict[str, SlotQueue] = defaultdict(SlotQueue)
        self.sent = 0
        # Set at shutdown: new requests are refused, so that peers can send them elsewhere.
        self.closed = False
        # Non-idempotent requests sent, oldest first, and until when a duplicate may arrive.
        self._sent_until: dict[str, float] = {}

    def worker_views(self) -> dict[str, WorkerView]:
        """Describe the held workers for peers."""
        now = self._clock()
        worker_views = {}
        for held in self._keeper.held():
            queue = self.slot_queues[held.host.name]
            assert held.lease is not None
            services = {run.service for run in held.lease.running.values() if run.service}
            penalized = now < queue.penalty_until
            worker_views[held.host.name] = WorkerView(
                domain=held.host.domain,
                services=sorted(services),
                inflight=held.inflight + held.lease.other_inflight,
                slots=held.host.slots,
                waiting=queue.waiting,
                latency=max(queue.latency, PENALTY_LATENCY_S) if penalized else queue.latency,
                leaving=not self._is_accepting(held),
            )
        return worker_views

    @property
    def is_busy(self) -> bool:
        """Return whether any request is in flight or waiting."""
        workers = self._keeper.workers.values()
        return any(held.inflight for held in workers) or any(
            queue.waiting for queue in self.slot_queues.values()
        )

    def _is_accepting(self, held: HeldWorker) -> bool:
        domain_out = bool(self._config.rows("domain")) and not self._config.is_domain_in(
            held.host.domain
        )
        return held.host.state is HostState.LIVE and not domain_out

    async def serve(self, worker: str, req: ServiceRequest) -> bytes:
        """Run a request on a held worker; raise NotRun only if it certainly did not run."""
        if not req.idempotent:
            self._check_duplicate(req)
        if self.closed:
            raise NotRun(why="shutting down", worker=worker)
        held = self._keeper.workers.get(worker)
        if held is None or not held.is_usable(self._clock()) or not self._is_accepting(held):
            raise NotRun(why="worker not usable here", worker=worker)
        queue = self.slot_queues[worker]
        customer = self._config.rows("customer").get(req.customer)
        weight = 1.0 if customer is None else customer["weight"]
        await queue.acquire(held, req, weight, self._clock())
        started, took_s = self._clock(), None
        try:
            # The lease may have ended during the wait.
            if not held.is_usable(started) or not self._is_accepting(held):
                raise NotRun(why="worker not usable any more", worker=worker)
            body = await self._send(held, queue, req, started)
            took_s = self._clock() - started
            return body
        finally:
            queue.release(held, req.customer, took_s)

    def _check_duplicate(self, req: ServiceRequest) -> None:
        """Refuse a duplicate of a forwarded request, as the first copy may have run."""
        now = self._clock()
        for request, until in list(self._sent_until.items()):
            if until > now:
                break
            del self._sent_until[request]
        if req.id in self._sent_until:
            raise Unknown(why="a copy of it came before", request=req.id)

    async def _send(
        self, held: HeldWorker, queue: SlotQueue, req: ServiceRequest, now: float
    ) -> bytes:
        self.sent += 1
        if not req.idempotent:
            self._check_duplicate(req)
            self._sent_until[req.id] = now + DUPLICATE_WINDOW_S
        try:
            return await held.worker.serve(req.service, req.id, req.body, req.deadline - now)
        except (ConnectFailed, Refused) as exc:
            queue.penalty_until = now + PENALTY_S
            raise NotRun(why=exc.code, worker=held.host.name) from exc
        except AnswerLost as exc:
            queue.penalty_until = now + PENALTY_S
            raise Unknown(why="answer lost", worker=held.host.name) from exc


class RetryBudget:
    """Token bucket that limits retries to a tenth of the requests."""

    def __init__(self) -> None:
        self._tokens = RETRY_BURST

    def deposit(self) -> None:
        """Add a request's share of a retry."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_RATIO)

    def withdraw(self) -> bool:
        """Use one retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Router:
    """The caller's side: customer limits, choice of endpoint, retries."""

    def __init__(
        self,
        entry_id: str,
        domain: str,
        clock: Callable[[], float],
        rng: random.Random,
        config: Config,
        roster: Roster,
        endpoints: Endpoints,
        mesh: Mesh,
    ) -> None:
        self._id = entry_id
        self._domain = domain
        self._clock = clock
        self._rng = rng
        self._config = config
        self._roster = roster
        self._endpoints = endpoints
        self._mesh = mesh
        self._budget = RetryBudget()
        self._outstanding: dict[str, int] = defaultdict(int)
        self.demand: dict[str, int] = defaultdict(int)
        self.counts: dict[str, int] = defaultdict(int)

    async def request(self, req: ServiceRequest) -> bytes:
        """Return the answer's body; raise NotRun, Unknown or an input error."""
        self._config.row("customer", req.customer)
        self._config.row("service", req.service)
        if not 0 < req.deadline - self._clock() <= MAX_DEADLINE_S:
            raise BadDeadline(allowed=f"0 to {MAX_DEADLINE_S:g} s")
        self._admit(req)
        self.demand[req.customer] += 1
        self._budget.deposit()
        try:
            body = await self._send_with_retries(req)
        except CurranthallError as exc:
            self.counts[exc.code] += 1
            unknown = isinstance(exc, Unknown)
            event = Event.REQUEST_UNKNOWN if unknown else Event.REQUEST_NOT_RUN
            log(event, request=req.id, customer=req.customer, why=exc)
            raise
        finally:
            self.demand[req.customer] -= 1
        self.counts["answered"] += 1
        return body

    def _admit(self, req: ServiceRequest) -> None:
        limit = self._config.row("customer", req.customer)["limit"]
        own = self.demand[req.customer]
        if own + 1 > max(1.0, limit * self._roster.limit_share(req.customer, own + 1)):
            self.counts["limited"] += 1
            raise NotRun(why="customer limit", customer=req.customer)

    async def _send_with_retries(self, req: ServiceRequest) -> bytes:
        tried: set[str] = set()
        failure: CurranthallError = NotRun(why="no endpoint", service=req.service)
        for attempt in range(MAX_ATTEMPTS):
            candidate = self._choose(req.service, tried)
            if candidate is None or self._clock() >= req.deadline:
                break
            tried.add(candidate.worker)
            if attempt:
                log(Event.REQUEST_RETRIED, request=req.id, after=failure.code)
            log(Event.REQUEST_ROUTED, request=req.id, worker=candidate.worker, by=candidate.holder)
            try:
                return await self._send(candidate, req, last=attempt == MAX_ATTEMPTS - 1)
            except NotRun as exc:
                # Once an attempt may have run, a later refusal must not report "not run".
                if not isinstance(failure, Unknown):
                    failure = exc
            except Unknown as exc:
                failure = exc
                if not req.idempotent or not self._budget.withdraw():
                    break
        raise failure

    async def _send(self, candidate: Candidate, req: ServiceRequest, last: bool) -> bytes:
        if req.idempotent and not last:
            left_s = req.deadline - self._clock()
            req = req._replace(deadline=self._clock() + left_s * FIRST_ATTEMPT_SHARE)
        self._outstanding[candidate.worker] += 1
        try:
            if candidate.holder == self._id:
                return await self._endpoints.serve(candidate.worker, req)
            return await self._forward(candidate, req)
        finally:
            self._outstanding[candidate.worker] -= 1

    async def _forward(self, candidate: Candidate, req: ServiceRequest) -> bytes:
        left_s = req.deadline - self._clock()
        body = {**req._asdict(), "worker": candidate.worker, "left": left_s}
        del body["deadline"]
        try:
            answer: bytes = await self._mesh.call(candidate.holder, "forward", body, left_s)
        except PeerUnreachable as exc:
            raise NotRun(why="peer unreachable", peer=candidate.holder) from exc
        except AnswerLost as exc:
            raise Unknown(why="peer did not answer", peer=candidate.holder) from exc
        return answer

    def _choose(self, service: str, tried: set[str]) -> Candidate | None:
        """Take the cheaper of two random candidates, own failure domain first."""
        found = [c for c in self._candidates(service) if c.worker not in tried]
        local = [candidate for candidate in found if candidate.is_local]
        pool = local or found
        if not pool:
            return None
        two = self._rng.sample(pool, min(2, len(pool)))
        best = min(two, key=lambda candidate: candidate.cost)
        remote = [candidate for candidate in found if not candidate.is_local]
        if local and remote and best.cost > PENALTY_LATENCY_S / 2:
            other = min(
                self._rng.sample(remote, min(2, len(remote))), key=lambda candidate: candidate.cost
            )
            best = min(best, other, key=lambda candidate: candidate.cost)
        return best

    def _candidates(self, service: str) -> list[Candidate]:
        views = [(self._id, name, view) for name, view in self._endpoints.worker_views().items()]
        views += list(self._roster.worker_views())
        return [
            self._estimate(holder, name, view)
            for holder, name, view in views
            if service in view["services"] and not view["leaving"]
        ]

    def _estimate(self, holder: str, name: str, view: WorkerView) -> Candidate:
        is_local = view["domain"] == self._domain
        own = self._outstanding[name]
        # A peer's view is up to a heartbeat old; using its load, all entries would pick one worker.
        load = view["inflight"] + view["waiting"] + 1 if holder == self._id else own + 1
        cost = load / view["slots"] * view["latency"] + (0.0 if is_local else REMOTE_COST_S)
        return Candidate(holder, name, cost, is_local)
