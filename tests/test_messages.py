"""Messages between entries: damaged, foreign and future ones are refused, never a crash."""

import anyio
import hypothesis
import hypothesis.strategies as st
import msgspec

from sassafraslock import errors, messages, settings
from sassafraslock.services import peers
from tests import test_membership

MESSAGE = test_membership.heartbeat()


def test_a_message_comes_back_as_it_was():
    assert messages.decode(messages.encode(MESSAGE)) == MESSAGE


def test_another_version_is_refused_with_the_fix():
    future = msgspec.structs.replace(MESSAGE, version=9)
    refused = messages.decode(messages.encode(future))
    assert refused.kind is errors.ErrorKind.PEER_PROTOCOL
    assert "update the entry" in refused.reason


@hypothesis.given(st.binary(max_size=300), st.integers(0, 400))
@hypothesis.settings(derandomize=True, deadline=None)
def test_damaged_bytes_are_refused(noise, cut):
    raw = messages.encode(MESSAGE)
    for damaged in (noise, raw[: min(cut, len(raw) - 1)], raw + b"\0"):
        assert isinstance(messages.decode(damaged), errors.Refusal)


def test_a_stranger_is_dropped_and_counted():
    class Nowhere:
        def send(self, address, raw):
            self.raw = raw
            return True

    address = settings.Address("10.0.0.1", 1)
    process = settings.Settings(
        "a", "r", "a", address, address, settings.Operator("10.0.0.1", 2, "token-token"),
        settings.Platform("10.0.0.1", 3, "r"), "the-right-token",
    )  # fmt: skip
    carrier = Nowhere()

    async def main():
        mine = peers.PeerService(process, carrier)
        process.peer_token = "another-token"
        theirs = peers.PeerService(process, carrier)
        theirs.send("x", MESSAGE)
        mine._deliver(carrier.raw, None)
        mine._deliver(b"short", None)
        assert mine.rejected == 2

    anyio.run(main)
