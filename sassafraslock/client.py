"""HTTP client of an entry's interfaces, for the command line."""

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
    """Calls the interfaces of one entry at ``IP:PORT``; an empty token is not sent."""

    address: str
    token: str
    author: str = "operator"

    def call(
        self, method: str, path: str, body: bytes = b"", content_type: str = "application/json"
    ) -> JsonResult:
        """Send one request, and return the decoded JSON or the text of its response.

        A refusal of the entry is returned as it is; an entry that does not answer gives a refusal
        of kind ``NOT_READY``.

        :param method: the HTTP method.
        :param path: the path with its query.
        :param body: the request's body.
        :param content_type: the media type of the body.
        """
        headers: dict[bytes | str, bytes | str] = {
            "content-type": content_type,
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
        return _decode(response)

    def change(self, path: str, edit: typing.Callable[[Json], Json]) -> JsonResult:
        """Read a team's subtree, edit it and write it back.

        If somebody else changed it in between, the entry refuses the write as a conflict.

        :param path: ``/TEAM`` or a path below it.
        :param edit: takes the value at the path and returns the new one.
        """
        team, names = split_path(path)
        current = self.call("GET", f"/settings/{team}")
        if isinstance(current, errors.Refusal):
            return current
        document = replace_at(current["document"], names, edit)
        if isinstance(document, errors.Refusal):
            return document
        return self.put(team, document, current["revision"])

    def put(self, team: str, document: Json, revision: int) -> JsonResult:
        """Replace a team's subtree if it is at the given revision.

        :param team: the team's name.
        :param document: the whole new subtree.
        :param revision: the revision that the new subtree is based on.
        """
        body = msgspec.json.encode(document)
        return self.call("PUT", f"/settings/{team}?revision={revision}", body)


def _decode(response: httpcore.Response) -> JsonResult:
    headers = {n.lower(): v for n, v in response.headers}
    if b"sassafraslock-error" in headers:
        body = msgspec.json.decode(response.content, type=answer.ErrorBody)
        return errors.Refusal(errors.ErrorKind(body.error), body.reason, body.retry_after_ms)
    if b"json" in headers.get(b"content-type", b""):
        return msgspec.json.decode(response.content)
    return response.content.decode()


def split_path(path: str) -> tuple[str, list[str]]:
    """Split ``/TEAM/NAME/...`` into the team, empty if there is none, and the names below it.

    :param path: the settings path; empty parts are left out.
    """
    names = [n for n in path.split("/") if n]
    return (names[0] if names else ""), names[1:]


def value_at(document: Json, names: list[str]) -> JsonResult:
    """Return the value at a path of a document, or a refusal that lists the names there are.

    :param document: plain data.
    :param names: the names on the way to the value.
    """
    for number, name in enumerate(names):
        if not isinstance(document, dict) or name not in document:
            known = ", ".join(document) if isinstance(document, dict) else "nothing"
            missing = "/".join(names[: number + 1])
            return errors.Refusal(
                errors.ErrorKind.NOT_FOUND, f"no value at {missing}; known names: {known}"
            )
        document = document[name]
    return document


def replace_at(document: Json, names: list[str], edit: typing.Callable[[Json], Json]) -> JsonResult:
    """Return a copy of a document with the value at a path edited.

    :param document: plain data.
    :param names: the names on the way to the value; only the last may be missing, and is added.
    :param edit: takes the old value, or none if it is missing, and returns the new one.
    """
    if not names:
        return edit(document)
    if not isinstance(document, dict):
        reason = f"{names[0]!r} is below a value that is not a table"
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)
    if len(names) > 1 and names[0] not in document:
        reason = f"no value at {names[0]!r}; known names: {', '.join(document)}"
        return errors.Refusal(errors.ErrorKind.NOT_FOUND, reason)
    value = replace_at(document.get(names[0]), names[1:], edit)
    return value if isinstance(value, errors.Refusal) else {**document, names[0]: value}
