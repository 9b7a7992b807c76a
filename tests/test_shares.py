"""Parts of customers' limits: rules of lending, and a state machine of holders that share a limit.

`python -m tests.test_shares [EXAMPLES [SEED]]` plays many more examples than the tests.
"""

import sys
import unittest

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.owner import CELL_TABLE
from curranthall.cells.quota import Quota
from curranthall.cells.shares import (
    NO_NEED,
    PARTS_OF_LIMIT,
    SHARE_KEY,
    SHARE_PART,
    SHARE_TABLE,
    Need,
    Request,
    Shares,
    SharesKeeper,
    debt,
    decode_shares,
    rebalance,
)
from curranthall.cells.tracking import Batch, TrackedJob
from curranthall.customers import Customer, Customers
from curranthall.dag import Progress, Queue, TaskId
from curranthall.model import Size
from curranthall.standin.store import MemoryStore
from curranthall.store import Check, Committed, Put, Row
from tests.cell_fixtures import SERVICE, host, job, step

CELLS = ("a", "b", "c")
NAME = "acme"
EVEN = PARTS_OF_LIMIT // len(CELLS)
LIMIT = 10.0
WORKER_CORES = 4
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)


def balance(shares: Shares, **needs: Need) -> Shares:
    """Let cells rebalance in turn until nothing changes."""
    for _ in range(20):
        before = shares
        for cell, need in needs.items():
            shares = rebalance(shares, cell, {NAME: need}) or shares
        if shares is before:
            return shares
    raise AssertionError("parts keep moving")


class Rules(unittest.TestCase):
    """Each test guards against parts that do not reach the cell that needs them."""

    def test_the_even_shares_hold_where_nothing_is_stored(self) -> None:
        shares = Shares(CELLS)
        self.assertEqual([shares.held(NAME, cell) for cell in CELLS], [EVEN] * 3)
        self.assertEqual(shares.free(NAME), 1)
        self.assertIsNone(rebalance(shares, "a", {NAME: NO_NEED}))

    def test_a_burst_draws_all_parts_that_idle_cells_hold(self) -> None:
        busy = Need(EVEN, EVEN + 10, 5_000)
        shares = balance(Shares(CELLS), a=busy, b=NO_NEED, c=NO_NEED)
        self.assertEqual(shares.held(NAME, "a"), PARTS_OF_LIMIT)

    def test_a_cell_with_work_keeps_what_runs_and_a_reserve(self) -> None:
        busy, some = Need(EVEN, EVEN + 10, 5_000), Need(100, 100, 100)
        shares = balance(Shares(CELLS), a=busy, b=some, c=NO_NEED)
        self.assertEqual(shares.held(NAME, "b"), 120)

    def test_a_cell_above_its_even_share_gives_back_as_its_tasks_end(self) -> None:
        shares = Shares(CELLS, {NAME: {"a": 1_000, "b": 0, "c": 0}})
        shares = balance(shares, b=Need(0, 50, 5_000))
        self.assertEqual(debt(shares, NAME, "a"), EVEN)
        running = rebalance(shares, "a", {NAME: Need(950, 1_050, 5_000)})
        assert running is not None
        self.assertEqual(running.held(NAME, "a"), 950)
        ended = rebalance(running, "a", {NAME: Need(600, 700, 5_000)})
        assert ended is not None
        self.assertEqual(ended.held(NAME, "a"), 1_000 - EVEN)

    def test_tasks_larger_than_an_even_share_run_in_turn(self) -> None:
        # Each cell holds its even share, of which it can use nothing.
        stuck = Need(0, 400, 800)
        shares = Shares(CELLS)
        for cell in CELLS:
            shares = rebalance(shares, cell, {NAME: stuck}) or shares
        for cell in ("b", "c"):
            shares = rebalance(shares, cell, {NAME: stuck}) or shares
        shares = rebalance(shares, "a", {NAME: stuck}) or shares
        self.assertGreaterEqual(shares.held(NAME, "a"), 400)

    def test_a_large_task_gets_parts_from_cells_that_are_busy_with_small_ones(self) -> None:
        shares = Shares(CELLS)
        shares = rebalance(shares, "a", {NAME: Need(0, 400, 400)}) or shares
        debts = [debt(shares, NAME, cell) for cell in CELLS]
        self.assertEqual(sorted(debts), [0, 0, 400 - EVEN - 1])

    def test_a_gang_that_needs_too_much_starves_no_other_cell(self) -> None:
        # Lasting tasks run in `b`, so that the gang of `a` never gets all its parts.
        gang, lasting, small = Need(0, 900, 900), Need(200, 200, 200), Need(0, 100, 5_000)
        shares = balance(Shares(CELLS), a=gang, b=lasting, c=small)
        self.assertGreaterEqual(shares.held(NAME, "c"), EVEN)
        self.assertEqual(debt(shares, NAME, "c"), 0)

    def test_a_closed_cell_gives_back_all_that_it_does_not_use(self) -> None:
        shares = rebalance(Shares(CELLS), "a", {NAME: Need(40, 400, 400)}, closed=True)
        assert shares is not None
        self.assertEqual((shares.held(NAME, "a"), shares.requests), (40, {}))

    def test_rows_are_decoded_as_encoded(self) -> None:
        shares = Shares(CELLS, {NAME: {"a": 1}}, {NAME: {"b": Request(1, 2, 3, 4, 5)}}, 3)
        self.assertEqual(decode_shares(shares.encode()), shares)

    def test_a_row_with_more_than_the_limit_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            decode_shares(Shares(CELLS, {NAME: {"a": 900}}).encode())


