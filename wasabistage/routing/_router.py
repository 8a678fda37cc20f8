"""Routers: which backend server takes a prompt, and how its history gets there."""

from abc import abstractmethod
from collections import OrderedDict
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.routing._estimate import FirstTokenEstimator, get_link_name
from wasabistage.routing._load import Dispatched, DispatchEnded, EstimateQuery
from wasabistage.routing._messages import Plan, RouteDecision
from wasabistage.utils import Sentinel

MAX_STICKY_SESSIONS = 100_000
MIN_WEIGHT = 0.01
OVERRUN = 1.5

NO_SERVER = Sentinel("NO_SERVER")


@dataclass(frozen=True)
class _Option:
    seconds: float
    server: str
    plan: Plan
    tokens: int
    pieces: int = 0
    fetched: int = 0
    store: str = ""
    tail: str = ""
    check_after: float = 0.0


class Router(Policy):
    """Base of the routers.

    A server is eligible only if it is usable and itself reported the version that
    the query declares. Every router returns a :class:`RouteDecision`, or
    ``NO_SERVER`` with the reason.

    :param estimator: a :class:`FirstTokenEstimator`, which receives the events;
        ``None`` for one with default arguments.
    """

    def __init__(self, *, estimator=None):
        self.estimator = estimator

    def reset(self):
        """Reset the estimator and forget what was learned."""
        self.estimator_ = self.estimator or FirstTokenEstimator()
        self.estimator_.reset()
        return self

    def observe(self, event, now):
        """Hand an event to the estimator.

        :param event: an event of :class:`FirstTokenEstimator`.
        :param now: monotonic time, in seconds.
        """
        self.estimator_.observe(event, now)

    def decide(self, query, now):
        """Answer a :class:`RouteQuery`.

        :param query: :class:`RouteQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`RouteDecision` or ``NO_SERVER``.
        """
        usable = [item for item in query.candidates if item.usable]
        if not usable:
            return NO_SERVER.because(f"no usable server for model {query.model!r}")
        eligible = [item for item in usable if item.version == query.version]
        if not eligible:
            return NO_SERVER.because(
                f"no server reports version {query.version!r} of {query.model!r} yet"
            )
        options = self._order(query, eligible, now)
        best = options[0]
        return RouteDecision(
            server=best.server,
            plan=best.plan,
            store=best.store,
            tail=best.tail,
            pieces=best.pieces,
            fetched=best.fetched,
            tokens=best.tokens,
            predicted_first_token=best.seconds,
            check_fetch_after=best.check_after,
            alternatives=tuple(option.server for option in options[1:]),
        )

    @abstractmethod
    def _order(self, query, eligible, now):
        """Return one option per eligible server, best first."""

    def _hold_option(self, query, candidate, now):
        """Serve from what the server holds itself, possibly nothing."""
        held = _held_pieces(query, candidate.server)
        pieces = held.pieces if held else 0
        trust = held.trust if held else 1.0
        reused = min(pieces * query.piece_tokens, max(0, query.prompt_tokens - 1))
        tokens = query.prompt_tokens - reused
        expected = tokens + round(reused * (1.0 - trust))
        seconds = self._seconds(candidate, expected, now)
        plan = Plan.HOLD if pieces else Plan.RECOMPUTE
        return _Option(seconds, candidate.server, plan, tokens, pieces)

    def _seconds(self, candidate, tokens, now, store="", size=0):
        query = EstimateQuery(
            server=candidate.server, tokens=tokens, store=store, size=size
        )
        estimate = self.estimator_.decide(query, now)
        if not estimate:
            seconds = self.estimator_.prefill_seconds(candidate.server, tokens, now)
        else:
            seconds = estimate.seconds
        return seconds / max(candidate.weight, MIN_WEIGHT)


class PredictiveRouter(Router):
    """Chooses the least predicted first-token time among all ways of serving.

    For each server: its own pieces, the longest stored prefix fetched over the
    link, or plain recompute. Ways within ``slack`` of the best count as equal and
    are spread by the query's number, so that entries with the same view don't all
    pick the same server.

    :param estimator: see :class:`Router`.
    :param slack: share by which a prediction may exceed the best and count as
        equal, 0 or more.
    :param margin: share by which fetching must beat recomputing, 0 or more.
    """

    def __init__(self, *, estimator=None, slack=0.1, margin=0.1):
        super().__init__(estimator=estimator)
        self.slack = slack
        self.margin = margin

    def reset(self):
        """Check the arguments and reset the estimator."""
        if self.slack < 0 or self.margin < 0:
            raise SettingError(
                "slack or margin is negative", remedy="set both to 0 or more"
            )
        return super().reset()

    def _order(self, query, eligible, now):
        options = [self._best_option(query, item, now) for item in eligible]
        options.sort(key=lambda option: (option.seconds, option.server))
        bound = options[0].seconds * (1.0 + self.slack)
        tied = sum(option.seconds <= bound for option in options)
        chosen = options.pop(min(int(query.draw * tied), tied - 1))
        return [chosen, *options]

    def _best_option(self, query, candidate, now):
        best = self._hold_option(query, candidate, now)
        for stored in query.stored:
            option = self._fetch_option(query, candidate, best.pieces, stored, now)
            if option and option.seconds * (1.0 + self.margin) < best.seconds:
                best = option
        return best

    def _fetch_option(self, query, candidate, held, stored, now):
        fetched = stored.pieces - held
        if fetched <= 0:
            return None
        reused = min(
            stored.pieces * query.piece_tokens, max(0, query.prompt_tokens - 1)
        )
        tokens = query.prompt_tokens - reused
        at_risk = min(reused, fetched * query.piece_tokens)
        expected = tokens + round(at_risk * (1.0 - stored.trust))
        size = fetched * query.piece_bytes
        link = get_link_name(stored.store, stored.tier)
        seconds = self._seconds(candidate, expected, now, link, size)
        return _Option(
            seconds,
            candidate.server,
            Plan.FETCH,
            tokens,
            stored.pieces,
            fetched,
            stored.store,
            stored.tail,
            OVERRUN * self.estimator_.fetch_seconds(link, size, now),
        )


