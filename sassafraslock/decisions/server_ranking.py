"""The order in which a region's servers are preferred for an object."""

from __future__ import annotations

from sassafraslock.decisions import hashing, registry

MAX_CACHED_RANKINGS = 16_384
MAX_RANKED = 12  # servers in a ranking


class ServerRanking:
    """Ranks servers by rendezvous hashing; rankings are cached until the registry changes."""

    __slots__ = ("_registry", "_rankings", "_ranked_generation")

    def __init__(self, servers: registry.Registry) -> None:
        self._registry = servers
        self._rankings: dict[tuple[str, str, str], list[registry.Server]] = {}
        self._ranked_generation = -1

    def servers(self, service: str, region: str, key: str) -> list[registry.Server]:
        """Return the first :data:`MAX_RANKED` usable servers, the object's home first.

        :param service: the service.
        :param region: the region of the servers.
        :param key: the object's affinity key.
        """
        is_stale = self._ranked_generation != self._registry.generation
        if is_stale or len(self._rankings) > MAX_CACHED_RANKINGS:
            self._rankings.clear()
            self._ranked_generation = self._registry.generation
        cache_key = (service, region, key)
        ranking = self._rankings.get(cache_key)
        if ranking is None:
            usable = [s for s in self._registry.usable_servers(service) if s.region == region]
            usable.sort(key=lambda s: home_score(key, s), reverse=True)
            ranking = self._rankings[cache_key] = usable[:MAX_RANKED]
        return ranking


def home_score(key: str, server: registry.Server) -> float:
    """Return a server's rendezvous score for an object, weighted by its slots.

    The server with the highest score of its region is the object's home.

    :param key: the object's affinity key.
    :param server: the server.
    """
    return hashing.rendezvous_score(key, server.server_id, max(1, server.report.slots))
