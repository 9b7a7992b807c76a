"""Weigh placement policies on both users' sizes in virtual time, with hidden interference."""

import math
import random
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple

from curranthall.blame import Blame
from curranthall.ladder import Evict, Ladder, Throttle, Unthrottle
from curranthall.model import ZERO_SIZE, Outcome, OutcomeKind, Report, Running, Size, Task
from curranthall.placement import Candidate, Placer, WaitingTask

RUN_S = 3_600
TICK_S = 2
DAY_S = 3_600
SERVICES = 6
CLASSES = 10
URGENT = "urgent"
BASE_MS = 100.0
TARGET_FACTOR = 1.5
REPORT_EVERY_S = 6
OUT_FROM_S, OUT_TO_S = 2_400, 3_000
AFTER_S = 300
CANCEL_AT_S = 1_500
CANCEL_SHARE = 0.3
BAD_WORKER_FROM_S, BAD_WORKER_TO_S = 600, 1_500
URGENT_BOUND_S = 6.4
DEADLINE_FACTOR = 20.0
THROTTLED = 0.5
TUNING_SEEDS = (11, 12, 13)
KEPT_OUT_SEEDS = (91, 92)
POLICIES = ("random", "least", "bestfit", "ours", "clairvoyant")
OURS_WITHOUT = ("ours-no-sizes", "ours-no-interference", "ours-no-ladder", "ours-no-blame")


class User(NamedTuple):
    """A user's hosts and how full batch work keeps them."""

    name: str
    workers: int
    cores: float
    replicas: int
    load: float


USERS = {
    "order-desk": User("order-desk", 25, 64.0, 12, 0.75),
    "sheet-desk": User("sheet-desk", 30, 32.0, 6, 0.85),
}


@dataclass
class Item:
    """A task of the simulated day."""

    task: Task
    cls: str
    seconds: float
    born: float
    declared: float
    true: float
    service: str = ""
    done: float = 0.0
    worker: str = ""
    reserved: float = 0.0
    throttled: bool = False
    started: float = -1.0
    ready_at: float = 0.0

    @property
    def deadline(self) -> float:
        """Give the time by which it must end."""
        return self.born + 120.0 + DEADLINE_FACTOR * self.seconds


@dataclass
class Host:
    """A simulated worker."""

    name: str
    domain: int
    cores: float
    items: dict[Task, Item] = field(default_factory=dict)

    def reserved(self) -> float:
        """Add up reservations."""
        return sum(item.reserved for item in self.items.values())


class Tally:
    """What one run showed."""

    def __init__(self) -> None:
        self.latency: list[tuple[float, float]] = []
        self.within = 0.0
        self.weight = 0.0
        self.done = 0
        self.met = 0
        self.evictions = 0
        self.lost_s = 0.0
        self.work_s = 0.0
        self.out_work_s = 0.0
        self.after_work_s = 0.0
        self.urgent_wait: list[float] = []
        self.overused = 0
        self.ticks = 0

    def quantile(self, wanted: float) -> float:
        """Give a weighted latency quantile."""
        ordered = sorted(self.latency)
        total = sum(weight for _, weight in ordered)
        seen = 0.0
        for value, weight in ordered:
            seen += weight
            if seen >= wanted * total:
                return value
        return ordered[-1][0]

    def row(self) -> dict[str, float]:
        """Give the figures."""
        return {
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
            "within": self.within / self.weight,
            "done": self.done,
            "met": self.met / max(1, self.done),
            "work_h": self.work_s / 3600,
            "evictions": self.evictions,
            "lost_h": self.lost_s / 3600,
            "out_h": self.out_work_s / 3600,
            "after_h": self.after_work_s / 3600,
            "urgent_max_s": max(self.urgent_wait, default=0.0),
            "overused": self.overused / self.ticks,
        }


