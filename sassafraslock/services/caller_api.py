"""The callers' interface: which entry to use, and requests to services."""

from __future__ import annotations

import msgspec

from sassafraslock import header_names, http_messages
from sassafraslock.decisions import client_blocks
from sassafraslock.services import directory

ENTRIES_PATH = "/entries"
MAX_NAMED = 16


class EntryEndpoint(msgspec.Struct, frozen=True):
    """One entry that a caller may use, with its weight."""

    entry_id: str
    region: str
    zone: str
    address: str
    weight: int


class EntryList(msgspec.Struct, frozen=True):
    """The answer of a look-up, in order of preference."""

    service: str
    valid_ms: int
    entries: list[EntryEndpoint]


class CallerApi:
    """Answers look-ups and hands requests to the line of stages."""

    __slots__ = ("_line", "_names", "_blocks", "_own_site", "_headers")

    def __init__(
        self,
        line: http_messages.Handler,
        names: directory.Directory,
        blocks: client_blocks.ClientBlocks,
        own_site: str,
        headers: header_names.HeaderNames,
    ) -> None:
        self._line = line
        self._names = names
        self._blocks = blocks
        self._own_site = own_site
        self._headers = headers

    async def __call__(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request.

        :param request: the caller's request.
        """
        if request.path != ENTRIES_PATH:
            return await self._line(request)
        body = msgspec.json.encode(self.entries(request))
        return http_messages.Response(200, [(b"content-type", b"application/json")], body)

    def entries(self, request: http_messages.Request) -> EntryList:
        """Return the entries to use, those of the caller's site first.

        :param request: names the service and, if it likes, the caller's address or block.
        """
        address = client_blocks.parse_address(request.parameter("client"))
        site = (self._blocks.site_of(address) if address is not None else "") or self._own_site
        region = site.partition("/")[0]
        named = sorted(
            self._names.candidates(),
            key=lambda c: (c.region != region, c.zone != site, c.entry_id),
        )
        found = [
            EntryEndpoint(c.entry_id, c.region, c.zone.rpartition("/")[2], c.address, 1)
            for c in named[:MAX_NAMED]
        ]
        return EntryList(request.parameter("service"), self._names.validity_ms, found)
