"""HTTP client: an answer that arrives while the caller's own process is busy."""

import asyncio
import socket
import struct
import threading
import time
import unittest
from contextlib import suppress
from unittest import mock

from curranthall import http, timeouts
from curranthall.admission import Admission, Limits
from curranthall.errors import AnswerLost
from curranthall.http import HttpClient, HttpServer, Request, Response, json_response

LOOPBACK = "127.0.0.1"
# One pass of the caller's loop; a new connection takes about six.
BUSY_PASS_S = 0.15
TIMEOUT_S = 0.6
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class BusyCaller(unittest.TestCase):
    def setUp(self) -> None:
        self.ready = threading.Event()
        self.server_loop = asyncio.new_event_loop()
        self.stopped = asyncio.Event()
        self.server = threading.Thread(target=self.serve)
        self.server.start()
        self.ready.wait()

    def tearDown(self) -> None:
        self.server_loop.call_soon_threadsafe(self.stopped.set)
        self.server.join()

    def serve(self) -> None:
        """Serve in another thread, so that only the caller is busy."""

        async def main() -> None:
            server = HttpServer(self.answer)
            self.port = await server.start(LOOPBACK, 0)
            self.ready.set()
            await self.stopped.wait()
            await server.drain(0.0)

        self.server_loop.run_until_complete(main())
        self.server_loop.close()

    async def answer(self, req: Request) -> Response:
        """Answer after the number of seconds given as the body."""
        await asyncio.sleep(req.json())
        return json_response({})

    def call_while_busy(self, server_s: float) -> Response:
        """Call over a new connection while each pass of the loop takes long."""

        async def main() -> Response:
            loop = asyncio.get_running_loop()

            def keep_busy() -> None:
                time.sleep(BUSY_PASS_S)
                loop.call_soon(keep_busy)

            client = HttpClient(f"{LOOPBACK}:{self.port}", 1)
            loop.call_soon(keep_busy)
            try:
                return await client.json("POST", "/", server_s, TIMEOUT_S)
            finally:
                client.close()

        return asyncio.run(main())

    def test_a_busy_caller_does_not_drop_an_answer_that_came_in_time(self) -> None:
        self.assertEqual(self.call_while_busy(0.0).status, 200)

    def test_a_busy_caller_still_gives_up_on_a_server_that_does_not_answer(self) -> None:
        with self.assertRaises(AnswerLost):
            self.call_while_busy(30.0)


class Timeouts(unittest.IsolatedAsyncioTestCase):
    def serve(self, answer_after_s: float) -> HttpClient:
        """Answer one request from a thread; return a client of it."""
        listener = socket.create_server((LOOPBACK, 0))

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
        return HttpClient(f"{LOOPBACK}:{listener.getsockname()[1]}", 1)

    async def test_an_answer_that_came_while_the_process_was_busy_is_not_lost(self) -> None:
        client = self.serve(answer_after_s=0.1)
        call = asyncio.create_task(client.call("POST", "/", timeout=0.3))
        await asyncio.sleep(0.05)
        # The answer arrives and the timeout passes in one turn of the loop.
        time.sleep(0.5)
        self.assertEqual((await call).body, b"ok")
        client.close()

    async def test_a_call_that_is_answered_in_time_needs_no_ticks(self) -> None:
        client = self.serve(answer_after_s=0.1)
        with mock.patch.object(timeouts._LoopLag, "open") as opened:
            await client.call("POST", "/", timeout=1.0)
        client.close()
        opened.assert_not_called()

    async def test_an_answer_that_has_not_come_in_time_is_lost(self) -> None:
        client = self.serve(answer_after_s=0.6)
        began = time.monotonic()
        with self.assertRaises(AnswerLost):
            await client.call("POST", "/", timeout=0.2)
        self.assertLess(time.monotonic() - began, 0.5)


