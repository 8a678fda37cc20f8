import json
import os
import unittest

from wasabistage.telemetry import BoundedLineLog, TextMetrics


class Clock:
    def __init__(self):
        self.seconds = 0.0

    def now(self):
        return self.seconds

    def wall_time(self):
        return 1e9 + self.seconds


class BoundedLineLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.clock = Clock()
        self.log = BoundedLineLog(
            "edge-1",
            self.clock,
            lines_per_second=1.0,
            burst=3.0,
            descriptor=self.writer,
        )
        os.set_blocking(self.reader, False)

    def tearDown(self):
        for descriptor in (self.reader, self.writer):
            os.close(descriptor)

    def lines(self):
        return [json.loads(line) for line in os.read(self.reader, 1 << 20).splitlines()]

    def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        for number in range(5):
            self.log.write("seen", number=number)
        self.clock.seconds = 1.0
        self.log.write("after")
        lines = self.lines()
        self.assertEqual([line["time"] for line in lines], [1e9] * 3 + [1e9 + 1.0])
        self.assertEqual([line["event"] for line in lines], ["seen"] * 3 + ["after"])
        self.assertEqual(lines[-1]["dropped_lines"], 2)

    def test_reader_that_does_not_read_stops_nothing(self):
        log = BoundedLineLog("edge-1", self.clock, burst=1e6, descriptor=self.writer)
        for _ in range(2000):
            log.write("seen", text="x" * 500)
        self.assertGreater(log.dropped, 0)

    def test_long_fields_are_cut(self):
        self.log.write("seen", text="x" * 10_000)
        self.assertEqual(len(self.lines()[0]["text"]), 200)


class TextMetricsTest(unittest.TestCase):
    def test_counters_and_histograms_are_rendered(self):
        metrics = TextMetrics()
        metrics.count("request.answered", label="stream")
        metrics.count("request.answered", 2, label="stream")
        metrics.gauge("config.version", 7)
        metrics.time("request.first_token", 0.03, "0")
        metrics.time("request.first_token", 99.0, "0")
        text = metrics.render().decode()
        self.assertIn('wasabistage_request_answered{label="stream"} 3', text)
        self.assertIn("wasabistage_config_version 7", text)
        name = "wasabistage_request_first_token"
        self.assertIn(f'{name}_bucket{{label="0",le="0.05"}} 1', text)
        self.assertIn(f'{name}_bucket{{label="0",le="+Inf"}} 2', text)
        self.assertIn(f'{name}_count{{label="0"}} 2', text)


if __name__ == "__main__":
    unittest.main()
