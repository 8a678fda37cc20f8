"""A seeded explorer of event orders for the once-only decisions.

Entries, the log, callers and backend servers that check nothing are driven by one
event heap. Every fault is drawn from one random generator, so that a seed names a
schedule. The ledger of the backend servers is the witness.
"""

from benchmarks.once_explorer._callers import run_schedule
from benchmarks.once_explorer._costs import measure_costs
from benchmarks.once_explorer._limits import FAULTS
from benchmarks.once_explorer._mutants import EARLY_TRIM, EARLY_TRIM_UNCARRIED, MUTANTS
from benchmarks.once_explorer._node import VARIANTS, Variant
from benchmarks.once_explorer._world import Result

__all__ = [
    "EARLY_TRIM",
    "EARLY_TRIM_UNCARRIED",
    "FAULTS",
    "MUTANTS",
    "Result",
    "VARIANTS",
    "Variant",
    "measure_costs",
    "run_schedule",
]
