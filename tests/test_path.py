"""A request and a job from end to end, in virtual time."""

import asyncio
import unittest
from typing import Any

from curranthall.edits import Edits
from curranthall.jobs import Jobs, JobSpec
from curranthall.request import ServiceRequest
from tests.virtual import World, run


async def make_world(seed: int = 1) -> World:
    world = World(seed)
    for domain in ("d1", "d2"):
        for n in (1, 2):
            world.add_worker(f"{domain}w{n}", domain)
        for n in (1, 2):
            world.add_entry(f"{domain}e{n}", domain)
    await asyncio.sleep(1)
    entry = world.entries["d1e1"]
    edits = Edits(entry.platform, entry.config, entry.wall_clock, entry.new_txn)
    table: dict[str, dict[str, dict[str, Any]]] = {
        "domain": {"d1": {}, "d2": {}},
        "customer": {"acme": {}},
        "service": {"proof": {"customer": "acme", "replicas": 2, "cores": 1, "memory": 2}},
        "class": {"engrave": {"cores": 2, "memory": 2, "seconds": 10}},
    }
    await edits.load("test", table)
    await asyncio.sleep(20)
    return world


class EndToEnd(unittest.TestCase):
    def test_a_request_is_answered_and_a_job_finishes(self) -> None:
        async def main() -> None:
            world = await make_world()
            entry = world.entries["d1e1"]
            req = ServiceRequest("r1", "proof", "acme", b"x", world.loop.time() + 1, False)
            body = await entry.router.request(req)
            self.assertEqual(len(body), 64)
            jobs = Jobs(entry.platform, entry.config, entry.wall_clock, entry.new_txn)
            await jobs.submit(JobSpec("acme", "j1", "engrave", 40, 1000.0))
            for _ in range(100):
                await asyncio.sleep(1)
                status = await jobs.status("acme.j1")
                if status["finished"]:
                    break
            self.assertEqual(status["counts"]["done"], 40)
            self.assertEqual(sum(r.what == "start" for r in world.log if "acme" in r.name), 40)

        run(main())


if __name__ == "__main__":
    unittest.main()
