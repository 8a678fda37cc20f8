"""Settings of one edge process, read from an INI file.

The file may be filled in from a template. A placeholder that nothing filled in counts
as a missing value.
"""

import math
import re
from configparser import ConfigParser
from configparser import Error as IniError
from difflib import get_close_matches

import msgspec

from wasabistage.exceptions import SettingError
from wasabistage.topology import compute_capacity

MILLISECONDS_PER_SECOND = 1000.0
MAX_PORT_DIGITS = 5  # of 65535
REGIONS = "regions"  # section whose keys are failure domains
MAY_BE_ZERO = frozenset({"cold_slack"})
PLACEHOLDER = re.compile(r"\{\{.*\}\}")  # of a template
JSON_NULL = "null"


class InstanceSection(msgspec.Struct):
    """Identity of this instance.

    ``failure_domain`` is the one that it runs in, ``ip`` the address for its peers.
    """

    name: str
    failure_domain: str
    ip: str
    #: Bandwidth of its link. Entries with fast links carry the facts of others.
    link_mbps: float = 1000.0
    #: Processor cores of its machine. Callers are directed to the entries in proportion
    #: to their capacity if all of them have this key.
    cores: float | None = None
    #: Fraction of the cores that this process may use.
    cpu_share: float = 1.0
    #: The whole fleet starts for the first time. A restarted process doesn't know what
    #: it has spent of the budgets that all entries share.
    first_start: bool = False

    @property
    def weight(self):
        """Capacity to carry the facts of others, relative to other entries.

        It grows with the square, since a fast link must be chosen although there are
        many slow ones.
        """
        return self.link_mbps**2


class ListenSection(msgspec.Struct):
    """Addresses that this process listens on.

    Keys that end in ``_port`` hold a port number, the others ``IP:PORT``.
    """

    callers: str
    readiness: str
    directory: str
    #: Other entries request snapshots of record topics here.
    peers: str
    #: UDP port on which entries send each other reports, the same on all entries.
    gossip_port: int
    #: UDP port on which entries tell each other of long prompts at once, the same on
    #: all entries; 0 for none.
    notice_port: int = 0
    metrics_port: int = 9464


class RecordsSection(msgspec.Struct):
    """The store of durable records; ``store`` is its ``IP:PORT``."""

    store: str


class PeersSection(msgspec.Struct):
    """Entries to contact first; ``seeds`` is a comma-separated list of ``IP:PORT``.

    The port of a seed is ignored: all entries use the same gossip port.
    """

    seeds: str = ""


class BoundsSection(msgspec.Struct):
    """Bounds that the deployment guarantees; the suffix of a key is its unit."""

    #: Longest time from the removal of a client account's key until no request with
    #: it may run.
    key_removal_ms: float = 5000.0
    #: Retries that all entries together may send, per request.
    retry_ratio: float = 0.2
    #: Retries that all entries together may send besides ``retry_ratio``.
    retry_extra: float = 50.0
    #: Sliding window to which both retry bounds apply.
    retry_window_s: float = 10.0
    #: Longest time from the naming of a weight version until no request may start on
    #: an older one.
    version_ms: float = 6000.0
    #: Shortest time between the orders of two holders to one server.
    order_turn_ms: float = 3000.0
    #: Time from the stop signal until the process is killed.
    stop_s: float = 8.0
    #: Longest time for which callers may keep a list of addresses.
    address_lifetime_s: float = 5.0
    #: Longest time from the order to evacuate a failure domain until none of its
    #: servers may get a request.
    evacuate_ms: float = 5000.0
    #: Requests that a cold server may get in any second: ``cold_excess`` times the rate
    #: that it tolerates, and ``cold_slack`` more. Without one of both, cold servers are
    #: not limited.
    cold_excess: float | None = None
    cold_slack: float | None = None
    #: Time after which a caller of a stream that reads nothing is ended; read at start.
    slow_reader_s: float | None = None
    #: Megabytes of requests that one server may hold from all entries; read at start.
    server_request_mb: float | None = None


class EnginesSection(msgspec.Struct):
    """Initial estimates of the performance of model engines.

    Measurements replace ``prefill_rate`` as requests are served.
    """

    #: Prompt tokens per second that an engine computes.
    prefill_rate: float = 85000.0
    #: Number of engines that may load weights at the same time.
    loads_at_once: int = 2
    #: Whether callers that were refused for lack of room are told to return one after
    #: another.
    spread_returns: bool = False


class LimitsSection(msgspec.Struct):
    """What the machine gives to this process."""

    #: Memory of the machine, in MB.
    memory_mb: float = 200.0
    #: Number of file descriptors.
    max_fds: int = 4096


class EdgeSettings(msgspec.Struct):
    """All settings; each field is a section of the file."""

    instance: InstanceSection
    listen: ListenSection
    records: RecordsSection
    peers: PeersSection = msgspec.field(default_factory=PeersSection)
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    engines: EnginesSection = msgspec.field(default_factory=EnginesSection)
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    #: Region of each failure domain. Without any, everything is in one region.
    regions: dict[str, str] = {}

    @property
    def capacity(self):
        """Capacity to serve callers, relative to other entries; 0 if it is unknown."""
        instance = self.instance
        if instance.cores is None:
            return 0.0
        cores = instance.cores * instance.cpu_share
        return compute_capacity(cores, instance.link_mbps, self.limits.max_fds)


