import signal
import time
import unittest

from standins.fleet import Fleet, FleetOptions
from wasabistage.entry.tests.rollout_load import (
    Callers,
    Rollouts,
    version_of,
    wait_until,
)

ENTRIES = 3
LEASE_SECONDS = 2.0
#: Longer than the lease, the longest order and the staggered turns after it.
PAUSE_SECONDS = 2 * LEASE_SECONDS
DRAIN_SECONDS = 4
CALLERS = (1, 2, 3, 1, 2, 3)


class TestRolloutProcesses(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        timing = f"lease = {LEASE_SECONDS}s"
        cls.fleet = Fleet(
            FleetOptions(entries=ENTRIES, timing=timing, drain_timeout=DRAIN_SECONDS)
        )
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.fleet.publish()
        cls.fleet.wait_served()
        cls.rollouts = Rollouts(cls.fleet)
        wait_until(cls.adapters_loaded)

    def setUp(self):
        # An entry that was started anew refuses until it knows the servers.
        wait_until(self.rollouts.serving)
        self.start = self.rollouts.next_offset()

    def taken_over(self):
        return self.rollouts.fold(self.start)[1]

    @classmethod
    def adapters_loaded(cls):
        return all(
            cls.fleet.get(name, "/load")["adapters"] == ["english", "malayalam"]
            for name in cls.rollouts.engines
        )

    def settle(self, version):
        """Wait until a version is everywhere and every slot is free again."""
        wait_until(lambda: self.rollouts.all_loaded(version))
        wait_until(self.slots_free)

    def slots_free(self):
        return not self.rollouts.fold()[0].get_granted_slots()

    def check_witnesses(self):
        """Check the bound on loads and each engine's fencing numbers."""
        self.assertLessEqual(self.fleet.get("weights", "/witness/peak")["peak"], 2)
        for name, orders in self.rollouts.orders().items():
            numbers = [order["fencing"] for order in orders]
            self.assertEqual(numbers, sorted(numbers), name)

    def check_answers(self, callers, failures=0):
        """Check that each answer is of one version, and none goes back."""
        self.assertEqual(callers.failed(), [])
        newest = {}
        for asked in sorted(callers.answered(), key=lambda item: item.begun):
            index = version_of(asked, self.rollouts.versions)
            self.assertGreaterEqual(index, 0, asked)
            for ended, before in newest.setdefault(asked.entry, []):
                if ended < asked.begun:
                    self.assertGreaterEqual(index, before, asked)
            newest[asked.entry].append((asked.ended, index))
            del newest[asked.entry][: -len(CALLERS)]

    def begin(self):
        """Publish a version; return it and the holder of its first grant."""
        version = self.rollouts.publish()
        (_, grant), *_ = wait_until(lambda: self.rollouts.grants(self.start))
        return version, grant.holder

    def begin_held(self):
        """Begin while the weight store is down, so that the grants stay held."""
        self.fleet.fault("weights", down=True)
        self.addCleanup(self.fleet.fault, "weights", down=False)
        return self.begin()

    def test_new_version_under_load(self):
        with Callers(self.fleet, CALLERS) as callers:
            wait_until(lambda: len(callers.asked) > 20)
            version = self.rollouts.publish()
            self.settle(version)
            done = len(callers.asked)
            wait_until(lambda: len(callers.asked) > done + 20)
        self.check_answers(callers)
        self.check_witnesses()
        newest = version_of(callers.asked[-1], self.rollouts.versions)
        self.assertEqual(newest, len(self.rollouts.versions) - 1)

    def test_last_of_two_versions_stays(self):
        with Callers(self.fleet, CALLERS) as callers:
            self.rollouts.publish()
            version = self.rollouts.publish()
            self.settle(version)
        self.check_answers(callers)
        self.check_witnesses()

    def test_holder_paused_past_its_lease(self):
        version, holder = self.begin_held()
        self.fleet.pause(holder)
        self.addCleanup(self.fleet.resume, holder)
        self.fleet.fault("weights", down=False)
        time.sleep(PAUSE_SECONDS)
        wait_until(lambda: self.rollouts.all_loaded(version))
        self.fleet.resume(holder)
        self.assertTrue(self.taken_over())
        self.settle(version)
        self.check_witnesses()

    def test_holder_killed(self):
        version, holder = self.begin_held()
        self.fleet.kill(holder)
        self.fleet.fault("weights", down=False)
        self.fleet.restart(holder)
        self.settle(version)
        self.assertTrue(self.taken_over())
        self.check_witnesses()

    def test_holder_drained_gives_its_grants_back(self):
        version, holder = self.begin_held()
        self.fleet.signal(holder, signal.SIGTERM)
        self.fleet.fault("weights", down=False)
        self.settle(version)
        self.assertEqual(self.fleet.processes[holder].process.wait(30.0), 0)
        self.fleet.restart(holder)
        # Rows of server and holder, so that a failure tells whose grant it was.
        self.assertEqual(self.taken_over(), [])
        self.check_witnesses()

    def test_dead_engines_stop_no_rollout(self):
        dead, living = self.rollouts.engines[:2], self.rollouts.engines[2:]
        for name in dead:
            self.fleet.kill(name)
        version = self.rollouts.publish()
        wait_until(lambda: self.rollouts.loaded(version, living) == living)
        for name in dead:
            self.fleet.restart(name)
        self.settle(version)
        self.check_witnesses()

    def test_log_down_meanwhile(self):
        with Callers(self.fleet, CALLERS) as callers:
            version, _ = self.begin()
            wait_until(lambda: self.rollouts.loaded(version))
            self.fleet.fault("log", down=True)
            self.addCleanup(self.fleet.fault, "log", down=False)
            done = len(callers.answered())
            wait_until(lambda: len(callers.answered()) > done + 100)
            time.sleep(LEASE_SECONDS / 2)
            loaded = self.rollouts.loaded(version)
            self.assertLess(len(loaded), len(self.rollouts.engines))
            self.fleet.fault("log", down=False)
            self.settle(version)
        self.check_answers(callers)
        self.check_witnesses()
