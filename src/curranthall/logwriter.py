"""Non-blocking, rate-limited writing of log lines to a file descriptor."""

import os
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any

import orjson

# Per second; further lines are counted and reported in one LEFT_OUT line. Lines about lasting tasks
# have a limit of their own, so that bursts of short ones don't hide them.
MAX_LINES_PER_EVENT = 60
# Buffer for a slow reader; lines beyond it are dropped and counted.
MAX_PENDING_BYTES = 262_144


class LogWriter:
    """Writes each event as one JSON object per line."""

    def __init__(self, descriptor: int, wall_clock: Callable[[], float] = time.time) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._wall_clock = wall_clock
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second = 0
        self._line_counts: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.dropped = 0

    def write(self, event: Enum, fields: dict[str, object]) -> None:
        """Write an event unless its limit for this second is reached."""
        now = self._wall_clock()
        if int(now) != self._second:
            self._begin_second(now)
        kind = f"{event.name} lasting" if fields.get("lasting") is True else event.name
        written = self._line_counts.get(kind, 0)
        if written >= MAX_LINES_PER_EVENT:
            self.left_out[kind] = self.left_out.get(kind, 0) + 1
            return
        self._line_counts[kind] = written + 1
        line = {"t": round(now, 3), "event": event.value, "name": event.name, **fields}
        self.dropped += not self._enqueue(line)

    def _begin_second(self, now: float) -> None:
        self._second, self._line_counts = int(now), {}
        stamp = {"t": round(now, 3)}
        if self.left_out:
            line = {**stamp, "event": 1, "name": "LEFT_OUT", "counts": self.left_out}
            if self._enqueue(line):
                self.left_out = {}
        if self.dropped:
            line = {**stamp, "event": 2, "name": "DROPPED", "lines": self.dropped}
            if self._enqueue(line):
                self.dropped = 0

    def _enqueue(self, line: dict[str, Any]) -> bool:
        """Queue a line and return whether there was room for it."""
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending.append(data)
        self._pending_bytes += len(data)
        self.flush()
        return True

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._pending:
            data = self._pending[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; discard the line and run on without logs.
                count = len(data)
            self._pending_bytes -= count
            if count < len(data):
                self._pending[0] = data[count:]
                return
            self._pending.popleft()
