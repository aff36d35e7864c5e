"""The platform's services over HTTP, behind a circuit breaker."""

from __future__ import annotations

import logging
import typing

import anyio
import httpcore
import msgspec

from sassafraslock import clock, errors, events, platform, settings

FAILURES_TO_OPEN = 3
OPEN_MS = 500
MAX_CONNECTIONS = 16

_T = typing.TypeVar("_T")


class PlatformClient:
    """Calls table service, object store and VM list with a bound on each call.

    After :data:`FAILURES_TO_OPEN` failures in a row, calls are refused at once except for one
    probe each :data:`OPEN_MS`, so that nobody waits on a platform known to be down.
    """

    __slots__ = ("_base", "_timeout_s", "_pool", "_failures", "_retry_at_ms", "last_ok_ms")

    def __init__(self, where: settings.Platform) -> None:
        self._base = f"http://{where.host}:{where.port}"
        self._timeout_s = where.timeout_ms / 1000
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=5
        )
        self._failures = 0
        self._retry_at_ms = 0
        self.last_ok_ms = 0

    @property
    def available(self) -> bool:
        """Whether the last calls were answered."""
        return self._failures < FAILURES_TO_OPEN

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
        return await self._call("POST", "/table", body, platform.Outcome)

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

    async def list_vms(self) -> platform.VmResult:
        """Return the VM list."""
        return await self._call("GET", "/vms", b"", list[platform.Vm])

    async def _call(self, method: str, path: str, body: bytes, answer: typing.Any) -> typing.Any:
        now_ms = clock.monotonic_ms()
        if not self.available and now_ms < self._retry_at_ms:
            return self._refusal("the platform did not answer lately")
        self._retry_at_ms = now_ms + OPEN_MS
        try:
            with anyio.fail_after(self._timeout_s):
                response = await self._pool.request(method, self._base + path, content=body)
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            self._note_failure()
            return self._refusal(f"the platform call failed: {type(error).__name__}")
        if response.status != 200:
            self._note_failure()
            return self._refusal(f"the platform answered {response.status}")
        self._note_success()
        return msgspec.msgpack.decode(response.content, type=answer)

    def _refusal(self, reason: str) -> errors.Refusal:
        return errors.Refusal(errors.ErrorKind.STORE_UNAVAILABLE, reason, OPEN_MS)

    def _note_failure(self) -> None:
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            events.log(events.Event.STORE_DOWN, "the platform does not answer", logging.WARNING)

    def _note_success(self) -> None:
        if not self.available:
            events.log(events.Event.STORE_UP, "the platform answers again")
        self._failures = 0
        self.last_ok_ms = clock.monotonic_ms()

    def dump(self) -> dict[str, object]:
        """Return the state of the circuit breaker."""
        return {"available": self.available, "failures_in_a_row": self._failures}
