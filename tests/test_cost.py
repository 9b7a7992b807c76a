"""Processor time of a holder: figures computed once instead of many times stay the same."""

import random
import unittest
from collections import Counter
from typing import Any
from unittest.mock import patch

from curranthall.cells import interference
from curranthall.cells.fleet import Member, Run, RunState
from curranthall.cells.headroom import NO_HEADROOM, Headroom
from curranthall.cells.interference import Interference, Observation
from curranthall.cells.load import MIN_WEIGHT, measure, measure_cores
from curranthall.cells.placement import (
    FILLING_SHARE,
    PlacementRequest,
    Refusal,
    _rank,
    _would_overload,
    choose_worker,
    fits,
    has_room,
)
from curranthall.cells.poison import Crash, PoisonDetector, Suspect, _is_open
from curranthall.cells.tracking import TrackedJob
from curranthall.dag import Phase, Queue, Step, TaskId
from curranthall.dag.progress import Doubt
from curranthall.model import Size
from tests.cell_fixtures import CELL, SERVICE, Cell, claimed_progress, host, job, listed, step, task

SERVING = tuple(f"s{number}" for number in range(6))
FILLING = tuple(f"f{number}" for number in range(10))
SEEDS = range(40)


def learned(rng: random.Random) -> Interference:
    """Build estimates from random reports."""
    known = Interference()
    for _ in range(rng.choice((0, 5, 400))):
        shares = {rng.choice(FILLING): rng.uniform(0, 0.4) for _ in range(2)}
        target = rng.choice((15.0, 20.0))
        tail = rng.uniform(3, 2 * target)
        worker = f"w{rng.randrange(8)}"
        known.observe(Observation(rng.choice(SERVING), tail, target, shares, worker))
    return known


def any_step(rng: random.Random) -> Step:
    """Build a step of any kind."""
    cores = rng.uniform(0.5, 6)
    match rng.randrange(3):
        case 0:
            image, target_ms = rng.choice(SERVING), rng.choice((15, 20))
            return step(cores=cores, lasting=True, image=image, target_ms=target_ms)
        case 1:
            return step(cores=cores, filling=True, image=rng.choice(FILLING))
    return step(cores=cores)


def busy_member(rng: random.Random, name: str) -> Member:
    """Build a worker with random runs, sometimes more than fit."""
    member = Member(host(name, cores=rng.choice((0, 8, 16, 32))))
    for number in range(rng.randrange(10)):
        run = Run(task(number=number), number, name, any_step(rng), RunState.RUNNING, 100.0)
        run.pace = rng.choice((-1, 0, 50, 100, 100))
        member.add(run)
    return member


def filling_room(member: Member, image: str, known: Interference) -> float:
    """Return the room for one image by its definition: the least that any serving task leaves."""
    room, shares = max(0.0, member.idle_cores), member.filling_shares()
    for run in member.runs.values():
        if run.step.target_ms:
            serving, target = run.step.image, run.step.target_ms
            left = known.limit(serving, target) - known.load(serving, shares)
            weight = max(known.weight(serving, image), MIN_WEIGHT)
            room = min(room, max(0.0, left) / weight * member.host.size.cores)
    return room


