"""The store of records in which lasting facts live, as the entries see it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum, auto


class Topic(StrEnum):
    """What a topic of records holds."""

    CONFIGURATION = auto()
    SERVERS = auto()
    ENTRIES = auto()
    ORDERS = auto()


@dataclass(frozen=True, kw_only=True)
class StoredRecord:
    """A record.

    :param offset: its place in the topic.
    :param key: key of a keyed topic, else ``""``.
    :param value: its bytes; ``None`` if the key was dropped.
    """

    offset: int
    key: str = ""
    value: bytes | None = None


@dataclass(frozen=True, kw_only=True)
class RecordPage:
    """What a read returned.

    :param records: tuple of :class:`StoredRecord`.
    :param end: offset of the next record to be written.
    """

    records: tuple
    end: int


class StoreError(Exception):
    """The store did not answer, or not with what was asked for."""


class TrimmedError(StoreError):
    """The records asked for are gone."""


class OvertakenError(StoreError):
    """The topic did not end where the writer believed."""


class RecordStore(ABC):
    """Access to the store of records."""

    @abstractmethod
    async def read_newest(self, topic):
        """Return the newest record of each key.

        :param topic: a keyed :class:`Topic`.
        :return: a :class:`RecordPage`; reading on from its end misses nothing.
        :raises StoreError: if the store can't be read.
        """

    @abstractmethod
    async def read(self, topic, start, wait):
        """Return the records from an offset on, as soon as there is one.

        :param topic: a :class:`Topic`.
        :param start: offset of the first record.
        :param wait: longest wait for a record, in seconds.
        :return: a :class:`RecordPage`, empty if none came.
        :raises TrimmedError: if records from there on were dropped.
        :raises StoreError: if the store can't be read.
        """

    @abstractmethod
    async def append(self, topic, value, *, key="", expected_end=None):
        """Append a record.

        :param topic: a :class:`Topic`.
        :param value: bytes.
        :param key: key of a keyed topic.
        :param expected_end: offset at which the topic must end, or ``None``.
        :return: the record's offset.
        :raises OvertakenError: if it ends elsewhere; nothing was appended.
        :raises StoreError: if the store did not confirm; the record may follow.
        """
