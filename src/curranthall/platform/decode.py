"""Decoders from the platform's rows and request bodies to the internal types."""

from typing import Any

import orjson

from curranthall.catalogue import Catalogue, Evacuation, MaintenanceWave, Operation, Route
from curranthall.customers import Customer, Customers, digest_key
from curranthall.dag import Job, Queue, Step
from curranthall.errors import BadInput
from curranthall.events import Event, log
from curranthall.model import Host, HostState, Size
from curranthall.store import Row
from curranthall.values import (
    DECODE_ERRORS,
    address,
    fields,
    items,
    name,
    number,
    reason,
    text,
    whole,
)

HOST_TABLE = "servers"
OPERATION_TABLE = "op"
MAX_SPEC_BYTES = 4_000
MAX_TASKS = 100_000
# The smallest step takes 28 bytes of a job's row, which holds 65,536. Decoding all steps of a body
# of the largest size took seconds of the event loop before the store refused the row.
MAX_STEPS = 2_340
MAX_OCCURRENCES = 100_000
HOST_STATES = {"ready": HostState.LIVE, "draining": HostState.LEAVING}
# No worker is larger; a larger figure is an error of its writer.
MAX_MILLICORES = 4_096_000
MAX_MEMORY_MB = 64 * 1_048_576
MAX_ACCELERATORS = 1_024
MAX_SLOTS = 1_000_000
# A worker may have shrunk to no cores, but shares of its cores are computed.
MIN_MILLICORES = 1


def decode_host(row: Row) -> Host | None:
    """Decode a worker's row; log an invalid one and return None."""
    try:
        value = fields(orjson.loads(row.value or b""))
        capacity, labels = fields(value["capacity"]), items(value["labels"])
        return Host(
            name=name(row.key),
            domain=text(value["zone"]),
            # `labels` lists the worker's kind first and its rack last.
            rack=text(labels[-1]),
            address=address(value["address"]),
            size=Size(
                max(MIN_MILLICORES, whole(capacity["cpu"], MAX_MILLICORES)) / 1000,
                whole(capacity["mem-mb"], MAX_MEMORY_MB),
                whole(capacity["gpus"], MAX_ACCELERATORS),
            ),
            slots=whole(value["slots"], MAX_SLOTS),
            connections=0,
            state=HOST_STATES[value["phase"]],
            # `backend` is the service whose tasks the worker runs.
            service=text(value["backend"]),
            labels=tuple(map(text, labels)),
            remaining_ms=whole(value.get("remaining-ms", 0)),
        )
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
        return None


def decode_operation(row: Row) -> Operation | None:
    """Decode an operator's row; return None for an unknown kind and, logged, for invalid data."""
    try:
        kind, _, name = row.key.partition("/")
        match kind:
            case "config":
                return _decode_catalogue(orjson.loads(row.value or b""))
            case "evacuate":
                return Evacuation(name)
            case "wave":
                return _decode_wave(orjson.loads(row.value or b""))
    except DECODE_ERRORS as exc:
        log(Event.ROW_SKIPPED, table=row.table, key=row.key, why=reason(exc))
    return None


def _decode_catalogue(row: object) -> Catalogue:
    value = fields(row)
    routes = tuple(_decode_route(fields(route)) for route in items(value["routes"]))
    services = frozenset(text(fields(service)["name"]) for service in items(value["services"]))
    # The platform's word for customers is `tenants`.
    tenants = items(value.get("tenants", []))
    customers = Customers(_decode_customer(fields(tenant)) for tenant in tenants)
    return Catalogue(whole(value["version"]), routes, services, customers)


def _decode_customer(value: dict[str, Any]) -> tuple[Customer, list[bytes]]:
    """Decode a customer and the digests of its keys; no error contains a key."""
    limit = fields(value.get("max-count", {}))
    customer = Customer(
        name=text(value["name"]),
        weight=number(value.get("weight", 1)),
        limit=Size(
            # `cpu` is in thousandths of a core.
            whole(limit.get("cpu", 0)) / 1000,
            whole(limit.get("mem-mb", 0)),
            whole(limit.get("gpus", 0)),
        ),
    )
    if not customer.name:
        # An empty name stands for jobs without a customer.
        raise ValueError("a customer without a name")
    keys = (text(key).encode() for key in items(value.get("api-keys", [])))
    return customer, [digest_key(key) for key in keys if key]


