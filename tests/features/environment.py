"""Runs the clean-up callbacks that the steps of a scenario registered."""

import typing as t


def before_scenario(context: t.Any, scenario: t.Any) -> None:
    """Start with an empty list of clean-up callbacks."""
    context.cleanups = []


def after_scenario(context: t.Any, scenario: t.Any) -> None:
    """Run the clean-up callbacks, the last registered first."""
    for cleanup in reversed(context.cleanups):
        cleanup()
