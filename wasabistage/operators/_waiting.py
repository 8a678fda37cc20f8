"""Waits until a published version is in force everywhere."""

from dataclasses import dataclass

import trio

from wasabistage.operators._status import read_status

POLL_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True)
class Spread:
    """How far a version has spread.

    :param everywhere: whether every live entry follows it.
    :param behind: peer addresses of entries that do not, or did not answer.
    :param seconds: how long was waited.
    """

    everywhere: bool
    behind: tuple[str, ...]
    seconds: float


def judge_spread(version, addresses, told, seconds=0.0):
    """Judge from the entries' status how far a version has spread.

    An entry that does not answer holds nothing up if another one, which knows which
    entries live, says that all of them follow the version.

    :param version: the version.
    :param addresses: peer addresses of the entries asked.
    :param told: ``StatusTold`` or ``None`` of each.
    :param seconds: how long was waited.
    :return: a :class:`Spread`.
    """
    pairs = list(zip(addresses, told, strict=True))
    behind = tuple(
        address
        for address, status in pairs
        if status is None or status.config_version < version
    )
    answered = [status for status in told if status is not None]
    follow = all(status.config_version >= version for status in answered)
    sure = any(
        status.everywhere and status.config_version >= version for status in answered
    )
    return Spread(everywhere=follow and sure, behind=behind, seconds=seconds)


async def wait_everywhere(settings, version, seconds):
    """Wait until a version is in force everywhere.

    :param settings: the :class:`wasabistage.settings.OperatorSettings`.
    :param version: the version.
    :param seconds: longest wait.
    :return: a :class:`Spread`.
    """
    started = trio.current_time()
    while True:
        told = await read_status(settings.entries, settings.peer_key)
        waited = trio.current_time() - started
        spread = judge_spread(version, settings.entries, told, waited)
        if spread.everywhere or waited >= seconds:
            return spread
        await trio.sleep(POLL_SECONDS)
