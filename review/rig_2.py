"""Stand-ins of the second review: platform store, servers, clients, and the launch of entries.

Only the standard library is used. Everything listens on loopback addresses. The stand-ins follow
the users' pages; a case injects its own disruption.
"""

from __future__ import annotations

import asyncio
import base64
import collections.abc
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
FRONT, CONTROL, DIRECTORY, READINESS, GOSSIP, STORE, SERVER = range(8161, 8168)
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S
MAX_LINE_BYTES = 1 << 20
SLOW_CHUNK_BYTES = 16 << 10
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110

Headers = dict[str, str]


class Record:
    """The file ``record.txt``: one JSON object a line, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, what: str, **fields: object) -> None:
        """Write one line.

        :param what: what happened.
        :param fields: the details.
        """
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


@dataclasses.dataclass
class Message:
    """A request or a response; ``first`` holds the parts of its first line."""

    first: list[str]
    headers: Headers
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True, bytes_per_s: int = 0
) -> Message:
    """Read a request or a response with a length, in chunks, or without a body.

    :param reader: the connection.
    :param has_body: false for the response to a HEAD request.
    :param bytes_per_s: how fast a body with a length is read, 0 for as fast as it comes.
    :raises EOFError: if the connection ends first.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers: Headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and "content-length" in headers:
        left_bytes = int(headers["content-length"])
        while bytes_per_s and left_bytes > SLOW_CHUNK_BYTES:
            await asyncio.sleep(SLOW_CHUNK_BYTES / bytes_per_s)
            body += await reader.readexactly(SLOW_CHUNK_BYTES)
            left_bytes -= SLOW_CHUNK_BYTES
        body += await reader.readexactly(left_bytes)
    elif has_body and headers.get("transfer-encoding", "") == "chunked":
        while size := int((await reader.readline()).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    return Message(lines[0].split(" ", 2), headers, body)


def encode(first: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a message with a length.

    :param first: the first line.
    :param headers: the headers without ``content-length``.
    :param body: the body.
    """
    lines = [first, *(f"{n}: {v}" for n, v in headers.items()), f"content-length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store: rows in tables and parts, feeds and transactions."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.version = 0
        self.rows: dict[tuple[str, str, str], dict[str, typing.Any]] = {}
        self.changes: list[dict[str, typing.Any]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen from now on."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port), limit=MAX_LINE_BYTES)

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        """Write a row.

        :param table: the table.
        :param key: the key.
        :param value: what is written as JSON.
        :param part: the part.
        """
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self._change({"table": table, "part": part, "key": key, "value": raw})

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Delete a row.

        :param table: the table.
        :param key: the key.
        :param part: the part.
        """
        self._change({"table": table, "part": part, "key": key, "tombstone": True})

    def _change(self, row: dict[str, typing.Any]) -> None:
        self.version += 1
        row["ver"] = self.version
        name = (row["table"], row["part"], row["key"])
        if row.get("tombstone"):
            self.rows.pop(name, None)
        else:
            self.rows[name] = row
        self.changes = [c for c in self.changes if (c["table"], c["part"], c["key"]) != name]
        self.changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                status, answer = await self._answer(request)
                body = json.dumps({**answer, "ver": self.version, "nowS": time.monotonic()})
                headers = {"content-type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} Status", headers, body.encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, typing.Any]]:
        target = urllib.parse.urlsplit(request.first[1])
        query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
        if target.path == "/rows-feed":
            return 200, {"rows": await self._feed(query)}
        if target.path == "/rows-get":
            rows = (
                [
                    row
                    for (table, part, key), row in sorted(self.rows.items())
                    if table == query["table"] and part == query["part"] and key >= query["from"]
                ]
                if "from" in query
                else [
                    row
                    for (table, part, _), row in sorted(self.rows.items())
                    if table == query["table"] and part == query["part"]
                ]
            )
            limit = int(query.get("limit", "500"))
            return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit}
        if target.path == "/rows-tx":
            for row in json.loads(request.body)["upserts"]:
                if row["table"] in ("op", "servers"):
                    return 403, {}
                self._change({k: row[k] for k in ("table", "part", "key", "value")})
            return 200, {}
        return 404, {}

    async def _feed(self, query: Headers) -> list[dict[str, typing.Any]]:
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            after, table = int(query["after"]), query["table"]
            rows = [c for c in self.changes if c["table"] == table and c["ver"] > after]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


