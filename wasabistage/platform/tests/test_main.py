import os
import signal
import unittest
from unittest import mock

from wasabistage.platform import __main__ as program


class StartTest(unittest.TestCase):
    def setUp(self):
        handler = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, handler)

    # Guards against a starting process that ends when the platform announces changed
    # settings (issue 30, A 6).
    def test_announced_settings_do_not_end_a_starting_process(self):
        handlers = []

        def load():
            handlers.append(signal.getsignal(signal.SIGHUP))
            os.kill(os.getpid(), signal.SIGHUP)

        with (
            mock.patch.object(program, "load_alone", load),
            mock.patch.object(program.sys, "argv", ["program", "a", "b"]),
            mock.patch.object(program.sys, "stderr"),
            self.assertRaises(SystemExit),
        ):
            program.main()
        self.assertEqual(handlers, [signal.SIG_IGN])


if __name__ == "__main__":
    unittest.main()
