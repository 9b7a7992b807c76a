"""Plays of one customer's burst beside twenty small customers in one cell, without a network.

`python -m tests.fair_plays` prints what each group of customers gets, with and without weights.
"""

import random
from typing import NamedTuple

from curranthall.cells.ports import Ending, EndKind, StartTask
from curranthall.customers import NO_CUSTOMERS, Customer, Customers
from curranthall.dag import Phase, Queue
from curranthall.model import ZERO_SIZE
from tests.cell_fixtures import SERVICE, Cell, host, job, listed, step

SMALL = 20
BURST = "burst"
STEP_S = 0.05
PLAY_S = 30.0
# The burst asks for twice the cell's cores for this long; the others for 0.6 of them throughout.
BURST_AT_S = (5.0, 15.0)
WORKERS, CORES = 10, 8
SMALL_JOBS_A_S, BURST_JOBS_A_S = 1.2, 80.0
TASKS, TASK_S = 2, 1.0
QUEUE = Queue("q", SERVICE, 0, 2, 2.0, 1_000)


class Share(NamedTuple):
    """Share of the jobs in time: all, the burst, the worst tenth of the small customers."""

    all: float
    burst: float
    worst: float


def play(weighted: bool, seed: int = 1) -> Share:
    """Play the burst; return what the customers get."""
    rng = random.Random(seed)
    names = [f"small-{number}" for number in range(SMALL)] + [BURST]
    listed_customers = [(Customer(name, 4.0, ZERO_SIZE), ()) for name in names]
    customers = Customers(listed_customers) if weighted else NO_CUSTOMERS
    cell = Cell(
        *(host(f"w{number}", CORES) for number in range(WORKERS)),
        queue_of=lambda job: QUEUE,
        customers=customers,
        wall_ms=lambda: cell.now * 1000,
    )
    began, number = cell.now, 0
    # By worker, the running orders and when they end; the last end's number.
    running: dict[str, dict[StartTask, float]] = {f"w{n}": {} for n in range(WORKERS)}
    ends = dict.fromkeys(running, 0)
    in_time: dict[str, list[bool]] = {name: [] for name in names}
    open_jobs: dict[str, tuple[str, float]] = {}
    while cell.now < began + PLAY_S:
        cell.now += STEP_S
        at = cell.now - began
        for name in names:
            is_on = name != BURST or BURST_AT_S[0] <= at < BURST_AT_S[1]
            rate = BURST_JOBS_A_S if name == BURST else SMALL_JOBS_A_S
            expected = rate * STEP_S if is_on else 0.0
            for _ in range(int(expected) + (rng.random() < expected % 1)):
                number += 1
                new = job(f"{number:016x}", step(TASKS, estimate_ms=int(TASK_S * 1000)))
                cell.add(new._replace(customer=name, accepted_ms=int(cell.now * 1000)))
                open_jobs[new.id] = name, cell.now + QUEUE.stretch * TASK_S + 1.0
        for worker, orders in running.items():
            over = [order for order, until in orders.items() if until <= cell.now]
            for order in over:
                del orders[order]
            found = [
                Ending(ends[worker] + nth, order.task, order.run, EndKind.DONE, "")
                for nth, order in enumerate(over, 1)
            ]
            ends[worker] += len(over)
            cell.answer(worker, [listed(order) for order in orders], found, confirm=False)
        cell.record()
        starts = cell.plan()
        cell.started(*starts)
        for order in starts:
            running[order.worker][order] = cell.now + TASK_S * rng.uniform(0.5, 1.5)
        for job_id, (name, until) in list(open_jobs.items()):
            done = cell.dispatcher.tracked[job_id].progress.phase is Phase.COMPLETED
            if done or cell.now > until:
                in_time[name].append(done)
                del open_jobs[job_id]
    shares = {name: sum(found) / len(found) for name, found in in_time.items()}
    worst = sorted(share for name, share in shares.items() if name != BURST)[: SMALL // 10]
    everyone = sum(in_time.values(), [])
    return Share(sum(everyone) / len(everyone), shares[BURST], sum(worst) / len(worst))


def main() -> None:
    """Print the shares of jobs in time."""
    for seed in (1, 2):
        for weighted in (False, True):
            share = play(weighted, seed)
            print(
                f"seed {seed}, {'with' if weighted else 'without'} weights: in time"
                f" {share.all:.3f} of all jobs, {share.burst:.3f} of the burst's,"
                f" {share.worst:.3f} for the worst tenth of the small customers"
            )


if __name__ == "__main__":
    main()