class World:
    """The hidden truth: who slows whom down, how large classes are, when load shifts."""

    def __init__(self, user: User, seed: int) -> None:
        self.user = user
        self.rng = random.Random(seed)
        rng = self.rng
        self.services = [f"s{n}" for n in range(SERVICES)]
        self.classes = [f"c{n}" for n in range(CLASSES)]
        self.declared = {cls: rng.choice([1.0, 2.0, 4.0]) for cls in self.classes}
        self.factor = {
            cls: math.exp(rng.uniform(math.log(0.3), math.log(5))) for cls in self.classes
        }
        self.seconds = {cls: rng.uniform(30, 300) for cls in self.classes}
        self.noisy = set(rng.sample(self.classes, 2))
        self.slows = {
            (service, cls): rng.uniform(0.05, 0.3) if rng.random() < 0.2 else rng.uniform(0, 0.005)
            for service in self.services
            for cls in self.classes
        }
        self.declared[URGENT], self.factor[URGENT], self.seconds[URGENT] = 2.0, 1.0, 20.0
        self.doomed = self.classes[-1] if seed % 2 else ""
        self.bad_worker = rng.randrange(user.workers)
        mean_core_s = sum(
            self.declared[c] * self.factor[c] * self.seconds[c] for c in self.classes
        ) / len(self.classes)
        self.rate = user.load * user.workers * user.cores / mean_core_s

    def demand(self, now: float) -> float:
        """Give the services' load through the working day, 0.3 to 1."""
        return 0.65 - 0.35 * math.cos(2 * math.pi * now / DAY_S)

    def pair(self, service: str, cls: str, now: float) -> float:
        """Give what a task of a class adds to a service's latency now."""
        wave = 3.0 if cls in self.noisy and (now // 200) % 3 == 0 else 1.0
        return self.slows.get((service, cls), 0.0) * wave * (0.5 + 0.5 * self.demand(now))

    def arrivals(self, now: float, number: int) -> Iterable[Item]:
        """Give the tasks that come in this second."""
        for _ in range(_poisson(self.rng, self.rate * TICK_S)):
            cls = self.rng.choice(self.classes)
            number += 1
            yield self.item(cls, now, number)
        if self.rng.random() < 0.02 * TICK_S:
            yield self.item(URGENT, now, number + 1)

    def item(self, cls: str, now: float, number: int) -> Item:
        """Make a task."""
        noise = math.exp(self.rng.gauss(0, 0.15))
        true = self.declared[cls] * self.factor[cls] * noise
        seconds = self.seconds[cls] * math.exp(self.rng.gauss(0, 0.3))
        return Item(Task(f"j{number}", 0, 0), cls, seconds, now, self.declared[cls], true)


def _poisson(rng: random.Random, mean: float) -> int:
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


Chooser = Callable[[Item, list[Host], float], Host | None]


class Simulation:
    """One policy on one hidden world."""

    def __init__(self, policy: str, user: User, seed: int) -> None:
        self.policy = policy
        self.world = World(user, seed)
        self.rng = random.Random(seed + 1)
        self.hosts = [Host(f"w{n}", n % 3, user.cores) for n in range(user.workers)]
        self.queue: list[Item] = []
        self.tally = Tally()
        self.placer = Placer()
        self.ladder = Ladder(self.placer.interference)
        self.reports: list[tuple[float, Host, Report]] = []
        self.number = 0
        self.out = False
        self.pairs: dict[tuple[str, str], float] = {}
        if policy == "ours-no-blame":
            self.placer.blame = _NoBlame()
        self._place_replicas()

    @property
    def ours(self) -> bool:
        """Tell whether this policy learns."""
        return self.policy.startswith("ours")

    def run(self) -> dict[str, float]:
        """Run the day."""
        for second in range(0, RUN_S, TICK_S):
            self._step(float(second))
        return self.tally.row()

    def _place_replicas(self) -> None:
        for n in range(self.world.user.replicas):
            for service in self.world.services:
                task = Task(f"svc.{service}", n, 0)
                item = Item(task, service, 0.0, 0.0, 1.0, 1.0, service=service)
                host = min(self.hosts, key=lambda h: (len(h.items), self.rng.random()))
                self._put(item, host, 1.0)

    def _put(self, item: Item, host: Host, reserved: float) -> None:
        item.worker, item.reserved = host.name, reserved
        host.items[item.task] = item

    def _step(self, now: float) -> None:
        for item in self.world.arrivals(now, self.number):
            self.number += 1
            self.queue.append(item)
        self._events(now)
        self._deliver(now)
        self._place(now)
        self._progress(now)
        if now % REPORT_EVERY_S == 0:
            self._measure(now)

    def _events(self, now: float) -> None:
        if now == CANCEL_AT_S:
            self.queue = [item for item in self.queue if self.rng.random() > CANCEL_SHARE]
        if now == OUT_FROM_S:
            self.out = True
            for host in self.hosts:
                if host.domain == 0:
                    for item in [i for i in host.items.values() if not i.service]:
                        self._evict(host, item, now, forced=True)
        if now == OUT_TO_S:
            self.out = False

    def _open(self) -> list[Host]:
        return [host for host in self.hosts if not (self.out and host.domain == 0)]

    def _evict(self, host: Host, item: Item, now: float, forced: bool = False) -> None:
        del host.items[item.task]
        kept = math.floor(item.done)
        self.tally.lost_s += item.done - kept
        self.tally.evictions += not forced
        item.done, item.worker, item.throttled = kept, "", False
        item.task = item.task._replace(attempt=item.task.attempt + 1)
        item.ready_at = now + 1.0
        self.queue.append(item)

    # Placement

    def _place(self, now: float) -> None:
        hosts = self._open()
        pending = sorted(self.queue, key=lambda item: (item.cls != URGENT, item.deadline))
        self.queue = []
        failed: set[str] = set()
        for item in pending:
            blocked = item.cls in failed and item.cls != URGENT
            if blocked or item.ready_at > now or self.placer.is_backed_off(item.cls, now):
                self.queue.append(item)
                continue
            host = self._choose(item, hosts, now)
            if host is None and item.cls == URGENT:
                host = self._room_for_urgent(item, hosts, now)
            if host is None:
                failed.add(item.cls)
                self.queue.append(item)
                continue
            self._put(item, host, self._reservation(item))
            if item.started < 0:
                item.started = now
                if item.cls == URGENT:
                    self.tally.urgent_wait.append(now - item.born)

    def _want(self, item: Item) -> WaitingTask:
        size = Size(item.declared, 0.0, 0)
        return WaitingTask(item.task, item.cls, item.service, size, item.cls == URGENT, 0)

    def _reservation(self, item: Item) -> float:
        match self.policy:
            case "clairvoyant":
                return item.true
            case "ours-no-sizes":
                return item.declared
            case _ if self.ours:
                return self.placer.reservation(self._want(item)).cores
            case _:
                return item.declared

    def _choose(self, item: Item, hosts: list[Host], now: float) -> Host | None:
        size = self._reservation(item)
        fitting = [host for host in hosts if host.reserved() + size <= host.cores + 1e-9]
        if not fitting:
            return None
        match self.policy:
            case "random":
                return self.rng.choice(fitting)
            case "least":
                return min(fitting, key=lambda host: host.reserved() / host.cores)
            case "bestfit":
                return max(fitting, key=lambda host: host.reserved() / host.cores)
            case "clairvoyant":
                return self._clairvoyant(item, fitting, now)
            case _:
                return self._ours(item, size, fitting, now)

    def _ours(self, item: Item, size: float, hosts: list[Host], now: float) -> Host | None:
        wanted = Size(size, 0.0, 0)
        candidates = [self._candidate(host) for host in hosts]
        name = self.placer.choose_worker(self._want(item), wanted, candidates, now)
        return next((host for host in hosts if host.name == name), None)

    def _candidate(self, host: Host) -> Candidate:
        classes = tuple(item.service or item.cls for item in host.items.values())
        services = {item.service for item in host.items.values() if item.service}
        room = Size(host.cores - host.reserved(), 0.0, 0)
        return Candidate(host.name, Size(host.cores, 0.0, 0), room, classes, services)

    def _clairvoyant(self, item: Item, hosts: list[Host], now: float) -> Host | None:
        slows = self.world.slows

        def added(host: Host) -> float:
            worst = 0.0
            batch = [i.cls for i in host.items.values() if not i.service]
            for service in {i.service for i in host.items.values() if i.service}:
                more = slows.get((service, item.cls), 0.0)
                if more > 0.005:
                    worst = max(worst, more + sum(slows.get((service, c), 0.0) for c in batch))
            return worst

        costs = {host.name: added(host) for host in hosts}
        best = min(hosts, key=lambda h: (max(0.0, costs[h.name] - 0.03), -h.reserved() / h.cores))
        return None if costs[best.name] > 0.25 else best

    def _room_for_urgent(self, item: Item, hosts: list[Host], now: float) -> Host | None:
        if not self.ours and self.policy != "clairvoyant":
            return None
        size = Size(self._reservation(item), 0.0, 0)
        evictable = {
            host.name: {
                task: Size(other.reserved, 0.0, 0)
                for task, other in host.items.items()
                if not other.service and other.cls != URGENT
            }
            for host in hosts
        }
        chosen = self.placer.choose_victims(
            size, [self._candidate(host) for host in hosts], evictable
        )
        if chosen is None:
            return None
        host = next(host for host in hosts if host.name == chosen[0])
        for task in chosen[1]:
            self._evict(host, host.items[task], now)
        return host

    # What happens

    def _progress(self, now: float) -> None:
        world, tally = self.world, self.tally
        demand = world.demand(now)
        self.pairs = {(s, c): world.pair(s, c, now) for s in world.services for c in world.declared}
        during_out = OUT_FROM_S <= now < OUT_TO_S
        after = OUT_TO_S <= now < OUT_TO_S + AFTER_S
        for number, host in enumerate(self.hosts):
            items = list(host.items.values())
            used = sum(self._use(item, demand) for item in items)
            over = max(1.0, used / host.cores)
            tally.overused += used > host.cores * 1.001
            tally.ticks += 1
            serving = not (self.out and host.domain == 0)
            for item in items:
                if item.service:
                    if serving:
                        self._serve(item.service, items, over, demand, now)
                    continue
                speed = TICK_S * (THROTTLED if item.throttled else 1.0) / over
                item.done += speed
                tally.work_s += speed * item.declared
                tally.out_work_s += speed * item.declared * during_out
                tally.after_work_s += speed * item.declared * after
                self._maybe_end(number, host, item, now)

    def _use(self, item: Item, demand: float) -> float:
        if item.service:
            return item.true * demand
        return item.true * (THROTTLED if item.throttled else 1.0)

    def _slowdown(self, service: str, items: list[Item], over: float, now: float) -> float:
        added = sum(
            self.pairs[(service, item.cls)] * (THROTTLED if item.throttled else 1.0)
            for item in items
            if not item.service
        )
        return (1.0 + added) * over

    def _serve(
        self, service: str, items: list[Item], over: float, demand: float, now: float
    ) -> None:
        noise = math.exp(self.rng.gauss(0, 0.08))
        latency = BASE_MS * self._slowdown(service, items, over, now) * noise
        self.tally.latency.append((latency, demand))
        self.tally.weight += demand
        self.tally.within += demand * (latency <= BASE_MS * TARGET_FACTOR)

    def _maybe_end(self, number: int, host: Host, item: Item, now: float) -> None:
        bad = number == self.world.bad_worker and BAD_WORKER_FROM_S <= now < BAD_WORKER_TO_S
        if bad or item.cls == self.world.doomed:
            del host.items[item.task]
            self.placer.record_outcome(host.name, item.cls, _outcome(OutcomeKind.FAILED), now)
            if item.task.attempt < 5:
                self.tally.lost_s += item.done
                item.done, item.worker, item.ready_at = 0.0, "", now + 1.0
                item.task = item.task._replace(attempt=item.task.attempt + 1)
                self.queue.append(item)
        elif item.done >= item.seconds:
            del host.items[item.task]
            self.tally.done += 1
            self.tally.met += now <= item.deadline
            self.placer.record_outcome(host.name, item.cls, _outcome(OutcomeKind.DONE), now)

    # Reports

    def _measure(self, now: float) -> None:
        if not self.ours:
            return
        demand = self.world.demand(now)
        for host in self.hosts:
            items = list(host.items.values())
            used = sum(self._use(item, demand) for item in items)
            over = max(1.0, used / host.cores)
            usage = [(item.service or item.cls, self._use(item, 1.0)) for item in items]
            names = sorted({item.service for item in items if item.service})
            slowdowns = [
                (name, self._slowdown(name, items, over, now) * math.exp(self.rng.gauss(0, 0.03)))
                for name in names
            ]
            report = Report(now, usage, slowdowns)
            self.reports.append((now + self.rng.uniform(5, 30), host, report))

    def _deliver(self, now: float) -> None:
        due = [entry for entry in self.reports if entry[0] <= now]
        self.reports = [entry for entry in self.reports if entry[0] > now]
        for _, host, report in due:
            if self.policy == "ours-no-interference":
                report = report._replace(slowdowns=[(name, 1.0) for name, _ in report.slowdowns])
            self.placer.observe(report)
            if self.policy != "ours-no-ladder":
                self._act(host, report, now)

    def _act(self, host: Host, report: Report, now: float) -> None:
        running = {
            task: Running(item.cls, ZERO_SIZE, item.service, item.throttled)
            for task, item in host.items.items()
        }
        match self.ladder.decide(host.name, report, running, now):
            case Throttle(task):
                host.items[task].throttled = True
            case Unthrottle(task):
                host.items[task].throttled = False
            case Evict(task):
                self._evict(host, host.items[task], now)


class _NoBlame(Blame):
    def record_outcome(self, worker: str, cls: str, kind: OutcomeKind, now: float) -> None:
        """Blame nobody."""


def _outcome(kind: OutcomeKind) -> Outcome:
    return Outcome(kind)


def run_one(job: tuple[str, str, int]) -> tuple[str, str, int, dict[str, float]]:
    """Run one policy for one user and seed."""
    policy, user, seed = job
    return policy, user, seed, Simulation(policy, USERS[user], seed).run()


def main() -> int:
    """Print the table and the last lines."""
    seeds = TUNING_SEEDS + KEPT_OUT_SEEDS
    jobs = [(p, u, s) for u in USERS for p in POLICIES + OURS_WITHOUT for s in seeds]
    found: dict[tuple[str, str, str], list[dict[str, float]]] = defaultdict(list)
    with ProcessPoolExecutor(7) as pool:
        for policy, user, seed, row in pool.map(run_one, jobs):
            kind = "kept-out" if seed in KEPT_OUT_SEEDS else "tuning"
            found[(user, kind, policy)].append(row)
    for (user, kind, policy), rows in found.items():
        mean = {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}
        mean["urgent_max_s"] = max(row["urgent_max_s"] for row in rows)
        text = " ".join(f"{key}={value:.3f}" for key, value in mean.items())
        print(f"{user} {kind} {policy}: {text}")
        found[(user, kind, policy)] = [mean]
    for user in USERS:
        for kind in ("tuning", "kept-out"):
            ours = found[(user, kind, "ours")][0]
            best = found[(user, kind, "clairvoyant")][0]
            name = f"{user}.{kind}"
            print(f"policy: {name}.p99_over_clairvoyant={ours['p99_ms'] / best['p99_ms']:.3f}")
            print(f"policy: {name}.work_over_clairvoyant={ours['work_h'] / best['work_h']:.3f}")
            print(f"policy: {name}.evictions={ours['evictions']:.1f}")
            print(f"policy: {name}.urgent_max_s={ours['urgent_max_s']:.2f}")
            for base in ("random", "least", "bestfit"):
                other = found[(user, kind, base)][0]
                print(f"policy: {name}.p99_over_{base}={ours['p99_ms'] / other['p99_ms']:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
