"""A cell's holder is cut off from the store while a step begins; a worker crashes meanwhile."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import HOST, main, now  # noqa: E402

JOB = "00000000000000e1"
ATTEMPTS = 4
CUT_S = 5.4
DOWN_S = 4.4
FIRST, SECOND = 2, 8
FINISH_S = 14
STANDSTILL_S = 3


async def play(site, trouble):
    """Return whether the job was done, or had something running all the while."""
    await site.open(workers={"zone-a": 4, "zone-b": 4, "zone-c": 4}, entries=1)
    site.configure(
        [
            {
                "name": "reports",
                "hostname": HOST,
                "path-prefix": "/reports/",
                "backend": "desk",
                "priority": 2,
                "max-attempts": ATTEMPTS,
                "stretch-factor": 2.0,
                "slo-ms": 1000,
            }
        ]
    )
    if not await site.wait_ready():
        return None
    await asyncio.sleep(4)
    first = {"count": FIRST, "cpu": 20000, "mem-mb": 1024, "estimated-ms": 2500}
    second = {"count": SECOND, "cpu": 20000, "mem-mb": 1024, "estimated-ms": 6000, "after": [0]}
    job = {"spec": "report", "steps": [first, second]}
    if not await site.submit(site.entries[0], "/reports/", JOB, job):
        return None
    await asyncio.sleep(2.0)
    hosts = [each for each in site.workers if any(JOB in task for task in each.runs)]
    if not hosts:
        return None
    zone = hosts[0].zone
    holder = site.holder(zone)
    others = [each for each in site.entries if each is not holder]
    cut_at = now()
    if trouble:
        site.record.note(f"network: {holder.name} is cut off from the store for {CUT_S} s")
        holder.door.cut()
    while not any(f"{JOB}.0.1." in task for each in site.workers for task in each.runs):
        await asyncio.sleep(0.02)
        if now() - cut_at > 20:
            return None
    await asyncio.sleep(0.3)
    if trouble:
        lost = hosts[0]
        ip, port = lost.address.split(":")
        site.record.note(f"platform: {lost.name} crashes, 1 of {len(site.workers)} workers")
        lost.crash()
        await asyncio.sleep(DOWN_S)
        site.record.note(f"platform: {lost.name} is up again")
        await lost.start(ip, int(port))
        await asyncio.sleep(cut_at + CUT_S - now())
        site.record.note(f"network: {holder.name} reaches the store again")
        holder.door.heal()
    quiet_since = now()
    until = now() + 60
    while now() < until:
        await asyncio.sleep(0.1)
        if any(JOB in task for each in site.workers for task in each.runs):
            quiet_since = now()
        if now() - quiet_since > FINISH_S + STANDSTILL_S:
            break
        if len({task for task, notes in site.runs.items() if notes[-1][0] == "done"}) == FIRST + SECOND:
            await asyncio.sleep(2)
            break
    phases = []
    for entry in others:
        status, body = await site.call(entry, "GET", "/reports/" + JOB)
        phases.append(body.get("phase") if status == 200 else status)
    done = {task for task, notes in site.runs.items() if any(each[0] == "done" for each in notes)}
    used = sum(each.used("cpu") for each in site.workers if each.up)
    whole = sum(each.capacity["cpu"] for each in site.workers if each.up)
    site.record.note(
        f"phases {phases}, {len(done)} of {FIRST + SECOND} tasks done, nothing has run for"
        f" {now() - quiet_since:.1f} s, {used} of {whole} thousandths of cores in use"
    )
    if phases == ["completed"] * len(phases):
        return True
    if now() - quiet_since > FINISH_S + STANDSTILL_S:
        site.record.note("LOST: nothing runs although tasks' turn has come and there is room")
        return False
    return None


main(play)