class RandomRouter(Router):
    """Baseline: any eligible server, whatever it holds."""

    def _order(self, query, eligible, now):
        first = min(int(query.draw * len(eligible)), len(eligible) - 1)
        order = eligible[first:] + eligible[:first]
        return [self._hold_option(query, item, now) for item in order]


class LeastLoadedRouter(Router):
    """Baseline: the shortest queue in the last load report, own sends not added."""

    def _order(self, query, eligible, now):
        order = sorted(
            eligible, key=lambda item: (self._reported(item.server), item.server)
        )
        return [self._hold_option(query, item, now) for item in order]

    def _reported(self, server):
        load = self.estimator_.servers_.get(server)
        return load.queued if load else 0.0


class LeastOutstandingRouter(Router):
    """Fewest requests outstanding, ties spread by the draw; for plain services.

    Outstanding are this entry's own open requests or those that the server reported,
    whichever are more, by its weight.

    :param estimator: see :class:`Router`.
    """

    def reset(self):
        """Forget all requests."""
        super().reset()
        self.requests_ = {}
        self.open_ = {}
        return self

    def observe(self, event, now):
        """Count dispatches and their ends; see :meth:`Router.observe`."""
        super().observe(event, now)
        if isinstance(event, Dispatched):
            self._end(event.request)
            self.requests_[event.request] = event.server
            self.open_[event.server] = self.open_.get(event.server, 0) + 1
        elif isinstance(event, DispatchEnded):
            self._end(event.request)

    def _end(self, request):
        server = self.requests_.pop(request, None)
        if server is None:
            return
        self.open_[server] -= 1
        if not self.open_[server]:
            del self.open_[server]

    def _order(self, query, eligible, now):
        start = int(query.draw * len(eligible))
        spread = eligible[start:] + eligible[:start]
        order = sorted(spread, key=self._outstanding)
        return [self._hold_option(query, item, now) for item in order]

    def _outstanding(self, candidate):
        load = self.estimator_.servers_.get(candidate.server)
        reported = load.running if load else 0
        own = self.open_.get(candidate.server, 0)
        return (max(reported, own) + 1) / max(candidate.weight, MIN_WEIGHT)


class StickyRouter(Router):
    """Baseline: a session stays on the server that it was first sent to.

    At the bound of sessions the least recently used is forgotten.

    :param estimator: see :class:`Router`.
    :param max_sessions: sessions remembered.
    """

    def __init__(self, *, estimator=None, max_sessions=MAX_STICKY_SESSIONS):
        super().__init__(estimator=estimator)
        self.max_sessions = max_sessions

    def reset(self):
        """Forget all sessions."""
        self.sessions_ = OrderedDict()
        return super().reset()

    def _order(self, query, eligible, now):
        name = query.session or (query.piece_keys[0] if query.piece_keys else "")
        names = [item.server for item in eligible]
        home = self.sessions_.get(name)
        if home not in names:
            home = names[min(int(query.draw * len(names)), len(names) - 1)]
        if name:
            self.sessions_[name] = home
            self.sessions_.move_to_end(name)
        if len(self.sessions_) > self.max_sessions:
            self.sessions_.popitem(last=False)
        first = names.index(home)
        order = eligible[first:] + eligible[:first]
        return [self._hold_option(query, item, now) for item in order]


class RoundRobinRouter(Router):
    """Baseline: each eligible server in turn."""

    def reset(self):
        """Start from the first server."""
        self.turn_ = 0
        return super().reset()

    def _order(self, query, eligible, now):
        first = self.turn_ % len(eligible)
        self.turn_ += 1
        order = eligible[first:] + eligible[:first]
        return [self._hold_option(query, item, now) for item in order]


def _held_pieces(query, server):
    """Return the query's :class:`ServerHolding` of one server, or ``None``."""
    for holding in query.held:
        if holding.server == server:
            return holding
    return None
