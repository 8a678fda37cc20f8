"""Structured logs: one JSON object a line, by logbook."""

import json
import sys
from datetime import UTC, datetime

import logbook

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


class JsonLines:
    """Formatter that writes a record as one line of JSON.

    :param instance: name of the instance, written into every line.
    """

    def __init__(self, instance):
        self.instance = instance

    def __call__(self, record, handler):
        """Format one record.

        :param record: a :class:`logbook.LogRecord`.
        :param handler: the handler that writes it.
        :return: one line without its end, a string.
        """
        time = record.time.replace(tzinfo=UTC) if record.time else datetime.now(UTC)
        line = {
            "time": time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "instance": self.instance,
            "part": record.channel,
            "event": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["error"] = record.formatted_exception
        return json.dumps(line, ensure_ascii=True, default=str)


def make_log_handler(instance, level="info", path="-"):
    """Build the handler that writes the logs of one process.

    :param instance: name of the instance.
    :param level: least level written, a key of ``LEVELS``.
    :param path: file to append to; ``-`` for standard output.
    :return: a logbook handler, to be pushed by the caller.
    """
    if path == "-":
        handler = logbook.StreamHandler(sys.stdout, level=LEVELS[level], bubble=False)
    else:
        handler = logbook.FileHandler(path, level=LEVELS[level], bubble=False)
    handler.formatter = JsonLines(instance)
    return handler


def make_logger(part):
    """Build the logger of one part of the process.

    :param part: name of the part, such as ``config``.
    :return: a :class:`logbook.Logger`; pass fields by ``extra``.
    """
    return logbook.Logger(part)
