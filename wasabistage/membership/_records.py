"""Record of an entry instance, kept by the membership policies."""

import math
from dataclasses import dataclass

from wasabistage.membership._messages import MemberPhase, MemberState


@dataclass
class MemberRecord:
    """Newest knowledge of one entry instance; times are monotonic, in seconds.

    :param instance: name of the instance.
    :param incarnation: id of its incarnation; empty before its first heartbeat.
    :param sequence: number of its newest heartbeat.
    :param failure_domain: failure domain of the instance.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param load: fraction of its capacity in use, as last reported.
    :param phase: phase that it last reported.
    :param config_version: configuration version that it last reported.
    :param newest_offset: newest log offset that it last reported.
    :param heard_at: time of its last heartbeat or answered call.
    :param observed_since: time from which its silence counts: when its incarnation
        became known, or when a pause of this process ended.
    :param refused_at: time of the last refused connection since it was heard.
    :param failures: failed calls since it was heard.
    :param listed: whether the platform's newest list contains it.
    :param listed_leaving: whether the list marks it as leaving.
    :param silent: names of instances that it considers silent.
    :param state: state of the last tick; ``None`` before the first.
    """

    instance: str
    incarnation: str = ""
    sequence: int = -1
    failure_domain: str = ""
    caller_address: str = ""
    peer_address: str = ""
    load: float = 0.0
    phase: MemberPhase = MemberPhase.SERVING
    config_version: int = 0
    newest_offset: int = 0
    heard_at: float = -math.inf
    observed_since: float = 0.0
    refused_at: float = -math.inf
    failures: int = 0
    listed: bool = False
    listed_leaving: bool = False
    silent: frozenset[str] = frozenset()
    state: MemberState | None = None
