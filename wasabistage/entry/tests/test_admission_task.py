import unittest
from types import SimpleNamespace

from wasabistage.admission import GrantSlot, RequestArrived
from wasabistage.base import Rank
from wasabistage.declarations import Deployment
from wasabistage.entry._admission import AdmissionTask, SlotsOfService
from wasabistage.entry._context import ConfigInForce
from wasabistage.entry._gossip import ReportLoad
from wasabistage.entry._task import Reply
from wasabistage.observe import MemoryMetrics
from wasabistage.utils import WatchedValue


class RecordingGossip:
    """Keeps what the task tells it."""

    def __init__(self):
        self.view = WatchedValue(SimpleNamespace(members=()))
        self.told = []

    def tell(self, message):
        self.told.append(message)

    @property
    def loads(self):
        return [item.load for item in self.told if isinstance(item, ReportLoad)]


def make_task():
    config = ConfigInForce(version=1, deployment=Deployment(name="d"))
    context = SimpleNamespace(
        metrics=MemoryMetrics(),
        config=WatchedValue(config),
        settings=SimpleNamespace(name="entry-1"),
        incarnation="0" * 28,
    )
    task = AdmissionTask(context)
    task.gossip = RecordingGossip()
    return task


class TestAdmissionTask(unittest.TestCase):
    def test_load_is_full_until_slots_are_known_and_then_follows_the_work(self):
        task = make_task()
        task._tick(0.0)
        self.assertEqual(task.gossip.loads, [])
        task._set_slots(SlotsOfService(service="s", slots=4), 0.0)
        task._tick(0.1)
        self.assertEqual(task.gossip.loads, [0.0])
        reply = Reply()
        task.waiting["r"] = reply
        arrive = RequestArrived(
            request_id="r",
            account="a",
            rank=Rank.INTERACTIVE,
            service="s",
            cost=1.0,
            deadline_at=10.0,
        )
        task._carry_out(task.policy.observe(arrive, 0.1))
        self.assertIsInstance(reply.value, GrantSlot)
        task._tick(0.2)
        self.assertEqual(task.gossip.loads, [0.0, 0.25])