class MeasuredLoad(unittest.TestCase):
    def test_the_room_of_each_image_is_the_least_that_any_serving_task_leaves(self) -> None:
        for seed in SEEDS:
            rng = random.Random(seed)
            known = learned(rng)
            members = [busy_member(rng, f"w{number}") for number in range(8)]
            expected = dict.fromkeys(known.filling_images(), 0.0)
            for member in members:
                for image in expected:
                    room = expected[image] + filling_room(member, image, known)
                    expected[image] = round(room, 1)
            found = measure(members, {}, known)[SERVICE].filling
            with self.subTest(seed=seed):
                self.assertEqual(found.keys(), expected.keys())
                for image, room in expected.items():
                    self.assertAlmostEqual(found[image], room, delta=1e-9)

    def test_loads_beside_serving_tasks_are_not_predicted_for_each_filling_image(self) -> None:
        rng = random.Random(1)
        known = learned(random.Random(3))
        while len(known.filling_images()) < len(FILLING):
            known = learned(rng)
        members = [busy_member(rng, f"w{number}") for number in range(8)]
        kinds = [
            {(run.step.image, run.step.target_ms) for run in member.runs.values()}
            for member in members
        ]
        serving = sum(target > 0 for each in kinds for _, target in each)
        self.assertGreater(serving, 4)
        with patch.object(
            Interference, "load", autospec=True, side_effect=Interference.load
        ) as load:
            measure(members, {}, known)
        self.assertLessEqual(load.call_count, serving)

    def test_the_cores_alone_are_those_of_the_whole_load(self) -> None:
        for seed in SEEDS:
            rng = random.Random(seed)
            known = learned(rng)
            members = [busy_member(rng, f"w{number}") for number in range(8)]
            load, cores = measure(members, {}, known)[SERVICE], measure_cores(members, SERVICE)
            with self.subTest(seed=seed):
                self.assertEqual(cores[:3], load[:3])
                self.assertEqual(measure_cores(members, "other")[:3], (0, 0, 0))


class Planning(unittest.TestCase):
    def test_a_job_that_stands_still_does_not_have_the_whole_load_measured(self) -> None:
        cell = Cell(host("w1", cores=4))
        cell.add(job("0" * 16, step(1, cores=3, lasting=True, image="s", target_ms=20)))
        (order,) = cell.plan()
        cell.started(order)
        # The report of its neighbour leaves no room for the filling task.
        cell.answer("w1", [listed(order, 100, gauge=40)])
        cell.add(job("1" * 16, step(1, cores=3, filling=True, image="f")))
        self.assertEqual(cell.plan(), [])
        cell.now += 1.5
        cell.answer("w1", [listed(order, 100, gauge=40)])
        with patch("curranthall.cells.dispatcher.measure", wraps=measure) as whole:
            cell.plan()
        self.assertIn(SERVICE, cell.dispatcher._busy_by_service)
        whole.assert_not_called()


class Estimates(unittest.TestCase):
    def test_looking_up_a_pair_builds_an_estimate_only_for_a_new_image(self) -> None:
        known = Interference()
        with patch.object(interference, "_Estimate", wraps=interference._Estimate) as build:
            for _ in range(10):
                known.weight("s", "f")
                known.limit("s", 20.0)
        self.assertEqual(build.call_count, 1)


class Room(unittest.TestCase):
    def test_room_for_a_task_is_what_its_reservation_fits_into(self) -> None:
        found = Counter[bool]()
        for seed in range(400):
            rng = random.Random(seed)
            member = busy_member(rng, "w0")
            wanted = any_step(rng)
            if seed % 4 == 0:
                # Exactly what is left, but for rounding.
                room = member.room
                rounding = rng.choice((0.0, 5e-10, 2e-9))
                wanted = wanted._replace(size=room._replace(cores=room.cores + rounding))
            elif seed % 4 == 1:
                memory, accelerators = member.room.memory + rng.uniform(-1, 1), rng.randrange(2)
                wanted = wanted._replace(size=Size(wanted.size.cores, memory, accelerators))
            with self.subTest(seed=seed):
                self.assertEqual(has_room(wanted, member), wanted.reserved.fits(member.room))
            found[has_room(wanted, member)] += 1
        self.assertGreater(min(found[True], found[False]), 50)

    def test_a_worker_fits_if_it_meets_all_conditions_in_any_order(self) -> None:
        found = Counter[tuple[bool, bool]]()
        estimates = [learned(random.Random(seed)) for seed in range(9)]
        for seed in range(1_000):
            rng = random.Random(seed)
            member, wanted = busy_member(rng, "w0"), any_step(rng)
            req = PlacementRequest(
                SERVICE,
                wanted._replace(size=wanted.size._replace(memory=rng.uniform(0, 40_000))),
                {},
                interference=rng.choice(estimates),
                now=101.0,
                headroom=rng.choice((NO_HEADROOM, Headroom({"w0": 0.125, "w1": 1.0}, 0.125))),
                takes_headroom=rng.random() < 0.2,
                ignore_idle_cores=rng.random() < 0.2,
            )
            with self.subTest(seed=seed):
                self.assertEqual(fits(req, member), fits_plainly(req, member))
            found[req.step.filling, fits(req, member)] += 1
            members = [member, *(busy_member(rng, f"w{number}") for number in range(1, 6))]
            fitting = [each for each in members if fits_plainly(req, each)]
            best = min(fitting, key=lambda each: _rank(req, each), default=None)
            self.assertIs(choose_worker(req, members), best)
        self.assertGreater(min(found.values()), 40)
        self.assertEqual(len(found), 4)


