"""Runs every check and prints ``N passed, N failed``.

Scenarios listed in KNOWN-RED.txt may fail. An entry whose scenario passes or
does not exist counts as a failure.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURES = ROOT / "tests" / "features"
SOURCES = ("src", "platform", "standins", "demo", "bench", "tests", "tools")
# The cache of mypy is a database that one process may open at a time.
TYPE_CACHES = ".mypy_cache"
CHECKS = {
    "format": ("black", "--check", "--quiet", *SOURCES),
    "lint": ("flake8", *SOURCES),
    "types": (
        "mypy",
        "--cache-dir",
        f"{TYPE_CACHES}/product",
        *("src", "standins", "demo", "bench", "tools"),
    ),
    "platform types": (
        "mypy",
        "--cache-dir",
        f"{TYPE_CACHES}/platform",
        "platform/agaterudder_platform",
    ),
}
MAX_PARALLEL = 4
COMMAND_TIMEOUT_SECONDS = 900
MAX_OUTPUT_CHARACTERS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one check or scenario."""

    name: str
    passed: bool
    output: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFailure:
    """Entry of KNOWN-RED.txt: a scenario that is known to fail."""

    scenario: str
    line: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Return the entries of KNOWN-RED.txt."""
    lines = [line.strip() for line in text.splitlines()]
    return [
        KnownFailure(line.partition("|")[0].strip(), line)
        for line in lines
        if line and not line.startswith("#")
    ]


def _run_module(
    command: t.Sequence[str],
) -> "subprocess.CompletedProcess[str]":
    """Run a Python module with arguments and wait until it ends."""
    return subprocess.run(
        [sys.executable, "-m", *command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_SECONDS,
    )


def run_check(name: str, command: tuple[str, ...]) -> Outcome:
    """Run a checking tool as a Python module."""
    completed = _run_module(command)
    return Outcome(
        name, completed.returncode == 0, completed.stdout + completed.stderr
    )


def run_feature(path: pathlib.Path) -> list[Outcome]:
    """Run one feature; return the outcome of each scenario."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = ["behave", "--format", "json", "--outfile", report.name]
        command += ["--format", "plain"]
        command += ["--no-summary", "--no-capture", str(path)]
        completed = _run_module(command)
        content = pathlib.Path(report.name).read_text()
    try:
        features = json.loads(content)
    except ValueError:
        return [Outcome(path.name, False, completed.stdout + completed.stderr)]
    outcomes = [
        _scenario_outcome(path.stem, scenario, completed.stdout)
        for feature in features
        for scenario in feature.get("elements", ())
        if scenario["type"] == "scenario"
    ]
    if completed.returncode and all(item.passed for item in outcomes):
        outcomes.append(Outcome(path.name, False, completed.stderr))
    return outcomes


def _scenario_outcome(
    feature: str, scenario: dict, output: str  # type: ignore
) -> Outcome:
    steps = scenario.get("steps", ())
    messages = [
        f"{step['keyword']} {step['name']}: {step['result']['status']} "
        + _as_text(step["result"].get("error_message", ""))
        for step in steps
        if step.get("result", {}).get("status") not in ("passed", None)
    ]
    name = f"{feature}: {scenario['name']}"
    passed = scenario.get("status") == "passed" and bool(steps)
    if not passed:
        # The report has no traceback of a step that ended with an error.
        messages.append(
            output.partition(scenario["name"])[2][:MAX_OUTPUT_CHARACTERS]
        )
    return Outcome(name, passed, "\n".join(messages))


def _as_text(message: str | list[str]) -> str:
    return message if isinstance(message, str) else "\n".join(message)


def run_features(names: list[str]) -> list[Outcome]:
    """Run the features in parallel, those tagged ``@processes`` one by one.

    The tagged features start processes and depend on timing.
    """
    paths = sorted(FEATURES.glob("*.feature"))
    if names:
        paths = [path for path in paths if path.stem in names]
    sequential = [path for path in paths if "@processes" in path.read_text()]
    parallel = [path for path in paths if path not in sequential]
    outcomes: list[Outcome] = []
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL) as pool:
        for found in pool.map(run_feature, parallel):
            outcomes.extend(found)
    for path in sequential:
        outcomes.extend(run_feature(path))
    return outcomes


def compare_with_known(
    outcomes: list[Outcome], known: list[KnownFailure], complete: bool
) -> tuple[list[Outcome], list[str]]:
    """Return unexpected failures, and a line for each known failure."""
    by_name = {item.name: item for item in outcomes}
    failures = []
    notes = []
    known_names = {entry.scenario for entry in known}
    for item in outcomes:
        if not item.passed and item.name not in known_names:
            failures.append(item)
    for entry in known:
        found = by_name.get(entry.scenario)
        if found is None and not complete:
            continue
        if found is None or found.passed:
            why = "is unknown" if found is None else "passes now"
            text = f"KNOWN-RED.txt: {entry.scenario} {why}"
            failures.append(Outcome(text, False, text))
        else:
            notes.append(f"known red: {entry.line}")
    return failures, notes


def main() -> int:
    """Run everything, or only the features named as arguments."""
    names = sys.argv[1:]
    outcomes = []
    if not names:
        with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL) as pool:
            outcomes = list(pool.map(run_check, CHECKS, CHECKS.values()))
    outcomes.extend(run_features(names))
    known = parse_known_failures((ROOT / "KNOWN-RED.txt").read_text())
    failures, notes = compare_with_known(outcomes, known, not names)
    for failure in failures:
        print(f"FAILED {failure.name}\n{failure.output}\n")
    for note in notes:
        print(note)
    passed = len(outcomes) - len([x for x in outcomes if not x.passed])
    print(f"{passed} passed, {len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
