"""Rate limit on calls."""

from collections.abc import Callable


class TokenBucket:
    """Token bucket that holds the tokens of one second."""

    def __init__(self, per_s: int, clock: Callable[[], float]) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = float(per_s)
        self._updated_at = clock()

    def take(self) -> bool:
        """Take one token; return False if none is left."""
        now = self._clock()
        self._tokens = min(self._per_s, self._tokens + (now - self._updated_at) * self._per_s)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