@dataclasses.dataclass
class Run:
    """A request at a server: when it arrived, and whether and until when it ran."""

    request_id: str
    method: str
    path: str
    at: float
    ran: bool = False
    answered: bool = False
    aborted: bool = False
    ended_at: float = 0.0


class Server:
    """A backend server with slots, which registers itself in the store."""

    def __init__(
        self, server_id: str, service: str, address: str, zone: str, store: Store, record: Record
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = 8
        self.work_s = 0.1
        self.answer_bytes = 400
        self.runs: list[Run] = []
        self.state = "ready"
        self._sequence = 0
        self._running = 0
        self._free = asyncio.Semaphore(self.slots)
        self._store = store
        self._record = record
        self._born_ms = int(time.time() * 1000) - 60_000

    def set_slots(self, slots: int) -> None:
        """Change how many requests run at a time; call it before the start.

        :param slots: the number.
        """
        self.slots = slots
        self._free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        """Listen and register from now on."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port), limit=MAX_LINE_BYTES)
        self._beat_task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def report(self) -> None:
        """Write this server's row."""
        self._sequence += 1
        self._store.put("servers", self.server_id, self.row(self.service))

    def row(self, service: str) -> dict[str, typing.Any]:
        """Return what a row says of this server.

        :param service: the service that it names.
        """
        row = {"service": service, "address": self.address, "zone": self.zone}
        row |= {"version": "v1", "slots": self.slots, "state": self.state, "coldRemainingS": 0}
        return row | {"sequence": self._sequence, "born": self._born_ms}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                task = asyncio.create_task(self._answer(request))
                # The connection is watched meanwhile: a request is dropped when it closes.
                closed = asyncio.create_task(_wait_closed(reader))
                await asyncio.wait({task, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    task.cancel()
                    break
                closed.cancel()
                writer.write(task.result())
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        path, request_id = request.first[1], request.headers.get("x-request-id", "")
        headers = {"x-request-id": request_id, "x-server-load": f"{self._running},0,{self.slots}"}
        if request.headers.get("x-target-instance", self.server_id) != self.server_id:
            headers["x-instance-id"] = self.server_id
            return encode("HTTP/1.1 421 Misdirected Request", headers, b"")
        if path == "/health":
            return encode("HTTP/1.1 200 OK", {"x-instance-id": self.server_id}, b"")
        run = Run(request_id, request.first[0], path, self._record.now())
        self.runs.append(run)
        try:
            async with self._free:
                self._running += 1
                run.ran = True
                try:
                    return await self.work(run, request, headers)
                finally:
                    self._running -= 1
        except asyncio.CancelledError:
            run.aborted = True
            raise
        finally:
            run.ended_at = self._record.now()

    async def work(self, run: Run, request: Message, headers: Headers) -> bytes:
        """Return the bytes of the answer after the work; a case may replace this.

        :param run: the run, which is marked as answered.
        :param request: the request.
        :param headers: the headers of the answer.
        """
        await asyncio.sleep(self.work_s)
        body = os.urandom(self.answer_bytes // 2).hex().encode()
        run.answered = True
        headers["x-response-signature"] = sign(run.request_id, body)
        return encode("HTTP/1.1 200 OK", headers, body)


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


def sign(request_id: str, body: bytes) -> str:
    """Return the digest that a server gives its answer.

    :param request_id: the id of the request.
    :param body: the body of the answer.
    """
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:16]


class Entry:
    """One process of the system, started with the command of the deploy file."""

    def __init__(
        self, name: str, ip: str, zone: str, settings: dict[str, typing.Any], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.path.write_text(to_toml({"nodeName": name, "ip": ip, "zone": zone, **settings}))

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["SASSAFRASLOCK_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def wait_ready(self, limit_s: float = 15.0) -> bool:
        """Return whether the process says that it is ready within a time.

        :param limit_s: the time.
        """
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(self.ip, READINESS)
                writer.write(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer.first[1] == "200":
                    return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def to_toml(table: dict[str, typing.Any]) -> str:
    """Return a table as TOML; values that are tables come last.

    :param table: the table, of two levels.
    """
    plain = [f"{k} = {json.dumps(v)}" for k, v in table.items() if not isinstance(v, dict)]
    for name, inner in table.items():
        if isinstance(inner, dict):
            plain += [
                f"[{name}]",
                *(f"{json.dumps(k)} = {json.dumps(v)}" for k, v in inner.items()),
            ]
    return "\n".join(plain) + "\n"


class World:
    """The store, the servers and the entries of one case."""

    def __init__(self, case_folder: pathlib.Path) -> None:
        self.record = Record(case_folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._net = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        self.store = Store(f"{self._net}.1:{STORE}")
        self.zones = {"gor-a": "gorenjska", "sta-a": "stajerska"}
        self.servers: list[Server] = []
        self.entries: list[Entry] = []

    def add_server(self, service: str, zone: str) -> Server:
        """Return a new server, which is not started yet.

        :param service: its service.
        :param zone: its zone.
        """
        number = len(self.servers)
        address = f"{self._net}.{100 + number}:{SERVER}"
        server = Server(f"i-{number:04x}", service, address, zone, self.store, self.record)
        self.servers.append(server)
        return server

    def add_entry(self, zone: str, **limits: float) -> Entry:
        """Return a new entry, which is not started yet.

        :param zone: its zone.
        :param limits: what differs from the usual limits.
        """
        number = len(self.entries)
        ip = f"{self._net}.{10 + number}"
        settings: dict[str, typing.Any] = {
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "region": self.zones[zone],
            "internalPortRange": [GOSSIP, GOSSIP + 15],
            "seeds": [f"{self._net}.10:{CONTROL}"],
            "bootstrap": True,
            "heartbeatS": HEARTBEAT_S,
            "zones": self.zones,
            "listen": {
                "front": f"{ip}:{FRONT}",
                "readiness": f"{ip}:{READINESS}",
                "control": f"{ip}:{CONTROL}",
                "directory": f"{ip}:{DIRECTORY}",
            },
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
                **limits,
            },
            "bounds": {
                "stabilityS": 4,
                "drainS": 2.5,
                "graceS": 6,
                "lossSlackS": 0.2,
                "configApplyS": 2.5,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 58,
                "coldOverage": 1.5,
                "coldSlack": 5,
                "ttl_max_s": 5,
                "maxShift": 0.15,
            },
            "platform": {"address": self.store.address},
        }
        entry = Entry(f"front-{zone}-{number}", ip, zone, settings, self.folder)
        self.entries.append(entry)
        return entry

    def put_config(self, version: int, routes: list[dict[str, typing.Any]], **more: object) -> None:
        """Write a desired state.

        :param version: its number.
        :param routes: what each route has beside the usual fields.
        :param more: what differs from the usual limits.
        """
        usual = {"host": HOST, "targetLatencyS": 0.5, "priority": 1, "maxAttempts": 2}
        usual |= {"timeoutS": 5, "sessionAffinity": False, "allowedRegions": []}
        resources: list[dict[str, typing.Any]] = [
            {"resourceKind": "routes", "metadata": {"name": f"r-{n}"}, "spec": {**usual, **route}}
            for n, route in enumerate(routes)
        ]
        service = {"healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": False}
        service |= {"coldStartS": 3.0, "coldPerS": 4.9}
        for name in sorted({server.service for server in self.servers}):
            resources.append(
                {"resourceKind": "services", "metadata": {"name": name}, "spec": service}
            )
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3}
        limits |= {"idleTimeoutS": 15, **more}
        resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
        self.store.put("op", "config", {"version": f"r{version}", "resources": resources})

    async def start(self) -> bool:
        """Start everything, and return whether all entries are ready."""
        await self.store.start()
        for server in self.servers:
            await server.start()
        for entry in self.entries:
            await entry.start()
        ready = [await entry.wait_ready() for entry in self.entries]
        self.record.write("entries ready", ready=ready)
        return all(ready)

    async def close(self) -> None:
        """End the processes, and record what ran at the servers."""
        for entry in self.entries:
            await entry.kill()
        for server in self.servers:
            for run in server.runs:
                fields = dataclasses.asdict(run)
                fields |= {"at": round(run.at, 3), "ended_at": round(run.ended_at, 3)}
                self.record.write("run", server=server.server_id, **fields)
        self._temporary.cleanup()


class Client:
    """A client with one connection, which it keeps.

    :param world: the case.
    :param entry: the entry to which it connects.
    :param bytes_per_s: how fast it reads the bodies of answers, 0 for as fast as they come.
    """

    def __init__(self, world: World, entry: Entry, bytes_per_s: int = 0) -> None:
        self._bytes_per_s = bytes_per_s
        self._world = world
        self._entry = entry
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.answers_on_connection = 0
        self.was_cut = False

    async def ask(
        self, method: str, path: str, body: bytes = b"", deadline_ms: int = 5000
    ) -> tuple[str, Message | None]:
        """Send a request, and return its id and the answer, none if there was no whole one.

        ``was_cut`` then tells whether the entry ended the connection.

        :param method: the method.
        :param path: the path.
        :param body: the body.
        :param deadline_ms: how long the client waits.
        """
        request_id = os.urandom(8).hex()
        headers = {"host": HOST, "x-request-id": request_id, "x-deadline-ms": str(deadline_ms)}
        was_kept = self.answers_on_connection > 0
        self._world.record.write("sent", id=request_id, method=method, path=path, bytes=len(body))
        answer: Message | None = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None or self._reader is None:
                    await self._connect()
                    assert self._reader is not None and self._writer is not None
                self._writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                await self._writer.drain()
                answer = await read_message(self._reader, True, self._bytes_per_s)
            outcome = answer.first[1]
        except (EOFError, OSError) as error:
            outcome = "timeout" if isinstance(error, TimeoutError) else f"closed: {error!r}"
        self.was_cut = outcome.startswith("closed")
        self._world.record.write("outcome", id=request_id, outcome=outcome, kept=was_kept)
        if answer is None or answer.headers.get("connection", "") == "close":
            self.close()
        else:
            self.answers_on_connection += 1
        return request_id, answer

    async def _connect(self) -> None:
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        own.setblocking(False)
        if self._bytes_per_s:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_CHUNK_BYTES)
        await asyncio.get_running_loop().sock_connect(own, (self._entry.ip, FRONT))
        limit_bytes = SLOW_CHUNK_BYTES if self._bytes_per_s else MAX_LINE_BYTES
        self._reader, self._writer = await asyncio.open_connection(sock=own, limit=limit_bytes)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self.answers_on_connection = 0


Play = collections.abc.Callable[[World], collections.abc.Coroutine[None, None, int]]


async def _play(world: World, play: Play) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(world)
    except Exception as error:  # noqa: BLE001 - a fault of the script is no result
        world.record.write("case could not run", error=repr(error))
        return COULD_NOT_RUN
    finally:
        await world.close()


def run_case(folder: pathlib.Path, play: Play) -> None:
    """Run a case and exit with its result.

    :param folder: the folder of the case, which gets ``record.txt``.
    :param play: plays the case and returns :data:`HELD`, :data:`BROKEN` or :data:`COULD_NOT_RUN`.
    """
    world = World(folder)
    result = asyncio.run(_play(world, play))
    world.record.write("result", exit=result, trouble=TROUBLE)
    sys.exit(result)
