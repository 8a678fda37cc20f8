"""Tells callers that were refused for lack of engine room when to return."""

from wasabistage.edge._choice import get_request_rank
from wasabistage.retries import CallerRefused, PromptSent, ReturnQuery, SpreadReturn
from wasabistage.routing import TOO_LATE

MIN_RETURN_SECONDS = 0.15  # a full engine has room again by then


class CallerReturns:
    """Observes prompts and refusals, and returns the times for ``Retry-After``.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.policy = SpreadReturn().reset()

    def record_choice(self, choice):
        """Record that a request is sent to the chosen server.

        :param choice: a :class:`Choice`.
        """
        if choice.plan is not None:
            self.policy.observe(PromptSent(), self.state.timer.now())

    def is_out_of_room(self, exchange, reason):
        """Return whether a request was refused since engines have no room.

        :param exchange: an :class:`Exchange`.
        :param reason: why no server was selected.
        :return: the same; ``False`` if the settings don't request spread returns, or
            an entry's share of an engine's slots is one or more: then few callers of
            one entry return at a time.
        """
        state = self.state
        if not (state.settings.engines.spread_returns and state.view.is_crowded):
            return False
        return exchange.gate_waits > 0 or reason == TOO_LATE.reason

    def get_seconds(self, exchange):
        """Return when a refused caller is to return, in seconds, and record it.

        :param exchange: an :class:`Exchange`.
        """
        state, now = self.state, self.state.timer.now()
        rank = get_request_rank(exchange.route, exchange.account)
        objective = exchange.route.objective
        query = ReturnQuery(
            rank=rank,
            waiting=sum(item.rank <= rank for item in state.gate.waiting_.values()),
            # Requests that wait now are answered or have timed out by then.
            shortest=max(MIN_RETURN_SECONDS, objective),
            needed=objective,
            time_left=exchange.get_time_left(now),
            draw=state.random.random(),
        )
        seconds = self.policy.decide(query, now)
        self.policy.observe(CallerRefused(rank=rank, seconds=seconds), now)
        state.metrics.time("request.return_after", seconds, str(rank))
        return seconds
