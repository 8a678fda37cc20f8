"""Graceful shutdown of an entry process.

Use: on ``SIGTERM`` the entry process observes :class:`DrainRequested`, and from then on
:class:`RemainingWork` whenever a count changes. It calls ``tick`` on a timer and
carries out the actions: :class:`Withdraw`, :class:`CloseListeners`,
:class:`HandOverWork`,
:class:`FlushOutcomes` and :class:`Exit`. Before it accepts a request, it asks
``decide(AdmissionQuery())``.
"""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Policy
from wasabistage.charts import CompiledChart
from wasabistage.exceptions import SettingError


class AdmissionDecision(StrEnum):
    """Treatment of a new request: serve it, forward it to a peer, or refuse it."""

    SERVE = "serve"
    HAND_ON = "hand_on"
    CLOSED = "closed"


@dataclass(frozen=True, kw_only=True)
class DrainRequested:
    """Event: the process was told to shut down."""


@dataclass(frozen=True, kw_only=True)
class RemainingWork:
    """Event: the unfinished work of this process was counted.

    :param requests: running requests that can't be handed over.
    :param streams: streamed answers that another instance can resume.
    :param outcomes: outcomes of non-idempotent calls that aren't in the log yet.
    """

    requests: int = 0
    streams: int = 0
    outcomes: int = 0


@dataclass(frozen=True, kw_only=True)
class AdmissionQuery:
    """Query: is a new request served here? Answered by :class:`AdmissionDecision`."""


@dataclass(frozen=True, kw_only=True)
class Withdraw:
    """Action: withdraw this instance.

    Heartbeats report it as draining, and address answers no longer contain it.
    """


@dataclass(frozen=True, kw_only=True)
class CloseListeners:
    """Action: stop accepting connections from callers."""


@dataclass(frozen=True, kw_only=True)
class HandOverWork:
    """Action: hand unfinished work over.

    Callers of streams are redirected to other instances, and outcomes of
    non-idempotent calls are handed to peers.
    """


@dataclass(frozen=True, kw_only=True)
class FlushOutcomes:
    """Action: append the remaining outcomes to the log now."""


@dataclass(frozen=True, kw_only=True)
class Exit:
    """Action: end the process.

    :param remaining_work: unfinished work that is cut off; all zero after a clean
        shutdown.
    :param elapsed_seconds: time since the request to shut down, in seconds.
    """

    remaining_work: RemainingWork
    elapsed_seconds: float

    @property
    def is_clean(self):
        """Return whether no work was cut off."""
        return self.remaining_work == RemainingWork()


class DrainPolicy(Policy):
    """Shutdown in steps: withdraw, close the listeners, finish work, flush, exit.

    New requests are forwarded to a peer as long as callers may still use the address
    of this instance. Streams that run late are handed over shortly before ``bound``.

    :param address_time: maximum lifetime of an address answer, in seconds.
    :param handover_time: time reserved before ``bound`` for handing work over, in
        seconds.
    :param bound: maximum time from the request to shut down until the exit, in
        seconds.
    """

    def __init__(self, address_time=10.0, handover_time=10.0, bound=60.0):
        self.address_time = address_time
        self.handover_time = handover_time
        self.bound = bound

    def reset(self):
        """Check the arguments and enter the state ``serving``.

        :return: the policy itself.
        :raises SettingError: if ``bound`` is too short.
        """
        if self.address_time + self.handover_time > self.bound:
            raise SettingError(
                f"bound is {self.bound} s, less than address_time + handover_time, "
                f"{self.address_time} s + {self.handover_time} s",
                remedy="raise bound, or lower address_time or handover_time",
            )
        self.chart_ = CompiledChart("entry_instance")
        for event in ("settings_read", "configured", "announced"):
            self.chart_.send(event)
        self.remaining_work_ = RemainingWork()
        self.requested_at_ = None
        self.handed_over_ = False
        return self

    def observe(self, event, now):
        """Record the request to shut down, or a count of unfinished work.

        :param event: :class:`DrainRequested` or :class:`RemainingWork`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, RemainingWork):
            self.remaining_work_ = event
        elif isinstance(event, DrainRequested) and self.requested_at_ is None:
            self.requested_at_ = now

    def decide(self, query, now):
        """Decide how a new request is treated.

        :param query: an :class:`AdmissionQuery`.
        :param now: monotonic time, in seconds.
        :return: an :class:`AdmissionDecision`.
        """
        if self.requested_at_ is None:
            return AdmissionDecision.SERVE
        if self.chart_.state in ("serving", "withdrawing"):
            return AdmissionDecision.HAND_ON
        return AdmissionDecision.CLOSED

    def tick(self, now):
        """Take the steps of the shutdown that are due.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        if self.requested_at_ is None or self.chart_.is_final:
            return []
        elapsed = now - self.requested_at_
        actions = []
        if self._send_if_due(self.chart_.state == "serving", "drain"):
            actions.append(Withdraw())
        if self._send_if_due(elapsed >= self.address_time, "addresses_expired"):
            actions.append(CloseListeners())
        if elapsed >= self.bound - self.handover_time and not self.handed_over_:
            self.handed_over_ = True
            actions.append(HandOverWork())
        is_idle = not self.remaining_work_.requests and not self.remaining_work_.streams
        if self._send_if_due(is_idle, "work_done"):
            actions.append(FlushOutcomes())
        if self._send_if_due(is_idle and not self.remaining_work_.outcomes, "flushed"):
            actions.append(
                Exit(remaining_work=self.remaining_work_, elapsed_seconds=elapsed)
            )
        elif elapsed >= self.bound:
            while not self.chart_.is_final:
                self.chart_.send("bound_reached")
            actions.append(
                Exit(remaining_work=self.remaining_work_, elapsed_seconds=elapsed)
            )
        return actions

    def _send_if_due(self, is_due, event):
        return bool(is_due and self.chart_.send(event))


class StopAtOnce(DrainPolicy):
    """Baseline that exits at once and cuts off unfinished work."""

    def tick(self, now):
        """Exit as soon as the shutdown is requested.

        :param now: monotonic time, in seconds.
        :return: a list with :class:`Exit`, empty before the request.
        """
        if self.requested_at_ is None or self.chart_.is_final:
            return []
        while not self.chart_.is_final:
            self.chart_.send("drain")
            self.chart_.send("bound_reached")
        return [
            Exit(
                remaining_work=self.remaining_work_,
                elapsed_seconds=now - self.requested_at_,
            )
        ]
