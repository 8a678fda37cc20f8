"""What one entry hop adds: first-token time, processor time, memory.

Run: ``python -m benchmarks.entry_hop``. Real processes on loopback: one entry, six
stand-in engines. Requests through the entry and straight to an engine alternate, so
that both see the same machine; a ratio within one run is the figure to compare.
"""

import time
from dataclasses import dataclass, replace
from statistics import median

import httpx
import trio

from benchmarks._processes import fleet_pid, percentile, read_use
from benchmarks._report import Aim, Figures, parse_options, publish_figures
from benchmarks._suite import Benchmark
from standins._engine_state import EngineParams
from standins.fleet import Fleet, FleetOptions
from wasabistage.declarations import ServiceKind

ACCOUNT = "solvers"
SERVICE = "hints"
#: High enough that no limit of the account takes part.
RATE = 1_000_000_000
PROMPT = "A dish taken back, with horseradish (6)"
FIRST_TOKENS = 4
WARM_REQUESTS = 20
PAIRS = 300
SHORT_PAIRS = 30
IDLE_SECONDS = 8.0
SHORT_IDLE_SECONDS = 2.0
#: Answers of two lengths tell the cost of a token from that of a request.
LENGTHS = (8, 200)
CLIENTS = 16
LOAD_SECONDS = 8.0
SHORT_LOAD_SECONDS = 2.0
MICROSECONDS = 1e6
MB = 1e6
SERVING_MB = 150.0
READ_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, kw_only=True)
class Target:
    """Where a request is sent.

    :param url: whole URL.
    :param body: JSON body.
    :param headers: headers.
    """

    url: str
    body: dict
    headers: dict


@dataclass(frozen=True, kw_only=True)
class Load:
    """What the entry did under load.

    :param requests: answers relayed whole.
    :param tokens: tokens of those answers.
    :param seconds: processor time of the entry less its idle share, in seconds.
    :param wall: length of the run, in seconds.
    :param resident: its resident memory at the end, in bytes.
    """

    requests: int
    tokens: int
    seconds: float
    wall: float
    resident: int


def make_fleet():
    """Build a fleet of one entry whose engines answer at once.

    :return: a :class:`standins.fleet.Fleet`, not started.
    """
    engine = EngineParams(prefill_rate=1e7, token_seconds=0.0)
    fleet = Fleet(FleetOptions(entries=1, engine=engine, drain_timeout=2))
    accounts = dict(fleet.deployment.accounts)
    accounts[ACCOUNT] = replace(accounts[ACCOUNT], rate=RATE)
    fleet.deployment = replace(fleet.deployment, accounts=accounts)
    return fleet


def entry_target(fleet, tokens):
    """Return the target of a request through the entry.

    :param fleet: a running fleet.
    :param tokens: length of the answer.
    :return: a :class:`Target`.
    """
    return Target(
        url=f"http://{fleet.entry_address(1)}/v1/chat/completions",
        body={
            "model": SERVICE,
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": tokens,
            "stream": True,
        },
        headers={"Authorization": f"Bearer demo-{ACCOUNT}-key"},
    )


def engine_target(fleet, number, tokens):
    """Return the target of a request straight to an engine.

    :param fleet: a running fleet.
    :param number: number of the request; names the engine and the stream.
    :param tokens: length of the answer.
    :return: a :class:`Target`.
    """
    deployment = fleet.deployment
    engines = [s for s in deployment.servers.values() if s.kind is ServiceKind.MODEL]
    model = deployment.models[deployment.services[SERVICE].model]
    return Target(
        url=f"http://{engines[number % len(engines)].address}/v1/chat/completions",
        body={
            "model": f"{model.name}@{model.version}",
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": tokens,
            "stream": True,
            "cache_salt": "direct",
        },
        headers={"X-Request-Id": f"{number:032x}", "X-Priority": "1"},
    )


def first_token(client, target):
    """Time a request's first token and read the rest.

    :param client: an :class:`httpx.Client`.
    :param target: a :class:`Target`.
    :return: seconds.
    """
    started = time.perf_counter()
    options = {"json": target.body, "headers": target.headers}
    with client.stream("POST", target.url, **options) as answer:
        answer.raise_for_status()
        chunks = answer.iter_raw()
        next(chunks)
        seconds = time.perf_counter() - started
        for _ in chunks:
            pass
    return seconds


def measure_first_token(fleet, pairs):
    """Alternate between the entry and an engine.

    :param fleet: a running fleet.
    :param pairs: measured requests of each kind.
    :return: seconds of each request through the entry, and straight to an engine.
    """
    through, direct = [], []
    with httpx.Client(timeout=READ_TIMEOUT_SECONDS, trust_env=False) as client:
        for number in range(WARM_REQUESTS + pairs):
            times = (
                first_token(client, entry_target(fleet, FIRST_TOKENS)),
                first_token(client, engine_target(fleet, number, FIRST_TOKENS)),
            )
            if number >= WARM_REQUESTS:
                through.append(times[0])
                direct.append(times[1])
    return through, direct


