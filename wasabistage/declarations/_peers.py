"""What other entries have in force, and when to read the log."""

from abc import abstractmethod
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.declarations._messages import NOT_DUE, ReadLog
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

#: Some live entry has not reported the version.
NOT_EVERYWHERE = Sentinel("NOT_EVERYWHERE")
#: Reads that one hint causes at most, so that a wrong hint doesn't load the log.
MAX_HINT_READS = 10


@dataclass(frozen=True, kw_only=True)
class VersionReported:
    """Event: an entry told the version in force there.

    :param instance: its name.
    :param version: the version in force there.
    :param next_offset: offset below which it has folded the log.
    """

    instance: str
    version: int
    next_offset: int = 0


@dataclass(frozen=True, kw_only=True)
class LiveInstances:
    """Event: the entries that live now, this one included.

    :param names: their names.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class EverywhereQuery:
    """Query: is a version in force at every live entry?

    :param version: the version.
    """

    version: int


@dataclass(frozen=True, kw_only=True)
class Everywhere:
    """Answer: every live entry reported the version or a newer one.

    :param version: the version.
    :param instances: number of live entries.
    """

    version: int
    instances: int


@dataclass(frozen=True, kw_only=True)
class PollQuery:
    """Query: should this entry read the log now?

    :param next_offset: offset below which it has folded the log.
    :param draw: uniform random number, 0 to 1.
    """

    next_offset: int
    draw: float


class BaseConfigPeerView(Policy):
    """Base of views on the other entries' versions.

    :param poll_interval: time between polls, in seconds.
    :param hint_interval: least time between two reads that a hint causes, in
        seconds.
    :param max_instances: instances kept; further ones are passed over.
    """

    def __init__(self, poll_interval=0.5, hint_interval=0.05, max_instances=1024):
        self.poll_interval = poll_interval
        self.hint_interval = hint_interval
        self.max_instances = max_instances

    def reset(self):
        """Check the arguments and start without any instance."""
        for name, value in self.get_params().items():
            if value <= 0:
                raise SettingError(f"{name} is not above 0", remedy="raise it")
        self.live_ = ()
        self.versions_ = {}
        self.hint_ = 0
        self.hint_reads_ = 0
        self.last_poll_ = None
        self.wait_ = 0.0
        return self

    def observe(self, event, now):
        """Learn a peer's version, or which entries live.

        :param event: a :class:`VersionReported` or :class:`LiveInstances`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, LiveInstances):
            self.live_ = tuple(sorted(set(event.names)))[: self.max_instances]
            kept = set(self.live_)
            known = self.versions_.items()
            self.versions_ = {name: version for name, version in known if name in kept}
        elif isinstance(event, VersionReported):
            if event.next_offset > self.hint_:
                self.hint_ = event.next_offset
                self.hint_reads_ = 0
            # A restarted entry reports an older version; only its last word counts.
            if event.instance in self.live_:
                self.versions_[event.instance] = event.version

    def decide(self, query, now):
        """Tell whether a version is in force everywhere, or whether to poll.

        :param query: an :class:`EverywhereQuery` or :class:`PollQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`Everywhere` or ``NOT_EVERYWHERE`` with the missing names;
            :class:`ReadLog` or ``NOT_DUE``.
        """
        if isinstance(query, EverywhereQuery):
            return self._everywhere(query.version)
        assert isinstance(query, PollQuery)
        return self._poll(query, now)

    @abstractmethod
    def poll_wait(self, draw):
        """Choose the time until the next poll.

        :param draw: uniform random number, 0 to 1.
        :return: seconds.
        """

    def _everywhere(self, version):
        missing = [name for name in self.live_ if self.versions_.get(name, 0) < version]
        if missing or not self.live_:
            shown = ", ".join(missing[:10]) or "every entry: none is known"
            return NOT_EVERYWHERE.with_reason(f"not reported by {shown}")
        return Everywhere(version=version, instances=len(self.live_))

    def _poll(self, query, now):
        since = now - self.last_poll_ if self.last_poll_ is not None else None
        behind = self.hint_ > query.next_offset
        hinted = behind and self.hint_reads_ < MAX_HINT_READS
        wait = min(self.wait_, self.hint_interval) if hinted else self.wait_
        if since is not None and since < wait:
            return NOT_DUE.with_reason(f"next poll in {wait - since:.3f} s")
        self.hint_reads_ += behind
        self.last_poll_ = now
        self.wait_ = self.poll_wait(query.draw)
        return ReadLog(offset=query.next_offset)


class ConfigPeerView(BaseConfigPeerView):
    """Entries share the polling: the more live, the rarer each one polls."""

    def poll_wait(self, draw):
        """Return the interval times the number of live entries, with jitter."""
        return self.poll_interval * max(1, len(self.live_)) * (0.5 + draw)


class EveryonePolls(BaseConfigPeerView):
    """Baseline: each entry polls on its own."""

    def poll_wait(self, draw):
        """Return the interval with jitter."""
        return self.poll_interval * (0.5 + draw)
