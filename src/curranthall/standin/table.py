"""State of the platform stand-in: table with transactions, objects, host list and faults."""

from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from curranthall.errors import AnswerLost, Conflict, PlatformDown
from curranthall.model import Change, Commit, Host, HostState, Scan
from curranthall.ratelimit import TokenBucket

WRITES_PER_S = 300
READS_PER_S = 2_000
LIST_LAG_S = 2.0

Clock = Callable[[], float]


class TableCore:
    """Rows with versions; every commit raises the revision by one."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.rows: OrderedDict[str, Change] = OrderedDict()
        self.revision = 0
        self.commits: list[tuple[float, int, Commit]] = []
        self.objects: dict[str, bytes] = {}
        self._hosts: dict[str, Host] = {}
        self._pending_hosts: list[tuple[float, Host]] = []
        self.outage = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.unlimited_writes = False
        self._write_bucket = TokenBucket(WRITES_PER_S, clock)
        self._read_bucket = TokenBucket(READS_PER_S, clock)
        self.counts = {"reads": 0, "writes": 0}

    def commit(self, commit: Commit) -> Result[int, Conflict]:
        """Apply a transaction; raise AnswerLost after its effect while that fault is set."""
        self._check_outage()
        if not self.unlimited_writes:
            _take(self._write_bucket, WRITES_PER_S)
        self.counts["writes"] += 1
        stale = [key for key, version in commit.checks.items() if self._version(key) != version]
        if stale:
            return Err(Conflict(keys=stale))
        self.revision += 1
        for key, value in commit.writes.items():
            self.rows[key] = Change(key, self.revision, commit.txn, value)
            self.rows.move_to_end(key)
        self.commits.append((self._clock(), self.revision, commit))
        self._lose_answer()
        return Ok(self.revision)

    def scan(self, since: int, prefixes: list[str]) -> Scan:
        """List the rows that changed after a revision, oldest change first."""
        self._check_outage()
        _take(self._read_bucket, READS_PER_S)
        self.counts["reads"] += 1
        found = []
        wanted = tuple(prefixes)
        for change in reversed(self.rows.values()):
            if change.version <= since:
                break
            if change.key.startswith(wanted):
                found.append(change)
        return Scan(self.revision, found[::-1])

    def hosts(self) -> list[Host]:
        """Return the host list as it was LIST_LAG_S ago."""
        self._check_outage()
        _take(self._read_bucket, READS_PER_S)
        horizon = self._clock() - LIST_LAG_S
        while self._pending_hosts and self._pending_hosts[0][0] <= horizon:
            host = self._pending_hosts.pop(0)[1]
            self._hosts[host.name] = host
        return list(self._hosts.values())

    def register(self, host: Host, lag: bool = True) -> None:
        """Add or update a host; it shows in the list at once or after LIST_LAG_S."""
        self._pending_hosts.append((self._clock() if lag else float("-inf"), host))

    def mark(self, name: str, state: HostState) -> None:
        """Change a listed host's state."""
        known = [host for _, host in self._pending_hosts if host.name == name]
        host = known[-1] if known else self._hosts[name]
        self.register(host._replace(state=state))

    def _version(self, key: str) -> int:
        change = self.rows.get(key)
        return 0 if change is None or change.value is None else change.version

    def _check_outage(self) -> None:
        if self.outage:
            raise PlatformDown(why="outage")

    def _lose_answer(self) -> None:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise AnswerLost(what="commit")


def _take(bucket: TokenBucket, limit_per_s: int) -> None:
    """Take one token; raise PlatformDown if none is left."""
    if not bucket.take():
        raise PlatformDown(why="rate", limit=limit_per_s)
