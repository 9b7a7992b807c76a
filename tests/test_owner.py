"""Cell ownership: when a cell may be taken, by which entry, and how long a successor waits."""

import unittest
from collections.abc import Collection

from cbor2 import dumps, loads

from curranthall.catalogue import Catalogue, Operations, Route
from curranthall.cells.load import Load, Waiting
from curranthall.cells.owner import (
    CELL_TABLE,
    DETAIL_TABLE,
    FEW_CORES_S,
    GAP_S,
    ORDER_LIMIT_S,
    OTHER_DOMAIN_S,
    RENEW_S,
    TOO_FEW_CORES_S,
    UNREADABLE_OWNER,
    VACANT_S,
    Claimant,
    Details,
    Owner,
    OwnerWatch,
    Vacancy,
    decode_details,
    decode_details_row,
    decode_owner,
)
from curranthall.dag import Queue
from curranthall.store import Listing, Row
from curranthall.values import DECODE_ERRORS
from tests.cell_fixtures import host, job
from tests.odd_input import list_odd_values

HOLD_S = 6.0
# Workers' clocks may be 2 % slow.
SLOW_CLOCK = 1.02
ME = Claimant("e1", "e1:1", 11, "north", 1.0)
OTHER = Owner("e2", "e2:1", 5, 7, {}, {})


