import re
import unittest
from pathlib import Path

from wasabistage.client import describe_errors

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


class TestDocs(unittest.TestCase):
    def pages(self):
        return [ROOT / "README.md", *sorted(DOCS.rglob("*.md"))]

    def test_links_lead_to_files(self):
        for page in self.pages():
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                if "://" not in target:
                    found = (page.parent / target).exists()
                    self.assertTrue(found, f"{page.name}: {target}")

    def test_index_names_every_page(self):
        index = (DOCS / "README.md").read_text(encoding="utf-8")
        for page in sorted(DOCS.rglob("*.md")):
            name = page.relative_to(DOCS).as_posix()
            if name != "README.md":
                self.assertIn(name, index)

    def test_errors_page_is_what_the_code_generates(self):
        page = (DOCS / "reference" / "errors.md").read_text(encoding="utf-8")
        self.assertEqual(page, describe_errors())


if __name__ == "__main__":
    unittest.main()
