"""A restarted entry takes a key that was taken away, after a drill of the store."""

from pathlib import Path

import trio
from world import play

REVOKE_SECONDS = 5.0
WAIT_SECONDS = 5.5  # from the acknowledgement to the drill
AWAY_SECONDS = 0.3
REWRITE_SECONDS = 1.0  # after the store's return
ASK_SECONDS = 3.0
ASK_INTERVAL_SECONDS = 0.005


def build_tenants(*, keys):
    """Return two tenants; the second one has the given keys."""
    return [{"name": "small", "keys": ["k1"]}, {"name": "large", "keys": keys}]


async def main(nursery, build, trouble):
    """Play the case; return what broke the rule."""
    world = build(entries=4)
    store, restarted = world.store, world.entries[2]
    store.era = 1
    await world.start(nursery, tenants=build_tenants(keys=["k2"]))
    for entry in world.entries:
        status, _, request_id = await world.call(entry, b"/read/x", key="k2")
        world.note(f"request {request_id} with k2 at {entry.name}: {status}")
    await trio.sleep(1.0)

    acknowledged_at = trio.current_time()
    world.publish(2, tenants=build_tenants(keys=[]))
    await trio.sleep(WAIT_SECONDS)

    async def write_again():
        await trio.sleep(REWRITE_SECONDS)
        world.publish(2, tenants=build_tenants(keys=[]))

    if trouble:
        world.note(f"{restarted.name} is killed, and the store is away")
        store.is_down = True
        await restarted.kill()
        await trio.sleep(AWAY_SECONDS)
        age = trio.current_time() - acknowledged_at + 0.5
        store.go_back(age)
        store.is_down = False
        world.note(f"the store returns from a copy {age:.1f} s old, era {store.era}")
        restarted.start()
        nursery.start_soon(write_again)

    sent, statuses = {}, []
    with trio.move_on_after(ASK_SECONDS):
        while True:
            at = trio.current_time() - acknowledged_at
            status, _, request_id = await world.call(restarted, b"/read/x", key="k2")
            sent[request_id] = at
            if statuses[-1:] != [status]:
                statuses.append(status)
                world.note(
                    f"request {request_id} with k2, sent {at:.3f} s after its removal "
                    f"was acknowledged, at {restarted.name}: {status}"
                )
            await trio.sleep(ASK_INTERVAL_SECONDS)
    return [
        f"CONFIG: request {request_id}, sent {at:.3f} s after the removal of its key "
        f"was acknowledged, ran at {world.find_runs(request_id)}"
        for request_id, at in sent.items()
        if at > REVOKE_SECONDS and world.find_runs(request_id)
    ]


play(main, Path(__file__).resolve().parent)
