"""Types of the values in INI files, for the validated models at the border.

Each type is an ``Annotated`` one: a converter for pydantic, and a :class:`Shape`
from which the reference pages are generated.
"""

import ipaddress
import math
import re
from dataclasses import dataclass
from typing import Annotated

from pydantic import BeforeValidator

from wasabistage.declarations._problem import ValueFault, shorten

MAX_LIST_ITEMS = 256
MAX_NAME_CHARS = 64

_NUMBER = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?)\s*([A-Za-z/]*)")
_NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?")
_HASH = re.compile(r"[0-9a-f]{64}")
_DURATIONS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_SIZES = {
    "B": 1,
    "KB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
    "TB": 10**12,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
    "TiB": 1 << 40,
}
_RATES = {f"{unit}/s": size for unit, size in _SIZES.items()}


@dataclass(frozen=True, kw_only=True)
class Shape:
    """How a value is written.

    :param name: name of the type, for the reference page.
    :param unit: unit of the stored value; empty when there is none.
    :param remedy: what to write when a value is wrong.
    :param secret: whether a wrong value must not be repeated in messages.
    """

    name: str
    unit: str = ""
    remedy: str = ""
    secret: bool = False


def _quantity(text, units, what, remedy):
    found = _NUMBER.fullmatch(text.strip())
    if not found or found.group(2) not in units:
        raise ValueFault(f"{shorten(text)} is not a {what}", remedy)
    return float(found.group(1)) * units[found.group(2)]


_DURATION = Shape(
    name="duration", unit="s", remedy="write a duration such as 250ms, 10s, 2m or 6h"
)
_SIZE = Shape(name="size", unit="bytes", remedy="write a size such as 64KiB or 2GB")
_RATE = Shape(name="rate", unit="bytes/s", remedy="write a rate such as 100MB/s")
_ADDRESS = Shape(
    name="address",
    unit="IP:PORT",
    remedy="write an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080",
)
_NAME_SHAPE = Shape(
    name="name",
    remedy="write 1 to 64 of a-z, 0-9, '-', '_' and '.', no sign at either end",
)
_FLAG = Shape(name="yes or no", remedy="write yes or no")
_HASHES = Shape(
    name="SHA-256 digests",
    remedy="hash each key with SHA-256 and write its 64 lower-case hex digits",
    secret=True,
)
_COUNT = Shape(name="whole number", remedy="write a whole number")
_FACTOR = Shape(name="number", remedy="write a number such as 1.5")
_TEXT = Shape(name="text", remedy="write printable text of 1 to 256 characters")


def parse_duration(text):
    """Convert a duration.

    :param text: such as ``250ms``, ``10s``, ``2m``.
    :return: seconds.
    :raises ValueFault: if it is not a duration.
    """
    return _quantity(text, _DURATIONS, "duration", _DURATION.remedy)


def parse_size(text):
    """Convert a size.

    :param text: such as ``64MiB``.
    :return: bytes.
    :raises ValueFault: if it is not a size.
    """
    return int(_quantity(text, _SIZES, "size", _SIZE.remedy))


def parse_rate(text):
    """Convert a rate.

    :param text: such as ``100MB/s``.
    :return: bytes a second.
    :raises ValueFault: if it is not a rate.
    """
    return _quantity(text, _RATES, "rate", _RATE.remedy)


def split_address(address):
    """Split an address into its parts.

    :param address: ``IP:PORT``; an IPv6 number stands in square brackets.
    :return: a tuple of the IP number as text and the port.
    :raises ValueFault: if it is not an address, or holds a host name.
    """
    host, _, port = address.strip().rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    if not digits or not 1 <= int(port) <= 65535:
        raise ValueFault(f"{shorten(address)} has no valid port", _ADDRESS.remedy)
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        what = f"{shorten(address)} does not start with an IP number"
        raise ValueFault(what, _ADDRESS.remedy) from None
    if bracketed != (number.version == 6) or "%" in host:
        raise ValueFault(f"{shorten(address)} is not an address", _ADDRESS.remedy)
    return str(number), int(port)


def parse_address(text):
    """Convert an address to its one written form.

    :param text: ``IP:PORT``.
    :return: the address.
    :raises ValueFault: if it is not an address, or holds a host name.
    """
    host, port = split_address(text)
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_name(text):
    """Check a name.

    :param text: the name.
    :return: the name.
    :raises ValueFault: if it has other signs or is too long.
    """
    text = text.strip()
    if len(text) > MAX_NAME_CHARS or not _NAME.fullmatch(text):
        raise ValueFault(f"{shorten(text)} is not a name", _NAME_SHAPE.remedy)
    return text


