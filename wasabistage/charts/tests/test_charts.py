import random
import unittest

from sismic.io import import_from_yaml

from wasabistage.charts import (
    CHART_NAMES,
    NOT_HANDLED,
    ChartInterpreter,
    CompiledChart,
    UnknownEventError,
    check_chart,
    load_chart,
)
from wasabistage.charts._loader import find_leaves
from wasabistage.exceptions import SettingError

N_SEQUENCES = 8
EVENTS_PER_SEQUENCE = 30
INVALID_CHART = """
statechart:
  name: broken
  description: "events: go stop"
  root state:
    name: root
    initial: a
    states:
      - name: a
        transitions: [{event: go, target: b}, {event: run, target: b}]
      - name: b
      - {name: c, type: final}
"""


def make_interpreter_at(name, leaf):
    """Return an interpreter in a leaf state, reached by the fewest events."""
    paths = {CompiledChart(name).state: ()}
    pending = list(paths)
    while leaf not in paths:
        state = pending.pop(0)
        for (source, event), target in CompiledChart(name).table.items():
            if source == state and target not in paths:
                paths[target] = (*paths[state], event)
                pending.append(target)
    chart = ChartInterpreter(name)
    for event in paths[leaf]:
        chart.send(event)
    return chart


class TestCharts(unittest.TestCase):
    def test_every_chart_file_is_valid(self):
        for name in CHART_NAMES:
            self.assertEqual(check_chart(load_chart(name)), [], name)

    def test_invalid_chart_reports_each_fault(self):
        faults = check_chart(import_from_yaml(INVALID_CHART))
        self.assertEqual(
            {(fault.subject, fault.reason) for fault in faults},
            {
                ("b", "state has no outgoing transition and is not final"),
                ("c", "state is unreachable"),
                ("stop", "event is declared but no transition handles it"),
                ("run", "event is handled but not declared"),
            },
        )

    def test_compiled_chart_equals_interpreter_on_every_state_and_event(self):
        for name in CHART_NAMES:
            for leaf in find_leaves(load_chart(name)):
                for event in CompiledChart(name).events:
                    interpreter, compiled = (
                        make_interpreter_at(name, leaf),
                        CompiledChart(name),
                    )
                    compiled.leaf = leaf
                    self.assertEqual(interpreter.state, leaf)
                    self.assertEqual(interpreter.send(event), compiled.send(event))
                    self.assertEqual(
                        (interpreter.state, interpreter.is_final),
                        (compiled.state, compiled.is_final),
                    )

    def test_compiled_chart_equals_interpreter_on_random_event_sequences(self):
        rng = random.Random(11)
        for name in CHART_NAMES:
            events = sorted(CompiledChart(name).events)
            for _ in range(N_SEQUENCES):
                interpreter, compiled = ChartInterpreter(name), CompiledChart(name)
                for step in range(EVENTS_PER_SEQUENCE):
                    event = rng.choice(events)
                    self.assertEqual(
                        interpreter.send(event, step), compiled.send(event, step)
                    )
                    self.assertEqual(interpreter.state, compiled.state)

    def test_send_undeclared_event_raises_and_unhandled_returns_not_handled(self):
        for chart_class in (ChartInterpreter, CompiledChart):
            chart = chart_class("request")
            with self.assertRaises(UnknownEventError):
                chart.send("explode")
            self.assertTrue(NOT_HANDLED.has_same_name(chart.send("reply")))
            self.assertEqual(chart.state, "received")

    def test_load_unknown_chart_raises_setting_error(self):
        with self.assertRaises(SettingError):
            load_chart("none")

    def test_dispatched_purchase_never_becomes_not_run_or_claimed(self):
        table = CompiledChart("purchase").table
        reached, pending = set(), ["dispatched"]
        while pending:
            state = pending.pop()
            reached.add(state)
            pending += [
                target
                for (source, _), target in table.items()
                if source == state and target not in reached
            ]
        self.assertNotIn("not_run", reached)
        self.assertNotIn("claimed", reached)
