"""Reads files that are named on the command line."""

import pathlib

import cappa

from agaterudder.commands import exitcodes


def read(path: pathlib.Path) -> str:
    """Return the content of a file.

    :raises cappa.Exit: when the file can't be read.
    """
    try:
        return path.read_text()
    except OSError as error:
        raise cappa.Exit(
            f"{path}: {error.strerror}", code=exitcodes.USAGE
        ) from error