def load_edge_settings(path):
    """Read and check the settings of an edge process.

    A key takes its default if its value is empty, ``null`` or an unfilled placeholder.
    Text may be written as a JSON string.

    :param path: path of the INI file.
    :return: an :class:`EdgeSettings`.
    :raises SettingError: if the file can't be read, or a section, key or value is
        invalid; the message is one line.
    """
    # Failure domains are named as they are written; other keys in any case.
    parser = ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, IniError, UnicodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingError(
            f"{path} can't be read: {reason}",
            remedy="give the path of a readable INI file",
        ) from error
    sections = {
        name: {
            key if name == REGIONS else key.lower(): decode_value(path, key, value)
            for key, value in parser[name].items()
            if not is_missing(key, value)
        }
        for name in parser.sections()
    }
    check_known_names(path, sections)
    check_required_values(path, parser, sections)
    try:
        settings = msgspec.convert(sections, EdgeSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingError(
            f"{path}: {error}", remedy="give every required key a value of its type"
        ) from error
    check_values(path, settings)
    return settings


def is_missing(key, value):
    """Return whether a line of the file gives no value.

    :param key: name of the key.
    :param value: text of the value.
    """
    is_unfilled = PLACEHOLDER.search(key) or PLACEHOLDER.search(value)
    return not value or value == JSON_NULL or bool(is_unfilled)


def decode_value(path, key, value):
    """Return a value as text, decoded if it is a JSON string.

    :param path: path of the file, for the message.
    :param key: name of the key, for the message.
    :param value: text of the value.
    :raises SettingError: if it starts as a JSON string and isn't one.
    """
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.DecodeError as error:
        raise SettingError(
            f"{path}: {key} is {value}, not a JSON string",
            remedy="close the quotation marks or write the value without any",
        ) from error


def check_required_values(path, parser, sections):
    """Check that no required key has an unfilled placeholder as its value.

    :param path: path of the file, for the message.
    :param parser: the ``ConfigParser`` with the text of all values.
    :param sections: dict of section to dict of key to value, without missing ones.
    :raises SettingError: if one has.
    """
    for section in msgspec.structs.fields(EdgeSettings):
        if section.name == REGIONS or section.name not in sections:
            continue
        lines = {key.lower(): value for key, value in parser[section.name].items()}
        for field in msgspec.structs.fields(section.type):
            value = lines.get(field.name, "")
            if field.required and PLACEHOLDER.search(value):
                raise SettingError(
                    f"{path}: key {field.name} of section [{section.name}] is the "
                    f"unfilled placeholder {value}",
                    remedy="fill it in; the key is required",
                )


def check_known_names(path, sections):
    """Check that all sections and keys are known.

    :param path: path of the file, for the message.
    :param sections: dict of section to dict of key to value.
    :raises SettingError: if one is unknown.
    """
    known = {
        field.name: field.type.__struct_fields__
        for field in msgspec.structs.fields(EdgeSettings)
        if field.name != REGIONS
    }
    for name, values in sections.items():
        if name == REGIONS:
            continue
        if name not in known:
            raise build_unknown_name_error(
                f"{path}: section [{name}]", name, [*known, REGIONS]
            )
        for key in values:
            if key not in known[name]:
                where = f"{path}: key {key} of section [{name}]"
                raise build_unknown_name_error(where, key, known[name])


def build_unknown_name_error(where, name, known):
    """Return the error for an unknown section or key.

    :param where: description of the section or key, with the path of the file.
    :param name: the unknown name.
    :param known: known names; the remedy suggests the most similar one.
    """
    near = get_close_matches(name, list(known), n=1)
    remedy = f"did you mean {near[0]}?" if near else "remove it"
    return SettingError(f"{where} is unknown", remedy=remedy)


def check_values(path, settings):
    """Check the ranges of numbers and the form of addresses.

    :param path: path of the file, for the message.
    :param settings: an :class:`EdgeSettings`.
    :raises SettingError: if a value is invalid.
    """
    sections = (settings.instance, settings.bounds, settings.engines, settings.limits)
    for section in sections:
        for name in section.__struct_fields__:
            value = getattr(section, name)
            if isinstance(value, bool):
                continue
            if name in MAY_BE_ZERO and value == 0:
                continue
            if isinstance(value, int | float) and not 0 < value < math.inf:
                raise SettingError(
                    f"{path}: {name} is {value}, not above 0 and finite",
                    remedy=f"set {name} above 0",
                )
    listen = settings.listen
    addresses = [
        listen.callers,
        listen.readiness,
        listen.directory,
        listen.peers,
        settings.records.store,
    ]
    for address in addresses:
        host, _, port = address.rpartition(":")
        # Other digits than the ASCII ones are no number to int().
        is_number = len(port) <= MAX_PORT_DIGITS and port.isascii() and port.isdigit()
        if not host or not is_number or not 0 < int(port) < 65536:
            raise SettingError(
                f"{path}: address {address!r} is not IP:PORT with PORT from 1 to 65535",
                remedy="write it as IP:PORT",
            )
