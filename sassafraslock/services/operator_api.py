"""The operators' interface: settings by path, status, dump, metrics, health."""

from __future__ import annotations

import hmac
import typing

import msgspec

import sassafraslock
from sassafraslock import (
    asgi,
    clock,
    errors,
    kernel,
    platform,
    settings,
    settings_check,
)
from sassafraslock.decisions import revisions, view
from sassafraslock.services import caller_api, metrics

MAX_BODY_BYTES = 4 << 20
HISTORY_LIMIT = 1000
OPEN_PATHS = ("/healthz", "/readyz")


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
    """A summary of one entry."""

    entry_id: str
    version: str
    region: str
    zone: str
    ready: bool
    leaving: bool
    store_available: bool
    revisions: dict[str, int]
    view_epoch: int
    members: list[str]
    free_slots: dict[str, int]
    splits: dict[str, dict[str, float]]
    shift_progress: dict[str, float]


class OperatorApi:
    """Answers operators on an address of its own; a bearer token guards it."""

    __slots__ = ("_settings", "_kernel", "_metrics")

    def __init__(
        self, process: settings.Settings, core: kernel.Kernel, counters: metrics.Metrics
    ) -> None:
        self._settings = process
        self._kernel = core
        self._metrics = counters

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request.

        :param scope: the ASGI scope.
        :param receive: the ASGI receive callable.
        :param send: the ASGI send callable.
        """
        request = asgi.request_of(scope)
        if request.path not in OPEN_PATHS and not self._authorized(request):
            refusal = errors.Refusal(
                errors.ErrorKind.UNAUTHORIZED, "send the operator token as a bearer token"
            )
            await caller_api.send_refusal(send, refusal)
            return
        body = await asgi.read_body(receive, MAX_BODY_BYTES)
        if body is None:
            reason = f"the body is larger than {MAX_BODY_BYTES} bytes"
            await caller_api.send_refusal(
                send, errors.Refusal(errors.ErrorKind.BODY_TOO_LARGE, reason)
            )
            return
        result = await self._handle(request, body)
        if isinstance(result, errors.Refusal):
            await caller_api.send_refusal(send, result)
        elif isinstance(result, bytes):
            await asgi.send_answer(send, 200, [(b"content-type", b"text/plain")], result)
        else:
            await asgi.send_json(send, 200, result)

    def _authorized(self, request: asgi.Request) -> bool:
        expected = f"Bearer {self._settings.operator.token}".encode()
        return hmac.compare_digest(request.header(b"authorization").encode("latin-1"), expected)

    async def _handle(self, request: asgi.Request, body: bytes) -> object:
        name = request.path.strip("/").partition("/")[2]
        match request.method, "/" + request.path.split("/")[1]:
            case "GET", "/healthz":
                return {"ok": True}
            case "GET", "/readyz":
                return self._readiness()
            case "GET", "/metrics":
                return self._render_metrics()
            case "GET", "/status":
                return self.status(clock.monotonic_ms())
            case "GET", "/dump":
                return self._kernel.dump()
            case "GET", "/settings":
                return self._get_settings(name)
            case "PUT", "/settings":
                return await self._put_settings(name, request, body)
            case "GET", "/history":
                return await self._history(name)
        return errors.Refusal(
            errors.ErrorKind.NOT_FOUND, f"no operation {request.method} {request.path}"
        )

    def _readiness(self) -> object:
        if self._kernel.find("path").ready:
            return {"ready": True}
        return errors.Refusal(errors.ErrorKind.NOT_READY, "the settings are not current yet")

    def _render_metrics(self) -> bytes:
        status = self.status(clock.monotonic_ms())
        for service, free in status.free_slots.items():
            self._metrics.gauge("free_slots", "Free own slots.", {"service": service}, free)
        up = {"entry": self._settings.entry_id}
        self._metrics.gauge(
            "store_available", "1 if the store answers.", up, status.store_available
        )
        self._metrics.gauge("ready", "1 if the entry takes work.", up, status.ready)
        for service, table in self._kernel.find("splits").tables.items():
            ratio = table.used_ratio(clock.monotonic_ms())
            self._metrics.gauge(
                "moved_ratio", "Moved share of the window.", {"service": service}, ratio
            )
        return self._metrics.render()

    def status(self, now_ms: int) -> Status:
        """Return a summary of this entry.

        :param now_ms: the present time.
        """
        find = self._kernel.find
        steward = find("steward")
        current: view.View = steward.view
        loads = steward.loads(now_ms)
        return Status(
            self._settings.entry_id,
            sassafraslock.VERSION,
            self._settings.region,
            self._settings.zone,
            find("path").ready,
            steward.leaving,
            find("platform").available,
            find("settings").revisions.in_force,
            current.epoch,
            sorted(current.members),
            {service: load.free_slots for service, load in loads.items()},
            find("splits").splits(),
            find("splits").shift_progress(clock.wall_ms()),
        )

    def _get_settings(self, team: str) -> object:
        service = self._kernel.find("settings")
        revision = service.revisions.in_force.get(team, 0)
        return SettingsAnswer(team, revision, service.document(team))

    async def _put_settings(self, team: str, request: asgi.Request, body: bytes) -> object:
        if not team or "/" in team:
            reason = "name one team, as in PUT /settings/TEAM?revision=3"
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        revision = request.parameter("revision")
        if not revision.isascii() or not revision.isdigit():
            reason = "add ?revision=N with the revision that the change builds on, 0 for a new team"
            return errors.Refusal(errors.ErrorKind.BAD_REQUEST, reason)
        raw = _parse(request, body)
        if isinstance(raw, settings_check.Problem):
            return _invalid([raw])
        author = request.header(b"sassafraslock-author") or "operator"
        result = await self._kernel.find("settings").put(
            team, raw, int(revision), author, clock.wall_ms()
        )
        if isinstance(result, list):
            return _invalid(result)
        if isinstance(result, revisions.SubtreeRow):
            return SettingsAnswer(team, result.revision, msgspec.json.decode(result.document))
        return result

    async def _history(self, team: str) -> object:
        scan = platform.Scan(f"history/{team}/", limit=HISTORY_LIMIT)
        result = await self._kernel.find("platform").transact(platform.Transaction(scan=scan))
        if isinstance(result, errors.Refusal):
            return result
        rows = [msgspec.msgpack.decode(r.value, type=revisions.HistoryRow) for r in result.rows]
        return [
            HistoryLine(
                r.revision, r.change_id, r.wall_ms, r.author, msgspec.json.decode(r.document)
            )
            for r in rows
        ]


def _parse(request: asgi.Request, body: bytes) -> typing.Any:
    if "json" in request.header(b"content-type"):
        try:
            return msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            return settings_check.Problem("", f"not valid JSON: {error}", "mend the syntax")
    return settings_check.parse_toml(body.decode(errors="replace"))


def _invalid(problems: list[settings_check.Problem]) -> errors.Refusal:
    reason = "; ".join(str(p) for p in problems)
    return errors.Refusal(errors.ErrorKind.INVALID_SETTINGS, reason)
