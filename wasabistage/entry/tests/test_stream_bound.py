import unittest
from types import SimpleNamespace

import trio

from wasabistage.base import Ran
from wasabistage.entry._completions import CompletionServer
from wasabistage.exceptions import OverloadError


class TestStreamBound(unittest.TestCase):
    def test_streams_beyond_the_bound_are_refused_and_not_run(self):
        context = SimpleNamespace(settings=SimpleNamespace(max_streams=2))
        server = CompletionServer(context, None, None, None, None, None)
        server.open_streams = {"a"}
        server.check_room()
        server.open_streams = {"a", "b"}
        for opening in (
            lambda: server.open(None),
            lambda: server.resume(None, "", None),
        ):
            with self.assertRaises(OverloadError) as caught:
                trio.run(opening)
            self.assertEqual(caught.exception.ran, Ran.NO)


if __name__ == "__main__":
    unittest.main()
