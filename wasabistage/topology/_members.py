"""Table of the live entries, as reported by themselves and by relays."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class FleetMember:
    """An entry of the fleet.

    :param name: name of the entry.
    :param failure_domain: failure domain that it runs in.
    :param ip: IP at which other entries reach it.
    :param callers: address for callers, ``IP:PORT``; ``""`` if unknown.
    :param weight: capacity to carry the facts of others, relative to other entries.
    :param is_ready: whether it is ready for requests of callers.
    :param capacity: capacity to serve callers, see :func:`compute_capacity`; 0 if it is
        unknown.
    """

    name: str
    failure_domain: str = ""
    ip: str = ""
    callers: str = ""
    weight: float = 1.0
    is_ready: bool = False
    capacity: float = 0.0


class FleetMemberTable:
    """The live entries of a fleet.

    Each entry is reported by itself or by the relay that it follows. The table keeps
    for each source the entries of its last report, and forgets a source that has been
    silent for ``timeout``.

    :param timeout: time without a report after which the entries of a source are
        removed, in seconds.
    """

    def __init__(self, *, timeout=1.8):
        self.timeout = timeout
        self._sources = {}
        self._merged = None

    def observe(self, source, members, now, timeout=None):
        """Replace the entries that a source reports.

        :param source: name of the entry that reports them.
        :param members: list of :class:`FleetMember`.
        :param now: monotonic time, in seconds.
        :param timeout: time after which they are removed without another report, in
            seconds; ``None`` for the table's.
        """
        known = self._sources.get(source)
        timeout = self.timeout if timeout is None else timeout
        self._sources[source] = (members, now, now + timeout)
        if known is None or known[0] != members:
            self._merged = None

    def refresh(self, source, now, timeout=None):
        """Record that a source still reports the same entries.

        :param source: name of the entry that reports them.
        :param now: monotonic time, in seconds.
        :param timeout: see :meth:`observe`.
        :return: whether the source is known.
        """
        known = self._sources.get(source)
        if known is None:
            return False
        timeout = self.timeout if timeout is None else timeout
        self._sources[source] = (known[0], now, now + timeout)
        return True

    def remove_source(self, source):
        """Remove the entries that a source has reported.

        :param source: name of the entry that reported them.
        """
        if self._sources.pop(source, None) is not None:
            self._merged = None

    def tick(self, now):
        """Remove the sources that have been silent for too long.

        :param now: monotonic time, in seconds.
        :return: list of their names.
        """
        silent = [
            source
            for source, (_, _, expires_at) in self._sources.items()
            if now > expires_at
        ]
        for source in silent:
            self.remove_source(source)
        return silent

    def get_members(self):
        """Return the live entries.

        An entry that several sources report counts with what the last of them says.

        :return: dict of name to :class:`FleetMember`.
        """
        if self._merged is None:
            ordered = sorted(self._sources.values(), key=lambda item: item[1])
            self._merged = {
                member.name: member for members, *_ in ordered for member in members
            }
        return self._merged
