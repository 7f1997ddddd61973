"""Builds the one binary: ``make binary`` writes ``dist/agaterudder``.

The binary is a pex file: a zip with every library, run by the CPython 3.11
of the VM. It replaces itself by exec and so stays one process.
"""

import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "agaterudder"
RUNTIME = (
    "cappa",
    "gevent",
    "geventhttpclient",
    "hdrhistogram",
    "logfmter",
    "msgpack",
    "msgspec",
    "rich",
    "sismic",
    "tomlkit",
)


def pinned() -> list[str]:
    """Return the run-time libraries at the versions of the pinned file."""
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    wanted = {re.sub(r"[-_.]+", "-", name) for name in RUNTIME}
    return [
        line
        for line in lines
        if re.sub(r"[-_.]+", "-", line.split("==")[0].lower()) in wanted
    ]


def build() -> None:
    """Build the binary.

    :raises CalledProcessError: when the tool fails.
    """
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        source = pathlib.Path(directory) / "src"
        shutil.copytree(
            ROOT / "src",
            source,
            ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
        )
        constraints = ROOT / "requirements.txt"
        command = [sys.executable, "-m", "pex", *pinned()]
        command += ["--constraints", str(constraints)]
        command += ["--sources-directory", str(source)]
        command += ["--entry-point", "agaterudder.cli:main"]
        command += ["--output-file", str(TARGET), "--venv"]
        command += ["--no-compress", "--python", sys.executable]
        subprocess.run(command, check=True, cwd=directory)


def main() -> int:
    """Build and say how large it is."""
    build()
    size = TARGET.stat().st_size / 1_048_576
    print(f"{TARGET.relative_to(ROOT)}: {size:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
