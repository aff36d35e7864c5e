"""The platform's services over HTTP, behind a circuit breaker."""

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
MAX_ANSWER_BYTES = 8 << 20  # several calls may be under way at once


class PlatformClient:
    """Calls table service and object store with a bound on each call.

    After failures in a row, calls are refused at once except for a probe now and then.
    """

    __slots__ = ("_base", "_timeout_s", "_pool", "_breaker")

    def __init__(self, where: settings.Platform) -> None:
        self._base = f"http://{where.host}:{where.port}"
        self._timeout_s = where.timeout_ms / 1000
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEP_ALIVE_S
        )
        self._breaker = breaker.CircuitBreaker()

    @property
    def available(self) -> bool:
        """Whether the last calls were answered."""
        return self._breaker.is_closed

    @property
    def last_ok_ms(self) -> int:
        """When the platform last answered."""
        return self._breaker.last_ok_ms

    async def run(self, ready: anyio.Event) -> None:
        """Keep the connections until cancelled, then close them.

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

        :param transaction: what to check, write and read.
        """
        body = msgspec.msgpack.encode(transaction)
        return await self._call("POST", "/table", body, platform.TransactionResult)

    async def get_object(self, name: str) -> platform.ObjectResult:
        """Return an object's bytes.

        :param name: the object's name.
        """
        return await self._call("GET", f"/objects/{name}", b"", bytes | None)

    async def put_object(self, name: str, value: bytes) -> platform.ObjectResult:
        """Write an object whole.

        :param name: the object's name.
        :param value: its bytes.
        """
        return await self._call("PUT", f"/objects/{name}", value, bytes | None)

    async def _call(self, method: str, path: str, body: bytes, answer: typing.Any) -> typing.Any:
        if not self._breaker.allow_call(clock.monotonic_ms()):
            return _refusal("the platform did not answer lately")
        try:
            with anyio.fail_after(self._timeout_s):
                response = await bounded_call.request(
                    self._pool, method, self._base + path, MAX_ANSWER_BYTES, content=body
                )
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            return self._failed(f"the platform call failed: {type(error).__name__}")
        if response.status != 200:
            return self._failed(f"the platform answered {response.status}")
        if self._breaker.record_success(clock.monotonic_ms()):
            events.log(events.Event.STORE_UP, "the platform answers again")
        return msgspec.msgpack.decode(response.body, type=answer)

    def _failed(self, reason: str) -> errors.Refusal:
        if self._breaker.record_failure():
            events.log(events.Event.STORE_DOWN, "the platform does not answer", logging.WARNING)
        return _refusal(reason)

    def dump(self) -> dict[str, object]:
        """Return the state of the circuit breaker."""
        return {"available": self.available, "last_ok_ms": self.last_ok_ms}


def _refusal(reason: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, reason, breaker.PROBE_INTERVAL_MS)
