"""Links between entries: one late answer costs no other call; a silent link is dropped."""

import asyncio
import unittest
from typing import Any

from curranthall.errors import AnswerLost, PeerUnreachable
from curranthall.link import SILENT_AFTER, SocketMesh

KEY = b"k" * 32
LOOPBACK = "127.0.0.1"


class Links(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.near, self.far = SocketMesh("near", KEY), SocketMesh("far", KEY)
        self.far.handler = self.answer
        port = await self.far.start(LOOPBACK, 0)
        self.near.dial(f"{LOOPBACK}:{port}")
        while "far" not in self.near.peers():
            await asyncio.sleep(0.01)

    async def asyncTearDown(self) -> None:
        await self.near.close()
        await self.far.close()

    async def answer(self, peer: str, verb: str, body: Any) -> Any:
        """Answer after as many seconds as the body says."""
        await asyncio.sleep(body)
        return verb

    async def test_a_late_answer_costs_no_other_call(self) -> None:
        other = asyncio.ensure_future(self.near.call("far", "other", 0.4, 2.0))
        with self.assertRaises(AnswerLost):
            await self.near.call("far", "late", 1.0, 0.1)
        self.assertEqual(await other, "other")

    async def test_a_silent_link_is_dropped_and_dialled_again(self) -> None:
        for _ in range(SILENT_AFTER):
            with self.assertRaises(AnswerLost):
                await self.near.call("far", "never", 30.0, 0.05)
        await asyncio.sleep(0.05)
        with self.assertRaises((PeerUnreachable, AnswerLost)):
            await self.near.call("far", "soon", 0.0, 0.05)
        for _ in range(200):
            if "far" in self.near.peers():
                break
            await asyncio.sleep(0.02)
        self.assertEqual(await self.near.call("far", "soon", 0.0, 1.0), "soon")


if __name__ == "__main__":
    unittest.main()
