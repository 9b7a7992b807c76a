"""Queues whose workers need an advisor's approval: requests, tickets and their expiry."""

import unittest

import orjson

from curranthall.cells.advice import Advice
from curranthall.cells.ports import AskAdvice, StartResult, StartTask
from curranthall.errors import AnswerLost, ConnectFailed
from curranthall.http import HttpServer, Request, Response, json_response
from curranthall.platform.advisor import PlatformAdvisor
from curranthall.platform.decode import decode_operation
from curranthall.store import Row
from tests.cell_fixtures import BORN, Cell, host, job, step
from tests.platform_fakes import LOOPBACK

VALID_S = 3.0


class Tickets(unittest.TestCase):
    def setUp(self) -> None:
        self.cell = Cell(host("w1"), host("w2", cores=16))
        self.cell.queue = self.cell.queue._replace(advised=True)
        self.cell.add(job("1" * 16, step(2)))

    def plan_requests(self) -> list[AskAdvice]:
        """Plan; return the advisor requests, which are ordered instead of starts."""
        self.cell.dispatcher.plan(self.cell.now)
        return self.cell.take(AskAdvice)

    def answer(self, request: AskAdvice, **tickets: str) -> None:
        """Answer a request with tickets."""
        now = self.cell.now
        self.cell.dispatcher.on_advice(request, Advice(tickets, VALID_S), now, now)

    def refresh_workers(self) -> None:
        """Have both workers answer."""
        for name in ("w1", "w2"):
            self.cell.answer(name)

    def test_a_start_waits_for_the_answer_and_carries_the_ticket(self) -> None:
        (request,) = self.plan_requests()
        self.assertEqual(set(request.workers), {"w1", "w2"})
        self.assertEqual(self.cell.take(StartTask), [])
        self.answer(request, w1="t1")
        orders = self.cell.plan()
        self.assertEqual({(each.worker, each.ticket) for each in orders}, {("w1", "t1")})
        self.assertEqual(len(orders), 2)

    def test_one_request_at_a_time(self) -> None:
        self.assertEqual(len(self.plan_requests()), 1)
        self.assertEqual(self.plan_requests(), [])

    def test_a_rejected_worker_is_not_requested_again(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request)
        self.cell.now += 1
        self.refresh_workers()
        self.assertEqual(self.plan_requests(), [])
        self.assertEqual(self.cell.take(StartTask), [])

    def test_an_expired_ticket_is_not_sent(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, w1="t1")
        self.cell.now += VALID_S
        self.refresh_workers()
        (request,) = self.plan_requests()
        self.assertEqual(request.workers, ("w1",))
        self.assertEqual(self.cell.take(StartTask), [])
        self.answer(request, w1="t2")
        self.assertEqual({order.ticket for order in self.cell.plan()}, {"t2"})

    def test_a_restarted_worker_needs_a_new_ticket(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, w1="t1")
        self.cell.answer("w1", born=BORN + 1)
        (request,) = self.plan_requests()
        self.assertEqual(request.workers, ("w1",))

    def test_a_refused_ticket_is_requested_again(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, w1="t1")
        for order in self.cell.plan():
            self.cell.dispatcher.on_start_result(order, StartResult.NO_TICKET, self.cell.now)
        self.assertEqual(self.plan_requests(), [])
        self.cell.now += 1
        self.refresh_workers()
        (request,) = self.plan_requests()
        self.assertEqual(request.workers, ("w1",))

    def test_tasks_wait_and_requests_are_repeated_while_the_advisor_does_not_answer(self) -> None:
        (request,) = self.plan_requests()
        for _ in range(4):
            self.cell.dispatcher.on_advice(request, None, self.cell.now, self.cell.now)
            self.assertEqual(self.plan_requests(), [])
            self.assertEqual(self.cell.dispatcher.stranded(0.0, self.cell.now), [])
            self.cell.now += 0.6
            self.refresh_workers()
            (request,) = self.plan_requests()

    def test_queues_without_an_advisor_send_no_request(self) -> None:
        self.cell.queue = self.cell.queue._replace(advised=False)
        self.cell.dispatcher.reconfigure()
        self.assertEqual(len(self.cell.plan()), 2)
        self.assertEqual(self.cell.take(AskAdvice), [])


class AdvisorClient(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.response = json_response({"approved": [["w1", "t1"]], "validity-ms": 3000})
        self.bodies: list[object] = []
        self.server = HttpServer(self.handle)
        port = await self.server.start(LOOPBACK, 0)
        self.advisor = PlatformAdvisor(f"{LOOPBACK}:{port}")
        self.request = AskAdvice("1" * 16, 0, 2, ("w1", "w2"))

    async def asyncTearDown(self) -> None:
        self.advisor.close()
        await self.server.drain(0)

    async def handle(self, req: Request) -> Response:
        self.bodies.append((req.path, req.json()))
        return self.response

    async def test_the_request_and_the_answer_format(self) -> None:
        self.assertEqual(await self.advisor.ask(self.request), Advice({"w1": "t1"}, 3.0))
        body = {"step": "1" * 16 + ".0.2", "workers": ["w1", "w2"]}
        self.assertEqual(self.bodies, [("/v1/advise", body)])

    async def test_a_busy_or_missing_advisor_raises_connect_failed(self) -> None:
        self.response = json_response({}, 429)
        for advisor in (self.advisor, PlatformAdvisor("")):
            with self.assertRaises(ConnectFailed):
                await advisor.ask(self.request)

    async def test_an_unreadable_answer_raises_answer_lost(self) -> None:
        for body in (b"{", b"[]", b'{"approved":[["w1"]],"validity-ms":1}', b'{"approved":[]}'):
            self.response = Response(200, body)
            with self.assertRaises(AnswerLost):
                await self.advisor.ask(self.request)

    def test_the_configuration_marks_queues_with_an_advisor(self) -> None:
        route = {"name": "q", "hostname": "h", "path-prefix": "/q/", "backend": "desk"}
        advised = {**route, "advisor": {"decision-ms": 5, "per-item-ms": 1, "validity-ms": 3000}}
        config = {"version": 1, "routes": [route, advised], "services": []}
        found = decode_operation(Row("op", "", "config", orjson.dumps(config), 1))
        self.assertEqual([each.queue.advised for each in found.routes], [False, True])  # type: ignore


if __name__ == "__main__":
    unittest.main()
