"""Operators' and customers' tokens."""

import unittest

from curranthall.access import Access
from curranthall.errors import Unauthorized
from curranthall.http import Request


def req(token: str = "") -> Request:
    headers = {"authorization": f"Bearer {token}"} if token else {}
    return Request("GET", "/", "", headers, b"")


class AccessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.access = Access({"ann": "token-a", "ben": "token-b"}, {"acme": "secret"})

    def test_operator_is_named_by_token(self) -> None:
        self.assertEqual(self.access.authenticate_operator(req("token-b")), "ben")
        for token in ("", "token-c", "token-"):
            with self.assertRaises(Unauthorized):
                self.access.authenticate_operator(req(token))

    def test_customer_with_a_token_is_not_spoofed(self) -> None:
        self.access.check_customer("acme", req("secret"))
        self.access.check_customer("open", req())
        for token in ("", "token-a"):
            with self.assertRaises(Unauthorized):
                self.access.check_customer("acme", req(token))
