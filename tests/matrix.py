"""The fault matrix: every fault at every step of every protocol, then pairs by seeded sampling."""

import argparse
import asyncio
import random
import sys
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import NamedTuple

from tests.judge import violations
from tests.scenario import Player, Script, Step
from tests.virtual import Call, run

STEPS = (
    "lease.claim",
    "lease.renew",
    "lease.release",
    "task.start",
    "task.stop",
    "task.acknowledge",
    "request.send",
    "mesh.forward",
    "mesh.beat",
    "mesh.bye",
    "mesh.survey",
    "table.scan",
    "table.edit",
    "table.register",
    "table.submit",
    "table.claim",
    "table.requeue",
    "table.progress",
    "table.finish",
    "hosts.list",
)
PROCESS_FAULTS = ("kill-caller", "kill-target", "freeze-caller", "freeze-target", "cut", "outage")
MESSAGE_FAULTS = ("answer-lost", "answer-late", "message-late", "message-twice")
PHASES = ("before", "during", "after")
LAST_S = 12.0
REVIVE_S = 15.0
LATE_S = 3.0
LOST_S = 60.0
SETTLE_S = 240.0
SETTLE_TICK_S = 10.0
LATEST_OCCURRENCE = 3
RARE = frozenset({"lease.claim", "lease.release", "mesh.survey", "mesh.bye", "table.register"})
PAIRS = 60
CI_EVERY = 9
CI_PAIRS = 8

STORY = Script(
    domains=2,
    entries=2,
    workers=3,
    steps=[
        Step(0, "request", ("proof", "0.2", "40")),
        Step(0, "submit", ("w1", "monogram", "4")),
        Step(1, "submit", ("j1", "engrave", "24")),
        Step(3, "submit", ("j3", "engrave", "30")),
        Step(6, "take_out", ("d2",)),
        Step(8, "submit", ("j2", "rush", "8")),
        Step(9, "edit", ("customer", "acme", "weight", "2")),
        Step(12, "drain", ("d1e2",)),
        Step(14, "cancel", ("j3",)),
        Step(22, "start_process", ("d1e2",)),
        Step(24, "bring_back", ("d2",)),
        Step(40, "close", ("w1",)),
        Step(60, "heal", ()),
    ],
)


class Fault(NamedTuple):
    """A fault at a step: before its message, between effect and answer, or after the answer."""

    step: str
    kind: str
    phase: str


class Case(NamedTuple):
    """One or two faults and a seed."""

    faults: tuple[Fault, ...]
    seed: int

    def __str__(self) -> str:
        names = "+".join(f"{f.step}/{f.kind}/{f.phase}" for f in self.faults)
        return f"{names} seed={self.seed}"


class Injector:
    """Bring one fault about, once."""

    def __init__(self, player: Player, fault: Fault, occurrence: int) -> None:
        self._player = player
        self._fault = fault
        self._left = occurrence
        self._chosen: Call | None = None
        self.fired = False

    def on_send(self, call: Call) -> float:
        """Choose the message; act before it."""
        if self._chosen is not None or call.step != self._fault.step:
            return 0.0
        self._left -= 1
        if self._left > 0:
            return 0.0
        self._chosen = call
        match self._fault.kind, self._fault.phase:
            case "message-late", _:
                self.fired = True
                return LATE_S
            case kind, "before" if kind in PROCESS_FAULTS:
                self._act(call)
            case kind, "after" if kind in PROCESS_FAULTS:
                self._player.world.loop.call_later(0.05, self._act, call)
        return 0.0

    def on_effect(self, call: Call) -> float:
        """Act between the effect and the answer."""
        if call is not self._chosen or self.fired:
            return 0.0
        match self._fault.kind, self._fault.phase:
            case "answer-lost", _:
                self.fired = True
                return LOST_S
            case "answer-late", _:
                self.fired = True
                return LATE_S
            case kind, "during" if kind in PROCESS_FAULTS:
                self._act(call)
        return 0.0

    def copies(self, call: Call) -> float:
        """Send the message twice."""
        if call is self._chosen and self._fault.kind == "message-twice" and not self.fired:
            self.fired = True
            return LATE_S
        return 0.0

    def _act(self, call: Call) -> None:
        self.fired = True
        world, loop = self._player.world, self._player.world.loop
        target = call.b if self._fault.kind.endswith("target") else call.a
        match self._fault.kind:
            case "outage":
                self._outage()
            case "cut":
                world.net.cuts.add(frozenset((call.a, call.b)))
                loop.call_later(LAST_S, world.net.cuts.discard, frozenset((call.a, call.b)))
            case _ if target == "platform":
                self._outage()
            case "kill-caller" | "kill-target":
                if target not in world.net.dead:
                    world.kill(target)
                    loop.call_later(REVIVE_S, self._revive, target)
            case "freeze-caller" | "freeze-target":
                if target not in world.net.frozen:
                    world.freeze(target)
                    loop.call_later(LAST_S, world.thaw, target)

    def _outage(self) -> None:
        world = self._player.world
        world.core.outage = True
        world.loop.call_later(LAST_S, setattr, world.core, "outage", False)

    def _revive(self, name: str) -> None:
        if name in self._player.world.net.dead:
            self._player.restart(name)


