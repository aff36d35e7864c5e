"""Encoding of copies: compressed once for all peers that ask for the same one."""

import zlib

import msgspec
import pytest

from sassafraslock import facts
from sassafraslock.services import copy_encoder, store_export
from tests import fact_source

MAX_BYTES = 1 << 20


def export(servers, version=7):
    rows = [
        facts.Change(facts.Topic.SERVERS, f"i-{n}", version, report=fact_source.report(f"i-{n}"))
        for n in range(servers)
    ]
    return store_export.Export({"servers": version}, rows, 40, [])


def decode(copy):
    plain = copy_encoder.decompress(copy.body, MAX_BYTES) if copy.is_compressed else copy.body
    return msgspec.msgpack.decode(plain, type=store_export.Export)


@pytest.mark.parametrize("servers", [0, 1, 500])
def test_a_copy_is_the_same_after_it_was_sent(servers):
    copy = copy_encoder.CopyEncoder().encode(export(servers), {"servers": 1}, 0)
    assert decode(copy) == export(servers)
    assert copy.is_compressed == (servers == 500)


def test_peers_that_ask_at_the_same_time_share_one_copy():
    encoder, requested = copy_encoder.CopyEncoder(), {"servers": 1}
    first = encoder.encode(export(500), requested, 0)
    assert encoder.encode(export(500), dict(requested), copy_encoder.SHARED_MS) is first
    others = [
        encoder.encode(export(500), {"servers": 2}, 1),
        encoder.encode(export(500, version=8), requested, 1),
        encoder.encode(export(500), requested, 2 + copy_encoder.SHARED_MS),
    ]
    assert all(other is not first for other in others)


@pytest.mark.parametrize("data", [b"", b"nothing", zlib.compress(b"x" * 99)[:-5]])
def test_what_is_not_a_whole_compressed_copy_is_refused(data):
    with pytest.raises(ValueError, match="copy"):
        copy_encoder.decompress(data, MAX_BYTES)


def test_a_copy_that_grows_beyond_the_limit_is_refused():
    with pytest.raises(ValueError, match="larger"):
        copy_encoder.decompress(zlib.compress(bytes(MAX_BYTES + 1)), MAX_BYTES)
