"""Orderly end of an entry process.

Wiring: on ``SIGTERM`` the entry process observes :class:`DrainRequested`, and from then
on :class:`RemainingWork` whenever a count changes. It carries out ``tick`` on a timer:
:class:`Withdraw` (heartbeats say draining, address answers leave this instance out),
:class:`CloseListeners`, :class:`HandOverWork`, :class:`FlushOutcomes`, :class:`Exit`.
Before it takes a request it asks ``decide(AdmitQuery())``.
"""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Policy
from wasabistage.charts import CompiledChart
from wasabistage.exceptions import SettingError


class Admission(StrEnum):
    """What to do with a request that arrives."""

    SERVE = "serve"
    HAND_ON = "hand_on"
    CLOSED = "closed"


@dataclass(frozen=True, kw_only=True)
class DrainRequested:
    """Event: the process was told to end."""


@dataclass(frozen=True, kw_only=True)
class RemainingWork:
    """Event: what this process still has to end.

    :param requests: requests under way that can't be handed over.
    :param streams: answers under way that another instance can resume.
    :param outcomes: outcomes of non-idempotent calls that aren't in the log yet.
    """

    requests: int = 0
    streams: int = 0
    outcomes: int = 0


@dataclass(frozen=True, kw_only=True)
class AdmitQuery:
    """Query: may a new request be served here? Answered by :class:`Admission`."""


@dataclass(frozen=True, kw_only=True)
class Withdraw:
    """Action: leave the address answers and say so to every peer."""


@dataclass(frozen=True, kw_only=True)
class CloseListeners:
    """Action: accept no further connection from callers."""


@dataclass(frozen=True, kw_only=True)
class HandOverWork:
    """Action: send callers of streams to another instance, outcomes to peers."""


@dataclass(frozen=True, kw_only=True)
class FlushOutcomes:
    """Action: append the remaining outcomes to the log now."""


@dataclass(frozen=True, kw_only=True)
class Exit:
    """Action: end the process.

    :param remaining_work: the work that was left; all zero in a clean end.
    :param elapsed_seconds: time since the request to end, in seconds.
    """

    remaining_work: RemainingWork
    elapsed_seconds: float

    @property
    def clean(self):
        """Whether nothing was cut."""
        return self.remaining_work == RemainingWork()


class DrainPolicy(Policy):
    """Withdraw, hand new work on, finish or hand over, flush, exit.

    New work is handed on to a peer as long as callers may still hold this address.

    :param address_time: longest lifetime of an address answer, in seconds.
    :param handover_time: time kept before the bound to hand work over, in seconds.
    :param bound: longest time from the request to the exit, in seconds.
    """

    def __init__(self, address_time=10.0, handover_time=10.0, bound=60.0):
        self.address_time = address_time
        self.handover_time = handover_time
        self.bound = bound

    def reset(self):
        """Check the arguments and start as serving.

        :return: the policy itself.
        :raises SettingError: if the bound is too short.
        """
        if self.address_time + self.handover_time > self.bound:
            raise SettingError(
                "the drain bound is shorter than address_time + handover_time",
                remedy="raise the bound or shorten the addresses' lifetime",
            )
        self.chart_ = CompiledChart("entry_instance")
        for event in ("settings_read", "configured", "announced"):
            self.chart_.send(event)
        self.work_ = RemainingWork()
        self.requested_at_ = None
        self.handed_over_ = False
        return self

    def observe(self, event, now):
        """Learn of the request to end, or of the work that is left.

        :param event: :class:`DrainRequested` or :class:`RemainingWork`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, RemainingWork):
            self.work_ = event
        elif isinstance(event, DrainRequested) and self.requested_at_ is None:
            self.requested_at_ = now

    def decide(self, query, now):
        """Say what to do with a new request.

        :param query: an :class:`AdmitQuery`.
        :param now: monotonic time, in seconds.
        :return: an :class:`Admission`.
        """
        if self.requested_at_ is None:
            return Admission.SERVE
        if self.chart_.state in ("serving", "withdrawing"):
            return Admission.HAND_ON
        return Admission.CLOSED

    def tick(self, now):
        """Take the steps that are due.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        if self.requested_at_ is None or self.chart_.final:
            return []
        age = now - self.requested_at_
        actions = []
        if self._step(self.chart_.state == "serving", "drain"):
            actions.append(Withdraw())
        if self._step(age >= self.address_time, "addresses_expired"):
            actions.append(CloseListeners())
        if age >= self.bound - self.handover_time and not self.handed_over_:
            self.handed_over_ = True
            actions.append(HandOverWork())
        idle = not self.work_.requests and not self.work_.streams
        if self._step(idle, "work_done"):
            actions.append(FlushOutcomes())
        if self._step(idle and not self.work_.outcomes, "flushed"):
            actions.append(Exit(remaining_work=self.work_, elapsed_seconds=age))
        elif age >= self.bound:
            while not self.chart_.final:
                self.chart_.send("bound_reached")
            actions.append(Exit(remaining_work=self.work_, elapsed_seconds=age))
        return actions

    def _step(self, due, event):
        return bool(due and self.chart_.send(event))


class StopAtOnce(DrainPolicy):
    """Baseline that exits at the first sign and cuts what is under way."""

    def tick(self, now):
        """Exit.

        :param now: monotonic time, in seconds.
        :return: a list with :class:`Exit` once it was requested.
        """
        if self.requested_at_ is None or self.chart_.final:
            return []
        while not self.chart_.final:
            self.chart_.send("drain")
            self.chart_.send("bound_reached")
        return [
            Exit(remaining_work=self.work_, elapsed_seconds=now - self.requested_at_)
        ]
