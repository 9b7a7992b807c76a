"""A loopback proxy between two programs that delays, resets, cuts and silences connections."""

import asyncio
from contextlib import suppress
from enum import Enum

from tests.platform_fakes import LOOPBACK

CHUNK_BYTES = 65_536
DELAY_S = 0.4


class Mode(Enum):
    """What becomes of bytes."""

    PASS = "pass"
    DELAY = "delay"
    # New connections are reset at once, as are the open ones.
    REFUSE = "refuse"
    # Nothing gets through, and nobody is told.
    SILENT = "silent"
    # Requests get through, answers do not.
    DEAF = "deaf"


class Proxy:
    """Passes bytes on to one address."""

    def __init__(self) -> None:
        self.mode = Mode.PASS
        self._server: asyncio.Server | None = None
        self._target = ("", 0)
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target: str) -> str:
        """Listen; give the address."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Change what becomes of bytes; connections that lost some never heal."""
        healed = self.mode in (Mode.SILENT, Mode.DEAF) and mode is Mode.PASS
        self.mode = mode
        if mode is Mode.REFUSE or healed:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, back_writer}
        for task in (
            asyncio.create_task(self._pump(reader, back_writer, answers=False)),
            asyncio.create_task(self._pump(back_reader, writer, answers=True)),
        ):
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.mode is Mode.SILENT or (self.mode is Mode.DEAF and answers):
                    continue
                writer.write(data)
                await writer.drain()
        self._open.discard(writer)
        writer.close()
