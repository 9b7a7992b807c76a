"""Exceptions, each with its own type, fields and a stable error code."""

from typing import ClassVar


class CurranthallError(Exception):
    """Base class; the message is formatted from the fields only when it is needed."""

    code: ClassVar[str] = "error"
    status: ClassVar[int] = 500

    def __init__(self, **fields: object) -> None:
        super().__init__()
        self.fields = fields

    def __str__(self) -> str:
        return self.code + "".join(f" {key}={value}" for key, value in self.fields.items())


class BadInput(CurranthallError):
    """The caller sent invalid input."""

    code = "bad-input"
    status = 400


class MalformedHttp(BadInput):
    """The peer violated the HTTP syntax."""

    code = "malformed-http"


class TooLarge(BadInput):
    """An HTTP head or body exceeds its size limit."""

    code = "too-large"
    status = 413


class SlowClient(BadInput):
    """The client took too long to send its request."""

    code = "slow-client"
    status = 408


class UnknownName(BadInput):
    """The named customer, service, class, domain, job or other object does not exist."""

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
    """A row changed since the version on which the write is based."""

    code = "conflict"
    status = 409


class RateExceeded(CurranthallError):
    """The caller made too many calls of a kind; the call had no effect."""

    code = "rate-exceeded"
    status = 429


class NotRun(CurranthallError):
    """The request certainly did not run."""

    code = "not-run"
    status = 503


class Unknown(CurranthallError):
    """The request may or may not have run."""

    code = "unknown"
    status = 504


class PlatformDown(CurranthallError):
    """The platform did not accept the call; it had no effect."""

    code = "platform-down"
    status = 503


class HistoryLost(CurranthallError):
    """The feed no longer holds the changes after the requested version."""

    code = "history-lost"
    status = 503


class AnswerLost(CurranthallError):
    """A call was sent but not answered; its effect is unknown."""

    code = "answer-lost"
    status = 504


class ConnectFailed(CurranthallError):
    """No connection could be made; no byte was sent."""

    code = "connect-failed"
    status = 503


class Fenced(CurranthallError):
    """The worker refused a token or epoch that is not the one in force."""

    code = "fenced"
    status = 409


class OtherBoot(CurranthallError):
    """Another boot answers at the worker's address, so the expected boot has ended."""

    code = "other-boot"
    status = 421


class Refused(CurranthallError):
    """The worker refused a call; it certainly had no effect."""

    code = "refused"
    status = 503


class PeerUnreachable(CurranthallError):
    """No message can be sent to the peer."""

    code = "peer-unreachable"
    status = 503


class SettingsInvalid(CurranthallError):
    """The settings file has errors, listed in the field `problems`."""

    code = "settings-invalid"


class NotReady(CurranthallError):
    """The entry has no configuration yet or does not know the verb of a call."""

    code = "not-ready"
    status = 503
