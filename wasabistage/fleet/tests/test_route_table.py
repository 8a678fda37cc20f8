import unittest

from wasabistage.fleet import (
    NO_CONFIGURATION,
    NO_KEY,
    NO_ROUTE,
    UNKNOWN_KEY,
    ClientAccount,
    Configuration,
    KeyFreshness,
    Route,
    RouteKind,
    RouteTable,
)


def make_route(prefix, **fields):
    return Route(
        name=prefix,
        host="h.example",
        path_prefix=prefix.encode(),
        kind=RouteKind.IDEMPOTENT,
        targets=(("service", 1.0),),
        timeout=1.0,
        objective=0.1,
        **fields,
    )


def make_configuration(version, *routes, keys=("k1",)):
    account = ClientAccount(name="small", keys=frozenset(keys))
    return Configuration(version=version, routes=routes, accounts={"small": account})


class RouteTableTest(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable()

    def test_match_without_configuration_returns_no_configuration(self):
        found = self.table.find_route("h.example", b"/a/")
        self.assertTrue(found.has_same_name(NO_CONFIGURATION))

    def test_match_returns_route_of_longest_prefix_or_no_route(self):
        self.table.apply_configuration(
            make_configuration(1, make_route("/a/"), make_route("/a/b/"))
        )
        self.assertEqual(self.table.find_route("h.example", b"/a/b/c").name, "/a/b/")
        self.assertEqual(self.table.find_route("h.example", b"/a/c").name, "/a/")
        self.assertTrue(
            self.table.find_route("h.example", b"/b/").has_same_name(NO_ROUTE)
        )
        self.assertTrue(
            self.table.find_route("other.example", b"/a/").has_same_name(NO_ROUTE)
        )

    def test_older_configuration_does_not_replace_newer_one(self):
        self.assertTrue(
            self.table.apply_configuration(make_configuration(5, make_route("/new/")))
        )
        self.assertFalse(
            self.table.apply_configuration(make_configuration(4, make_route("/old/")))
        )
        self.assertTrue(
            self.table.find_route("h.example", b"/old/").has_same_name(NO_ROUTE)
        )

    def test_identify_returns_account_or_rejects_key_except_on_anonymous_route(self):
        anonymous_route = make_route("/open/", is_anonymous=True)
        self.table.apply_configuration(
            make_configuration(1, make_route("/a/"), anonymous_route)
        )
        keyed_route = self.table.find_route("h.example", b"/a/")
        self.assertEqual(
            self.table.find_caller(keyed_route, "k1").account.name, "small"
        )
        self.assertTrue(
            self.table.find_caller(keyed_route, "k2").has_same_name(UNKNOWN_KEY)
        )
        self.assertTrue(self.table.find_caller(keyed_route, "").has_same_name(NO_KEY))
        self.assertIsNone(self.table.find_caller(anonymous_route, "k2").account)

    def test_removed_key_is_unknown_once_next_configuration_is_in_force(self):
        self.table.apply_configuration(make_configuration(1, make_route("/a/")))
        self.table.apply_configuration(
            make_configuration(2, make_route("/a/"), keys=("k9",))
        )
        keyed_route = self.table.find_route("h.example", b"/a/")
        self.assertTrue(
            self.table.find_caller(keyed_route, "k1").has_same_name(UNKNOWN_KEY)
        )


class KeyFreshnessTest(unittest.TestCase):
    def test_keys_are_stale_before_first_read_and_after_max_age_since_newest_read(self):
        freshness = KeyFreshness(max_age_seconds=3.0)
        self.assertFalse(freshness.decide(100.0))
        freshness.confirm(read_started_at=10.0)
        freshness.confirm(read_started_at=9.0)
        self.assertTrue(freshness.decide(13.0))
        self.assertFalse(freshness.decide(13.1))


if __name__ == "__main__":
    unittest.main()