class Watching(unittest.TestCase):
    def setUp(self) -> None:
        self.watch = OwnerWatch(("north",), HOLD_S)
        self.now = 100.0
        self.version = 1

    def read(self, owner: Owner | None, renewed: bool = False) -> None:
        """Observe the owner row 0.5 s after the last read."""
        self.now += 0.5
        self.version += renewed
        rows = [Row(CELL_TABLE, "", "north", owner.encode(), self.version)] if owner else []
        self.watch.observe(Listing(rows, 9, 0), self.now)

    def vacancy(self, me: Claimant = ME, held: Collection[str] = ()) -> Vacancy | None:
        """Return the cell that may be taken now, if there is one."""
        found = self.watch.vacancy(me, held, self.now)
        return found if found is not None and found.takeable_at <= self.now else None

    def test_a_row_that_is_renewed_is_never_vacant(self) -> None:
        for _ in range(30):
            self.read(OTHER, renewed=True)
            self.assertIsNone(self.vacancy())

    def test_a_row_without_renewal_is_vacant_after_a_while(self) -> None:
        self.read(OTHER)
        began = self.now
        while self.vacancy() is None:
            self.read(OTHER)
        self.assertGreaterEqual(self.now - began, VACANT_S)
        self.assertLess(self.now - began, VACANT_S + 1.0)

    def test_a_successor_waits_until_all_leases_of_a_silent_holder_have_lapsed(self) -> None:
        self.read(OTHER)
        began = self.now
        while (found := self.vacancy()) is None:
            self.read(OTHER)
        self.assertGreaterEqual(found.proof_at, began + ORDER_LIMIT_S * SLOW_CLOCK)
        self.assertGreaterEqual(found.proof_at, self.now + HOLD_S)

    def test_the_holders_timeout_restarts_after_a_store_outage(self) -> None:
        self.read(OTHER)
        self.now += 20
        self.read(OTHER)
        self.assertIsNone(self.vacancy())

    def read_written(self, age_s: float, owner: Owner = OTHER) -> None:
        """Observe 0.8 s after the last read a renewal that was written `age_s` before."""
        self.now += 0.8
        self.version += 1
        owner = owner._replace(written_ms=int((self.now - age_s) * 1000))
        row = Row(CELL_TABLE, "", "north", owner.encode(), self.version)
        self.watch.observe(Listing([row], 9, int(self.now * 1000)), self.now)

    def is_doubtful(self, lost_at: float) -> bool:
        """Return whether the holder may be gone now."""
        return self.watch.is_doubtful("north", lost_at, self.now)

    def test_a_lost_link_makes_a_holder_doubtful_until_a_renewal_was_written_later(self) -> None:
        """A row that was written before the holder was killed may be first read after that."""
        self.read_written(0.1)
        self.read_written(0.1)
        self.assertFalse(self.is_doubtful(-float("inf")))
        lost_at = self.now + 0.3
        self.assertTrue(self.is_doubtful(lost_at))
        self.read_written(0.6)
        self.assertTrue(self.is_doubtful(lost_at))
        self.read_written(0.6)
        self.assertFalse(self.is_doubtful(lost_at))

    def test_an_outage_of_the_store_does_not_hide_a_lost_link(self) -> None:
        """The holder's timeout restarts, but nothing shows that it works."""
        self.read(OTHER)
        lost_at = self.now + 0.1
        self.now += GAP_S - 0.45
        self.read(OTHER)
        self.assertFalse(self.is_doubtful(-float("inf")))
        self.assertTrue(self.is_doubtful(lost_at))

    def test_a_holder_is_doubtful_before_it_may_be_replaced_but_not_between_renewals(self) -> None:
        self.read_written(0.0)
        self.now += 2 * RENEW_S
        self.assertFalse(self.is_doubtful(-float("inf")))
        self.now += 0.2
        self.assertTrue(self.is_doubtful(-float("inf")))
        self.assertIsNotNone(self.watch.live_holder("north", self.now))

    def test_a_restarted_process_takes_its_cell_at_once(self) -> None:
        self.read(OTHER._replace(holder="e1", address="e1:1", incarnation=3))
        found = self.vacancy()
        assert found is not None
        self.assertGreaterEqual(found.proof_at, self.now + HOLD_S)

    def test_the_full_wait_applies_if_the_holder_had_not_fenced_all_workers(self) -> None:
        for owner in (
            OTHER._replace(holder="", fenced=False),
            OTHER._replace(holder="e1", address="e1:1", incarnation=3, fenced=False),
        ):
            self.setUp()
            self.read(owner)
            began = self.now
            self.read(owner)
            found = self.vacancy()
            assert found is not None
            self.assertGreaterEqual(found.proof_at, began + ORDER_LIMIT_S * SLOW_CLOCK)

    def test_the_same_name_at_another_address_is_another_process(self) -> None:
        self.read(OTHER._replace(holder="e1", address="elsewhere:1", incarnation=3))
        self.assertIsNone(self.vacancy())

    def test_a_released_cell_goes_to_its_own_domain_first(self) -> None:
        self.read(OTHER._replace(holder=""))
        self.read(OTHER._replace(holder=""))
        self.assertIsNotNone(self.vacancy())
        self.assertIsNone(self.vacancy(ME._replace(domain="south")))
        self.assertIsNone(self.vacancy(held=("a", "b", "c")))

    def test_an_entry_that_gave_a_cell_up_abstains(self) -> None:
        self.watch.abstain_until["north"] = self.now + 30
        for _ in range(20):
            self.read(OTHER._replace(holder=""))
        self.assertIsNone(self.vacancy())

    def test_an_entry_leaves_a_cell_longer_the_more_cores_it_lacks(self) -> None:
        self.read(OTHER._replace(workers=40))
        cores = (0.0, 0.3, 0.6, 2.0)
        delays = [self.watch.weak_delay_s("north", ME._replace(cores=n), ()) for n in cores]
        self.assertEqual(delays, [TOO_FEW_CORES_S, TOO_FEW_CORES_S / 2, 0.0, 0.0])

    def test_the_cores_for_cells_already_held_do_not_count_for_another(self) -> None:
        self.watch = OwnerWatch(("north", "south"), HOLD_S)
        self.read(OTHER._replace(workers=40))
        self.watch.record("south", OTHER._replace(workers=80), 1, self.now)
        delay_s = self.watch.weak_delay_s("north", ME._replace(cores=1.5), ("south",))
        self.assertAlmostEqual(delay_s, TOO_FEW_CORES_S / 2)

    def test_rows_survive_encoding_and_decoding(self) -> None:
        load = Load(8.0, 4.0, 2.0, Waiting(1.0, 2.0, {"f": 3.0}), {"f": 1.5}, {"s": 4.0})
        owner = OTHER._replace(load={"desk": load}, waiting={"q": 2}, workers=3)
        self.assertEqual(decode_owner(owner.encode()), owner)
        earlier = dumps(loads(owner.encode())[:6])
        self.assertEqual(decode_owner(earlier), owner._replace(fenced=False, workers=0))
        starts = (("w1", f"{'1' * 16}.0.0.3", 7_000_001, 1_500),)
        learned = [["s", "f", 1, 0.1]]
        roster = [host("w1"), host("w2")]
        details = Details(roster, learned, {"w1": 8_000}, 7, ("w2",), starts)
        self.assertEqual(decode_details(details.encode()), details)
        for length in (2, 3, 4, 5):
            found = decode_details(dumps(loads(details.encode())[:length]))
            lease_ends = details.lease_ends if length > 2 else {}
            epoch = details.epoch if length > 3 else 0
            unheard = details.unheard if length > 4 else ()
            earlier_details = details._replace(
                lease_ends=lease_ends, epoch=epoch, unheard=unheard, open_starts=()
            )
            self.assertEqual(found, earlier_details)

    def test_lease_ends_count_only_if_the_holder_in_the_owner_row_wrote_them(self) -> None:
        details = Details([host("w1")], [], {"w1": 8_000}, OTHER.epoch, version=3)
        for owner, version, counts in (
            (OTHER, 3, True),
            (OTHER._replace(holder=""), 3, True),
            # The owner row was renewed since, without a change of the details.
            (OTHER, 4, True),
            # The details were changed after the owner row.
            (OTHER, 2, False),
            (OTHER._replace(epoch=OTHER.epoch + 1), 4, False),
            (UNREADABLE_OWNER, 3, False),
            (None, 3, False),
        ):
            with self.subTest(owner=owner, version=version):
                vacancy = Vacancy("north", owner, version, 0.0, 9.0, 0.0)
                ends = vacancy.drop_foreign_ends(details).lease_ends
                self.assertEqual(ends, {"w1": 8_000} if counts else {})

    def test_a_local_time_is_never_converted_to_an_earlier_one_of_the_stores_clock(self) -> None:
        self.assertIsNone(self.watch.store_time_of(110.0))
        for read_at in (100.0, 100.3, 100.5):
            listing = Listing([], 9, int(read_at * 1000) - 60_000)
            self.watch.observe(listing, 100.5, 100.0)
            self.assertGreaterEqual(self.watch.store_time_of(110.0) or 0, 50_000)

    def test_a_time_of_the_stores_clock_is_never_taken_to_be_over_too_early(self) -> None:
        # The store read its clock up to 0.5 s before the answer arrived at 100.5.
        for read_at in (100.0, 100.3, 100.5):
            self.watch.observe(Listing([], 9, int(read_at * 1000) - 60_000), 100.5)
            self.assertGreaterEqual(self.watch.local_time_of(50_000), 110.0)


