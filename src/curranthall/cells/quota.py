"""Running work of each customer in a cell: what its limit lets start, and who goes first.

Designed for 93 customers, one with a burst, and 300 planning passes a second: a task is checked in
constant time, and nothing is computed while no customer is configured.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from math import ceil, inf
from typing import NamedTuple

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.owner import UNKNOWN_WORKER
from curranthall.cells.shares import PARTS_OF_LIMIT, Need, SharesKeeper
from curranthall.cells.tracking import Batch
from curranthall.customers import Customer, Customers
from curranthall.dag import Job, Step
from curranthall.model import ZERO_SIZE, Size

# Ranks, within a priority, of tasks whose customer uses less than its fair share, of others, and of
# jobs beyond the rate at which the customer's jobs have a value.
RANK_BELOW_SHARE = 0
RANK_ABOVE_SHARE = 1
RANK_BEYOND_RATE = 2
# Fair shares are computed anew after this time: within it, little capacity becomes free.
RANK_INTERVAL_S = 0.1
# Weight of jobs without a customer, and of customers that are not configured any more.
DEFAULT_WEIGHT = 1.0
# Shortest time over which a customer's jobs are counted.
MIN_RATE_WINDOW_S = 1.0
# The most counts of jobs by customer and time that are kept.
MAX_RATE_COUNTS = 2_000
# Tolerance of sums for rounding, as a share of the limit, and the same in parts.
ROUNDING = 1e-8
PART_ROUNDING = 1e-6
# Stands for any number of accelerators.
MAX_ACCELERATORS = 1_000_000
# The most customers that metrics name, those with the most running work; others are summed up.
MAX_NAMED_CUSTOMERS = 100
OTHER_CUSTOMERS = "other"


class CustomerState(NamedTuple):
    """A limited customer in one cell: parts held and used, and tasks that the limit keeps waiting.

    `cores` are those of its runs.
    """

    customer: str
    parts: int
    used: int
    cores: float
    waiting_tasks: int


@dataclass(slots=True)
class _Account:
    """A customer's runs in the cell; the limit fields are None and 0 without a limit."""

    name: str
    weight: float = DEFAULT_WEIGHT
    limit: Size | None = None
    # Sizes of all runs, and of those that former holders started.
    running: Size = ZERO_SIZE
    found: Size = ZERO_SIZE
    runs: int = 0
    # Cores of the runs, by service.
    cores: dict[str, float] = field(default_factory=dict)
    # What runs of former holders that are not listed yet may use, and the most that may run.
    hidden: Size = ZERO_SIZE
    allowed: Size = ZERO_SIZE
    # What the limit kept from starting in the last planning pass: its smallest task, or gang, all.
    least_refused: Size | None = None
    refused: Size = ZERO_SIZE
    refused_tasks: int = 0

    def parts_of(self, size: Size) -> int:
        """Return the parts of the limit that a size takes."""
        if self.limit is None:
            return 0
        shares = [need / most for need, most in zip(size, self.limit, strict=True) if most > 0]
        return max(0, ceil(max(shares, default=0.0) * PARTS_OF_LIMIT - PART_ROUNDING))

    def need(self) -> Need:
        """Return the parts needed for running work, the next task and all waiting ones."""
        used = self.running.plus(self.hidden)
        in_use = self.parts_of(used)
        if self.least_refused is None:
            return Need(in_use, in_use, in_use)
        first = self.parts_of(used.plus(self.least_refused))
        return Need(in_use, first, max(first, self.parts_of(used.plus(self.refused))))


def times(size: Size, count: int) -> Size:
    """Return the size of several tasks."""
    return Size(size.cores * count, size.memory * count, size.accelerators * count)


def unit_size(step: Step) -> Size:
    """Return the size that starts at once: that of a task, or of all tasks of a gang."""
    return times(step.size, step.width) if step.gang else step.size


