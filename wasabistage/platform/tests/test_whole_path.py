import itertools
import json
import os
import unittest

import trio

from standins.users_platform import Behaviour
from wasabistage.edge._orders import (
    APPEND_FAILURE_PAUSE_SECONDS,
    ORDER_LEAD_SECONDS,
)
from wasabistage.edge._process import EdgeProcess
from wasabistage.fleet import Topic
from wasabistage.http1 import ChannelError, HttpClient, open_channel
from wasabistage.platform import UsersPlatform
from wasabistage.platform._store import TOPICS
from wasabistage.platform.tests.edge_case import PORTS, PROMPT, EdgeCase, make_settings
from wasabistage.telemetry import MemoryLineLog

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 4))


class PlainTest(EdgeCase):
    def test_answer_is_the_servers_own(self):
        async def test():
            reply = await self.call(b"/read/%2fx?q=1")
            self.assertEqual(reply.status, 200)
            self.assertTrue(reply.body.endswith(b" id-1"))
            self.assertEqual(reply.fields[b"wasabistage-response-seal"], b"s")
            run = next(s.runs[0] for s in self.platform.plain if s.runs)
            self.assertEqual(run.target, b"/read/%2fx?q=1")
            self.assertEqual(run.fields[b"wasabistage-tenant"], b"small")
            self.assertNotIn(b"authorization", run.fields)

        self.play(test)

    def test_keys_and_routes(self):
        async def test():
            key = (b"Authorization", b"Bearer k2")
            self.assertEqual((await self.call(b"/read/x", key)).status, 401)
            no_key = await self.call(b"/read/x", replaced=(b"Authorization",))
            self.assertEqual(no_key.status, 401)
            self.assertEqual((await self.call(b"/none/x")).status, 404)
            self.assertEqual(sum(len(s.runs) for s in self.platform.plain), 0)
            self.platform.publish(2, tenants=[{"name": "small", "keys": ["k2"]}])
            await self.until(lambda: self.edge.state.routes.configuration.version == 2)
            self.assertEqual((await self.call(b"/read/x")).status, 401)
            self.assertEqual((await self.call(b"/read/x", key)).status, 200)

        self.play(test)

    def test_failed_read_is_repeated_elsewhere_and_a_purchase_is_not(self):
        async def test():
            for server in self.platform.plain[:2]:
                server.behaviour = Behaviour(status=500)
            statuses = {(await self.call(b"/read/x")).status for _ in range(9)}
            self.assertIn(200, statuses)
            before = sum(len(s.runs) for s in self.platform.plain)
            for server in self.platform.plain:
                server.behaviour = Behaviour(status=500)
            reply = await self.call(b"/buy/x", method=b"POST")
            self.assertEqual(reply.status, 500)
            after = sum(len(s.runs) for s in self.platform.plain)
            self.assertEqual(after - before, 1)

        self.play(test)

    def test_what_did_not_run_is_refused_with_a_time_to_come_back(self):
        async def test():
            for server in self.platform.plain:
                server.behaviour = Behaviour(is_full=True)
            reply = await self.call(b"/buy/x", method=b"POST")
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.fields[b"retry-after"]), 0.0)
            self.assertEqual(sum(len(s.runs) for s in self.platform.plain), 0)

        self.play(test)

    def test_late_extra_answer_reaches_nobody(self):
        async def test():
            for server in self.platform.plain:
                server.behaviour = Behaviour(late_extra=True)
            for number in range(12):
                request_id = (b"Wasabistage-Request-Id", b"id-%d" % number)
                reply = await self.call(b"/read/x", request_id)
                self.assertEqual(reply.status, 200)
                self.assertTrue(reply.body.endswith(b" id-%d" % number))
                await trio.sleep(0.02 * (number % 4))

        self.play(test)

    def test_leaving_server_gets_nothing_more(self):
        async def test():
            for server in self.platform.plain[:2]:
                entry = server.entry(state="draining")
                self.platform.store.put(server.server, entry, "keyed.servers")
            await self.until(
                lambda: len(self.edge.state.servers.find_usable("app")) == 1
            )
            for _ in range(6):
                self.assertEqual((await self.call(b"/read/x")).status, 200)
            self.assertEqual([len(s.runs) for s in self.platform.plain], [0, 0, 6])

        self.play(test)

    def test_address_of_a_new_server_is_left_without_a_run(self):
        async def test():
            for server in self.platform.plain[:2]:
                server.server = f"new-{server.server}"
            for _ in range(4):
                reply = await self.call(b"/buy/x", method=b"POST")
                self.assertEqual(reply.status, 200)
            self.assertEqual([len(s.runs) for s in self.platform.plain], [0, 0, 4])

        self.play(test)

    def test_route_time_ends_a_request(self):
        async def test():
            for server in self.platform.plain:
                server.behaviour = Behaviour(pause=9.0)
            left = (b"Wasabistage-Deadline-Ms", b"300")
            begun = trio.current_time()
            reply = await self.call(b"/buy/x", left, method=b"POST")
            self.assertEqual(reply.status, 504)
            self.assertLess(trio.current_time() - begun, 0.8)

        self.play(test)

    def test_malformed_request_gets_a_clear_status_and_harms_nobody(self):
        async def test():
            host, _, port = self.edge.settings.listen.callers.rpartition(":")
            for bytes_sent in (
                b"NONSENSE\r\n\r\n",
                b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            ):
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(bytes_sent)
                answer = await stream.receive_some(4096)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
                await stream.aclose()
            self.assertEqual((await self.call(b"/read/x")).status, 200)

        self.play(test)


