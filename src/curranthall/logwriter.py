"""Log lines to a descriptor that may be full: bounded by event and second, never blocking."""

import os
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any

import orjson

# Lines of one event in one second; the rest is counted and told in one line.
MAX_LINES_PER_EVENT = 60
# Bytes kept for a reader that is slow; what comes beyond is dropped and counted.
MAX_PENDING_BYTES = 262_144


class LogWriter:
    """Writes one JSON object a line."""

    def __init__(self, descriptor: int, wall: Callable[[], float] = time.time) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._wall = wall
        self._pending: deque[bytes] = deque()
        self._size = 0
        self._second = 0
        self._written: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.dropped = 0

    def write(self, event: Enum, fields: dict[str, object]) -> None:
        """Write an event, unless this second has had enough of it."""
        now = self._wall()
        if int(now) != self._second:
            self._begin_second(now)
        written = self._written.get(event.name, 0)
        if written >= MAX_LINES_PER_EVENT:
            self.left_out[event.name] = self.left_out.get(event.name, 0) + 1
            return
        self._written[event.name] = written + 1
        line = {"t": round(now, 3), "event": event.value, "name": event.name, **fields}
        self.dropped += not self._put(line)

    def _begin_second(self, now: float) -> None:
        self._second, self._written = int(now), {}
        stamp = {"t": round(now, 3)}
        if self.left_out:
            line = {**stamp, "event": 1, "name": "LEFT_OUT", "counts": self.left_out}
            if self._put(line):
                self.left_out = {}
        if self.dropped:
            line = {**stamp, "event": 2, "name": "DROPPED", "lines": self.dropped}
            if self._put(line):
                self.dropped = 0

    def _put(self, line: dict[str, Any]) -> bool:
        """Queue a line; tell whether there was room for it."""
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if self._size + len(data) > MAX_PENDING_BYTES:
            return False
        self._pending.append(data)
        self._size += len(data)
        self.flush()
        return True

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._pending:
            data = self._pending[0]
            try:
                count = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read any more; the process goes on without logs.
                count = len(data)
            self._size -= count
            if count < len(data):
                self._pending[0] = data[count:]
                return
            self._pending.popleft()
