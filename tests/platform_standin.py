"""Stand-in of the firm's platform store that speaks its published protocol and injects faults."""

import base64
import dataclasses
import random

import anyio
import msgspec

from sassafraslock import http_messages
from sassafraslock.services import http_server
from tests import loopback


@dataclasses.dataclass
class Faults:
    """Faults to inject.

    Each call is answered with ``status`` if it is not 0, and not at all if ``silent``. A share
    ``lost_ratio`` of the writes takes effect without an answer. Calls for ``denied_table`` are
    answered with 503.
    """

    status: int = 0
    silent: bool = False
    lost_ratio: float = 0.0
    denied_table: str = ""


class StoreStandin:
    """Rows with one version counter, paged reads, feeds of a history, and transactions."""

    def __init__(self, port, page=500, seed=1, host=loopback.HOST):
        self.address = f"{host}:{port}"
        self.faults = Faults()
        self.rows, self.history = {}, []
        self.version, self.first_version, self.page = 0, 0, page
        self.era = 0  # named in answers once the store was restored
        self.calls = []
        self.answer = None  # if set, the body of each response
        self.random = random.Random(seed)
        self.changed = anyio.Event()
        self.server = http_server.HttpServer(self, host, port, lambda request: True)

    async def run(self, ready):
        await self.server.run(ready)

    def put(self, table, key, value, part=""):
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._change({"table": table, "part": part, "key": key,
                      "value": base64.b64encode(raw).decode()})  # fmt: skip

    def drop(self, table, key, part=""):
        self._change({"table": table, "part": part, "key": key, "tombstone": True})

    def _change(self, row):
        self.version += 1
        row["ver"] = self.version
        row_id = (row["table"], row["part"], row["key"])
        self.history.append(row)
        if row.get("tombstone"):
            self.rows.pop(row_id, None)
        else:
            self.rows[row_id] = row
        self.changed.set()
        self.changed = anyio.Event()

    def drop_history(self):
        self.history.clear()
        self.first_version = self.version + 1

    def copy(self):
        """Return a copy from which the store can be restored."""
        return dict(self.rows), list(self.history), self.version

    def restore(self, copy):
        """Lose what was written since the copy, and give out versions again."""
        rows, history, self.version = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1
        self.changed.set()
        self.changed = anyio.Event()

    async def __call__(self, request):
        self.calls.append(request.path)
        if self.faults.silent:
            await anyio.sleep_forever()
        if self.faults.status:
            return http_messages.Response(self.faults.status)
        if self.answer is not None:
            return http_messages.Response(200, [], self.answer)
        if self._is_denied(request):
            return http_messages.Response(503)
        handlers = {"/rows-get": self._get, "/rows-feed": self._feed, "/rows-tx": self._transact}
        return await handlers[request.path](request)

    def _is_denied(self, request):
        denied = self.faults.denied_table
        written = msgspec.json.decode(request.body)["upserts"] if request.body else []
        tables = {request.parameter("table"), *(row["table"] for row in written)}
        return bool(denied) and denied in tables

    def _json(self, status, **fields):
        body = msgspec.json.encode({**fields, "ver": self.version, "nowS": 1.5})
        headers = [(b"content-type", b"application/json")]
        if self.era:
            headers.append((b"Store-Era", b"%d" % self.era))
        return http_messages.Response(status, headers, body)

    async def _get(self, request):
        table, start = request.parameter("table"), request.parameter("from")
        row_ids = sorted(i for i in self.rows if i[0] == table and i[2] >= start)
        limit = min(self.page, int(request.parameter("limit") or self.page))
        rows = [self.rows[i] for i in row_ids[:limit]]
        return self._json(200, rows=rows, hasMore=len(row_ids) > limit)

    async def _feed(self, request):
        table, after = request.parameter("table"), int(request.parameter("after"))
        with anyio.move_on_after(int(request.parameter("waitMs")) / 1000):
            while not self._newer_rows(table, after) and not self._is_lost(after):
                await self.changed.wait()
        if self._is_lost(after):
            return self._json(410)
        return self._json(200, rows=self._newer_rows(table, after))

    def _is_lost(self, after):
        return after + 1 < self.first_version or after > self.version

    def _newer_rows(self, table, after):
        return [r for r in self.history if r["table"] == table and r["ver"] > after]

    async def _transact(self, request):
        transaction = msgspec.json.decode(request.body)
        for row in transaction["upserts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
        if self.random.random() < self.faults.lost_ratio:
            await anyio.sleep_forever()
        return self._json(200)


def server_row(service="logbook", address="10.0.0.1:80", zone="a-1", state="ready", **more):
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": 3,
            "state": state, "coldRemainingS": 0, "sequence": 1, **more}  # fmt: skip


def intents_row(version=3, routes=None, services=("logbook",), changed_limits=None):
    route = {"host": "h.example", "prefix": "/log/", "routeType": "safe", "timeoutS": 2,
             "targetLatencyS": 0.4, "priority": 2, "service": "logbook", "maxAttempts": 2,
             "sessionAffinity": True, "allowedRegions": []}  # fmt: skip
    resources = [
        {"resourceKind": "routes", "metadata": {"name": f"r{n}"}, "spec": {**route, **spec}}
        for n, spec in enumerate(routes or [{}])
    ]
    service = {"healthPath": "/health", "maxConnections": 330, "coldStartS": 3.0, "coldPerS": 4.9}
    for name in services:
        resources.append({"resourceKind": "services", "metadata": {"name": name}, "spec": service})
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1024,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
        **(changed_limits or {}),
    }
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"r{version}", "resources": resources}
