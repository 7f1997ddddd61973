"""Fleet capacity and maintenance manager.

The public API, for use as a library, is what this module names.
"""

from agaterudder.assurances import parse as parse_assurances
from agaterudder.codes import Refused
from agaterudder.codes import Result
from agaterudder.entry import Entry
from agaterudder.serve import Process
from agaterudder.settings import load as load_settings

__version__ = "0.1.0"
__all__ = [
    "Entry",
    "Process",
    "Refused",
    "Result",
    "load_settings",
    "parse_assurances",
]
