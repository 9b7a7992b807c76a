"""Jobs as graphs of steps, and the progress of each job."""

from curranthall.dag.model import Job, Queue, Step, TaskId
from curranthall.dag.progress import Phase, Progress

__all__ = ["Job", "Phase", "Progress", "Queue", "Step", "TaskId"]
