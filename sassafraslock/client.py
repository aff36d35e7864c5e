"""The operators' client: calls to one entry's interfaces."""

from __future__ import annotations

import dataclasses
import typing

import httpcore
import msgspec

from sassafraslock import errors
from sassafraslock.path import answer

TIMEOUT_S = 15.0
_TIMEOUT = httpcore.TimeoutException

Json = typing.Any
JsonResult = Json | errors.Refusal


@dataclasses.dataclass(slots=True)
class Client:
    """Calls an entry's operators' interface with a bearer token."""

    address: str
    token: str
    author: str = "operator"

    def call(
        self, method: str, path: str, body: bytes = b"", content: str = "application/json"
    ) -> JsonResult:
        """Call one operation and return its JSON answer, or the refusal.

        :param method: the HTTP method.
        :param path: the path with its query.
        :param body: the body.
        :param content: the body's media type.
        """
        headers: dict[bytes | str, bytes | str] = {
            "content-type": content,
            "sassafraslock-author": self.author,
        }
        if self.token:
            headers["authorization"] = f"Bearer {self.token}".encode()
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        try:
            response = httpcore.request(
                method,
                f"http://{self.address}{path}",
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError, _TIMEOUT) as error:
            reason = f"no answer from {self.address}: {error}; is the entry running there?"
            return errors.Refusal(errors.ErrorKind.NOT_READY, reason)
        return _read(response)

    def change(self, path: str, edit: typing.Callable[[Json], Json]) -> JsonResult:
        """Change a team's subtree on condition that nobody changed it meanwhile.

        :param path: ``/TEAM`` or a path below it.
        :param edit: takes the value at the path and returns the new one.
        """
        team, names = split_path(path)
        seen = self.call("GET", f"/settings/{team}")
        if isinstance(seen, errors.Refusal):
            return seen
        document = replace_at(seen["document"], names, edit)
        if isinstance(document, errors.Refusal):
            return document
        return self.put(team, document, seen["revision"])

    def put(self, team: str, document: Json, revision: int) -> JsonResult:
        """Put a whole subtree that builds on a revision.

        :param team: the team.
        :param document: the subtree.
        :param revision: the revision that it builds on.
        """
        body = msgspec.json.encode(document)
        return self.call("PUT", f"/settings/{team}?revision={revision}", body)


def _read(response: httpcore.Response) -> JsonResult:
    headers = {n.lower(): v for n, v in response.headers}
    if b"sassafraslock-error" in headers:
        body = msgspec.json.decode(response.content, type=answer.ErrorBody)
        return errors.Refusal(errors.ErrorKind(body.error), body.reason, body.retry_after_ms)
    if b"json" in headers.get(b"content-type", b""):
        return msgspec.json.decode(response.content)
    return response.content.decode()


def split_path(path: str) -> tuple[str, list[str]]:
    """Split ``/TEAM/NAME/...`` into the team and the names below it.

    :param path: the path.
    """
    names = [n for n in path.split("/") if n]
    return (names[0] if names else ""), names[1:]


def value_at(document: Json, names: list[str]) -> JsonResult:
    """Return the value at a path of a document.

    :param document: plain data.
    :param names: the path.
    """
    for number, name in enumerate(names):
        if not isinstance(document, dict) or name not in document:
            known = ", ".join(document) if isinstance(document, dict) else "nothing"
            where = "/".join(names[: number + 1])
            return errors.Refusal(
                errors.ErrorKind.NOT_FOUND, f"nothing at {where}; there is {known}"
            )
        document = document[name]
    return document


def replace_at(document: Json, names: list[str], edit: typing.Callable[[Json], Json]) -> JsonResult:
    """Return a copy of a document with the value at a path edited.

    :param document: plain data.
    :param names: the path; a missing last name is added.
    :param edit: takes the old value, none where it is missing, and returns the new one.
    """
    if not names:
        return edit(document)
    if not isinstance(document, dict):
        reason = f"{names[0]!r} is below a value that is not a table"
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)
    if len(names) > 1 and names[0] not in document:
        reason = f"nothing at {names[0]!r}; there is {', '.join(document)}"
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)
    below = replace_at(document.get(names[0]), names[1:], edit)
    return below if isinstance(below, errors.Refusal) else {**document, names[0]: below}