class OddRows(unittest.TestCase):
    """Rows of a cell that cannot be read; each has a holder that nobody knows."""

    load = Load(8.0, 4.0, 2.0, Waiting(1.0, 2.0, {"f": 3.0}), {"f": 1.5}, {"s": 4.0})
    owner = OTHER._replace(load={"desk": load}, waiting={"q": 2}, written_ms=7, workers=3)

    def test_an_odd_row_is_held_by_somebody_until_it_stands_still(self) -> None:
        """It raised out of the loop that takes cells: the entry took no cell any more."""
        for name, data in list_odd_values(self.owner.encode()).items():
            with self.subTest(name):
                watch, now = OwnerWatch(("north", "south"), HOLD_S), 100.0
                for version in range(5, 8):
                    now += 0.5
                    rows = [
                        Row(CELL_TABLE, "", "north", data, version),
                        Row(CELL_TABLE, "", "south", self.owner.encode(), version),
                    ]
                    watch.observe(Listing(rows, version, 0), now)
                self.assertEqual(watch.holder("south"), self.owner)
                if watch.holder("north") != UNREADABLE_OWNER:
                    # A value that another version may have left; only its type is odd.
                    self.assertEqual(watch.epoch("north"), self.owner.epoch)
                    continue
                vacancy = watch.vacancy(ME, ("south",), now)
                assert vacancy is not None
                self.assertGreaterEqual(vacancy.takeable_at, now + VACANT_S)
                self.assertGreaterEqual(vacancy.proof_at, now + ORDER_LIMIT_S)

    def test_a_row_with_an_epoch_that_no_holder_has_taken_is_odd(self) -> None:
        """Each later holder would take a greater one, up to what no worker accepts."""
        watch = OwnerWatch(("north",), HOLD_S)
        row = Row(CELL_TABLE, "", "north", self.owner._replace(epoch=10).encode(), 9)
        watch.observe(Listing([row], 9, 0), 100.0)
        self.assertEqual(watch.holder("north"), UNREADABLE_OWNER)

    def test_an_odd_load_is_no_row(self) -> None:
        loads_of = {
            "a text": {"desk": "load"},
            "NaN": {"desk": [float("nan")]},
            "infinite": {"desk": [float("inf")]},
            "cores a text": {"desk": ["8"]},
            "room a text": {"desk": [8, 1, 1, [0, 0, {}], {"f": "1"}]},
            "waiting a list": {"desk": [8, 1, 1, [0, 0, []]]},
            "service a number": {5: [8]},
        }
        for name, load in loads_of.items():
            with self.subTest(name), self.assertRaises(DECODE_ERRORS):
                decode_owner(dumps([*self.owner[:4], load, {}, True, 0, 0]))

    def test_details_of_a_later_version_keep_their_roster(self) -> None:
        details = Details([host("w1")], [["s", "f", 1, 0.1]], {"w1": 5})
        roster, learned, *more = loads(details.encode())
        later = dumps([[[*worker, "more"] for worker in roster], learned, *more, {"more": 1}])
        self.assertEqual(decode_details(later), details)

    def test_loads_of_a_later_version_are_read(self) -> None:
        later = loads(self.owner.encode())
        later[4] = {service: [*load, 1.0] for service, load in later[4].items()}
        self.assertEqual(decode_owner(dumps(later)), self.owner)

    def test_odd_details_leave_the_workers_unknown(self) -> None:
        """They raised in the loop that takes cells, and ended the cells that learn from them."""
        details = Details([host("w1"), host("w2")], [["s", "f", 1, 0.1]])
        odd = list_odd_values(details.encode())
        for at in range(len(host("w1"))):
            values: list[object] = [None, {}, float("nan"), 10**30]
            for value in values:
                changed = loads(details.encode())
                changed[0][1][at] = value
                odd[f"field {at} of a worker: {value!r}"] = dumps(changed)
        rows: list[object] = [[], ["s"], ["s", 5, 1, 1], ["s", "f", "1", 1], "sfww", None]
        for row in [*rows, ["s", "f", float("nan"), 1], ["s", "f", 1, float("inf")]]:
            odd[f"learned {row}"] = dumps([loads(details.encode())[0], [row]])
        for name, data in odd.items():
            with self.subTest(name):
                found = decode_details_row(Row(DETAIL_TABLE, "", "north", data, 1))
                self.assertEqual(found, Details([], [], readable=False))


