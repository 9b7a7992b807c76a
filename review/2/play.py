"""A queue's last route is removed and the entries are restarted in turn while a job runs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import HOST, ZONES, main  # noqa: E402

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
ATTEMPTS = 4
# The pause between two restarts.
GAP_S = 2.0


def route(name, prefix):
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path-prefix": prefix,
        "backend": "desk",
        "priority": 2,
        "max-attempts": ATTEMPTS,
        "stretch-factor": 2.0,
        "slo-ms": 1000,
    }


async def play(site, trouble):
    """Return whether the job was shown as failed only with a cause."""
    first, second = route("reports", "/reports/"), route("cuts", "/cuts/")
    await site.open(workers=2, entries=1)
    site.configure([first, second])
    if not await site.wait_ready():
        return None
    await asyncio.sleep(3)
    # The task fails once by its own fault and is then done; four attempts are allowed.
    site.endings[TASK] = [("failed", 24000), ("done", 2000)]
    step = {"count": 1, "cpu": 2000, "mem-mb": 1024, "estimated-ms": 24000}
    job = {"spec": "report", "steps": [step]}
    if not await site.submit(site.entries[0], "/reports/", JOB, job):
        return None
    await asyncio.sleep(2)
    if not site.count(JOB, "start"):
        return None
    if trouble:
        site.configure([second])
        await asyncio.sleep(3)
        for entry in site.entries:
            await entry.terminate()
            await asyncio.sleep(0.3)
            await entry.start()
            await asyncio.sleep(GAP_S)
        if not await site.wait_ready():
            return None
    for _ in range(300):
        if site.count(JOB, "failed"):
            break
        await asyncio.sleep(0.1)
    else:
        return None
    await asyncio.sleep(8)
    if trouble:
        site.configure([first, second])
        await asyncio.sleep(5)
    phases = []
    for entry in site.entries:
        status, body = await site.call(entry, "GET", "/reports/" + JOB)
        phases.append(body.get("phase") if status == 200 else status)
    ends = site.count(JOB, "failed")
    site.record.note(f"phases {phases} in {ZONES}, ends `failed` {ends} of {ATTEMPTS} attempts")
    if "failed" in phases and ends < ATTEMPTS:
        site.record.note("LOST: shown as `failed` without cause")
        return False
    return phases == ["completed"] * len(phases) or None


main(play)
