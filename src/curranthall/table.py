"""The platform's table, object store and host list, seen from an entry."""

import base64
from typing import Any, Protocol
from urllib.parse import quote

from result import Err, Ok, Result

from curranthall.errors import AnswerLost, Conflict, ConnectFailed, PlatformDown
from curranthall.http import HttpClient, Response
from curranthall.model import Change, Commit, Host, HostState, Scan, Size

CONNECTIONS = 4
CALL_TIMEOUT_S = 1.5


class Platform(Protocol):
    """What an entry asks of the platform; each call raises PlatformDown or AnswerLost."""

    @property
    def traffic(self) -> int:
        """Count the bytes sent and received."""

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        """Apply a transaction; give its revision, or the conflict."""

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        """List the rows under the prefixes that changed after a revision."""

    async def hosts(self) -> list[Host]:
        """Give the lagging list of workers."""

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Fetch an object."""


async def commit_and_resolve(platform: Platform, commit: Commit) -> Result[int, Conflict]:
    """Commit; after a lost answer read back, by transaction id, what became of it."""
    try:
        return await platform.commit(commit)
    except AnswerLost:
        return await _read_back(platform, commit)


async def _read_back(platform: Platform, commit: Commit) -> Result[int, Conflict]:
    # The same transaction again: if the first took effect its checks fail now, and
    # the rows carry its id; if it did not, this one is the first.
    again = await platform.commit(commit)
    if again.is_ok():
        return again
    scan = await platform.scan(0, list(commit.writes))
    # A row that was written again since tells another transaction's version.
    ours = [change.version for change in scan.changes if change.txn == commit.txn]
    return Ok(ours[0]) if ours else again


class HttpPlatform:
    """The platform over HTTP."""

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, CONNECTIONS)

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        """Apply a transaction."""
        response = await self._call("POST", "/table/commit", commit._asdict())
        if response.status == 409:
            return Err(Conflict(keys=response.json()["keys"]))
        return Ok(response.json()["revision"])

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        """List changed rows."""
        response = await self._call("POST", "/table/scan", {"since": since, "prefixes": prefixes})
        value = response.json()
        return Scan(value["revision"], [Change(*change) for change in value["changes"]])

    async def hosts(self) -> list[Host]:
        """Give the host list."""
        response = await self._call("GET", "/hosts", None)
        return [host_from_json(value) for value in response.json()]

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        text = base64.b64encode(data).decode()
        await self._call("PUT", "/objects/" + quote(key, safe=""), {"data": text})

    async def get_object(self, key: str) -> bytes | None:
        """Fetch an object."""
        response = await self._call("GET", "/objects/" + quote(key, safe=""), None)
        return base64.b64decode(response.json()["data"]) if response.status == 200 else None

    @property
    def traffic(self) -> int:
        """Count the bytes sent and received."""
        return self._http.bytes

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _call(self, method: str, path: str, value: object) -> Response:
        try:
            response = await self._http.json(method, path, value, CALL_TIMEOUT_S)
        except ConnectFailed as exc:
            raise PlatformDown(why=exc) from exc
        if response.status in (429, 503):
            raise PlatformDown(status=response.status)
        return response


def host_from_json(value: dict[str, Any]) -> Host:
    """Read a host of the list."""
    size, state = Size(*value["size"]), HostState(value["state"])
    return Host(**{**value, "size": size, "state": state})


def host_to_json(host: Host) -> dict[str, Any]:
    """Write a host for the list."""
    return {**host._asdict(), "state": host.state.value}
