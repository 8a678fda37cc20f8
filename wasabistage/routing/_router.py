"""Routers that select the backend server of a prompt and the source of its KV cache."""

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
#: Multiple of the predicted time of a fetch after which it is checked.
FETCH_OVERRUN_RATIO = 1.5

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
    """Base class of the routers.

    A server is eligible only if it is usable and has itself reported the version that
    the query names. Every router returns a :class:`RouteDecision`, or ``NO_SERVER``
    with the reason.

    :param estimator: a :class:`FirstTokenEstimator` that observes the events; ``None``
        for one with default arguments.
    """

    def __init__(self, *, estimator=None):
        self.estimator = estimator

    def reset(self):
        """Reset the estimator and clear the learned state."""
        self.estimator_ = self.estimator or FirstTokenEstimator()
        self.estimator_.reset()
        return self

    def observe(self, event, now):
        """Pass an event to the estimator.

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
            return NO_SERVER.with_reason(f"no usable server for model {query.model!r}")
        eligible = [item for item in usable if item.version == query.version]
        if not eligible:
            return NO_SERVER.with_reason(
                f"no server reports version {query.version!r} of {query.model!r} yet"
            )
        options = self._order_options(query, eligible, now)
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
    def _order_options(self, query, eligible, now):
        """Return one option for each eligible server, best first."""

    def _build_hold_option(self, query, candidate, now):
        """Return the option to reuse the pieces that the server holds, if any."""
        held = _find_holding(query, candidate.server)
        pieces = held.pieces if held else 0
        trust = held.trust if held else 1.0
        reused = min(pieces * query.piece_tokens, max(0, query.prompt_tokens - 1))
        tokens = query.prompt_tokens - reused
        expected_tokens = tokens + round(reused * (1.0 - trust))
        seconds = self._predict_seconds(candidate, expected_tokens, now)
        plan = Plan.HOLD if pieces else Plan.RECOMPUTE
        return _Option(seconds, candidate.server, plan, tokens, pieces)

    def _predict_seconds(self, candidate, tokens, now, store="", size=0):
        query = EstimateQuery(
            server=candidate.server, tokens=tokens, store=store, size=size
        )
        estimate = self.estimator_.decide(query, now)
        if not estimate:
            seconds = self.estimator_.estimate_prefill_seconds(
                candidate.server, tokens, now
            )
        else:
            seconds = estimate.seconds
        return seconds / max(candidate.weight, MIN_WEIGHT)


class PredictiveRouter(Router):
    """Router that minimizes the predicted time to the first token.

    For each server it compares reusing the pieces that the server holds, if any, with
    fetching each stored prefix that is longer. Servers within ``slack`` of the best
    prediction count as equal, and the query's ``draw`` selects one of them. Otherwise
    entries with the same view would all select the same server.

    :param estimator: see :class:`Router`.
    :param slack: fraction by which a prediction may exceed the best one and still count
        as equal, 0 or more.
    :param margin: fraction by which the time without a fetch must exceed the time with
        one for the fetch to be selected, 0 or more.
    """

    def __init__(self, *, estimator=None, slack=0.1, margin=0.1):
        super().__init__(estimator=estimator)
        self.slack = slack
        self.margin = margin

    def reset(self):
        """Check the arguments and reset the estimator."""
        if self.slack < 0 or self.margin < 0:
            raise SettingError(
                "slack and margin must be 0 or more, but are "
                f"{self.slack!r} and {self.margin!r}",
                remedy="set both to 0 or more",
            )
        return super().reset()

    def _order_options(self, query, eligible, now):
        options = [self._select_option(query, item, now) for item in eligible]
        options.sort(key=lambda option: (option.seconds, option.server))
        bound = options[0].seconds * (1.0 + self.slack)
        tied = sum(option.seconds <= bound for option in options)
        chosen = options.pop(min(int(query.draw * tied), tied - 1))
        return [chosen, *options]

    def _select_option(self, query, candidate, now):
        best = self._build_hold_option(query, candidate, now)
        for stored in query.stored:
            option = self._build_fetch_option(
                query, candidate, best.pieces, stored, now
            )
            if option and option.seconds * (1.0 + self.margin) < best.seconds:
                best = option
        return best

    def _build_fetch_option(self, query, candidate, held, stored, now):
        fetched = stored.pieces - held
        if fetched <= 0:
            return None
        reused = min(
            stored.pieces * query.piece_tokens, max(0, query.prompt_tokens - 1)
        )
        tokens = query.prompt_tokens - reused
        uncertain = min(reused, fetched * query.piece_tokens)
        expected_tokens = tokens + round(uncertain * (1.0 - stored.trust))
        size = fetched * query.piece_bytes
        link = get_link_name(stored.store, stored.tier)
        seconds = self._predict_seconds(candidate, expected_tokens, now, link, size)
        return _Option(
            seconds,
            candidate.server,
            Plan.FETCH,
            tokens,
            stored.pieces,
            fetched,
            stored.store,
            stored.tail,
            FETCH_OVERRUN_RATIO
            * self.estimator_.estimate_fetch_seconds(link, size, now),
        )


class RandomRouter(Router):
    """Baseline that selects a random eligible server, regardless of held pieces."""

    def _order_options(self, query, eligible, now):
        first = min(int(query.draw * len(eligible)), len(eligible) - 1)
        order = eligible[first:] + eligible[:first]
        return [self._build_hold_option(query, item, now) for item in order]


class LeastLoadedRouter(Router):
    """Baseline that selects the shortest reported queue, without later dispatches."""

    def _order_options(self, query, eligible, now):
        order = sorted(
            eligible,
            key=lambda item: (self._get_reported_tokens(item.server), item.server),
        )
        return [self._build_hold_option(query, item, now) for item in order]

    def _get_reported_tokens(self, server):
        load = self.estimator_.servers_.get(server)
        return load.reported_tokens if load else 0.0


class LeastOutstandingRouter(Router):
    """Router that selects the fewest outstanding requests, for plain services.

    The outstanding requests of a server are this entry's open requests or the number
    that the server reported, whichever is greater, divided by the server's weight. The
    query's ``draw`` selects among equal servers.

    :param estimator: see :class:`Router`.
    """

    def reset(self):
        """Reset the estimator and clear all requests."""
        super().reset()
        self.requests_ = {}
        self.open_counts_ = {}
        return self

    def observe(self, event, now):
        """Count open requests by server; see :meth:`Router.observe`."""
        super().observe(event, now)
        if isinstance(event, Dispatched):
            self._remove_request(event.request)
            self.requests_[event.request] = event.server
            self.open_counts_[event.server] = self.open_counts_.get(event.server, 0) + 1
        elif isinstance(event, DispatchEnded):
            self._remove_request(event.request)

    def _remove_request(self, request):
        server = self.requests_.pop(request, None)
        if server is None:
            return
        self.open_counts_[server] -= 1
        if not self.open_counts_[server]:
            del self.open_counts_[server]

    def _order_options(self, query, eligible, now):
        start = int(query.draw * len(eligible))
        rotated = eligible[start:] + eligible[:start]
        order = sorted(rotated, key=self._compute_weighted_load)
        return [self._build_hold_option(query, item, now) for item in order]

    def _compute_weighted_load(self, candidate):
        load = self.estimator_.servers_.get(candidate.server)
        reported = load.running if load else 0
        open_count = self.open_counts_.get(candidate.server, 0)
        return (max(reported, open_count) + 1) / max(candidate.weight, MIN_WEIGHT)


class StickyRouter(Router):
    """Baseline that sends a session to the server that received it first.

    If that server is no longer eligible, the session moves to another one. Beyond
    ``max_sessions`` the least recently used session is evicted.

    :param estimator: see :class:`Router`.
    :param max_sessions: maximum number of sessions kept.
    """

    def __init__(self, *, estimator=None, max_sessions=MAX_STICKY_SESSIONS):
        super().__init__(estimator=estimator)
        self.max_sessions = max_sessions

    def reset(self):
        """Reset the estimator and clear all sessions."""
        self.sessions_ = OrderedDict()
        return super().reset()

    def _order_options(self, query, eligible, now):
        key = query.session or (query.piece_keys[0] if query.piece_keys else "")
        names = [item.server for item in eligible]
        session_server = self.sessions_.get(key)
        if session_server not in names:
            session_server = names[min(int(query.draw * len(names)), len(names) - 1)]
        if key:
            self.sessions_[key] = session_server
            self.sessions_.move_to_end(key)
        if len(self.sessions_) > self.max_sessions:
            self.sessions_.popitem(last=False)
        first = names.index(session_server)
        order = eligible[first:] + eligible[:first]
        return [self._build_hold_option(query, item, now) for item in order]


class RoundRobinRouter(Router):
    """Baseline that selects the eligible servers in turn."""

    def reset(self):
        """Reset the estimator and start from the first server."""
        self.next_index_ = 0
        return super().reset()

    def _order_options(self, query, eligible, now):
        first = self.next_index_ % len(eligible)
        self.next_index_ += 1
        order = eligible[first:] + eligible[:first]
        return [self._build_hold_option(query, item, now) for item in order]


def _find_holding(query, server):
    """Return the query's :class:`ServerHolding` of a server, or ``None``."""
    for holding in query.held:
        if holding.server == server:
            return holding
    return None
