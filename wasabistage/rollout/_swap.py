"""Which model engines get a new weight version next."""

from dataclasses import dataclass

from wasabistage.base import Policy

MAX_SERVERS = 4096  # twice the servers of the largest deployment


@dataclass(frozen=True, kw_only=True)
class VersionNamed:
    """The operators named a weight version.

    :param model: name of the model.
    :param version: the version.
    """

    model: str
    version: int


@dataclass(frozen=True, kw_only=True)
class ServerVersion:
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
class SwapCandidate:
    """A server that may be ordered.

    :param server: its id.
    :param incarnation: its life.
    :param models: names of the models that it holds.
    :param outstanding: work that it has left; the least is ordered first.
    """

    server: str
    incarnation: int
    models: tuple[str, ...]
    outstanding: float = 0.0


@dataclass(frozen=True, kw_only=True)
class SwapQuery:
    """Asks which servers to order next.

    :param candidates: tuple of :class:`SwapCandidate`.
    """

    candidates: tuple[SwapCandidate, ...]


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


class VersionSwap(Policy):
    """Brings engines to the named version a few at a time, the idlest first.

    :param at_once: servers that load at the same time; beyond that each load takes
        longer.
    :param load_time: time after an order until the server is asked or ordered again,
        in seconds.
    """

    def __init__(self, *, at_once=2, load_time=2.0):
        self.at_once = at_once
        self.load_time = load_time

    def reset(self):
        """Forget versions and orders."""
        self.named_ = {}
        self.versions_ = {}
        self.ordered_ = {}
        return self

    def observe(self, event, now):
        """Take in a :class:`VersionNamed`, :class:`ServerVersion` or
        :class:`ServerOrdered`.
        """
        if isinstance(event, VersionNamed):
            known = self.named_.get(event.model, 0)
            self.named_[event.model] = max(known, event.version)
        elif isinstance(event, ServerVersion):
            self._see(event)
        elif isinstance(event, ServerOrdered):
            self.ordered_[event.server] = now

    def _see(self, event):
        key = (event.server, event.model)
        incarnation, version = self.versions_.get(key, (event.incarnation, 0))
        if event.incarnation < incarnation:
            return
        # Versions of one life only increase; a late word must not turn them back.
        if event.incarnation == incarnation:
            version = max(version, event.version)
        else:
            version = event.version
        self.versions_[key] = (event.incarnation, version)
        if version >= self.named_.get(event.model, 0):
            self.ordered_.pop(event.server, None)
        if len(self.versions_) > MAX_SERVERS:
            del self.versions_[next(iter(self.versions_))]

    def version(self, server, model):
        """Return the version that a server is believed to run, or ``None``."""
        known = self.versions_.get((server, model))
        return known[1] if known else None

    def is_ordered(self, server, now):
        """Tell whether a server is believed to be loading a version."""
        return now < self.ordered_.get(server, float("-inf")) + self.load_time

    def is_behind(self, server, model):
        """Tell whether a server runs an older version than the one named."""
        version = self.version(server, model)
        return version is not None and version < self.named_.get(model, 0)

    def decide(self, query, now):
        """Answer a :class:`SwapQuery`.

        :param query: a :class:`SwapQuery`.
        :param now: monotonic time, in seconds.
        :return: tuple of :class:`Swap`, the first to be ordered first; empty if
            nothing is to be ordered now.
        """
        loading = sum(self.is_ordered(item.server, now) for item in query.candidates)
        waiting = sorted(
            (
                item
                for item in query.candidates
                if not self.is_ordered(item.server, now)
            ),
            key=lambda item: (item.outstanding, item.server),
        )
        swaps = [
            Swap(server=item.server, model=model, version=self.named_[model])
            for item in waiting
            for model in item.models
            if self.is_behind(item.server, model)
        ]
        return tuple(swaps[: max(0, self.at_once - loading)])
