"""Timeouts for answers of peers that do not count the delays of the caller's own event loop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from weakref import WeakKeyDictionary

# A timeout grows by the time that the loop lost, up to this multiple of it.
MAX_EXTENSION_FACTOR = 2.0
# Lag is measured in this last part of a timeout, or in half of a shorter one, so that calls that
# are answered in time and idle long polls need no ticks.
MEASURED_S = 0.6
# Interval at which the loop's lag is measured.
TICK_S = 0.05


class _LoopLag:
    """Measures how far a loop runs behind while timeouts are about to expire."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.seconds = 0.0
        self._loop = loop
        self._pending = 0
        self._timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Start measuring, unless another timeout already does."""
        self._pending += 1
        if self._timer is None:
            self._schedule()

    def close(self) -> None:
        """Stop measuring after the last timeout."""
        self._pending -= 1
        if not self._pending and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        due = self._loop.time() + TICK_S
        self._timer = self._loop.call_at(due, self._tick, due)

    def _tick(self, due: float) -> None:
        self.seconds += self._loop.time() - due
        self._schedule()


_lags: WeakKeyDictionary[asyncio.AbstractEventLoop, _LoopLag] = WeakKeyDictionary()


@asynccontextmanager
async def lag_tolerant_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise TimeoutError after `seconds`, not counting time in which the loop ran late."""
    loop = asyncio.get_running_loop()
    if loop not in _lags:
        _lags[loop] = _LoopLag(loop)
    lag = _lags[loop]
    lag_before, extended_s = 0.0, 0.0
    is_measuring = False
    measured_s = min(MEASURED_S, seconds / 2)
    due = loop.time() + seconds - measured_s
    timer: asyncio.TimerHandle
    async with asyncio.timeout(None) as limit:

        def measure() -> None:
            nonlocal lag_before, is_measuring, timer
            is_measuring = True
            lag_before = lag.seconds - max(0.0, loop.time() - due)
            lag.open()
            timer = loop.call_at(due + measured_s, expire)

        def expire() -> None:
            nonlocal extended_s, timer
            owed_s = min(lag.seconds - lag_before, MAX_EXTENSION_FACTOR * seconds) - extended_s
            if owed_s < TICK_S:
                limit.reschedule(loop.time())
                return
            extended_s += owed_s
            timer = loop.call_later(owed_s, expire)

        timer = loop.call_at(due, measure)
        try:
            yield
        finally:
            timer.cancel()
            if is_measuring:
                lag.close()
