"""Process settings: the TOML file that an entry reads at its start."""

from __future__ import annotations

import dataclasses
import ipaddress
import typing

import msgspec

from sassafraslock import edge_settings, logs, settings_check

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
MemoryMib = typing.Annotated[int, msgspec.Meta(ge=64, le=1_048_576)]
WindowMs = typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)]
Ratio = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Slack = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1_000_000.0)]
Level = typing.Literal["debug", "info", "warning", "error"]

STOP_BOUND_MS = 30_000
VALIDITY_MS = 1_000
POLL_MS = 500
MEMORY_MIB = edge_settings.DEFAULT_MEMORY_BYTES >> 20
MIN_TOKEN_CHARS = 8
# A proof that is as old as a poll must last until the next one has been answered.
MIN_REVOKE_POLLS = 4


@dataclasses.dataclass(slots=True)
class Address:
    """An IP address and a port to listen on or to connect to."""

    host: str
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(slots=True)
class Operator:
    """The address of the operators' interface, and the bearer token that it asks for."""

    host: str
    port: Port
    token: str


@dataclasses.dataclass(slots=True)
class Platform:
    """The address of the platform's table service and object store, and the time limit of calls."""

    host: str
    port: Port
    region: Name
    timeout_ms: Milliseconds = 1_000


@dataclasses.dataclass(slots=True)
class Logging:
    """The format of the log and the lowest level that is written."""

    format: logs.LogFormat = "text"
    level: Level = "info"


@dataclasses.dataclass(slots=True)
class Keys:
    """The bound on keys of workspaces that were taken away.

    No request runs that was sent with a key later than ``revoke_ms`` after the key was taken away;
    an entry that cannot prove this refuses requests with keys. Without a bound none has to.
    """

    revoke_ms: Milliseconds | None = None


@dataclasses.dataclass(slots=True)
class Quotas:
    """The bounds of the quotas of workspaces.

    Within any ``window_ms``, a workspace gets no more requests than its rate and burst allow, times
    1 and ``overage``, and ``slack`` more. 0 means that no quota is enforced.
    """

    window_ms: WindowMs = 0
    overage: Ratio = 0.1
    slack: Slack = 20.0


@dataclasses.dataclass(slots=True)
class Settings:
    """All process settings of one entry.

    Callers connect to ``caller`` and other entries to ``peer``; ``peers`` are the addresses of
    other entries for gossip, authenticated by ``peer_token``. Callers may keep a list of entries
    for ``validity_ms``. The entry polls the table service every ``poll_ms`` and stops within
    ``stop_bound_ms``. All entries must have the same ``keys`` and ``quotas``. Without
    ``object_homes_by_demand``, objects follow region plans and rendezvous order alone.
    """

    entry_id: Name
    region: Name
    zone: Name
    caller: Address
    peer: Address
    operator: Operator
    platform: Platform
    peer_token: str
    peers: list[Address] = dataclasses.field(default_factory=list)
    logging: Logging = dataclasses.field(default_factory=Logging)
    validity_ms: Milliseconds = VALIDITY_MS
    poll_ms: Milliseconds = POLL_MS
    stop_bound_ms: Milliseconds = STOP_BOUND_MS
    memory_mib: MemoryMib = MEMORY_MIB
    keys: Keys = dataclasses.field(default_factory=Keys)
    quotas: Quotas = dataclasses.field(default_factory=Quotas)
    object_homes_by_demand: bool = True


SettingsResult = Settings | list[settings_check.Problem]


def load(text: str) -> SettingsResult:
    """Parse process settings and check them; values only once all types are right.

    :param text: the TOML document.
    :returns: the settings, or every problem found.
    """
    raw = settings_check.parse_toml(text)
    if isinstance(raw, settings_check.Problem):
        return [raw]
    problems: list[settings_check.Problem] = []
    settings = settings_check.convert(Settings, raw, "", problems)
    if not problems:
        problems = _check_values(settings)
    return problems or settings


def _check_values(settings: Settings) -> list[settings_check.Problem]:
    problems = []
    for path in ("caller", "peer", "operator", "platform"):
        host = getattr(settings, path).host
        if not _is_ip_address(host):
            problems.append(
                settings_check.Problem(
                    f"{path}.host", f"{host!r} is not an IP address", "give one such as 10.0.0.7"
                )
            )
    for path, token in (
        ("operator.token", settings.operator.token),
        ("peer_token", settings.peer_token),
    ):
        if len(token) < MIN_TOKEN_CHARS:
            problems.append(
                settings_check.Problem(
                    path,
                    f"is too short: {len(token)} of {MIN_TOKEN_CHARS} characters",
                    f"use {MIN_TOKEN_CHARS} characters or more",
                )
            )
    revoke_ms = settings.keys.revoke_ms
    if revoke_ms is not None and revoke_ms < MIN_REVOKE_POLLS * settings.poll_ms:
        least_ms = MIN_REVOKE_POLLS * settings.poll_ms
        problems.append(
            settings_check.Problem(
                "keys.revoke_ms",
                f"{revoke_ms} is less than {MIN_REVOKE_POLLS} times poll_ms {settings.poll_ms}",
                f"give {least_ms} or more, or lower poll_ms",
            )
        )
    return problems


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
