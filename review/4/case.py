"""The keys of all tenants are taken away, and with the last one its tenant."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.world import has_trouble, run_case  # noqa: E402

REVOKE_SECONDS = 5.0  # ``revokeMs``
MARGIN_SECONDS = 2.0  # beyond the bound, so that a slow machine isn't judged
GAP_SECONDS = 1.5  # ``gap_s`` of ``revoke`` in the troubles of the site
REQUESTS = 20


async def play(world):
    """Play the case; return whether the rule held."""
    record = world.record
    tenants = [{"name": "t1", "keys": ["k1"]}, {"name": "t2", "keys": ["k2"]}]
    world.publish(2, tenants)
    await asyncio.sleep(3.0)
    before = [await world.ask("buy", key) for key in ("k1", "k2")]
    if any(status != 200 for _, status in before):
        return None
    if has_trouble():
        world.publish(3, tenants[1:])
        await asyncio.sleep(GAP_SECONDS)
        world.publish(4, [])
    await asyncio.sleep(REVOKE_SECONDS + MARGIN_SECONDS)
    asked = {}
    for number in range(REQUESTS):
        kind, key = ("buy", "read")[number % 2], ("k1", "k2")[number // 2 % 2]
        request_id, asked_status = await world.ask(kind, key)
        asked[request_id] = asked_status
        await asyncio.sleep(0.05)
    runs = [
        request
        for server in world.servers
        for request in server.runs
        if request.get("Wasabistage-Request-Id") in asked
    ]
    with_key = [item for item in runs if item.get("Authorization")]
    record.say("requests sent with a key:", len(asked), "run:", len(runs))
    record.say("of these the server got the key itself:", len(with_key))
    statuses = sorted(asked.values())
    record.say("statuses:", {item: statuses.count(item) for item in set(statuses)})
    return not (has_trouble() and runs)


if __name__ == "__main__":
    run_case(HERE, play, entries=2, engines=1, plain=2)
