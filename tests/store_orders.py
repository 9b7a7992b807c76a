"""Calls about one job whose transactions take effect in every order, also late."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Any, NamedTuple, TypeVar
from unittest.mock import Mock

from curranthall.cells.records import PROGRESS_TABLE, decode_progress_row, part_of
from curranthall.dag import Job, Progress, Step
from curranthall.errors import AnswerLost
from curranthall.intake import Intake
from curranthall.intake.intake import STORE_RETRY_S
from curranthall.model import Size
from curranthall.standin.store import MemoryStore
from tests.cluster import SERVICE, now
from tests.virtual import run

JOB = Job("1" * 16, "q", SERVICE, "spec", (Step(1, Size(1, 1), 1_000),), 0)
WAIT_S = 60.0
# How many answers get lost in one order of events, by the number of calls; each transaction may
# take effect later.
MAX_LOST = {2: 2, 3: 1}

Seen = TypeVar("Seen")
# Picks one of so many events.
Choose = Callable[[int], int]


class Op(NamedTuple):
    """A transaction that waits for its turn, sent by the call of this number."""

    call: int
    effect: Callable[[], Any]
    answer: asyncio.Future[Any]


class Play:
    """Calls about one job, each at another entry; `choose` picks the next event."""

    def __init__(self, count: int, choose: Choose) -> None:
        self.count, self.choose = count, choose
        self.store = MemoryStore(now)
        self.ops: list[Op] = []
        self.calls: list[asyncio.Task[Any]] = []
        # Lost transactions that may still take effect.
        self.late: list[Op] = []
        self.lost = 0

    def call(self, intake: Intake, number: int) -> Coroutine[Any, Any, Any]:
        """Return a call of a consumer at an entry."""
        raise NotImplementedError

    def on_applied(self, op: Op, was_stored: bool) -> None:
        """Check what a transaction did."""

    def on_answers(self) -> None:
        """Check the answers of calls that are done."""

    def seen_version(self) -> int:
        """Return the newest version that the next entry has read."""
        return self.store.version

    def progress(self) -> Progress | None:
        """Return the job's progress as stored."""
        row = self.store.find(PROGRESS_TABLE, part_of(JOB.id), JOB.id)
        return None if row is None else decode_progress_row(row)

    def is_stored(self) -> bool:
        """Return whether the job is stored."""
        return self.progress() is not None

    def begin(self) -> None:
        """Send the next call."""
        number = len(self.calls)
        succession = Mock()
        succession.watch.epoch_seen = self.seen_version()
        succession.watch.epoch.return_value = 1
        succession.watch.row_age_ms.return_value = 0
        succession.watch.holder.return_value = None
        succession.held = {}
        succession.me.name = f"e{number}"
        intake = Intake(
            succession, OrderedStore(self, number), Mock(), now, frozenset, lambda job: None
        )
        intake.choose_cell = lambda job: "a"  # type: ignore[method-assign]
        self.calls.append(asyncio.ensure_future(self.call(intake, number)))

    def apply(self, op: Op) -> Any:
        """Let a transaction take effect."""
        was_stored = self.is_stored()
        answer = op.effect()
        self.on_applied(op, was_stored)
        return answer

    def events(self) -> Iterator[Callable[[], None]]:
        """Yield the events that may happen next."""
        # A call that timed out may still take effect.
        self.late += [op for op in self.ops if op.answer.done()]
        self.ops = [op for op in self.ops if not op.answer.done()]
        for op in self.ops:
            yield partial(self._answer, op)
            if self.lost < MAX_LOST[self.count]:
                yield partial(self._lose, op, True)
                yield partial(self._lose, op, False)
        for op in self.late:
            yield partial(self._apply_late, op)
        if len(self.calls) < self.count:
            yield self.begin

    def _answer(self, op: Op) -> None:
        self.ops.remove(op)
        op.answer.set_result(self.apply(op))

    def _lose(self, op: Op, is_applied: bool) -> None:
        self.ops.remove(op)
        self.lost += 1
        if is_applied:
            self.apply(op)
        else:
            self.late.append(op)
        op.answer.set_exception(AnswerLost(why="lost"))

    def _apply_late(self, op: Op) -> None:
        self.late.remove(op)
        self.apply(op)

    async def _settle(self) -> None:
        """Let the calls go on to their next transaction; check the answers given meanwhile."""
        await asyncio.sleep(STORE_RETRY_S * 1.5)
        self.on_answers()

    async def run(self) -> None:
        """Play until nothing can happen."""
        self.begin()
        await self._settle()
        while events := list(self.events()):
            events[self.choose(len(events))]()
            await self._settle()
        for call in self.calls:
            call.cancel()


class OrderedStore:
    """One call's view of the store, whose transactions take effect when the play says so."""

    failing = False

    def __init__(self, play: Play, call: int) -> None:
        self._play, self._call = play, call

    async def commit(self, *transaction: Any) -> Any:
        """Wait for the turn of a transaction."""
        return await self._wait(partial(self._play.store.apply, *transaction))

    async def scan(self, *rows: Any) -> Any:
        """Read at once: the order against transactions is that of the events before and after."""
        return await self._play.store.scan(*rows)

    async def feed(self, *rows: Any) -> Any:
        """Follow the store's changes; no call does."""
        return await self._play.store.feed(*rows)

    async def _wait(self, effect: Callable[[], Any]) -> Any:
        op = Op(self._call, effect, asyncio.get_running_loop().create_future())
        self._play.ops.append(op)
        return await op.answer


def explore(play: Callable[[Choose], Coroutine[Any, Any, Seen]]) -> list[Seen]:
    """Play all orders of events; return what was seen in each."""
    found, path = [], list[tuple[int, int]]()
    while True:
        depth = itertools.count()

        def choose(count: int, depth: Iterator[int] = depth) -> int:
            at = next(depth)
            if at == len(path):
                path.append((0, count))
            return path[at][0]

        found.append(run(play(choose)))
        while path and path[-1][0] + 1 == path[-1][1]:
            path.pop()
        if not path:
            return found
        path[-1] = path[-1][0] + 1, path[-1][1]
