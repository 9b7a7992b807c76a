"""Compare placement policies on two simulated clusters with interference hidden from them."""

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
OUTAGE_START_S, OUTAGE_END_S = 2_400, 3_000
RECOVERY_S = 300
CANCEL_AT_S = 1_500
CANCEL_SHARE = 0.3
BAD_WORKER_START_S, BAD_WORKER_END_S = 600, 1_500
URGENT_BOUND_S = 6.4
DEADLINE_FACTOR = 20.0
THROTTLED_SPEED = 0.5
TUNING_SEEDS = (11, 12, 13)
HELD_OUT_SEEDS = (91, 92)
POLICIES = ("random", "least", "bestfit", "ours", "clairvoyant")
ABLATIONS = ("ours-no-sizes", "ours-no-interference", "ours-no-ladder", "ours-no-blame")


class Cluster(NamedTuple):
    """The hosts and replicas of a cluster; `load` is the core share of batch work."""

    name: str
    workers: int
    cores: float
    replicas: int
    load: float


CLUSTERS = {
    "order-desk": Cluster("order-desk", 25, 64.0, 12, 0.75),
    "sheet-desk": Cluster("sheet-desk", 30, 32.0, 6, 0.85),
}


@dataclass
class SimTask:
    """A simulated task; `done` is in seconds at full speed."""

    task: Task
    cls: str
    duration_s: float
    arrived_at: float
    declared_cores: float
    true_cores: float
    service: str = ""
    done: float = 0.0
    worker: str = ""
    reserved_cores: float = 0.0
    throttled: bool = False
    started_at: float = -1.0
    ready_at: float = 0.0

    @property
    def deadline(self) -> float:
        """Return the time by which the task should end."""
        return self.arrived_at + 120.0 + DEADLINE_FACTOR * self.duration_s


@dataclass
class Host:
    """A simulated worker."""

    name: str
    domain: int
    cores: float
    items: dict[Task, SimTask] = field(default_factory=dict)

    def reserved(self) -> float:
        """Return the sum of reserved cores."""
        return sum(item.reserved_cores for item in self.items.values())


class Tally:
    """The measurements of one run; latencies have weights."""

    def __init__(self) -> None:
        self.latency: list[tuple[float, float]] = []
        self.within_target = 0.0
        self.total_weight = 0.0
        self.done = 0
        self.deadlines_met = 0
        self.evictions = 0
        self.lost_s = 0.0
        self.work_s = 0.0
        self.outage_work_s = 0.0
        self.recovery_work_s = 0.0
        self.urgent_waits_s: list[float] = []
        self.overloaded_ticks = 0
        self.host_ticks = 0

    def quantile(self, fraction: float) -> float:
        """Return a weighted quantile of latency in ms."""
        ordered = sorted(self.latency)
        total = sum(weight for _, weight in ordered)
        cumulative = 0.0
        for value, weight in ordered:
            cumulative += weight
            if cumulative >= fraction * total:
                return value
        return ordered[-1][0]

    def summarize(self) -> dict[str, float]:
        """Return the figures by printed name."""
        return {
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
            "within": self.within_target / self.total_weight,
            "done": self.done,
            "met": self.deadlines_met / max(1, self.done),
            "work_h": self.work_s / 3600,
            "evictions": self.evictions,
            "lost_h": self.lost_s / 3600,
            "out_h": self.outage_work_s / 3600,
            "after_h": self.recovery_work_s / 3600,
            "urgent_max_s": max(self.urgent_waits_s, default=0.0),
            "overused": self.overloaded_ticks / self.host_ticks,
        }


