"""Reads, checks and queries state charts."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files

from sismic.io import import_from_yaml
from sismic.model import BasicState, CompoundState, FinalState

from wasabistage.exceptions import SettingError

CHART_NAMES = (
    "answer_stream",
    "backend_server",
    "entry_instance",
    "purchase",
    "request",
    "weight_rollout",
)
EVENTS_PREFIX = "events:"


@dataclass(frozen=True, kw_only=True)
class ChartFault:
    """Defect of a chart, found by :func:`check_chart`.

    :param chart: name of the chart.
    :param subject: name of the state or event that has the defect.
    :param reason: description of the defect.
    """

    chart: str
    subject: str
    reason: str


@cache
def load_chart(name):
    """Read a chart file; later calls return the same object.

    :param name: name of the chart, one of :data:`CHART_NAMES`.
    :return: a sismic ``Statechart``, which callers must not change.
    :raises SettingError: if no chart has this name.
    """
    if name not in CHART_NAMES:
        raise SettingError(
            f"state chart {name!r} does not exist",
            remedy=f"set the chart name to one of {CHART_NAMES}",
        )
    text = files("wasabistage.charts").joinpath(f"{name}.yaml").read_text("utf-8")
    return import_from_yaml(text)


def parse_declared_events(chart):
    """Parse the events that the description of a chart declares.

    They are the words of the description that follow :data:`EVENTS_PREFIX`.

    :param chart: a sismic ``Statechart``.
    :return: a frozenset of event names.
    """
    _, _, names = (chart.description or "").partition(EVENTS_PREFIX)
    return frozenset(names.split())


def find_entered_leaf(chart, target):
    """Return the leaf state that a transition to a state enters.

    A compound state enters its initial state, down to a leaf.

    :param chart: a sismic ``Statechart``.
    :param target: name of the state that the transition leads to.
    :return: name of the leaf state.
    """
    state = chart.state_for(target)
    while isinstance(state, CompoundState):
        state = chart.state_for(state.initial)
    return state.name


def find_leaf_transitions(chart, leaf):
    """Return the transitions out of a leaf state, including those of its ancestors.

    If several of these states handle an event, the innermost one's transition applies.

    :param chart: a sismic ``Statechart``.
    :param leaf: name of a leaf state.
    :return: a dict of event name to the name of the leaf state entered.
    """
    leaf_by_event = {}
    for name in (leaf, *chart.ancestors_for(leaf)):
        for transition in chart.transitions_from(name):
            if transition.event not in leaf_by_event:
                leaf_by_event[transition.event] = find_entered_leaf(
                    chart, transition.target
                )
    return leaf_by_event


def find_leaves(chart):
    """Return the leaf states, which are the states without children.

    :param chart: a sismic ``Statechart``.
    :return: a list of state names.
    """
    return [
        name
        for name in chart.states
        if isinstance(chart.state_for(name), BasicState | FinalState)
    ]


def check_chart(chart):
    """Check that a chart can be compiled and is complete, without running it.

    The kinds of the states are checked first, then the transitions, then the states
    and events. Each stage runs only if the one before it found no faults.

    :param chart: a sismic ``Statechart``.
    :return: a list of :class:`ChartFault`, empty if the chart is valid.
    """
    faults = []

    def add_fault(subject, reason):
        faults.append(ChartFault(chart=chart.name, subject=subject, reason=reason))

    for name in chart.states:
        state = chart.state_for(name)
        if not isinstance(state, BasicState | FinalState | CompoundState):
            add_fault(name, "parallel and history states are not supported")
    if faults:
        return faults
    for transition in chart.transitions:
        if transition.guard or transition.action or transition.target is None:
            add_fault(
                transition.source,
                "guards, actions and internal transitions are not supported",
            )
        if transition.event is None:
            add_fault(transition.source, "transition has no event")
    if faults:
        return faults
    reached = find_reachable_leaves(chart)
    for name in find_leaves(chart):
        if name not in reached:
            add_fault(name, "state is unreachable")
        is_final = isinstance(chart.state_for(name), FinalState)
        if not is_final and not find_leaf_transitions(chart, name):
            add_fault(name, "state has no outgoing transition and is not final")
    handled = {transition.event for transition in chart.transitions}
    declared = parse_declared_events(chart)
    for event in sorted(declared - handled):
        add_fault(event, "event is declared but no transition handles it")
    for event in sorted(handled - declared):
        add_fault(event, "event is handled but not declared")
    return faults


def find_reachable_leaves(chart):
    """Return the leaf states that some sequence of events reaches.

    :param chart: a sismic ``Statechart``.
    :return: a set of state names.
    """
    pending = [find_entered_leaf(chart, chart.root)]
    reached = set()
    while pending:
        leaf = pending.pop()
        if leaf not in reached:
            reached.add(leaf)
            pending += find_leaf_transitions(chart, leaf).values()
    return reached
