import os
import tempfile
import unittest
from dataclasses import fields
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import SettingError
from wasabistage.settings import (
    EntrySettings,
    check_settings,
    describe_settings,
    load_settings,
)
from wasabistage.settings._entry import EXAMPLE, SECTIONS

PAGE = Path(__file__).parents[3] / "docs" / "reference" / "settings.md"
GOOD = """\
[entry]
name = entry-1
deployment = padavu
failure_domain = kochi-a

[listen]
listen = 127.0.0.1:20001
peer_listen = 127.0.0.1:20101
peers = 127.0.0.1:20102, [::1]:20103
peer_key = 0123456789abcdef

[platform]
log = 127.0.0.1:20201
live_list = 127.0.0.1:20202

[bounds]
drain_timeout = 2m
max_body_bytes = 1MiB
"""


#: A longer run: set the variable to the number of inputs.
INPUTS = int(os.environ.get("WASABISTAGE_INPUTS", "150"))


class TestSettings(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry.ini"

    def problems(self, text):
        self.path.write_text(text, encoding="utf-8")
        return [str(problem) for problem in check_settings(self.path)[1]]

    def test_good_file(self):
        self.path.write_text(GOOD, encoding="utf-8")
        loaded = load_settings(self.path)
        self.assertEqual(loaded.peers, ("127.0.0.1:20102", "[::1]:20103"))
        self.assertEqual((loaded.drain_timeout, loaded.max_body_bytes), (120, 1 << 20))

    def test_example_of_the_page_is_good(self):
        self.assertEqual(self.problems(EXAMPLE), [])

    def test_every_fault_is_named_with_line_and_remedy(self):
        text = GOOD.replace("failure_domain", "failure_domian")
        text = text.replace("127.0.0.1:20201", "log.example:20201")
        text = text.replace("2m", "2 weeks") + "[timming]\nx = 1\n"
        found = "\n".join(self.problems(text))
        self.assertIn(":4: unknown key 'failure_domian'", found)
        self.assertIn("did you mean 'failure_domain'?", found)
        self.assertIn(":13: log: 'log.example:20201' does not start with an IP", found)
        self.assertIn(":17: drain_timeout: '2 weeks' is not a duration", found)
        self.assertIn(":19: unknown section [timming]; did you mean 'timing'?", found)

    def test_missing_section_and_equal_addresses(self):
        self.assertIn("[platform] is missing", self.problems("[entry]\nname=a\n")[1])
        found = self.problems(GOOD.replace("20101", "20001"))
        self.assertIn("same address", found[0])

    def test_error_lists_the_faults(self):
        with self.assertRaisesRegex(SettingError, "can't be read"):
            load_settings(self.path)

    def test_data_class_and_models_agree(self):
        keys = [
            (key, None if field.is_required() else field.default)
            for model in SECTIONS.values()
            for key, field in model.model_fields.items()
        ]
        for key, default in keys:
            known = EntrySettings.__dataclass_fields__[key]
            if default is not None:
                self.assertEqual(known.default, default, key)
        self.assertEqual(len(keys), len(fields(EntrySettings)))

    def test_reference_page_is_what_the_code_generates(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), describe_settings())

    @settings(max_examples=INPUTS, derandomize=True, deadline=None, database=None)
    @given(st.text(max_size=200) | st.binary(max_size=200))
    def test_any_content_gives_problems_only(self, content):
        data = content if isinstance(content, bytes) else content.encode("utf-8")
        self.path.write_bytes(data)
        self.assertTrue(check_settings(self.path)[1])


if __name__ == "__main__":
    unittest.main()
