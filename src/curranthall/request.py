"""A request's way: choose an endpoint, wait for a slot by deadline, send, retry within a budget."""

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
MAX_WAITING = 64
MAX_TRIES = 4
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
LATENCY_WEIGHT = 0.1
FIRST_LATENCY_S = 0.01
PENALTY_S = 5.0
PENALTY_LATENCY_S = 1.0
ABROAD_S = 0.002
FIRST_TRY_SHARE = 0.6
COPY_S = 30.0


class Ask(NamedTuple):
    """A caller's request; `deadline` is on this entry's monotonic clock."""

    id: str
    service: str
    customer: str
    body: bytes
    deadline: float
    idempotent: bool


class Choice(NamedTuple):
    """An endpoint that may take a request."""

    holder: str
    worker: str
    cost: float
    near: bool


class _Waiter(NamedTuple):
    customer: str
    deadline: float
    fut: asyncio.Future[None]


class Gate:
    """The slots of one held worker and the requests that wait for one.

    A free slot goes to the customer with the fewest slots for its weight, and among its
    requests to the one with the nearest deadline.
    """

    def __init__(self) -> None:
        self.latency = FIRST_LATENCY_S
        self.penalty_until = 0.0
        self._waiters: list[_Waiter] = []
        self._inside: dict[str, int] = defaultdict(int)
        self._weights: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Count the waiting requests."""
        return len(self._waiters)

    async def enter(self, held: HeldWorker, ask: Ask, weight: float, now: float) -> None:
        """Take a slot; raise NotRun when there won't be one in time."""
        self._weights[ask.customer] = weight
        if self._free(held) > 0 and not self._waiters:
            self._let_in(held, ask.customer)
            return
        rounds = self._ahead(ask.customer) / held.host.slots + 1
        if now + rounds * self.latency > ask.deadline or not self._has_room_for(ask.customer):
            raise NotRun(why="overload", worker=held.host.name)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(ask.customer, ask.deadline, fut)
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, ask.deadline - now - self.latency)):
                await fut
        except TimeoutError as exc:
            self._give_up(held, waiter)
            raise NotRun(why="no slot in time", worker=held.host.name) from exc
        except asyncio.CancelledError:
            self._give_up(held, waiter)
            raise

    def leave(self, held: HeldWorker, customer: str, took: float | None) -> None:
        """Give a slot back and let the next one in."""
        held.inflight -= 1
        self._inside[customer] -= 1
        if not self._inside[customer]:
            del self._inside[customer]
        if took is not None:
            self.latency += LATENCY_WEIGHT * (took - self.latency)
        while self._waiters and self._free(held) > 0:
            waiter = min(self._waiters, key=self._order)
            self._waiters.remove(waiter)
            if not waiter.fut.done():
                self._let_in(held, waiter.customer)
                waiter.fut.set_result(None)

    def _let_in(self, held: HeldWorker, customer: str) -> None:
        held.inflight += 1
        self._inside[customer] += 1

    def _order(self, waiter: _Waiter) -> tuple[float, float]:
        used = self._inside.get(waiter.customer, 0) / self._weights[waiter.customer]
        return used, waiter.deadline

    def _ahead(self, customer: str) -> int:
        """Count the waiting requests that go first: of others no more than of this customer."""
        counts = Counter(waiter.customer for waiter in self._waiters)
        own = counts[customer] + 1
        return own + sum(min(n, own) for name, n in counts.items() if name != customer)

    def _has_room_for(self, customer: str) -> bool:
        """Make room for one more, at the cost of the customer with the most waiting."""
        if len(self._waiters) < MAX_WAITING:
            return True
        counts = Counter(waiter.customer for waiter in self._waiters)
        greedy, most = counts.most_common(1)[0]
        if counts[customer] + 1 >= most:
            return False
        last = max((w for w in self._waiters if w.customer == greedy), key=lambda w: w.deadline)
        self._waiters.remove(last)
        if not last.fut.done():
            last.fut.set_exception(NotRun(why="overload, displaced"))
        return True

    def _give_up(self, held: HeldWorker, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.fut.done() and not waiter.fut.cancelled() and not waiter.fut.exception():
            # The slot came at the same moment; it goes to the next one.
            self.leave(held, waiter.customer, None)

    def _free(self, held: HeldWorker) -> int:
        foreign = held.lease.other_inflight if held.lease is not None else 0
        return held.host.slots - held.inflight - foreign


class Endpoints:
    """The holder's side: admit requests to held workers and send them."""

    def __init__(self, keeper: LeaseKeeper, config: Config, clock: Callable[[], float]) -> None:
        self._keeper = keeper
        self._config = config
        self._clock = clock
        self.gates: dict[str, Gate] = defaultdict(Gate)
        self.sent = 0
        # Shutting down: what comes now is refused, so that a peer can send it elsewhere.
        self.closed = False
        # Requests that must not be sent twice, oldest first, until no copy can come any more.
        self._once: dict[str, float] = {}

    def views(self) -> dict[str, WorkerView]:
        """Tell peers of the held workers."""
        now = self._clock()
        views = {}
        for held in self._keeper.held():
            gate = self.gates[held.host.name]
            assert held.lease is not None
            services = {run.service for run in held.lease.running.values() if run.service}
            penalized = now < gate.penalty_until
            views[held.host.name] = WorkerView(
                domain=held.host.domain,
                services=sorted(services),
                inflight=held.inflight + held.lease.other_inflight,
                slots=held.host.slots,
                waiting=gate.waiting,
                latency=max(gate.latency, PENALTY_LATENCY_S) if penalized else gate.latency,
                leaving=not self._open(held),
            )
        return views

    @property
    def busy(self) -> bool:
        """Tell whether requests are with held workers or wait for one."""
        held = self._keeper.workers.values()
        return any(each.inflight for each in held) or any(
            gate.waiting for gate in self.gates.values()
        )

    def _open(self, held: HeldWorker) -> bool:
        domain_out = bool(self._config.rows("domain")) and not self._config.is_domain_in(
            held.host.domain
        )
        return held.host.state is HostState.LIVE and not domain_out

    async def serve(self, worker: str, ask: Ask) -> bytes:
        """Have a held worker answer; NotRun is raised only when it certainly did not run."""
        if not ask.idempotent:
            self._check_copy(ask)
        if self.closed:
            raise NotRun(why="shutting down", worker=worker)
        held = self._keeper.workers.get(worker)
        if held is None or not held.is_usable(self._clock()) or not self._open(held):
            raise NotRun(why="worker not usable here", worker=worker)
        gate = self.gates[worker]
        customer = self._config.rows("customer").get(ask.customer)
        weight = 1.0 if customer is None else customer["weight"]
        await gate.enter(held, ask, weight, self._clock())
        started, took = self._clock(), None
        try:
            # The wait may have outlived the lease.
            if not held.is_usable(started) or not self._open(held):
                raise NotRun(why="worker not usable any more", worker=worker)
            body = await self._send(held, gate, ask, started)
            took = self._clock() - started
            return body
        finally:
            gate.leave(held, ask.customer, took)

    def _check_copy(self, ask: Ask) -> None:
        """Refuse a second copy of a forwarded request; the first one may have run."""
        now = self._clock()
        for request, until in list(self._once.items()):
            if until > now:
                break
            del self._once[request]
        if ask.id in self._once:
            raise Unknown(why="a copy of it came before", request=ask.id)

    async def _send(self, held: HeldWorker, gate: Gate, ask: Ask, now: float) -> bytes:
        self.sent += 1
        if not ask.idempotent:
            self._check_copy(ask)
            self._once[ask.id] = now + COPY_S
        try:
            return await held.worker.serve(ask.service, ask.id, ask.body, ask.deadline - now)
        except (ConnectFailed, Refused) as exc:
            gate.penalty_until = now + PENALTY_S
            raise NotRun(why=exc.code, worker=held.host.name) from exc
        except AnswerLost as exc:
            gate.penalty_until = now + PENALTY_S
            raise Unknown(why="answer lost", worker=held.host.name) from exc


class RetryBudget:
    """Let a tenth of the requests be sent once more."""

    def __init__(self) -> None:
        self._level = RETRY_BURST

    def earn(self) -> None:
        """Count a request."""
        self._level = min(RETRY_BURST, self._level + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class Router:
    """The caller's side: limits, choice and retries."""

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

    async def request(self, ask: Ask) -> bytes:
        """Give the whole answer; raise NotRun, Unknown or an input error."""
        self._config.row("customer", ask.customer)
        self._config.row("service", ask.service)
        if not 0 < ask.deadline - self._clock() <= MAX_DEADLINE_S:
            raise BadDeadline(allowed=f"0 to {MAX_DEADLINE_S:g} s")
        self._admit(ask)
        self.demand[ask.customer] += 1
        self._budget.earn()
        try:
            body = await self._try(ask)
        except CurranthallError as exc:
            self.counts[exc.code] += 1
            unknown = isinstance(exc, Unknown)
            event = Event.REQUEST_UNKNOWN if unknown else Event.REQUEST_NOT_RUN
            log(event, request=ask.id, customer=ask.customer, why=exc)
            raise
        finally:
            self.demand[ask.customer] -= 1
        self.counts["answered"] += 1
        return body

    def _admit(self, ask: Ask) -> None:
        limit = self._config.row("customer", ask.customer)["limit"]
        own = self.demand[ask.customer]
        if own + 1 > max(1.0, limit * self._roster.share(ask.customer, own + 1)):
            self.counts["limited"] += 1
            raise NotRun(why="customer limit", customer=ask.customer)

    async def _try(self, ask: Ask) -> bytes:
        tried: set[str] = set()
        failure: CurranthallError = NotRun(why="no endpoint", service=ask.service)
        for number in range(MAX_TRIES):
            choice = self._choose(ask.service, tried)
            if choice is None or self._clock() >= ask.deadline:
                break
            tried.add(choice.worker)
            if number:
                log(Event.REQUEST_RETRIED, request=ask.id, after=failure.code)
            log(Event.REQUEST_ROUTED, request=ask.id, worker=choice.worker, by=choice.holder)
            try:
                return await self._send(choice, ask, last=number == MAX_TRIES - 1)
            except NotRun as exc:
                # Once a try may have run, a later refusal can't make the whole "not run".
                if not isinstance(failure, Unknown):
                    failure = exc
            except Unknown as exc:
                failure = exc
                if not ask.idempotent or not self._budget.spend():
                    break
        raise failure

    async def _send(self, choice: Choice, ask: Ask, last: bool) -> bytes:
        if ask.idempotent and not last:
            left = ask.deadline - self._clock()
            ask = ask._replace(deadline=self._clock() + left * FIRST_TRY_SHARE)
        self._outstanding[choice.worker] += 1
        try:
            if choice.holder == self._id:
                return await self._endpoints.serve(choice.worker, ask)
            return await self._forward(choice, ask)
        finally:
            self._outstanding[choice.worker] -= 1

    async def _forward(self, choice: Choice, ask: Ask) -> bytes:
        left = ask.deadline - self._clock()
        body = {**ask._asdict(), "worker": choice.worker, "left": left}
        del body["deadline"]
        try:
            answer: bytes = await self._mesh.call(choice.holder, "forward", body, left)
        except PeerUnreachable as exc:
            raise NotRun(why="peer unreachable", peer=choice.holder) from exc
        except AnswerLost as exc:
            raise Unknown(why="peer did not answer", peer=choice.holder) from exc
        return answer

    def _choose(self, service: str, tried: set[str]) -> Choice | None:
        """Take the better of two at random, own failure domain first."""
        found = [c for c in self._choices(service) if c.worker not in tried]
        near = [choice for choice in found if choice.near]
        pool = near or found
        if not pool:
            return None
        two = self._rng.sample(pool, min(2, len(pool)))
        best = min(two, key=lambda choice: choice.cost)
        far = [choice for choice in found if not choice.near]
        if near and far and best.cost > PENALTY_LATENCY_S / 2:
            other = min(self._rng.sample(far, min(2, len(far))), key=lambda choice: choice.cost)
            best = min(best, other, key=lambda choice: choice.cost)
        return best

    def _choices(self, service: str) -> list[Choice]:
        listed = [(self._id, name, view) for name, view in self._endpoints.views().items()]
        listed += list(self._roster.views())
        return [
            self._price(holder, name, view)
            for holder, name, view in listed
            if service in view["services"] and not view["leaving"]
        ]

    def _price(self, holder: str, name: str, view: WorkerView) -> Choice:
        near = view["domain"] == self._domain
        own = self._outstanding[name]
        # A peer's view is up to a heartbeat old: all entries that trust it crowd one worker.
        load = view["inflight"] + view["waiting"] + 1 if holder == self._id else own + 1
        cost = load / view["slots"] * view["latency"] + (0.0 if near else ABROAD_S)
        return Choice(holder, name, cost, near)
