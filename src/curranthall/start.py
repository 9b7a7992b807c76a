"""Start tasks on held workers under a permit."""

from collections.abc import Callable, Coroutine
from typing import Any

from curranthall.block import (
    startable_tasks,
)
from curranthall.errors import AnswerLost, ConnectFailed, Fenced, Refused
from curranthall.events import Event, log
from curranthall.lease import HeldWorker
from curranthall.ledger import Ledger, Placement
from curranthall.model import (
    BlockRow,
    Size,
    StartOrder,
)
from curranthall.placement import Candidate, Placer, WaitingTask
from curranthall.release import BlockReleaser

STARTS_AT_ONCE = 32


class TaskStarter:
    """Choose workers for waiting tasks and start them."""

    def __init__(
        self,
        ledger: Ledger,
        releases: BlockReleaser,
        placer: Placer,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._ledger = ledger
        self._releases = releases
        self.placer = placer
        self._spawn = spawn

    def start_tasks(self) -> None:
        if not self._ledger.config.may_start(self._ledger.domain):
            return
        started = 0
        for waiting, row in self._waiting_tasks():
            held = self._choose_worker(waiting)
            if held is None:
                continue
            order = self._build_order(waiting, row)
            seq = self._ledger.keeper.reserve(held, order)
            self._ledger.placements[order.task.key] = Placement(order.task.attempt, held.host.name)
            self._spawn(self._start(held, order, seq))
            started += 1
            if started >= STARTS_AT_ONCE:
                return

    def _waiting_tasks(self) -> list[tuple[WaitingTask, BlockRow]]:
        found: list[tuple[WaitingTask, BlockRow]] = []
        now = self._ledger.clock()
        cores = self._ledger.cores_by_customer()
        blocks = [
            (key, row) for key, row in self._ledger.held_blocks() if key in self._ledger.trusted
        ]
        for key, row in sorted(blocks, key=lambda item: self._ledger.priority_key(item[1], cores)):
            spec = self._ledger.spec_of(row)
            if spec is None or self.placer.is_backed_off(row["cls"], now):
                continue
            if not row["service"] and self._is_over_quota(row["customer"], cores, spec["cores"]):
                self._ledger.wait_reasons[key] = "quota of customer " + row["customer"]
                continue
            declared = Size(spec["cores"], spec["memory"], spec["accelerators"])
            urgent = spec.get("kind") == "urgent"
            for task, checkpoint in startable_tasks(row, self._ledger.placed_indices(key, row)):
                if self._releases.is_being_released(key, task):
                    break
                waiting = WaitingTask(
                    task, row["cls"], row["service"], declared, urgent, checkpoint
                )
                found.append((waiting, row))
                if len(found) >= STARTS_AT_ONCE * 2:
                    return found
        return found

    def _is_over_quota(self, customer: str, own: dict[str, float], cores: float) -> bool:
        row = self._ledger.config.rows("customer").get(customer)
        if row is None:
            return False
        others = sum(p.beat["cores"].get(customer, 0.0) for p in self._ledger.roster.live())
        return own.get(customer, 0.0) + others + cores > row["quota_cores"]

    def _choose_worker(self, waiting: WaitingTask) -> HeldWorker | None:
        by_name = {held.host.name: held for held in self._ledger.own_workers()}
        if not by_name:
            return None
        size = self.placer.reservation(waiting)
        candidates = [self._candidate(held) for held in by_name.values()]
        name = self.placer.choose_worker(waiting, size, candidates, self._ledger.clock())
        key = f"{waiting.task.job}/{waiting.task.number}"
        if name is None:
            totals = [worker.host.size for worker in self._ledger.keeper.workers.values()]
            if key not in self._ledger.wait_reasons and not any(
                size.fits(total) for total in totals
            ):
                log(Event.TASK_NEVER_FITS, task=waiting.task, cores=size.cores, memory=size.memory)
            self._ledger.wait_reasons[key] = self.placer.wait_reason(size, totals)
            if waiting.urgent or waiting.service:
                self._make_room(waiting, size, candidates, by_name)
            return None
        self._ledger.wait_reasons.pop(key, None)
        return by_name[name]

    def _candidate(self, held: HeldWorker) -> Candidate:
        lease = held.lease
        assert lease is not None
        classes = [run.service or run.cls for run in lease.running.values()]
        classes += [order.service or order.cls for _, order in lease.pending.values()]
        services = {run.service for run in lease.running.values() if run.service}
        services |= {order.service for _, order in lease.pending.values() if order.service}
        return Candidate(held.host.name, held.host.size, held.room(), tuple(classes), services)

    def _make_room(
        self,
        waiting: WaitingTask,
        size: Size,
        candidates: list[Candidate],
        held: dict[str, HeldWorker],
    ) -> None:
        evictable = {
            name: {
                task: run.size
                for task, run in w.lease.running.items()
                if not run.service and not self._is_urgent(run.cls)
            }
            for name, w in held.items()
            if w.lease is not None
        }
        chosen = self.placer.choose_victims(size, candidates, evictable)
        if chosen is None:
            return
        name, victims = chosen
        for task in victims:
            log(Event.TASK_EVICTING, task=task, worker=name, for_=waiting.task)
            self._ledger.counts["evictions"] += 1
            self._ledger.keeper.stop_soon(held[name], task)

    def _is_urgent(self, cls: str) -> bool:
        spec = self._ledger.config.rows("class").get(cls)
        return spec is not None and spec["kind"] == "urgent"

    def _build_order(self, waiting: WaitingTask, row: BlockRow) -> StartOrder:
        spec = self._ledger.spec_of(row) or {}
        seconds = 0.0 if row["service"] or spec.get("kind") == "watcher" else spec["seconds"]
        seconds = row.get("seconds", seconds)
        size = self.placer.reservation(waiting)
        return StartOrder(
            waiting.task,
            row["cls"],
            row["customer"],
            size,
            seconds,
            waiting.checkpoint,
            row["service"],
        )

    async def _start(self, held: HeldWorker, order: StartOrder, seq: int) -> None:
        where = {"task": order.task, "worker": held.host.name}
        self._ledger.mark_due()
        try:
            if not self._ledger.config.may_start(self._ledger.domain):
                self._ledger.keeper.unreserve(held, order)
                raise Refused(why="no permit")
            await self._ledger.keeper.start(held, order, seq, self._ledger.config.permit_until)
        except (Fenced, Refused, ConnectFailed) as exc:
            self._ledger.placements.pop(order.task.key, None)
            self._ledger.mark_due()
            log(Event.TASK_START_REFUSED, **where, why=exc)
        except AnswerLost as exc:
            log(Event.TASK_START_UNKNOWN, **where, why=exc)
        else:
            self._ledger.counts["starts"] += 1
            log(Event.TASK_PLACED, **where, cores=order.size.cores)
