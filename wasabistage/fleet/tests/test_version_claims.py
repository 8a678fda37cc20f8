import unittest

from wasabistage.fleet import VersionClaims
from wasabistage.fleet._version_claims import CLAIM_TIMEOUT_SECONDS


class VersionClaimsTest(unittest.TestCase):
    def setUp(self):
        self.claims = VersionClaims()

    def find_newer(self, versions, now, own_version=2):
        self.claims.observe(versions, now)
        return self.claims.find_newer(own_version, now)

    def test_newest_version_is_found(self):
        self.assertIsNone(self.find_newer({}, 0.0))
        self.assertIsNone(self.find_newer({"a": 2, "b": 1}, 0.0))
        self.assertEqual(self.find_newer({"a": 3, "b": 4}, 0.0), "b")
        self.assertIsNone(self.find_newer({"a": 3, "b": 4}, 0.0, own_version=4))

    # Guards against an entry whose wrong reports keep all others from confirming keys.
    def test_version_that_is_not_given_counts_for_a_limited_time(self):
        self.assertEqual(self.find_newer({"a": 9}, 0.0), "a")
        late = CLAIM_TIMEOUT_SECONDS
        self.assertEqual(self.find_newer({"a": 9}, late - 0.1), "a")
        self.assertIsNone(self.find_newer({"a": 9}, late))
        self.assertEqual(self.find_newer({"a": 9, "b": 3}, late), "b")
        self.assertEqual(self.find_newer({"a": 10}, late), "a")

    def test_refuted_version_does_not_count(self):
        self.claims.refute("a", 9)
        self.assertIsNone(self.find_newer({"a": 9}, 0.0))
        self.assertEqual(self.find_newer({"a": 10}, 0.0), "a")
        self.assertIsNone(self.find_newer({}, 0.0))
        self.assertEqual(self.find_newer({"a": 9}, 0.0), "a")


if __name__ == "__main__":
    unittest.main()
