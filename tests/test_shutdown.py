"""The process of an entry ends with nothing but log lines, whatever signals it gets."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

from curranthall.events import Event
from tests.soak import EntryProcess, Soak

TERM, HUP = signal.SIGTERM, signal.SIGHUP
# Limit for an entry to load its cell, and time to call the store and its workers after that.
LOAD_LIMIT_S = 60.0
START_S = 3.0
END_S = 12.0


class Shutdown(unittest.IsolatedAsyncioTestCase):
    async def end(self, number: int, *signals: signal.Signals, cut: bool = False) -> str:
        """Start an entry with two workers and end it by signals; return its exit code and output.

        The number selects its address.
        """
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(1, 0, Path(folder))
            address = await soak.store.start()
            entry = EntryProcess(soak, number, "a")
            soak.entries = [entry]
            soak._write_config()
            for _ in range(2):
                await soak._add_worker("a")
            await entry.write_settings(address)
            await entry.start()
            self.addAsyncCleanup(soak.close)
            await self.wait_until_loaded(soak.folder / f"{entry.name}.log")
            await asyncio.sleep(START_S)
            if cut:
                await entry.store_link.stop()
            for each in signals:
                entry.send_signal(each)
                await asyncio.sleep(0.2)
            assert entry.process is not None
            code = await asyncio.wait_for(entry.process.wait(), END_S)
            return f"exit {code}\n" + (soak.folder / f"{entry.name}.log").read_text()

    async def wait_until_loaded(self, output: Path) -> None:
        """Wait until an entry has loaded its cell: before, it may not handle signals yet."""
        async with asyncio.timeout(LOAD_LIMIT_S):
            while f'"event":{Event.CELL_LOADED.value}' not in output.read_text():
                await asyncio.sleep(0.1)

    async def test_no_connection_is_left_open(self) -> None:
        """Connections that were idle used to print an error each when the process had ended."""
        outputs = await asyncio.gather(
            self.end(0, TERM),
            self.end(1, HUP, TERM),
            self.end(2, TERM, HUP, TERM),
            self.end(3, TERM, cut=True),
        )
        for number, output in enumerate(outputs):
            with self.subTest(number=number):
                self.assertTrue(output.startswith("exit 0\n"))
                self.assertIn(f'"event":{Event.DAEMON_STOPPED.value}', output)
                self.assertNotIn("Traceback", output)


if __name__ == "__main__":
    unittest.main()
