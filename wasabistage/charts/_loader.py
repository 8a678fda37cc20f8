"""Reading and checking of the state-chart files."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files

from sismic.io import import_from_yaml
from sismic.model import BasicState, CompoundState, FinalState

from wasabistage.exceptions import SettingError

CHARTS = (
    "answer_stream",
    "backend_server",
    "entry_instance",
    "purchase",
    "request",
    "weight_rollout",
)
EVENTS_MARK = "events:"


@dataclass(frozen=True, kw_only=True)
class ChartFault:
    """Something wrong with a chart.

    :param chart: name of the chart.
    :param subject: the state or event at fault.
    :param reason: what is wrong with it.
    """

    chart: str
    subject: str
    reason: str


@cache
def load_chart(name):
    """Read a chart file once.

    :param name: one of :data:`CHARTS`.
    :return: a sismic ``Statechart``, to be left unchanged.
    :raises SettingError: if there is no such chart or it can't be read.
    """
    if name not in CHARTS:
        raise SettingError(
            f"there is no state chart {name!r}", remedy=f"use one of {CHARTS}"
        )
    text = files("wasabistage.charts").joinpath(f"{name}.yaml").read_text("utf-8")
    return import_from_yaml(text)


def declared_events(chart):
    """Return the events that a chart's description declares.

    :param chart: a sismic ``Statechart``.
    :return: a frozenset of event names.
    """
    _, _, names = (chart.description or "").partition(EVENTS_MARK)
    return frozenset(names.split())


def resolve_target(chart, target):
    """Follow initial states down to a leaf.

    :param chart: a sismic ``Statechart``.
    :param target: name of a state.
    :return: name of the leaf that is entered.
    """
    state = chart.state_for(target)
    while isinstance(state, CompoundState):
        state = chart.state_for(state.initial)
    return state.name


def leaf_transitions(chart, leaf):
    """Return what a leaf does on each event, inner states first.

    :param chart: a sismic ``Statechart``.
    :param leaf: name of a leaf state.
    :return: a dict of event name to the leaf entered.
    """
    table = {}
    for name in (leaf, *chart.ancestors_for(leaf)):
        for transition in chart.transitions_from(name):
            if transition.event not in table:
                table[transition.event] = resolve_target(chart, transition.target)
    return table


def leaves(chart):
    """Return the states without children.

    :param chart: a sismic ``Statechart``.
    :return: a list of names.
    """
    return [
        name
        for name in chart.states
        if isinstance(chart.state_for(name), BasicState | FinalState)
    ]


def check_chart(chart):
    """Check a chart without running it.

    :param chart: a sismic ``Statechart``.
    :return: a list of :class:`ChartFault`, empty if the chart is sound.
    """
    faults = []

    def fault(subject, reason):
        faults.append(ChartFault(chart=chart.name, subject=subject, reason=reason))

    for name in chart.states:
        state = chart.state_for(name)
        if not isinstance(state, BasicState | FinalState | CompoundState):
            fault(name, "parallel and history states can't be compiled")
    if faults:
        return faults
    for transition in chart.transitions:
        if transition.guard or transition.action or transition.target is None:
            fault(transition.source, "guards, actions and internal transitions")
        if transition.event is None:
            fault(transition.source, "transition without event")
    if faults:
        return faults
    reached = reachable_leaves(chart)
    for name in leaves(chart):
        if name not in reached:
            fault(name, "unreachable state")
        final = isinstance(chart.state_for(name), FinalState)
        if not final and not leaf_transitions(chart, name):
            fault(name, "state without a way out that isn't final")
    handled = {t.event for t in chart.transitions}
    declared = declared_events(chart)
    for event in sorted(declared - handled):
        fault(event, "event without handler")
    for event in sorted(handled - declared):
        fault(event, "undeclared event")
    return faults


def reachable_leaves(chart):
    """Return the leaves that some sequence of events reaches.

    :param chart: a sismic ``Statechart``.
    :return: a set of names.
    """
    waiting = [resolve_target(chart, chart.root)]
    reached = set()
    while waiting:
        leaf = waiting.pop()
        if leaf not in reached:
            reached.add(leaf)
            waiting += leaf_transitions(chart, leaf).values()
    return reached
