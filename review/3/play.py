"""Scheduled jobs with many repeats come at once; the entries exceed their memory, one by one."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import HOST, main, now  # noqa: E402

JOBS = 45
# Every minute for ten weeks; the same jobs with few repeats are the comparison.
REPEATS, FEW_REPEATS = 100_000, 5
MEMORY_MB = 300
LENGTH_S = 50
# No more jobs are handed in after this time, should the entries be too slow to answer.
HAND_IN_S = 30


def memory_mb(pid: int) -> int:
    """Return the resident memory of a process, 0 if it is over."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) // 1024 for line in lines if line.startswith("VmRSS")), 0)


async def limit_memory(site, ends, peaks) -> None:
    """Kill a process that exceeds its memory and start it again, as the platform does."""
    while True:
        await asyncio.sleep(0.25)
        for entry in site.entries:
            used = memory_mb(entry.process.pid) if entry.process.returncode is None else 0
            peaks[entry.name] = max(used, peaks.get(entry.name, 0))
            if used > MEMORY_MB:
                ends[entry.name] = ends.get(entry.name, 0) + 1
                site.record.note(f"platform: {entry.name} has {used} of {MEMORY_MB} MB, killed")
                await entry.kill()
                await asyncio.sleep(0.5)
                await entry.start()


async def play(site, trouble):
    """Return whether the processes went on."""
    await site.open(workers=8, entries=1)
    site.configure(
        [
            {
                "name": "reports",
                "hostname": HOST,
                "path-prefix": "/reports/",
                "backend": "desk",
                "priority": 2,
                "max-attempts": 4,
                "stretch-factor": 2.0,
                "slo-ms": 1000,
            }
        ]
    )
    if not await site.wait_ready():
        return None
    await asyncio.sleep(3)
    ends, peaks = {}, {}
    watch = asyncio.create_task(limit_memory(site, ends, peaks))
    begin_ms = int(time.time() * 1000) + 15_000
    step = {"count": 1, "cpu": 1000, "mem-mb": 256, "estimated-ms": 500}
    accepted, until = 0, now() + HAND_IN_S
    for number in range(JOBS):
        if now() > until:
            break
        job = {
            "spec": "report",
            "steps": [step],
            "repeat-count": REPEATS if trouble else FEW_REPEATS,
            "start-at-ms": begin_ms + number * 100,
            "interval-ms": 60_000,
        }
        entry = site.entries[number % len(site.entries)]
        accepted += await site.submit(entry, "/reports/", f"{number:016x}", job, tries=1)
    await asyncio.sleep(LENGTH_S)
    watch.cancel()
    site.record.note(f"{accepted} jobs accepted, ends of processes {ends}, most memory {peaks}")
    if sum(count >= 3 for count in ends.values()) >= 2:
        site.record.note("Fault: processes end by themselves three times on two machines or more")
        return False
    return None if ends or accepted < JOBS else True


main(play)
