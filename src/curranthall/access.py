"""Tokens of operators and customers, compared in constant time."""

import hmac

from curranthall.errors import Unauthorized
from curranthall.events import Event, log
from curranthall.http import Request

SCHEME = "Bearer "


class Access:
    """Know whose token a request carries."""

    def __init__(self, operators: dict[str, str], customers: dict[str, str]) -> None:
        self._operators = operators
        self._customers = customers

    def operator(self, req: Request) -> str:
        """Name the operator; raise Unauthorized."""
        given = _token(req)
        found = ""
        # Every token is compared, so that the time taken tells nothing.
        for name, token in self._operators.items():
            if hmac.compare_digest(token.encode(), given):
                found = name
        if not found:
            log(Event.ACCESS_DENIED, path=req.path, port="operators")
            raise Unauthorized(why="operator token missing or wrong")
        return found

    def check_customer(self, name: str, req: Request) -> None:
        """Make sure that a customer with a token is not spoofed."""
        token = self._customers.get(name)
        if token is None:
            return
        if not hmac.compare_digest(token.encode(), _token(req)):
            log(Event.ACCESS_DENIED, path=req.path, port="caller", customer=name)
            raise Unauthorized(why="customer token missing or wrong", customer=name)


def _token(req: Request) -> bytes:
    return req.headers.get("authorization", "").removeprefix(SCHEME).encode()
