"""The table of client blocks from the object store: an odd part costs that part alone."""

import anyio
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sassafraslock import events
from sassafraslock.decisions import client_blocks
from sassafraslock.services import block_loader
from sassafraslock.standin import platform as standin

FIRST, SECOND = 10 << 24, 11 << 24
BLOCKS = [client_blocks.Block(FIRST, FIRST + 255, 0), client_blocks.Block(SECOND, SECOND + 255, 1)]
NESTED = b"\x91" * 5_000 + b"\x01"


def page(number=11 << 8, starts=b"\0\0", sites=b"\0\0"):
    return msgspec.msgpack.encode([[number, starts, sites]])


ODD_PARTS = {
    "empty": b"",
    "nested": b"\x91\x94" + page()[2:-1] + b"\x00" + NESTED,
    "page of another part": page(10 << 8),
    "page below zero": page(-1),
    "page too high": page(1 << 16),
    "odd bytes": page(starts=b"\0\0\0"),
    "no starts": page(starts=b""),
    "starts that fall": page(starts=b"\0\0\5\0\4\0", sites=b"\0\0\0\0\0\0"),
}


async def published(revision=1):
    objects = standin.FaultyPlatform(standin.MemoryPlatform(), standin.Faults(), 1)
    await block_loader.publish(objects, ["a/1", "b/1"], BLOCKS, revision)
    loader = block_loader.BlockLoader(None, objects, client_blocks.ClientBlocks())
    return objects, loader


@pytest.mark.parametrize("name", list(ODD_PARTS))
def test_an_odd_part_costs_that_part_alone(name, caplog):
    async def scenario():
        objects, loader = await published()
        manifest = msgspec.msgpack.decode(objects.memory.objects[block_loader.MANIFEST_OBJECT])
        objects.memory.objects[manifest["parts"][11]] = ODD_PARTS[name]
        for _ in range(3):
            await loader._poll()
        assert loader._blocks.site_of(FIRST) == "a/1" and loader._blocks.site_of(SECOND) == ""
        await block_loader.publish(objects, ["a/1", "b/1"], BLOCKS, 2)
        await loader._poll()
        assert loader._blocks.site_of(SECOND) == "b/1"

    anyio.run(scenario)
    rejected = [r for r in caplog.records if r.event is events.Event.BLOCKS_REJECTED]
    assert len(rejected) == 1


ODD_MANIFESTS = [
    {"revision": 2, "sites": [], "parts": {256: "x"}},
    {"revision": 2, "sites": [], "parts": {-1: "x"}},
    {"revision": 2, "sites": [], "parts": {1: "x\r\ny: z"}},
    {"revision": 2, "sites": ["\0"], "parts": {}},
    {"revision": -2, "sites": [], "parts": {}},
    {"revision": 2, "sites": "a", "parts": {}},
    [],
    msgspec.Raw(NESTED),
    {"revision": 2, "sites": [], "parts": {}, "later": msgspec.Raw(NESTED)},
]


# Guards against a number of a part that raised out of the loader, and one that wrote elsewhere.
@pytest.mark.parametrize("manifest", ODD_MANIFESTS, ids=lambda m: str(m)[:48])
def test_an_odd_manifest_leaves_the_table_and_is_logged_once(manifest, caplog):
    async def scenario():
        objects, loader = await published()
        await loader._poll()
        objects.memory.objects["x"] = b"\x90"
        objects.memory.objects[block_loader.MANIFEST_OBJECT] = msgspec.msgpack.encode(manifest)
        for _ in range(3):
            await loader._poll()
        assert loader._blocks.revision == 1 and loader._blocks.site_of(SECOND) == "b/1"

    anyio.run(scenario)
    rejected = [r for r in caplog.records if r.event is events.Event.BLOCKS_REJECTED]
    assert len(rejected) == 1


@hypothesis.given(st.binary(), st.integers(-300, 300))
def test_no_bytes_raise_anything_but_the_documented_error(raw, part):
    for data in (raw, page(part << 8, raw, raw), msgspec.msgpack.encode(raw)):
        try:
            client_blocks.unpack(data)
        except msgspec.DecodeError:
            continue
