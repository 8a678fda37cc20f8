"""The HTTP client keeps a bounded pool for each address."""

import unittest

import httpx
import trio

from wasabistage.reference._http import PoolPerAddress


class TestPoolPerAddress(unittest.TestCase):
    def test_addresses_have_pools_of_their_own_up_to_the_bound(self):
        async def run():
            pools = PoolPerAddress(httpx.Limits(), max_pools=2)
            first = await pools._pool(b"127.0.0.1:1")
            self.assertIs(first, await pools._pool(b"127.0.0.1:1"))
            self.assertIsNot(first, await pools._pool(b"127.0.0.1:2"))
            await pools._pool(b"127.0.0.1:3")
            self.assertEqual(list(pools.pools), [b"127.0.0.1:2", b"127.0.0.1:3"])
            await pools.aclose()
            self.assertEqual(pools.pools, {})

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
