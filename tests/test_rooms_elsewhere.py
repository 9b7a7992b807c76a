"""Scenes in virtual time: lasting tasks of a cell without room, and rooms that other cells get."""

import unittest
from collections.abc import Callable

from curranthall.cells.dispatcher import Dispatcher
from curranthall.cells.ports import StartTask
from curranthall.dag import Job, Progress, Step, TaskId
from curranthall.model import Host, HostState, Size
from tests.load import LOAD_INTERVAL_S, SERVICE, STEP_S, SimJob
from tests.room_plays import Mix, RoomPlay

EMPTY = Mix(cells=3, workers=0, losses=())
LASTING = Step(1, Size(8, 8_000), 1_000, lasting=True)
# What each worker of the other cells holds for good: 20 cores, of which 2.5 are kept free.
HELD = Step(1, Size(5, 8_000), 1_000, lasting=True, max_per_worker=1)
# A short task that leaves no room for LASTING beside HELD.
SHORT = Step(1, Size(12, 8_000), 1_000)


class Scene(RoomPlay):
    """Three cells; a has no room for its lasting tasks, the others have what a test gives them."""

    def __init__(self, mix: Mix = EMPTY) -> None:
        super().__init__(1, mix)
        self.starts: list[tuple[float, TaskId]] = []
        self.add_worker("a", 4)

    @property
    def at(self) -> float:
        """Return the time since the start."""
        return self.now - self.started_at

    def add_worker(self, cell: str, cores: float) -> None:
        """Add a worker."""
        number = sum(worker.cell == cell for worker in self.workers.values())
        self._add_worker(cell, number)
        name = f"{cell}-{number}"
        host = Host(
            name, cell, "r", name, Size(cores, cores * 4_000), 8, 0, HostState.LIVE, SERVICE
        )
        self.workers[name].host = host
        self.cells[cell].update_host(host)

    def submit(self, cell: str, step: Step, seconds: float = 1.0) -> str:
        """Submit a job of one step in a cell; return its id."""
        profile = next(each for each in self.profiles if each.lasting == step.lasting)
        job_id = f"{len(self.jobs):016x}"
        job = Job(job_id, profile.queue.name, SERVICE, "", (step,), int(self.now * 1000))
        times = [[seconds] * step.width]
        self.jobs[job_id] = SimJob(job, profile, self.now, times, seconds, self.now + 1_000)
        progress = Progress(cell, claims={cell: self.cells[cell].epoch})
        self.rows[job_id] = progress.encode(), 1
        self.cells[cell].adopt(job, progress, 1, self.now)
        return job_id

    def start(self) -> None:
        """Let all cells confirm their workers."""
        self._exchange_loads()
        for worker in self.workers.values():
            self._send_snapshot(worker)
        for dispatcher in self.cells.values():
            dispatcher.confirm_roster(dispatcher.boot_ids())

    def play(self, seconds: float, act: Callable[[], None] = lambda: None) -> None:
        """Go on for a time; `act` runs before each step."""
        until = self.now + seconds
        while self.now < until - STEP_S / 2:
            act()
            self.step()

    def _start(self, dispatcher: Dispatcher, order: StartTask) -> None:
        self.starts.append((self.at, order.task))
        super()._start(dispatcher, order)

    def started_at_s(self, job_id: str) -> list[float]:
        """Return when tasks of a job were started."""
        return [round(at, 1) for at, task in self.starts if task.job == job_id]


class RoomsElsewhere(unittest.TestCase):
    def build(self, mix: Mix, workers: int, cells: str = "bc") -> Scene:
        """Build a scene with workers in some cells, each with room for one LASTING beside HELD."""
        scene = Scene(mix)
        for cell in cells:
            for _ in range(workers):
                scene.add_worker(cell, 20)
        scene.start()
        for cell in cells:
            scene.submit(cell, HELD._replace(width=workers))
        scene.play(1.0)
        return scene

    def test_rooms_that_a_newer_row_shows_beside_moved_tasks_that_run_are_used(self) -> None:
        scene = self.build(EMPTY, workers := 12)
        # Two rooms come at a time, one in each cell, as often as cells publish their rooms.
        for number in range(workers):
            for cell in "bc":
                scene.submit(cell, SHORT, 1.0 + LOAD_INTERVAL_S * number)
        scene.play(0.3)
        lasting = scene.submit("a", LASTING._replace(width=2 * workers))
        scene.play(LOAD_INTERVAL_S * workers + 2.0)
        self.assertEqual(scene.lost, {})
        self.assertEqual(len(scene.started_at_s(lasting)), 2 * workers)

    def test_rooms_that_are_free_between_two_rows_are_used(self) -> None:
        scene = self.build(EMPTY._replace(staggered=True), workers := 2)
        period, phase_of = round(LOAD_INTERVAL_S / STEP_S), {"b": 7, "c": 3}

        def submit_short() -> None:
            # One of the two cells is free at any time, and neither when it publishes its rooms.
            for cell, phase in phase_of.items():
                if round(scene.at / STEP_S) % period == phase:
                    scene.submit(cell, SHORT._replace(width=workers), LOAD_INTERVAL_S / 2)

        scene.play(2.0, submit_short)
        lasting = scene.submit("a", LASTING)
        scene.play(10.0, submit_short)
        self.assertEqual(scene.lost, {})
        self.assertEqual(len(scene.started_at_s(lasting)), 1)

    def test_short_tasks_do_not_take_each_room_while_a_lasting_task_waits_elsewhere(self) -> None:
        for cell in "ba":
            with self.subTest(cell=cell):
                scene = self.build(EMPTY, 4, "b")

                def submit_short(scene: Scene = scene) -> None:
                    # Beside one of them there is room for LASTING, beside two there is none.
                    if round(scene.at / STEP_S) % 5 == 0:
                        scene.submit("b", Step(5, Size(6, 8_000), 1_000), 1.0)

                scene.play(3.0, submit_short)
                lasting = scene.submit(cell, LASTING)
                scene.play(8.0, submit_short)
                self.assertEqual(len(scene.started_at_s(lasting)), 1)


if __name__ == "__main__":
    unittest.main()