class StreamTest(EdgeCase):
    def test_stream_is_passed_whole(self):
        async def test():
            reply = await self.call(b"/chat/x", *PROMPT, method=b"POST")
            self.assertEqual((reply.status, reply.body), (200, STREAM))
            run = next(s.runs[0] for s in self.platform.engines if s.runs)
            self.assertEqual(run.fields[b"wasabistage-expect-version"], b"1")
            self.assertEqual(run.fields[b"wasabistage-cache-salt"], b"m|1|")

        self.play(test)

    def test_broken_stream_goes_on_at_another_server_without_gap_or_double(self):
        async def test():
            self.platform.engines[0].behaviour = Behaviour(break_after=2)
            runs = self.platform.engines[1].runs
            for number in itertools.count():
                if any(b"last-event-id" in run.fields for run in runs):
                    return
                # New parts each time: kept ones lead to the engine that has them.
                parts = (
                    b"Wasabistage-Prompt-Prefix",
                    b"a%x:500,b%x:400" % (number, number),
                )
                headers = [*PROMPT[:-1], parts]
                reply = await self.call(b"/chat/x", *headers, method=b"POST")
                self.assertEqual((reply.status, reply.body), (200, STREAM))

        self.play(test)

    def test_broken_stream_that_must_not_repeat_looks_broken(self):
        async def test():
            for server in self.platform.engines:
                server.behaviour = Behaviour(break_after=2)
            with self.assertRaises(ChannelError):
                await self.call(b"/hint/x", *PROMPT, method=b"POST")
            self.assertEqual(sum(len(s.runs) for s in self.platform.engines), 1)

        self.play(test)

    def test_work_of_a_caller_that_left_is_cancelled(self):
        async def test():
            for server in self.platform.engines:
                server.behaviour = Behaviour(events=100, pause=0.2)
            host, _, port = self.edge.settings.listen.callers.rpartition(":")
            channel = await open_channel((host, int(port)), 1.0)
            headers = [(b"Host", b"h.example"), (b"Content-Length", b"0"), *PROMPT]
            headers.append((b"Wasabistage-Request-Id", b"gone"))
            headers.append((b"Authorization", b"Bearer k1"))
            await channel.send_request(b"POST", b"/chat/x", headers, b"")
            await channel.read_head()
            channel.close()
            runs = [run for s in self.platform.engines for run in s.runs]
            with trio.fail_after(0.5):
                await self.until(lambda: runs[0].is_cancelled)

        self.play(test)

    def test_record_of_an_order_is_written_right_before_the_order(self):
        async def test():
            self.platform.store.put("version/m", {"model": "m", "version": 2})
            topics = self.platform.store.topics
            with trio.fail_after(4.0):
                await self.until(lambda: topics.get(TOPICS[Topic.ORDERS]))
            with trio.fail_after(ORDER_LEAD_SECONDS / 2):
                await self.until(
                    lambda: any(s.version == 2 for s in self.platform.engines)
                )

        self.play(test)

    def test_entry_that_the_store_turns_away_leaves_the_orders_to_others(self):
        async def test():
            self.platform.store.refuses_appends = True
            self.platform.store.put("version/m", {"model": "m", "version": 2})
            await self.until(lambda: self.events("order_lease_failed"))
            failed_at = trio.current_time()
            await self.until(lambda: not self.edge.state.reports.ordering)
            while trio.current_time() < failed_at + 0.75 * APPEND_FAILURE_PAUSE_SECONDS:
                self.assertFalse(self.edge.state.reports.ordering)
                await trio.sleep(0.01)
            self.platform.store.refuses_appends = False
            await self.until(lambda: all(s.version == 2 for s in self.platform.engines))

        self.play(test)

    def test_engines_are_released_while_the_store_does_not_answer(self):
        async def test():
            self.platform.store.append_delay = 0.7
            self.platform.store.put("version/m", {"model": "m", "version": 2})
            await self.until(lambda: self.events("order_released"))
            self.assertFalse(self.edge.state.reports.ordering)
            self.assertFalse(self.events("order_sent"))
            # The answer comes within the lease: the order leaves all the same.
            await self.until(lambda: self.events("order_sent"))

        self.play(test)

    def test_records_that_a_waiting_read_did_not_bring_are_read_once_overtaken(self):
        async def test():
            store, orders = self.platform.store, TOPICS[Topic.ORDERS]
            # The first read of the topic doesn't wait, and would bring the record.
            await self.until(lambda: self.edge.state.lease.end_ is not None)
            store.silent_topic = orders
            record = {"holder": "z", "incarnation": "1", "servers": ["none"]}
            store.append(orders, json.dumps(record).encode())
            store.put("version/m", {"model": "m", "version": 2})
            with trio.fail_after(3.5):
                await self.until(lambda: self.events("order_sent"))
            self.assertTrue(self.events("order_lease_overtaken"))

        self.play(test)

    def test_named_version_is_ordered_and_then_used(self):
        async def test():
            named = {"model": "m", "version": 2}
            self.platform.store.put("version/m", named)
            with trio.fail_after(4.0):
                await self.until(
                    lambda: all(s.version == 2 for s in self.platform.engines)
                )
            await self.until(lambda: self.events("server_loaded"))
            await trio.sleep(0.3)
            reply = await self.call(b"/chat/x", *PROMPT, method=b"POST")
            self.assertEqual((reply.status, reply.body), (200, STREAM))
            run = next(s.runs[-1] for s in self.platform.engines if s.runs)
            self.assertEqual(run.fields[b"wasabistage-cache-salt"], b"m|2|")

        self.play(test)