def _decode_route(value: dict[str, Any]) -> Route:
    queue = Queue(
        name=text(value["name"]),
        service=text(value["backend"]),
        priority=whole(value.get("priority", 0)),
        max_attempts=whole(value.get("max-attempts", 1)),
        stretch=number(value.get("stretch-factor", 1.0)),
        # `slo-ms` is added to the critical path's estimate times `stretch-factor`.
        objective_ms=whole(value.get("slo-ms", 0)),
        # `advisor` holds the advisor's timing; queues without an advisor lack the key.
        advised=bool(value.get("advisor")),
    )
    public = value.get("public", False)
    if not isinstance(public, bool):
        # Another type must not make a route public.
        raise ValueError(f"{type(public).__name__} instead of a boolean")
    return Route(text(value["hostname"]).lower(), text(value["path-prefix"]), queue, public)


def _decode_wave(row: object) -> MaintenanceWave:
    value = fields(row)
    return MaintenanceWave(
        whole(value["wave"]),
        tuple(map(text, items(value["machines"]))),
        number(value["duration-s"]),
        whole(value["max-count"]),
    )


def decode_job(job_id: str, queue: Queue, body: bytes, now_ms: float, customer: str = "") -> Job:
    """Decode a job that a customer submitted; raise BadInput."""
    try:
        value = fields(orjson.loads(body))
        spec = text(value.get("spec", ""))
        if len(spec.encode()) > MAX_SPEC_BYTES:
            raise BadInput(field="spec", limit=MAX_SPEC_BYTES)
        listed = items(value["steps"])
        if len(listed) > MAX_STEPS:
            raise BadInput(field="steps", limit=MAX_STEPS)
        steps = tuple(_decode_step(step, number) for number, step in enumerate(listed))
        job = Job(
            id=job_id,
            queue=queue.name,
            service=queue.service,
            spec=spec,
            steps=steps,
            accepted_ms=int(now_ms),
            occurrences=max(1, whole(value.get("repeat-count", 0), MAX_OCCURRENCES)),
            first_due_ms=whole(value.get("start-at-ms", 0)),
            interval_ms=whole(value.get("interval-ms", 0)),
            customer=customer,
        )
    except DECODE_ERRORS as exc:
        raise BadInput(field="body", found=reason(exc)) from exc
    if not steps or sum(step.width for step in steps) > MAX_TASKS:
        raise BadInput(field="steps", allowed=f"1 to {MAX_TASKS} tasks")
    return job


def _decode_step(value: dict[str, Any], number: int) -> Step:
    after = tuple(whole(previous) for previous in value.get("after", ()))
    if any(previous >= number for previous in after):
        raise BadInput(field="after", found=after, allowed="earlier steps")
    return Step(
        width=max(1, whole(value.get("count", 1), MAX_TASKS)),
        # `cpu` is in thousandths of a core.
        size=Size(
            whole(value.get("cpu", 0), MAX_MILLICORES) / 1000,
            whole(value.get("mem-mb", 0), MAX_MEMORY_MB),
            whole(value.get("gpus", 0), MAX_ACCELERATORS),
        ),
        estimate_ms=whole(value.get("estimated-ms", 0)),
        after=after,
        checkpointing=bool(value.get("checkpointing")),
        gang=bool(value.get("gang")),
        same_rack=bool(value.get("same-rack")),
        requires=text(value.get("requires", "")),
        # `affinity` is the rack that holds the data.
        near_rack=text(value.get("affinity", "")),
        max_per_worker=whole(value.get("max-per-server", 0)),
        copies=bool(value.get("allow-duplicates")),
        lasting=bool(value.get("long-running")),
        image=text(value.get("image", "")),
        target_ms=whole(value.get("target-ms", 0)),
        # A step with `fills` uses the cores that other tasks leave free.
        filling=bool(value.get("fills")),
        max_unavailable=whole(value.get("max-unavailable", 0)),
    )
