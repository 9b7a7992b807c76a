"""A TCP proxy on loopback that delays, resets or blackholes connections, for fault injection."""

import asyncio
from contextlib import suppress
from enum import Enum

from tests.platform_fakes import LOOPBACK

CHUNK_BYTES = 65_536
DELAY_S = 0.4
POLL_S = 0.02


class Mode(Enum):
    """How the proxy treats connections and data."""

    PASS = "pass"
    DELAY = "delay"
    # New and open connections are reset at once.
    REFUSE = "refuse"
    # All data is dropped; connections stay open.
    DROP_ALL = "silent"
    # Data to the target is forwarded, data from it is dropped.
    DROP_ANSWERS = "deaf"
    # Data to the target is kept and forwarded late, though its sender may have given up.
    HOLD = "hold"


class Proxy:
    """Forwards connections to one address."""

    def __init__(self) -> None:
        self.mode = Mode.PASS
        self._server: asyncio.Server | None = None
        self._target = ("", 0)
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target: str) -> str:
        """Listen and return the address."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; connections that have lost data are reset when it returns to PASS."""
        lost_data = self.mode in (Mode.DROP_ALL, Mode.DROP_ANSWERS) and mode is Mode.PASS
        self.mode = mode
        if mode is Mode.REFUSE or lost_data:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open_writers |= {writer, target_writer}
        for task in (
            asyncio.create_task(self._forward(reader, target_writer, is_answer=False)),
            asyncio.create_task(self._forward(target_reader, writer, is_answer=True)),
        ):
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.mode is Mode.HOLD and not is_answer:
                    await asyncio.sleep(POLL_S)
                if self.mode is Mode.DROP_ALL or (self.mode is Mode.DROP_ANSWERS and is_answer):
                    continue
                writer.write(data)
                await writer.drain()
        self._open_writers.discard(writer)
        writer.close()
