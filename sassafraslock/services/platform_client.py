"""HTTP client of the platform's table service and object store, with a circuit breaker."""

from __future__ import annotations

import logging
import typing

import anyio
import httpcore
import msgspec

from sassafraslock import bounded_call, clock, errors, events, platform, settings
from sassafraslock.decisions import breaker

MAX_CONNECTIONS = 16
KEEP_ALIVE_S = 5.0
MAX_ANSWER_BYTES = 8 << 20  # bounds memory: several calls may run at once


class PlatformClient:
    """Calls table service and object store with a time limit and a size limit on each call.

    After consecutive failures, the circuit breaker opens: calls are refused at once, except for a
    probe every ``breaker.PROBE_INTERVAL_MS``.
    """

    __slots__ = ("_base", "_timeout_s", "_pool", "_breaker")

    def __init__(self, platform_settings: settings.Platform) -> None:
        self._base = f"http://{platform_settings.host}:{platform_settings.port}"
        self._timeout_s = platform_settings.timeout_ms / 1000
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEP_ALIVE_S
        )
        self._breaker = breaker.CircuitBreaker()

    @property
    def available(self) -> bool:
        """Whether the circuit breaker is closed, so that calls are sent."""
        return self._breaker.is_closed

    @property
    def last_ok_ms(self) -> int:
        """The monotonic time of the platform's last answer."""
        return self._breaker.last_ok_ms

    async def run(self, ready: anyio.Event) -> None:
        """Wait until cancelled, then close the connections.

        :param ready: set at once.
        """
        ready.set()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await self._pool.aclose()

    async def transact(self, transaction: platform.Transaction) -> platform.TableResult:
        """Run one transaction.

        :param transaction: the conditions, writes and reads.
        :returns: the outcome, or a refusal if the call failed.
        """
        body = msgspec.msgpack.encode(transaction)
        return await self._call("POST", "/table", body, platform.TransactionResult)

    async def get_object(self, name: str) -> platform.ObjectResult:
        """Return an object's bytes, none if there is no such object.

        :param name: the object's name.
        """
        return await self._call("GET", f"/objects/{name}", b"", bytes | None)

    async def put_object(self, name: str, value: bytes) -> platform.ObjectResult:
        """Create or replace an object.

        :param name: the object's name.
        :param value: its bytes.
        """
        return await self._call("PUT", f"/objects/{name}", value, bytes | None)

    async def _call(
        self, method: str, path: str, body: bytes, answer_type: typing.Any
    ) -> typing.Any:
        if not self._breaker.allow_call(clock.monotonic_ms()):
            return _refusal("the platform has failed to answer; the circuit breaker is open")
        try:
            with anyio.fail_after(self._timeout_s):
                response = await bounded_call.request(
                    self._pool, method, self._base + path, MAX_ANSWER_BYTES, content=body
                )
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            return self._record_failure(f"the call to the platform failed: {type(error).__name__}")
        if response.status != 200:
            return self._record_failure(f"the platform answered with status {response.status}")
        try:
            answer = msgspec.msgpack.decode(response.body, type=answer_type)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._record_failure(f"the platform's answer cannot be read: {error!r}")
        if self._breaker.record_success(clock.monotonic_ms()):
            events.log(events.Event.STORE_UP, "platform answers again; circuit breaker closed")
        return answer

    def _record_failure(self, reason: str) -> errors.Refusal:
        if self._breaker.record_failure():
            events.log(
                events.Event.STORE_DOWN,
                "platform does not answer; circuit breaker open",
                logging.WARNING,
            )
        return _refusal(reason)

    def dump(self) -> dict[str, object]:
        """Return whether the circuit breaker is closed, and the time of the last answer."""
        return {"available": self.available, "last_ok_ms": self.last_ok_ms}


def _refusal(reason: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, reason, breaker.PROBE_INTERVAL_MS)
