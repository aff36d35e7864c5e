"""Requests that arrive late in the stop of a machine that has just reloaded its settings."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig as rigs  # noqa: E402

ZONES = {"cardiff-a": "cardiff", "cardiff-b": "cardiff", "cardiff-c": "cardiff"}
CLIENTS = 60
GAP_S = 0.2  # between two requests of a client
KEPT = 3.0  # times as long as it is told, a client keeps an answer of the directory
TIME_LIMIT_S = 10.0
ROUTE_TIMEOUT_S = 4.0
WORK_S = 2.304
EARLY_IN_STOP_S = 3.0
GRACE_S = rigs.BOUNDS["graceS"]
STOP_GAP_S = 8.5
STOPS = 4
HANGUP_S = 0.01  # from the SIGHUP to the SIGTERM
ROUNDING_S = 0.005  # of the clocks of client and signal


class Request:
    """One request, when its last byte was sent and how it ended."""

    def __init__(self, entry_ip):
        self.entry_ip = entry_ip
        self.sent_s = self.ended_s = 0.0
        self.end = "open"


class Client:
    """Sends a request on a new connection again and again, without waiting for the last one."""

    def __init__(self, rig, number, requests):
        self.rig, self.number, self.requests = rig, number, requests
        self.zone = list(ZONES)[number % len(ZONES)]
        self.addresses, self.known_until_s = [], 0.0
        self._tasks = set()

    async def run(self):
        """Send until cancelled."""
        while True:
            if rigs.now_s() >= self.known_until_s:
                await self._resolve()
            task = asyncio.create_task(self._send(random.choice(self.addresses)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(GAP_S)

    async def _resolve(self):
        """Ask up to three directories, the nearest first."""
        path = f"/resolve?name={rigs.HOST_NAME}&region={ZONES[self.zone]}&zone={self.zone}"
        nearest = sorted(self.rig.entries, key=lambda e: e.zone != self.zone)
        for entry in nearest:
            try:
                answer = await rigs.call(entry.ip, rigs.DIRECTORY, "GET", path, {}, b"", 1.0)
            except (EOFError, OSError, TimeoutError):
                continue
            if answer[0] != 200:
                continue
            resolved = json.loads(answer[2])
            self.addresses = [a.partition(":")[0] for a in resolved["addresses"]]
            self.known_until_s = rigs.now_s() + KEPT * resolved["ttlS"]
            return

    async def _send(self, ip):
        request = Request(ip)
        request_id = uuid.uuid4().hex[:16]
        self.requests[request_id] = request
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": int(TIME_LIMIT_S * 1000)}
        try:
            connection = await rigs.Connection.open(ip, rigs.FRONT)
        except (OSError, TimeoutError):
            request.end = "not connected"
            return
        try:
            await connection.send("POST", "/lodge/1", headers, bytes(1200))
            request.sent_s = rigs.now_s()
            self.rig.record.write(f"{request_id} is sent to {ip}")
            async with asyncio.timeout(TIME_LIMIT_S):
                request.end = (await connection.receive())[0]
        except TimeoutError:
            request.end = "late"
        except (EOFError, ConnectionError):
            request.end = "closed"
        finally:
            request.ended_s = rigs.now_s()
            connection.close()
        self.rig.record.write(f"{request_id} to {ip}: {request.end}")


async def play(rig):
    """Play the case and return whether the rule held."""
    rig.add_servers("notice-desk", list(ZONES) * 6, 60, lambda: WORK_S)
    rig.add_entries(list(ZONES))
    routes = [rigs.route("/lodge/", "unsafe", "notice-desk", ROUTE_TIMEOUT_S, 1.2, 2)]
    await rig.start(rigs.desired_state(7, routes, ["notice-desk"]))
    await asyncio.sleep(rigs.BOUNDS["stabilityS"] + 1)
    requests = {}
    clients = [Client(rig, number, requests) for number in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    stops = []
    await asyncio.sleep(3)
    for entry in (rig.entries * 3)[:STOPS]:
        await _next_look_up(clients)
        if rigs.TROUBLE:
            entry.signal(signal.SIGHUP)
            await asyncio.sleep(HANGUP_S)
            stops.append((entry.ip, rigs.now_s()))
            entry.signal(signal.SIGTERM)
        await asyncio.sleep(STOP_GAP_S)
        await rig.wait_ready()
    for task in tasks:
        task.cancel()
    return judge(rig, requests, stops)


async def _next_look_up(clients):
    """Wait until shortly before the clients ask the directory again."""
    now_s = rigs.now_s()
    await asyncio.sleep(max(0.0, min(c.known_until_s for c in clients) - now_s - 0.07))


def judge(rig, requests, stops):
    """Return whether no request was lost in a stop that the rule counts."""
    arrived = {arrival.request_id: arrival for arrival in rig.arrivals()}
    lost = []
    for request_id, request in requests.items():
        arrival = arrived.get(request_id)
        if arrival is None or not request.ended_s or not _is_broken_off(request, arrival):
            continue
        for ip, stop_s in stops:
            in_stop = ip == request.entry_ip and stop_s <= request.ended_s <= stop_s + GRACE_S + 1
            if in_stop and not _is_excused(request, arrival, stop_s):
                sent = request.sent_s - stop_s
                ended = request.ended_s - stop_s
                lost.append(request_id)
                rig.record.write(f"lost {request_id}: sent {sent:.3f} s after SIGTERM,"
                                 f" ended ({request.end}) {ended:.3f} s after it")  # fmt: skip
    ends = {}
    for request in requests.values():
        ends[request.end] = ends.get(request.end, 0) + 1
    line = f"requests {len(requests)}, ends {ends}, lost {len(lost)} in {len(stops)} stops"
    rig.record.write(line)
    print(line)
    return not lost


def _is_broken_off(request, arrival):
    """Return whether the entry ended a request at which its server was at work."""
    ended_early = arrival.ended == "dropped" or arrival.until_s > request.ended_s
    return request.end in ("closed", 502, 504) and ended_early


def _is_excused(request, arrival, stop_s):
    """Return whether the rule does not count a request that was broken off in a stop."""
    if request.ended_s - request.sent_s >= ROUTE_TIMEOUT_S - ROUNDING_S:
        return True
    sent_in_time = request.sent_s <= stop_s + EARLY_IN_STOP_S + ROUNDING_S
    return sent_in_time and arrival.until_s >= stop_s + GRACE_S * 5 / 6 - ROUNDING_S


rigs.main(pathlib.Path(__file__).resolve().parent, ZONES, play)
