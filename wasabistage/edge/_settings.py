"""Settings of one edge process, read from an INI file."""

from configparser import ConfigParser
from configparser import Error as IniError
from difflib import get_close_matches

import msgspec

from wasabistage.exceptions import SettingError

MILLISECONDS_PER_SECOND = 1000.0


class InstanceSection(msgspec.Struct):
    """Who this instance is."""

    name: str
    failure_domain: str
    ip: str


class ListenSection(msgspec.Struct):
    """Where this process listens; ``IP:PORT`` each, ports alone where named so."""

    callers: str
    readiness: str
    directory: str
    #: Other entries ask here for facts.
    peers: str
    #: UDP port on which entries tell each other their load, the same on all.
    gossip_port: int
    metrics_port: int = 9464


class RecordsSection(msgspec.Struct):
    """Where lasting facts live."""

    store: str


class PeersSection(msgspec.Struct):
    """Where other entries may be found first; peers' addresses, comma-separated."""

    seeds: str = ""


class BoundsSection(msgspec.Struct):
    """Bounds that the deployment promises, in the units of their names."""

    #: From a key's removal until nothing sent with it may run.
    key_removal_ms: float = 5000.0
    #: Repeats that all entries may send, per request.
    retry_ratio: float = 0.2
    #: Repeats that all entries may send besides.
    retry_extra: float = 50.0
    retry_window_s: float = 10.0
    #: From the naming of a weight version until no older one may begin work.
    version_ms: float = 6000.0
    #: Between two holders' orders to one server.
    order_turn_ms: float = 3000.0
    #: From the signal to stop until the process is killed.
    stop_s: float = 8.0
    #: Longest lifetime of an answer that names addresses.
    address_lifetime_s: float = 5.0


class EnginesSection(msgspec.Struct):
    """First guesses of what model engines do, replaced by what is seen."""

    #: Prompt tokens a second that an engine computes.
    prefill_rate: float = 85000.0
    #: Engines that load weights at the same time without slowing each other.
    loads_at_once: int = 2


class EdgeSettings(msgspec.Struct):
    """All settings, a section each."""

    instance: InstanceSection
    listen: ListenSection
    records: RecordsSection
    peers: PeersSection = msgspec.field(default_factory=PeersSection)
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    engines: EnginesSection = msgspec.field(default_factory=EnginesSection)


def load_edge_settings(path):
    """Read and check the settings of an edge process.

    A key without a value takes its default.

    :param path: path of the INI file.
    :return: an :class:`EdgeSettings`.
    :raises SettingError: if anything is wrong; one line that names file, section and
        key.
    """
    parser = ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, IniError, UnicodeError) as error:
        reason = " ".join(str(error).split())
        raise SettingError(
            f"{path} can't be read: {reason}", remedy="give the path of an INI file"
        ) from error
    sections = {
        name: {key: value for key, value in parser[name].items() if value}
        for name in parser.sections()
    }
    check_names(path, sections)
    try:
        settings = msgspec.convert(sections, EdgeSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingError(
            f"{path}: {error}", remedy="give every required key a value of its type"
        ) from error
    check_values(path, settings)
    return settings


def check_names(path, sections):
    """Refuse sections and keys that don't exist.

    :param path: path of the file, for the message.
    :param sections: dict of section to dict of key to value.
    :raises SettingError: if there is one.
    """
    known = {
        field.name: field.type.__struct_fields__
        for field in msgspec.structs.fields(EdgeSettings)
    }
    for name, values in sections.items():
        if name not in known:
            raise unknown_name(f"{path}: section [{name}]", name, known)
        for key in values:
            if key not in known[name]:
                where = f"{path}: key {key} of section [{name}]"
                raise unknown_name(where, key, known[name])


def unknown_name(where, name, known):
    """Return the error for an unknown name, with the nearest known one."""
    near = get_close_matches(name, list(known), n=1)
    remedy = f"did you mean {near[0]}?" if near else "remove it"
    return SettingError(f"{where} is unknown", remedy=remedy)


def check_values(path, settings):
    """Refuse values out of range.

    :raises SettingError: if there is one.
    """
    for section in (settings.bounds, settings.engines):
        for name in section.__struct_fields__:
            value = getattr(section, name)
            if isinstance(value, int | float) and value <= 0:
                raise SettingError(
                    f"{path}: {name} is {value}", remedy=f"set {name} above 0"
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
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingError(
                f"{path}: {address!r} is no address", remedy="write it as IP:PORT"
            )
