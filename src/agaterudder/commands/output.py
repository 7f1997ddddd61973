"""Shows the body of a response."""

import json
import typing as t

import rich.console
import rich.table


def show(body: t.Any, output: str) -> None:
    """Print a body.

    :param output: ``table`` for people or ``json`` for scripts.
    """
    if output == "json":
        print(json.dumps(body, indent=2))
        return
    console = rich.console.Console()
    match body:
        case list() if body and isinstance(body[0], dict):
            console.print(_table(body))
        case list():
            for line in body:
                console.print(line, markup=False, highlight=False)
        case dict():
            _show_fields(console, body)
        case _:
            console.print(body)


def _show_fields(
    console: rich.console.Console, body: dict[str, t.Any]
) -> None:
    for name, value in body.items():
        items = isinstance(value, list) and value
        if items and isinstance(value[0], dict):
            console.print(f"{name}:")
            console.print(_table(value))
        else:
            console.print(f"{name}: {value}", markup=False, highlight=False)


def _table(rows: list[dict[str, t.Any]]) -> rich.table.Table:
    table = rich.table.Table(*rows[0].keys())
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    return table
