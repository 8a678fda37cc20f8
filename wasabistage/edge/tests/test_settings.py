import tempfile
import unittest
from pathlib import Path

from wasabistage.edge._settings import load_edge_settings
from wasabistage.exceptions import SettingError

VALID_SETTINGS = """\
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

    def test_valid_file_is_read_and_empty_value_takes_default(self):
        settings = self.load(VALID_SETTINGS)
        self.assertEqual(settings.listen.gossip_port, 7260)
        self.assertEqual(settings.bounds.stop_s, 8.0)
        # Files without the section are those of machines set up before it existed.
        self.assertEqual(settings.limits.max_fds, 4096)

    def test_limits_of_the_machine_are_read(self):
        text = VALID_SETTINGS + "[limits]\nmemory_mb = 552\nmax_fds =\n"
        settings = self.load(text)
        self.assertEqual(settings.limits.memory_mb, 552.0)
        self.assertEqual(settings.limits.max_fds, 4096)

    def test_each_invalid_file_raises_error_with_one_line_message(self):
        cases = {
            VALID_SETTINGS.replace(
                "gossip_port", "gosip_port"
            ): "did you mean gossip_port",
            VALID_SETTINGS.replace("[records]", "[record]"): "did you mean records",
            VALID_SETTINGS.replace("7260", "many"): "gossip_port",
            VALID_SETTINGS.replace("ip = 127.0.0.1\n", ""): "ip",
            VALID_SETTINGS.replace("127.0.0.1:8587", "nowhere"): "IP:PORT",
            VALID_SETTINGS.replace("stop_s =", "stop_s = -1"): "stop_s above 0",
            VALID_SETTINGS + "[limits]\nmemory_mb = 0": "memory_mb above 0",
            "no section": "can't be read",
        }
        for text, expected in cases.items():
            with self.subTest(expected), self.assertRaises(SettingError) as caught:
                self.load(text)
            self.assertIn(expected, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    # Guards against failure domains whose names lose their capitals.
    def test_regions_keep_the_names_of_failure_domains(self):
        text = VALID_SETTINGS + "\n[regions]\n# \nEu-1a = Eu\n# \nus-1 = us\n# \n"
        regions = self.load(text.replace("ip =", "IP =")).regions
        self.assertEqual(regions, {"Eu-1a": "Eu", "us-1": "us"})
        self.assertEqual(self.load(VALID_SETTINGS).regions, {})
        self.assertEqual(self.load(VALID_SETTINGS + "[regions]\n# ").regions, {})

    # Guards against limits in deployments that name none.
    def test_cold_servers_are_not_limited_by_default(self):
        bounds = self.load(VALID_SETTINGS + "cold_excess =\ncold_slack =\n").bounds
        self.assertIsNone(bounds.cold_excess)
        self.assertIsNone(bounds.cold_slack)
        bounds = self.load(
            VALID_SETTINGS + "cold_excess = 1.5\ncold_slack = 0\n"
        ).bounds
        self.assertEqual((bounds.cold_excess, bounds.cold_slack), (1.5, 0.0))

    # Guards against placeholders that an older platform leaves as they are and that
    # are then read as values (issue 38).
    def test_unfilled_placeholder_takes_the_default(self):
        text = VALID_SETTINGS.replace("ip =", "cores = {{a.b|json}}\nip =")
        text = text.replace("stop_s =", "stop_s = 9\nevacuate_ms = {{a}}")
        text += "[limits]\nmax_fds = null\n[regions]\n{{@}} = {{.|json}}\n"
        settings = self.load(text + 'a = "eu"\n')
        self.assertIsNone(settings.instance.cores)
        self.assertEqual(settings.bounds.evacuate_ms, 5000.0)
        self.assertEqual(settings.bounds.stop_s, 9.0)
        self.assertEqual(settings.limits.max_fds, 4096)
        self.assertEqual(settings.regions, {"a": "eu"})

    def test_unfilled_placeholder_of_a_required_key_is_named(self):
        text = VALID_SETTINGS.replace("127.0.0.1:8587", "{{platform.address}}")
        with self.assertRaisesRegex(
            SettingError,
            r"key store of section \[records\] .* \{\{platform.address\}\}",
        ):
            self.load(text)

    def test_open_quotation_mark_is_an_error(self):
        with self.assertRaisesRegex(SettingError, 'a is "eu, not a JSON string'):
            self.load(VALID_SETTINGS + '[regions]\na = "eu\n')

    def test_missing_file_raises_setting_error(self):
        with self.assertRaises(SettingError):
            load_edge_settings("missing/edge.ini")


if __name__ == "__main__":
    unittest.main()
