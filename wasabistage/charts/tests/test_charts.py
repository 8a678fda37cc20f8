import random
import unittest

from sismic.io import import_from_yaml

from wasabistage.charts import (
    CHARTS,
    NOT_HANDLED,
    ChartInterpreter,
    CompiledChart,
    UnknownEventError,
    check_chart,
    load_chart,
)
from wasabistage.charts._loader import leaves
from wasabistage.exceptions import SettingError

SEQUENCES = 8
LENGTH = 30
BROKEN = """
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


def run_to(name, leaf):
    """Return an interpreter in a leaf, by the shortest sequence of events."""
    paths = {CompiledChart(name).state: ()}
    waiting = list(paths)
    while leaf not in paths:
        state = waiting.pop(0)
        for (source, event), target in CompiledChart(name).table.items():
            if source == state and target not in paths:
                paths[target] = (*paths[state], event)
                waiting.append(target)
    chart = ChartInterpreter(name)
    for event in paths[leaf]:
        chart.send(event)
    return chart


class TestCharts(unittest.TestCase):
    def test_every_chart_is_sound(self):
        for name in CHARTS:
            self.assertEqual(check_chart(load_chart(name)), [], name)

    def test_each_fault_of_a_broken_chart_is_named(self):
        faults = check_chart(import_from_yaml(BROKEN))
        self.assertEqual(
            {(fault.subject, fault.reason) for fault in faults},
            {
                ("b", "state without a way out that isn't final"),
                ("c", "unreachable state"),
                ("stop", "event without handler"),
                ("run", "undeclared event"),
            },
        )

    def test_table_agrees_on_every_state_and_event(self):
        for name in CHARTS:
            for leaf in leaves(load_chart(name)):
                for event in CompiledChart(name).events:
                    slow, fast = run_to(name, leaf), CompiledChart(name)
                    fast.leaf = leaf
                    self.assertEqual(slow.state, leaf)
                    self.assertEqual(slow.send(event), fast.send(event))
                    self.assertEqual((slow.state, slow.final), (fast.state, fast.final))

    def test_table_agrees_on_random_sequences(self):
        draws = random.Random(11)
        for name in CHARTS:
            events = sorted(CompiledChart(name).events)
            for _ in range(SEQUENCES):
                slow, fast = ChartInterpreter(name), CompiledChart(name)
                for step in range(LENGTH):
                    event = draws.choice(events)
                    self.assertEqual(slow.send(event, step), fast.send(event, step))
                    self.assertEqual(slow.state, fast.state)

    def test_unknown_event_is_refused_and_unhandled_is_told(self):
        for kind in (ChartInterpreter, CompiledChart):
            chart = kind("request")
            with self.assertRaises(UnknownEventError):
                chart.send("explode")
            self.assertTrue(NOT_HANDLED.has_same_name(chart.send("reply")))
            self.assertEqual(chart.state, "received")

    def test_unknown_chart_is_refused(self):
        with self.assertRaises(SettingError):
            load_chart("none")

    def test_dispatched_purchase_never_becomes_not_run(self):
        table = CompiledChart("purchase").table
        reached, waiting = set(), ["dispatched"]
        while waiting:
            state = waiting.pop()
            reached.add(state)
            waiting += [
                target
                for (source, _), target in table.items()
                if source == state and target not in reached
            ]
        self.assertNotIn("not_run", reached)
        self.assertNotIn("claimed", reached)
