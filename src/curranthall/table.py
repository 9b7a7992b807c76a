"""Client of the platform's table, object store and host list."""

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
    """Interface of the platform; each call may raise PlatformDown or AnswerLost."""

    @property
    def traffic(self) -> int:
        """Count the bytes sent and received."""

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        """Apply a transaction and return its revision or the conflict."""

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        """List the rows under the prefixes that changed after a revision."""

    async def hosts(self) -> list[Host]:
        """Return the list of workers, which lags behind."""

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, None if it does not exist."""


async def commit_and_resolve(platform: Platform, commit: Commit) -> Result[int, Conflict]:
    """Commit; after a lost answer determine the result by the transaction id in the rows."""
    try:
        return await platform.commit(commit)
    except AnswerLost:
        return await _resolve_commit(platform, commit)


async def _resolve_commit(platform: Platform, commit: Commit) -> Result[int, Conflict]:
    # Commits again: if the first commit took effect, the checks fail now and the rows
    # carry its id; if it did not, this commit takes its place.
    retried = await platform.commit(commit)
    if retried.is_ok():
        return retried
    scan = await platform.scan(0, list(commit.writes))
    # A row that was written again since has another transaction's version.
    versions = [change.version for change in scan.changes if change.txn == commit.txn]
    return Ok(versions[0]) if versions else retried


class HttpPlatform:
    """Platform client over HTTP."""

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, CONNECTIONS)

    async def commit(self, commit: Commit) -> Result[int, Conflict]:
        """Apply a transaction."""
        response = await self._call("POST", "/table/commit", commit._asdict())
        if response.status == 409:
            return Err(Conflict(keys=response.json()["keys"]))
        return Ok(response.json()["revision"])

    async def scan(self, since: int, prefixes: list[str]) -> Scan:
        """List the rows that changed after a revision."""
        response = await self._call("POST", "/table/scan", {"since": since, "prefixes": prefixes})
        value = response.json()
        return Scan(value["revision"], [Change(*change) for change in value["changes"]])

    async def hosts(self) -> list[Host]:
        """Return the host list."""
        response = await self._call("GET", "/hosts", None)
        return [host_from_json(value) for value in response.json()]

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        text = base64.b64encode(data).decode()
        await self._call("PUT", "/objects/" + quote(key, safe=""), {"data": text})

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        response = await self._call("GET", "/objects/" + quote(key, safe=""), None)
        return base64.b64decode(response.json()["data"]) if response.status == 200 else None

    @property
    def traffic(self) -> int:
        """Count the bytes sent and received."""
        return self._http.total_bytes

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
    """Decode a host of the host list."""
    size, state = Size(*value["size"]), HostState(value["state"])
    return Host(**{**value, "size": size, "state": state})


def host_to_json(host: Host) -> dict[str, Any]:
    """Encode a host for the host list."""
    return {**host._asdict(), "state": host.state.value}
