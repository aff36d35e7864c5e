"""Placement that knows all memories, queues and slow machines at once: a bound for the others."""

from __future__ import annotations

import heapq

from benchmarks import object_world, objects
from sassafraslock import errors
from sassafraslock.decisions import candidates, registry, route_latency


class KnowingPlacer:
    """Chooses the server that answers first by the model's own state, for the entries of a region.

    A request that no server can answer in time goes to a server that has the object, or starts its
    first run where memory and slots are free.
    """

    def __init__(self, simulation: objects.Simulation, entry: object_world.Entry) -> None:
        self._simulation = simulation
        self._entry = entry

    def place(
        self, request: candidates.PlacementRequest, now_ms: int
    ) -> candidates.Choice | errors.Refusal:
        """Return the best server.

        :param request: the request.
        :param now_ms: the present time.
        """
        flow = next(f for f in self._simulation.shape.flows if f.route is request.route)
        usable = self._entry.registry.usable_servers(request.service.name)
        warm = [s for s in usable if not s.is_cold(now_ms)]
        holding = [s for s in warm if s.server_id in self._simulation.holders[request.key]]
        holding += [s for s in warm if self._is_loading(s.server_id, request.key)]
        best = min(
            ((self._known_ms(s, flow, request.key, now_ms), s) for s in holding),
            key=lambda pair: pair[0],
            default=None,
        )
        limit_ms = request.route.timeout_ms / 2
        if best is not None and best[0] < limit_ms:
            return self._choice(best[1], best[0], now_ms)
        new = min(warm, key=lambda s: self._harm(s, now_ms))
        return self._choice(new, flow.new_ms, now_ms)

    def _choice(
        self, server: registry.Server, expected_ms: float, now_ms: int
    ) -> candidates.Choice:
        known = route_latency.ObjectAffinity.KNOWN
        return candidates.Choice(server, expected_ms, known, 0.0, True, False)

    def _is_loading(self, name: str, key: str) -> bool:
        queue = self._simulation.servers[name].queue
        jobs = self._simulation.jobs
        return any(jobs[n].request.key == key for n in (*queue.running, *queue.waiting))

    def _free_ms(self, name: str, now_ms: float) -> float:
        """Return when a server has a slot for one more request, from now."""
        server, jobs = self._simulation.servers[name], self._simulation.jobs
        ends = [max(0.0, jobs[n].ends_ms - now_ms) for n in server.queue.running]
        ends += [0.0] * (server.slots - len(ends))
        heapq.heapify(ends)
        for number in server.queue.waiting:
            job = jobs[number]
            is_known = job.request.key in server.queue.kept
            ratio = objects.KNOWN_RATIO if is_known else 1.0
            heapq.heapreplace(ends, ends[0] + job.request.flow.new_ms * ratio)
        return ends[0]

    def _known_ms(
        self, server: registry.Server, flow: object_world.Flow, key: str, now_ms: float
    ) -> float:
        name = server.server_id
        model = self._simulation.servers[name]
        wait_ms = self._free_ms(name, now_ms)
        work_ms = flow.new_ms * (objects.KNOWN_RATIO if key in model.queue.kept else 1.0)
        end_ms = model.end_ms(now_ms + wait_ms, work_ms) - now_ms
        return end_ms + (objects.FAR_MS if server.region != self._entry.region else 0.0)

    def _harm(self, server: registry.Server, now_ms: float) -> tuple[bool, float]:
        """Return the key by which servers are preferred for a first run."""
        name = server.server_id
        model = self._simulation.servers[name]
        loading = {self._simulation.jobs[n].request.key for n in model.queue.running}
        loading |= {self._simulation.jobs[n].request.key for n in model.queue.waiting}
        used = len(model.queue.kept) + len([k for k in loading if k not in model.queue.kept])
        share = used / self._simulation.shape.kept[server.report.service]
        far = 0.5 if server.region != self._entry.region else 0.0
        return share >= 1.0, self._free_ms(name, now_ms) / 200 + share + far


class BoundSimulation(objects.Simulation):
    """Entries that know everything."""

    def placing(self, entry: object_world.Entry) -> objects.Placing:
        """Return what knows everything.

        :param entry: the entry.
        """
        return KnowingPlacer(self, entry)
