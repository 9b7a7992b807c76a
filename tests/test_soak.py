"""A short fault soak of one fixed seed, with real processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests.soak import soak

SHORT_SEED = 1
SHORT_S = 12.0


class FaultSoak(unittest.TestCase):
    def test_short_soak_has_no_violations(self) -> None:
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            self.assertEqual(asyncio.run(soak(SHORT_SEED, SHORT_S, Path(folder))), [])


if __name__ == "__main__":
    unittest.main()
