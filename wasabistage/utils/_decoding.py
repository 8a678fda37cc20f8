"""Decoding of data from other processes, which may hold anything."""

from typing import Annotated

import msgspec

#: An integer that every encoder of the project can write.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class UnreadableError(Exception):
    """Data from another process can't be decoded; the message tells why."""


def decode_data(decoder, data):
    """Decode data from another process.

    :param decoder: a msgspec decoder.
    :param data: bytes.
    :return: the decoded value.
    :raises UnreadableError: if the data can't be decoded, whatever it holds.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise UnreadableError("it is nested too deeply") from error
    except (ValueError, OverflowError) as error:
        # ValueError includes the errors of msgspec and of text encodings.
        raise UnreadableError(str(error)) from error
