"""Loads the table of client blocks from the object store and keeps it current."""

from __future__ import annotations

import hashlib
import logging
import random
import typing

import anyio
import msgspec

from sassafraslock import errors, events, platform, settings
from sassafraslock.decisions import client_blocks

MANIFEST_OBJECT = "client-blocks/manifest"
PART_PREFIX = "client-blocks/part/"
POLL_FACTOR = 4


class BlockLoader:
    """Follows the manifest; only parts that changed are read, one at a time.

    An older revision or a damaged part is never taken.
    """

    __slots__ = ("_settings", "_platform", "_blocks", "_parts")

    def __init__(
        self,
        process: settings.Settings,
        platform_client: typing.Any,
        blocks: client_blocks.ClientBlocks,
    ) -> None:
        self._settings = process
        self._platform = platform_client
        self._blocks = blocks
        self._parts: dict[int, str] = {}

    async def run(self, ready: anyio.Event) -> None:
        """Look for a newer table until cancelled.

        :param ready: set at once.
        """
        ready.set()
        while True:
            await self._follow()
            wait_ms = self._settings.poll_ms * POLL_FACTOR * random.uniform(0.8, 1.2)
            await anyio.sleep(wait_ms / 1000)

    async def _follow(self) -> None:
        raw = await self._platform.get_object(MANIFEST_OBJECT)
        if not isinstance(raw, bytes):
            return
        try:
            manifest = msgspec.msgpack.decode(raw, type=client_blocks.Manifest)
            if manifest.revision > self._blocks.revision:
                await self._load(manifest)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            events.log(events.Event.BLOCKS_REJECTED, str(error), logging.ERROR)

    async def _load(self, manifest: client_blocks.Manifest) -> None:
        self._blocks.sites = manifest.sites
        for part, name in manifest.parts.items():
            if self._parts.get(part) == name:
                continue
            raw = await self._platform.get_object(name)
            if not isinstance(raw, bytes):
                return
            self._blocks.install(part, raw)
            self._parts[part] = name
        for part in set(self._parts) - set(manifest.parts):
            self._blocks.install(part, msgspec.msgpack.encode([]))
            del self._parts[part]
        self._blocks.revision = manifest.revision
        events.log(events.Event.BLOCKS_LOADED, "client blocks loaded", rev=manifest.revision)

    def dump(self) -> dict[str, object]:
        """Return the table's revision and size."""
        return {
            "revision": self._blocks.revision,
            "sites": len(self._blocks.sites),
            "parts": len(self._parts),
        }


async def publish(
    store: platform.ObjectStore, sites: list[str], blocks: list[client_blocks.Block], revision: int
) -> errors.Refusal | None:
    """Write a table to the object store, the manifest last.

    The sites keep their numbers from revision to revision as long as new ones are added at the
    end; parts carry their digest in their name, so an unchanged part is not read again.

    :param store: the object store.
    :param sites: the sites by number.
    :param blocks: the blocks in order of address.
    :param revision: the table's revision, above the last one.
    """
    names = {}
    for part, raw in client_blocks.pack(client_blocks.build(blocks)).items():
        names[part] = f"{PART_PREFIX}{part}-{hashlib.blake2b(raw, digest_size=12).hexdigest()}"
        refused = await store.put_object(names[part], raw)
        if isinstance(refused, errors.Refusal):
            return refused
    manifest = client_blocks.Manifest(revision, sites, names)
    refused = await store.put_object(MANIFEST_OBJECT, msgspec.msgpack.encode(manifest))
    return refused if isinstance(refused, errors.Refusal) else None