def parse_list(text):
    """Split a list.

    :param text: items separated by commas, spaces or line breaks.
    :return: a tuple of texts.
    :raises ValueFault: if it is too long or an item stands twice.
    """
    items = tuple(text.replace(",", " ").split())
    if len(items) > MAX_LIST_ITEMS:
        what = f"list has more than {MAX_LIST_ITEMS} items"
        raise ValueFault(what, "split it")
    if len(set(items)) != len(items):
        raise ValueFault("an item stands twice in the list", "keep one of them")
    return items


def parse_flag(text):
    """Convert yes or no.

    :param text: ``yes`` or ``no``.
    :return: a ``bool``.
    :raises ValueFault: if it is neither.
    """
    flags = {"yes": True, "true": True, "no": False, "false": False}
    if text.strip().lower() not in flags:
        raise ValueFault(f"{shorten(text)} is neither yes nor no", _FLAG.remedy)
    return flags[text.strip().lower()]


def parse_count(text):
    """Convert a whole number.

    :param text: decimal digits.
    :return: an ``int``.
    :raises ValueFault: if it is not a whole number.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise ValueFault(f"{shorten(text)} is not a whole number", _COUNT.remedy)
    return int(text)


def parse_factor(text):
    """Convert a finite number.

    :param text: a decimal number.
    :return: a ``float``.
    :raises ValueFault: if it is not a finite number.
    """
    try:
        value = float(text) if text.isascii() else math.nan
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ValueFault(f"{shorten(text)} is not a number", _FACTOR.remedy)
    return value


def parse_hashes(text):
    """Check SHA-256 digests without ever repeating the text.

    :param text: list of 64 lower-case hex digits each.
    :return: a tuple of digests.
    :raises ValueFault: if one is not a digest; it may be a key itself.
    """
    items = parse_list(text)
    if not all(_HASH.fullmatch(item) for item in items):
        what = "a key's digest is not 64 lower-case hex digits (is it the key itself?)"
        raise ValueFault(what, _HASHES.remedy)
    return items


def parse_text(text):
    """Check one line of printable text.

    :param text: the text.
    :return: the text.
    :raises ValueFault: if it is empty, too long or not printable.
    """
    text = text.strip()
    if not 1 <= len(text) <= 256 or not text.isprintable():
        raise ValueFault(f"{shorten(text)} is not printable text", _TEXT.remedy)
    return text


def _each(parse):
    return lambda text: tuple(parse(item) for item in parse_list(text))


def _typed(type_, parse, shape):
    def convert(value):
        # Defaults are built in code and already have their type.
        return parse(value) if isinstance(value, str) else value

    return Annotated[type_, BeforeValidator(convert), shape]


def _listed(parse, shape):
    name = f"list, each: {shape.name}"
    list_shape = Shape(name=name, unit=shape.unit, remedy=shape.remedy)
    return _typed(tuple[str, ...], _each(parse), list_shape)


Duration = _typed(float, parse_duration, _DURATION)
Size = _typed(int, parse_size, _SIZE)
Rate = _typed(float, parse_rate, _RATE)
Address = _typed(str, parse_address, _ADDRESS)
Addresses = _listed(parse_address, _ADDRESS)
Name = _typed(str, parse_name, _NAME_SHAPE)
Names = _listed(parse_name, _NAME_SHAPE)
Flag = _typed(bool, parse_flag, _FLAG)
Count = _typed(int, parse_count, _COUNT)
Factor = _typed(float, parse_factor, _FACTOR)
Hashes = _typed(tuple[str, ...], parse_hashes, _HASHES)
Text = _typed(str, parse_text, _TEXT)


def choice(**by_word):
    """Build a type of a few words.

    :param by_word: value by the word that stands for it.
    :return: an ``Annotated`` type.
    """
    words = ", ".join(by_word)
    shape = Shape(name=f"one of {words}", remedy=f"write one of {words}")

    def parse(text):
        if text.strip() not in by_word:
            raise ValueFault(f"{shorten(text)} is not known", shape.remedy)
        return by_word[text.strip()]

    return _typed(type(next(iter(by_word.values()))), parse, shape)
