"""Run an entry on the platform: `python -m curranthall.platform`."""

import asyncio
import signal
import sys

from curranthall.admission import Admission, derive_limits
from curranthall.daemon import Daemon, RowFormat
from curranthall.errors import SettingsInvalid
from curranthall.events import Event, log, use_json
from curranthall.http import HttpServer, Request, Response
from curranthall.platform.advisor import PlatformAdvisor
from curranthall.platform.decode import (
    HOST_TABLE,
    OPERATION_TABLE,
    decode_host,
    decode_operation,
)
from curranthall.platform.front import Frontend
from curranthall.platform.settings import load_deployment
from curranthall.platform.store import PlatformStore
from curranthall.platform.worker import PlatformWorker, is_reachable
from curranthall.telemetry import Telemetry

MAX_BODY_BYTES = 262_144
# Probes and scrapes have no body.
MAX_PROBE_BODY_BYTES = 4_096
# The platform stops sending connections after two failed probes, one second apart.
PROBE_WINDOW_S = 2.5
# Part of the grace period reserved for closing.
CLOSE_MARGIN_S = 1.0
# Also set in deploy/system.toml.
METRICS_PORT = 9_105
EXIT_USAGE = 2


class _MetricsHandler:
    def __init__(self, daemon: Daemon) -> None:
        self._telemetry = Telemetry(daemon.collect_samples)

    async def handle(self, req: Request) -> Response:
        """Answer a metrics scrape."""
        body, kind = self._telemetry.render()
        return Response(200, body, content_type=kind)


async def run() -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    deployment = load_deployment()
    store = PlatformStore(deployment.store)
    row_format = RowFormat(HOST_TABLE, OPERATION_TABLE, decode_host, decode_operation)
    advisor = PlatformAdvisor(deployment.advisor)
    admission = Admission(derive_limits(deployment.memory_mb, deployment.max_fds, MAX_BODY_BYTES))
    daemon = Daemon(
        deployment, store, row_format, PlatformWorker, is_reachable, advisor.ask, admission
    )
    frontend = Frontend(daemon)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    callers = HttpServer(frontend.handle, MAX_BODY_BYTES, admission)
    probes = HttpServer(frontend.handle_probe, MAX_PROBE_BODY_BYTES, admission)
    metrics = HttpServer(_MetricsHandler(daemon).handle, MAX_PROBE_BODY_BYTES, admission)
    await metrics.start(deployment.mesh.rpartition(":")[0], METRICS_PORT)
    await callers.start(*_split_address(deployment.frontend))
    await probes.start(*_split_address(deployment.readiness))
    await daemon.start()
    log(Event.DAEMON_STARTED, name=deployment.name, domain=deployment.domain)
    await stop.wait()
    log(Event.DAEMON_LEAVING, name=deployment.name, active=callers.active)
    callers.closing = True
    leaving_at = loop.time()
    await daemon.leave()
    await asyncio.sleep(max(0.0, PROBE_WINDOW_S - (loop.time() - leaving_at)))
    await callers.drain(max(0.0, deployment.grace_s - CLOSE_MARGIN_S - (loop.time() - leaving_at)))
    await daemon.stop()
    for server in (probes, metrics):
        await server.drain(0)
    store.close()
    advisor.close()
    log(Event.DAEMON_STOPPED, name=deployment.name)


def _reload() -> None:
    """Validate the settings file and log the outcome; new values apply at the next start."""
    try:
        load_deployment()
    except SettingsInvalid as exc:
        log(Event.SETTINGS_RELOADED, outcome="unreadable, the former stay", error=exc)
    else:
        log(Event.SETTINGS_RELOADED, outcome="read")


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> None:
    """Run the daemon; exit with status 2 if the settings are invalid."""
    use_json()
    try:
        asyncio.run(run())
    except SettingsInvalid as exc:
        log(Event.SETTINGS_RELOADED, outcome="invalid", error=exc)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    main()
