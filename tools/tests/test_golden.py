import unittest

from tools.golden import DEPLOYMENTS, golden_path, play


class TestGoldenSessions(unittest.TestCase):
    maxDiff = None

    def test_sessions_run_as_recorded(self):
        for deployment in DEPLOYMENTS:
            with self.subTest(deployment=deployment):
                known = golden_path(deployment).read_text(encoding="utf-8")
                self.assertEqual(play(deployment).splitlines(), known.splitlines())