class Refusals(unittest.TestCase):
    def test_a_refusal_covers_larger_steps_of_its_kind_and_filling_image(self) -> None:
        found = Counter[bool]()
        for seed in range(3_000):
            rng = random.Random(seed)
            known, other = any_step(rng), any_step(rng)
            if rng.random() < 0.5:
                other = other._replace(image=known.image, filling=known.filling)
            service, takes_headroom = rng.choice((SERVICE, SERVICE, "other")), rng.random() < 0.5
            req = PlacementRequest(service, other, {}, takes_headroom=takes_headroom)
            refusal = Refusal(SERVICE, known, rng.random() < 0.5)
            groups = [
                (each.filling, each.lasting, each.image if each.filling else "")
                for each in (known, other)
            ]
            # A task that must leave more room free finds no worker either.
            is_same_place = service == SERVICE and refusal.takes_headroom >= takes_headroom
            expected = groups[0] == groups[1] and is_same_place and known.size.fits(other.size)
            with self.subTest(seed=seed):
                self.assertEqual(refusal.covers(req), expected)
            found[expected] += 1
        self.assertGreater(min(found[True], found[False]), 100)


def fits_plainly(req: PlacementRequest, member: Member) -> bool:
    """Return whether a worker meets the conditions on room and load, all of them evaluated."""
    step, kept = req.step, req.headroom.memory_share * member.host.size.memory
    conditions = [step.reserved.fits(member.room)]
    if step.lasting and not req.takes_headroom:
        conditions.append(req.headroom.allows(step, member))
    if step.filling:
        needed = step.size.cores * FILLING_SHARE
        conditions += [
            req.ignore_idle_cores or member.idle_cores >= needed,
            step.size.memory + kept <= member.room.memory,
            not member.serving or not _would_overload(req, member),
        ]
    return all(conditions)


class PlainDetector(PoisonDetector):
    """Looks at all runs in doubt for each answer."""

    def settle(self, member: Member, born: int, workers: int, now: float) -> list[Crash]:
        """Return the crashes that an answer of a worker's boot shows."""
        boots: dict[tuple[str, int], list[Suspect]] = {}
        for job_id in list(self._doubted):
            tracked = self._tracked.get(job_id)
            if tracked is None or tracked.progress.phase.is_final:
                self._doubted.discard(job_id)
                continue
            for run_key, doubt in list(tracked.progress.doubts.items()):
                key = run_key[:3]
                is_over = tracked.progress.has_crashed(key, doubt.run)
                is_open = not is_over and doubt.run > tracked.progress.outlasted.get(key, 0)
                here = member.name == doubt.worker or member.host.address == doubt.address
                if is_open and not here:
                    continue
                if is_open and doubt.born != born:
                    is_witnessed = (job_id, run_key) in self._witnessed
                    suspect = Suspect(tracked, key, doubt, is_witnessed)
                    boots.setdefault((doubt.worker, doubt.born), []).append(suspect)
                self._witnessed.discard((job_id, run_key))
                del tracked.progress.doubts[run_key]
        return [
            self._attribute(worker, found, workers, now) for (worker, _), found in boots.items()
        ]