class Quota:
    """Tells which tasks customers' limits let start in a cell, and whose tasks go first.

    `customers` are those of the configuration in force, None before one was read.
    """

    def __init__(
        self,
        keeper: SharesKeeper,
        customers: Callable[[], Customers | None],
        customer_of: Callable[[str], Customer | None] = lambda name: None,
    ) -> None:
        self.keeper = keeper
        self._customers = customers
        self._customer_of = customer_of
        self._accounts: dict[str, _Account] = {}
        # The accounts with a limit in force.
        self._limited: dict[str, _Account] = {}
        self._is_configured = False
        # Whether customers are in force.
        self._is_active = False
        # By run, its account, service and whether a former holder started it.
        self._runs: dict[Run, tuple[_Account, str, bool]] = {}
        # Size of the workers that may run anything of former holders.
        self._hidden = ZERO_SIZE
        # Customers with runs of former holders that were listed or removed since the last pass.
        self._found_changed: set[str] = set()
        # No planning pass has measured that since the limits were read.
        self._is_stale = True
        # By service, the customers that use their fair share or more.
        self._above_share: dict[str, set[str]] = {}
        self._ranked_at = -inf
        self._job_counts: dict[tuple[str, int], int] = {}
        self.reconfigure()

    @property
    def is_limited(self) -> bool:
        """Return whether a customer with a limit is configured."""
        return bool(self._limited)

    def is_short(self) -> bool:
        """Return whether a limit kept a task from starting in the last planning pass."""
        return any(account.refused_tasks for account in self._limited.values())

    def reconfigure(self) -> None:
        """Apply the customers in force."""
        customers = self._customers()
        self._is_configured, self._is_active = customers is not None, bool(customers)
        for customer in customers or ():
            self._accounts.setdefault(customer.name, _Account(customer.name))
        self._limited = {}
        for account in self._accounts.values():
            self._configure(account)
        self._is_stale = True
        self._ranked_at = -inf

    def _configure(self, account: _Account) -> None:
        customer = self._customer_of(account.name) if self._is_active else None
        account.weight = customer.weight if customer is not None else DEFAULT_WEIGHT
        account.limit = customer.limit if customer is not None and any(customer.limit) else None
        if account.limit is not None:
            self._limited[account.name] = account
        self._update_allowed(account)

    def _account(self, customer: str) -> _Account:
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(customer)
            self._configure(account)
        return account

    def note_shares(self) -> None:
        """Apply the parts that the cell holds now."""
        for account in self._limited.values():
            self._update_allowed(account)

    # Running work

    def add(self, run: Run, customer: str, service: str) -> None:
        """Count a run that was placed, or found as its worker listed it."""
        account, is_found = self._account(customer), run.state is RunState.RUNNING
        self._runs[run] = account, service, is_found
        account.runs += 1
        account.running = account.running.plus(run.step.size)
        if is_found:
            account.found = account.found.plus(run.step.size)
            self._found_changed.add(account.name)
        account.cores[service] = account.cores.get(service, 0.0) + run.step.size.cores

    def remove(self, run: Run) -> None:
        """Stop counting a run: it is certainly over."""
        known = self._runs.pop(run, None)
        if known is None:
            return
        account, service, is_found = known
        account.runs -= 1
        account.running = account.running.minus(run.step.size)
        if is_found:
            account.found = account.found.minus(run.step.size)
            self._found_changed.add(account.name)
        account.cores[service] -= run.step.size.cores
        if not account.runs:
            # Sums of fractions do not return to 0 exactly.
            account.running = account.found = ZERO_SIZE
            account.cores.clear()

    # Limits

    def begin_pass(
        self,
        members: Mapping[str, Member],
        unproven: Collection[str],
        ready: Collection[Batch],
        now: float,
    ) -> None:
        """Prepare a planning pass; `unproven` workers may obey former holders."""
        if not self._is_active:
            return
        if self._limited:
            self._measure_hidden(members, unproven)
        for account in self._limited.values():
            account.least_refused, account.refused, account.refused_tasks = None, ZERO_SIZE, 0
        if now - self._ranked_at >= RANK_INTERVAL_S:
            self._ranked_at = now
            self._rank(members.values(), ready, now)

    def _measure_hidden(self, members: Mapping[str, Member], unproven: Collection[str]) -> None:
        """Count whole workers that may run anything that former holders started.

        Filling tasks reserve no cores, so a worker may run twice its cores.
        """
        hidden = ZERO_SIZE
        for member in members.values():
            if member.unknown_runs or member.name in unproven:
                size = member.host.size
                hidden = hidden.plus(size._replace(cores=2 * size.cores))
        if UNKNOWN_WORKER in unproven or any(name not in members for name in unproven):
            hidden = Size(inf, inf, MAX_ACCELERATORS)
        if self._is_stale or hidden != self._hidden:
            self._hidden, self._is_stale = hidden, False
            self.note_shares()
        elif hidden != ZERO_SIZE:
            for name in self._found_changed:
                self._update_allowed(self._accounts[name])
        self._found_changed.clear()

    def _update_allowed(self, account: _Account) -> None:
        """Compute what may run of a customer, without the runs that are not listed yet.

        Those are within the parts that the former holders left.
        """
        limit = account.limit
        if limit is None:
            account.hidden = ZERO_SIZE
            return
        usable = self.keeper.usable(account.name) / PARTS_OF_LIMIT
        inherited = self.keeper.inherited(account.name) / PARTS_OF_LIMIT
        hidden = [
            min(size, max(0.0, inherited * most - found))
            for size, most, found in zip(self._hidden, limit, account.found, strict=True)
        ]
        account.hidden = Size(*hidden)  # type: ignore[arg-type]
        allowed = [
            most * (usable + ROUNDING) - unlisted if most > 0 else inf
            for most, unlisted in zip(limit, hidden, strict=True)
        ]
        account.allowed = Size(*allowed)  # type: ignore[arg-type]

    def may_start(self, customer: str, size: Size) -> bool:
        """Return whether a customer's parts let work of a size start."""
        account = self._limited.get(customer)
        if account is None:
            # Before a configuration was read, the limits of its customers are not known.
            return self._is_configured or not customer
        running, allowed = account.running, account.allowed
        return (
            running.cores + size.cores <= allowed.cores
            and running.memory + size.memory <= allowed.memory
            and running.accelerators + size.accelerators <= allowed.accelerators
        )

    def allows(self, batch: Batch) -> bool:
        """Return whether the limit lets the next task of a batch, or its gang, start."""
        if self._is_configured and not self._limited:
            return True
        return self.may_start(batch.tracked.job.customer, unit_size(batch.step))

    def admits(self, batch: Batch) -> bool:
        """Return `allows`; note the waiting tasks of a batch that the limit keeps from starting.

        They do not wait for a worker, so they are not stranded in the cell.
        """
        if self.allows(batch):
            return True
        batch.unplaced_since = None
        account = self._limited.get(batch.tracked.job.customer)
        unit = unit_size(batch.step)
        # What exceeds the whole limit, e.g. a gang, never starts and needs no parts.
        if account is not None and account.parts_of(unit) <= PARTS_OF_LIMIT:
            count, least = len(batch.waiting), account.least_refused
            if least is None or account.parts_of(unit) < account.parts_of(least):
                account.least_refused = unit
            account.refused = account.refused.plus(times(batch.step.size, count))
            account.refused_tasks += count
        return False

    def needs(self) -> dict[str, Need]:
        """Return the parts that the cell needs, by customer with a limit.

        They are not known before a planning pass has counted what former holders may have started.
        """
        if self._is_stale:
            return {}
        return {name: account.need() for name, account in self._limited.items()}

    # Weights

    def _rank(self, members: Iterable[Member], ready: Iterable[Batch], now: float) -> None:
        """Find the customers that use their fair share of the cores of a service, or more."""
        cores: dict[str, float] = {}
        for member in members:
            if member.is_available(now):
                service = member.host.service
                cores[service] = cores.get(service, 0.0) + member.host.size.cores
        present: dict[str, set[str]] = {service: set() for service in cores}
        for batch in ready:
            if batch.waiting and batch.tracked.queue.service in present:
                present[batch.tracked.queue.service].add(batch.tracked.job.customer)
        for account in self._accounts.values():
            for service in account.cores:
                if service in present:
                    present[service].add(account.name)
        self._above_share = {}
        for service, names in present.items():
            accounts = [self._account(name) for name in names]
            total = sum(account.weight for account in accounts)
            self._above_share[service] = {
                account.name
                for account in accounts
                if account.cores.get(service, 0.0) * total >= account.weight * cores[service]
            }

    def exceeds_rate(self, job: Job) -> bool:
        """Count a job; return whether its customer has as many jobs in its time as have a value."""
        if not (self._is_active and job.customer):
            return False
        weight = self._account(job.customer).weight
        window_ms = 1000 * (max(MIN_RATE_WINDOW_S, 1 / weight) if weight > 0 else inf)
        key = job.customer, int(job.accepted_ms // window_ms)
        count = self._job_counts[key] = self._job_counts.pop(key, 0) + 1
        if len(self._job_counts) > MAX_RATE_COUNTS:
            del self._job_counts[next(iter(self._job_counts))]
        return count > max(1.0, weight)

    def fair_rank(self, batch: Batch) -> int:
        """Return the rank of a batch among those of its priority; lower ones go first."""
        if not self._is_active:
            return RANK_BELOW_SHARE
        tracked = batch.tracked
        if tracked.exceeds_rate:
            return RANK_BEYOND_RATE
        above = self._above_share.get(tracked.queue.service, ())
        return RANK_ABOVE_SHARE if tracked.job.customer in above else RANK_BELOW_SHARE

    # Logs and metrics

    def states(self) -> Iterator[CustomerState]:
        """Yield the limited customers with running or waiting work, or parts given away.

        Beyond MAX_NAMED_CUSTOMERS they are summed up as one.
        """
        found = [
            CustomerState(
                account.name,
                self.keeper.held(account.name),
                account.need().used,
                round(account.running.cores, 1),
                account.refused_tasks,
            )
            for account in self._limited.values()
            if account.runs or account.refused_tasks
        ]
        found.sort(key=lambda state: -state.cores)
        yield from found[:MAX_NAMED_CUSTOMERS]
        if others := found[MAX_NAMED_CUSTOMERS:]:
            sums = [sum(values) for values in zip(*(each[1:] for each in others), strict=True)]
            yield CustomerState(OTHER_CUSTOMERS, *sums)
