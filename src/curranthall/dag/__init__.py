"""Jobs as graphs of steps: what callers ask for, and how far it is done."""

from curranthall.dag.model import Job, Step, TaskId
from curranthall.dag.progress import Phase, Progress

__all__ = ["Job", "Phase", "Progress", "Step", "TaskId"]
