"""The operators' interface: settings by path, status, dump, metrics, health."""

from __future__ import annotations

import hmac
import typing

import msgspec

from sassafraslock import clock, errors, header_names, http_messages, settings_check
from sassafraslock.decisions import revisions
from sassafraslock.path import answer
from sassafraslock.services import settings_store

OPEN_PATHS = ("/healthz", "/readyz")
JSON = (b"content-type", b"application/json")
TEXT = (b"content-type", b"text/plain; version=0.0.4")


class SettingsAnswer(msgspec.Struct, frozen=True):
    """A team's subtree with its revision."""

    team: str
    revision: int
    document: typing.Any


class HistoryLine(msgspec.Struct, frozen=True):
    """One accepted change."""

    revision: int
    change_id: str
    wall_ms: int
    author: str
    document: typing.Any


class Status(msgspec.Struct, frozen=True):
    """A summary of one entry; ages in milliseconds."""

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
    """What the operators' interface shows of an entry."""

    def status(self, now_ms: int) -> Status:
        """Return a summary.

        :param now_ms: the present time.
        """

    def dump(self) -> dict[str, object]:
        """Return every service's state."""

    def render_metrics(self) -> bytes:
        """Return every metric as text."""


class OperatorApi:
    """Answers operators on an address of its own.

    A bearer token guards it where one is set. Settings are served where the entry keeps them.
    """

    __slots__ = ("_state", "_store", "_token")

    def __init__(
        self, state: EntryState, store: settings_store.SettingsStore | None, token: str
    ) -> None:
        self._state = state
        self._store = store
        self._token = token

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request.

        :param request: the operator's request.
        """
        if request.path not in OPEN_PATHS and not self._authorized(request):
            refusal = errors.Refusal(
                errors.ErrorKind.UNAUTHORIZED, "send the operator token as a bearer token"
            )
            return _refuse(refusal)
        result = await self._handle(request)
        if isinstance(result, errors.Refusal):
            return _refuse(result)
        if isinstance(result, bytes):
            return http_messages.Response(200, [TEXT], result)
        body = msgspec.json.encode(result, enc_hook=str)
        return http_messages.Response(200, [JSON], body)

    def _authorized(self, request: http_messages.Request) -> bool:
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
            errors.ErrorKind.NOT_FOUND, f"no operation {request.method} {request.path}"
        )

    def _readiness(self) -> object:
        if self._state.status(clock.monotonic_ms()).ready:
            return {"ready": True}
        return errors.Refusal(errors.ErrorKind.NOT_READY, "the settings are not current yet")

    async def _get_settings(self, team: str) -> object:
        if self._store is None:
            return _no_settings()
        row = await self._store.get(team)
        if isinstance(row, errors.Refusal):
            return row
        return SettingsAnswer(team, row.revision, msgspec.json.decode(row.document))

    async def _put_settings(self, team: str, request: http_messages.Request) -> object:
        if self._store is None:
            return _no_settings()
        if not team or "/" in team:
            reason = "name one team, as in PUT /settings/TEAM?revision=3"
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        revision = request.parameter("revision")
        if not revision.isascii() or not revision.isdigit():
            reason = "add ?revision=N with the revision that the change builds on, 0 for a new team"
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        raw = _parse(request)
        if isinstance(raw, settings_check.Problem):
            return _invalid([raw])
        author = request.header(b"sassafraslock-author") or "operator"
        result = await self._store.put(team, raw, int(revision), author, clock.wall_ms())
        if isinstance(result, list):
            return _invalid(result)
        if isinstance(result, revisions.SubtreeRow):
            return SettingsAnswer(team, result.revision, msgspec.json.decode(result.document))
        return result

    async def _history(self, team: str) -> object:
        if self._store is None:
            return _no_settings()
        rows = await self._store.history(team)
        if isinstance(rows, errors.Refusal):
            return rows
        return [
            HistoryLine(
                r.revision, r.change_id, r.wall_ms, r.author, msgspec.json.decode(r.document)
            )
            for r in rows
        ]


def _parse(request: http_messages.Request) -> typing.Any:
    if "json" in request.header(b"content-type"):
        try:
            return msgspec.json.decode(request.body)
        except msgspec.DecodeError as error:
            return settings_check.Problem("", f"not valid JSON: {error}", "mend the syntax")
    return settings_check.parse_toml(request.body.decode(errors="replace"))


def _invalid(problems: list[settings_check.Problem]) -> errors.Refusal:
    reason = "; ".join(str(p) for p in problems)
    return errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, reason)


def _no_settings() -> errors.Refusal:
    reason = "this entry's settings are kept by its platform; change them there"
    return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)


def _refuse(refusal: errors.Refusal) -> http_messages.Response:
    return answer.refusal_response(refusal, b"", header_names.HeaderNames())
