"""Checks that no worker's lease outlasts the times that its cell's stored rows tell others."""

import asyncio

from curranthall.cells.owner import (
    CELL_PART,
    CELL_TABLE,
    DETAIL_TABLE,
    decode_details_row,
    decode_owner,
)
from tests.cluster import Cluster, now

STEP_S = 0.05


class LeaseJudge:
    """Reports each lease beyond its stored end or that of all orders; once a worker.

    While nothing runs there, a lease may outlast an end from before the worker's boot: a holder
    that has not stored a roster with it grants leases, but sends no start.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.broken: list[str] = []
        self._cluster = cluster
        self._reported: set[str] = set()
        self._stepper = asyncio.ensure_future(self._step_until_closed())

    def close(self) -> None:
        """Stop watching."""
        self._stepper.cancel()

    async def _step_until_closed(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            for cell in self._cluster.domains:
                self._check(cell)

    def _check(self, cell: str) -> None:
        store = self._cluster.store
        row = store.find(CELL_TABLE, CELL_PART, cell)
        details_row = store.find(DETAIL_TABLE, CELL_PART, cell)
        if row is None or row.value is None or details_row is None:
            return
        owner, details = decode_owner(row.value), decode_details_row(details_row)
        lease_ends = details.lease_ends if details.epoch == owner.epoch else {}
        for name, runner in self._cluster.runners.items():
            own_end_ms = lease_ends.get(name, 0)
            if not runner.running and own_end_ms < runner.born:
                own_end_ms = 0
            ends = [end_ms for end_ms in (owner.orders_until_ms, own_end_ms) if end_ms]
            left_s = runner.lease_left_s()
            if name[0] != cell or left_s <= 0 or not ends or name in self._reported:
                continue
            late_s = now() + left_s - min(ends) / 1000
            if late_s > 0:
                self._reported.add(name)
                self.broken.append(
                    f"{now():.3f} a lease {late_s:.3f} s beyond its stored end: {name}, row of"
                    f" {owner.holder or 'none'}, epoch {owner.epoch}, ends {ends}"
                )
