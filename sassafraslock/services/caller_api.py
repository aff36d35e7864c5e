"""The callers' HTTP API: look-ups of entries, and requests to services."""

from __future__ import annotations

import msgspec

from sassafraslock import header_names, http_messages
from sassafraslock.decisions import client_blocks
from sassafraslock.services import directory

ENTRIES_PATH = "/entries"
MAX_ENTRIES = 16


class EntryEndpoint(msgspec.Struct, frozen=True):
    """An entry that a caller may use, with its weight in the caller's choice."""

    entry_id: str
    region: str
    zone: str
    address: str
    weight: int


class EntryList(msgspec.Struct, frozen=True):
    """The entries for a service in order of preference, valid for ``valid_ms``."""

    service: str
    valid_ms: int
    entries: list[EntryEndpoint]


class CallerApi:
    """Answers look-ups of entries and passes all other requests to the pipeline."""

    __slots__ = ("_pipeline", "_directory", "_blocks", "_own_site", "_headers")

    def __init__(
        self,
        pipeline: http_messages.Handler,
        entry_directory: directory.Directory,
        blocks: client_blocks.ClientBlocks,
        own_site: str,
        headers: header_names.HeaderNames,
    ) -> None:
        self._pipeline = pipeline
        self._directory = entry_directory
        self._blocks = blocks
        self._own_site = own_site
        self._headers = headers

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Return the response to a request.

        :param request: the caller's request.
        """
        if request.path != ENTRIES_PATH:
            return await self._pipeline(request)
        body = msgspec.json.encode(self.entries(request))
        return http_messages.Response(200, [(b"content-type", b"application/json")], body)

    def entries(self, request: http_messages.Request) -> EntryList:
        """Return up to :data:`MAX_ENTRIES` entries, those of the caller's zone first.

        The caller's region comes next. Without a known client address, this entry's own zone is
        taken for the caller's.

        :param request: has the query parameters ``service`` and, optionally, ``client`` with the
            IPv4 address or address block of the caller.
        """
        address = client_blocks.parse_address(request.parameter("client"))
        site = (self._blocks.site_of(address) if address is not None else "") or self._own_site
        region = site.partition("/")[0]
        candidates = sorted(
            self._directory.candidates(),
            key=lambda c: (c.region != region, c.zone != site, c.entry_id),
        )
        endpoints = [
            EntryEndpoint(c.entry_id, c.region, c.zone.rpartition("/")[2], c.address, 1)
            for c in candidates[:MAX_ENTRIES]
        ]
        return EntryList(request.parameter("service"), self._directory.validity_ms, endpoints)
