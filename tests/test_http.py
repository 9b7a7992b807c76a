"""The HTTP client: what counts as an answer that was lost."""

import asyncio
import socket
import threading
import time
import unittest

from curranthall.errors import AnswerLost
from curranthall.http import HttpClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Timeouts(unittest.IsolatedAsyncioTestCase):
    def serve(self, answer_after_s: float) -> HttpClient:
        """Answer one request from a thread; return a client of it."""
        listener = socket.create_server(("127.0.0.1", 0))

        def answer() -> None:
            conn, _ = listener.accept()
            with listener, conn:
                conn.recv(65_536)
                time.sleep(answer_after_s)
                conn.sendall(ANSWER)
                conn.recv(1)

        thread = threading.Thread(target=answer)
        thread.start()
        self.addCleanup(thread.join)
        return HttpClient(f"127.0.0.1:{listener.getsockname()[1]}", 1)

    async def test_an_answer_that_came_while_the_process_was_busy_is_not_lost(self) -> None:
        client = self.serve(answer_after_s=0.1)
        call = asyncio.create_task(client.call("POST", "/", timeout=0.3))
        await asyncio.sleep(0.05)
        # The answer arrives and the timeout passes in one turn of the loop.
        time.sleep(0.5)
        self.assertEqual((await call).body, b"ok")
        client.close()

    async def test_an_answer_that_has_not_come_in_time_is_lost(self) -> None:
        client = self.serve(answer_after_s=0.6)
        began = time.monotonic()
        with self.assertRaises(AnswerLost):
            await client.call("POST", "/", timeout=0.2)
        self.assertLess(time.monotonic() - began, 0.5)


if __name__ == "__main__":
    unittest.main()
