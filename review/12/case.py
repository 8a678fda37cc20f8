"""Restarted entries save to a store that has restarted before others know of it."""

from pathlib import Path

import trio
from kv import Engine, Store
from world import play

LINK_MBPS = 350_000.0
BYTES_PER_MEGABIT = 125_000.0
TOKEN_BYTES = 327_680
PART_TOKENS = 8610  # the mean of the sheet
ENTRIES = 7  # the machines of the site
KILLED = 4  # a share of 0.55, as the bench rounds it
SUBJECTS = 12  # prompts with other subjects in each round
ROUNDS = 5
DOWN_SECONDS = 2.0
KILL_SECONDS = 0.9  # after the store has gone
RESTART_SECONDS = 0.3
FIRST_SECONDS = 1.75  # after the store has gone, until the first prompt
SPACING_SECONDS = 0.08


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


async def main(nursery, build, trouble):
    """Play the case; return what broke the rule."""
    world = build(entries=ENTRIES, plain=1)
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
    await world.start(nursery, services=build_services(store))

    async def prompt(entry, part):
        own = f"{0x91000000 + world.request_count:08x}"
        prefix = f"{part}:{PART_TOKENS},{own}:200"
        headers = (
            (b"Wasabistage-Model", b"m"),
            (b"Wasabistage-Token-Count", b"%d,20" % (PART_TOKENS + 200)),
            (b"Wasabistage-Prompt-Prefix", prefix.encode()),
        )
        options = {"headers": headers, "deadline_ms": 8000, "timeout": 9.0}
        status, _, request_id = await world.call(
            entry, b"/chat/x", method=b"POST", body=b"x", **options
        )
        world.note(f"request {request_id}, part {part}, at {entry.name}: {status}")

    async def restart(entries):
        await trio.sleep(KILL_SECONDS)
        world.note(f"{' and '.join(item.name for item in entries)} are killed")
        for entry in entries:
            await entry.kill()
        await trio.sleep(RESTART_SECONDS)
        for entry in entries:
            entry.start()

    for number in range(ROUNDS):
        # Each round strikes others: one of the entries follows the store for all.
        struck = {(2 * number + n) % ENTRIES for n in range(KILLED)}
        restarted = [world.entries[n] for n in sorted(struck)]
        survivors = [entry for entry in world.entries if entry not in restarted]
        subjects = [f"{0x5C100000 + 256 * number + n:08x}" for n in range(SUBJECTS)]
        for part in subjects:
            await prompt(survivors[0], part)
        for other in range(24):  # the engines evict what they kept
            await prompt(survivors[0], f"{0x7C100000 + 256 * number + other:08x}")
        await trio.sleep(2.0)
        async with trio.open_nursery() as tasks:
            if trouble:
                tasks.start_soon(store.crash, DOWN_SECONDS)
                tasks.start_soon(restart, restarted)
            await trio.sleep(FIRST_SECONDS)
            for index, part in enumerate(subjects):
                tasks.start_soon(prompt, restarted[index % KILLED], part)
                await trio.sleep(SPACING_SECONDS)
                if index:
                    for entry in survivors:
                        tasks.start_soon(prompt, entry, subjects[index - 1])
        if store.breaks:
            break
        await trio.sleep(6.0)
    return store.breaks


play(main, Path(__file__).resolve().parent)
