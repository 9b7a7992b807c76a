"""A consumer cancels a job whose hand-in was not answered; the store does that write late."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))

from rig import BOUNDS, Rig, run  # noqa: E402

JOB = "a1b2c3d4e5f60718"
CANCEL_S = BOUNDS["cancel_ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000
# `platform_lost`, how late: done 1 to 6 s later.
LATE_S = 5.9


async def play(folder: Path, trouble: bool) -> list[str]:
    rig = Rig(folder, entries=1)
    for at in range(6):
        rig.add_machine(f"w{at}", rig.zones[at % 3], cpu=32_000)
    broken = []
    try:
        await rig.start()
        lost_at = [0.0]

        def late(rows):
            if ("jobs", JOB) not in rows:
                return None
            lost_at[0] = rig.record.now()
            return LATE_S

        writes = rig.store.writes
        if trouble:
            rig.store.late = late
        step = {"count": 2, "cpu": 2_000, "mem-mb": 100, "estimated-ms": 3_000}
        status = await rig.submit(JOB, [step], tries=1)
        # From here on the store answers all writes.
        rig.store.late = lambda rows: None
        writes = rig.store.writes - writes
        if not trouble:
            await asyncio.sleep(1.4)
        elif status == 200:
            raise RuntimeError("the hand-in was answered")
        cancelled = await rig.cancel(JOB, at=1)
        acked_at = rig.record.now()
        rig.record(f"{rig.store.lost} of {writes} writes were not answered")
        if cancelled not in (200, 202, 204, 410):
            raise RuntimeError("the cancelling was not acknowledged")
        await asyncio.sleep(12.0)
        await rig.phase(JOB)
        for at, _, task, number, worker in rig.of_job(JOB, "start"):
            # The core was without disturbance for `contact-ms`, and no machine was disturbed.
            if at > acked_at + CANCEL_S and at > lost_at[0] + CONTACT_S:
                broken.append(
                    f"UNASKED: {task} run {number} starts on {worker} {at - acked_at:.2f} s after "
                    f"the DELETE was answered {cancelled}"
                )
    finally:
        await rig.close()
    return broken


run(play, str(HERE))
