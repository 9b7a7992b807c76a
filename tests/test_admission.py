"""Decisions of the budget for clients: who is dropped, who is admitted, who parses next."""

import random
import unittest

from curranthall.admission import (
    BODY_MARGIN_BYTES,
    REPORT_INTERVAL_S,
    Admission,
    Drop,
    Limits,
    ParseQueue,
    Slot,
    State,
    derive_limits,
)
from curranthall.events import Event, counts

LIMITS = Limits(held_bytes=1_000, connections=4)


class Budget(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.admission = Admission(LIMITS, lambda: self.now)
        self.dropped: list[tuple[str, Drop]] = []

    def open(self, name: str, state: State = State.READING, held: int = 0) -> Slot:
        """Admit a connection that must be admitted."""
        slot = self.admission.open(lambda reason: self.dropped.append((name, reason)))
        assert slot is not None
        self.admission.set_state(slot, state)
        self.admission.set_held(slot, held)
        return slot

    def test_the_largest_unfinished_body_is_dropped_first(self) -> None:
        self.open("small", held=100)
        self.open("large", held=600)
        self.open("new", held=350)
        self.assertEqual(self.dropped, [("large", Drop.BODY)])
        self.assertEqual(self.admission.held, 450)

    def test_of_equal_bodies_the_oldest_is_dropped(self) -> None:
        for name in ("first", "second", "third"):
            self.open(name, held=350)
        self.assertEqual(self.dropped, [("first", Drop.BODY)])

    def test_a_request_that_a_handler_has_is_never_dropped(self) -> None:
        # Else a job could run although its submission was answered 503.
        self.open("served", State.SERVING, held=900)
        self.open("reading", held=200)
        self.assertEqual(self.dropped, [("reading", Drop.BODY)])
        for number in range(3):
            self.open(f"served {number}", State.SERVING)
        self.assertIsNone(self.admission.open(self.fail))
        self.assertEqual(self.admission.dropped[Drop.REFUSED.value], 1)
        self.assertEqual(self.admission.connections, LIMITS.connections)

    def test_connections_that_hold_nothing_are_kept_when_handlers_hold_the_budget(self) -> None:
        # Else the pooled connections of all callers are closed, which frees no byte.
        self.open("idle", State.IDLE)
        self.open("served", State.SERVING, held=950)
        self.open("reading", held=100)
        self.assertEqual(self.dropped, [("reading", Drop.BODY)])

    def test_the_longest_idle_or_unfinished_connection_gives_way_to_a_new_one(self) -> None:
        slots = [self.open(name) for name in "abcd"]
        self.admission.set_state(slots[0], State.IDLE)
        self.admission.set_state(slots[1], State.SERVING)
        self.open("e")
        self.open("f")
        self.assertEqual(self.dropped, [("c", Drop.OLDEST), ("d", Drop.OLDEST)])

    def test_a_closed_connection_counts_no_more(self) -> None:
        slot = self.open("a", held=300)
        self.admission.close(slot)
        self.admission.close(slot)
        self.admission.set_held(slot, 5_000)
        self.admission.set_state(slot, State.IDLE)
        self.assertEqual((self.admission.held, self.admission.connections), (0, 0))
        self.assertEqual(self.dropped, [])

    def test_the_budget_is_kept_whatever_clients_do(self) -> None:
        rng = random.Random(7)
        slots: list[Slot] = []
        for _ in range(5_000):
            if rng.random() < 0.3:
                slot = self.admission.open(lambda reason: None)
                slots += [slot] if slot is not None else []
            elif slots:
                slot = rng.choice(slots)
                if rng.random() < 0.2:
                    self.admission.close(slot)
                self.admission.set_state(slot, rng.choice((State.IDLE, State.READING)))
                self.admission.set_held(slot, rng.randrange(900))
            slots = [slot for slot in slots if slot.is_open]
            self.assertLessEqual(self.admission.held, LIMITS.held_bytes)
            self.assertLessEqual(self.admission.connections, LIMITS.connections)
            self.assertEqual(self.admission.held, sum(slot.held for slot in slots))
            self.assertEqual(self.admission.connections, len(slots))

    def test_drops_are_reported_at_most_once_a_second(self) -> None:
        before = counts[Event.CLIENTS_DROPPED.name]
        for _ in range(1_000):
            self.admission.note_dropped(Drop.UNREAD)
            self.now += REPORT_INTERVAL_S / 400
        self.assertEqual(counts[Event.CLIENTS_DROPPED.name] - before, 3)
        self.assertEqual(self.admission.dropped[Drop.UNREAD.value], 1_000)

    def test_limits_follow_the_machine_and_leave_room_for_the_largest_body(self) -> None:
        limits = derive_limits(200, 4_100, 262_144)
        self.assertEqual(limits, Limits(50 * 1_048_576, 1_600))
        self.assertEqual(derive_limits(200, 400, 262_144).connections, 200)
        large = 64 * 1_048_576
        self.assertEqual(derive_limits(200, 400, large).held_bytes, large + BODY_MARGIN_BYTES)


class ParseTurns(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = ParseQueue()
        self.granted: list[str] = []

    def request(self, name: str, spent_s: float = 0.0, number: int | None = None) -> None:
        """Ask for a turn."""

        def grant() -> bool:
            self.granted.append(name)
            return True

        self.queue.request(self.queue.new_number() if number is None else number, spent_s, grant)

    def test_one_request_parses_at_a_time(self) -> None:
        self.request("a")
        self.request("b")
        self.assertEqual(self.granted, ["a"])
        self.queue.release(0.003)
        self.assertEqual(self.granted, ["a", "b"])
        self.queue.release(0.003)
        self.request("c")
        self.assertEqual(self.granted, ["a", "b", "c"])

    def test_a_new_request_goes_before_those_that_have_used_much(self) -> None:
        self.request("running")
        self.request("long", spent_s=1.0)
        self.request("new")
        self.queue.release(0.003)
        self.assertEqual(self.granted, ["running", "new"])

    def test_equal_requests_end_one_after_the_other(self) -> None:
        # In turns of a slice each, all of a crowd would end last.
        first, second = self.queue.new_number(), self.queue.new_number()
        self.request("first", 1.0, first)
        self.request("second", 1.0, second)
        self.request("first", 1.003, first)
        self.queue.release(0.003)
        self.assertEqual(self.granted, ["first", "first"])

    def test_a_wait_that_is_given_up_takes_no_turn(self) -> None:
        self.request("a")
        withdrawn = self.queue.request(self.queue.new_number(), 0.0, lambda: self.fail("granted"))
        # Its task was cancelled and has not run yet.
        self.queue.request(self.queue.new_number(), 0.0, lambda: False)
        self.request("b")
        self.queue.withdraw(withdrawn)
        self.assertEqual(self.queue.waiting, 2)
        self.queue.release(0.0)
        self.assertEqual(self.granted, ["a", "b"])

    def test_waits_that_are_given_up_do_not_pile_up(self) -> None:
        # A crowd that reconnects all the time could fill the memory with them.
        self.request("a")
        self.request("long", spent_s=1.0)
        for _ in range(10_000):
            number = self.queue.new_number()
            self.queue.withdraw(self.queue.request(number, 2.0, lambda: self.fail("granted")))
        self.assertEqual(self.queue.waiting, 1)
        self.assertLess(len(self.queue._waiting), 500)
        self.queue.release(0.0)
        self.assertEqual(self.granted, ["a", "long"])


if __name__ == "__main__":
    unittest.main()
