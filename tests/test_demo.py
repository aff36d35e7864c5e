"""The whole path over loopback HTTP, with a drain, a shift, a kill and a store outage."""

import anyio

from sassafraslock import demo


def test_demo_keeps_every_promise():
    summary = anyio.run(demo.run, lambda line: None)
    assert summary.requests > 0
    assert summary.broken_promises() == []
