"""Command line interface."""

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from curranthall.errors import CurranthallError, SettingsInvalid

EXIT_FAILED = 1
EXIT_USAGE = 2
DEFAULT_AT = "127.0.0.1:8100"


def _run(main: Coroutine[Any, Any, Any]) -> Any:
    try:
        return asyncio.run(main)
    except KeyboardInterrupt:
        return None
    except CurranthallError as exc:
        print(f"curranthall: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _configure_logging(on: bool) -> None:
    from absl import logging

    logging.set_verbosity(logging.INFO if on else logging.WARNING)
    logging.use_absl_handler()


def _print_result(value: Any, as_json: bool) -> None:
    if as_json:
        print(json.dumps(value, indent=2))
        return
    rows = value if isinstance(value, list) else [value]
    print(_format_table(rows))


def _format_table(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return "(nothing)"
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_format_value(row.get(name, "")) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in [columns, *cells]) for i in range(len(columns))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in [columns, *cells]
    ]
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    return json.dumps(value) if isinstance(value, dict | list) else str(value)


class _RemoteCommands:
    def __init__(self, at: str = DEFAULT_AT, token: str = "") -> None:
        self._at = at
        self._token = token

    def _call(self, path: str, value: Any = None) -> Any:
        def send(client: Any) -> Any:
            return client.get(path) if value is None else client.post(path, value)

        return _run(self._with_client(send))

    def _edit(self, kind: str, name: str, columns: dict[str, Any]) -> Any:
        return _run(self._with_client(lambda client: client.edit(kind, name, columns)))

    async def _with_client(self, send: Callable[[Any], Awaitable[Any]]) -> Any:
        from curranthall.client import OperatorClient

        client = OperatorClient(self._at, self._token)
        try:
            return await send(client)
        finally:
            client.close()

    def _check_in_force(self, revision: int) -> None:
        result = self._call(f"/v1/force/{revision}")
        if result["in_force"]:
            print(f"revision {revision} is in force everywhere")
            return
        print(f"revision {revision} is not in force at: {', '.join(result['behind'])}")
        sys.exit(EXIT_FAILED)


class Table(_RemoteCommands):
    """Show and change the configuration table."""

    def show(self, kind: str = "", json: bool = False) -> None:
        """Show the rows in force."""
        table = self._call("/v1/table")
        if json:
            _print_result(table, True)
            return
        for name, rows in table["rows"].items():
            if kind in ("", name):
                print(f"{name}:\n{_format_table(rows)}\n")

    def set(self, kind: str, name: str, wait: bool = False, **columns: Any) -> None:
        """Change columns of a row or add a row; --wait waits until it is in force everywhere."""
        result = self._edit(kind, name, columns)
        print(f"{result['key']} is at version {result['version']}")
        if wait:
            self._check_in_force(result["revision"])

    def load(self, file: str) -> None:
        """Import the rows of a file (JSON with comments) that are new or differ."""
        import json5

        with open(file, encoding="utf-8") as text:
            result = self._call("/v1/import", json5.load(text))
        print("\n".join(result["written"]) or "nothing to change")

    def export(self) -> None:
        """Print all rows in the format that `import` reads."""
        rows = self._call("/v1/table")["rows"]
        plain = {
            kind: {
                row["name"]: {k: v for k, v in row.items() if k not in ("name", "version")}
                for row in listed
            }
            for kind, listed in rows.items()
        }
        print(json.dumps(plain, indent=2))

    def history(self, json: bool = False) -> None:
        """Show the accepted edits, newest first."""
        _print_result(self._call("/v1/history"), json)


# `import` is a keyword, so it can't be used in a method definition.
setattr(Table, "import", Table.load)


class Domain(_RemoteCommands):
    """Take failure domains out of service and back."""

    def out(self, name: str, wait: bool = False) -> None:
        """Take a failure domain out of service."""
        self._set_state(name, "out", wait)

    def _set_state(self, name: str, state: str, wait: bool) -> None:
        result = _run(self._with_client(lambda client: client.set_domain_state(name, state)))
        print(f"failure domain {name}: {state}, revision {result['revision']}")
        if wait:
            self._check_in_force(result["revision"])

    def into(self, name: str, wait: bool = False) -> None:
        """Bring a failure domain back."""
        self._set_state(name, "in", wait)


setattr(Domain, "in", Domain.into)


class Job(_RemoteCommands):
    """Submit, inspect and control jobs."""

    def submit(
        self, customer: str, key: str, cls: str, tasks: int, deadline_s: float, json: bool = False
    ) -> None:
        """Submit a job; repeating a key has no further effect."""
        value = {
            "customer": customer,
            "key": key,
            "class": cls,
            "tasks": tasks,
            "deadline_s": deadline_s,
        }
        _print_result(self._call("/v1/jobs", value), json)

    def status(self, job: str, json: bool = False) -> None:
        """Show the number of a job's tasks by state."""
        _print_result(self._call(f"/v1/jobs/{job}"), json)

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        _print_result(self._call(f"/v1/jobs/{job}/cancel", {}), False)

    def close(self, job: str) -> None:
        """Close a watcher job, which ends its tasks."""
        _print_result(self._call(f"/v1/jobs/{job}/close", {}), False)

    def resume(self, job: str) -> None:
        """Resume a job's held tasks."""
        _print_result(self._call(f"/v1/jobs/{job}/resume", {}), False)


