"""Responses of engines to prompts."""

import unittest

import httpx
import trio

from wasabistage.base import Ran
from wasabistage.exceptions import UnavailableError
from wasabistage.reference import EngineRequest, HttpEngineClient

REQUEST = EngineRequest(
    stream_id="stream-1",
    model="m",
    version="1",
    messages=({"role": "user", "content": "hello"},),
    max_tokens=1,
    salt="s",
)


class TestStatus(unittest.TestCase):
    # Guards against callers who are told that a prompt has not run since an engine
    # answered with an error, or sent an earlier refusal once more.
    def test_error_status_does_not_say_that_the_prompt_has_not_run(self):
        async def ask(status):
            transport = httpx.MockTransport(lambda request: httpx.Response(status))
            async with httpx.AsyncClient(transport=transport) as client:
                engine = HttpEngineClient(client, "127.0.0.1:1")
                async with engine.generate(REQUEST):
                    pass

        for status in (408, 429, 500, 503):
            with self.subTest(status):
                with self.assertRaises(UnavailableError) as raised:
                    trio.run(ask, status)
                self.assertIs(raised.exception.ran, Ran.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
