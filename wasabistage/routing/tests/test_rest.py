import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import RestPolicy, RestQuery, RestRequested


class RestPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = RestPolicy(max_seconds=60.0, max_servers=2).reset()

    def request(self, seconds, now=0.0, server="s", incarnation=1):
        event = RestRequested(server=server, incarnation=incarnation, seconds=seconds)
        self.policy.observe(event, now)

    def get_rest(self, now, server="s", incarnation=1):
        return self.policy.decide(
            RestQuery(server=server, incarnation=incarnation), now
        )

    def test_rest_ends_after_its_time(self):
        self.request(2.0)
        self.assertEqual(self.get_rest(0.5), 1.5)
        self.assertEqual(self.get_rest(2.0), 0.0)

    def test_shorter_rest_does_not_end_a_longer_one(self):
        self.request(5.0)
        self.request(1.0, now=1.0)
        self.assertEqual(self.get_rest(2.0), 3.0)

    def test_next_process_of_a_server_has_not_asked(self):
        self.request(5.0)
        self.assertEqual(self.get_rest(1.0, incarnation=2), 0.0)

    def test_bad_and_huge_values_are_bounded(self):
        for seconds in (0.0, -3.0, float("nan")):
            self.request(seconds)
            self.assertEqual(self.get_rest(0.0), 0.0)
        self.request(float("inf"))
        self.assertEqual(self.get_rest(0.0), 60.0)

    def test_number_of_servers_is_bounded(self):
        for server in ("a", "b", "c"):
            self.request(5.0, server=server)
        self.assertEqual(self.get_rest(0.0, server="a"), 0.0)
        self.assertEqual(self.get_rest(0.0, server="c"), 5.0)

    def test_reset_with_bad_arguments_raises(self):
        for arguments in ({"max_seconds": 0.0}, {"max_servers": 0}):
            with self.subTest(arguments), self.assertRaises(SettingError):
                RestPolicy(**arguments).reset()


if __name__ == "__main__":
    unittest.main()