class Writes(unittest.TestCase):
    """Each test guards against a holder that uses parts which are not its own."""

    def _row(self, version: int, **parts: int) -> Row:
        data = Shares(CELLS, {NAME: parts}).encode()
        return Row(SHARE_TABLE, SHARE_PART, SHARE_KEY, data, version)

    def test_a_deposed_holder_does_not_use_parts_that_its_successor_took(self) -> None:
        keeper = SharesKeeper("a", CELLS)
        keeper.on_read(self._row(1, a=300), 1)
        keeper.on_read(self._row(2, a=600, b=0), 1)
        self.assertEqual(keeper.usable(NAME), 300)

    def test_a_write_without_an_answer_binds_until_it_is_void(self) -> None:
        keeper = SharesKeeper("a", CELLS)
        keeper.on_read(self._row(1, a=300), 1)
        keeper.send(Shares(CELLS, {NAME: {"a": 100}}), 1)
        # The row is unchanged, but the write may still take effect.
        keeper.on_read(self._row(1, a=300), 1)
        self.assertEqual(keeper.usable(NAME), 100)
        self.assertIsNone(keeper.propose({NAME: Need(0, 500, 500)}, False))
        # The cell's row was renewed, so the write conflicts.
        keeper.on_read(self._row(1, a=300), 2)
        self.assertEqual(keeper.usable(NAME), 300)

    def test_raised_parts_apply_once_they_are_confirmed(self) -> None:
        keeper = SharesKeeper("a", CELLS)
        keeper.on_read(self._row(1, a=300, b=0), 1)
        keeper.send(Shares(CELLS, {NAME: {"a": 600, "b": 0}}), 1)
        self.assertEqual(keeper.usable(NAME), 300)
        keeper.on_committed(2)
        self.assertEqual(keeper.usable(NAME), 600)


class _Holder:
    """One holder of a cell, as far as limits are concerned; it may not know its successor."""

    def __init__(self, cell: str, epoch: int, workers: list[str], limit: float) -> None:
        self.cell, self.epoch, self.limit = cell, epoch, limit
        self.owner_version = 0
        self.closed = False
        self.keeper = SharesKeeper(cell, CELLS)
        self.quota = Quota(self.keeper, lambda: Customers([(self.customer, ())]), self.find)
        self.members = {name: Member(host(name, WORKER_CORES)) for name in workers}
        self.unproven = set(workers)
        self.runs: dict[int, Run] = {}

    @property
    def customer(self) -> Customer:
        """Return the customer as this holder has read it."""
        return Customer(NAME, 1.0, Size(self.limit, 0, 0))

    def find(self, name: str) -> Customer:
        """Return the customer."""
        return self.customer

    def begin_pass(self) -> None:
        """Begin a planning pass in which nothing waits."""
        self.quota.begin_pass(self.members, self.unproven, (), 0.0)

    def plan(self, cores: float) -> bool:
        """Return whether a waiting task may start."""
        self.begin_pass()
        tracked = TrackedJob(job(customer=NAME), Progress(self.cell), 1, Queue("q", SERVICE), 0.0)
        batch = Batch(tracked, 0, 0, step(9, cores), waiting=set(range(9)))
        return self.quota.admits(batch)

    def add(self, number: int, worker: str, cores: float, state: RunState) -> None:
        """Note a run."""
        run = Run(TaskId("0" * 16, 0, 0, number), number, worker, step(1, cores), state, 0.0)
        self.runs[number] = run
        self.quota.add(run, NAME, SERVICE)

    def forget(self, number: int) -> None:
        """Note that a run is over."""
        run = self.runs.pop(number, None)
        if run is not None:
            self.quota.remove(run)


