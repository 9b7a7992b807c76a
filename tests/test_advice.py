"""Queues whose workers an advisor chooses: asked before a start, by tickets that end."""

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

    def asked(self) -> list[AskAdvice]:
        """Plan; give the questions, which come instead of starts."""
        self.cell.core.plan(self.cell.now)
        return self.cell.take(AskAdvice)

    def answer(self, question: AskAdvice, **tickets: str) -> None:
        """Answer a question."""
        now = self.cell.now
        self.cell.core.on_advice(question, Advice(tickets, VALID_S), now, now)

    def look(self) -> None:
        """Have both workers answer."""
        for name in ("w1", "w2"):
            self.cell.answer(name)

    def test_a_start_waits_for_the_answer_and_carries_the_ticket(self) -> None:
        (question,) = self.asked()
        self.assertEqual(set(question.workers), {"w1", "w2"})
        self.assertEqual(self.cell.take(StartTask), [])
        self.answer(question, w1="t1")
        orders = self.cell.plan()
        self.assertEqual({(each.worker, each.ticket) for each in orders}, {("w1", "t1")})
        self.assertEqual(len(orders), 2)

    def test_one_question_at_a_time(self) -> None:
        self.assertEqual(len(self.asked()), 1)
        self.assertEqual(self.asked(), [])

    def test_a_worker_that_was_turned_down_is_not_asked_about_again(self) -> None:
        (question,) = self.asked()
        self.answer(question)
        self.cell.now += 1
        self.look()
        self.assertEqual(self.asked(), [])
        self.assertEqual(self.cell.take(StartTask), [])

    def test_an_old_ticket_is_not_sent(self) -> None:
        (question,) = self.asked()
        self.answer(question, w1="t1")
        self.cell.now += VALID_S
        self.look()
        (question,) = self.asked()
        self.assertEqual(question.workers, ("w1",))
        self.assertEqual(self.cell.take(StartTask), [])
        self.answer(question, w1="t2")
        self.assertEqual({order.ticket for order in self.cell.plan()}, {"t2"})

    def test_another_boot_needs_a_ticket_of_its_own(self) -> None:
        (question,) = self.asked()
        self.answer(question, w1="t1")
        self.cell.answer("w1", born=BORN + 1)
        self.cell.core.confirm_roster(["w1"])
        (question,) = self.asked()
        self.assertEqual(question.workers, ("w1",))

    def test_a_refused_ticket_is_asked_for_anew(self) -> None:
        (question,) = self.asked()
        self.answer(question, w1="t1")
        for order in self.cell.plan():
            self.cell.core.on_start_result(order, StartResult.NO_TICKET, self.cell.now)
        self.assertEqual(self.asked(), [])
        self.cell.now += 1
        self.look()
        (question,) = self.asked()
        self.assertEqual(question.workers, ("w1",))

    def test_while_the_advisor_is_away_tasks_stay_and_it_is_asked_again(self) -> None:
        (question,) = self.asked()
        for _ in range(4):
            self.cell.core.on_advice(question, None, self.cell.now, self.cell.now)
            self.assertEqual(self.asked(), [])
            self.assertEqual(self.cell.core.stranded(0.0, self.cell.now), [])
            self.cell.now += 0.6
            self.look()
            (question,) = self.asked()

    def test_other_queues_ask_nothing(self) -> None:
        self.cell.queue = self.cell.queue._replace(advised=False)
        self.cell.core.reconfigure()
        self.assertEqual(len(self.cell.plan()), 2)
        self.assertEqual(self.cell.take(AskAdvice), [])


class Asking(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.response = json_response({"approved": [["w1", "t1"]], "validity-ms": 3000})
        self.bodies: list[object] = []
        self.server = HttpServer(self.handle)
        port = await self.server.start(LOOPBACK, 0)
        self.advisor = PlatformAdvisor(f"{LOOPBACK}:{port}")
        self.question = AskAdvice("1" * 16, 0, 2, ("w1", "w2"))

    async def asyncTearDown(self) -> None:
        self.advisor.close()
        await self.server.drain(0)

    async def handle(self, req: Request) -> Response:
        self.bodies.append((req.path, req.json()))
        return self.response

    async def test_the_call(self) -> None:
        self.assertEqual(await self.advisor.ask(self.question), Advice({"w1": "t1"}, 3.0))
        body = {"step": "1" * 16 + ".0.2", "workers": ["w1", "w2"]}
        self.assertEqual(self.bodies, [("/v1/advise", body)])

    async def test_a_busy_advisor_and_none_at_all(self) -> None:
        self.response = json_response({}, 429)
        for advisor in (self.advisor, PlatformAdvisor("")):
            with self.assertRaises(ConnectFailed):
                await advisor.ask(self.question)

    async def test_an_unreadable_answer(self) -> None:
        for body in (b"{", b"[]", b'{"approved":[["w1"]],"validity-ms":1}', b'{"approved":[]}'):
            self.response = Response(200, body)
            with self.assertRaises(AnswerLost):
                await self.advisor.ask(self.question)

    def test_a_queue_with_an_advisor_is_known_by_its_configuration(self) -> None:
        route = {"name": "q", "hostname": "h", "path-prefix": "/q/", "backend": "desk"}
        advised = {**route, "advisor": {"decision-ms": 5, "per-item-ms": 1, "validity-ms": 3000}}
        config = {"version": 1, "routes": [route, advised], "services": []}
        found = decode_operation(Row("op", "", "config", orjson.dumps(config), 1))
        self.assertEqual([each.queue.advised for each in found.routes], [False, True])  # type: ignore


if __name__ == "__main__":
    unittest.main()
