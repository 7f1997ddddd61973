"""Fleet capacity and maintenance manager.

The names in this module are the public API for use as a library. Each is
imported on first use, so that a process loads only the modules it needs.
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

_EXPORTS = {
    "Entry": ("agaterudder.entry", "Entry"),
    "Process": ("agaterudder.serve", "Process"),
    "Refused": ("agaterudder.codes", "Refused"),
    "Result": ("agaterudder.codes", "Result"),
    "load_settings": ("agaterudder.settings", "load"),
    "parse_assurances": ("agaterudder.assurances", "parse"),
}


def __getattr__(name: str) -> t.Any:
    if name not in _EXPORTS:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module, attribute = _EXPORTS[name]
    return getattr(importlib.import_module(module), attribute)