def measure_idle(fleet, seconds):
    """Watch the entry while nobody calls it.

    :param fleet: a running fleet.
    :param seconds: how long.
    :return: its share of a core, and its resident memory in bytes.
    """
    pid = fleet_pid(fleet, "entry-1")
    before = read_use(pid)
    time.sleep(seconds)
    after = read_use(pid)
    return (after.seconds - before.seconds) / seconds, after.resident


def measure_load(fleet, tokens, seconds, idle):
    """Keep the entry busy.

    :param fleet: a running fleet.
    :param tokens: length of each answer.
    :param seconds: how long, in seconds.
    :param idle: its share of a core when idle.
    :return: a :class:`Load`.
    """
    pid = fleet_pid(fleet, "entry-1")
    before = read_use(pid)
    started = time.monotonic()
    requests = trio.run(ask_for, entry_target(fleet, tokens), seconds)
    wall = time.monotonic() - started
    after = read_use(pid)
    return Load(
        requests=requests,
        tokens=requests * tokens,
        seconds=after.seconds - before.seconds - idle * wall,
        wall=wall,
        resident=after.resident,
    )


async def ask_for(target, seconds):
    """Send requests from several clients for a while.

    Each client sends at least one, however long it takes to start.

    :param target: a :class:`Target`.
    :param seconds: how long.
    :return: the number of whole answers.
    """
    done = 0
    end = trio.current_time() + seconds
    timeout = httpx.Timeout(READ_TIMEOUT_SECONDS)

    async def ask(client):
        nonlocal done
        options = {"json": target.body, "headers": target.headers}
        while True:
            last = b""
            async with client.stream("POST", target.url, **options) as answer:
                answer.raise_for_status()
                async for chunk in answer.aiter_raw():
                    last = chunk
            done += last.endswith(b"[DONE]\n\n")
            if trio.current_time() >= end:
                return

    async with httpx.AsyncClient(timeout=timeout, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(ask, client)
    return done


def split_cost(few, many):
    """Tell the processor time of a request from that of a token.

    :param few: a :class:`Load` of short answers.
    :param many: a :class:`Load` of long answers.
    :return: microseconds per request without its tokens, and per token.
    """
    short, long = (load.seconds / load.requests for load in (few, many))
    lengths = (load.tokens / load.requests for load in (few, many))
    least, most = lengths
    token = (long - short) / (most - least)
    return (short - token * least) * MICROSECONDS, token * MICROSECONDS


def add_first_token(figures, through, direct):
    """Add the figures of the first token."""

    def add(policy, name, value, aim=None):
        figures.add("first token", policy, name, value, aim or Aim())

    for policy, times in (("entry", through), ("direct", direct)):
        add(policy, "median (ms)", median(times) * 1000)
        add(policy, "p95 (ms)", percentile(times, 0.95) * 1000)
    add("entry", "median / direct", median(through) / median(direct))
    p95 = [percentile(times, 0.95) for times in (through, direct)]
    add("entry", "p95 / direct", p95[0] / p95[1])
    add("entry", "added, median (ms)", (median(through) - median(direct)) * 1000)


def add_load(figures, few, many):
    """Add the figures under load."""
    request, token = split_cost(few, many)
    scenario = f"{CLIENTS} callers, {LENGTHS[1]} tokens"
    figures.add(scenario, "entry", "us per request", request)
    figures.add(scenario, "entry", "us per token", token)
    figures.add(scenario, "entry", "tokens/s of one core", many.tokens / many.seconds)
    figures.add(scenario, "entry", "tokens/s measured", many.tokens / many.wall)
    aim = Aim(at_most=SERVING_MB)
    figures.add(scenario, "entry", "resident (MB)", many.resident / MB, aim)


def run(repeats, short=False):
    """Start a fleet for each repeat and measure it.

    :param repeats: number of repeats.
    :param short: whether to take the quick form.
    :return: a :class:`benchmarks._report.Figures`.
    """
    figures = Figures()
    load_seconds = SHORT_LOAD_SECONDS if short else LOAD_SECONDS
    for _ in range(repeats):
        with make_fleet() as fleet:
            fleet.publish()
            fleet.wait_served()
            pairs = SHORT_PAIRS if short else PAIRS
            add_first_token(figures, *measure_first_token(fleet, pairs))
            wait = SHORT_IDLE_SECONDS if short else IDLE_SECONDS
            idle, resident = measure_idle(fleet, wait)
            figures.add("idle, 1 entry", "entry", "share of a core (%)", idle * 100)
            aim = Aim(at_most=SERVING_MB)
            figures.add("idle, 1 entry", "entry", "resident (MB)", resident / MB, aim)
            loads = [measure_load(fleet, n, load_seconds, idle) for n in LENGTHS]
            add_load(figures, *loads)
    return figures


def collect(seed, repeats, short):
    """Measure the hop; see :class:`benchmarks._suite.Benchmark`."""
    return run(repeats, short)


ENTRY_HOP = Benchmark(
    name="entry_hop",
    title="what one entry hop adds, in real processes",
    collect=collect,
    own=("entry",),
)


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    options = parse_options(__doc__.splitlines()[0], argv)
    publish_figures("entry hop", run(options.repeats), options)


if __name__ == "__main__":
    main()
