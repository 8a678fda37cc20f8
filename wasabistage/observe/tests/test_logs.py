import json
import tempfile
import unittest
from pathlib import Path

from wasabistage.exceptions import IntegrityError
from wasabistage.observe import make_log_handler, make_logger


class TestLogs(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry.log"

    def lines(self, write):
        with make_log_handler("entry-1", path=str(self.path)).threadbound():
            write(make_logger("caller"))
        return [json.loads(line) for line in self.path.read_text().splitlines()]

    def test_a_line_is_one_json_object(self):
        facts = {"request_id": "ab", "odd": "line\nend"}
        (line,) = self.lines(lambda log: log.info("request", extra=facts))
        self.assertEqual(line["instance"], "entry-1")
        self.assertEqual((line["request_id"], line["odd"]), ("ab", "line\nend"))

    def test_messages_of_exceptions_are_not_written(self):
        def write(log):
            try:
                try:
                    raise ValueError("SECRET-PROMPT")
                except ValueError as error:
                    raise IntegrityError("SECRET", remedy="SECRET") from error
            except IntegrityError:
                log.exception("failed")

        (line,) = self.lines(write)
        self.assertRegex(line["error"], r"^IntegrityError .*test_logs\.py:\d+; caused")
        self.assertIn("ValueError", line["error"])
        self.assertNotIn("SECRET", json.dumps(line))


if __name__ == "__main__":
    unittest.main()