async def play(case: Case) -> tuple[list[str], bool]:
    """Play the story with a case's faults; give what was wrong and whether all faults came."""
    player = Player(STORY, case.seed)
    rng = random.Random(str(case))
    injectors = [
        Injector(player, fault, 1 if fault.step in RARE else rng.randint(1, LATEST_OCCURRENCE))
        for fault in case.faults
    ]
    net = player.world.net

    def arm() -> None:
        net.on_send = lambda call: max(i.on_send(call) for i in injectors)
        net.on_effect = lambda call: max(i.on_effect(call) for i in injectors)
        net.copies = lambda call: max(i.copies(call) for i in injectors)

    player.on_begin = arm
    wrong = await player.play()
    limit = player.world.loop.time() + SETTLE_S
    unsettled = await player.unsettled()
    while unsettled and player.world.loop.time() < limit:
        await asyncio.sleep(SETTLE_TICK_S)
        unsettled = await player.unsettled()
    if unsettled:
        wrong.append(unsettled[:400])
    wrong += [text for text in violations(player.evidence()) if text not in wrong]
    return wrong, all(injector.fired for injector in injectors)


def run_case(case: Case) -> tuple[Case, list[str], bool]:
    """Play in virtual time."""
    try:
        wrong, fired = run(play(case))
    except Exception as exc:
        # A crash of the story itself counts as a failure of its case.
        wrong, fired = [repr(exc)], True
    return case, wrong, fired


def applies(step: str, kind: str) -> bool:
    """Leave out what can't happen: an endpoint's HTTP over TCP never delivers a request twice."""
    return (step, kind) != ("request.send", "message-twice")


def singles() -> list[Case]:
    """Give every fault at every step."""
    acts = list(product(PROCESS_FAULTS, PHASES)) + [(kind, "-") for kind in MESSAGE_FAULTS]
    return [
        Case((Fault(step, kind, phase),), seed=1 + number % 3)
        for number, (step, (kind, phase)) in enumerate(product(STEPS, acts))
        if applies(step, kind)
    ]


def pairs(count: int, seed: int = 7) -> list[Case]:
    """Sample pairs of faults."""
    rng = random.Random(seed)
    every = [case.faults[0] for case in singles()]
    return [Case(tuple(rng.sample(every, 2)), seed=100 + n) for n in range(count)]


def run_all(cases: list[Case], processes: int) -> Iterable[tuple[Case, list[str], bool]]:
    """Run the cases side by side, in order."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(run_case, cases, chunksize=2)


def main() -> int:
    """Print the table of step x fault, then the failures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--pairs", type=int, default=PAIRS)
    args = parser.parse_args()
    cases = singles() + pairs(args.pairs)
    table: Counter[tuple[str, str]] = Counter()
    bad: Counter[tuple[str, str]] = Counter()
    failed, idle = [], 0
    for case, wrong, fired in run_all(cases, args.processes):
        idle += not fired
        for fault in case.faults if len(case.faults) == 1 else ():
            table[(fault.step, fault.kind)] += fired
            bad[(fault.step, fault.kind)] += bool(wrong)
        if wrong:
            failed.append((case, wrong))
    kinds = (*PROCESS_FAULTS, *MESSAGE_FAULTS)
    print(f"{'step':18}" + "".join(f"{kind:>15}" for kind in kinds))
    for step in STEPS:
        cells = [f"{table[(step, k)]} ok" if not bad[(step, k)] else "FAILED" for k in kinds]
        print(f"{step:18}" + "".join(f"{cell:>15}" for cell in cells))
    for case, wrong in failed:
        print(f"failed: {case}: {'; '.join(wrong)[:300]}")
    print(f"cases whose fault never came about: {idle}")
    print(f"matrix: steps={len(STEPS)} faults={len(kinds)} cases={len(cases)} failed={len(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
