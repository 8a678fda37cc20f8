"""Which model engines get a new weight version next."""

from dataclasses import dataclass

from wasabistage.base import Policy

MAX_SERVERS = 4096  # twice the servers of the largest deployment
MAX_NAMED = 64  # versions of a model whose age is kept; far above any overlap


@dataclass(frozen=True, kw_only=True)
class VersionNamed:
    """The operators named a weight version.

    :param model: name of the model.
    :param version: the version.
    :param age: how long ago it was named, as far as is known, in seconds.
    """

    model: str
    version: int
    age: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ServerVersionReported:
    """A server's weight version became known.

    :param server: id of the server.
    :param incarnation: its life.
    :param model: name of the model.
    :param version: the version that it runs.
    """

    server: str
    incarnation: int
    model: str
    version: int


@dataclass(frozen=True, kw_only=True)
class ServerOrdered:
    """A server was ordered to load a version, by this entry or another.

    :param server: id of the server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class PeerOrderEnded:
    """Another entry no longer orders a server, or waits for its load.

    :param server: id of the server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class VersionLoadEnded:
    """An order sent by this entry came to its end.

    :param server: id of the server.
    :param ok: whether the server runs the version now.
    """

    server: str
    ok: bool


@dataclass(frozen=True, kw_only=True)
class VersionLoadCandidate:
    """A server that may be ordered.

    :param server: its id.
    :param incarnation: its life.
    :param models: names of the models that it holds.
    """

    server: str
    incarnation: int
    models: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class VersionLoadQuery:
    """Asks which servers to order next.

    :param candidates: tuple of :class:`VersionLoadCandidate`.
    :param excluded_servers: ids of servers that this entry may not order yet.
    """

    candidates: tuple[VersionLoadCandidate, ...]
    excluded_servers: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Swap:
    """A server and the version that it is to load.

    :param server: its id.
    :param model: name of the model.
    :param version: the version.
    """

    server: str
    model: str
    version: int


class VersionRollout(Policy):
    """Brings engines to the named version a few at a time, in the order of their ids.

    All entries know that order, so that each can keep long work away from the engines
    that come next: an engine loads once its runs have ended.

    :param at_once: servers that load at the same time; beyond that each load takes
        longer.
    :param word_time: time for which a server counts as loading after the last word
        that it does, in seconds.
    :param retry_time: time until a server whose order failed is ordered again, in
        seconds.
    """

    def __init__(self, *, at_once=2, word_time=0.7, retry_time=0.5):
        self.at_once = at_once
        self.word_time = word_time
        self.retry_time = retry_time

    def reset(self):
        """Forget versions and orders."""
        self.named_versions_ = {}
        self.named_at_ = {}
        self.version_view_ = {}
        self.ordered_ = {}
        self.failed_ = {}
        return self

    def observe(self, event, now):
        """Take in a version, an order or its end.

        :param event: :class:`VersionNamed`, :class:`ServerVersionReported`,
            :class:`ServerOrdered`, :class:`PeerOrderEnded` or
                :class:`VersionLoadEnded`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, VersionNamed):
            self._name(event, now)
        elif isinstance(event, ServerVersionReported):
            self._see(event)
        elif isinstance(event, ServerOrdered):
            self.ordered_[event.server] = now
        elif isinstance(event, PeerOrderEnded):
            self.ordered_.pop(event.server, None)
        elif isinstance(event, VersionLoadEnded):
            self.ordered_.pop(event.server, None)
            self.failed_.pop(event.server, None)
            if not event.ok:
                self.failed_[event.server] = now

    def _name(self, event, now):
        times = self.named_at_.setdefault(event.model, {})
        at = now - event.age
        times[event.version] = min(at, times.get(event.version, at))
        self.named_versions_[event.model] = max(times)
        if len(times) > MAX_NAMED:
            oldest = min(times)
            at = times.pop(oldest)
            # A server may be behind by more versions than are kept.
            times[min(times)] = min(at, times[min(times)])

    def _see(self, event):
        key = (event.server, event.model)
        incarnation, version = self.version_view_.get(key, (event.incarnation, 0))
        if event.incarnation < incarnation:
            return
        # Versions of one life only increase; a late word must not turn them back.
        if event.incarnation == incarnation:
            version = max(version, event.version)
        else:
            version = event.version
        self.version_view_[key] = (event.incarnation, version)
        if version >= self.named_versions_.get(event.model, 0):
            self.ordered_.pop(event.server, None)
        if len(self.version_view_) > MAX_SERVERS:
            del self.version_view_[next(iter(self.version_view_))]

    def version(self, server, model):
        """Return the version that a server is believed to run, or ``None``."""
        known = self.version_view_.get((server, model))
        return known[1] if known else None

    def is_ordered(self, server, now):
        """Tell whether a server is believed to be loading a version."""
        return now < self.ordered_.get(server, float("-inf")) + self.word_time

    def age(self, server, model, now):
        """Return for how long a server has been behind.

        Each version is due from its own naming on, so a later one doesn't make an
        engine that missed the first look current.

        :return: seconds since the first version newer than the server's was named, 0
            if there is none.
        """
        version = self.version(server, model) or 0
        times = self.named_at_.get(model, {})
        return max(
            (now - at for known, at in times.items() if known > version), default=0.0
        )

    def get_named_version_ages(self, now):
        """Return the ages of the named versions that some server doesn't run yet.

        :return: list of model, version and age in seconds.
        """
        lowest = {}
        for (_, model), (_, version) in self.version_view_.items():
            lowest[model] = min(version, lowest.get(model, version))
        return [
            (model, version, now - at)
            for model, times in self.named_at_.items()
            for version, at in times.items()
            if version > lowest.get(model, version)
        ]

    def is_behind(self, server, model):
        """Tell whether a server runs an older version than the one named."""
        version = self.version(server, model)
        return version is not None and version < self.named_versions_.get(model, 0)

    def decide(self, query, now):
        """Answer a :class:`VersionLoadQuery`.

        :param query: a :class:`VersionLoadQuery`.
        :param now: monotonic time, in seconds.
        :return: tuple of :class:`Swap`, the first to be ordered first; empty if
            nothing is to be ordered now.
        """
        loading = sum(self.is_ordered(item.server, now) for item in query.candidates)
        swaps = self.waiting(query.candidates, now)
        allowed = tuple(
            swap for swap in swaps if swap.server not in query.excluded_servers
        )
        return allowed[: max(0, self.at_once - loading)]

    def waiting(self, candidates, now):
        """Return the servers that are still to be ordered, the next one first.

        :param candidates: :class:`VersionLoadCandidate` objects.
        :param now: monotonic time, in seconds.
        :return: tuple of :class:`Swap`.
        """
        order = sorted(
            candidates, key=lambda item: (item.server in self.failed_, item.server)
        )
        return tuple(
            Swap(server=item.server, model=model, version=self.named_versions_[model])
            for item in order
            for model in item.models
            if self.is_behind(item.server, model) and self._may_order(item.server, now)
        )

    def next_servers(self, servers, model):
        """Return the servers that are ordered next and the time after.

        :param servers: ids of all servers of the model.
        :param model: name of the model.
        :return: set of ids.
        """
        behind = sorted(name for name in servers if self.is_behind(name, model))
        return set(behind[: 2 * self.at_once])

    def _may_order(self, server, now):
        failed_at = self.failed_.get(server, float("-inf"))
        return not self.is_ordered(server, now) and now >= failed_at + self.retry_time
