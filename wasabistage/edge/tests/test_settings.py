import tempfile
import unittest
from pathlib import Path

from wasabistage.edge._settings import load_edge_settings
from wasabistage.exceptions import SettingError

GOOD = """\
[instance]
name = edge-1
failure_domain = a
ip = 127.0.0.1

[listen]
callers = 127.0.0.1:8580
readiness = 127.0.0.1:8586
directory = 127.0.0.1:8584
peers = 127.0.0.1:8582
gossip_port = 7260

[records]
store = 127.0.0.1:8587

[bounds]
stop_s =
"""


class SettingsTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.ini"
            path.write_text(text)
            return load_edge_settings(path)

    def test_good_file_with_defaults(self):
        settings = self.load(GOOD)
        self.assertEqual(settings.listen.gossip_port, 7260)
        self.assertEqual(settings.bounds.stop_s, 8.0)

    def test_each_fault_is_one_clear_line(self):
        cases = {
            GOOD.replace("gossip_port", "gosip_port"): "did you mean gossip_port",
            GOOD.replace("[records]", "[record]"): "did you mean records",
            GOOD.replace("7260", "many"): "gossip_port",
            GOOD.replace("ip = 127.0.0.1\n", ""): "ip",
            GOOD.replace("127.0.0.1:8587", "nowhere"): "IP:PORT",
            GOOD.replace("stop_s =", "stop_s = -1"): "stop_s above 0",
            "no section": "can't be read",
        }
        for text, expected in cases.items():
            with self.subTest(expected), self.assertRaises(SettingError) as caught:
                self.load(text)
            self.assertIn(expected, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_missing_file(self):
        with self.assertRaises(SettingError):
            load_edge_settings("missing/edge.ini")


if __name__ == "__main__":
    unittest.main()
