"""Client of an entry's operators port, used by the command line."""

import json
from typing import Any

from curranthall.errors import CurranthallError
from curranthall.http import HttpClient

TIMEOUT_S = 15.0


class CallFailed(CurranthallError):
    """The entry refused a command."""

    code = "call-failed"


class OperatorClient:
    """Call one entry as an operator."""

    def __init__(self, address: str, token: str) -> None:
        self._http = HttpClient(address, 4)
        self._headers = (("Authorization", f"Bearer {token}"),)

    async def get(self, path: str) -> Any:
        """Send a GET request and return the decoded body."""
        return await self._call("GET", path, b"")

    async def post(self, path: str, value: object) -> Any:
        """Send a POST request and return the decoded body."""
        return await self._call("POST", path, json.dumps(value).encode())

    async def set_domain_state(self, domain: str, state: str) -> Any:
        """Set a failure domain to `in` or `out`; raise CallFailed if it does not exist."""
        rows = (await self.get("/v1/table"))["rows"]["domain"]
        domains = [row["name"] for row in rows]
        if domain not in domains:
            raise CallFailed(error="unknown-name", domain=domain, known=",".join(domains))
        return await self.edit("domain", domain, {"state": state})

    async def edit(self, kind: str, name: str, columns: dict[str, Any]) -> Any:
        """Change a row at the version in force at this entry, or add it."""
        table = await self.get("/v1/table")
        versions = [row["version"] for row in table["rows"].get(kind, []) if row["name"] == name]
        value = {"base": versions[0] if versions else 0, "set": columns}
        return await self.post(f"/v1/table/{kind}/{name}", value)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def _call(self, method: str, path: str, body: bytes) -> Any:
        response = await self._http.call(method, path, body, TIMEOUT_S, self._headers)
        if response.status >= 400:
            raise CallFailed(status=response.status, **response.json())
        return response.json()
