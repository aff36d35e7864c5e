"""The operators' HTTP API: settings by team, status, dump, metrics and health checks."""

from __future__ import annotations

import hmac
import typing

import msgspec

from sassafraslock import clock, errors, header_names, http_messages, settings_check
from sassafraslock.decisions import revisions
from sassafraslock.path import answer
from sassafraslock.services import settings_store

UNAUTHENTICATED_PATHS = ("/healthz", "/readyz")
JSON = (b"content-type", b"application/json")
TEXT = (b"content-type", b"text/plain; version=0.0.4")


class SettingsAnswer(msgspec.Struct, frozen=True):
    """A team's settings with their revision."""

    team: str
    revision: int
    document: typing.Any


class HistoryLine(msgspec.Struct, frozen=True):
    """An accepted change of a team's settings."""

    revision: int
    change_id: str
    wall_ms: int
    author: str
    document: typing.Any


class Status(msgspec.Struct, frozen=True):
    """A summary of an entry; ages are in milliseconds."""

    entry_id: str
    version: str
    region: str
    zone: str
    ready: bool
    leaving: bool
    revision: int
    facts_age_ms: int
    members: list[str]
    servers: int
    evacuated: list[str]
    in_flight: int
    splits: dict[str, dict[str, float]]


class EntryState(typing.Protocol):
    """The parts of an entry that the operators' API shows."""

    def status(self, now_ms: int) -> Status:
        """Return a summary.

        :param now_ms: the current monotonic time.
        """

    def dump(self) -> dict[str, object]:
        """Return the state and failure count of every service by its name."""

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


class OperatorApi:
    """Handles the requests of operators.

    If ``token`` is not empty, every path except health and readiness requires it as a bearer
    token. If ``store`` is ``None``, the platform manages the settings, and requests for them get
    status 404.
    """

    __slots__ = ("_state", "_store", "_token")

    def __init__(
        self, state: EntryState, store: settings_store.SettingsStore | None, token: str
    ) -> None:
        self._state = state
        self._store = store
        self._token = token

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return the response to a request.

        :param request: the operator's request.
        """
        if request.path not in UNAUTHENTICATED_PATHS and not self._is_authorized(request):
            refusal = errors.Refusal(
                errors.ErrorKind.UNAUTHORIZED,
                "operator token is missing or wrong; send it as authorization: Bearer TOKEN",
            )
            return _refusal_response(refusal)
        result = await self._handle(request)
        if isinstance(result, errors.Refusal):
            return _refusal_response(result)
        if isinstance(result, bytes):
            return http_messages.Response(200, [TEXT], result)
        body = msgspec.json.encode(result, enc_hook=str)
        return http_messages.Response(200, [JSON], body)

    def _is_authorized(self, request: http_messages.Request) -> bool:
        expected = f"Bearer {self._token}".encode()
        given = request.header(b"authorization").encode("latin-1")
        return not self._token or hmac.compare_digest(given, expected)

    async def _handle(self, request: http_messages.Request) -> object:
        name = request.path.strip("/").partition("/")[2]
        match request.method, "/" + request.path.split("/")[1]:
            case "GET", "/healthz":
                return {"ok": True}
            case "GET", "/readyz":
                return self._readiness()
            case "GET", "/metrics":
                return self._state.render_metrics()
            case "GET", "/status":
                return self._state.status(clock.monotonic_ms())
            case "GET", "/dump":
                return self._state.dump()
            case "GET", "/settings":
                return await self._get_settings(name)
            case "PUT", "/settings":
                return await self._put_settings(name, request)
            case "GET", "/history":
                return await self._history(name)
        return errors.Refusal(
            errors.ErrorKind.NOT_FOUND, f"unknown operation: {request.method} {request.path}"
        )

    def _readiness(self) -> object:
        if self._state.status(clock.monotonic_ms()).ready:
            return {"ready": True}
        return errors.Refusal(
            errors.ErrorKind.NOT_READY,
            "entry is starting or stopping, or has no routing configuration or servers yet",
        )

    async def _get_settings(self, team: str) -> object:
        if self._store is None:
            return _settings_elsewhere()
        row = await self._store.get(team)
        if isinstance(row, errors.Refusal):
            return row
        return SettingsAnswer(team, row.revision, msgspec.json.decode(row.document))

    async def _put_settings(self, team: str, request: http_messages.Request) -> object:
        if self._store is None:
            return _settings_elsewhere()
        if not team or "/" in team:
            reason = (
                f"team name {team!r} is empty or contains a slash;"
                " use a path such as PUT /settings/TEAM?revision=3"
            )
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        revision = request.parameter("revision")
        if not revision.isascii() or not revision.isdigit():
            reason = (
                f"revision {revision!r} is not a whole number; add ?revision=N with the revision"
                " that the change is based on, 0 for a new team"
            )
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        document = _parse_body(request)
        if isinstance(document, settings_check.Problem):
            return _invalid_settings([document])
        author = request.header(b"sassafraslock-author") or "operator"
        result = await self._store.put(team, document, int(revision), author, clock.wall_ms())
        if isinstance(result, list):
            return _invalid_settings(result)
        if isinstance(result, revisions.SubtreeRow):
            return SettingsAnswer(team, result.revision, msgspec.json.decode(result.document))
        return result

    async def _history(self, team: str) -> object:
        if self._store is None:
            return _settings_elsewhere()
        rows = await self._store.history(team)
        if isinstance(rows, errors.Refusal):
            return rows
        return [
            HistoryLine(
                r.revision, r.change_id, r.wall_ms, r.author, msgspec.json.decode(r.document)
            )
            for r in rows
        ]


def _parse_body(request: http_messages.Request) -> typing.Any:
    if "json" in request.header(b"content-type"):
        try:
            return msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            return settings_check.Problem("", f"not valid JSON: {error}", "correct the syntax")
    return settings_check.parse_toml(request.body.decode(errors="replace"))


def _invalid_settings(problems: list[settings_check.Problem]) -> errors.Refusal:
    reason = "; ".join(str(p) for p in problems)
    return errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, reason)


def _settings_elsewhere() -> errors.Refusal:
    reason = "the platform manages the settings of this entry; change them there"
    return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)


def _refusal_response(refusal: errors.Refusal) -> http_messages.Response:
    return answer.refusal_response(refusal, b"", header_names.HeaderNames())