class World:
    """The state that policies can't see: interference, true sizes, demand and faults."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        rng = self.rng
        self.services = [f"s{n}" for n in range(SERVICES)]
        self.classes = [f"c{n}" for n in range(CLASSES)]
        self.declared_cores = {cls: rng.choice([1.0, 2.0, 4.0]) for cls in self.classes}
        self.factor = {
            cls: math.exp(rng.uniform(math.log(0.3), math.log(5))) for cls in self.classes
        }
        self.duration_s = {cls: rng.uniform(30, 300) for cls in self.classes}
        self.noisy_classes = set(rng.sample(self.classes, 2))
        self.slowdowns = {
            (service, cls): rng.uniform(0.05, 0.3) if rng.random() < 0.2 else rng.uniform(0, 0.005)
            for service in self.services
            for cls in self.classes
        }
        self.declared_cores[URGENT], self.factor[URGENT], self.duration_s[URGENT] = 2.0, 1.0, 20.0
        self.failing_class = self.classes[-1] if seed % 2 else ""
        self.bad_worker = rng.randrange(cluster.workers)
        mean_core_s = sum(
            self.declared_cores[c] * self.factor[c] * self.duration_s[c] for c in self.classes
        ) / len(self.classes)
        self.rate = cluster.load * cluster.workers * cluster.cores / mean_core_s

    def demand(self, now: float) -> float:
        """Return the services' load at a time of the simulated day, 0.3 to 1."""
        return 0.65 - 0.35 * math.cos(2 * math.pi * now / DAY_S)

    def effect(self, service: str, cls: str, now: float) -> float:
        """Return the relative latency that a task of a class now adds to a service."""
        burst = 3.0 if cls in self.noisy_classes and (now // 200) % 3 == 0 else 1.0
        return self.slowdowns.get((service, cls), 0.0) * burst * (0.5 + 0.5 * self.demand(now))

    def arrivals(self, now: float, number: int) -> Iterable[SimTask]:
        """Yield the tasks that arrive in this tick."""
        for _ in range(_poisson(self.rng, self.rate * TICK_S)):
            cls = self.rng.choice(self.classes)
            number += 1
            yield self.make_task(cls, now, number)
        if self.rng.random() < 0.02 * TICK_S:
            yield self.make_task(URGENT, now, number + 1)

    def make_task(self, cls: str, now: float, number: int) -> SimTask:
        """Return a task with random size and duration around those of its class."""
        noise = math.exp(self.rng.gauss(0, 0.15))
        true_cores = self.declared_cores[cls] * self.factor[cls] * noise
        duration_s = self.duration_s[cls] * math.exp(self.rng.gauss(0, 0.3))
        return SimTask(
            Task(f"j{number}", 0, 0), cls, duration_s, now, self.declared_cores[cls], true_cores
        )


def _poisson(rng: random.Random, mean: float) -> int:
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


Chooser = Callable[[SimTask, list[Host], float], Host | None]


class Simulation:
    """A run of one policy in one world."""

    def __init__(self, policy: str, cluster: Cluster, seed: int) -> None:
        self.policy = policy
        self.world = World(cluster, seed)
        self.rng = random.Random(seed + 1)
        self.hosts = [Host(f"w{n}", n % 3, cluster.cores) for n in range(cluster.workers)]
        self.queue: list[SimTask] = []
        self.tally = Tally()
        self.placer = Placer()
        self.ladder = Ladder(self.placer.interference)
        self.reports: list[tuple[float, Host, Report]] = []
        self.arrived_count = 0
        self.outage = False
        self.effects: dict[tuple[str, str], float] = {}
        if policy == "ours-no-blame":
            self.placer.blame = _NoBlame()
        self._place_replicas()

    @property
    def is_learning(self) -> bool:
        """Return whether this policy uses the learning placer."""
        return self.policy.startswith("ours")

    def run(self) -> dict[str, float]:
        """Run the simulated day."""
        for second in range(0, RUN_S, TICK_S):
            self._step(float(second))
        return self.tally.summarize()

    def _place_replicas(self) -> None:
        for n in range(self.world.cluster.replicas):
            for service in self.world.services:
                task = Task(f"svc.{service}", n, 0)
                item = SimTask(task, service, 0.0, 0.0, 1.0, 1.0, service=service)
                host = min(self.hosts, key=lambda h: (len(h.items), self.rng.random()))
                self._assign(item, host, 1.0)

    def _assign(self, item: SimTask, host: Host, reserved: float) -> None:
        item.worker, item.reserved_cores = host.name, reserved
        host.items[item.task] = item

    def _step(self, now: float) -> None:
        for item in self.world.arrivals(now, self.arrived_count):
            self.arrived_count += 1
            self.queue.append(item)
        self._apply_events(now)
        self._deliver_reports(now)
        self._place(now)
        self._progress(now)
        if now % REPORT_EVERY_S == 0:
            self._queue_reports(now)

    def _apply_events(self, now: float) -> None:
        if now == CANCEL_AT_S:
            self.queue = [item for item in self.queue if self.rng.random() > CANCEL_SHARE]
        if now == OUTAGE_START_S:
            self.outage = True
            for host in self.hosts:
                if host.domain == 0:
                    for item in [i for i in host.items.values() if not i.service]:
                        self._evict(host, item, now, forced=True)
        if now == OUTAGE_END_S:
            self.outage = False

    def _open_hosts(self) -> list[Host]:
        return [host for host in self.hosts if not (self.outage and host.domain == 0)]

    def _evict(self, host: Host, item: SimTask, now: float, forced: bool = False) -> None:
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
        hosts = self._open_hosts()
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
                host = self._make_room_for_urgent(item, hosts, now)
            if host is None:
                failed.add(item.cls)
                self.queue.append(item)
                continue
            self._assign(item, host, self._reservation(item))
            if item.started_at < 0:
                item.started_at = now
                if item.cls == URGENT:
                    self.tally.urgent_waits_s.append(now - item.arrived_at)

    def _waiting_task(self, item: SimTask) -> WaitingTask:
        size = Size(item.declared_cores, 0.0, 0)
        return WaitingTask(item.task, item.cls, item.service, size, item.cls == URGENT, 0)

    def _reservation(self, item: SimTask) -> float:
        match self.policy:
            case "clairvoyant":
                return item.true_cores
            case "ours-no-sizes":
                return item.declared_cores
            case _ if self.is_learning:
                return self.placer.reservation(self._waiting_task(item)).cores
            case _:
                return item.declared_cores

    def _choose(self, item: SimTask, hosts: list[Host], now: float) -> Host | None:
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
                return self._choose_clairvoyant(item, fitting, now)
            case _:
                return self._choose_with_placer(item, size, fitting, now)

    def _choose_with_placer(
        self, item: SimTask, size: float, hosts: list[Host], now: float
    ) -> Host | None:
        reserved = Size(size, 0.0, 0)
        candidates = [self._candidate(host) for host in hosts]
        name = self.placer.choose_worker(self._waiting_task(item), reserved, candidates, now)
        return next((host for host in hosts if host.name == name), None)

    def _candidate(self, host: Host) -> Candidate:
        classes = tuple(item.service or item.cls for item in host.items.values())
        services = {item.service for item in host.items.values() if item.service}
        room = Size(host.cores - host.reserved(), 0.0, 0)
        return Candidate(host.name, Size(host.cores, 0.0, 0), room, classes, services)

    def _choose_clairvoyant(self, item: SimTask, hosts: list[Host], now: float) -> Host | None:
        slowdowns = self.world.slowdowns

        def added_slowdown(host: Host) -> float:
            worst = 0.0
            batch = [i.cls for i in host.items.values() if not i.service]
            for service in {i.service for i in host.items.values() if i.service}:
                more = slowdowns.get((service, item.cls), 0.0)
                if more > 0.005:
                    worst = max(worst, more + sum(slowdowns.get((service, c), 0.0) for c in batch))
            return worst

        costs = {host.name: added_slowdown(host) for host in hosts}
        best = min(hosts, key=lambda h: (max(0.0, costs[h.name] - 0.03), -h.reserved() / h.cores))
        return None if costs[best.name] > 0.25 else best

    def _make_room_for_urgent(self, item: SimTask, hosts: list[Host], now: float) -> Host | None:
        if not self.is_learning and self.policy != "clairvoyant":
            return None
        size = Size(self._reservation(item), 0.0, 0)
        evictable = {
            host.name: {
                task: Size(other.reserved_cores, 0.0, 0)
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

    # Execution

    def _progress(self, now: float) -> None:
        world, tally = self.world, self.tally
        demand = world.demand(now)
        self.effects = {
            (s, c): world.effect(s, c, now) for s in world.services for c in world.declared_cores
        }
        is_outage = OUTAGE_START_S <= now < OUTAGE_END_S
        is_recovery = OUTAGE_END_S <= now < OUTAGE_END_S + RECOVERY_S
        for index, host in enumerate(self.hosts):
            items = list(host.items.values())
            used = sum(self._used_cores(item, demand) for item in items)
            overload = max(1.0, used / host.cores)
            tally.overloaded_ticks += used > host.cores * 1.001
            tally.host_ticks += 1
            serving = not (self.outage and host.domain == 0)
            for item in items:
                if item.service:
                    if serving:
                        self._serve(item.service, items, overload, demand, now)
                    continue
                speed = TICK_S * (THROTTLED_SPEED if item.throttled else 1.0) / overload
                item.done += speed
                tally.work_s += speed * item.declared_cores
                tally.outage_work_s += speed * item.declared_cores * is_outage
                tally.recovery_work_s += speed * item.declared_cores * is_recovery
                self._finish_or_fail(index, host, item, now)

    def _used_cores(self, item: SimTask, demand: float) -> float:
        if item.service:
            return item.true_cores * demand
        return item.true_cores * (THROTTLED_SPEED if item.throttled else 1.0)

    def _slowdown(self, service: str, items: list[SimTask], overload: float, now: float) -> float:
        added = sum(
            self.effects[(service, item.cls)] * (THROTTLED_SPEED if item.throttled else 1.0)
            for item in items
            if not item.service
        )
        return (1.0 + added) * overload

    def _serve(
        self, service: str, items: list[SimTask], overload: float, demand: float, now: float
    ) -> None:
        noise = math.exp(self.rng.gauss(0, 0.08))
        latency = BASE_MS * self._slowdown(service, items, overload, now) * noise
        self.tally.latency.append((latency, demand))
        self.tally.total_weight += demand
        self.tally.within_target += demand * (latency <= BASE_MS * TARGET_FACTOR)

    def _finish_or_fail(self, index: int, host: Host, item: SimTask, now: float) -> None:
        is_faulty = index == self.world.bad_worker and BAD_WORKER_START_S <= now < BAD_WORKER_END_S
        if is_faulty or item.cls == self.world.failing_class:
            del host.items[item.task]
            self.placer.record_outcome(host.name, item.cls, _outcome(OutcomeKind.FAILED), now)
            if item.task.attempt < 5:
                self.tally.lost_s += item.done
                item.done, item.worker, item.ready_at = 0.0, "", now + 1.0
                item.task = item.task._replace(attempt=item.task.attempt + 1)
                self.queue.append(item)
        elif item.done >= item.duration_s:
            del host.items[item.task]
            self.tally.done += 1
            self.tally.deadlines_met += now <= item.deadline
            self.placer.record_outcome(host.name, item.cls, _outcome(OutcomeKind.DONE), now)

    # Reports

    def _queue_reports(self, now: float) -> None:
        if not self.is_learning:
            return
        demand = self.world.demand(now)
        for host in self.hosts:
            items = list(host.items.values())
            used = sum(self._used_cores(item, demand) for item in items)
            overload = max(1.0, used / host.cores)
            usage = [(item.service or item.cls, self._used_cores(item, 1.0)) for item in items]
            names = sorted({item.service for item in items if item.service})
            slowdowns = [
                (
                    name,
                    self._slowdown(name, items, overload, now) * math.exp(self.rng.gauss(0, 0.03)),
                )
                for name in names
            ]
            report = Report(now, usage, slowdowns)
            self.reports.append((now + self.rng.uniform(5, 30), host, report))

    def _deliver_reports(self, now: float) -> None:
        due = [entry for entry in self.reports if entry[0] <= now]
        self.reports = [entry for entry in self.reports if entry[0] > now]
        for _, host, report in due:
            if self.policy == "ours-no-interference":
                report = report._replace(slowdowns=[(name, 1.0) for name, _ in report.slowdowns])
            self.placer.observe(report)
            if self.policy != "ours-no-ladder":
                self._apply_ladder(host, report, now)

    def _apply_ladder(self, host: Host, report: Report, now: float) -> None:
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
        """Ignore the outcome."""


def _outcome(kind: OutcomeKind) -> Outcome:
    return Outcome(kind)


def run_one(job: tuple[str, str, int]) -> tuple[str, str, int, dict[str, float]]:
    """Run one policy on one cluster with one seed."""
    policy, cluster, seed = job
    return policy, cluster, seed, Simulation(policy, CLUSTERS[cluster], seed).run()


def main() -> int:
    """Print the means of each case, then the ratios between policies."""
    seeds = TUNING_SEEDS + HELD_OUT_SEEDS
    jobs = [(p, c, s) for c in CLUSTERS for p in POLICIES + ABLATIONS for s in seeds]
    results: dict[tuple[str, str, str], list[dict[str, float]]] = defaultdict(list)
    with ProcessPoolExecutor(7) as pool:
        for policy, cluster, seed, row in pool.map(run_one, jobs):
            kind = "kept-out" if seed in HELD_OUT_SEEDS else "tuning"
            results[(cluster, kind, policy)].append(row)
    for (cluster, kind, policy), rows in results.items():
        mean = {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}
        mean["urgent_max_s"] = max(row["urgent_max_s"] for row in rows)
        text = " ".join(f"{key}={value:.3f}" for key, value in mean.items())
        print(f"{cluster} {kind} {policy}: {text}")
        results[(cluster, kind, policy)] = [mean]
    for cluster in CLUSTERS:
        for kind in ("tuning", "kept-out"):
            ours = results[(cluster, kind, "ours")][0]
            best = results[(cluster, kind, "clairvoyant")][0]
            name = f"{cluster}.{kind}"
            print(f"policy: {name}.p99_over_clairvoyant={ours['p99_ms'] / best['p99_ms']:.3f}")
            print(f"policy: {name}.work_over_clairvoyant={ours['work_h'] / best['work_h']:.3f}")
            print(f"policy: {name}.evictions={ours['evictions']:.1f}")
            print(f"policy: {name}.urgent_max_s={ours['urgent_max_s']:.2f}")
            for baseline in ("random", "least", "bestfit"):
                other = results[(cluster, kind, baseline)][0]
                print(f"policy: {name}.p99_over_{baseline}={ours['p99_ms'] / other['p99_ms']:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
