import socket
import unittest

import trio

from standins._serve import serve_app
from standins.engine import create_app
from wasabistage.exceptions import UnavailableError
from wasabistage.reference import HttpEngineClient, make_http_client

ORDER = {"fencing": 7, "kind": "adapter", "adapter": "malayalam"}


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class TestOrders(unittest.TestCase):
    def run_with_engine(self, check):
        async def main():
            address = free_address()
            async with trio.open_nursery() as nursery, make_http_client() as http:
                nursery.start_soon(serve_app, create_app(), address)
                engine = HttpEngineClient(http, address)
                with trio.fail_after(20.0):
                    await self.wait_ready(engine)
                    await check(engine)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def wait_ready(self, engine):
        while True:
            try:
                return await engine.load()
            except UnavailableError:
                await trio.sleep(0.02)

    async def taken(self, engine):
        url = f"http://{engine.address}/witness/state"
        return (await engine.client.get(url)).json()["orders"]

    def test_order_held_back_at_the_last_moment_takes_no_effect(self):
        async def check(engine):
            with self.assertRaisesRegex(UnavailableError, "held back"):
                await engine.order(ORDER, lambda: False)
            self.assertEqual(await self.taken(engine), [])
            await engine.order(ORDER, lambda: True)
            self.assertEqual(await self.taken(engine), [ORDER])
            old = {**ORDER, "fencing": 6}
            with self.assertRaisesRegex(UnavailableError, "409"):
                await engine.order(old, lambda: True)
            self.assertEqual(await self.taken(engine), [ORDER])

        self.run_with_engine(check)

    def test_question_comes_once_per_order_and_after_connecting(self):
        asked = []

        async def check(engine):
            nobody = HttpEngineClient(engine.client, free_address())
            with self.assertRaisesRegex(UnavailableError, "no connection"):
                await nobody.order(ORDER, lambda: asked.append("nobody"))
            await engine.order(ORDER, lambda: asked.append("engine") or True)

        self.run_with_engine(check)
        self.assertEqual(asked, ["engine"])


if __name__ == "__main__":
    unittest.main()
