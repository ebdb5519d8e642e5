"""The reference pages match the code, and relative links resolve."""

import configparser
import re
import unittest
from importlib import resources
from pathlib import Path

from cherryrudder.model.contracts import Contract

ROOT = Path(__file__).resolve().parent.parent
REFERENCE = ROOT / "docs" / "reference"
LINK_PATTERN = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING_PATTERN = re.compile(r"^#+ (.*)$", re.MULTILINE)
ROW_PATTERN = re.compile(r"^\| `([a-z0-9_]+)` \|([^|]*)\|", re.MULTILINE)


def list_pages():
    """Return the README and all pages below docs."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def split_sections(text):
    """Return the text below each second-level heading, by heading."""
    parts = re.split(r"^## (.*)$", text, flags=re.MULTILINE)
    return dict(zip(parts[1::2], parts[2::2], strict=True))


def list_anchors(path):
    """Return the anchors of a page's headings."""
    titles = HEADING_PATTERN.findall(path.read_text(encoding="utf-8"))
    kept = [re.sub(r"[^\w\- ]", "", title.lower()) for title in titles]
    return {title.replace(" ", "-") for title in kept}


class SettingsPageTest(unittest.TestCase):
    def test_page_lists_each_setting_with_its_default(self):
        parser = configparser.ConfigParser(interpolation=None)
        package = resources.files("cherryrudder.model")
        parser.read_string(package.joinpath("config_default.ini").read_text())
        found = split_sections((REFERENCE / "settings.md").read_text(encoding="utf-8"))
        self.assertEqual(list(found), [f"[{name}]" for name in parser.sections()])
        for name in parser.sections():
            with self.subTest(section=name):
                rows = dict(ROW_PATTERN.findall(found[f"[{name}]"]))
                rows = {key: default.strip() for key, default in rows.items()}
                self.assertEqual(rows, dict(parser[name]))


class ContractPageTest(unittest.TestCase):
    def test_page_lists_each_field_with_its_default(self):
        text = (REFERENCE / "contract.md").read_text(encoding="utf-8")
        rows = {key: default.strip() for key, default in ROW_PATTERN.findall(text)}
        self.assertEqual(list(rows), list(Contract._fields))
        for key, default in Contract._field_defaults.items():
            shown = "no" if default is False else str(default)
            self.assertEqual(rows[key], shown, key)


class LinkTest(unittest.TestCase):
    def test_relative_links_resolve_to_a_file_and_heading(self):
        for page in list_pages():
            for link in LINK_PATTERN.findall(page.read_text(encoding="utf-8")):
                if "://" in link:
                    continue
                with self.subTest(page=page.name, link=link):
                    name, _, anchor = link.partition("#")
                    target = (page.parent / name).resolve() if name else page
                    self.assertTrue(target.exists())
                    if anchor:
                        self.assertIn(anchor, list_anchors(target))


if __name__ == "__main__":
    unittest.main()
