"""Checks that no worker's lease outlasts the time that its cell's stored row tells others."""

import asyncio

from curranthall.cells.owner import CELL_PART, CELL_TABLE, Owner, decode_owner
from tests.cluster import Cluster, now

STEP_S = 0.05


class LeaseJudge:
    """Reports each lease beyond the stored end of orders, whoever granted it; once a worker."""

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
                row = self._cluster.store.find(CELL_TABLE, CELL_PART, cell)
                if row is not None and row.value is not None:
                    self._check(cell, decode_owner(row.value))

    def _check(self, cell: str, owner: Owner) -> None:
        if not owner.orders_until_ms:
            return
        for name, runner in self._cluster.runners.items():
            left_s = runner.lease_left_s()
            late_s = now() + left_s - owner.orders_until_ms / 1000
            if name[0] == cell and left_s > 0 < late_s and name not in self._reported:
                self._reported.add(name)
                self.broken.append(
                    f"{now():.3f} a lease {late_s:.3f} s beyond the stored end of orders: {name},"
                    f" row of {owner.holder or 'none'}, epoch {owner.epoch}"
                )
