"""Membership measured: cost per heartbeat, detection, false suspicion, spread.

Run: ``python -m benchmarks.membership``. Times come from the machine; everything else
is seeded and the same each run.
"""

import collections
import random
import statistics
import time
import tracemalloc

from wasabistage.membership import (
    AddressPolicy,
    AddressQuery,
    CellPlan,
    FullMesh,
    Heartbeat,
    HeartbeatOnlyMembership,
    HeartbeatQuery,
    InstancesListed,
    ListedInstance,
    ListOrderAddresses,
    Member,
    MembershipPolicy,
    MemberState,
    MemberViewQuery,
    RandomAddresses,
    encode_message,
)

SEED = 20261204
REPEATS = 5
MEMBER_COUNTS = (6, 12, 24, 39)
STEP = 0.05  # seconds
LIST_LAG = 10.0  # seconds


def make_beat(number, sequence, silent=()):
    """Build a heartbeat of a usual size.

    :param number: number of the instance.
    :param sequence: number of the heartbeat.
    :param silent: instances that it has not heard.
    :return: a :class:`Heartbeat`.
    """
    return Heartbeat(
        instance=f"entry-{number:04}",
        incarnation=f"{number:028}",
        sequence=sequence,
        failure_domain=f"domain-{number % 4}",
        caller_address=f"10.0.{number % 4}.{number}:8080",
        peer_address=f"10.0.{number % 4}.{number}:8081",
        load=0.5,
        silent=silent,
    )


