"""Steps for the checks of the test run."""

import typing as t

import behave

from tests import run

Context = t.Any
CACHE_OPTION = "--cache-dir"


@behave.when("the checks of the test run are listed")
def step_listed(context: Context) -> None:
    context.commands = list(run.CHECKS.values())


@behave.then("each type check names a cache folder of its own")
def step_own_cache(context: Context) -> None:
    commands = [item for item in context.commands if item[0] == "mypy"]
    folders = [item[item.index(CACHE_OPTION) + 1] for item in commands]
    assert len(commands) >= 2, commands
    assert len(set(folders)) == len(folders), folders
