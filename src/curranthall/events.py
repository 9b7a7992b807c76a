"""Numbered log events, listed in docs/EVENTS.md."""

from collections import Counter
from enum import Enum

from absl import logging

from curranthall.logwriter import LogWriter


class Event(Enum):
    """Every event that entries and daemons log, by number."""

    ENTRY_STARTED = 1001
    ENTRY_READY = 1002
    ENTRY_DRAINING = 1003
    ENTRY_STOPPED = 1004
    LOOP_FAILED = 1005
    PEER_UP = 1101
    PEER_SUSPECTED = 1102
    PEER_REFUSED = 1103
    FRAME_REFUSED = 1104
    LATE_ANSWER_DROPPED = 1105
    CONFIG_IN_FORCE = 1201
    PERMIT_LOST = 1202
    PERMIT_REGAINED = 1203
    PLATFORM_DOWN = 1204
    PLATFORM_BACK = 1205
    EDIT_ACCEPTED = 1206
    EDIT_CONFLICT = 1207
    LEASE_CLAIMED = 1301
    LEASE_FENCED = 1302
    LEASE_LAPSED = 1303
    LEASE_RELEASED = 1304
    TASK_VANISHED = 1305
    BLOCK_CLAIMED = 1401
    BLOCK_TAKEN_OVER = 1402
    BLOCK_RECOVERED = 1403
    BLOCK_WAITS_FOR_PROOF = 1404
    BLOCK_RELEASED = 1405
    BLOCK_DONE = 1406
    COMMIT_CONFLICT = 1407
    TASK_PLACED = 1501
    TASK_START_REFUSED = 1502
    TASK_START_UNKNOWN = 1503
    TASK_ENDED = 1504
    TASK_EVICTING = 1505
    TASK_THROTTLED = 1506
    TASK_NEVER_FITS = 1508
    WORKER_QUARANTINED = 1509
    CLASS_BACKED_OFF = 1510
    ORPHAN_STOPPED = 1511
    REQUEST_ROUTED = 1601
    REQUEST_NOT_RUN = 1602
    REQUEST_UNKNOWN = 1603
    REQUEST_RETRIED = 1604
    INPUT_REFUSED = 1605
    CLIENTS_DROPPED = 1606
    JOB_ACCEPTED = 1701
    JOB_CANCELLED = 1702
    ACCESS_DENIED = 1801
    DAEMON_STARTED = 2001
    DAEMON_LEAVING = 2002
    DAEMON_STOPPED = 2003
    SETTINGS_RELOADED = 2004
    STORE_FAILED = 2101
    FEED_RESTARTED = 2102
    ROW_SKIPPED = 2103
    DOMAINS_OUT = 2104
    CELL_TAKEN = 2201
    CELL_CONTESTED = 2202
    CELL_LOADED = 2203
    CELL_PROVEN = 2204
    CELL_LOST = 2205
    CELL_STATE = 2206
    CELL_OUT_OF_REACH = 2207
    JOB_STORED = 2301
    JOB_KNOWN = 2302
    JOB_REFUSED = 2303
    JOB_UNSURE = 2304
    JOB_CLOSED = 2305
    JOB_MOVED = 2306
    JOB_RELAYED = 2307
    JOB_ENDED = 2308
    JOB_OFFER_STALE = 2309
    JOB_ADOPTED = 2310
    CELL_CHOSEN = 2311
    JOB_NOT_MOVED = 2312
    PENDING_SHOWN = 2313
    JOB_REASSIGNED = 2314
    JOB_BEGUN = 2315
    JOB_MOVED_EARLY = 2320
    JOB_TOO_LATE = 2321
    REFUSAL_UNSURE = 2322
    JOB_NOT_STORED = 2323
    CANCEL_REFUSED = 2324
    RUN_PLACED = 2401
    RUN_REFUSED = 2402
    RUN_UNSURE = 2403
    RUN_ENDED = 2404
    RUN_VANISHED = 2405
    RUN_UNKNOWN = 2406
    RUN_RELIEVED = 2407
    ORDER_UNANSWERED = 2408
    ADVICE_TAKEN = 2409
    RUN_DUPLICATE = 2410
    ENDS_ACKED = 2411
    TASK_SUSPECTED = 2412
    TASK_GIVEN_UP = 2413
    RUN_CLEARED = 2414
    GANG_IDLE = 2415
    RUN_REAPPEARED = 2416
    ENDS_SKIPPED = 2417
    RUN_PREEMPTED = 2418
    LATE_JOBS_CHOSEN = 2419
    RUN_COPIED = 2420
    COPY_SETTLED = 2421
    STARTS_LEFT = 2422
    RUN_MISPLACED = 2423
    STARTS_UNPUBLISHED = 2424
    WORKER_SILENT = 2501
    WORKER_LAPSED = 2502
    WORKER_REBORN = 2503
    WORKER_PACED = 2504
    WORKER_GONE = 2505
    WORKER_CLOCK_BEHIND = 2506
    SHARES_WRITTEN = 2601


counts: Counter[str] = Counter()
_writer: LogWriter | None = None


def use_json(descriptor: int = 1) -> None:
    """Write events as JSON lines to a file descriptor, standard output by default."""
    global _writer
    _writer = LogWriter(descriptor)


def log(event: Event, **fields: object) -> None:
    """Count an event and write one line with its number, name and fields."""
    counts[event.name] += 1
    if _writer is not None:
        _writer.write(event, {key: _to_json_value(value) for key, value in fields.items()})
        return
    if logging.get_verbosity() < logging.INFO:
        return
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    logging.info("E%d %s %s", event.value, event.name.lower().replace("_", "-"), text)


def _to_json_value(value: object) -> object:
    return value if isinstance(value, str | int | float | list | dict | None) else str(value)
