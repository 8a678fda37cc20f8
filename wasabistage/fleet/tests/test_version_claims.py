import unittest

from wasabistage.fleet import VersionClaims
from wasabistage.fleet._version_claims import CLAIM_TIMEOUT_SECONDS


class VersionClaimsTest(unittest.TestCase):
    def setUp(self):
        self.claims = VersionClaims()

    def test_newest_version_is_found(self):
        self.assertIsNone(self.claims.find_newer(2, {}, 0.0))
        self.assertIsNone(self.claims.find_newer(2, {"a": 2, "b": 1}, 0.0))
        self.assertEqual(self.claims.find_newer(2, {"a": 3, "b": 4}, 0.0), "b")
        self.assertIsNone(self.claims.find_newer(4, {"a": 3, "b": 4}, 0.0))

    # Guards against an entry whose wrong reports keep all others from confirming keys.
    def test_version_that_is_not_given_counts_for_a_limited_time(self):
        self.assertEqual(self.claims.find_newer(2, {"a": 9}, 0.0), "a")
        late = CLAIM_TIMEOUT_SECONDS
        self.assertEqual(self.claims.find_newer(2, {"a": 9}, late - 0.1), "a")
        self.assertIsNone(self.claims.find_newer(2, {"a": 9}, late))
        self.assertEqual(self.claims.find_newer(2, {"a": 9, "b": 3}, late), "b")
        self.assertEqual(self.claims.find_newer(2, {"a": 10}, late), "a")

    def test_refuted_version_does_not_count(self):
        self.claims.refute("a", 9)
        self.assertIsNone(self.claims.find_newer(2, {"a": 9}, 0.0))
        self.assertEqual(self.claims.find_newer(2, {"a": 10}, 0.0), "a")
        self.assertIsNone(self.claims.find_newer(2, {}, 0.0))
        self.assertEqual(self.claims.find_newer(2, {"a": 9}, 0.0), "a")


if __name__ == "__main__":
    unittest.main()
