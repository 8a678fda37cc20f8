"""A part is fetched from a store while it is being saved there again."""

from pathlib import Path

import trio
from kv import Engine, Store
from world import play

LINK_MBPS = 350_000.0
BYTES_PER_MEGABIT = 125_000.0
TOKEN_BYTES = 327_680
HOT_TOKENS = 20_000
SUBJECTS = 12  # whose parts are in the store
LOST_EVENTS = 2  # of all that tell of freed parts
OTHER_SUBJECTS = 16  # enough to make the engines evict what they kept before
FREE_LIMIT_SECONDS = 30.0
BEGIN_SECONDS = 0.32  # in which an engine reads the prompt, before it saves its parts
REQUESTS = 4  # at each of the two other entries, at the same time


def build_services(store):
    """Return the services of the desired state."""
    engine = {
        "slots": 64,
        "kvCapacity": 83_597,
        "kvTokenBytes": TOKEN_BYTES,
        "linkMbps": LINK_MBPS,
        "maxInflight": 4,
    }
    kept = {
        "kvStoreAddr": store.address,
        "zone": store.zone,
        "kvCapacity": 1_159_386,
        "linkMbps": LINK_MBPS,
        "maxInflight": 4,
        "isManaged": True,
        "first_ms": 0.0,
    }
    return [
        {"name": "app", "maxConns": 200},
        {"name": "llm", "maxConns": 200, "engine": engine},
        {"name": "prompt-cache", **kept},
    ]


def build_tenants(*, dedicated):
    """Return two tenants.

    :param dedicated: whether the large one shares no part with the other.
    """
    return [
        {"name": "small", "keys": ["k1"], "dedicated": False},
        {"name": "large", "keys": ["k2"], "dedicated": dedicated},
    ]


async def main(nursery, build, trouble):
    """Play the case; return what broke the rule."""
    world = build(entries=3, plain=1)
    rate = LINK_MBPS * BYTES_PER_MEGABIT
    address = f"{world.network}.3.10:8327"
    store = Store(address, "zone-d", rate, TOKEN_BYTES, world.note)
    await nursery.start(store.run)
    world.engines = [
        Engine(
            f"{world.network}.2.{10 + number}:8327",
            f"i-e{number}",
            f"zone-{'abc'[number]}",
            store,
            nursery,
        )
        for number in range(3)
    ]
    services = build_services(store)
    shared = {"services": services}
    await world.start(nursery, tenants=build_tenants(dedicated=True), **shared)

    async def prompt(entry, part):
        own = f"{0x91000000 + world.request_count:08x}"
        prefix = f"00000001:500,{part}:{HOT_TOKENS},{own}:200"
        headers = (
            (b"Wasabistage-Model", b"m"),
            (b"Wasabistage-Token-Count", b"%d,20" % (HOT_TOKENS + 700)),
            (b"Wasabistage-Prompt-Prefix", prefix.encode()),
        )
        options = {"headers": headers, "deadline_ms": 8000, "timeout": 9.0}
        status, _, request_id = await world.call(
            entry, b"/chat/x", method=b"POST", body=b"x", **options
        )
        world.note(f"request {request_id}, part {part}, at {entry.name}: {status}")

    subjects = [f"{0x5C1E0000 + number:08x}" for number in range(SUBJECTS)]
    for part in subjects:
        await prompt(world.entries[0], part)
    await trio.sleep(2.0)
    salts = {salt for salt, part in store.whole if part in subjects}
    if len(store.whole) <= SUBJECTS:
        raise RuntimeError(f"only these parts were saved: {store.whole}")
    if trouble:
        store.silent_frees.update(subjects[:LOST_EVENTS])

    world.note("the large tenant is no longer dedicated")
    world.publish(2, tenants=build_tenants(dedicated=False), **shared)
    with trio.fail_after(FREE_LIMIT_SECONDS):
        while any(salt in salts for salt, _ in store.whole):
            await trio.sleep(0.1)
    for number in range(OTHER_SUBJECTS):
        await prompt(world.entries[number % 3], f"{0x7C1E0000 + number:08x}")
    await trio.sleep(2.0)

    world.note("the large tenant is dedicated again")
    world.publish(3, tenants=build_tenants(dedicated=True), **shared)
    await trio.sleep(2.5)
    for hot in subjects[:LOST_EVENTS]:
        async with trio.open_nursery() as requests:
            requests.start_soon(prompt, world.entries[0], hot)
            await trio.sleep(BEGIN_SECONDS)
            for _ in range(REQUESTS):
                for entry in world.entries[1:]:
                    requests.start_soon(prompt, entry, hot)
    return store.breaks


play(main, Path(__file__).resolve().parent)
