"""Names of the faults, and the short times that schedules run with."""

FAULTS = (
    "kill",
    "pause",
    "cut",
    "log_down",
    "log_slow",
    "append_lost",
    "append_late",
    "server_lost",
    "server_refused",
)
EPOCH = 1_700_000_000.0
RETENTION = 120.0
HORIZON = 80.0
CLOCK_SKEW = 2.0
FIRST_USE = 20.0
MEMORY = 60.0
END = 420.0
READ_LIMIT = 40
PEER_TIMEOUT = 1.5
ATTEMPT_TIME = 3.0
