"""Selection of the servers that load the named weight version next."""

import math
from dataclasses import dataclass

from wasabistage.base import Policy

MAX_SERVER_VERSIONS = 4096  # twice the servers of the largest deployment
MAX_NAMED_VERSIONS = 64  # per model; far above the number in use at one time


@dataclass(frozen=True, kw_only=True)
class VersionNamed:
    """Event: the operators named a weight version.

    :param model: name of the model.
    :param version: the version.
    :param age: time since the version was named, as far as is known, in seconds.
    """

    model: str
    version: int
    age: float = 0.0


@dataclass(frozen=True, kw_only=True)
class ServerVersionReported:
    """Event: the weight version that a server runs became known.

    :param server: id of the server.
    :param incarnation: number of the server's process life.
    :param model: name of the model.
    :param version: the version that the server runs.
    """

    server: str
    incarnation: int
    model: str
    version: int


@dataclass(frozen=True, kw_only=True)
class ServerOrdered:
    """Event: this or another entry is ordering a server, or waits for its load.

    :param server: id of the server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class PeerOrderEnded:
    """Event: another entry neither orders a server nor waits for its load any more.

    :param server: id of the server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class VersionLoadEnded:
    """Event: an order of this entry ended.

    :param server: id of the server.
    :param ok: whether the server now runs the version.
    """

    server: str
    ok: bool


@dataclass(frozen=True, kw_only=True)
class VersionLoadCandidate:
    """A server that may be ordered.

    :param server: id of the server.
    :param incarnation: number of the server's process life.
    :param models: names of the models that the server holds.
    """

    server: str
    incarnation: int
    models: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class VersionLoadQuery:
    """Query: which servers are to be ordered next?

    :param candidates: the servers that may be ordered.
    :param excluded_servers: ids of the servers that this entry may not order yet.
    """

    candidates: tuple[VersionLoadCandidate, ...]
    excluded_servers: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class VersionLoad:
    """Decision: a server is to load a weight version.

    :param server: id of the server.
    :param model: name of the model.
    :param version: the version to load.
    """

    server: str
    model: str
    version: int


