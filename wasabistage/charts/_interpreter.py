"""Running of a state chart: interpreted, or compiled to a flat table."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import cache

from sismic.clock import SimulatedClock
from sismic.interpreter import Interpreter
from sismic.model import FinalState

from wasabistage.charts._loader import (
    check_chart,
    declared_events,
    leaf_transitions,
    leaves,
    load_chart,
    resolve_target,
)
from wasabistage.exceptions import SettingError, WasabistageError
from wasabistage.utils import Sentinel

NOT_HANDLED = Sentinel("NOT_HANDLED", "this state does nothing on this event")


class UnknownEventError(WasabistageError):
    """An event was sent that the chart doesn't declare."""

    kind = "unknown_event"


@dataclass(frozen=True, kw_only=True)
class Transition:
    """Decision: what an event did.

    :param event: name of the event.
    :param before: leaf state before it.
    :param after: leaf state after it.
    """

    event: str
    before: str
    after: str


class Chart(ABC):
    """One running instance of a chart.

    :param name: name of the chart file.
    """

    def __init__(self, name):
        self.name = name
        self.events = known_events(name)

    def send(self, event, now=0.0):
        """Handle an event.

        :param event: name of a declared event.
        :param now: monotonic time, in seconds; never goes back.
        :return: a :class:`Transition`, or :data:`NOT_HANDLED`.
        :raises UnknownEventError: if the chart doesn't declare the event.
        """
        if event not in self.events:
            raise UnknownEventError(
                f"chart {self.name} has no event {event!r}",
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
    def final(self):
        """Whether the chart has ended."""

    @abstractmethod
    def _step(self, event, now):
        """Return the leaf that is entered, or ``None``."""


class ChartInterpreter(Chart):
    """Chart run by sismic; much slower than the table.

    :param name: name of the chart file.
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
    def final(self):
        """Whether the chart has ended."""
        return self.interpreter.final

    def _step(self, event, now):
        if self.final:
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
    """Chart run from a flat table that is compiled from the same file.

    :param name: name of the chart file.
    """

    def __init__(self, name):
        super().__init__(name)
        self.table, self.finals, self.leaf = compile_chart(name)

    @property
    def state(self):
        """Name of the active leaf state."""
        return self.leaf

    @property
    def final(self):
        """Whether the chart has ended."""
        return self.leaf in self.finals

    def _step(self, event, now):
        after = self.table.get((self.leaf, event))
        if after is not None:
            self.leaf = after
        return after


@cache
def known_events(name):
    """Return the events that a chart declares.

    :param name: name of the chart file.
    :return: a frozenset of event names.
    """
    return declared_events(load_chart(name))


@cache
def compile_chart(name):
    """Compile a chart once.

    :param name: name of the chart file.
    :return: the table of (leaf, event) to leaf, the final leaves, the initial leaf.
    :raises SettingError: if the chart isn't sound.
    """
    chart = load_chart(name)
    faults = check_chart(chart)
    if faults:
        raise SettingError(f"chart {name}: {faults[0]}", remedy="mend the chart file")
    table = {
        (leaf, event): after
        for leaf in leaves(chart)
        for event, after in leaf_transitions(chart, leaf).items()
    }
    finals = frozenset(
        leaf for leaf in leaves(chart) if isinstance(chart.state_for(leaf), FinalState)
    )
    return table, finals, resolve_target(chart, chart.root)
