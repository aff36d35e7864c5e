"""HTTP interface of the platform stand-in."""

from __future__ import annotations

import msgspec

from sassafraslock import asgi, errors, platform
from sassafraslock.standin import platform as standin_platform

MAX_BODY_BYTES = 16 << 20


class PlatformApp:
    """ASGI application for a :class:`~sassafraslock.standin.platform.FaultyPlatform`.

    ``POST /table`` runs a transaction, ``GET|PUT /objects/NAME`` reads or writes an object, and
    ``PUT /faults`` sets the fault switches from JSON.
    """

    __slots__ = ("platform",)

    def __init__(self, faulty: standin_platform.FaultyPlatform) -> None:
        self.platform = faulty

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Answer one request.

        :param scope: the ASGI scope.
        :param receive: the ASGI receive callable.
        :param send: the ASGI send callable.
        """
        request = asgi.request_from_scope(scope)
        body = await asgi.read_body(receive, MAX_BODY_BYTES) or b""
        result = await self._handle(request, body)
        if isinstance(result, errors.Refusal):
            await asgi.send_json(send, result.properties.status, result)
            return
        payload = msgspec.msgpack.encode(result)
        await asgi.send_response(send, 200, [(b"content-type", b"application/msgpack")], payload)

    async def _handle(self, request: asgi.Request, body: bytes) -> object:
        name = request.path.removeprefix("/objects/")
        match request.method, "/" + request.path.split("/")[1]:
            case "POST", "/table":
                transaction = msgspec.msgpack.decode(body, type=platform.Transaction)
                return await self.platform.transact(transaction)
            case "GET", "/objects":
                return await self.platform.get_object(name)
            case "PUT", "/objects":
                return await self.platform.put_object(name, body)
            case "PUT", "/faults":
                self.platform.faults = msgspec.json.decode(body, type=standin_platform.Faults)
                return None
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, f"no such resource {request.path}")
