"""The table from blocks of client addresses to sites.

Blocks are ranges of IPv4 addresses. The table is cut by the upper 16 bits of the address into
pages that never change. A new part of the table is decoded first and put in place page by page,
so that a look-up always sees a whole page and never waits.
"""

from __future__ import annotations

import array
import bisect
import dataclasses
import ipaddress
import sys
import typing

import msgspec

PAGE_COUNT = 1 << 16
PAGES_PER_PART = 1 << 8
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


class Page(typing.NamedTuple):
    """The ranges of one page: where each starts, and its site's number."""

    starts: array.array[int]
    sites: array.array[int]


_EMPTY = Page(array.array("H", [0]), array.array("H", [NO_SITE]))


class Manifest(msgspec.Struct, frozen=True):
    """Names the sites by number, and the object that holds each part of the table."""

    revision: int
    sites: list[str]
    parts: dict[int, str]


class PackedPage(msgspec.Struct, frozen=True, array_like=True):
    """A page as the object store keeps it, with little-endian numbers of 16 bits."""

    number: int
    starts: bytes
    sites: bytes


class ClientBlocks:
    """Maps client addresses to sites."""

    __slots__ = ("_pages", "sites", "revision")

    def __init__(self) -> None:
        self._pages: list[Page] = [_EMPTY] * PAGE_COUNT
        self.sites: list[str] = []
        self.revision = 0

    def site_of(self, address: int) -> str:
        """Return the site of an address, empty where no block covers it.

        :param address: the IPv4 address as a number.
        """
        page = self._pages[address >> PAGE_SHIFT]
        site = page.sites[bisect.bisect_right(page.starts, address & PAGE_MASK) - 1]
        return self.sites[site] if site < len(self.sites) else ""

    def install(self, part: int, raw: bytes) -> None:
        """Put a part of the table in place, page by page.

        :param part: the part's number, the upper 8 bits of its addresses.
        :param raw: the part as :func:`pack` made it.
        :raises msgspec.DecodeError: if the part is damaged; then nothing changed.
        """
        pages = unpack(raw)
        first = part * PAGES_PER_PART
        for number in range(first, first + PAGES_PER_PART):
            self._pages[number] = pages.get(number, _EMPTY)


def build(blocks: typing.Iterable[Block]) -> dict[int, Page]:
    """Build pages from blocks.

    :param blocks: blocks that do not overlap, in order of address.
    :raises ValueError: if blocks overlap or are out of order.
    """
    by_page: dict[int, list[Block]] = {}
    free_from = 0
    for block in blocks:
        if block.first < free_from or block.last < block.first:
            address = ipaddress.IPv4Address(block.first)
            raise ValueError(f"the block at {address} overlaps the one before; sort and mend them")
        free_from = block.last + 1
        _cut_by_page(by_page, block)
    return {number: _build_page(cut) for number, cut in by_page.items()}


def _cut_by_page(by_page: dict[int, list[Block]], block: Block) -> None:
    for number in range(block.first >> PAGE_SHIFT, (block.last >> PAGE_SHIFT) + 1):
        base = number << PAGE_SHIFT
        first = max(block.first, base) - base
        last = min(block.last, base + PAGE_MASK) - base
        by_page.setdefault(number, []).append(Block(first, last, block.site))


def _build_page(blocks: list[Block]) -> Page:
    starts, sites = array.array("H"), array.array("H")
    free_from = 0
    for block in blocks:
        if block.first > free_from:
            starts.append(free_from)
            sites.append(NO_SITE)
        starts.append(block.first)
        sites.append(block.site)
        free_from = block.last + 1
    if free_from <= PAGE_MASK:
        starts.append(free_from)
        sites.append(NO_SITE)
    return Page(starts, sites)


def pack(pages: dict[int, Page]) -> dict[int, bytes]:
    """Return the parts of a table as bytes for the object store.

    :param pages: the pages by number.
    """
    parts: dict[int, list[PackedPage]] = {}
    for number, page in sorted(pages.items()):
        packed = PackedPage(number, _little(page.starts), _little(page.sites))
        parts.setdefault(number // PAGES_PER_PART, []).append(packed)
    return {part: msgspec.msgpack.encode(packed) for part, packed in parts.items()}


def unpack(raw: bytes) -> dict[int, Page]:
    """Return the pages of a part.

    :param raw: the part as :func:`pack` made it.
    :raises msgspec.DecodeError: if the part is damaged.
    """
    pages = {}
    for packed in msgspec.msgpack.decode(raw, type=list[PackedPage]):
        page = Page(_numbers(packed.starts), _numbers(packed.sites))
        if len(page.starts) != len(page.sites) or not page.starts or page.starts[0] != 0:
            raise msgspec.DecodeError(f"page {packed.number} is damaged")
        pages[packed.number] = page
    return pages


def _little(numbers: array.array[int]) -> bytes:
    copy = array.array("H", numbers)
    if sys.byteorder == "big":
        copy.byteswap()
    return copy.tobytes()


def _numbers(raw: bytes) -> array.array[int]:
    numbers = array.array("H")
    try:
        numbers.frombytes(raw)
    except ValueError as error:
        raise msgspec.DecodeError("a page has half a number") from error
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def parse_address(text: str) -> int | None:
    """Return an IPv4 address, or a block's first address, as a number.

    :param text: as ``10.0.3.7`` or ``10.0.3.0/24``.
    """
    try:
        return int(ipaddress.IPv4Address(text.partition("/")[0]))
    except ValueError:
        return None


def parse_table(lines: typing.Iterable[str]) -> tuple[list[str], list[Block]]:
    """Read blocks from lines of ``10.0.3.0/24,REGION/ZONE``.

    :param lines: the lines; empty ones are passed over.
    :raises ValueError: naming the line at fault and what to write.
    """
    numbers: dict[str, int] = {}
    blocks = []
    for count, line in enumerate(lines, 1):
        if not line.strip():
            continue
        network, _, site = line.strip().partition(",")
        try:
            parsed = ipaddress.IPv4Network(network)
        except ValueError as error:
            raise ValueError(f"line {count}: {error}; write 10.0.3.0/24,REGION/ZONE") from error
        number = numbers.setdefault(site, len(numbers))
        blocks.append(Block(int(parsed.network_address), int(parsed.broadcast_address), number))
    if len(numbers) > MAX_SITES:
        raise ValueError(f"{len(numbers)} sites are more than {MAX_SITES}")
    return list(numbers), sorted(blocks, key=lambda b: b.first)
