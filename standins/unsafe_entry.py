"""An entry without one of its mechanisms, to see that a proof then fails.

``python -m standins.unsafe_entry MECHANISM SETTINGS`` starts it. For tests alone.
"""

import sys
from unittest.mock import patch

from wasabistage.declarations import ConfigFold, PeerState
from wasabistage.entry import (
    _app,
    _cache,
    _calls,
    _completions,
    _plain,
    _process,
    _relay,
)
from wasabistage.entry._streams import CallerLeft, StreamsTask
from wasabistage.membership import BackendMembership
from wasabistage.once import UncheckedPolicy
from wasabistage.sessions import FrameChecker
from wasabistage.settings import load_settings


class UncheckedTickets(UncheckedPolicy):
    """Gives tickets, and dispatches each attempt with one all the same."""

    def decide(self, query, now):
        """Answer with as many tickets as were asked for."""
        return tuple(nonce.hex() for nonce in query.nonces)


def without_once():
    """Dispatch each attempt of a key."""
    policy = UncheckedTickets().reset()
    return patch.object(_process.OnceTask, "_make_policy", lambda task: policy)


def without_ids():
    """Take a frame of any answer as the one that was asked for."""
    checked = FrameChecker.check

    def check(self, frame):
        object.__setattr__(frame, "request_id", self.request_id)
        return checked(self, frame)

    return patch.object(FrameChecker, "check", check)


def without_resume():
    """Never open a cut stream of an engine again."""
    return patch.object(_relay, "MOST_RESUMES", 0)


def without_cancel():
    """Forget the streams whose callers left."""
    handled = StreamsTask.handle

    async def handle(self, message, reply):
        if not isinstance(message, CallerLeft):
            await handled(self, message, reply)

    return patch.object(StreamsTask, "handle", handle)


def without_accounts():
    """Leave the client account out of salts, piece keys and stream ids."""
    salt, keys = _cache.cache_salt, _completions.piece_keys
    stream = _completions.derive_engine_stream_id
    patch.object(_cache, "cache_salt", lambda _, *rest: salt("all", *rest)).start()
    patch.object(
        _completions, "piece_keys", lambda _, *rest: keys("all", *rest)
    ).start()
    return patch.object(
        _completions, "engine_stream_id", lambda _, item: stream("all", item)
    )


def without_paths():
    """Pass a caller's path on as it came."""
    patch.object(_calls, "check_path", lambda path: None).start()
    return patch.object(_plain, "safe_path", lambda path: path)


def without_ends():
    """Let the last part of an answer be cancelled."""
    return patch.object(_app, "WholeEnds", lambda application: application)


def without_pieces():
    """Import each piece that a store returns."""
    return patch.object(
        _cache, "verify_piece", lambda record, key, generation, *_: generation
    )


def without_leaving():
    """Give new work to backend servers that are leaving."""
    return patch.object(BackendMembership, "is_leaving", lambda self, server: False)


def without_drain():
    """End at once on SIGTERM."""

    async def run(self):
        return

    return patch.object(_process.Drainer, "run", run)


def without_peers():
    """Take no configuration from peers."""
    observed = ConfigFold.observe

    def observe(self, event, now):
        if not isinstance(event, PeerState):
            observed(self, event, now)

    return patch.object(ConfigFold, "observe", observe)


SWITCHES = {
    name.removeprefix("without_"): switch
    for name, switch in list(globals().items())
    if name.startswith("without_")
}


def main(arguments):
    """Run an entry without a mechanism.

    :param arguments: name of the mechanism, path of the settings.
    """
    mechanism, path = arguments
    SWITCHES[mechanism]().start()
    _process.run_entry(load_settings(path))


if __name__ == "__main__":
    main(sys.argv[1:])
