"""Log output as text for people or JSON lines for machines."""

from __future__ import annotations

import logging
import typing

import msgspec

LogFormat = typing.Literal["text", "json"]


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record.

        :param record: the record to write.
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
    """Formats a record as one readable line."""

    def format(self, record: logging.LogRecord) -> str:
        """Format one record.

        :param record: the record to write.
        """
        event = getattr(record, "event", None)
        fields = " ".join(f"{k}={v}" for k, v in getattr(record, "fields", {}).items())
        number = f"E{int(event)} " if event is not None else ""
        line = f"{record.levelname.lower():7} {number}{record.getMessage()} {fields}".rstrip()
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def configure(log_format: LogFormat, level: str) -> None:
    """Send all logs to standard error in one format.

    :param log_format: ``text`` or ``json``.
    :param level: the lowest level that is written.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(formatter(log_format))
    install_handler(handler, level)


def formatter(log_format: LogFormat) -> logging.Formatter:
    """Return the formatter of a format.

    :param log_format: ``text`` or ``json``.
    """
    return JsonFormatter() if log_format == "json" else TextFormatter()


def install_handler(handler: logging.Handler, level: str) -> None:
    """Send all logs to one handler; libraries only tell of what goes wrong.

    :param handler: where the logs go.
    :param level: the lowest level that is written.
    """
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    for noisy in ("uvicorn", "uvicorn.error", "httpcore", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
