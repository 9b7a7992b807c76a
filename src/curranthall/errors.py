"""Failures, each with its own type, its fields and a stable code."""

from typing import ClassVar


class CurranthallError(Exception):
    """Root of every failure; subclasses carry fields and format themselves late."""

    code: ClassVar[str] = "error"
    status: ClassVar[int] = 500

    def __init__(self, **fields: object) -> None:
        super().__init__()
        self.fields = fields

    def __str__(self) -> str:
        return self.code + "".join(f" {key}={value}" for key, value in self.fields.items())


class BadInput(CurranthallError):
    """The caller sent something that can't be accepted."""

    code = "bad-input"
    status = 400


class MalformedHttp(BadInput):
    """The peer broke the HTTP grammar or a size limit."""

    code = "malformed-http"


class TooLarge(BadInput):
    """A head or a body is over its limit."""

    code = "too-large"
    status = 413


class SlowClient(BadInput):
    """The client took too long to send its request."""

    code = "slow-client"
    status = 408


class UnknownName(BadInput):
    """No such customer, service, class, domain or job."""

    code = "unknown-name"
    status = 404


class BadDeadline(BadInput):
    """The deadline is missing, not a number or out of range."""

    code = "bad-deadline"


class Unauthorized(CurranthallError):
    """The token is missing or wrong."""

    code = "unauthorized"
    status = 401


class Conflict(CurranthallError):
    """The row changed since the revision the edit was made on."""

    code = "conflict"
    status = 409


class NotRun(CurranthallError):
    """The request certainly did not run."""

    code = "not-run"
    status = 503


class Unknown(CurranthallError):
    """The request may or may not have run."""

    code = "unknown"
    status = 504


class PlatformDown(CurranthallError):
    """The platform did not take the call; it had no effect."""

    code = "platform-down"
    status = 503


class HistoryLost(CurranthallError):
    """The feed no longer holds the changes after the version asked for."""

    code = "history-lost"
    status = 503


class AnswerLost(CurranthallError):
    """A call was sent and no answer came; its effect is unknown."""

    code = "answer-lost"
    status = 504


class ConnectFailed(CurranthallError):
    """No connection could be made; no byte was sent."""

    code = "connect-failed"
    status = 503


class Fenced(CurranthallError):
    """The worker refused a token that is no longer the newest."""

    code = "fenced"
    status = 409


class OtherBoot(CurranthallError):
    """Another boot answers at the worker's address: the one called is over."""

    code = "other-boot"
    status = 421


class Refused(CurranthallError):
    """The worker provably refused a call; it had no effect."""

    code = "refused"
    status = 503


class PeerUnreachable(CurranthallError):
    """No message could be sent to the peer."""

    code = "peer-unreachable"
    status = 503


class SettingsInvalid(CurranthallError):
    """The settings file has errors, listed in the field `problems`."""

    code = "settings-invalid"


class NotReady(CurranthallError):
    """The entry has no configuration yet or is shutting down."""

    code = "not-ready"
    status = 503
