"""Callers' own keys: UUIDv7, which carry the time of their making."""

import re

from wasabistage.utils import Sentinel

NOT_A_KEY = Sentinel("NOT_A_KEY", "the key is no UUIDv7")
RANDOM_BYTES = 10
MILLISECOND = 0.001
LATEST_TIME = 1 << 48
PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def generate_uuid_key(wall, random_bytes):
    """Make a caller's own key.

    :param wall: wall time, in seconds since the epoch.
    :param random_bytes: ten random bytes.
    :return: a UUIDv7 in lower case.
    :raises ValueError: if there are not ten bytes or the time is out of range.
    """
    stamp = int(wall / MILLISECOND)
    if len(random_bytes) != RANDOM_BYTES or not 0 <= stamp < LATEST_TIME:
        raise ValueError("need ten random bytes and a time between 1970 and 10889")
    raw = bytearray(stamp.to_bytes(6, "big") + random_bytes)
    raw[6] = 0x70 | raw[6] & 0x0F
    raw[8] = 0x80 | raw[8] & 0x3F
    text = raw.hex()
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def key_time(key):
    """Tell when a caller's own key was made.

    Only the one canonical spelling is taken, so that one UUID is one key.

    :param key: text of the key.
    :return: wall time in seconds since the epoch, or ``NOT_A_KEY``.
    """
    if not PATTERN.fullmatch(key):
        return NOT_A_KEY
    return int(key[:8] + key[9:13], 16) * MILLISECOND


def is_live(born, wall, *, horizon, clock_skew):
    """Tell whether a key may still be run for the first time.

    :param born: wall time of the key's making, in seconds since the epoch.
    :param wall: wall time of this process, in seconds since the epoch.
    :param horizon: age after which a key has expired, in seconds.
    :param clock_skew: largest error of a wall clock, in seconds.
    :return: ``False`` if it has expired or claims to be made in the future.
    """
    # The maker's clock may be fast and this one slow, each by one skew.
    return born - 2 * clock_skew <= wall <= born + horizon