class StoreTest(EdgeCase):
    bounds = {"key_removal_ms": 2000.0}

    def test_keyed_requests_end_with_the_trust_in_the_keys(self):
        async def test():
            self.assertEqual((await self.call(b"/read/x")).status, 200)
            self.platform.store.is_down = True
            with trio.fail_after(4.0):
                while (await self.call(b"/read/x")).status != 503:
                    await trio.sleep(0.05)
            freshness = self.edge.state.freshness
            self.assertLessEqual(freshness.age(self.timer.now()), 2.0)
            self.platform.store.is_down = False
            with trio.fail_after(4.0):
                while (await self.call(b"/read/x")).status != 200:
                    await trio.sleep(0.05)

        self.play(test)


class AbsentAccountsTest(EdgeCase):
    bounds = {"key_removal_ms": 1000.0}

    # Guards against an entry that lets everyone pass for ever under a configuration
    # without accounts, although a newer one may have them (issue 38, review/4).
    def test_configuration_without_accounts_is_trusted_as_long_as_keys(self):
        async def test():
            self.platform.publish(version=2, tenants=None)
            await self.until(lambda: self.edge.state.routes.configuration.version == 2)
            self.assertEqual((await self.ask()).status, 200)
            self.platform.store.is_down = True
            with trio.fail_after(4.0):
                while (await self.ask()).status != 503:
                    await trio.sleep(0.05)

        self.play(test)