class DetectorPlay:
    """A detector under random calls that depend only on the seed."""

    def __init__(self, kind: type[PoisonDetector]) -> None:
        self.tracked: dict[str, TrackedJob] = {}
        self.detector = kind(self.tracked, CELL)
        for number in range(8):
            new_job = job(f"{number:016x}", step(3))
            queue = Queue("q", SERVICE)
            self.tracked[new_job.id] = TrackedJob(new_job, claimed_progress(), 1, queue, 100.0)
        self.members = [Member(host(f"w{number}")) for number in range(6)]
        self.now, self.runs = 100.0, 0
        self.seen: list[list[Any]] = []

    def act(self, rng: random.Random) -> None:
        """Make one call."""
        self.now += rng.uniform(0, 0.5)
        tracked, member = rng.choice(list(self.tracked.values())), rng.choice(self.members)
        key = 0, 0, rng.randrange(3)
        progress = tracked.progress
        match rng.randrange(10):
            case 0 | 1 | 2:
                self.runs += 1
                each = TaskId(tracked.job.id, *key)
                run = Run(each, self.runs, member.name, step(), RunState.RUNNING, self.now)
                run.probation_until = self.now + 1
                self.detector.note_silence(member, self.now)
                self.detector.doubt(member, [run], self.now)
            case 3:
                self.runs += 1
                place = member.name, member.host.address
                progress.doubts[*key, self.runs, member.name] = Doubt(
                    self.runs, *place, member.born, 0, CELL
                )
                self.detector.note_row(tracked)
            case 4:
                progress.add_outlasted(key, rng.randrange(self.runs + 1))
            case 5 if rng.random() < 0.2:
                progress.phase = Phase.FAILED
            case 6:
                member.born += 1
            case 7 if rng.random() < 0.3:
                address = rng.choice(self.members).host.address
                member.host = member.host._replace(address=address)
            case _:
                self.settle(member)

    def settle(self, member: Member) -> None:
        """Process an answer and record the crashes that it shows."""
        seen: list[Any] = []
        for crash in self.detector.settle(member, member.born, len(self.members), self.now):
            found = []
            for tracked, key, doubt, is_witnessed, is_excused in crash.suspects:
                tracked.progress.add_crash(key, doubt.run, is_excused)
                found.append((tracked.job.id, key, doubt, is_witnessed, is_excused))
            seen.append((sorted(found), crash.in_outage, crash.is_certain))
        # Rows in doubt have no order.
        self.seen.append(sorted(seen))


class SettledCrashes(unittest.TestCase):
    def test_crashes_are_those_found_by_looking_at_all_runs_in_doubt(self) -> None:
        crashes = 0
        for seed in range(200):
            plays = DetectorPlay(PoisonDetector), DetectorPlay(PlainDetector)
            for play in plays:
                rng = random.Random(seed)
                for _ in range(150):
                    play.act(rng)
            with self.subTest(seed=seed):
                self.assertEqual(plays[0].seen, plays[1].seen)
            crashes += sum(map(len, plays[0].seen))
        self.assertGreater(crashes, 1_000)

    def test_a_tick_does_not_look_at_all_runs_in_doubt_for_each_worker(self) -> None:
        cell = Cell(*(host(f"w{number}") for number in range(10)))
        cell.add(job("0" * 16, step(40)))
        cell.started(*cell.plan())
        for number in range(3):
            cell.dispatcher.on_silence(f"w{number}", cell.now)
        (tracked,) = cell.dispatcher.tracked.values()
        doubts = len(tracked.progress.doubts)
        self.assertGreater(doubts, 2)
        with patch("curranthall.cells.poison._is_open", wraps=_is_open) as is_open:
            for _ in range(5):
                cell.now += 0.1
                cell.dispatcher.tick(cell.now, cell.now)
        self.assertLessEqual(is_open.call_count, doubts)


if __name__ == "__main__":
    unittest.main()
