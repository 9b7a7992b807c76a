"""Customers of a configuration, found by name or by API key; only digests of keys are kept."""

from collections.abc import Iterable, Iterator
from enum import Enum
from hashlib import sha256
from typing import NamedTuple

from curranthall.model import Size


class Customer(NamedTuple):
    """A customer's weight, and the limit of its running work; 0 in a field means no limit."""

    name: str
    weight: float
    limit: Size

    def can_ever_run(self, size: Size) -> bool:
        """Return whether a task of this size fits in the whole limit."""
        return all(not most or need <= most for need, most in zip(size, self.limit, strict=True))


class Denial(Enum):
    """Why a call that needs a key is not served."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    # The configuration was not read recently enough to tell which keys were removed.
    STALE = "stale"


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return sha256(key).digest()


class Customers:
    """Index of the customers of one configuration; of two with a name or key, the first counts."""

    def __init__(self, listed: Iterable[tuple[Customer, Iterable[bytes]]] = ()) -> None:
        """Index customers with the digests of their keys."""
        self._by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        # Names of customers that share their name or a key with another one.
        self.ambiguous: set[str] = set()
        for customer, digests in listed:
            if self._by_name.setdefault(customer.name, customer) is not customer:
                self.ambiguous.add(customer.name)
            for digest in digests:
                owner = self._by_digest.setdefault(digest, self._by_name[customer.name])
                if owner.name != customer.name:
                    self.ambiguous |= {owner.name, customer.name}

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Customer]:
        return iter(self._by_name.values())

    @property
    def key_count(self) -> int:
        """Return the number of keys."""
        return len(self._by_digest)

    def find(self, name: str) -> Customer | None:
        """Return the customer of this name."""
        return self._by_name.get(name)

    def find_by_key(self, key: bytes) -> Customer | None:
        """Return the customer with this key, in a time that does not depend on the key."""
        return self._by_digest.get(digest_key(key))

    def identify(self, key: bytes, is_public: bool, is_stale: bool) -> Customer | None | Denial:
        """Return who calls a route, None for a caller without a key; or why it is denied."""
        if not self:
            return None
        found = self.find_by_key(key) if key else None
        if is_public:
            return found
        if is_stale:
            return Denial.STALE
        return found or (Denial.UNKNOWN if key else Denial.MISSING)


NO_CUSTOMERS = Customers()
