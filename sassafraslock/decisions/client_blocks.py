"""The table from blocks of client addresses to sites.

Blocks are ranges of IPv4 addresses. The table is cut by the upper 16 bits of the address into
pages that never change; an update builds new pages and puts them in place one by one, so that
a look-up always sees a whole page and never waits.
"""

from __future__ import annotations

import array
import bisect
import dataclasses
import ipaddress
import typing

PAGE_COUNT = 1 << 16
PAGE_SHIFT = 16
PAGE_MASK = (1 << PAGE_SHIFT) - 1
NO_SITE = 0xFFFF
MAX_SITES = NO_SITE


@dataclasses.dataclass(slots=True, frozen=True)
class Block:
    """A range of addresses, both ends included, and its site's number."""

    first: int
    last: int
    site: int


class _Page(typing.NamedTuple):
    starts: array.array[int]
    sites: array.array[int]


_EMPTY = _Page(array.array("H", [0]), array.array("H", [NO_SITE]))


class ClientBlocks:
    """Maps client addresses to sites."""

    __slots__ = ("_pages", "sites", "revision")

    def __init__(self) -> None:
        self._pages: list[_Page] = [_EMPTY] * PAGE_COUNT
        self.sites: list[str] = []
        self.revision = 0

    def site_of(self, address: int) -> str:
        """Return the site of an address, empty where no block covers it.

        :param address: the IPv4 address as a number.
        """
        page = self._pages[address >> PAGE_SHIFT]
        site = page.sites[bisect.bisect_right(page.starts, address & PAGE_MASK) - 1]
        return self.sites[site] if site != NO_SITE else ""

    def replace(self, sites: list[str], blocks: typing.Iterable[Block], revision: int) -> None:
        """Load a whole table.

        :param sites: the sites by number.
        :param blocks: the blocks, which do not overlap, in order of address.
        :param revision: the table's revision.
        """
        by_page: dict[int, list[Block]] = {}
        for block in blocks:
            self._add(by_page, block)
        pages = [_EMPTY] * PAGE_COUNT
        for number, page_blocks in by_page.items():
            pages[number] = _build(page_blocks)
        self.sites, self._pages, self.revision = sites, pages, revision

    def update(self, blocks: list[Block], revision: int) -> None:
        """Move some blocks to other sites, page by page.

        :param blocks: the blocks that changed, in order of address.
        :param revision: the table's new revision.
        """
        by_page: dict[int, list[Block]] = {}
        for block in blocks:
            self._add(by_page, block)
        for number, changed in by_page.items():
            self._pages[number] = _overlay(self._pages[number], changed)
        self.revision = revision

    def _add(self, by_page: dict[int, list[Block]], block: Block) -> None:
        for number in range(block.first >> PAGE_SHIFT, (block.last >> PAGE_SHIFT) + 1):
            base = number << PAGE_SHIFT
            first = max(block.first, base) - base
            last = min(block.last, base + PAGE_MASK) - base
            by_page.setdefault(number, []).append(Block(first, last, block.site))


def _build(blocks: list[Block]) -> _Page:
    starts, sites = array.array("H"), array.array("H")
    free_from = 0
    for block in blocks:
        if block.first > free_from or not starts and block.first > 0:
            starts.append(free_from)
            sites.append(NO_SITE)
        starts.append(block.first)
        sites.append(block.site)
        free_from = block.last + 1
    if free_from <= PAGE_MASK:
        starts.append(free_from)
        sites.append(NO_SITE)
    return _Page(starts, sites)


def _overlay(page: _Page, changed: list[Block]) -> _Page:
    """Return a page with some ranges given to other sites."""
    ends = [*page.starts[1:], PAGE_MASK + 1]
    ranges = [
        Block(s, e - 1, site) for s, e, site in zip(page.starts, ends, page.sites, strict=True)
    ]
    for block in changed:
        ranges = [piece for known in ranges for piece in _cut(known, block)]
        ranges.append(block)
    ranges.sort(key=lambda b: b.first)
    starts = array.array("H", [b.first for b in ranges])
    return _Page(starts, array.array("H", [b.site for b in ranges]))


def _cut(known: Block, block: Block) -> list[Block]:
    """Return what is left of a range after another took its part."""
    pieces = []
    if known.first < block.first:
        pieces.append(Block(known.first, min(known.last, block.first - 1), known.site))
    if known.last > block.last:
        pieces.append(Block(max(known.first, block.last + 1), known.last, known.site))
    return pieces


def parse_address(text: str) -> int | None:
    """Return an IPv4 address, or a block's first address, as a number.

    :param text: as ``10.0.3.7`` or ``10.0.3.0/24``.
    """
    try:
        return int(ipaddress.IPv4Address(text.partition("/")[0]))
    except ValueError:
        return None
