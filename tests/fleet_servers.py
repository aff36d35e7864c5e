"""Servers in virtual time that end and start again under their old id."""

import collections
import dataclasses

from tests import edge_world

SLOTS, QUEUE = 3, 3
WARM_WORK_S = 0.2
COLD_WORK_S = 0.5
HEARTBEAT_S = 1.5
HEALTH_PATH = "/health"
NAMES = edge_world.NAMES


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request at a cold server: when it was sent, when it came, and from whom.

    ``evidence`` is what its entry had of the restart itself: ``refused``, ``ended`` (connections
    that were open) or ``none``.
    """

    sent_s: float
    at_s: float
    entry: str
    evidence: str


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    connection: object
    head: str
    headers: dict


class Machine:
    """An address with a server under one id; ``process`` is none while the server is down.

    While it is down, new connections are refused, or wait for the start if ``refuses`` is false.
    ``refused_entries`` and ``ended_entries`` are those that saw the last end by themselves.
    ``cold_arrivals`` has what came to a cold process, by start; answers with 421 are left out.
    ``taken_s`` has when requests came that were not answered with 421 or by the health check, and
    ``served_s`` when requests were run.
    """

    __slots__ = (
        "network",
        "server_id",
        "address",
        "zone",
        "cold_start_s",
        "refuses",
        "process",
        "refused_entries",
        "ended_entries",
        "cold_arrivals",
        "taken_s",
        "served_s",
        "on_start",
    )

    def __init__(self, network, server_id, address, zone, cold_start_s):
        self.network, self.server_id = network, server_id
        self.address, self.zone, self.cold_start_s = address, zone, cold_start_s
        self.refuses = True
        self.process = None
        self.refused_entries = set()
        self.ended_entries = set()
        self.cold_arrivals = []
        self.taken_s = []
        self.served_s = []
        self.on_start = lambda machine: None
        network.servers[address] = self

    def start(self, is_cold=True):
        self.process = Process(self, self.network.now_s + (self.cold_start_s if is_cold else 0.0))
        self.cold_arrivals.append([])
        self.on_start(self)

    def end(self):
        """End the process; its connections close, and none is accepted until the next start."""
        process, self.process = self.process, None
        self.refused_entries.clear()
        self.ended_entries = {connection.entry for connection in process.connections}
        process.end()

    def restart(self, down_s):
        """End, and start again under the old id ``down_s`` later."""
        self.end()
        self.network.after(down_s, self.start)

    def replace(self, down_s):
        """End, and start another server at the address ``down_s`` later."""
        self.end()
        self.server_id += "n"
        self.network.after(down_s, self.start)

    def evidence_of(self, entry):
        if entry in self.refused_entries:
            return "refused"
        return "ended" if entry in self.ended_entries else "none"


class Process:
    """One start of a server, with slots and a short queue; a closed connection drops its job."""

    __slots__ = (
        "machine",
        "born_ms",
        "cold_until_s",
        "connections",
        "_running",
        "_waiting",
        "_ended",
    )

    def __init__(self, machine, cold_until_s):
        self.machine = machine
        self.born_ms = machine.network.wall_ms()
        self.cold_until_s = cold_until_s
        self.connections = set()
        self._running = set()
        self._waiting = collections.deque()
        self._ended = False

    @property
    def cold_ms(self):
        return max(0, round(1_000 * (self.cold_until_s - self.machine.network.now_s)))

    def end(self):
        self._ended = True
        for connection in self.connections:
            connection.peer_ended()

    def drop(self, connection):
        self.connections.discard(connection)
        self._waiting = collections.deque(j for j in self._waiting if j.connection != connection)
        for job in [j for j in self._running if j.connection == connection]:
            self._running.discard(job)
        self._start_waiting()

    def receive(self, connection, data, sent_s):
        """Take one whole request."""
        if self._ended or connection not in self.connections:
            return
        head, *lines = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        job = _Job(connection, head, headers)
        target = headers.get(NAMES.target_server.decode(), "")
        if target and target != self.machine.server_id:
            self._answer(job, 421, [(NAMES.not_run, b"1")])
            return
        if self.cold_ms:
            evidence = self.machine.evidence_of(connection.entry)
            now_s = self.machine.network.now_s
            arrival = Arrival(sent_s, now_s, connection.entry, evidence)
            self.machine.cold_arrivals[-1].append(arrival)
        if not self._is_health_check(job):
            self.machine.taken_s.append(self.machine.network.now_s)
        if len(self._running) >= SLOTS and len(self._waiting) >= QUEUE:
            self._answer(job, 503, [(NAMES.not_run, b"1")])
            return
        self._waiting.append(job)
        self._start_waiting()

    def _start_waiting(self):
        while self._waiting and len(self._running) < SLOTS and not self._ended:
            job = self._waiting.popleft()
            self._running.add(job)
            work_s = COLD_WORK_S if self.cold_ms else WARM_WORK_S
            if self._is_health_check(job):
                work_s = 0.001
            self.machine.network.after(work_s, self._finish, job)

    def _is_health_check(self, job):
        return job.head.split()[1] == HEALTH_PATH

    def _finish(self, job):
        if self._ended or job not in self._running:
            return
        self._running.discard(job)
        if self._is_health_check(job):
            cold_ms = (NAMES.cold_ms, b"%d" % self.cold_ms)
            self._answer(job, 200, [cold_ms, (NAMES.server_id, self.machine.server_id.encode())])
        else:
            self.machine.served_s.append(self.machine.network.now_s)
            self._answer(job, 200, [(NAMES.signature, self.machine.server_id.encode())])
        self._start_waiting()

    def _answer(self, job, status, more):
        load = b"%d,%d,%d" % (len(self._running), len(self._waiting), SLOTS)
        request_id = job.headers.get(NAMES.request_id.decode(), "").encode()
        headers = [(NAMES.request_id, request_id), (NAMES.load, load), *more]
        lines = [b"HTTP/1.1 %d Status" % status, *(b"%b: %b" % pair for pair in headers)]
        lines.append(b"content-length: 2\r\n\r\nok")
        job.connection.answer(b"\r\n".join(lines))


def worst_second(arrivals):
    """Return the most requests that were sent and arrived within one second."""
    ordered = sorted(arrivals, key=lambda a: a.sent_s)
    seconds = (
        [a for a in ordered[i:] if a.at_s < first.sent_s + 1.0] for i, first in enumerate(ordered)
    )
    return max(seconds, key=len, default=[])
