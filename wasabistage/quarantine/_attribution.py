"""Attribution of server crashes to parts of prompts."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class CrashCause:
    """Parts to which crashes are attributed.

    :param parts: frozenset of the ids of parts that only occurred together; a prompt
        must have all of them to be affected.
    :param outages: number of outages, see :func:`find_crash_causes`.
    :param last_at: time of the last crash, monotonic seconds.
    :param is_ambiguous: whether parts of other prompts explain the same crashes.
    """

    parts: frozenset
    outages: int
    last_at: float
    is_ambiguous: bool = False


def find_crash_causes(
    crashes_by_part, needed_by_part, *, outage_seconds, same_crash_seconds
):
    """Find the smallest set of parts that explains crashes.

    Prompts share most of their parts with sound ones, so a part that occurs in many
    crashes may only accompany the cause of them. The part that explains most crashes is
    taken first, and the others are judged by the crashes that are left. Parts of the
    same prompts can't be told apart, and are one cause together. Parts of different
    prompts that explain the same crashes are a cause each. Prompts whose answers had
    events are left out of outages in which others had none yet.

    :param crashes_by_part: dict of part to an iterable of :class:`Crash`.
    :param needed_by_part: dict of part to the number of outages from which on it is a
        cause.
    :param outage_seconds: crashes of several servers within this time are one outage,
        which says no more about a part than one crash.
    :param same_crash_seconds: time within which several reports of one server are about
        the same crash.
    :return: list of :class:`CrashCause`, the one with most outages first.
    """
    crashes = {crash for row in crashes_by_part.values() for crash in row}
    numbers = number_outages(crashes, outage_seconds, same_crash_seconds)
    without_events = {numbers[crash] for crash in crashes if not crash.has_events}
    crashes_by_part = {
        part: [
            crash
            for crash in row
            if not crash.has_events or numbers[crash] not in without_events
        ]
        for part, row in crashes_by_part.items()
    }
    outages_by_part = {
        part: frozenset(numbers[crash] for crash in row)
        for part, row in crashes_by_part.items()
    }
    left, causes = frozenset(numbers.values()), []
    while True:
        shares = {
            part: outages & left
            for part, outages in outages_by_part.items()
            if len(outages & left) >= needed_by_part[part]
        }
        if not shares:
            return causes
        best = max(shares.values(), key=lambda item: (len(item), sorted(item)))
        tied = [part for part, share in shares.items() if share == best]
        groups = group_by_prompts(tied, crashes_by_part)
        for parts in groups:
            last_at = max(crash.at for part in parts for crash in crashes_by_part[part])
            cause = CrashCause(
                parts=parts,
                outages=len(best),
                last_at=last_at,
                is_ambiguous=len(groups) > 1,
            )
            causes.append(cause)
        left -= best


def group_by_prompts(parts, crashes_by_part):
    """Group parts that occur in the same prompts.

    :param parts: list of parts.
    :param crashes_by_part: dict of part to an iterable of :class:`Crash`.
    :return: list of frozensets of parts. A group all of whose prompts also have a part
        of another group, which has more prompts, is left out.
    """
    groups = {}
    for part in parts:
        prompts = frozenset(crash.prompt for crash in crashes_by_part[part])
        groups.setdefault(prompts, []).append(part)
    return [
        frozenset(group)
        for prompts, group in groups.items()
        if not any(prompts < others for others in groups)
    ]


def number_outages(crashes, outage_seconds, same_crash_seconds):
    """Return a dict of :class:`Crash` to the number of its outage.

    :param crashes: iterable of :class:`Crash`.
    :param outage_seconds: longest time from the first crash of an outage to its last.
    :param same_crash_seconds: see :func:`find_crash_causes`.
    """
    numbers, newest_by_server = {}, {}
    number, begun_at = 0, float("-inf")
    for crash in sorted(crashes, key=lambda item: (item.at, item.server, item.prompt)):
        newest = newest_by_server.get(crash.server)
        newest_by_server[crash.server] = crash
        if newest is not None and crash.at - newest.at < same_crash_seconds:
            numbers[crash] = numbers[newest]
            continue
        if crash.at - begun_at > outage_seconds:
            number, begun_at = number + 1, crash.at
        numbers[crash] = number
    return numbers
