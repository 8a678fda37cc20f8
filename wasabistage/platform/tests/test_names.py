import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parents[2]
#: Names of the users' wire that no other part of the program may know.
NAMES = re.compile(
    "Wasabistage-[A-Z]|kv-events|kv-list|kv-free|kv-move|hold-take|log-append|log-read"
    "|log-newest|coldLeftMs|pathPrefix|keyed\\.|non_idempotent|goalMs|tenants"
)


class NamesTest(unittest.TestCase):
    def test_names_of_the_platform_stay_in_the_adapter(self):
        found = []
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.is_relative_to(PACKAGE / "platform"):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if NAMES.search(line):
                    found.append(
                        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
                    )
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
