"""Gates that decide whether a prompt is sent to its engine, waits, or is refused.

The gates guard against overload from a burst of long prompts or from the loss of
engines. A prompt that waits inside an engine occupies memory, slows down every run and
can no longer be reordered. Once the memory of an engine is full, its runs take longer
and hold their memory longer, so the overload outlasts its cause. Therefore long prompts
are sent one after another, memory is kept free for more urgent prompts, and a prompt
whose first token would arrive too late for its caller is refused at once.
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
    """Question whether a prompt may be sent to the engine that the router selected.

    :param request: id of the request.
    :param rank: rank of the request; 0 is the most urgent.
    :param size: memory that the request will occupy, in tokens.
    :param tokens: prompt tokens that the engine has to compute.
    :param backlog: computing time of the work ahead of the prompt, in seconds.
    :param reserved_tokens: memory reserved for requests at the engine, in tokens.
    :param memory_tokens: KV cache memory of the engine, in tokens.
    :param runs: open requests of all entries at the engine.
    :param slots: number of requests that the engine runs at once; 0 for no bound.
    :param spacing_wait: time for which the prompt should wait for the streams of the
        engine, in seconds; see :class:`wasabistage.routing.PartDecision`.
    :param predicted: predicted time to the first token from now, in seconds.
    :param arrived_at: monotonic time at which the request arrived, in seconds.
    :param objective: latency objective for the first token since arrival, in seconds.
    :param patience: time since arrival, or since the last event, after which the caller
        gives up, in seconds.
    :param last_event_at: monotonic time since which the caller waits for the next event
        of an answer that another engine has begun, in seconds; ``None`` if none has.
    """

    request: str
    rank: int
    size: int
    tokens: int
    backlog: float
    reserved_tokens: int
    memory_tokens: int
    predicted: float
    arrived_at: float
    objective: float
    patience: float
    last_event_at: float | None = None
    runs: int = 0
    slots: int = 0
    spacing_wait: float = 0.0


@dataclass(frozen=True, kw_only=True)
class WaitEnded:
    """A request was sent or refused, or its caller disconnected; it no longer waits.

    :param request: id of the request.
    """

    request: str


@dataclass(frozen=True, kw_only=True)
class Pass:
    """Permission to send the prompt to the engine."""


PASS = Pass()


class EngineGate(Policy):
    """Base class of the gates that limit the work sent to engines."""

    def reset(self):
        """Clear the waiting requests."""
        self.waiting_ = {}
        return self

    def observe(self, event, now):
        """Remove a request that no longer waits, on :class:`WaitEnded`."""
        if isinstance(event, WaitEnded):
            self.waiting_.pop(event.request, None)

    def hold(self, query):
        """Count a request as waiting although the gate would admit it.

        :param query: its :class:`GateQuery`.
        """
        self.waiting_[query.request] = query

    @abstractmethod
    def decide(self, query, now):
        """Answer a :class:`GateQuery`.

        :param query: a :class:`GateQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Pass`, :data:`WAIT` or :data:`TOO_LATE`.
        """


class OpenGate(EngineGate):
    """Baseline that sends every prompt to its engine at once."""

    def decide(self, query, now):
        """See :meth:`EngineGate.decide`."""
        return PASS


class RankedGate(EngineGate):
    """Gate that limits the reserved memory and the backlog of an engine by rank.

    Waiting prompts pass in order of rank. Within a rank, prompts that can still meet
    their objective pass first, then the late ones, both in order of arrival. A prompt
    waits for an earlier one in this order only if that one needs no more memory.

    :param memory_shares: fraction of an engine's memory that may be reserved, by rank;
        the last value applies to all less urgent ranks.
    :param size_share: fraction of an engine's memory; a prompt that needs more is
        counted as if it needed only this. Otherwise the longest prompts would never
        find enough free memory while shorter prompts take it.
    :param slot_shares: open requests at an engine, as a fraction of its slots, below
        which a prompt is sent to it, by rank; the last value applies to all less urgent
        ranks. An urgent prompt may wait in the engine, which admits it first.
    :param backlog_limits: largest computing time of the work ahead of a prompt, by
        rank, in seconds; the last value applies to all less urgent ranks.
    :param patience_share: fraction of the caller's patience within which the first
        token must be predicted to arrive; otherwise the prompt is refused. An answer
        that has begun is continued as long as its caller waits.
    :param late_limit: time since arrival after which a waiting prompt is refused, as a
        multiple of the objective, unless its answer has begun.
    """

    def __init__(
        self,
        *,
        memory_shares=(1.0, 0.92, 0.82),
        size_share=0.25,
        slot_shares=(1.25, 1.0, 0.85),
        backlog_limits=(0.5, 0.3, 0.08),
        patience_share=0.9,
        late_limit=1.2,
    ):
        self.memory_shares = memory_shares
        self.size_share = size_share
        self.slot_shares = slot_shares
        self.backlog_limits = backlog_limits
        self.patience_share = patience_share
        self.late_limit = late_limit

    def reset(self):
        """Check the arguments and clear the waiting requests."""
        limits = (self.memory_shares, self.slot_shares, self.backlog_limits)
        if not all(limits):
            raise SettingError(
                "memory_shares, slot_shares and backlog_limits need at least one "
                f"value, but are {', '.join(map(repr, limits))}",
                remedy="give each at least the limit of rank 0",
            )
        return super().reset()

    def decide(self, query, now):
        """See :meth:`EngineGate.decide`."""
        waited = now - query.arrived_at
        if self._is_too_late(query, waited, now):
            return TOO_LATE
        order_key = self._order_key(query, now)
        if self._yields_to_streams(query, waited):
            self.waiting_[query.request] = query
            return WAIT
        if self._has_room(query) and not self._is_preceded(query, order_key, now):
            return PASS
        self.waiting_[query.request] = query
        return WAIT

    def _is_too_late(self, query, waited, now):
        if query.last_event_at is not None:
            return now - query.last_event_at > query.patience
        if waited + query.predicted > query.patience * self.patience_share:
            return True
        return waited > self.late_limit * query.objective

    def _yields_to_streams(self, query, waited):
        """Return whether a long prompt waits for the streams of the engine.

        It waits as long as it can still meet its own objective.
        """
        if query.last_event_at is not None:
            return False
        return query.spacing_wait > 0 and waited + query.predicted <= query.objective

    def _has_room(self, query):
        room = get_limit(self.memory_shares, query.rank) * query.memory_tokens
        # An engine without reserved memory accepts a prompt of any size.
        size = min(query.size, self.size_share * query.memory_tokens)
        fits = query.reserved_tokens + size <= room or not query.reserved_tokens
        slots = get_limit(self.slot_shares, query.rank) * query.slots
        fits = fits and (not query.slots or query.runs < slots)
        return fits and query.backlog <= get_limit(self.backlog_limits, query.rank)

    def _order_key(self, query, now):
        is_late = now - query.arrived_at + query.predicted > query.objective
        is_late = is_late and query.last_event_at is None
        return query.rank, is_late, query.arrived_at

    def _is_preceded(self, query, order_key, now):
        return any(
            self._order_key(other, now) < order_key
            for other in self.waiting_.values()
            if other.request != query.request and self._needs_no_more_room(other, query)
        )

    def _needs_no_more_room(self, other, query):
        """Return whether room for ``query`` is always enough for ``other``."""
        max_size = self.size_share * query.memory_tokens
        return min(other.size, max_size) <= min(query.size, max_size)


def get_limit(limits, rank):
    """Return the limit of a rank; the last one applies to all less urgent ranks."""
    return limits[min(rank, len(limits) - 1)]
