"""Start a deployment on stand-ins, play a short morning, report, and judge it."""

import argparse
import statistics
import sys

from standins._engine_state import EngineParams
from standins.fleet import ROOT, Fleet, FleetOptions
from tools._morning import MorningPlayer
from wasabistage.declarations import ServiceKind

ENGINE = EngineParams(cache_pieces=16, piece_bytes=65_536)
TIMING = "address_lifetime = 2s"
PERCENTILE = 0.95


def percentile(values, share):
    """Return a percentile by nearest rank.

    :param values: numbers.
    :param share: 0 to 1.
    :return: a number; 0 for no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report(fleet, seen):
    """Print what the morning saw.

    :param fleet: the running :class:`standins.fleet.Fleet`.
    :param seen: a :class:`tools._morning.Morning`.
    """
    print("\nfirst token, milliseconds        median     p95   prompts")
    for phase, values in seen.first_tokens.items():
        median = statistics.median(values) * 1000
        high = percentile(values, PERCENTILE) * 1000
        print(f"  {phase:<28} {median:>9.0f} {high:>7.0f} {len(values):>9}")
    print("\nshare of prompt work recomputed")
    for phase, tokens in seen.prompt_tokens.items():
        share = 1 - seen.cached_tokens[phase] / max(1, tokens)
        print(f"  {phase:<28} {share:>9.1%}")
    print("\nlink use, bytes")
    for store in fleet.deployment.stores:
        load = fleet.get(store, "/load")
        print(f"  {store:<14} in {load['bytes_in']:>12} out {load['bytes_out']:>12}")
    print("\nservice by rank")
    for rank in ("urgent", "interactive", "background"):
        served = seen.served.get(rank, 0)
        if rank == "urgent":
            served = seen.purchases.get("run", 0)
        print(
            f"  {rank:<14} answered {served:>4} refused {seen.refused.get(rank, 0):>3}"
        )
    purchases = ("run", "refused", "unknown", "doubled")
    counts = ", ".join(f"{name} {seen.purchases.get(name, 0)}" for name in purchases)
    print(f"\npurchases: {counts}")
    print_accounts(fleet, seen)
    print(f"answers that went on over another entry: {seen.resumed}")
    print(f"new configuration in force everywhere after {seen.config_seconds:.2f} s")


def print_accounts(fleet, seen):
    """Print how small client accounts fared beside large ones.

    :param fleet: the running :class:`standins.fleet.Fleet`.
    :param seen: a :class:`tools._morning.Morning`.
    """
    groups = {"small": [], "large": []}
    for name, values in seen.by_account.items():
        large = fleet.deployment.accounts[name].weight > 1
        groups["large" if large else "small"].extend(values)
    for size, values in groups.items():
        median = statistics.median(values) * 1000 if values else 0.0
        print(f"{size} client accounts: {len(values)} answers, median {median:.0f} ms")


def check_engines(fleet, seen):
    """Ask the engines' witnesses for broken promises.

    :param fleet: the running :class:`standins.fleet.Fleet`.
    :param seen: a :class:`tools._morning.Morning`.
    """
    for server in fleet.deployment.servers.values():
        if server.kind is not ServiceKind.MODEL:
            continue
        witness = fleet.get(server.name, "/witness/state")
        for name in ("cross_account", "bad_imports"):
            if witness[name]:
                seen.broken.append(f"{server.name} saw {witness[name]} {name}")


def main(argv=None):
    """Run the demo.

    :param argv: command-line arguments; ``None`` for those of the process.
    :return: exit code, 0 when every promise held.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="padavu")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    folder = ROOT / "examples" / options.deployment
    fleet = Fleet(FleetOptions(folder=folder, engine=ENGINE, timing=TIMING))
    try:
        print(f"starting {options.deployment}: stand-ins and seven entries")
        fleet.start()
        fleet.publish()
        fleet.wait_served()
        seen = MorningPlayer(fleet, options.seed).run()
        check_engines(fleet, seen)
        report(fleet, seen)
    except KeyboardInterrupt:
        print("stopped")
        return 130
    finally:
        fleet.stop()
    for sentence in seen.broken:
        print(f"BROKEN: {sentence}")
    print("every promise held" if not seen.broken else "promises broke")
    return 1 if seen.broken else 0


if __name__ == "__main__":
    sys.exit(main())
