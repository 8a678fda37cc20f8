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


def route(prefix, **fields):
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


def configuration(version, *routes, keys=("k1",)):
    account = ClientAccount(name="small", keys=frozenset(keys))
    return Configuration(version=version, routes=routes, accounts={"small": account})


class RouteTableTest(unittest.TestCase):
    def setUp(self):
        self.table = RouteTable()

    def test_nothing_matches_before_a_configuration(self):
        found = self.table.find_route("h.example", b"/a/")
        self.assertTrue(found.has_same_name(NO_CONFIGURATION))

    def test_longest_prefix_wins(self):
        self.table.apply_configuration(configuration(1, route("/a/"), route("/a/b/")))
        self.assertEqual(self.table.find_route("h.example", b"/a/b/c").name, "/a/b/")
        self.assertEqual(self.table.find_route("h.example", b"/a/c").name, "/a/")
        self.assertTrue(
            self.table.find_route("h.example", b"/b/").has_same_name(NO_ROUTE)
        )
        self.assertTrue(
            self.table.find_route("other.example", b"/a/").has_same_name(NO_ROUTE)
        )

    def test_older_configuration_is_not_taken_up_again(self):
        self.assertTrue(
            self.table.apply_configuration(configuration(5, route("/new/")))
        )
        self.assertFalse(
            self.table.apply_configuration(configuration(4, route("/old/")))
        )
        self.assertTrue(
            self.table.find_route("h.example", b"/old/").has_same_name(NO_ROUTE)
        )

    def test_keys_name_accounts(self):
        open_route = route("/open/", is_anonymous=True)
        self.table.apply_configuration(configuration(1, route("/a/"), open_route))
        closed = self.table.find_route("h.example", b"/a/")
        self.assertEqual(self.table.find_caller(closed, "k1").account.name, "small")
        self.assertTrue(self.table.find_caller(closed, "k2").has_same_name(UNKNOWN_KEY))
        self.assertTrue(self.table.find_caller(closed, "").has_same_name(NO_KEY))
        self.assertIsNone(self.table.find_caller(open_route, "k2").account)

    def test_removed_key_is_dead_with_the_next_configuration(self):
        self.table.apply_configuration(configuration(1, route("/a/")))
        self.table.apply_configuration(configuration(2, route("/a/"), keys=("k9",)))
        closed = self.table.find_route("h.example", b"/a/")
        self.assertTrue(self.table.find_caller(closed, "k1").has_same_name(UNKNOWN_KEY))


class KeyFreshnessTest(unittest.TestCase):
    def test_age_counts_from_the_begin_of_the_read(self):
        freshness = KeyFreshness(limit=3.0)
        self.assertFalse(freshness.decide(100.0))
        freshness.confirm(begun_at=10.0)
        freshness.confirm(begun_at=9.0)
        self.assertTrue(freshness.decide(13.0))
        self.assertFalse(freshness.decide(13.1))


if __name__ == "__main__":
    unittest.main()
