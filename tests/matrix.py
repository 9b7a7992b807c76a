"""The fault matrix: each fault at each protocol step, then a seeded sample of pairs."""

import argparse
import asyncio
import random
import sys
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from typing import NamedTuple

from tests.judge import find_violations
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
# Duration of a freeze, a cut or an outage.
FAULT_S = 12.0
RESTART_S = 15.0
LATE_DELAY_S = 3.0
# Longer than any timeout in these runs: the answer is lost.
LOST_DELAY_S = 60.0
SETTLE_S = 240.0
SETTLE_TICK_S = 10.0
MAX_OCCURRENCE = 3
# Steps with few messages: a fault hits the first one.
RARE = frozenset({"lease.claim", "lease.release", "mesh.survey", "mesh.bye", "table.register"})
PAIRS = 60
CI_EVERY = 9
CI_PAIRS = 8

SCRIPT = Script(
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
    """Injects one fault, once, at the given occurrence of its step."""

    def __init__(self, player: Player, fault: Fault, occurrence: int) -> None:
        self._player = player
        self._fault = fault
        self._remaining = occurrence
        self._chosen: Call | None = None
        self.fired = False

    def on_send(self, call: Call) -> float:
        """Count the step's messages; inject a fault due at the send of the chosen one."""
        if self._chosen is not None or call.step != self._fault.step:
            return 0.0
        self._remaining -= 1
        if self._remaining > 0:
            return 0.0
        self._chosen = call
        match self._fault.kind, self._fault.phase:
            case "message-late", _:
                self.fired = True
                return LATE_DELAY_S
            case kind, "before" if kind in PROCESS_FAULTS:
                self._inject(call)
            case kind, "after" if kind in PROCESS_FAULTS:
                self._player.world.loop.call_later(0.05, self._inject, call)
        return 0.0

    def on_effect(self, call: Call) -> float:
        """Inject a fault due between the effect and the answer."""
        if call is not self._chosen or self.fired:
            return 0.0
        match self._fault.kind, self._fault.phase:
            case "answer-lost", _:
                self.fired = True
                return LOST_DELAY_S
            case "answer-late", _:
                self.fired = True
                return LATE_DELAY_S
            case kind, "during" if kind in PROCESS_FAULTS:
                self._inject(call)
        return 0.0

    def duplicate_delay_s(self, call: Call) -> float:
        """Return the delay of a second copy of the message, or 0 for none."""
        if call is self._chosen and self._fault.kind == "message-twice" and not self.fired:
            self.fired = True
            return LATE_DELAY_S
        return 0.0

    def _inject(self, call: Call) -> None:
        self.fired = True
        world, loop = self._player.world, self._player.world.loop
        target = call.target if self._fault.kind.endswith("target") else call.caller
        match self._fault.kind:
            case "outage":
                self._start_outage()
            case "cut":
                world.net.cuts.add(frozenset((call.caller, call.target)))
                loop.call_later(
                    FAULT_S, world.net.cuts.discard, frozenset((call.caller, call.target))
                )
            case _ if target == "platform":
                self._start_outage()
            case "kill-caller" | "kill-target":
                if target not in world.net.dead:
                    world.kill(target)
                    loop.call_later(RESTART_S, self._restart, target)
            case "freeze-caller" | "freeze-target":
                if target not in world.net.frozen:
                    world.freeze(target)
                    loop.call_later(FAULT_S, world.thaw, target)

    def _start_outage(self) -> None:
        world = self._player.world
        world.core.outage = True
        world.loop.call_later(FAULT_S, setattr, world.core, "outage", False)

    def _restart(self, name: str) -> None:
        if name in self._player.world.net.dead:
            self._player.restart(name)


async def play(case: Case) -> tuple[list[str], bool]:
    """Play the script with a case's faults; return problems and whether all faults fired."""
    player = Player(SCRIPT, case.seed)
    rng = random.Random(str(case))
    injectors = [
        Injector(player, fault, 1 if fault.step in RARE else rng.randint(1, MAX_OCCURRENCE))
        for fault in case.faults
    ]
    net = player.world.net

    def install_hooks() -> None:
        net.on_send = lambda call: max(i.on_send(call) for i in injectors)
        net.on_effect = lambda call: max(i.on_effect(call) for i in injectors)
        net.duplicate_delay_s = lambda call: max(i.duplicate_delay_s(call) for i in injectors)

    player.on_begin = install_hooks
    problems = await player.play()
    limit = player.world.loop.time() + SETTLE_S
    unfinished = await player.describe_unfinished()
    while unfinished and player.world.loop.time() < limit:
        await asyncio.sleep(SETTLE_TICK_S)
        unfinished = await player.describe_unfinished()
    if unfinished:
        problems.append(unfinished[:400])
    problems += [
        text for text in find_violations(player.collect_evidence()) if text not in problems
    ]
    return problems, all(injector.fired for injector in injectors)


def run_case(case: Case) -> tuple[Case, list[str], bool]:
    """Play a case in virtual time."""
    try:
        problems, fired = run(play(case))
    except Exception as exc:
        # An exception out of the player counts as a failure of the case.
        problems, fired = [repr(exc)], True
    return case, problems, fired


def can_occur(step: str, kind: str) -> bool:
    """Return whether a fault can occur: HTTP over TCP never delivers a request twice."""
    return (step, kind) != ("request.send", "message-twice")


def singles() -> list[Case]:
    """List every fault at every step."""
    variants = list(product(PROCESS_FAULTS, PHASES)) + [(kind, "-") for kind in MESSAGE_FAULTS]
    return [
        Case((Fault(step, kind, phase),), seed=1 + number % 3)
        for number, (step, (kind, phase)) in enumerate(product(STEPS, variants))
        if can_occur(step, kind)
    ]


def pairs(count: int, seed: int = 7) -> list[Case]:
    """Sample pairs of faults."""
    rng = random.Random(seed)
    faults = [case.faults[0] for case in singles()]
    return [Case(tuple(rng.sample(faults, 2)), seed=100 + n) for n in range(count)]


def run_all(cases: list[Case], processes: int) -> Iterable[tuple[Case, list[str], bool]]:
    """Run the cases in parallel; yield the results in the order of the cases."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(run_case, cases, chunksize=2)


def main() -> int:
    """Print a table of steps and faults, then the failed cases."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--pairs", type=int, default=PAIRS)
    args = parser.parse_args()
    cases = singles() + pairs(args.pairs)
    fired_at: Counter[tuple[str, str]] = Counter()
    failed_at: Counter[tuple[str, str]] = Counter()
    failed, not_fired = [], 0
    for case, problems, fired in run_all(cases, args.processes):
        not_fired += not fired
        for fault in case.faults if len(case.faults) == 1 else ():
            fired_at[(fault.step, fault.kind)] += fired
            failed_at[(fault.step, fault.kind)] += bool(problems)
        if problems:
            failed.append((case, problems))
    kinds = (*PROCESS_FAULTS, *MESSAGE_FAULTS)
    print(f"{'step':18}" + "".join(f"{kind:>15}" for kind in kinds))
    for step in STEPS:
        cells = [
            f"{fired_at[(step, k)]} ok" if not failed_at[(step, k)] else "FAILED" for k in kinds
        ]
        print(f"{step:18}" + "".join(f"{cell:>15}" for cell in cells))
    for case, problems in failed:
        print(f"failed: {case}: {'; '.join(problems)[:300]}")
    print(f"cases whose faults did not all fire: {not_fired}")
    print(f"matrix: steps={len(STEPS)} faults={len(kinds)} cases={len(cases)} failed={len(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
