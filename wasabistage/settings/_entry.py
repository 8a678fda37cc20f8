"""Settings of one ``entry`` process."""

from dataclasses import dataclass

from pydantic import Field

from wasabistage.declarations import (
    Address,
    Addresses,
    Count,
    Duration,
    Factor,
    Name,
    Problem,
    SectionModel,
    Size,
    Text,
    choice,
    describe_model,
)
from wasabistage.settings._operator import EXAMPLE as OPERATOR_EXAMPLE
from wasabistage.settings._operator import SECTIONS as OPERATOR_SECTIONS
from wasabistage.settings._reading import check_peer_key, demand_good, read_settings

KIB = 1 << 10
MIB = 1 << 20
#: The least that a file must hold; stands in the reference page.
EXAMPLE = """\
[entry]
name = entry-1
deployment = padavu
failure_domain = kochi-a

[listen]
listen = 127.0.0.1:20001
peer_listen = 127.0.0.1:20101
peers = 127.0.0.1:20102, 127.0.0.1:20103
peer_key = 0123456789abcdef

[platform]
log = 127.0.0.1:24001
live_list = 127.0.0.1:24002
"""
LogLevel = choice(debug="debug", info="info", warning="warning", error="error")


class EntrySection(SectionModel):
    """Who this instance is."""

    name: Name = Field(description="name of the instance, unique in the deployment")
    deployment: Name = Field(description="name of the deployment it serves")
    failure_domain: Name = Field(description="failure domain it stands in")


class ListenSection(SectionModel):
    """Where this instance listens."""

    listen: Address = Field(description="address for callers (HTTP)")
    peer_listen: Address = Field(description="address for other entries (gRPC)")
    peers: Addresses = Field(
        (), description="peer addresses of other entries, to find the rest from"
    )
    peer_key: Text = Field(
        description="secret shared by the deployment's entries, 16 characters or more"
    )


class PlatformSection(SectionModel):
    """Where the platform's services are."""

    log: Address = Field(description="address of the append-only log service")
    live_list: Address = Field(description="address of the list of live instances")


class OutputSection(SectionModel):
    """Logs, metrics and traces."""

    log_level: LogLevel = Field("info", description="least level that is written")
    log_file: Text = Field("-", description="file for JSON lines; `-` for stdout")
    statsd: Address = Field("", description="statsd's UDP address; none: no metrics")
    statsd_prefix: Text = Field("wasabistage", description="start of metric names")
    trace_file: Text = Field(
        "", description="file for finished spans as JSON lines; none: no file"
    )
    trace_spans: Count = Field(
        20_000, ge=100, description="finished spans kept in memory for `trace`"
    )
    trace_share: Factor = Field(
        1.0, ge=0, le=1, description="share of requests that are traced"
    )


class BoundsSection(SectionModel):
    """Bounds that protect this instance and its callers."""

    max_body_bytes: Size = Field(
        8 * MIB, ge=KIB, description="largest body of a request"
    )
    max_header_bytes: Size = Field(
        32 * KIB, ge=KIB, description="most bytes of a request's headers together"
    )
    max_connections: Count = Field(
        2000, ge=1, description="callers' connections at a time"
    )
    max_requests: Count = Field(
        1000, ge=1, description="requests that wait or run at a time"
    )
    max_streams: Count = Field(500, ge=1, description="streams open at a time")
    header_timeout: Duration = Field(
        5.0, gt=0, description="longest wait for a request's headers"
    )
    body_timeout: Duration = Field(
        20.0, gt=0, description="longest wait for a request's body"
    )
    request_timeout: Duration = Field(
        600.0, gt=0, description="longest life of one request, stream included"
    )
    idle_timeout: Duration = Field(
        60.0, gt=0, description="a connection without a request is closed after this"
    )
    drain_timeout: Duration = Field(
        30.0, gt=0, description="longest wait for running work after SIGTERM"
    )


class TimingSection(SectionModel):
    """Intervals between instances."""

    gossip_interval: Duration = Field(
        0.5, gt=0, description="time between gossip messages to peers"
    )
    heartbeat_interval: Duration = Field(
        0.5, gt=0, description="time between heartbeats to peers and backend servers"
    )
    suspect_after: Duration = Field(
        2.0, gt=0, description="silence after which an instance is suspected"
    )
    lease: Duration = Field(10.0, gt=0, description="length of a lease on an order")
    clock_skew: Duration = Field(
        5.0, ge=0, description="largest difference between two instances' clocks"
    )
    config_poll: Duration = Field(
        0.5,
        gt=0,
        description="time between polls for configuration, over all entries together",
    )
    log_retention: Duration = Field(
        86400.0, gt=0, description="how long the log service keeps a record"
    )
    log_batch: Duration = Field(
        0.01, ge=0, description="time over which appends to the log are grouped"
    )
    key_horizon: Duration = Field(
        7200.0, gt=0, description="age at which an idempotency key expires"
    )
    address_lifetime: Duration = Field(
        10.0, gt=0, description="how long callers may keep the answered addresses"
    )


