"""Fleet capacity and maintenance manager.

The public API, for use as a library, is what this module names. Each name
is imported at its first use, so that a process loads only what it runs.
"""

import importlib
import typing as t

if t.TYPE_CHECKING:
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

_PLACES = {
    "Entry": ("agaterudder.entry", "Entry"),
    "Process": ("agaterudder.serve", "Process"),
    "Refused": ("agaterudder.codes", "Refused"),
    "Result": ("agaterudder.codes", "Result"),
    "load_settings": ("agaterudder.settings", "load"),
    "parse_assurances": ("agaterudder.assurances", "parse"),
}


def __getattr__(name: str) -> t.Any:
    if name not in _PLACES:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module, attribute = _PLACES[name]
    return getattr(importlib.import_module(module), attribute)
