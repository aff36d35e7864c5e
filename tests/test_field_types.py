"""Bounds of the fields that others write, against the parsers of the standard library."""

import ipaddress

import hypothesis
import hypothesis.strategies as st
import pytest

from sassafraslock import field_types
from tests import fact_source


def is_address(text):
    return field_types.is_valid(text, field_types.Address)


@hypothesis.given(st.ip_addresses(), st.integers(-10, 70_000))
def test_every_ip_address_with_a_port_is_an_address(ip, port):
    mapped = ip.version == 6 and "." in str(ip)
    assert is_address(f"{ip}:{port}") is (1 <= port <= 65_535 and not mapped)


@hypothesis.given(st.text("0123456789abcdef:.%[] \n\0", max_size=24))
def test_no_other_text_is_an_address(text):
    if is_address(text):
        host, port = field_types.split_address(text)
        assert ipaddress.ip_address(host) and 1 <= port <= 65_535
        assert port == int(text.rpartition(":")[2])


@pytest.mark.parametrize(
    "fields, fault",
    [
        ({}, ""),
        ({"slots": 0}, "slots"),
        ({"address": "10.0.0.1:0"}, "address"),
        ({"born_ms": 10**400}, "born_ms"),
        ({"cold_ms": 10**9}, "cold_ms"),
    ],
)
def test_a_dataclass_is_checked_against_its_types(fields, fault):
    found = field_types.check(fact_source.report("i-1", **fields))
    assert "regex" not in found and fault in found and bool(found) is bool(fault)
