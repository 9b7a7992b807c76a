"""Authentication of operators and customers by bearer tokens, compared in constant time."""

import hmac

from curranthall.errors import Unauthorized
from curranthall.events import Event, log
from curranthall.http import Request

SCHEME = "Bearer "


class Access:
    """Checks the tokens of requests."""

    def __init__(self, operators: dict[str, str], customers: dict[str, str]) -> None:
        self._operators = operators
        self._customers = customers

    def authenticate_operator(self, req: Request) -> str:
        """Return the name of the operator; raise Unauthorized."""
        given = _token(req)
        found = ""
        # All tokens are compared, so that the duration does not reveal which one matched.
        for name, token in self._operators.items():
            if hmac.compare_digest(token.encode(), given):
                found = name
        if not found:
            log(Event.ACCESS_DENIED, path=req.path, port="operators")
            raise Unauthorized(why="operator token missing or wrong")
        return found

    def check_customer(self, name: str, req: Request) -> None:
        """Raise Unauthorized if the customer has a token and the request lacks it."""
        token = self._customers.get(name)
        if token is None:
            return
        if not hmac.compare_digest(token.encode(), _token(req)):
            log(Event.ACCESS_DENIED, path=req.path, port="caller", customer=name)
            raise Unauthorized(why="customer token missing or wrong", customer=name)


def _token(req: Request) -> bytes:
    return req.headers.get("authorization", "").removeprefix(SCHEME).encode()
