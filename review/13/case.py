"""Prompts that wait lose their salt when their service leaves the desired state."""

from pathlib import Path

import trio
from kv import Engine
from world import play

SLOTS = 4
RUN_EVENTS = 30
STEP_SECONDS = 0.05  # a run takes 1.5 s
PART_TOKENS = 2000
SHARED_PART = "5c1e07a2"
TENANTS = [
    {"name": "small", "keys": ["k1"], "dedicated": False},
    {"name": "large", "keys": ["k2"], "dedicated": True},
]
ENGINE = {
    "slots": SLOTS,
    "kvCapacity": 83_597,
    "kvTokenBytes": 327_680,
    "linkMbps": 350_000.0,
    "maxInflight": 4,
}


def build_state(*, route_to, services):
    """Return what the desired state holds.

    :param route_to: service of the route of prompts.
    :param services: names of the services of model servers.
    """
    common = {"host": "h.example", "timeoutMs": 10_000, "goalMs": 1200, "priority": 1}
    return {
        "tenants": TENANTS,
        "routes": [
            {
                **common,
                "name": "read",
                "pathPrefix": "/read/",
                "kind": "idempotent",
                "service": "app",
                "attempts": 2,
            },
            {
                **common,
                "name": "chat",
                "pathPrefix": "/chat/",
                "kind": "streaming",
                "sticky": True,
                "resumable": True,
                "service": route_to,
                "attempts": 2,
            },
        ],
        "services": [
            {"name": "app", "maxConns": 200},
            *({"name": name, "maxConns": 200, "engine": ENGINE} for name in services),
        ],
    }


async def main(nursery, build, trouble):
    """Play the case; return what broke the rule."""
    world = build(entries=2, plain=1)
    for number, service in enumerate(("llm", "llm-new")):
        address = f"{world.network}.2.{10 + number}:8327"
        zone = f"zone-{'ab'[number]}"
        options = {"slots": SLOTS, "service": service}
        engine = Engine(address, f"i-e{number}", zone, None, nursery, **options)
        engine.events, engine.step = RUN_EVENTS, STEP_SECONDS
        engine.dedicated = frozenset({"large"})
        world.engines.append(engine)
    state = build_state(route_to="llm", services=["llm", "llm-new"])
    await world.start(nursery, **state)

    async def prompt(entry, part, key):
        own = f"{0x91000000 + world.request_count:08x}"
        headers = (
            (b"Wasabistage-Model", b"m"),
            (b"Wasabistage-Token-Count", b"%d,80" % (PART_TOKENS + 200)),
            (b"Wasabistage-Prompt-Prefix", f"{part}:{PART_TOKENS},{own}:200".encode()),
        )
        options = {"headers": headers, "deadline_ms": 10_000, "timeout": 10.5}
        status, _, request_id = await world.call(
            entry, b"/chat/x", key=key, method=b"POST", body=b"x", **options
        )
        runs = world.find_runs(request_id)
        world.note(
            f"request {request_id}, key {key}, part {part}, at {entry.name}: {status}, "
            f"ran at {runs}"
        )

    async with trio.open_nursery() as requests:
        for number in range(6):
            part = f"{0x7C1E0000 + number:08x}"
            requests.start_soon(prompt, world.entries[number % 2], part, "k1")
        await trio.sleep(0.6)
        for _ in range(3):
            for key in ("k2", "k1"):
                requests.start_soon(prompt, world.entries[0], SHARED_PART, key)
        await trio.sleep(0.5)
        if trouble:
            world.note("the route moves to llm-new, and llm is dropped")
            changed = build_state(route_to="llm-new", services=["llm-new"])
            world.publish(2, **changed)
    for engine in world.engines:
        for run in engine.runs:
            fields = run.fields
            salt = fields.get(b"wasabistage-cache-salt")
            version = fields.get(b"wasabistage-expect-version")
            world.note(
                f"{engine.server} ran {run.request_id} of tenant "
                f"{fields.get(b'wasabistage-tenant', b'').decode()}: salt {salt}, "
                f"expected version {version}"
            )
    return [line for engine in world.engines for line in engine.breaks]


play(main, Path(__file__).resolve().parent)
