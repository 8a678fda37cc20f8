"""Settings of the operator's commands."""

from dataclasses import dataclass

from pydantic import Field

from wasabistage.declarations import Address, Addresses, Name, SectionModel, Text
from wasabistage.settings._reading import check_peer_key, demand_good, read_settings

#: The least that a file must hold; stands in the reference page.
EXAMPLE = """\
[operator]
deployment = padavu
log = 127.0.0.1:20201
entries = 127.0.0.1:20101, 127.0.0.1:20102
peer_key = 0123456789abcdef
author = asha
"""


class OperatorSection(SectionModel):
    """What the operator's commands reach."""

    deployment: Name = Field(description="name of the deployment")
    log: Address = Field(description="address of the append-only log service")
    entries: Addresses = Field(
        description="peer addresses (gRPC) of entries, all of them where possible"
    )
    peer_key: Text = Field(
        description="secret shared by the deployment's entries, 16 characters or more"
    )
    author: Text = Field("", description="who publishes; written into each record")


SECTIONS = {"operator": OperatorSection}


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operator's commands, checked.

    :param deployment: name of the deployment.
    :param log: ``IP:PORT`` of the log service.
    :param entries: peer addresses of entries.
    :param peer_key: secret shared by the deployment's entries.
    :param author: who publishes.
    """

    deployment: str
    log: str
    entries: tuple[str, ...]
    peer_key: str
    author: str = ""


def check_operator_settings(path):
    """Read and check a file of operator's settings.

    :param path: path of the INI file.
    :return: a tuple of :class:`OperatorSettings`, or ``None``, and the sorted list of
        every :class:`wasabistage.declarations.Problem`.
    """

    def relate(file, settings):
        return check_peer_key(file, settings.peer_key)

    return read_settings(path, SECTIONS, OperatorSettings, relate)


def load_operator_settings(path):
    """Load the settings of the operator's commands.

    :param path: path of the INI file.
    :return: :class:`OperatorSettings`.
    :raises wasabistage.exceptions.SettingError: if the file has faults.
    """
    settings, problems = check_operator_settings(path)
    return demand_good(settings, problems, "mend the operator's settings")
