"""A lookup table from IPv4 address blocks of clients to sites (region and zone).

The upper 16 bits of an address select one of 65536 immutable pages, which are grouped into 256
parts. A new part is decoded completely before its pages replace the old ones, so that a lookup
always sees a consistent page and never blocks.
"""

from __future__ import annotations

import array
import bisect
import dataclasses
import ipaddress
import itertools
import sys
import typing

import msgspec

from sassafraslock import field_types

PAGE_COUNT = 1 << 16
PAGES_PER_PART = 1 << 8
PAGE_SHIFT = 16
PAGE_MASK = (1 << PAGE_SHIFT) - 1
NO_SITE = 0xFFFF
MAX_SITES = NO_SITE

PartNumber = typing.Annotated[int, msgspec.Meta(ge=0, lt=PAGE_COUNT // PAGES_PER_PART)]
PageNumber = typing.Annotated[int, msgspec.Meta(ge=0, lt=PAGE_COUNT)]
Sites = typing.Annotated[list[field_types.Name], msgspec.Meta(max_length=MAX_SITES)]


@dataclasses.dataclass(slots=True, frozen=True)
class Block:
    """An inclusive range of addresses and the index of its site in the list of sites."""

    first: int
    last: int
    site: int


class Page(typing.NamedTuple):
    """The ranges of one page, sorted by address.

    ``starts`` holds the lower 16 bits of each range's first address, and ``sites`` the index of its
    site, :data:`NO_SITE` for a gap. A range ends where the next one starts.
    """

    starts: array.array[int]
    sites: array.array[int]


_EMPTY_PAGE = Page(array.array("H", [0]), array.array("H", [NO_SITE]))


class Manifest(msgspec.Struct, frozen=True):
    """A revision of the table: the list of sites, and the name of the object with each part.

    Parts without blocks are missing.
    """

    revision: field_types.Version
    sites: Sites
    parts: dict[PartNumber, field_types.Path]


class PackedPage(msgspec.Struct, frozen=True, array_like=True):
    """A page in the object store; both arrays hold little-endian 16-bit numbers."""

    number: PageNumber
    starts: bytes
    sites: bytes


class ClientBlocks:
    """The table in memory; ``revision`` is 0 until a manifest is loaded."""

    __slots__ = ("_pages", "sites", "revision")

    def __init__(self) -> None:
        self._pages: list[Page] = [_EMPTY_PAGE] * PAGE_COUNT
        self.sites: list[str] = []
        self.revision = 0

    def site_of(self, address: int) -> str:
        """Return the site of an address, or an empty string if no block contains it.

        :param address: the IPv4 address as an integer.
        """
        page = self._pages[address >> PAGE_SHIFT]
        site = page.sites[bisect.bisect_right(page.starts, address & PAGE_MASK) - 1]
        return self.sites[site] if site < len(self.sites) else ""

    def install(self, part: int, raw: bytes) -> None:
        """Replace all pages of a part; pages missing in the new part become empty.

        :param part: the number of the part, which is the upper 8 bits of its addresses.
        :param raw: the part as :func:`pack` encoded it.
        :raises msgspec.DecodeError: if the part is damaged; the table is unchanged then.
        """
        pages = unpack(raw)
        first = part * PAGES_PER_PART
        if any(number // PAGES_PER_PART != part for number in pages):
            raise msgspec.DecodeError(
                f"part {part} has pages of another part; publish the blocks again"
            )
        for number in range(first, first + PAGES_PER_PART):
            self._pages[number] = pages.get(number, _EMPTY_PAGE)


def build(blocks: typing.Iterable[Block]) -> dict[int, Page]:
    """Return the pages that contain at least one of the blocks, by page number.

    :param blocks: blocks that do not overlap, sorted by address.
    :raises ValueError: if blocks overlap or are not sorted.
    """
    by_page: dict[int, list[Block]] = {}
    next_free = 0
    for block in blocks:
        if block.first < next_free or block.last < block.first:
            address = ipaddress.IPv4Address(block.first)
            raise ValueError(
                f"block at {address} overlaps or precedes the previous one; sort the blocks and"
                " remove overlaps"
            )
        next_free = block.last + 1
        _split_by_page(by_page, block)
    return {number: _build_page(page_blocks) for number, page_blocks in by_page.items()}


def _split_by_page(by_page: dict[int, list[Block]], block: Block) -> None:
    for number in range(block.first >> PAGE_SHIFT, (block.last >> PAGE_SHIFT) + 1):
        base = number << PAGE_SHIFT
        first = max(block.first, base) - base
        last = min(block.last, base + PAGE_MASK) - base
        by_page.setdefault(number, []).append(Block(first, last, block.site))


def _build_page(blocks: list[Block]) -> Page:
    starts, sites = array.array("H"), array.array("H")
    next_free = 0
    for block in blocks:
        if block.first > next_free:
            starts.append(next_free)
            sites.append(NO_SITE)
        starts.append(block.first)
        sites.append(block.site)
        next_free = block.last + 1
    if next_free <= PAGE_MASK:
        starts.append(next_free)
        sites.append(NO_SITE)
    return Page(starts, sites)


def pack(pages: dict[int, Page]) -> dict[int, bytes]:
    """Encode pages for the object store, grouped into parts by part number.

    :param pages: the pages by page number.
    """
    parts: dict[int, list[PackedPage]] = {}
    for number, page in sorted(pages.items()):
        packed = PackedPage(number, _to_little_endian(page.starts), _to_little_endian(page.sites))
        parts.setdefault(number // PAGES_PER_PART, []).append(packed)
    return {part: msgspec.msgpack.encode(packed) for part, packed in parts.items()}


def unpack(raw: bytes) -> dict[int, Page]:
    """Return the pages of a part by page number.

    :param raw: the part as :func:`pack` encoded it.
    :raises msgspec.DecodeError: if the part is damaged.
    """
    pages = {}
    try:
        packed_pages = msgspec.msgpack.decode(raw, type=list[PackedPage])
    except RecursionError as error:
        raise msgspec.DecodeError("the part is nested deeply; publish the blocks again") from error
    for packed in packed_pages:
        page = Page(_from_little_endian(packed.starts), _from_little_endian(packed.sites))
        is_complete = len(page.starts) == len(page.sites) and page.starts and not page.starts[0]
        if not is_complete or any(a >= b for a, b in itertools.pairwise(page.starts)):
            raise msgspec.DecodeError(
                f"page {packed.number} has {len(page.starts)} starts and {len(page.sites)} sites;"
                " both must be equal, and the starts rise from 0; publish the blocks again"
            )
        pages[packed.number] = page
    return pages


def _to_little_endian(numbers: array.array[int]) -> bytes:
    copy = array.array("H", numbers)
    if sys.byteorder == "big":
        copy.byteswap()
    return copy.tobytes()


def _from_little_endian(raw: bytes) -> array.array[int]:
    numbers = array.array("H")
    try:
        numbers.frombytes(raw)
    except ValueError as error:
        raise msgspec.DecodeError(
            f"a page's array has {len(raw)} bytes, not a multiple of 2; publish the blocks again"
        ) from error
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers


def parse_address(text: str) -> int | None:
    """Return an IPv4 address as an integer, or none if the text is not one.

    :param text: an address such as ``10.0.3.7``, or a block such as ``10.0.3.0/24``, of which the
        address before the slash is returned.
    """
    try:
        return int(ipaddress.IPv4Address(text.partition("/")[0]))
    except ValueError:
        return None


def parse_table(lines: typing.Iterable[str]) -> tuple[list[str], list[Block]]:
    """Parse lines of the form ``10.0.3.0/24,REGION/ZONE``.

    :param lines: the lines; empty ones are skipped.
    :returns: the sites, and the blocks sorted by address, which may overlap.
    :raises ValueError: with the line number and the expected form if a line is not valid, or if
        there are more than :data:`MAX_SITES` sites.
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
        raise ValueError(f"{len(numbers)} sites, but at most {MAX_SITES} are supported; merge some")
    return list(numbers), sorted(blocks, key=lambda b: b.first)
