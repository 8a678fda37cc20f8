import os
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.base import Rank
from wasabistage.declarations import check_folder, describe_declarations, parse_ini
from wasabistage.declarations._sections import SECTIONS

ROOT = Path(__file__).parents[3]
GOOD = """\
[deployment]
name = d
failure_domains = a, b
[service shop]
kind = plain
[call shop.buy]
path = /buy
idempotent = no
[account x]
key_hashes = %s
[server s1]
address = 127.0.0.1:9001
kind = plain
services = shop
""" % ("ab" * 32)

# Each fault: text, and what its message must hold.
FAULTS = (
    ("[servce shop2]\nkind = plain\n", ":1: unknown section [servce shop2]; did you"),
    ("[service b]\nkind = plan\n", ":2: kind: 'plan' is not known; write one of"),
    ("[service c]\nkind = plain\nmodle = m\n", ":3: unknown key 'modle' in"),
    ("[service d]\nkind = model\nmodel = nil\n", ":3: service 'd' names the unknown"),
    ("[call shop.q]\ndeadline = 10\n", ":2: deadline: '10' is not a duration"),
    (
        "[call shop.g]\nmethod = GET\npath = /g\nidempotent = no\n",
        ":2: call 'g' is not",
    ),
    ("[call shop.o]\npath = /b*\n", ":2: path: '/b*' is not a path"),
    ("[call shop.p]\npath = /*\n", "overlaps"),
    ("[account y]\nweight = 0\nkey_hashes = hunter2\n", ":3: key_hashes: a key's"),
    ("[account z]\nkey = hunter2\n", ":2: key 'key' in [account z] would publish"),
    ("[account w]\nweight = -1\nkey_hashes = " + "cd" * 32, ":2: weight: input should"),
    ("[account v]\nkey_hashes = " + "ab" * 32, "share a bearer key"),
    ("[server s1]\naddress = 127.0.0.1:9002\n", ":1: [server s1] is declared already"),
    ("[server s2]\naddress = shop.local:80\n", ":2: address: 'shop.local:80' does"),
    (
        "[server s3]\naddress = 127.0.0.1:9001\nkind = plain\nservices = shop\n"
        "failure_domain = c\n",
        ":2: address 127.0.0.1:9001 of server s3 belongs to server s1",
    ),
    (
        "[server s4]\naddress = 127.0.0.1:9004\nkind = plain\nservices = shp\n",
        ":4: server 's4' names the unknown services 'shp'; did you mean 'shop'?",
    ),
    ("[rank urgent]\nfloor = 0.9\n", ":2: floors of the ranks sum to 1.25, above 1"),
    ("[rank soon]\nfloor = 0.1\n", ":1: unknown rank 'soon'"),
    ("[store st]\naddress = 127.0.0.1:1\ndisk = 5 apples\n", ":3: disk: '5 apples'"),
    ("[weight_store x]\naddress = 127.0.0.1:2\n", ":1: [weight_store] takes no name"),
    ("[store t]\naddress = 127.0.0.1:3\nmemory = 1B\nmemory = 2B\n", ":4: key 'mem"),
    ("key = 1\n[store u]\naddress = 127.0.0.1:4\nnonsense\n", ":1: key 'key' stands"),
    ("[store u]\naddress = 127.0.0.1:4\nnonsense\n", ":3: line is neither"),
    ("", ":1: file is empty; write"),
    (b"\xff\xfe", ":1: file is not UTF-8; save"),
    ("#" * 300_000, ":0: file is larger than 262144 bytes; split"),
)


#: A longer run: set the variable to the number of inputs.
INPUTS = int(os.environ.get("WASABISTAGE_INPUTS", "300"))


class FolderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "in"
        self.folder.mkdir()

    def write(self, name, text):
        path = self.folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(text if isinstance(text, bytes) else text.encode())

    def messages(self):
        return [str(problem) for problem in check_folder(self.folder).problems]


class TestFaults(FolderTest):
    def test_good_folder(self):
        self.write("shop/good.ini", GOOD)
        self.write("shop/code.py", "not read")
        result = check_folder(self.folder)
        self.assertEqual(result.problems, ())
        self.assertFalse(result.deployment.services["shop"].calls["buy"].idempotent)

    def test_each_fault_alone(self):
        self.write("good.ini", GOOD)
        for text, expected in FAULTS:
            with self.subTest(expected=expected):
                self.write("z.ini", text)
                found = "\n".join(self.messages())
                self.assertIn(expected, found)
                self.assertNotIn("hunter2", found)

    def test_ten_faults_in_one_folder_are_all_named(self):
        self.write("good.ini", GOOD)
        for index in range(10):
            self.write(f"svc{index}/f.ini", FAULTS[index][0])
        found = self.messages()
        for index in range(10):
            place = f"svc{index}/f.ini"
            named = [line for line in found if place in line]
            self.assertTrue(any(FAULTS[index][1] in line for line in named), named)

    def test_link_out_of_the_folder(self):
        self.write("good.ini", GOOD)
        outside = self.folder.parent / "outside.ini"
        outside.write_text(GOOD)
        (self.folder / "link.ini").symlink_to(outside)
        self.assertIn("leads out of the folder", self.messages()[0])

    def test_missing_folder_and_deployment(self):
        self.assertIn("holds no declaration file", self.messages()[0])
        result = check_folder(self.folder / "none")
        self.assertIn("is not a folder", str(result.problems[0]))

    def test_examples_are_good(self):
        for name in ("padavu", "luminosos"):
            result = check_folder(ROOT / "examples" / name)
            self.assertEqual(result.problems, ())
            self.assertEqual(result.deployment.name, name)
            self.assertEqual(len(result.deployment.servers), 10)
            self.assertEqual(len(result.deployment.accounts), 10)
            self.assertEqual(result.deployment.rank_floors[Rank.URGENT], 0.5)

    def test_reference_page_is_what_the_code_generates(self):
        page = ROOT / "docs" / "reference" / "declarations.md"
        self.assertEqual(page.read_text(encoding="utf-8"), describe_declarations())


class TestAnyText(FolderTest):
    @settings(max_examples=INPUTS, derandomize=True, deadline=None, database=None)
    @given(st.text(max_size=300))
    def test_any_text_parses_to_sections_or_problems(self, text):
        sections, problems = parse_ini(text, "f")
        for section in sections:
            self.assertEqual(set(section.values), set(section.lines))
        for problem in problems:
            self.assertTrue(problem.remedy)

    KEYS = sorted({key for model, _ in SECTIONS.values() for key in model.model_fields})
    LINES = st.one_of(
        st.builds("[{} {}]".format, st.sampled_from(sorted(SECTIONS)), st.text("ab.]")),
        st.builds(
            "{} = {}".format,
            st.sampled_from(KEYS),
            st.text("ab/*.:[]019%-", max_size=12) | st.sampled_from(GOOD.split()),
        ),
        st.sampled_from(GOOD.split("\n")),
        st.text(max_size=20),
    )

    @settings(max_examples=INPUTS, derandomize=True, deadline=None, database=None)
    @given(st.lists(LINES, max_size=25))
    def test_any_lines_check_without_raising(self, lines):
        self.write("f.ini", "\n".join(lines).encode("utf-8", "surrogatepass"))
        result = check_folder(self.folder)
        self.assertEqual(result.deployment is None, bool(result.problems))


if __name__ == "__main__":
    unittest.main()