class RestartTest(EdgeCase):
    async def start(self, nursery):
        """See :meth:`EdgeCase.start`; the store has the record of a process before."""
        await super().start(nursery)
        base = next(PORTS)
        settings = make_settings("edge-1", base, self.platform.store.address)
        self.second = EdgeProcess(settings, os.devnull, UsersPlatform)
        self.second.state.log = MemoryLineLog()
        nursery.start_soon(self.second.run)
        await self.until(lambda: self.second.state.view.registered_at is not None)

    # Guards against the whole retry allowance for a restarted process, since its
    # settings still say that the fleet starts for the first time (issue 38, BUDGET).
    def test_restarted_process_reads_the_record_of_the_one_before(self):
        async def test():
            self.assertFalse(self.edge.state.view.has_earlier_process)
            self.assertTrue(self.second.state.view.has_earlier_process)
            self.assertIsNone(self.second.state.entry_count)

        self.play(test)


class CacheTest(EdgeCase):
    def test_events_and_lists_say_which_parts_an_engine_keeps(self):
        async def test():
            engine = self.platform.engines[0]
            events = [
                [119, "+", "m|1|", "aa", 500, "m"],
                [120, "-", "m|1|", "b", 0, "m"],
            ]
            held = [["m|1|", "aa", 500, "m"], ["m|1|", "cc", 70, "m"]]
            engine.cache = {"next": 121, "lost": True, "events": events, "held": held}
            platform = self.edge.state.platform
            read = await platform.read_events(engine.address, 118, 0.2)
            rows = [(e.cache_key, e.part, e.tokens) for e in read.events]
            self.assertEqual(rows, [("m|1|", "aa", 500), ("m|1|", "b", 0)])
            facts = (read.epoch, read.position, read.has_gap, read.clock)
            self.assertEqual(facts, (1, 121, True, 5.0))
            listing = await platform.list_cache(engine.address)
            rows = [(e.cache_key, e.part, e.tokens) for e in listing.events]
            self.assertEqual(rows, [("m|1|", "aa", 500), ("m|1|", "cc", 70)])
            self.assertFalse(listing.has_gap)
            # The watch of the engine finds the gap and reads the list, too.
            parts = self.edge.state.parts
            await self.until(lambda: parts.tokens(engine.address, "m|1|", "cc") == 70)

        self.play(test)


class AccountsTest(EdgeCase):
    # Guards against keys that go on working, and are passed on to servers, once the
    # last tenant is gone (issue 30, A 4).
    def test_no_key_works_without_tenants(self):
        async def test():
            self.assertEqual((await self.call(b"/read/x")).status, 200)
            self.platform.publish(version=2, tenants=[])
            await self.until(lambda: self.edge.state.routes.configuration.version == 2)
            for server in self.platform.plain:
                server.runs.clear()
            for path in (b"/read/x", b"/buy/x"):
                self.assertEqual((await self.call(path, method=b"POST")).status, 401)
            self.assertFalse(any(server.runs for server in self.platform.plain))

        self.play(test)


class ManyModelsTest(EdgeCase):
    # Guards against a version that is taken for that of all models of a server (issue
    # 30, A 5).
    def test_version_in_a_response_is_that_of_the_requests_model(self):
        async def test():
            swap = self.edge.state.swap
            for engine in self.platform.engines:
                models = [{"name": "a", "version": 1}, {"name": "m", "version": 1}]
                entry = engine.entry(models=models)
                self.platform.store.put(engine.server, entry, "keyed.servers")
            names = [engine.server for engine in self.platform.engines]
            await self.until(lambda: all(swap.version(name, "a") for name in names))
            named = {"model": "m", "version": 2}
            self.platform.store.put("version/m", named)
            await self.until(lambda: all(swap.version(n, "m") == 2 for n in names))
            for number in range(6):
                headers = (*PROMPT, (b"Wasabistage-Request-Id", b"id-%d" % number))
                reply = await self.call(b"/chat/x", *headers, method=b"POST")
                self.assertEqual(reply.status, 200)
            self.assertEqual({swap.version(name, "a") for name in names}, {1})

        self.play(test)


