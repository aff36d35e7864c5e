"""Log formatters: text for people, JSON lines for machines."""

from __future__ import annotations

import logging
import typing

import msgspec

LogFormat = typing.Literal["text", "json"]


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON, with the number and the fields of its event."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of one record.

        :param record: a record with or without an event of :mod:`sassafraslock.events`.
        """
        event = getattr(record, "event", None)
        line = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": int(event) if event is not None else 0,
            "name": event.name.lower() if event is not None else record.name,
            "message": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(logging.Formatter):
    """Formats a record as one line of text, followed by the traceback of an exception."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of one record.

        :param record: a record with or without an event of :mod:`sassafraslock.events`.
        """
        event = getattr(record, "event", None)
        fields = " ".join(f"{k}={v}" for k, v in getattr(record, "fields", {}).items())
        number = f"E{int(event)} " if event is not None else ""
        line = f"{record.levelname.lower():7} {number}{record.getMessage()} {fields}".rstrip()
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def configure(log_format: LogFormat, level: str) -> None:
    """Write all logs to standard error.

    :param log_format: ``text`` or ``json``.
    :param level: the name of the lowest level that is written.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(formatter(log_format))
    install_handler(handler, level)


def formatter(log_format: LogFormat) -> logging.Formatter:
    """Return a new formatter.

    :param log_format: ``text`` or ``json``.
    """
    return JsonFormatter() if log_format == "json" else TextFormatter()


def install_handler(handler: logging.Handler, level: str) -> None:
    """Send all logs to one handler; those of libraries only from the level warning on.

    :param handler: replaces all handlers of the root logger.
    :param level: the name of the lowest level that is written.
    """
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for library in ("uvicorn", "uvicorn.error", "httpcore", "asyncio"):
        logging.getLogger(library).setLevel(logging.WARNING)
