"""Which prompts may go to an engine now, which wait, and which are refused.

Pattern: a burst of long prompts, or engines lost under load. Prompts that wait inside
an engine hold memory, slow every run and can't be put in order any more; once an
engine's memory is full, its runs lengthen, hold more memory, and the overload outlives
its cause. So long prompts are handed over one after the other, memory is kept for more
urgent ones, and what would come too late for its caller is refused at once.
"""

from abc import abstractmethod
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

WAIT = Sentinel("WAIT", "every engine is at the limit for this rank")
TOO_LATE = Sentinel("TOO_LATE", "no engine can begin before the caller gives up")


@dataclass(frozen=True, kw_only=True)
class GateQuery:
    """Asks whether a prompt may go to the engine that routing chose.

    :param request: id of the request.
    :param rank: its rank, 0 first.
    :param size: memory that it will take, in tokens.
    :param tokens: prompt tokens that the engine has to compute.
    :param backlog: seconds of computing that the engine has before it.
    :param reserved_tokens: memory promised at the engine, in tokens.
    :param memory: memory of the engine, in tokens.
    :param predicted: predicted seconds to its first token.
    :param arrived_at: when the request came, monotonic seconds.
    :param objective: seconds in which the first token is due.
    :param patience: seconds after which the caller gives up.
    """

    request: str
    rank: int
    size: int
    tokens: int
    backlog: float
    reserved_tokens: int
    memory: int
    predicted: float
    arrived_at: float
    objective: float
    patience: float


@dataclass(frozen=True, kw_only=True)
class WaitEnded:
    """A request left the queue: sent, refused, or its caller is gone.

    :param request: id of the request.
    """

    request: str


@dataclass(frozen=True, kw_only=True)
class Pass:
    """The prompt may go to the engine."""


PASS = Pass()


class EngineGate(Policy):
    """Base of the gates before the engines."""

    def reset(self):
        """Forget who waits."""
        self.waiting_ = {}
        return self

    def observe(self, event, now):
        """Take in a :class:`WaitEnded`."""
        if isinstance(event, WaitEnded):
            self.waiting_.pop(event.request, None)

    @abstractmethod
    def decide(self, query, now):
        """Answer a :class:`GateQuery`.

        :param query: a :class:`GateQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Pass`, :data:`WAIT` or :data:`TOO_LATE`.
        """


class OpenGate(EngineGate):
    """Baseline: every prompt goes to its engine at once."""

    def decide(self, query, now):
        """See :meth:`EngineGate.decide`."""
        return PASS


class RankedGate(EngineGate):
    """Limits memory and backlog of an engine by rank, and waits in order.

    A waiting prompt passes before those of a lower rank; within a rank those that can
    still meet their objective pass first, in the order in which they came.

    :param memory_shares: share of an engine's memory that may be promised, by rank;
        the last one holds for all lower ranks.
    :param size_share: share of an engine's memory for which one prompt counts at most;
        otherwise the longest would wait for an engine that shorter ones always fill.
    :param backlog_limits: seconds of computing that may stand before a prompt, by
        rank.
    :param patience_share: share of a caller's patience within which the first token
        must be predicted.
    :param late_limit: objectives after which a waiting prompt is refused.
    """

    def __init__(
        self,
        *,
        memory_shares=(1.0, 0.92, 0.82),
        size_share=0.25,
        backlog_limits=(0.5, 0.3, 0.08),
        patience_share=0.9,
        late_limit=1.2,
    ):
        self.memory_shares = memory_shares
        self.size_share = size_share
        self.backlog_limits = backlog_limits
        self.patience_share = patience_share
        self.late_limit = late_limit

    def reset(self):
        """Check the arguments and forget who waits."""
        if not self.memory_shares or not self.backlog_limits:
            raise SettingError(
                "memory_shares or backlog_limits is empty",
                remedy="give a limit for rank 0 at least",
            )
        return super().reset()

    def decide(self, query, now):
        """See :meth:`EngineGate.decide`."""
        waited = now - query.arrived_at
        if waited + query.predicted > query.patience * self.patience_share:
            return TOO_LATE
        if waited > self.late_limit * query.objective:
            return TOO_LATE
        key = self._key(query, now)
        if self._has_room(query) and not self._is_behind(query, key, now):
            return PASS
        self.waiting_[query.request] = query
        return WAIT

    def _has_room(self, query):
        room = limit_of(self.memory_shares, query.rank) * query.memory
        # An engine without work takes a prompt of any size.
        size = min(query.size, self.size_share * query.memory)
        fits = query.reserved_tokens + size <= room or not query.reserved_tokens
        return fits and query.backlog <= limit_of(self.backlog_limits, query.rank)

    def _key(self, query, now):
        is_late = now - query.arrived_at + query.predicted > query.objective
        return query.rank, is_late, query.arrived_at

    def _is_behind(self, query, key, now):
        return any(
            self._key(other, now) < key
            for other in self.waiting_.values()
            if other.request != query.request and self._counts_less(other, query)
        )

    def _counts_less(self, other, query):
        """Tell whether an engine with room for a prompt has room for the other."""
        most = self.size_share * query.memory
        return min(other.size, most) <= min(query.size, most)


def limit_of(limits, rank):
    """Return the limit of a rank; the last one holds for all lower ranks."""
    return limits[min(rank, len(limits) - 1)]
