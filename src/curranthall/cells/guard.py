"""Calls to workers and the advisor; a defect of one call counts as a lost answer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from curranthall.cells.ports import PaceTask, Snapshot, StartAnswer, StartTask, StopTask, WorkerPort
from curranthall.errors import AnswerLost, ConnectFailed, CurranthallError
from curranthall.events import Event, log
from curranthall.model import Host

Answer = TypeVar("Answer")


async def guard(peer: str, call: Callable[[], Awaitable[Answer]]) -> Answer:
    """Return the answer of a call; log an unexpected exception and raise AnswerLost."""
    try:
        return await call()
    except CurranthallError:
        raise
    except Exception as exc:
        log(Event.LOOP_FAILED, where=peer, error=repr(exc))
        raise AnswerLost(peer=peer, why="defect") from exc


async def first_answer(
    call: Callable[[], Awaitable[Answer]],
    clock: Callable[[], float],
    pause_s: float,
    is_wanted: Callable[[], bool],
) -> tuple[Answer, float]:
    """Make a call anew after each pause; return the first answer and when its call was made.

    A call to a peer that is down may hang. Raise AnswerLost once no answer is wanted any more.
    """
    pending: dict[asyncio.Future[Answer], float] = {}
    try:
        while is_wanted():
            made_at = clock()
            pending[asyncio.ensure_future(call())] = made_at
            done, _ = await asyncio.wait(
                pending, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
            )
            for each in done:
                asked_at = pending.pop(each)
                if not isinstance(each.exception(), AnswerLost | ConnectFailed):
                    return each.result(), asked_at
            await asyncio.sleep(max(0.0, made_at + pause_s - clock()))
        raise AnswerLost(why="no call was answered")
    finally:
        for each in pending:
            each.cancel()


class GuardedPort:
    """Port to one worker that is connected by the first call; implements WorkerPort."""

    def __init__(self, host: Host, connect: Callable[[Host], WorkerPort]) -> None:
        self._host = host
        self._connect = connect
        self._connected: WorkerPort | None = None

    async def hold(self, token: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Extend the lease."""
        return await guard(
            self._host.name, lambda: self._port().hold(token, cursor, lease_ms, wait_ms)
        )

    async def start(self, token: int, order: StartTask) -> StartAnswer:
        """Start a run."""
        return await guard(self._host.name, lambda: self._port().start(token, order))

    async def stop(self, token: int, order: StopTask) -> None:
        """Stop a run."""
        await guard(self._host.name, lambda: self._port().stop(token, order))

    async def pace(self, token: int, order: PaceTask) -> None:
        """Throttle a run."""
        await guard(self._host.name, lambda: self._port().pace(token, order))

    def close(self) -> None:
        """Close the connections."""
        if self._connected is not None:
            self._connected.close()

    def _port(self) -> WorkerPort:
        if self._connected is None:
            self._connected = self._connect(self._host)
        return self._connected
