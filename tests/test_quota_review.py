"""Tests of requests for parts of customers' limits that starve."""

import unittest

from curranthall.cells.shares import Need, Request, Shares, rebalance


class LargeRequests(unittest.TestCase):
    """Guards against a request above half of the limit that keeps parts idle for ever."""

    # Cell c can't start its task with 333 parts, and gets no more; 333 parts are free, which cell b
    # left to cell a, and cell a to the older request of cell b.
    SHARES = Shares(
        ("a", "b", "c"),
        {"acme": {"a": 0, "b": 334}},
        {
            "acme": {
                "a": Request(334, 1_000, 24, 334),
                "b": Request(333, 666, 19, 333),
                "c": Request(334, 667, 16, 667),
            }
        },
        24,
    )

    def test_it_gives_its_parts_to_tasks_that_fit(self) -> None:
        found = rebalance(self.SHARES, "c", {"acme": Need(0, 667, 1_334)})
        assert found is not None
        self.assertLess(found.held("acme", "c"), 333)

    def test_tasks_that_fit_take_free_parts_before_it(self) -> None:
        found = rebalance(self.SHARES, "b", {"acme": Need(334, 667, 1_000)})
        assert found is not None
        self.assertEqual(found.held("acme", "b"), 667)


if __name__ == "__main__":
    unittest.main()
