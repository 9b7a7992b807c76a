"""What a worker's answers tell of its runs: their progress and what filling ones add to load."""

from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.interference import Interference, Observation

# A run at a lower share of full speed says nothing of the run times of its kind.
FULL_SPEED = 0.99


def find_stalled(member: Member, now: float) -> list[Run]:
    """Update the time that a worker's runs were idle; return those that make no progress."""
    for run in member.runs.values():
        speed = member.speed(run)
        run.is_atypical |= speed < FULL_SPEED
        run.note_idle(speed, now)
    return [run for run in member.runs.values() if run.is_stalled]


def learn_interference(known: Interference, member: Member) -> None:
    """Update the interference model from a worker's reports, using each report once."""
    serving: dict[str, list[Run]] = {}
    for run in member.runs.values():
        if run.step.target_ms and run.gauge and run.state is RunState.RUNNING:
            serving.setdefault(run.step.image, []).append(run)
    tails = tuple(run.gauge for runs in serving.values() for run in runs)
    if tails == member.tails:
        return
    member.tails = tails
    shares = member.used_shares()
    for image, runs in serving.items():
        tail_ms = len(runs) / sum(1 / run.gauge for run in runs)
        tasks = tuple(run.number for run in runs)
        target_ms = runs[0].step.target_ms
        known.observe(Observation(image, tail_ms, target_ms, shares, member.name, tasks))
