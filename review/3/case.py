"""Two of ten model servers are cut off from the store for a while."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.world import has_trouble, run_case  # noqa: E402

CUT_SECONDS = 5.0  # ``for_s`` of ``fleetbench kinds`` is 5 s
RETURN_SECONDS = 4.0  # servers that reach the store list themselves every 1.2 s
VERSION_SECONDS = 1.5 * 6.0  # 1.5 x versionMs; versionAllMs is 8,400
MARGIN_SECONDS = 6.0  # beyond the bound, so that a slow machine isn't judged
ENGINES = 10  # ``srv_cut`` takes a share of 0.2 of them at most


async def play(world):
    """Play the case; return whether the rule held."""
    record, engines = world.record, world.engines
    world.spawn(world.send_traffic())
    await asyncio.sleep(4.0)
    cut = engines[:2] if has_trouble() else []
    for engine in cut:
        record.say(engine.server, "is cut off from the store")
        engine.reaches_store = False
    await asyncio.sleep(CUT_SECONDS)
    for engine in cut:
        record.say(engine.server, "reaches the store again")
        engine.reaches_store = True
    await asyncio.sleep(RETURN_SECONDS)
    listed = [world.store.is_listed(item.server) for item in world.servers]
    record.say("servers listed:", sum(listed), "of", len(listed))
    if not all(listed):
        return None
    runs = {engine.server: len(engine.runs) for engine in engines}
    world.name_version(2)
    await asyncio.sleep(VERSION_SECONDS + MARGIN_SECONDS)
    runs = {item.server: len(item.runs) - runs[item.server] for item in engines}
    record.say("requests run since the naming:", runs)
    old = world.find_old(2)
    record.say("engines with older weights:", len(old), "of", len(engines), *old)
    return not (len(old) > 1 and len(old) > len(engines) / 10)


if __name__ == "__main__":
    run_case(HERE, play, engines=ENGINES)
