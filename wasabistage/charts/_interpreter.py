"""Runs state charts, interpreted by sismic or compiled to a flat table."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import cache

from sismic.clock import SimulatedClock
from sismic.interpreter import Interpreter
from sismic.model import FinalState

from wasabistage.charts._loader import (
    check_chart,
    find_entered_leaf,
    find_leaf_transitions,
    find_leaves,
    load_chart,
    parse_declared_events,
)
from wasabistage.exceptions import SettingError, WasabistageError
from wasabistage.utils import Sentinel

NOT_HANDLED = Sentinel("NOT_HANDLED", "the active state does not handle this event")


class UnknownEventError(WasabistageError):
    """The event sent to a chart is not one that the chart declares."""

    kind = "unknown_event"


@dataclass(frozen=True, kw_only=True)
class Transition:
    """Decision: the transition that an event caused.

    :param event: name of the event.
    :param before: name of the leaf state before the event.
    :param after: name of the leaf state after the event; it may be the same.
    """

    event: str
    before: str
    after: str


class Chart(ABC):
    """A run of a state chart from its initial state.

    :param name: name of the chart, one of :data:`CHART_NAMES`.
    """

    def __init__(self, name):
        self.name = name
        self.events = load_declared_events(name)

    def send(self, event, now=0.0):
        """Handle an event.

        :param event: name of a declared event.
        :param now: monotonic time, in seconds; never decreases.
        :return: a :class:`Transition`, or :data:`NOT_HANDLED` if the active state does
            not handle the event.
        :raises UnknownEventError: if the chart doesn't declare the event.
        """
        if event not in self.events:
            raise UnknownEventError(
                f"state chart {self.name} declares no event {event!r}",
                remedy=f"send one of {', '.join(sorted(self.events))}",
            )
        before = self.state
        after = self._step(event, now)
        if after is None:
            return NOT_HANDLED
        return Transition(event=event, before=before, after=after)

    @property
    @abstractmethod
    def state(self):
        """Name of the active leaf state."""

    @property
    @abstractmethod
    def is_final(self):
        """Whether a final state is active."""

    @abstractmethod
    def _step(self, event, now):
        """Handle a declared event.

        :param event: name of the event.
        :param now: monotonic time, in seconds.
        :return: name of the leaf state entered, or ``None`` if the active state does
            not handle the event.
        """


class ChartInterpreter(Chart):
    """Chart run by the sismic interpreter; much slower than :class:`CompiledChart`.

    :param name: name of the chart, one of :data:`CHART_NAMES`.
    """

    def __init__(self, name):
        super().__init__(name)
        self.clock = SimulatedClock()
        self.interpreter = Interpreter(load_chart(name), clock=self.clock)
        self.interpreter.execute()
        self.leaf = self.interpreter.configuration[-1]

    @property
    def state(self):
        """Name of the active leaf state."""
        return self.leaf

    @property
    def is_final(self):
        """Whether a final state is active."""
        return self.interpreter.final

    def _step(self, event, now):
        if self.is_final:
            return None
        self.clock.time = max(self.clock.time, now)
        self.interpreter.queue(event)
        entered = [
            name for step in self.interpreter.execute() for name in step.entered_states
        ]
        if not entered:
            return None
        self.leaf = entered[-1]
        return self.leaf


class CompiledChart(Chart):
    """Chart run from a flat transition table that is compiled from the chart file.

    :param name: name of the chart, one of :data:`CHART_NAMES`.
    """

    def __init__(self, name):
        super().__init__(name)
        self.table, self.final_leaves, self.leaf = compile_chart(name)

    @property
    def state(self):
        """Name of the active leaf state."""
        return self.leaf

    @property
    def is_final(self):
        """Whether a final state is active."""
        return self.leaf in self.final_leaves

    def _step(self, event, now):
        after = self.table.get((self.leaf, event))
        if after is not None:
            self.leaf = after
        return after


@cache
def load_declared_events(name):
    """Return the events that a chart declares; the result is cached by name.

    :param name: name of the chart, one of :data:`CHART_NAMES`.
    :return: a frozenset of event names.
    """
    return parse_declared_events(load_chart(name))


@cache
def compile_chart(name):
    """Compile a chart to a flat transition table; the result is cached by name.

    :param name: name of the chart, one of :data:`CHART_NAMES`.
    :return: a tuple of the transition table, which is a dict of (leaf state, event) to
        the leaf state entered, the frozenset of final states, and the initial leaf
        state.
    :raises SettingError: if there is no such chart or :func:`check_chart` finds faults.
    """
    chart = load_chart(name)
    faults = check_chart(chart)
    if faults:
        raise SettingError(
            f"state chart {name} is invalid at {faults[0].subject!r}: "
            f"{faults[0].reason}",
            remedy=f"correct the chart file {name}.yaml",
        )
    table = {
        (leaf, event): after
        for leaf in find_leaves(chart)
        for event, after in find_leaf_transitions(chart, leaf).items()
    }
    final_leaves = frozenset(
        leaf
        for leaf in find_leaves(chart)
        if isinstance(chart.state_for(leaf), FinalState)
    )
    return table, final_leaves, find_entered_leaf(chart, chart.root)
