"""Structured logs: one JSON object a line, by logbook."""

import json
import sys
import traceback
from datetime import UTC, datetime

import logbook

MOST_CAUSES = 5
MOST_FRAMES = 12
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
            line["error"] = describe_exception(record.exc_info)
        return json.dumps(line, ensure_ascii=True, default=str)


def describe_exception(exc_info):
    """Describe where an exception came from, without its message.

    A message may repeat what a caller sent.

    :param exc_info: type, exception and traceback.
    :return: a string: the types of the exception and of its causes, innermost last,
        each with the places that it passed.
    """
    parts, error = [], exc_info[1]
    while error is not None and len(parts) < MOST_CAUSES:
        frames = traceback.extract_tb(error.__traceback__)[-MOST_FRAMES:]
        places = [f"{frame.filename}:{frame.lineno}" for frame in frames]
        parts.append(" ".join([type(error).__name__, *places]))
        error = error.__cause__ or error.__context__
    return "; caused by ".join(parts)


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