def measure_heartbeat(members):
    """Time one observed heartbeat, one tick and one view, and weigh a member.

    :param members: members known.
    :return: microseconds per heartbeat, per tick, per view, and bytes per member.
    """
    tracemalloc.start()
    policy = MembershipPolicy("own", "1").reset()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(members):
        policy.observe(make_beat(number, 0), 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    rounds = max(1, 4000 // members)
    beats = [make_beat(n, s) for s in range(1, rounds + 1) for n in range(members)]
    start = time.perf_counter()
    for beat in beats:
        policy.observe(beat, 0.1)
    heartbeat = (time.perf_counter() - start) / len(beats)
    start = time.perf_counter()
    for _ in range(rounds):
        policy.tick(0.1)
    tick = (time.perf_counter() - start) / rounds
    start = time.perf_counter()
    for _ in range(rounds):
        policy.decide(MemberViewQuery(), 0.1)
    view = (time.perf_counter() - start) / rounds
    return heartbeat * 1e6, tick * 1e6, view * 1e6, (after - before) / members


def simulate(kind, seed, *, interval=0.5, late=0.0, dead=True, until=60.0, nodes=7):
    """Exchange heartbeats between nodes, one of which stops at 20 s.

    :param kind: membership policy.
    :param seed: seed of the delays.
    :param interval: time between heartbeats, in seconds.
    :param late: chance that a heartbeat is late by 0.5 to 3 s.
    :param dead: whether node 0 stops.
    :param until: simulated time, in seconds.
    :param nodes: entry instances.
    :return: seconds until each other node left node 0 out, and the share of (node,
        member, time) that were wrongly left out.
    """
    draws = random.Random(seed)
    policies = [
        kind(
            f"entry-{n:04}",
            f"{n:028}",
            interval=interval,
            suspect_after=3.5 * interval,
            gone_after=max(15.0, 8 * interval),
        ).reset()
        for n in range(nodes)
    ]
    stopped_at = 20.0 if dead else until
    flying, found, wrong, seen = [], {}, 0, 0
    for step in range(int(until / STEP)):
        now = step * STEP
        if step % 20 == 0:
            listed = list_nodes(nodes, now - LIST_LAG < stopped_at)
            for policy in policies:
                policy.observe(listed, now)
        for beat in [f for f in flying if f[0] <= now]:
            flying.remove(beat)
            policies[beat[1]].observe(beat[2], now)
        for number, policy in enumerate(policies):
            if number == 0 and now >= stopped_at:
                continue
            if any(hasattr(action, "addresses") for action in policy.tick(now)):
                beat = policy.decide(HeartbeatQuery(), now)
                for other in range(nodes):
                    delay = 0.002
                    if draws.random() < late:
                        delay = draws.uniform(0.5, 3.0)
                    if other != number:
                        flying.append((now + delay, other, beat))
            if now < 5.0 or step % 4:
                continue
            for member in policy.decide(MemberViewQuery(), now).members:
                seen += 1
                if member.state is MemberState.SERVING:
                    continue
                if member.instance != "entry-0000" or now < stopped_at:
                    wrong += member.state is MemberState.GONE
                else:
                    found.setdefault(number, now - stopped_at)
    return sorted(found.values()), wrong / max(1, seen)


def list_nodes(nodes, with_first):
    """Build the lagging list.

    :param nodes: entry instances.
    :param with_first: whether the list still shows node 0.
    :return: an :class:`InstancesListed`.
    """
    return InstancesListed(
        instances=tuple(
            ListedInstance(
                instance=f"entry-{n:04}",
                caller_address=f"10.0.{n % 4}.{n}:8080",
                peer_address=f"10.0.{n % 4}.{n}:8081",
            )
            for n in range(0 if with_first else 1, nodes)
        )
    )


def measure_spread(kind, callers=2000):
    """Let callers of four failure domains ask at once.

    :param kind: address policy.
    :param callers: callers asking.
    :return: the busiest instance's callers over the mean, and the share of callers
        sent to their own failure domain.
    """
    draws = random.Random(SEED)
    members = tuple(
        Member(
            instance=f"entry-{n}",
            failure_domain=f"domain-{n % 4}",
            caller_address=f"10.0.0.{n}:1",
            load=0.3,
        )
        for n in range(7)
    )
    policy = kind().reset()
    firsts, near = collections.Counter(), 0
    for caller in range(callers):
        domain = f"domain-{caller % 4}"
        query = AddressQuery(
            candidates=members, caller_domain=domain, draw=draws.random()
        )
        first = policy.decide(query, 0.0).addresses[0]
        firsts[first.instance] += 1
        near += first.failure_domain == domain
    return max(firsts.values()) / (callers / 7), near / callers


def main():
    """Print every table."""
    print(f"seed {SEED}, medians of {REPEATS}")
    print("members  us/heartbeat  us/tick  us/view  bytes/member")
    for members in MEMBER_COUNTS:
        runs = [measure_heartbeat(members) for _ in range(REPEATS)]
        row = [statistics.median(column) for column in zip(*runs, strict=True)]
        print(f"{members:7} {row[0]:13.2f} {row[1]:8.1f} {row[2]:8.1f} {row[3]:13.0f}")
    print(f"encoded heartbeat: {len(encode_message(make_beat(1, 1000)))} bytes")

    print("\ninterval s  detected after s: median, longest (dead instance, 7 nodes)")
    for interval in (0.25, 0.5, 1.0, 2.0):
        times = [
            found
            for repeat in range(REPEATS)
            for found in simulate(
                MembershipPolicy, SEED + repeat, interval=interval, until=45.0
            )[0]
        ]
        print(f"{interval:10} {statistics.median(times):12.2f} {max(times):8.2f}")

    print("\nlate heartbeats  wrongly gone, share of views: joined | heartbeat only")
    for late in (0.0, 0.05, 0.2, 0.5):
        shares = [
            simulate(kind, SEED, late=late, dead=False)[1]
            for kind in (MembershipPolicy, HeartbeatOnlyMembership)
        ]
        print(f"{late:15} {shares[0]:12.5f} {shares[1]:12.5f}")

    print("\naddresses  busiest/mean  own failure domain")
    for kind in (AddressPolicy, RandomAddresses, ListOrderAddresses):
        busiest, near = measure_spread(kind)
        print(f"{kind.__name__:20} {busiest:6.2f} {near:8.2f}")

    print("\nplan  messages/s  bytes/s of one instance, sent and received")
    for plan in (FullMesh(), FullMesh(40, 200), FullMesh(400, 1100), CellPlan()):
        total = plan.total()
        name = f"{type(plan).__name__} {plan.entries}/{plan.servers}"
        print(f"{name:22} {total.messages:9.1f} {total.bytes_per_second:10.0f}")


if __name__ == "__main__":
    main()