class Sharing(RuleBasedStateMachine):
    """Holders of three cells start and end tasks, are lost, wake up, and read and write the row."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore(lambda: 0.0)
        self.limit = self.bound = LIMIT
        self.may_change = False
        self.epoch = self.run_number = 0
        # By worker: what really runs there, and the epoch of the holder that it obeys.
        self.real: dict[str, dict[int, float]] = {}
        self.tokens: dict[str, int] = {}
        self.holders: dict[str, _Holder] = {}
        self.former: list[_Holder] = []
        self.late: list[tuple[list[Check], list[Put]]] = []
        for cell in CELLS:
            for number in range(2):
                self.real[f"{cell}-w{number}"] = {}
                self.tokens[f"{cell}-w{number}"] = 0
            self._take(cell)

    def _take(self, cell: str) -> None:
        self.epoch += 1
        names = [name for name in self.real if name[0] == cell]
        self.holders[cell] = _Holder(cell, self.epoch, names, self.limit)
        self._renew(self.holders[cell])

    def _renew(self, holder: _Holder) -> None:
        puts = [Put(CELL_TABLE, holder.cell, b"")]
        answer = self.store.apply(SHARE_PART, [], puts, [])
        assert isinstance(answer, Committed)
        holder.owner_version = answer.version

    def _pick(self, number: int) -> _Holder:
        everyone = [*self.holders.values(), *self.former]
        return everyone[number % len(everyone)]

    def _drop(self, holder: _Holder) -> None:
        if holder in self.former:
            self.former.remove(holder)

    @initialize(may_change=st.sampled_from((False, False, True)))
    def choose(self, may_change: bool) -> None:
        """Choose whether the limit changes: then the bound of running work is less strict."""
        self.may_change = may_change
        for cell in CELLS:
            self.fence(cell, 0)
            self.fence(cell, 1)
        self.exchange()

    @rule(
        number=st.integers(0, 5),
        worker=st.integers(0, 1),
        cores=st.sampled_from((1, 2, 4, 0.3)),
        most=st.sampled_from((1, 40)),
    )
    def start(self, number: int, worker: int, cores: float, most: int) -> None:
        """Let a holder start tasks while the limit lets it."""
        holder = self._pick(number)
        name = f"{holder.cell}-w{worker}"
        for _ in range(most):
            if name in holder.unproven or not holder.plan(cores):
                return
            if self.tokens[name] != holder.epoch:
                # The worker refuses the start, and the holder gives up.
                self._drop(holder)
                return
            if sum(self.real[name].values()) + cores > 2 * WORKER_CORES:
                # A worker has no room for more, filling tasks included.
                return
            self.run_number += 1
            self.real[name][self.run_number] = cores
            holder.add(self.run_number, name, cores, RunState.STARTING)

    @rule()
    def exchange(self) -> None:
        """Let all holders read and write the row, twice."""
        for _ in range(2):
            for at in range(len(CELLS)):
                self.write(at, "ok")

    @rule(first=st.integers(0, 5), cores=st.sampled_from((1, 0.3)))
    def press(self, first: int, cores: float) -> None:
        """Let all holders, one of them first, start all that they may, and exchange parts."""
        for at in (first, *range(len(CELLS) + len(self.former))):
            self._pick(at).begin_pass()
            for worker in range(2):
                self.start(at, worker, cores, 40)
            self.write(at, "ok")

    @rule(cell=st.sampled_from(CELLS))
    def finish(self, cell: str) -> None:
        """End all tasks of a cell on the workers that its holder knows."""
        holder = self.holders[cell]
        for name, found in self.real.items():
            if name[0] == cell and name not in holder.unproven:
                for run in list(found):
                    del found[run]
                    holder.forget(run)

    @rule(data=st.data(), listed=st.sampled_from((True, True, False)))
    def end(self, data: st.DataObject, listed: bool) -> None:
        """End a task; the holder that the worker obeys may learn of it, now or never."""
        runs = [(name, run) for name, found in self.real.items() for run in found]
        if not runs:
            return
        name, run = data.draw(st.sampled_from(runs))
        del self.real[name][run]
        for holder in [*self.holders.values(), *self.former]:
            if listed and holder.epoch == self.tokens[name]:
                holder.forget(run)

    @rule(cell=st.sampled_from(CELLS), worker=st.integers(0, 1))
    def fence(self, cell: str, worker: int) -> None:
        """Let a worker answer its cell's holder, which learns what runs there."""
        holder, name = self.holders[cell], f"{cell}-w{worker}"
        self.tokens[name] = holder.epoch
        for run, cores in self.real[name].items():
            if run not in holder.runs:
                holder.add(run, name, cores, RunState.RUNNING)
        for run in [run for run, each in holder.runs.items() if each.worker == name]:
            if run not in self.real[name]:
                holder.forget(run)
        holder.unproven.discard(name)

    @rule(cell=st.sampled_from(CELLS), is_lost=st.booleans())
    def take_over(self, cell: str, is_lost: bool) -> None:
        """Replace a holder; one that was only suspended goes on unaware of that."""
        if not is_lost:
            self.former.append(self.holders[cell])
        self._take(cell)

    @rule(cell=st.sampled_from(CELLS))
    def renew(self, cell: str) -> None:
        """Renew a cell's row, and plan."""
        self._renew(self.holders[cell])
        self.holders[cell].begin_pass()

    @rule(number=st.integers(0, 5))
    def read(self, number: int) -> None:
        """Let a holder read the row."""
        holder = self._pick(number)
        holder.keeper.on_read(
            self.store.find(SHARE_TABLE, SHARE_PART, SHARE_KEY), holder.owner_version
        )
        holder.quota.note_shares()

    @rule(number=st.integers(0, 5), answer=st.sampled_from(("ok", "ok", "lost", "late", "down")))
    def write(self, number: int, answer: str) -> None:
        """Let a holder write the row; the answer may be lost, or the write late."""
        holder = self._pick(number)
        self.read(number)
        shares = holder.keeper.propose(holder.quota.needs(), holder.closed)
        if shares is None:
            return
        _, checks, puts, _ = holder.keeper.send(shares, holder.owner_version)
        holder.quota.note_shares()
        match answer:
            case "ok":
                found = self.store.apply(SHARE_PART, checks, puts, [])
                if isinstance(found, Committed):
                    holder.keeper.on_committed(found.version)
                else:
                    holder.keeper.on_refused()
            case "lost":
                self.store.apply(SHARE_PART, checks, puts, [])
            case "late":
                self.late.append((checks, puts))
            case "down":
                holder.keeper.on_refused()
        holder.quota.note_shares()

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def execute_late(self, data: st.DataObject) -> None:
        """Let a write without an answer take effect if its conditions still hold."""
        checks, puts = self.late.pop(data.draw(st.integers(0, len(self.late) - 1)))
        self.store.apply(SHARE_PART, checks, puts, [])

    @rule(cell=st.sampled_from(CELLS), closed=st.booleans())
    def evacuate(self, cell: str, closed: bool) -> None:
        """Take a failure domain out, or in again."""
        self.holders[cell].closed = closed

    @precondition(lambda self: self.may_change)
    @rule(limit=st.sampled_from((4.0, LIMIT, 16.0)))
    def change_limit(self, limit: float) -> None:
        """Change the limit; holders read it later."""
        self.limit = limit

    @rule(number=st.integers(0, 5))
    def read_limit(self, number: int) -> None:
        """Let a holder read the limit."""
        holder = self._pick(number)
        holder.limit = self.limit
        holder.quota.reconfigure()

    def _shares(self) -> Shares:
        row = self.store.find(SHARE_TABLE, SHARE_PART, SHARE_KEY)
        return Shares(CELLS) if row is None or row.value is None else decode_shares(row.value)

    @invariant()
    def parts_never_exceed_the_limit(self) -> None:
        """Check the stored parts, and what the holders may use."""
        shares = self._shares()
        assert sum(shares.held(NAME, cell) for cell in CELLS) <= PARTS_OF_LIMIT
        used = sum(holder.keeper.held(NAME) for holder in self.holders.values())
        assert used <= PARTS_OF_LIMIT, used

    @invariant()
    def running_work_never_exceeds_the_limit(self) -> None:
        """Check what really runs against the highest limit that counts.

        A lowered limit ends no task: an earlier one counts until each cell is within its parts.
        """
        shares = self._shares()
        by_cell = {
            cell: sum(sum(found.values()) for name, found in self.real.items() if name[0] == cell)
            for cell in CELLS
        }
        limits = [holder.limit for holder in [*self.holders.values(), *self.former]]
        in_force = max(self.limit, *limits)
        lowest = min(self.limit, *limits)
        if all(by_cell[c] * 1000 <= shares.held(NAME, c) * lowest + 1e-6 for c in CELLS):
            self.bound = in_force
        self.bound = max(self.bound, in_force)
        total = sum(by_cell.values())
        assert total <= self.bound + 1e-6, (total, self.bound, by_cell)


class Machine(unittest.TestCase):
    """Guards against work above a limit when holders, answers or limits change at any moment."""

    def test_sharing(self) -> None:
        run_state_machine_as_test(Sharing, settings=SETTINGS)  # type: ignore[no-untyped-call]


def main() -> None:
    """Play many examples."""
    examples, number = (sys.argv[1:] + ["2000", "1"][len(sys.argv) - 1 :])[:2]
    wanted = settings(
        SETTINGS, max_examples=int(examples), derandomize=False, phases=(Phase.generate,)
    )
    machine = seed(int(number))(Sharing)
    run_state_machine_as_test(machine, settings=wanted)  # type: ignore[no-untyped-call]
    print(f"{examples} examples from seed {number}: nothing broken")


if __name__ == "__main__":
    main()
