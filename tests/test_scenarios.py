"""Every scenario in virtual time, with fixed seeds."""

import unittest
from pathlib import Path

from tests.scenario import Player, read
from tests.virtual import run

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.scenario"))
SEEDS = (1, 2)


async def play(path: Path, seed: int) -> list[str]:
    return await Player(read(path), seed).play()


class Scenarios(unittest.TestCase):
    """One test per file, added below so that KNOWN-RED.txt can name each."""


def _test(path: Path) -> object:
    def test(self: Scenarios) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run(play(path, seed)), [])

    return test


for _path in FILES:
    setattr(Scenarios, "test_" + _path.stem.replace("-", "_"), _test(_path))
