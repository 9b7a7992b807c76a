"""Authentication of operators and customers by token."""

import unittest

from curranthall.access import Access
from curranthall.errors import Unauthorized
from curranthall.http import Request


def make_request(token: str = "") -> Request:
    headers = {"authorization": f"Bearer {token}"} if token else {}
    return Request("GET", "/", "", headers, b"")


class AccessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.access = Access({"ann": "token-a", "ben": "token-b"}, {"acme": "secret"})

    def test_an_operator_is_identified_by_token(self) -> None:
        self.assertEqual(self.access.authenticate_operator(make_request("token-b")), "ben")
        for token in ("", "token-c", "token-"):
            with self.assertRaises(Unauthorized):
                self.access.authenticate_operator(make_request(token))

    def test_a_customer_with_a_token_must_present_it(self) -> None:
        self.access.check_customer("acme", make_request("secret"))
        self.access.check_customer("open", make_request())
        for token in ("", "token-a"):
            with self.assertRaises(Unauthorized):
                self.access.check_customer("acme", make_request(token))
