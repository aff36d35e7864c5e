"""Numbered log events; docs/EVENTS.md lists the same numbers and names, which a test compares."""

from __future__ import annotations

import enum
import logging

_LOGGER = logging.getLogger("sassafraslock")


class Event(enum.IntEnum):
    """Every event that the program logs."""

    PROCESS_STARTED = 1001
    PROCESS_STOPPING = 1002
    PROCESS_STOPPED = 1003
    SERVICE_FAILED = 1004
    SERVICE_GAVE_UP = 1005
    SETTINGS_RELOADED = 1006
    SIGNAL_RECEIVED = 1007
    PROCESS_ENDING = 1008
    PEER_HEARD = 2004
    PEER_MESSAGE_REJECTED = 2005
    PEER_LOST = 2006
    PEER_ENTRY_INVALID = 2007
    QUOTA_COLLECTOR_CHANGED = 2010
    STORE_DOWN = 3001
    STORE_UP = 3002
    HISTORY_LOST = 3005
    ROW_UNREADABLE = 3006
    STORE_READER_CHANGED = 3007
    ROW_FAILED = 3008
    STORE_RESTORED = 3009
    STORE_ERA_INVALID = 3010
    COPY_WITHHELD = 3011
    SETTINGS_IN_FORCE = 4001
    SETTINGS_REJECTED = 4002
    BLOCKS_LOADED = 4003
    BLOCKS_REJECTED = 4004
    EVACUATION_CHANGED = 4005
    REGION_PLAN_CHANGED = 4006
    WORKSPACE_INVALID = 4007
    KEYS_PROVEN = 4008
    KEYS_UNPROVEN = 4009
    SERVER_DRAINING = 5001
    REQUEST_QUARANTINED = 5004
    SERVER_JOINED = 5005
    SERVER_GONE = 5006
    SERVER_EJECTED = 5007
    SERVER_LIMIT_CHANGED = 5008
    SERVER_LIMIT_INVALID = 5009
    SERVER_LEAVING = 5010
    SERVER_LEAVING_INVALID = 5011
    SERVER_PAUSED = 5012
    SERVER_PAUSE_INVALID = 5013
    CRASH_SUSPECTED = 5014
    SERVER_RESTARTED = 5015
    COLD_LIMIT_REACHED = 5016
    SERVER_RESTART_SUSPECTED = 5017
    ENTRY_RESUMED = 5018
    REQUEST_ANSWERED = 6001
    REQUEST_REFUSED = 6002
    REQUEST_FAILED = 6003
    REQUEST_ABANDONED = 6005
    CLIENT_CUT = 6006
    CONNECTION_CUT = 6007
    ACCEPT_FAILED = 6008
    RETRY_BUDGET_USED_UP = 6009
    QUOTA_USED_UP = 6020
    QUOTA_FREE = 6021
    LOG_LINES_DROPPED = 7001


def log(event: Event, message: str, level: int = logging.INFO, **fields: object) -> None:
    """Log one event; the formatters of :mod:`sassafraslock.logs` add its number and fields.

    :param event: the event's number and name.
    :param message: one line of text for people.
    :param level: a level of :mod:`logging`.
    :param fields: values for machines; a name ends in its unit, such as ``_ms``.
    """
    _LOGGER.log(level, message, extra={"event": event, "fields": fields})
