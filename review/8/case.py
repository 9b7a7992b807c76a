"""A worker is lost and its zone evacuated: gangs are split over two cells and never run again."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from standins_2 import Site, now, play  # noqa: E402

JOBS = 30
CRASH_AFTER_S = 2.5
EVACUATED_AFTER_S = 1.0
EVACUATED_FOR_S = 8.0
FINISH_S = 14.0
STILL_S = 3.0


def plain(estimate_ms: int) -> dict[str, object]:
    """Return a step of plain tasks, one on each worker of the deployment."""
    return {
        "count": 12,
        "cpu": 250,
        "mem-mb": 1000,
        "estimated-ms": estimate_ms,
        "max-per-server": 1,
    }


# A gang with a task on each worker of a zone, and plain tasks that work beside it, also elsewhere.
GANG = {
    "count": 4,
    "cpu": 250,
    "mem-mb": 1000,
    "estimated-ms": 8_000,
    "gang": True,
    "max-per-server": 1,
}
JOB = {"spec": "one report", "steps": [GANG, plain(4_500), plain(6_000)]}


def running(site: Site, job: str) -> int:
    """Return how many tasks of a job run at the workers."""
    return sum(run.task.startswith(job) for w in site.workers if w.up for run in w.running.values())


def used_share(site: Site) -> float:
    """Return the share of the cores of the workers that are up in use."""
    up = [worker for worker in site.workers if worker.up]
    used = sum(run.step["cpu"] for worker in up for run in worker.running.values())
    return used / sum(worker.cpu for worker in up)


async def case(folder: Path, trouble: bool) -> bool:
    """Play the case; return whether LOST was broken."""
    site = Site(folder, workers=4, entries=2)
    try:
        await site.start()
        jobs = [await site.submit(JOB, "reports", site.entries[0]) for _ in range(JOBS)]
        await asyncio.sleep(CRASH_AFTER_S)
        lost = next(worker for worker in site.workers if worker.zone == "z-a")
        gangs = sum(run.step.get("gang", False) for run in lost.running.values())
        site.record("gangs-on-the-worker", number=gangs)
        if trouble:
            await lost.crash()
            await asyncio.sleep(EVACUATED_AFTER_S)
            site.store.write("op", "", "evacuate/z-a", b'{"zone":"z-a"}')
            site.record("evacuate", zone="z-a")
            await asyncio.sleep(EVACUATED_FOR_S)
            site.store.write("op", "", "evacuate/z-a", None)
            site.record("taken-back", zone="z-a")
        await asyncio.sleep(FINISH_S)
        still, busiest, until = set(jobs), 0.0, now() + STILL_S
        while now() < until:
            still = {job for job in still if not running(site, job)}
            busiest = max(busiest, used_share(site))
            await asyncio.sleep(0.05)
        shown = {job: await site.phase(job) for job in jobs}
        stuck = [job for job in jobs if job in still and shown[job] != "completed"]
        for job in stuck:
            last = max(end["at"] for end in site.ends if end["task"].startswith(f"{job}.0.0."))
            site.record("lost", job=job, phase=shown[job], gang_idle_s=round(now() - last, 1))
        site.record("end", lost=len(stuck), of=JOBS, busiest_share=round(busiest, 3))
        print(
            f"{len(stuck)} of {JOBS} accepted jobs have nothing running; "
            f"at most {busiest:.0%} of the cores are in use; {gangs} gangs ran on the lost worker"
        )
        return bool(stuck) and busiest < 0.5
    finally:
        await site.stop()


play(str(HERE), case)