SECTIONS = {
    "entry": EntrySection,
    "listen": ListenSection,
    "platform": PlatformSection,
    "output": OutputSection,
    "bounds": BoundsSection,
    "timing": TimingSection,
}


@dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of one ``entry`` process, checked.

    Addresses are ``IP:PORT``, times are in seconds, sizes in bytes; an empty text
    stands for none. The reference page tells the meaning of each.
    """

    name: str
    deployment: str
    failure_domain: str
    listen: str
    peer_listen: str
    peer_key: str
    log: str
    live_list: str
    peers: tuple[str, ...] = ()
    log_level: str = "info"
    log_file: str = "-"
    statsd: str = ""
    statsd_prefix: str = "wasabistage"
    trace_file: str = ""
    trace_spans: int = 20_000
    trace_share: float = 1.0
    max_body_bytes: int = 8 * MIB
    max_header_bytes: int = 32 * KIB
    max_connections: int = 2000
    max_requests: int = 1000
    max_streams: int = 500
    header_timeout: float = 5.0
    body_timeout: float = 20.0
    request_timeout: float = 600.0
    idle_timeout: float = 60.0
    drain_timeout: float = 30.0
    gossip_interval: float = 0.5
    heartbeat_interval: float = 0.5
    suspect_after: float = 2.0
    lease: float = 10.0
    clock_skew: float = 5.0
    config_poll: float = 0.5
    log_retention: float = 86400.0
    log_batch: float = 0.01
    key_horizon: float = 7200.0
    address_lifetime: float = 10.0


def check_settings(path):
    """Read and check a settings file.

    :param path: path of the INI file.
    :return: a tuple of :class:`EntrySettings`, or ``None``, and the sorted list of
        every :class:`wasabistage.declarations.Problem`.
    """
    return read_settings(path, SECTIONS, EntrySettings, _check_relations)


def _check_relations(file, settings):
    """Check keys against each other."""
    if settings.listen == settings.peer_listen:
        yield Problem(
            file=file,
            line=0,
            what="listen and peer_listen are the same address",
            remedy="give each its own port",
        )
    yield from check_peer_key(file, settings.peer_key)
    if settings.suspect_after <= settings.heartbeat_interval:
        yield Problem(
            file=file,
            line=0,
            what="suspect_after is not longer than heartbeat_interval",
            remedy="make it at least three times as long",
        )


def load_settings(path):
    """Load the settings of one ``entry`` process.

    :param path: path of the INI file.
    :return: :class:`EntrySettings`.
    :raises wasabistage.exceptions.SettingError: if the file has faults; the message
        names each of them as ``file:line: what; remedy``, a line each.
    """
    settings, problems = check_settings(path)
    return demand_good(settings, problems, "mend the settings and start again")


def describe_settings():
    """Generate the reference page of the settings.

    :return: Markdown.
    """
    lines = [
        "# Settings of an entry process",
        "",
        "`wasabistage entry FILE` reads one INI file. A fault is reported as",
        "`file:line: what; remedy`, and the process does not start. Unknown sections",
        "and keys are faults. Comments stand on lines of their own and start with `#`",
        "or `;`. Addresses hold IP numbers; host names are refused. Durations are",
        "written with a unit (`250ms`, `10s`, `2m`, `6h`, `1d`), sizes as well",
        "(`64KiB`, `2GB`). Lists are separated by commas or spaces.",
        "",
        "This page is generated; `python -m wasabistage.settings` prints it.",
        "",
        "The least that a file must hold:",
        "",
        "```ini",
        EXAMPLE.rstrip(),
        "```",
        "",
    ]
    for header, model in SECTIONS.items():
        lines.extend(describe_model(header, model))
    lines += [
        "# Settings of the operator's commands",
        "",
        "`publish`, `diff`, `status` and `trace` read them from the file that",
        "`--settings` names.",
        "",
        "```ini",
        OPERATOR_EXAMPLE.rstrip(),
        "```",
        "",
    ]
    for header, model in OPERATOR_SECTIONS.items():
        lines.extend(describe_model(header, model))
    return "\n".join(lines).rstrip() + "\n"
