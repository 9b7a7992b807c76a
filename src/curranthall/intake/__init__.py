"""What an entry does for callers: it accepts jobs, shows their phase, and cancels them."""

from curranthall.intake.intake import Intake, JobStatus, Verdict

__all__ = ["Intake", "JobStatus", "Verdict"]
