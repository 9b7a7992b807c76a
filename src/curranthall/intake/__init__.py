"""Job submission, status and cancellation for callers."""

from curranthall.intake.intake import Intake, JobStatus, Verdict

__all__ = ["Intake", "JobStatus", "Verdict"]
