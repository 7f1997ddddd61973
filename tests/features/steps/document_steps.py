"""Steps for the documentation, the examples and the binary."""

import os
import pathlib
import re
import subprocess
import tempfile
import time
import typing as t

import behave

from agaterudder import assurances
from agaterudder import codes
from agaterudder import exceptions
from agaterudder import lifecycles
from agaterudder import settings
from models import report
from standins import launcher
from tools import binary

Context = t.Any
DOCS = launcher.ROOT / "docs"
EXAMPLES = launcher.ROOT / "examples"
FEATURES = launcher.ROOT / "tests" / "features"
MEMORY_FILE_SYSTEM = "/dev/shm"


@behave.then(
    "docs/RESULT-CODES.md ends with the table that the program prints"
)
def step_codes(context: Context) -> None:
    text = (DOCS / "RESULT-CODES.md").read_text()
    assert text.endswith(codes.table()), "run: agaterudder codes"


@behave.then('docs/DESIGN.md contains the diagram of chart "{name}"')
def step_chart(context: Context, name: str) -> None:
    text = (DOCS / "DESIGN.md").read_text()
    assert lifecycles.load(name).to_mermaid() in text, name


@behave.then('the settings "{one}" and "{two}" are valid')
def step_examples(context: Context, one: str, two: str) -> None:
    for name in (one, two):
        assert settings.load(EXAMPLES / name).services


@behave.then('the assurance files "{one}" and "{two}" have no fault')
def step_files(context: Context, one: str, two: str) -> None:
    for name in (one, two):
        parsed = assurances.parse((EXAMPLES / name).read_text())
        assert parsed.sources and not parsed.faults, parsed.faults


@behave.then('each "agaterudder" command in the documentation exists')
def step_commands(context: Context) -> None:
    folder = launcher.ROOT / "src/agaterudder/commands"
    source = "".join(path.read_text() for path in folder.glob("*.py"))
    known = set(re.findall(r'cappa\.command\(name="([a-z-]+)"', source))
    assert len(known) > 10, known
    pages = [*DOCS.glob("*.md"), launcher.ROOT / "README.md"]
    for page in pages:
        for line in page.read_text().splitlines():
            found = re.match(r"    (?:\$ )?agaterudder ([a-z-]+)", line)
            if found:
                assert found.group(1) in known, (page.name, line)


@behave.then("docs/PROMISES.md has a row for each of {count:d} promises")
def step_promises(context: Context, count: int) -> None:
    text = (DOCS / "PROMISES.md").read_text()
    context.rows = re.findall(r"^\| \d+ \|.*$", text, re.MULTILINE)
    assert len(context.rows) == count, len(context.rows)
    for row in context.rows:
        assert re.search(r"\| (proved|partly|not proved)", row), row


@behave.then("each feature that it names is in tests/features")
def step_named(context: Context) -> None:
    for row in context.rows:
        names = re.findall(r"`(\w+)\.feature`", row)
        assert names, row
        for name in names:
            assert (FEATURES / f"{name}.feature").exists(), name


@behave.then("docs/MODELS.md ends with the table that the checker prints")
def step_models(context: Context) -> None:
    text = (DOCS / "MODELS.md").read_text()
    lines = [
        row
        for item in report.SPECIFICATIONS.values()
        for row in report.table_rows(item)
    ]
    assert text.endswith("\n".join(lines) + "\n")


@behave.then("each of these settings is rejected with the given words")
def step_settings(context: Context) -> None:
    base = (EXAMPLES / "malanad.toml").read_text()
    for row in context.table:
        text = row["settings"]
        if text != "[entry]":
            section, _, rest = text.partition(".")
            text = f"{text}\n{base}"
            if rest:
                name = rest.partition("=")[0].strip()
                kept = re.sub(rf"(?m)^{name} = .*$", "", base)
                text = kept.replace(f"[{section}]", f"[{section}]\n{rest}", 1)
        path = pathlib.Path(tempfile.mkstemp(suffix=".toml")[1])
        path.write_text(text)
        try:
            settings.load(path)
        except exceptions.SettingsError as error:
            assert row["words"] in str(error), (row["settings"], error)
            assert str(path) in str(error)
        else:
            raise AssertionError(row["settings"])
        finally:
            path.unlink()


@behave.then("each of these assurance lines is rejected at the given column")
def step_lines(context: Context) -> None:
    for row in context.table:
        parsed = assurances.parse("\n" + row["line"] + "\n")
        assert parsed.faults, row["line"]
        fault = parsed.faults[0]
        assert fault.line == 2, fault
        assert fault.column == int(row["column"]), (row["line"], fault)
        assert row["words"] in fault.message, fault


@behave.given("the binary is built")
def step_built(context: Context) -> None:
    binary.build()


@behave.when("it serves from an empty directory with a memory file system")
def step_serve(context: Context) -> None:
    context.empty = tempfile.mkdtemp()
    unpacked = tempfile.mkdtemp(dir=MEMORY_FILE_SYSTEM)
    plan = launcher.Plan(("north",), 1, (("tally", 1),), (("count", 1),))
    deployment = launcher.Deployment(plan)
    context.cleanups.append(deployment.stop)
    deployment.start()
    vm, context.address = next(iter(deployment.entries.items()))
    deployment.kill(vm)
    path = pathlib.Path(tempfile.mkstemp(suffix=".toml")[1])
    path.write_text(deployment.settings_text(vm))
    environment = {
        "PATH": os.environ["PATH"],
        "HOME": context.empty,
        "PEX_ROOT": unpacked,
        "TMPDIR": unpacked,
    }
    context.process = subprocess.Popen(
        [str(binary.TARGET), "serve", "--settings", str(path)],
        cwd=context.empty,
        env=environment,
        stderr=subprocess.DEVNULL,
    )
    context.cleanups.append(lambda: _kill(context.process))
    context.cleanups.append(lambda: binary.shutil.rmtree(unpacked))


def _kill(process: "subprocess.Popen[bytes]") -> None:
    if process.poll() is None:
        process.kill()
        process.wait()


@behave.then(
    'it answers "{path}" with status {status:d} within {seconds:d} seconds'
)
def step_answers(
    context: Context, path: str, status: int, seconds: int
) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            found = launcher.call(context.address, "GET", path, timeout=1.0)
        except (OSError, launcher.HTTPParseError):
            time.sleep(0.1)
            continue
        assert found.status == status, found
        return
    raise AssertionError("no answer")


@behave.then("it has no child process and the directory is still empty")
def step_no_child(context: Context) -> None:
    process = context.process.pid
    path = pathlib.Path(f"/proc/{process}/task/{process}/children")
    assert path.read_text().strip() == "", "a child process"
    assert os.listdir(context.empty) == []


@behave.then("it exits with status 0 on SIGTERM")
def step_exits(context: Context) -> None:
    context.process.terminate()
    assert context.process.wait(30) == 0
