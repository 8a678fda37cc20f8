"""A tenant becomes dedicated; others go on using the KV cache that it made."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from world import Engine, World, run_case  # noqa: E402

NAMES = ("edge-kochi-a-1", "edge-kochi-b-1")
CONFIG_SECONDS = 2.0  # configMs
SETTLE_SECONDS = 3.0  # settleWindowMs
OPEN = [{"name": "pulo780", "keys": ["k1"]}, {"name": "leje43", "keys": ["k2"]}]
WALLED = [{**OPEN[0], "dedicated": True}, OPEN[1]]


class WatchedEngine(Engine):
    """An engine that notes which tenants' cache each request uses."""

    runs = []

    def note_run(self, request_id, tenant, salt, used):
        """See :meth:`Engine.note_run`."""
        self.runs.append((request_id, tenant, [item.split("/")[1] for item in used]))


async def play(has_trouble):
    """Play the case."""
    world = World(FOLDER, NAMES, engines=2, engine=WatchedEngine)
    try:
        await world.start(OPEN)
        await asyncio.sleep(4.0)
        # Prompts share their leading parts, such as the instructions of a service.
        for number in range(8):
            entry = world.entries[number % 2]
            await world.chat(entry, "k1", ("aa", "bb", f"c{number:x}"))
        await asyncio.sleep(2.0)
        if has_trouble:
            world.publish(2, WALLED)
        await asyncio.sleep(CONFIG_SECONDS + SETTLE_SECONDS + 1.0)
        dedicated = "pulo780" if has_trouble else ""
        WatchedEngine.runs.clear()
        for number in range(8):
            entry = world.entries[number % 2]
            await world.chat(entry, "k2", ("aa", "bb", f"d{number:x}"))
        return [
            f"WALL: request {request_id} of {tenant} used cache that {maker} made"
            for request_id, tenant, makers in WatchedEngine.runs
            for maker in sorted(set(makers))
            if maker != tenant and dedicated in (maker, tenant) and dedicated
        ]
    finally:
        await world.stop()


run_case(FOLDER, play)