class Standin:
    """Run stand-ins for the platform and the workers."""

    def platform(self, port: int = 0) -> None:
        """Run the platform stand-in."""
        _run(_run_platform(port))

    def worker(
        self,
        name: str,
        domain: str,
        platform: str,
        port: int = 0,
        cores: float = 16,
        memory: float = 64,
        serve_ms: float = 20,
    ) -> None:
        """Run a worker stand-in and register it with the platform."""
        _run(_run_worker(name, domain, platform, port, cores, memory, serve_ms))


async def _run_platform(port: int) -> None:
    from curranthall.standin.servers import PlatformServer

    bound_port = await PlatformServer().start("127.0.0.1", port)
    print(f"ready platform={bound_port}", flush=True)
    await asyncio.sleep(float("inf"))


async def _run_worker(
    name: str, domain: str, platform: str, port: int, cores: float, memory: float, serve_ms: float
) -> None:
    import time

    from curranthall.model import Host, HostState, Size
    from curranthall.standin.servers import WorkerServer

    size = Size(cores, memory, 0)
    host = Host(name, domain, f"{domain}-r1", "", size, 8, 64, HostState.LIVE)
    server = WorkerServer(host, str(time.time_ns()), serve_ms / 1000)
    bound_port = await server.start("127.0.0.1", port)
    await server.register(platform)
    print(f"ready worker={bound_port}", flush=True)
    await asyncio.sleep(float("inf"))


class Commands:
    """A scheduler for latency-critical and batch work side by side on shared hosts."""

    def __init__(self, at: str = DEFAULT_AT, token: str = "") -> None:
        self.table = Table(at, token)
        self.domain = Domain(at, token)
        self.job = Job(at, token)
        self.standin = Standin()
        self._remote = _RemoteCommands(at, token)

    def entry(self, settings: str) -> None:
        """Run an entry; SIGTERM shuts it down gracefully."""
        from curranthall.process import run_entry

        cfg = _load_settings_or_exit(settings)
        _configure_logging(cfg.log_decisions)
        _run(run_entry(cfg))

    def check(self, file: str) -> None:
        """Check a settings file and list all errors."""
        cfg = _load_settings_or_exit(file)
        print(f"{file}: good, entry {cfg.id} in failure domain {cfg.domain}")

    def demo(self, seconds: float = -1, logs: bool = False) -> None:
        """Run a demo in one process; --seconds 0 runs it until Ctrl-C."""
        from curranthall.demo import DEFAULT_SECONDS, run_demo

        _configure_logging(logs)
        is_good = _run(run_demo(DEFAULT_SECONDS if seconds < 0 else seconds))
        if is_good is False:
            sys.exit(EXIT_FAILED)

    def status(self, json: bool = False) -> None:
        """Show an entry's status, peers and workers."""
        summary = self._remote._call("/v1/status")
        if json:
            _print_result(summary, True)
            return
        peers, workers = summary.pop("peers"), summary.pop("workers")
        _print_result(summary, False)
        print("\npeers:\n" + _format_table(peers))
        print(
            "\nworkers:\n" + _format_table([{"name": name, **row} for name, row in workers.items()])
        )

    def load(
        self,
        callers: str,
        service: str,
        customer: str,
        rate: float = 50,
        seconds: float = 10,
        deadline_ms: float = 1000,
    ) -> None:
        """Send a bounded load to a comma-separated list of caller ports."""
        _run(_run_load(callers.split(","), service, customer, rate, seconds, deadline_ms))


async def _run_load(
    callers: list[str],
    service: str,
    customer: str,
    rate: float,
    seconds: float,
    deadline_ms: float,
) -> None:
    from curranthall.load import Load

    load = Load(callers, service, customer)
    await load.run(rate, seconds, deadline_ms)
    load.close()
    for quantile in (0.5, 0.9, 0.99):
        print(f"p{quantile * 100:g}_ms={load.quantile_ms(quantile):.2f}")
    print(" ".join(f"{name}={count}" for name, count in sorted(load.outcomes.items())))


def _load_settings_or_exit(file: str) -> Any:
    from curranthall.settings import load_settings

    try:
        return load_settings(file)
    except SettingsInvalid as exc:
        problems = exc.fields["problems"]
        assert isinstance(problems, list)
        print("\n".join(f"{file}: {problem}" for problem in problems), file=sys.stderr)
        sys.exit(EXIT_USAGE)


def main() -> None:
    """Run the command given in `sys.argv`."""
    match sys.argv[1:]:
        case ["entry", "--settings", file] | ["entry", file] if not file.startswith("-"):
            # An entry's memory is limited, so Fire is not imported for it.
            Commands().entry(file)
            return
    from fire import Fire

    Fire(Commands, name="curranthall")
