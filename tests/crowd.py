"""Crowds of clients that stop short of the end of their requests, and the process they meet."""

import asyncio
import json
import os
import socket
import sys
from asyncio.subprocess import Process
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from curranthall.http import HttpClient, Response

BODY_BYTES = 262_144
# Clients stop this many bytes before the end of a body.
LEFT_OUT_BYTES = 10
PIECE_BYTES = 20_000
PIECE_PAUSE_S = 0.02
LARGE_CHUNK_BYTES = 60_000
SMALL_CHUNKS = 100_000
# Every tenth client sends its whole request.
COMPLETE_EVERY = 10
# Ends a hung test only; nothing checks how long a request takes.
HUNG_S = 60.0
SAMPLE_S = 0.02
HEAD = b"POST /cuts/%%016x HTTP/1.1\r\nHost: %%s\r\n%s\r\n\r\n"
CHUNKED = HEAD % b"Transfer-Encoding: chunked"
# The opening handshake of a WebSocket, then the start of a masked frame (mask 0) of some bytes.
UPGRADE = (
    b"GET /%x HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
FRAME = b"\x82\xff%s\0\0\0\0"
# A job of one step without tasks to run; the padding is in a field that is ignored.
JOB = b'{"spec":"s","steps":[{"count":1,"cpu":1000,"mem-mb":1,"estimated-ms":100}],"pad":"%s"}'


class Crowd(NamedTuple):
    """Clients at one port: how many, what each sends, and its pieces."""

    clients: int
    # Of the format: a number of the client, the host.
    head: bytes
    body: bytes
    # Bytes of the body that a client which stops short sends.
    sent: int
    piece: int


def make_job(size: int) -> bytes:
    """Return the body of a submission, of exactly `size` bytes."""
    return JOB % (b"x" * (size - len(JOB) + 2))


def make_chunked(body: bytes, size: int) -> bytes:
    """Encode a body in chunks of `size` bytes, with the last chunk."""
    chunks = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"


def whole_bodies(clients: int, size: int = BODY_BYTES) -> Crowd:
    """Clients that send a large body at once."""
    body = make_job(size)
    head = HEAD % (b"Content-Length: %d" % size)
    return Crowd(clients, head, body, size - LEFT_OUT_BYTES, size)


def pieced_bodies(clients: int) -> Crowd:
    """Clients that send a large body piece by piece."""
    return whole_bodies(clients)._replace(piece=PIECE_BYTES)


def large_chunks(clients: int) -> Crowd:
    """Clients that send a large body in large chunks."""
    body = make_chunked(make_job(BODY_BYTES), LARGE_CHUNK_BYTES)
    return Crowd(clients, CHUNKED, body, len(body) - LEFT_OUT_BYTES, len(body))


def small_chunks(clients: int) -> Crowd:
    """Clients that send a body in chunks of one byte."""
    body = make_chunked(make_job(SMALL_CHUNKS), 1)
    return Crowd(clients, CHUNKED, body, len(body) - LEFT_OUT_BYTES, len(body))


def unproven_frames(clients: int, size: int) -> Crowd:
    """Clients that send a large frame to the mesh before they have proved the key."""
    body = FRAME % size.to_bytes(8, "big") + bytes(size)
    return Crowd(clients, UPGRADE, body, len(body) - LEFT_OUT_BYTES, len(body))


class Clients:
    """The open connections of a crowd."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    async def send(self, crowd: Crowd, address: str, limit_s: float = HUNG_S / 4) -> None:
        """Connect all clients and send, until all are done or at most `limit_s` seconds."""
        sending = [
            asyncio.create_task(self._send(crowd, address, number))
            for number in range(crowd.clients)
        ]
        _, blocked = await asyncio.wait(sending, timeout=limit_s)
        for task in blocked:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    async def _send(self, crowd: Crowd, address: str, number: int) -> None:
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        loop = asyncio.get_running_loop()
        complete = number % COMPLETE_EVERY == 0
        view = memoryview(crowd.body)[: len(crowd.body) if complete else crowd.sent]
        with suppress(OSError):
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, crowd.head % (number, host.encode()))
            for at in range(0, len(view), crowd.piece):
                await loop.sock_sendall(sock, view[at : at + crowd.piece])
                if crowd.piece < len(view):
                    await asyncio.sleep(PIECE_PAUSE_S)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()


class Usage(NamedTuple):
    """The most that a process has used."""

    memory_mb: float
    descriptors: int


class Server:
    """A process of the product, watched from outside."""

    def __init__(self, args: Sequence[str], folder: Path, **env: str) -> None:
        self._args = args
        self._log = folder / "server.log"
        self._env = {**os.environ, **env}
        self._process: Process | None = None
        self._watching: asyncio.Task[None] | None = None
        self._descriptors = 0

    async def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *self._args, stdout=out, stderr=out, env=self._env
            )
        self._watching = asyncio.create_task(self._watch())

    @property
    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text()

    def usage(self) -> Usage:
        """Return the peak of the resident memory and of the descriptors seen open."""
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        peak_kb = next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]
        return Usage(int(peak_kb) / 1024, self._descriptors)

    async def stop(self) -> None:
        """Kill the process."""
        if self._watching is not None:
            self._watching.cancel()
        if self._process is not None:
            if self.is_alive:
                self._process.kill()
            await self._process.wait()

    async def _watch(self) -> None:
        assert self._process is not None
        folder = f"/proc/{self._process.pid}/fd"
        while self.is_alive:
            with suppress(OSError):
                self._descriptors = max(self._descriptors, len(os.listdir(folder)))
            await asyncio.sleep(SAMPLE_S)


async def call(address: str, method: str, path: str, body: bytes = b"") -> Response:
    """Send one ordinary request over a new connection."""
    client = HttpClient(address, 1)
    try:
        return await client.call(method, path, body, HUNG_S)
    finally:
        client.close()


def write_json(path: Path, value: object) -> str:
    """Write a settings file and return its name."""
    path.write_text(json.dumps(value))
    return str(path)
