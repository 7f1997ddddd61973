"""Ends the processes that a scenario started."""

import typing as t


def before_scenario(context: t.Any, scenario: t.Any) -> None:
    """Begin without anything to clean up."""
    context.cleanups = []


def after_scenario(context: t.Any, scenario: t.Any) -> None:
    """Undo what the scenario's steps set up, last first."""
    for cleanup in reversed(context.cleanups):
        cleanup()