class Suitability(unittest.TestCase):
    """Entries that read the owner rows at different times, and the one that takes a cell first."""

    strong = Claimant("e1", "e1:1", 11, "north", 2.0)
    weak = Claimant("e4", "e4:1", 12, "north", 0.3)
    far = Claimant("e3", "e3:1", 13, "south", 2.0)

    def watch_from(self, at: float, owner: Owner, renewed_at: float) -> OwnerWatch:
        """Return a watch that reads every 0.8 s from `at` on, past the time of the last renewal."""
        watch = OwnerWatch(("north",), HOLD_S)
        while at < renewed_at + 0.8:
            renewed = at >= renewed_at
            row_owner = owner._replace(written_ms=int(renewed_at * 1000)) if renewed else owner
            row = Row(CELL_TABLE, "", "north", row_owner.encode(), 2 if renewed else 1)
            watch.observe(Listing([row], 9, int(at * 1000)), at)
            at += 0.8
        return watch

    def takeable_at(self, me: Claimant, first_read: float, owner: Owner = OTHER) -> float:
        """Return when an entry may take a cell that was last renewed at 102.0."""
        found = self.watch_from(first_read, owner, 102.0).vacancy(me, (), 102.8)
        assert found is not None
        return found.takeable_at

    def test_entries_agree_on_when_a_cell_is_vacant(self) -> None:
        times = [self.takeable_at(self.strong, 100 + phase / 10) for phase in range(8)]
        self.assertLess(max(times) - min(times), 0.01)
        self.assertAlmostEqual(min(times), 102.0 + VACANT_S, places=2)

    def test_an_entry_with_few_cores_waits_for_one_with_many_whoever_reads_first(self) -> None:
        last_strong = max(self.takeable_at(self.strong, 100 + phase / 10) for phase in range(8))
        first_weak = min(self.takeable_at(self.weak, 100 + phase / 10) for phase in range(8))
        self.assertGreater(first_weak, last_strong + 0.1)

    def test_a_late_read_shows_no_missed_renewal(self) -> None:
        watch = self.watch_from(100.0, OTHER, 102.0)
        row = Row(CELL_TABLE, "", "north", OTHER._replace(written_ms=103_000).encode(), 3)
        watch.observe(Listing([row], 9, 113_000), 113.0)
        found = watch.vacancy(self.strong, (), 113.0)
        assert found is not None
        self.assertGreaterEqual(found.takeable_at, 113.0 + VACANT_S)

    def test_workers_that_come_back_into_reach_are_left_to_the_best_suited_entry(self) -> None:
        released = OTHER._replace(holder="", workers=54)
        waits = {}
        for me in (self.strong, self.weak, self.far):
            watch = self.watch_from(100.0, released, 102.0)
            self.assertFalse(watch.note_probe("north", False, me, (), 110.0))
            found = watch.vacancy(me, (), 110.0)
            assert found is not None
            retry_at = found.takeable_at
            if watch.note_probe("north", True, me, (), retry_at):
                waits[me.name] = retry_at - 110.0
                continue
            found = watch.vacancy(me, (), retry_at)
            assert found is not None
            self.assertTrue(watch.note_probe("north", True, me, (), found.takeable_at))
            waits[me.name] = found.takeable_at - retry_at
        # The well suited entry needs at most one probe; the others wait longer after theirs.
        self.assertLess(waits["e1"], waits["e3"])
        self.assertLess(waits["e3"], waits["e4"])

    def test_a_silent_holders_cell_is_taken_soon_after_its_workers_are_back_in_reach(self) -> None:
        silent = OTHER._replace(workers=54)
        for me in (self.strong, self.weak, self.far):
            watch = self.watch_from(100.0, silent, 102.0)
            at = self.takeable(watch, me, 102.8)
            while at < 110.0:
                self.assertFalse(watch.note_probe("north", False, me, (), at))
                self.assertLessEqual(self.takeable(watch, me, at) - at, RENEW_S)
                at = self.takeable(watch, me, at)
            reached_at = at
            if not watch.note_probe("north", True, me, (), at):
                at = self.takeable(watch, me, at)
                self.assertTrue(watch.note_probe("north", True, me, (), at))
            # No more than the delay that leaves the cell to better suited entries.
            limit_s = OTHER_DOMAIN_S + FEW_CORES_S + TOO_FEW_CORES_S
            self.assertLessEqual(at - reached_at, limit_s)

    def takeable(self, watch: OwnerWatch, me: Claimant, now: float) -> float:
        """Return when an entry may take or probe the cell next."""
        found = watch.vacancy(me, (), now)
        assert found is not None
        return found.takeable_at

    def test_the_wait_for_leases_counts_from_when_the_row_was_seen(self) -> None:
        for phase in range(8):
            watch = self.watch_from(100 + phase / 10, OTHER, 102.0)
            found = watch.vacancy(self.strong, (), 102.8)
            assert found is not None
            seen_at = watch.observations["north"].since
            self.assertGreaterEqual(found.proof_at, seen_at + ORDER_LIMIT_S * SLOW_CLOCK)


class Configurations(unittest.TestCase):
    def test_an_older_configuration_is_not_applied(self) -> None:
        operations = Operations()
        route = Route("h", "/p/", Queue("q", "desk", max_attempts=2))
        newer = Catalogue(9, (route,), frozenset(("desk",)))
        self.assertTrue(operations.apply(newer))
        self.assertFalse(operations.apply(Catalogue(7, (), frozenset())))
        self.assertFalse(operations.apply(Catalogue(9, (), frozenset())))
        self.assertIs(operations.catalogue, newer)

    def test_jobs_of_a_removed_queue_keep_its_settings(self) -> None:
        operations = Operations()
        queue = Queue("q", "desk", max_attempts=4)
        operations.apply(Catalogue(1, (Route("h", "/p/", queue),), frozenset()))
        operations.apply(Catalogue(2, (), frozenset()))
        self.assertEqual(operations.queue_of(job()), queue._replace(version=1))


if __name__ == "__main__":
    unittest.main()
