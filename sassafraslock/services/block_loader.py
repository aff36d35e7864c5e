"""Loads the table of client address blocks from the object store and keeps it up to date."""

from __future__ import annotations

import hashlib
import logging
import random
import typing

import anyio
import msgspec

from sassafraslock import errors, events, field_types, platform, settings
from sassafraslock.decisions import client_blocks

MANIFEST_OBJECT = "client-blocks/manifest"
PART_PREFIX = "client-blocks/part/"
POLL_FACTOR = 4


class BlockLoader:
    """Polls the manifest and reads the parts that changed, one at a time.

    A manifest of an older revision, or a part that cannot be decoded, is not installed; the other
    parts are. Each reason is logged once.
    """

    __slots__ = ("_settings", "_platform", "_blocks", "_parts", "_logged_reason")

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
        self._logged_reason = ""

    async def run(self, ready: anyio.Event) -> None:
        """Poll for a newer table until cancelled, every :data:`POLL_FACTOR` poll intervals.

        :param ready: set at once.
        """
        ready.set()
        while True:
            await self._poll()
            wait_ms = self._settings.poll_ms * POLL_FACTOR * random.uniform(0.8, 1.2)
            await anyio.sleep(wait_ms / 1000)

    async def _poll(self) -> None:
        raw = await self._platform.get_object(MANIFEST_OBJECT)
        if not isinstance(raw, bytes):
            return
        try:
            manifest = msgspec.msgpack.decode(raw, type=client_blocks.Manifest)
        except (msgspec.DecodeError, RecursionError) as error:
            self._reject(f"the manifest cannot be read: {field_types.describe(error)}")
            return
        if manifest.revision > self._blocks.revision:
            await self._load(manifest)

    def _reject(self, reason: str) -> None:
        if reason != self._logged_reason:
            self._logged_reason = reason
            events.log(events.Event.BLOCKS_REJECTED, reason, logging.ERROR)

    async def _load(self, manifest: client_blocks.Manifest) -> None:
        self._blocks.sites = manifest.sites
        for part, name in manifest.parts.items():
            if self._parts.get(part) == name:
                continue
            raw = await self._platform.get_object(name)
            if not isinstance(raw, bytes):
                return
            try:
                self._blocks.install(part, raw)
                self._parts[part] = name
            except msgspec.DecodeError as error:
                self._reject(f"part {part} ({name}) cannot be read: {error}")
        for part in set(self._parts) - set(manifest.parts):
            self._blocks.install(part, msgspec.msgpack.encode([]))
            del self._parts[part]
        self._blocks.revision = manifest.revision
        events.log(
            events.Event.BLOCKS_LOADED, "client address blocks loaded", rev=manifest.revision
        )

    def dump(self) -> dict[str, object]:
        """Return the table's revision and the numbers of its sites and parts."""
        return {
            "revision": self._blocks.revision,
            "sites": len(self._blocks.sites),
            "parts": len(self._parts),
        }


async def publish(
    store: platform.ObjectStore, sites: list[str], blocks: list[client_blocks.Block], revision: int
) -> errors.Refusal | None:
    """Write a table to the object store, the manifest last.

    New sites have to be appended, so that the others keep their numbers from revision to revision.
    A part's name contains its digest, so an unchanged part is not read again.

    :param store: the object store.
    :param sites: the sites by number.
    :param blocks: the blocks in order of address.
    :param revision: the table's revision, higher than the previous one.
    :returns: the refusal of the first write that failed, none if all succeeded.
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
