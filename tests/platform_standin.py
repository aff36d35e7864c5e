"""Stand-in of the firm's platform store by its published protocol, with fault switches."""

import base64
import dataclasses
import random

import anyio
import msgspec

from sassafraslock import http_messages
from sassafraslock.services import http_server


@dataclasses.dataclass
class Faults:
    """``status`` answers each call, ``silent`` none; ``lost_ratio`` of writes are not answered."""

    status: int = 0
    silent: bool = False
    lost_ratio: float = 0.0


class StoreStandin:
    """Rows with one counter, feeds with a history that can be dropped, pages, transactions."""

    def __init__(self, port, page=500, seed=1):
        self.address = f"127.0.0.1:{port}"
        self.faults = Faults()
        self.rows, self.history = {}, []
        self.version, self.first_version, self.page = 0, 0, page
        self.calls = []
        self.random = random.Random(seed)
        self.changed = anyio.Event()
        self.server = http_server.HttpServer(self, "127.0.0.1", port, lambda request: True)

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
        name = (row["table"], row["part"], row["key"])
        self.history.append(row)
        if row.get("tombstone"):
            self.rows.pop(name, None)
        else:
            self.rows[name] = row
        self.changed.set()
        self.changed = anyio.Event()

    def forget_history(self):
        self.history.clear()
        self.first_version = self.version + 1

    async def __call__(self, request):
        self.calls.append(request.path)
        if self.faults.silent:
            await anyio.sleep_forever()
        if self.faults.status:
            return http_messages.Response(self.faults.status)
        handlers = {"/rows-get": self._get, "/rows-feed": self._feed, "/rows-tx": self._transact}
        return await handlers[request.path](request)

    def _json(self, status, **fields):
        body = msgspec.json.encode({**fields, "ver": self.version, "nowS": 1.5})
        return http_messages.Response(status, [(b"content-type", b"application/json")], body)

    async def _get(self, request):
        table, start = request.parameter("table"), request.parameter("from")
        found = sorted(n for n in self.rows if n[0] == table and n[2] >= start)
        limit = min(self.page, int(request.parameter("limit") or self.page))
        rows = [self.rows[n] for n in found[:limit]]
        return self._json(200, rows=rows, hasMore=len(found) > limit)

    async def _feed(self, request):
        table, after = request.parameter("table"), int(request.parameter("after"))
        with anyio.move_on_after(int(request.parameter("waitMs")) / 1000):
            while not self._newer(table, after) and after + 1 >= self.first_version:
                await self.changed.wait()
        if after + 1 < self.first_version:
            return self._json(410)
        return self._json(200, rows=self._newer(table, after))

    def _newer(self, table, after):
        return [r for r in self.history if r["table"] == table and r["ver"] > after]

    async def _transact(self, request):
        call = msgspec.json.decode(request.body)
        for row in call["upserts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
        if self.random.random() < self.faults.lost_ratio:
            await anyio.sleep_forever()
        return self._json(200)


def server_row(service="logbook", address="10.0.0.1:80", zone="a-1", state="ready", **more):
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": 3,
            "state": state, "coldRemainingS": 0, "sequence": 1, **more}  # fmt: skip


def intents_row(version=3, routes=None):
    route = {"host": "h.example", "prefix": "/log/", "routeType": "safe", "timeoutS": 2,
             "targetLatencyS": 0.4, "priority": 2, "service": "logbook", "maxAttempts": 2,
             "sessionAffinity": True, "allowedRegions": []}  # fmt: skip
    resources = [
        {"resourceKind": "routes", "metadata": {"name": f"r{n}"}, "spec": {**route, **spec}}
        for n, spec in enumerate(routes or [{}])
    ]
    service = {"healthPath": "/health", "maxConnections": 330, "coldStartS": 3.0, "coldPerS": 4.9}
    resources.append({"resourceKind": "services", "metadata": {"name": "logbook"}, "spec": service})
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1024,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": f"r{version}", "resources": resources}