class Refusals(unittest.IsolatedAsyncioTestCase):
    """What a server of a small budget does with clients that exceed it."""

    async def asyncSetUp(self) -> None:
        self.handled: list[str] = []
        self.let_go = asyncio.Event()
        self.server = await self.serve(Limits(100_000, 3))

    async def serve(self, limits: Limits) -> HttpServer:
        """Start a server."""
        server = HttpServer(self.answer, 80_000, Admission(limits))
        await server.start(LOOPBACK, 0)
        self.addAsyncCleanup(server.drain, 0.0)
        return server

    async def answer(self, req: Request) -> Response:
        """Answer; at /hold only when told to."""
        self.handled.append(req.path)
        if req.path == "/hold":
            await self.let_go.wait()
        return Response(200, b"x" * (32_000_000 if req.path == "/large" else 2))

    async def send(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send some bytes."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.server.port)
        self.addCleanup(writer.close)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        return reader, writer

    def make_post(self, path: str, length: int, sent: int) -> bytes:
        """Return a request of which a part of the body is sent."""
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n"
        return head.encode() + b"x" * sent

    async def test_an_evicted_request_is_answered_503_and_not_handled(self) -> None:
        reader, _ = await self.send(self.make_post("/a", 70_000, 69_990))
        await self.send(self.make_post("/b", 60_000, 59_990))
        answer = await reader.read()
        self.assertIn(b"503", answer.splitlines()[0])
        self.assertIn(b"Retry-After", answer)
        other, _ = await self.send(self.make_post("/c", 3, 3))
        self.assertIn(b"200", await other.readline())
        self.assertEqual(self.handled, ["/c"])

    async def test_a_request_that_a_handler_has_is_answered_whatever_comes(self) -> None:
        # It may have an effect already, so an answer 503 would not be true.
        reader, _ = await self.send(self.make_post("/hold", 70_000, 70_000))
        for _ in range(5):
            await self.send(self.make_post("/b", 60_000, 59_990))
        self.let_go.set()
        self.assertIn(b"200", await reader.readline())
        self.assertEqual(self.handled, ["/hold"])

    async def test_over_the_limit_the_oldest_idle_connection_is_closed(self) -> None:
        idle = [await self.send(b"") for _ in range(4)]
        self.assertEqual(await idle[0][0].read(), b"")
        self.assertFalse(idle[1][0].at_eof())
        self.assertEqual(self.server.admission.connections, 3)

    async def test_an_answer_that_is_not_read_ends_the_connection(self) -> None:
        # A client that never reads would hold the answer's memory and a descriptor for good.
        self.server = await self.serve(Limits(100_000_000, 3))
        with mock.patch.object(http, "WRITE_TIMEOUT_S", 0.2):
            await self.send(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(10):
                while self.server.admission.connections:
                    await asyncio.sleep(0.02)
        self.assertEqual(self.server.admission.dropped, {"unread": 1})
        self.assertEqual(self.server.admission.held, 0)

    async def test_framing_is_limited_beside_the_body(self) -> None:
        # Extensions of chunks are no part of the body and would pass its limit.
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        reader, writer = await self.send(head)
        with suppress(ConnectionError):
            for _ in range(200):
                writer.write(b"1;e=" + b"a" * 8_000 + b"\r\nx\r\n")
                await writer.drain()
        self.assertIn(b"413", await reader.readline())
        self.assertEqual(self.handled, [])

    async def test_a_head_request_is_answered_without_a_body(self) -> None:
        # The body was refused by the parser, and with it the whole answer was lost.
        reader, writer = await self.send(b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"content-length: 2\r\n", (await reader.readuntil(b"\r\n\r\n")).lower())
        writer.write(self.make_post("/b", 2, 2))
        head, _, body = (await reader.readuntil(b"\r\n\r\nxx")).partition(b"\r\n\r\n")
        self.assertEqual((head[9:12], body), (b"200", b"xx"))

    async def test_a_malformed_request_after_head_is_answered(self) -> None:
        # The method of the request before must not take the body from the answer.
        reader, writer = await self.send(b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"nonsense\r\n\r\n")
        self.assertIn(b" 400 ", await reader.readuntil(b"\r\n\r\n"))
        self.assertIn(b"malformed", await reader.read())

    async def test_a_client_that_waits_to_send_its_body_is_told_to(self) -> None:
        # Else it waits for a second, or until the limit of the time to read a request.
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        reader, writer = await self.send(head)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertIn(b" 100 ", await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"xx")
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\nxx"))
        writer.write(self.make_post("/b", 2, 2))
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\nxx"))

    async def test_a_client_that_resets_gives_up_its_wait_for_a_turn(self) -> None:
        # Else a crowd that resets keeps its connections, and its requests are parsed before others.
        admission = self.server.admission
        admission.parsing.request(admission.parsing.new_number(), 0.0, lambda: True)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        _, writer = await self.send(head + b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
        self.assertEqual((admission.connections, admission.parsing.waiting), (1, 1))
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.assertEqual((admission.connections, admission.parsing.waiting), (0, 0))
        self.assertEqual((admission.held, self.handled), (0, []))

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        requests = self.make_post("/a", 50_000, 50_000) + self.make_post("/b", 50_000, 50_000)
        reader, _ = await self.send(requests * 3)
        for _ in range(6):
            self.assertIn(b"200", await reader.readuntil(b"\r\n\r\nxx"))
        self.assertEqual(self.handled, ["/a", "/b"] * 3)
        self.assertEqual(self.server.admission.held, 0)


if __name__ == "__main__":
    unittest.main()
