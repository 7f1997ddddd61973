"""Runs every check and prints ``N passed, N failed``.

Scenarios listed in KNOWN-RED.txt may fail; an entry that passes, or that
names no scenario, is itself a failure.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEATURES = ROOT / "tests" / "features"
SOURCES = ("src", "platform", "standins", "demo", "bench", "tests", "tools")
CHECKS = {
    "format": ("black", "--check", "--quiet", *SOURCES),
    "lint": ("flake8", *SOURCES),
    "types": ("mypy", "src", "standins", "demo", "bench", "tools"),
    "platform types": ("mypy", "platform/agaterudder_platform"),
}
AT_ONCE = 4
MAX_SECONDS = 900
MAX_OUTPUT = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one check or scenario."""

    name: str
    passed: bool
    output: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """Entry of KNOWN-RED.txt."""

    scenario: str
    line: str


def known_red(text: str) -> list[KnownRed]:
    """Return the entries of KNOWN-RED.txt."""
    lines = [line.strip() for line in text.splitlines()]
    return [
        KnownRed(line.partition("|")[0].strip(), line)
        for line in lines
        if line and not line.startswith("#")
    ]


def run_check(name: str, command: tuple[str, ...]) -> Outcome:
    """Run a tool of the environment."""
    done = subprocess.run(
        [sys.executable, "-m", *command],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=MAX_SECONDS,
    )
    return Outcome(name, done.returncode == 0, done.stdout + done.stderr)


def run_feature(path: pathlib.Path) -> list[Outcome]:
    """Run one feature; return the outcome of each scenario."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = ["behave", "--format", "json", "--outfile", report.name]
        command += ["--format", "plain"]
        command += ["--no-summary", "--no-capture", str(path)]
        done = subprocess.run(
            [sys.executable, "-m", *command],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MAX_SECONDS,
        )
        content = pathlib.Path(report.name).read_text()
    try:
        features = json.loads(content)
    except ValueError:
        return [Outcome(path.name, False, done.stdout + done.stderr)]
    outcomes = [
        _scenario(path.stem, scenario, done.stdout)
        for feature in features
        for scenario in feature.get("elements", ())
        if scenario["type"] == "scenario"
    ]
    if done.returncode and all(item.passed for item in outcomes):
        outcomes.append(Outcome(path.name, False, done.stderr))
    return outcomes


def _scenario(
    feature: str, scenario: dict, output: str  # type: ignore
) -> Outcome:
    steps = scenario.get("steps", ())
    messages = [
        f"{step['keyword']} {step['name']}: {step['result']['status']} "
        + _text(step["result"].get("error_message", ""))
        for step in steps
        if step.get("result", {}).get("status") not in ("passed", None)
    ]
    name = f"{feature}: {scenario['name']}"
    passed = scenario.get("status") == "passed" and bool(steps)
    if not passed:
        # The report has no traceback of a step that ended with an error.
        messages.append(output.partition(scenario["name"])[2][:MAX_OUTPUT])
    return Outcome(name, passed, "\n".join(messages))


def _text(message: str | list[str]) -> str:
    return message if isinstance(message, str) else "\n".join(message)


def run_features(names: list[str]) -> list[Outcome]:
    """Run the features that use no timing side by side, the rest alone."""
    paths = sorted(FEATURES.glob("*.feature"))
    if names:
        paths = [path for path in paths if path.stem in names]
    alone = [path for path in paths if "@processes" in path.read_text()]
    together = [path for path in paths if path not in alone]
    outcomes: list[Outcome] = []
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for found in pool.map(run_feature, together):
            outcomes.extend(found)
    for path in alone:
        outcomes.extend(run_feature(path))
    return outcomes


def judge(
    outcomes: list[Outcome], red: list[KnownRed], complete: bool
) -> tuple[list[Outcome], list[str]]:
    """Return the failures that count, and the lines about known ones."""
    by_name = {item.name: item for item in outcomes}
    failures = []
    notes = []
    listed = {entry.scenario for entry in red}
    for item in outcomes:
        if not item.passed and item.name not in listed:
            failures.append(item)
    for entry in red:
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
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            outcomes = list(pool.map(run_check, CHECKS, CHECKS.values()))
    outcomes.extend(run_features(names))
    red = known_red((ROOT / "KNOWN-RED.txt").read_text())
    failures, notes = judge(outcomes, red, not names)
    for failure in failures:
        print(f"FAILED {failure.name}\n{failure.output}\n")
    for note in notes:
        print(note)
    passed = len(outcomes) - len([x for x in outcomes if not x.passed])
    print(f"{passed} passed, {len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
