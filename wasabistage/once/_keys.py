"""Keys that callers generate: UUIDv7, which hold the time of their creation."""

import re

from wasabistage.utils import Sentinel

NOT_A_KEY = Sentinel("NOT_A_KEY", "the key is not a UUIDv7 in lower case")
RANDOM_BYTES = 10
SECONDS_PER_MILLISECOND = 0.001
MAX_TIMESTAMP_MILLISECONDS = 1 << 48  # exclusive: a UUIDv7 has 48 bits for the time
UUID7_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def generate_uuid_key(wall_time, random_bytes):
    """Generate a UUIDv7 key.

    :param wall_time: wall time, in seconds since the epoch.
    :param random_bytes: ten random bytes.
    :return: a UUIDv7 in lower case.
    :raises ValueError: if there are not ten bytes or the time is out of range.
    """
    milliseconds = int(wall_time / SECONDS_PER_MILLISECOND)
    if (
        len(random_bytes) != RANDOM_BYTES
        or not 0 <= milliseconds < MAX_TIMESTAMP_MILLISECONDS
    ):
        raise ValueError(
            f"can't generate a key from {len(random_bytes)} random bytes and the wall "
            f"time {wall_time} s; pass {RANDOM_BYTES} bytes and a time from 1970 "
            "to 10889"
        )
    raw = bytearray(milliseconds.to_bytes(6, "big") + random_bytes)
    raw[6] = 0x70 | raw[6] & 0x0F  # version 7
    raw[8] = 0x80 | raw[8] & 0x3F  # variant of RFC 9562
    text = raw.hex()
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def parse_uuid_key_time(key):
    """Return the creation time that a UUIDv7 key holds.

    Only the canonical spelling is accepted, so that one UUID can't be two keys.

    :param key: text of the key.
    :return: wall time in seconds since the epoch, or ``NOT_A_KEY``.
    """
    if not UUID7_PATTERN.fullmatch(key):
        return NOT_A_KEY
    return int(key[:8] + key[9:13], 16) * SECONDS_PER_MILLISECOND


def is_live(created_at, wall_time, *, horizon, clock_skew):
    """Return whether the call of a key may still be run for the first time.

    :param created_at: wall time of the key's creation, in seconds since the epoch.
    :param wall_time: wall time of this process, in seconds since the epoch.
    :param horizon: age at which a key expires, in seconds.
    :param clock_skew: largest error of a wall clock, in seconds.
    :return: ``False`` if the key has expired or its time lies in the future.
    """
    # The creator's clock may be fast by one skew, and this clock slow by one skew.
    return created_at - 2 * clock_skew <= wall_time <= created_at + horizon
