"""What is kept of each entry instance."""

import math
from dataclasses import dataclass

from wasabistage.membership._messages import MemberPhase, MemberState


@dataclass
class MemberRecord:
    """What is known of one instance; times are monotonic, in seconds."""

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
    known_at: float = 0.0
    refused_at: float = -math.inf
    failures: int = 0
    listed: bool = False
    listed_leaving: bool = False
    silent: frozenset[str] = frozenset()
    state: MemberState | None = None
