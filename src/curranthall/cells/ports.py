"""Orders that a cell sends to workers, and their answers."""

from enum import Enum
from typing import NamedTuple, Protocol

from curranthall.dag import TaskId


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class ListedRun(NamedTuple):
    """A running task; `gauge` is a serving task's tail latency in ms, else millicores used."""

    task: TaskId
    run: int
    checkpoint: str
    percent: float
    gauge: float


class Ending(NamedTuple):
    """The end of a run; `number` counts from the worker's boot."""

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


# The most ends that a worker lists in one answer.
MAX_LISTED_ENDS = 500


class Snapshot(NamedTuple):
    """A worker's answer to a hold; `clock_ms` is its monotonic clock, `born` its boot id.

    `partial` means that the worker listed more than could be read.
    """

    clock_ms: int
    born: int
    running: list[ListedRun]
    ended: list[Ending]
    partial: bool = False

    @property
    def complete(self) -> bool:
        """Return whether all runs and ends are listed, not only the first MAX_LISTED_ENDS."""
        return not self.partial and len(self.ended) < MAX_LISTED_ENDS


class StartResult(Enum):
    """A worker's answer to a start."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"


class StartTask(NamedTuple):
    """An order to start a run; `deadline_ms` is on the worker's clock."""

    worker: str
    task: TaskId
    run: int
    spec: str
    checkpoint: str
    deadline_ms: int
    ticket: str = ""


class StopTask(NamedTuple):
    """An order to stop a run."""

    worker: str
    task: TaskId
    run: int


class PaceTask(NamedTuple):
    """An order to throttle a run to `percent` of its full speed."""

    worker: str
    task: TaskId
    run: int
    percent: int


WorkerOrder = StartTask | StopTask | PaceTask


class StartAnswer(NamedTuple):
    """A worker's answer to a start, with its monotonic clock if that can be read."""

    result: StartResult
    clock_ms: int | None = None


class AskAdvice(NamedTuple):
    """A request to the advisor: which of `workers` may run a step."""

    job: str
    occurrence: int
    step: int
    workers: tuple[str, ...]


Order = WorkerOrder | AskAdvice


class WorkerPort(Protocol):
    """Calls to one worker; they raise ConnectFailed (no effect), AnswerLost, Fenced, OtherBoot."""

    async def hold(self, token: int, cursor: int, lease_ms: int | None, wait_ms: int) -> Snapshot:
        """Extend the lease, acknowledge ends up to `cursor`, and return the runs and ends."""

    async def start(self, token: int, order: StartTask) -> StartAnswer:
        """Start a run."""

    async def stop(self, token: int, order: StopTask) -> None:
        """Stop a run."""

    async def pace(self, token: int, order: PaceTask) -> None:
        """Throttle a run."""

    def close(self) -> None:
        """Close the connections."""