class DrainTest(EdgeCase):
    bounds = {"stop_s": 3.0}

    def test_stream_under_way_outlives_the_last_accepted_channel(self):
        async def test():
            for server in self.platform.engines:
                server.behaviour = Behaviour(events=10, pause=0.25)
            replies = []

            async def call():
                replies.append(await self.call(b"/chat/x", *PROMPT, method=b"POST"))

            self.nursery.start_soon(call)
            await self.until(lambda: any(s.runs for s in self.platform.engines))
            await self.edge._drain()
            await self.until(lambda: replies)
            self.assertEqual(replies[0].body.count(b"\n\n"), 10)

        self.play(test)

    def test_idle_channel_that_is_closed_is_no_failure(self):
        async def test():
            host, _, port = self.edge.settings.listen.callers.rpartition(":")
            channel = await open_channel((host, int(port)), 1.0)
            await self.until(lambda: self.edge.callers.channels)
            await self.edge._drain()
            with self.assertRaises(ChannelError):
                await channel.read_head()
            self.assertEqual(self.events("task_failed"), [])

        self.play(test)

    def test_stream_that_would_be_cut_is_refused_and_a_short_call_served(self):
        async def test():
            self.nursery.start_soon(self.edge._drain)
            await trio.sleep(0.1)
            reply = await self.call(b"/chat/x", *PROMPT, method=b"POST")
            self.assertEqual(reply.status, 200)
            await trio.sleep(1.2)
            reply = await self.call(b"/chat/x", *PROMPT, method=b"POST")
            self.assertEqual(reply.status, 503)
            self.assertIn(b"retry-after", reply.fields)
            short = (b"Wasabistage-Deadline-Ms", b"500")
            self.assertEqual((await self.call(b"/read/x", short)).status, 200)

        self.play(test)

    # Guards against a call that is taken late in a planned stop, passed on, and cut
    # without an answer at its end (issue 29, report of another operator).
    def test_call_that_may_outlast_the_stop_reaches_no_server(self):
        async def test():
            for server in self.platform.plain:
                server.behaviour = Behaviour(pause=2.0)
            self.nursery.start_soon(self.edge._drain)
            await trio.sleep(1.5)
            for path, method in ((b"/buy/x", b"POST"), (b"/read/x", b"GET")):
                reply = await self.call(path, method=method)
                self.assertEqual(reply.status, 503)
                self.assertIn(b"retry-after", reply.fields)
            self.assertFalse(any(server.runs for server in self.platform.plain))

        self.play(test)

    # Guards against a request that is cut at the end of a planned stop although its
    # answer has not begun (issue 29, report of another operator).
    def test_request_that_outlasts_the_stop_gets_a_final_answer(self):
        async def test():
            self.edge.settings.bounds.stop_s = 1.5
            for server in self.platform.plain:
                server.behaviour = Behaviour(pause=10.0)
            replies = []

            async def call():
                replies.append(await self.call(b"/buy/x", method=b"POST"))

            self.nursery.start_soon(call)
            await self.until(lambda: any(s.runs for s in self.platform.plain))
            await self.edge._drain()
            # The process ends now.
            self.assertEqual([reply.status for reply in replies], [504])

        self.play(test)


class DirectoryTest(EdgeCase):
    def test_addresses_and_readiness(self):
        async def test():
            target = b"/v1/resolve?name=h.example&region=r&zone=a"
            reply = await self.directory.call(b"GET", target)
            answer = json.loads(reply.body)
            self.assertEqual(answer["addresses"], [self.edge.settings.listen.callers])
            self.assertLessEqual(answer["ttlS"], 5)
            ready = await self.directory.call(b"GET", b"/v1/ready")
            self.assertEqual(ready.status, 200)
            metrics = HttpClient(
                f"127.0.0.1:{self.edge.settings.listen.metrics_port}", self.timer
            )
            page = await metrics.call(b"GET", b"/metrics")
            self.assertIn(b"wasabistage_config_version 1", page.body)
            self.edge.state.is_draining = True
            ready = await self.directory.call(b"GET", b"/v1/ready")
            self.assertEqual(ready.status, 503)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