class VersionRollout(Policy):
    """Policy that lets servers load the named version, a few at a time.

    All entries order the servers in the sequence of their ids. A server loads only once
    its running requests have ended, so each entry can keep long requests away from the
    servers that come next.

    :param at_once: number of servers that load at the same time, at least. More
        concurrent loads make each of them slower.
    :param version_time: time within which all servers must run a named version, in
        seconds; in a large fleet more than ``at_once`` load at the same time, so that
        half of it suffices. ``None`` for no bound.
    :param load_time: time that one load takes, with the order and its wait, in seconds.
    :param max_share: fraction of the servers that load at the same time, at most, if
        that is more than ``at_once``.
    :param word_time: time for which a server counts as loading after the last
        :class:`ServerOrdered` for it, in seconds.
    :param retry_time: time until a server is ordered again after its order failed, in
        seconds.
    """

    def __init__(
        self,
        *,
        at_once=2,
        version_time=None,
        load_time=0.8,
        max_share=0.3,
        word_time=0.7,
        retry_time=0.5,
    ):
        self.at_once = at_once
        self.version_time = version_time
        self.load_time = load_time
        self.max_share = max_share
        self.word_time = word_time
        self.retry_time = retry_time

    def reset(self):
        """Forget versions and orders.

        :return: the policy itself.
        """
        self.named_versions_ = {}
        self.named_at_ = {}
        self.server_versions_ = {}
        self.ordered_at_ = {}
        self.failed_at_ = {}
        return self

    def observe(self, event, now):
        """Learn a version, an order or the end of an order.

        :param event: :class:`VersionNamed`, :class:`ServerVersionReported`,
            :class:`ServerOrdered`, :class:`PeerOrderEnded` or
            :class:`VersionLoadEnded`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, VersionNamed):
            self._record_named_version(event, now)
        elif isinstance(event, ServerVersionReported):
            self._record_server_version(event)
        elif isinstance(event, ServerOrdered):
            self.ordered_at_[event.server] = now
        elif isinstance(event, PeerOrderEnded):
            self.ordered_at_.pop(event.server, None)
        elif isinstance(event, VersionLoadEnded):
            self.ordered_at_.pop(event.server, None)
            self.failed_at_.pop(event.server, None)
            if not event.ok:
                self.failed_at_[event.server] = now

    def _record_named_version(self, event, now):
        times = self.named_at_.setdefault(event.model, {})
        at = now - event.age
        times[event.version] = min(at, times.get(event.version, at))
        self.named_versions_[event.model] = max(times)
        if len(times) > MAX_NAMED_VERSIONS:
            oldest = min(times)
            at = times.pop(oldest)
            # The next version takes over the time of the removed one, for servers that
            # are behind by more versions than are kept.
            times[min(times)] = min(at, times[min(times)])

    def _record_server_version(self, event):
        key = (event.server, event.model)
        incarnation, version = self.server_versions_.get(key, (event.incarnation, 0))
        if event.incarnation < incarnation:
            return
        # Within an incarnation versions only increase, so a lower one is out of date.
        if event.incarnation == incarnation:
            version = max(version, event.version)
        else:
            version = event.version
        self.server_versions_[key] = (event.incarnation, version)
        if version >= self.named_versions_.get(event.model, 0):
            self.ordered_at_.pop(event.server, None)
        if len(self.server_versions_) > MAX_SERVER_VERSIONS:
            del self.server_versions_[next(iter(self.server_versions_))]

    def version(self, server, model):
        """Return the last known version of a server.

        :param server: id of the server.
        :param model: name of the model.
        :return: the version, or ``None`` if it is not known.
        """
        known = self.server_versions_.get((server, model))
        return known[1] if known else None

    def is_ordered(self, server, now):
        """Return whether a server counts as being ordered or loading.

        :param server: id of the server.
        :param now: monotonic time, in seconds.
        """
        return now < self.ordered_at_.get(server, float("-inf")) + self.word_time

    def age(self, server, model, now):
        """Return for how long a server has been behind the named versions.

        The time counts from when the first version that the server misses was named;
        naming a later version does not restart it.

        :param server: id of the server.
        :param model: name of the model.
        :param now: monotonic time, in seconds.
        :return: time in seconds; 0 if the server is not behind.
        """
        version = self.version(server, model) or 0
        times = self.named_at_.get(model, {})
        return max(
            (now - at for named, at in times.items() if named > version), default=0.0
        )

    def get_named_version_ages(self, now):
        """Return the ages of the named versions that some server does not run yet.

        :param now: monotonic time, in seconds.
        :return: a list of (model, version, age in seconds).
        """
        lowest = {}
        for (_, model), (_, version) in self.server_versions_.items():
            lowest[model] = min(version, lowest.get(model, version))
        return [
            (model, version, now - at)
            for model, times in self.named_at_.items()
            for version, at in times.items()
            if version > lowest.get(model, version)
        ]

    def is_behind(self, server, model):
        """Return whether a server is known to run an older version than the named one.

        :param server: id of the server.
        :param model: name of the model.
        """
        version = self.version(server, model)
        return version is not None and version < self.named_versions_.get(model, 0)

    def decide(self, query, now):
        """Answer a :class:`VersionLoadQuery`.

        :param query: a :class:`VersionLoadQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`VersionLoad` in the order in which the servers are
            to be ordered; empty if none is to be ordered now.
        """
        loading = sum(self.is_ordered(item.server, now) for item in query.candidates)
        loads = self.get_pending_loads(query.candidates, now)
        allowed = tuple(
            load for load in loads if load.server not in query.excluded_servers
        )
        return allowed[: max(0, self.get_at_once(len(query.candidates)) - loading)]

    def get_at_once(self, count):
        """Return how many servers load at the same time.

        :param count: number of servers.
        """
        if self.version_time is None:
            return self.at_once
        needed = math.ceil(count * self.load_time / (0.5 * self.version_time))
        return max(self.at_once, min(needed, int(count * self.max_share)))

    def get_pending_loads(self, candidates, now):
        """Return the loads that are still to be ordered, the next one first.

        Servers whose last order failed come last.

        :param candidates: :class:`VersionLoadCandidate` objects.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`VersionLoad`.
        """
        ordered = sorted(
            candidates, key=lambda item: (item.server in self.failed_at_, item.server)
        )
        loads = []
        for item in ordered:
            behind = [name for name in item.models if self.is_behind(item.server, name)]
            if behind and self._may_order(item.server, now):
                # A server carries out one order at a time.
                version = self.named_versions_[behind[0]]
                load = VersionLoad(server=item.server, model=behind[0], version=version)
                loads.append(load)
        return tuple(loads)

    def next_servers(self, servers, model):
        """Return the servers of the next two rounds of orders.

        A round is :meth:`get_at_once` servers.

        :param servers: ids of all servers of the model.
        :param model: name of the model.
        :return: a set of ids.
        """
        names = list(servers)
        behind = sorted(name for name in names if self.is_behind(name, model))
        return set(behind[: 2 * self.get_at_once(len(names))])

    def _may_order(self, server, now):
        failed_at = self.failed_at_.get(server, float("-inf"))
        return not self.is_ordered(server, now) and now >= failed_at + self.retry_time
