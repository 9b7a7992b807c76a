"""Tests that settings are validated and every error is reported with path and allowed values."""

import unittest
from pathlib import Path
from typing import Any

from curranthall.cells.options import Options, parse_options
from curranthall.errors import SettingsInvalid
from curranthall.rows import check_row
from curranthall.settings import Settings, load_settings, settings_from

EXAMPLES = Path(__file__).parent.parent / "examples"
VALID: dict[str, Any] = {
    "id": "e1",
    "domain": "d1",
    "caller": "127.0.0.1:1",
    "operators": "127.0.0.1:2",
    "mesh": "127.0.0.1:3",
    "platform": "127.0.0.1:4",
    "mesh_key": "0123456789abcdef",
    "operator_tokens": {"ann": "0123456789abcdef"},
}


def problems(value: dict[str, Any]) -> list[str]:
    try:
        settings_from(value)
    except SettingsInvalid as exc:
        found = exc.fields["problems"]
        assert isinstance(found, list)
        return sorted(str(problem) for problem in found)
    return []


class SettingsTest(unittest.TestCase):
    def test_valid_settings_are_accepted(self) -> None:
        self.assertIsInstance(settings_from(VALID), Settings)

    def test_examples(self) -> None:
        for name in ("order-desk.json", "sheet-desk.json"):
            self.assertIsInstance(load_settings(str(EXAMPLES / name)), Settings)

    def test_tables_of_the_examples(self) -> None:
        import json5

        for name in ("order-desk.table.json", "sheet-desk.table.json"):
            table = json5.loads((EXAMPLES / name).read_text())
            for kind, rows in table.items():
                for row in rows.values():
                    check_row(kind, row)

    def test_all_errors_are_reported_at_once(self) -> None:
        invalid = {
            **VALID,
            "caller": "nowhere",
            "max_body_bytes": 3,
            "memory_mb": 0,
            "max_fds": "many",
            "id": 7,
            "peeers": [],
            "peers": ["x"],
        }
        del invalid["domain"]
        found = problems(invalid)
        self.assertEqual(len(found), 8, found)
        self.assertIn("id: found 7; allowed: a string", found)
        self.assertIn("caller: found 'nowhere'; allowed: host:port", found)
        self.assertIn("domain: found nothing; allowed: a value: this key is required", found)
        self.assertIn("peers.0: found 'x'; allowed: host:port", found)
        self.assertTrue(any(text.startswith("peeers: found unknown key") for text in found))

    def test_secrets_are_not_shown(self) -> None:
        found = problems({**VALID, "mesh_key": "short"})
        self.assertEqual(len(found), 1)
        self.assertNotIn("short", found[0])


class Features(unittest.TestCase):
    def test_features_are_off_unless_named(self) -> None:
        self.assertFalse(any(parse_options("")))
        self.assertEqual(parse_options("copies, preemption"), Options(preemption=True, copies=True))

    def test_an_unknown_feature_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            parse_options("copies,unknown")
