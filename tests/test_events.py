"""Tests that docs/EVENTS.md lists the events that the code logs."""

import re
import unittest
from pathlib import Path

from curranthall.events import Event

CATALOGUE = Path(__file__).parent.parent / "docs" / "EVENTS.md"


class Catalogue(unittest.TestCase):
    def test_every_event_is_listed(self) -> None:
        rows = re.findall(r"^\| E(\d+) \| ([a-z-]+) \|", CATALOGUE.read_text(), re.MULTILINE)
        listed = {(int(number), name) for number, name in rows}
        known = {(event.value, event.name.lower().replace("_", "-")) for event in Event}
        self.assertEqual(listed, known)

    def test_every_event_is_used(self) -> None:
        source = Path(__file__).parent.parent / "src" / "curranthall"
        text = "".join(file.read_text() for file in source.rglob("*.py"))
        unused = [event.name for event in Event if f"Event.{event.name}" not in text]
        self.assertEqual(unused, [])
