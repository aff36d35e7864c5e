"""The datagrams of gossip before compression."""

from __future__ import annotations

import typing

import msgspec

from sassafraslock.decisions import (
    departing_servers,
    entry_capacity,
    intents_proof,
    load_reports,
    object_memory,
    quarantine,
    roster,
    server_limits,
    server_restarts,
    work_pace,
)

# The first byte of datagrams of other services; the compressed gossip messages begin with 0x78.
DATAGRAM_MARK = b"\x01"


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One gossip datagram before compression.

    ``records`` holds the sender's record, first, and those of some live entries; ``beats`` holds
    heartbeat counters of other live entries. ``limits``, ``departures`` and ``restarts`` go to all
    entries, ``loads`` to entries nearby only, and ``objects`` to entries of the same region. New
    fields go to the end, as entries of former versions ignore what follows the last field that they
    know.
    """

    records: list[roster.MemberRecord]
    beats: list[roster.Heartbeat] = []
    suspects: list[quarantine.SuspectReport] = []
    loads: list[load_reports.LoadReport] = []
    objects: list[object_memory.ObjectReport] = []
    limits: list[server_limits.LimitReport] = []
    departures: list[departing_servers.DepartureReport] = []
    restarts: list[server_restarts.RestartReport] = []


class ExtendedMessage(Message, frozen=True, array_like=True):
    """A datagram with what only some deployments have to tell; the others send :class:`Message`.

    ``proofs`` goes to all entries, ``paces`` to entries nearby only, ``capacities`` to those of the
    same region.
    """

    proofs: list[intents_proof.ProofReport] = []
    paces: list[work_pace.PaceReport] = []
    capacities: list[entry_capacity.CapacityReport] = []


def extended(message: Message, **lists: list[typing.Any]) -> Message:
    """Return a message with further lists, the same one if they are empty.

    :param message: the message.
    :param lists: the lists by their names in :class:`ExtendedMessage`.
    """
    if not any(lists.values()):
        return message
    return ExtendedMessage(**{**msgspec.structs.asdict(message), **lists})
