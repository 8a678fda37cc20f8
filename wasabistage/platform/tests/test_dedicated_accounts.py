import itertools
import unittest

import trio

from standins.users_platform import Behaviour
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase
from wasabistage.routing import WAIT

KEYS = {"small": "k1", "other": "k2", "third": "k3"}
SALT, TENANT = b"wasabistage-cache-salt", b"wasabistage-tenant"


def call_first(change, take):
    """Return a function that takes a connection after a change was made."""

    async def take_after_change(*arguments):
        await change()
        return await take(*arguments)

    return take_after_change


class DedicatedAccountsTest(EdgeCase):
    """Pattern: accounts become dedicated, and are released, while others go on."""

    def setUp(self):
        self.numbers = itertools.count()
        self.versions = itertools.count(2)

    async def declare(self, *dedicated, **changes):
        """Publish a configuration in which some accounts are dedicated."""
        tenants = [
            {"name": name, "keys": [key], "dedicated": name in dedicated}
            for name, key in KEYS.items()
        ]
        version = next(self.versions)
        self.platform.publish(version, tenants=tenants, **changes)
        routes = self.edge.state.routes
        await self.until(lambda: routes.configuration.version == version)

    async def ask(self, account, path=b"/hint/"):
        """Send a prompt of an account; return the cache keys under which it ran."""
        name = f"id-{next(self.numbers)}"
        key = b"Bearer " + KEYS[account].encode()
        headers = [
            (b"Wasabistage-Request-Id", name.encode()),
            (b"Authorization", key),
            *PROMPT,
        ]
        reply = await self.call(path, *headers, method=b"POST")
        self.assertEqual(reply.status, 200)
        return self.find_keys(name)

    def find_keys(self, name):
        """Return the cache keys of the runs of a request, in the order of the runs."""
        runs = [
            run
            for engine in self.platform.engines
            for run in engine.runs
            if run.request_id == name
        ]
        runs.sort(key=lambda run: int(run.fields.get(b"last-event-id", b"0")))
        return [run.fields[SALT] for run in runs]

    def find_makers(self, cache_key):
        """Return the accounts that have run requests under a cache key."""
        return {
            run.fields[TENANT].decode()
            for engine in self.platform.engines
            for run in engine.runs
            if run.fields[SALT] == cache_key
        }

    async def check_walls(self, *dedicated):
        """Check that no dedicated account shares a cache key with another."""
        for account in KEYS:
            (cache_key,) = await self.ask(account)
            others = self.find_makers(cache_key) - {account}
            if account in dedicated:
                self.assertEqual(others, set())
            self.assertEqual(others & set(dedicated), set())

    # Guards against cached parts of an account that others go on using after it has
    # become dedicated.
    def test_parts_of_account_that_becomes_dedicated_are_used_by_no_other(self):
        async def test():
            for dedicated in (
                (),
                ("small",),
                (),
                ("small",),
                ("small", "other"),
                ("other",),
                ("third",),
                (),
            ):
                await self.declare(*dedicated)
                await self.check_walls(*dedicated)

        self.play(test)

    # Guards against a cache that is emptied by a configuration that changes something
    # else, or for a dedicated account by a change of another one.
    def test_other_changes_empty_no_cache(self):
        async def test():
            await self.declare()
            shared = await self.ask("other")
            await self.declare(limits={"maxBodyBytes": 100000})
            self.assertEqual(await self.ask("other"), shared)
            await self.declare("small")
            own, shared = await self.ask("small"), await self.ask("other")
            await self.declare("small", limits={"maxBodyBytes": 200000})
            self.assertEqual(await self.ask("other"), shared)
            await self.declare("small", "third")
            self.assertEqual(await self.ask("small"), own)
            self.assertNotEqual(await self.ask("other"), shared)

        self.play(test)

    # Guards against a stream that is continued under the cache key of the configuration
    # in force when it began.
    def test_stream_that_breaks_after_the_change_is_continued_under_the_new_key(self):
        async def test():
            await self.declare()
            engines, keys = self.platform.engines, []
            for engine in engines:
                engine.behaviour = Behaviour(pause=0.3, break_after=2)

            async def ask():
                keys.extend(await self.ask("small", b"/chat/"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await self.until(lambda: any(engine.runs for engine in engines))
                for engine in engines:
                    if not engine.runs:
                        engine.behaviour = Behaviour()
                await self.declare("small")
            self.assertEqual(len(keys), 2)
            self.assertEqual(self.find_makers(keys[1]), {"small"})
            for engine in engines:
                engine.behaviour = Behaviour()
            await self.check_walls("small")

        self.play(test)

    # Guards against a request that is sent under the cache key of an older
    # configuration, since its connection took long to open.
    def test_change_between_choice_and_sending_is_seen(self):
        async def test():
            await self.declare()
            forwarder = self.edge.callers.forwarder

            async def change():
                if not self.edge.state.routes.configuration.dedicated_accounts:
                    await self.declare("small")

            for engine in self.platform.engines:
                pool = forwarder._get_pool(engine.address)
                pool.take = call_first(change, pool.take)
            (cache_key,) = await self.ask("small")
            self.assertEqual(self.find_makers(cache_key), {"small"})
            (shared,) = await self.ask("other")
            self.assertNotEqual(shared, cache_key)

        self.play(test)


class ChangedServiceTest(EdgeCase):
    """Pattern: the service of prompts that wait leaves the configuration in force."""

    async def ask_around(self, path=b"/hint/", **changes):
        """Change the configuration while a prompt waits; return the run of the prompt.

        :param changes: values of the new configuration.
        """
        state = self.edge.state
        decide, waited = state.gate.decide, trio.Event()

        def wait(query, now):
            waited.set()
            return WAIT

        state.gate.decide = wait
        replies = []

        async def ask():
            replies.append(await self.call(path, *PROMPT, method=b"POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await waited.wait()
            version = state.routes.configuration.version + 1
            self.platform.publish(version, **changes)
            await self.until(lambda: state.routes.configuration.version == version)
            state.gate.decide = decide
        self.assertEqual([reply.status for reply in replies], [200])
        (run,) = [run for engine in self.platform.engines for run in engine.runs]
        return run

    def check_prompt(self, run):
        self.assertIn(b"small", run.fields[SALT])
        self.assertEqual(run.fields[b"wasabistage-expect-version"], b"1")
        self.assertNotIn(b"authorization", run.fields)

    # Guards against prompts that lose their cache key and their weight version, and so
    # share parts with other accounts, as their service is no longer declared
    # (review/13).
    def test_prompt_keeps_cache_key_and_version_without_its_service(self):
        tenants = [{"name": "small", "keys": ["k1"], "dedicated": True}]
        plain, both = {"name": "app"}, [{"name": "app"}, {"name": "llm"}]
        for name, changes in {
            "the service is dropped": {"services": [plain]},
            "the route, too": {"services": [plain], "routes": []},
            "the engine is dropped": {"services": both},
            "no accounts": {"services": [plain], "tenants": None},
        }.items():
            with self.subTest(name):

                async def test(changes=changes):
                    self.platform.publish(2, tenants=tenants)
                    routes = self.edge.state.routes
                    await self.until(lambda: routes.configuration.version == 2)
                    run = await self.ask_around(**{"tenants": tenants, **changes})
                    self.check_prompt(run)

                self.play(test)

    # Guards against the same as a service is declared as one of engines between the
    # choice of a server and the sending.
    def test_service_that_becomes_one_of_engines_is_seen_before_sending(self):
        async def test():
            both = [{"name": "app"}, {"name": "llm"}]
            self.platform.publish(2, services=both)
            routes, forwarder = self.edge.state.routes, self.edge.callers.forwarder
            await self.until(lambda: routes.configuration.version == 2)

            async def change():
                if routes.configuration.version == 2:
                    self.platform.publish(3)
                    await self.until(lambda: routes.configuration.version == 3)

            for engine in self.platform.engines:
                pool = forwarder._get_pool(engine.address)
                pool.take = call_first(change, pool.take)
            reply = await self.call(b"/hint/", *PROMPT, method=b"POST")
            self.assertEqual(reply.status, 200)
            runs = [run for engine in self.platform.engines for run in engine.runs]
            self.assertEqual(len(runs), 1)
            self.assertIn(SALT, runs[0].fields)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
