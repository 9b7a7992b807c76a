"""What decisions in short room are worth: plays of `tests.load` with and without options.

`python -m tests.order_plays [FIRST [COUNT [OPTIONS [LOADS]]]]` plays COUNT seeds from FIRST of
LOADS (separated by semicolons, by default all), without options and with OPTIONS (separated by
commas), and prints for each queue the mean earned share of its worth, and the served shares of its
largest tenth and of all its jobs.
"""

import sys
from typing import NamedTuple

from curranthall.cells.options import NO_OPTIONS, Options, parse_options
from tests.load import BATCHES, PROFILES, PROOFS, JobProfile, Lognormal, Plan, Simulation


class Play(NamedTuple):
    """A load and the queues that it consists of."""

    plan: Plan
    profiles: tuple[JobProfile, ...] = PROFILES


def overload(factor: float, start: float = 0.0, stop: float = 40.0) -> Plan:
    """Return a plan in which both finite queues get a multiple of their usual rate for a time."""
    queues = (PROOFS.queue.name, BATCHES.queue.name)
    return Plan(bursts=tuple((name, factor, start, stop) for name in queues))


# The sizes of test_sizes: half the workers, with nothing but filling and lasting work.
SHORT_OF_WORKERS = Plan(seconds=30, bursts=((BATCHES.queue.name, 2.0, 5, 30),), workers=4)
# A filling queue whose jobs have the priority of the others.
ONE_PRIORITY = (
    PROOFS,
    BATCHES._replace(queue=BATCHES.queue._replace(priority=0), filling=False),
    PROFILES[2],
)
# Two priorities whose tasks both reserve cores; those of the lower one save checkpoints.
PRIORITIES = (PROOFS, BATCHES._replace(filling=False, checkpointing=True), PROFILES[2])
# Two queues of one priority, with the same tasks, of which one has objectives far away.
PATIENT = BATCHES._replace(
    queue=BATCHES.queue._replace(priority=0, objective_ms=15_000),
    cores=PROOFS.cores,
    memory=PROOFS.memory,
    filling=False,
)
OBJECTIVES = (PROOFS, PATIENT, PROFILES[2])
# A lower priority with tasks of 12 s on average.
LONG_RUNS = BATCHES._replace(
    queue=BATCHES.queue._replace(objective_ms=10_000),
    rate=0.9,
    steps=Lognormal(1, 0, 1),
    seconds=Lognormal(12, 0.3, 20),
    filling=False,
    checkpointing=True,
)
# Stops take half of the time that the platform allows.
STOP_S = 0.45
PLAYS = {
    "normal": Play(Plan()),
    "x 1.3": Play(overload(1.3)),
    "x 1.6": Play(overload(1.6)),
    "x 2": Play(overload(2.0)),
    "burst": Play(overload(2.6, 10, 14)),
    "half the workers": Play(SHORT_OF_WORKERS, PROFILES[1:]),
    "half, no filling": Play(Plan(workers=4), ONE_PRIORITY),
    "half, burst": Play(overload(2.6, 10, 14)._replace(workers=4)),
    "objectives": Play(Plan(workers=6), OBJECTIVES),
    "objectives, x 1.6": Play(overload(1.6)._replace(workers=6), OBJECTIVES),
    "objectives, burst": Play(overload(2.6, 10, 14)._replace(workers=6), OBJECTIVES),
    "objectives, half, burst": Play(overload(2.6, 10, 14)._replace(workers=4), OBJECTIVES),
    "priorities": Play(Plan(workers=6, stop_s=STOP_S), PRIORITIES),
    "priorities, x 1.6": Play(overload(1.6)._replace(workers=6, stop_s=STOP_S), PRIORITIES),
    "priorities, burst": Play(overload(2.6, 10, 14)._replace(workers=6, stop_s=STOP_S), PRIORITIES),
    "long runs, burst": Play(
        overload(2.6, 10, 14)._replace(workers=6, stop_s=STOP_S),
        (PROOFS, LONG_RUNS, PROFILES[2]),
    ),
    "priorities, outage": Play(Plan(workers=6, outage=(10, 20), stop_s=STOP_S), PRIORITIES),
}


class Result(NamedTuple):
    """Shares of one queue: earned of its worth, served of its largest tenth and of all jobs."""

    earned: float
    tenth: float
    served: float


def play(load: Play, options: Options, seeds: range) -> dict[str, Result]:
    """Play a load with several seeds; return the mean result by queue."""
    plan = load.plan._replace(options=options)
    plays = [Simulation(seed, plan, load.profiles).run() for seed in seeds]
    found = {}
    for profile in load.profiles:
        name = profile.queue.name
        tenths, wholes = ([each.tally(name, size) for each in plays] for size in ("tenth", ""))
        found[name] = Result(
            sum(each.earned_share(name) for each in plays) / len(plays),
            sum(each.served for each in tenths) / sum(each.jobs for each in tenths),
            sum(each.served for each in wholes) / sum(each.jobs for each in wholes),
        )
    return found


def main() -> None:
    """Play all loads and print a line for each queue."""
    defaults = ["1", "6", "deadline_order", ""]
    first, count, names, loads = (sys.argv[1:] + defaults[len(sys.argv) - 1 :])[:4]
    seeds = range(int(first), int(first) + int(count))
    chosen = loads.split(";") if loads else list(PLAYS)
    for load in chosen:
        each = PLAYS[load]
        before = play(each, NO_OPTIONS, seeds)
        after = play(each, parse_options(names), seeds)
        for queue, found in before.items():
            text = "  ".join(
                f"{field} {old:.3f} -> {new:.3f}"
                for field, old, new in zip(Result._fields, found, after[queue], strict=True)
            )
            print(f"{load:18}{queue:9}{text}", flush=True)


if __name__ == "__main__":
    main()
