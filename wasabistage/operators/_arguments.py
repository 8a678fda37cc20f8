"""Checks a command line before it is run, so that a fault is named clearly."""

import inspect

from wasabistage.declarations import suggest
from wasabistage.exceptions import SettingError

HELP_FLAGS = ("--help", "-h")


class UsageError(SettingError):
    """The command line is wrong."""

    kind = "usage"


def check_arguments(commands, arguments):
    """Check a command line against the signatures of the commands.

    :param commands: class whose public methods are the commands.
    :param arguments: the command line without the program's name.
    :raises UsageError: naming the unknown command or flag and the nearest known
        one, or what is missing or too much.
    """
    known = find_commands(commands)
    _check_name(known, arguments)
    if wants_help(arguments):
        return
    name, *rest = arguments
    _check_rest(name, inspect.signature(known[name]), rest)


def wants_help(arguments):
    """Tell whether a command line asks for help.

    :param arguments: the command line without the program's name.
    :return: a ``bool``.
    """
    return not arguments or any(item in HELP_FLAGS for item in arguments)


def name_of_command(arguments):
    """Return the command that a command line names.

    :param arguments: the command line without the program's name.
    :return: its name; empty for none.
    """
    return "" if not arguments or arguments[0] in HELP_FLAGS else arguments[0]


def find_commands(commands):
    """List the commands of a class.

    :param commands: the class.
    :return: functions by name.
    """
    return {
        name: member
        for name, member in vars(commands).items()
        if callable(member) and not name.startswith("_")
    }


def _check_name(known, arguments):
    if not arguments or arguments[0] in HELP_FLAGS or arguments[0] in known:
        return
    raise UsageError(
        f"unknown command {ascii(arguments[0][:64])}",
        remedy=suggest(arguments[0], known),
    )


def _check_rest(name, signature, rest):
    """Check the arguments of one command."""
    parameters = {
        key: item for key, item in signature.parameters.items() if key != "self"
    }
    given, places = _split(name, parameters, rest)
    open_places = [
        key
        for key, item in parameters.items()
        if key not in given and item.kind is not item.KEYWORD_ONLY
    ]
    if len(places) > len(open_places):
        extra = places[len(open_places)]
        raise UsageError(
            f"{name} does not take the argument {ascii(extra[:64])}",
            remedy=f"see wasabistage {name} --help",
        )
    filled = given | set(open_places[: len(places)])
    for key, item in parameters.items():
        if item.default is item.empty and key not in filled:
            flag = item.kind is item.KEYWORD_ONLY
            shown = f"--{key}" if flag else key.upper()
            raise UsageError(
                f"{name} needs {shown}", remedy=f"see wasabistage {name} --help"
            )


def _split(name, parameters, rest):
    """Split arguments into the names of the flags given and the other arguments."""
    given, places = set(), []
    waiting = list(rest)
    while waiting:
        item = waiting.pop(0)
        if not item.startswith("-"):
            places.append(item)
            continue
        flag, has_value, _ = item.lstrip("-").partition("=")
        key = _full_name(item, flag.replace("-", "_"), parameters)
        if key not in parameters:
            flags = [f"--{other}" for other in parameters]
            raise UsageError(
                f"{name} has no flag {ascii(item[:64])}", remedy=suggest(item, flags)
            )
        given.add(key)
        if has_value or parameters[key].default is False:
            continue
        if not waiting or waiting[0].startswith("-"):
            raise UsageError(
                f"--{flag} needs a value", remedy=f"see wasabistage {name} --help"
            )
        waiting.pop(0)
    return given, places


def _full_name(item, key, parameters):
    """Complete a flag of one letter, such as ``-s``."""
    if item.startswith("--"):
        return key
    matching = [other for other in parameters if other[0] == key]
    return matching[0] if len(matching) == 1 else key
