"""Builds the single-file binary: ``make binary`` writes ``dist/agaterudder``.

The binary is a pex file: a zip with every library, run by the CPython 3.11
of the VM. It starts the program with exec, so no parent process remains.
"""

import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "agaterudder"
RUNTIME_PACKAGES = (
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


def pinned_requirements() -> list[str]:
    """Return the runtime packages as pinned in ``requirements.txt``."""
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    wanted = {re.sub(r"[-_.]+", "-", name) for name in RUNTIME_PACKAGES}
    return [
        line
        for line in lines
        if re.sub(r"[-_.]+", "-", line.split("==")[0].lower()) in wanted
    ]


def build() -> None:
    """Build the binary.

    :raises CalledProcessError: when pex fails.
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
        command = [sys.executable, "-m", "pex", *pinned_requirements()]
        command += ["--constraints", str(constraints)]
        command += ["--sources-directory", str(source)]
        command += ["--entry-point", "agaterudder.cli:main"]
        command += ["--output-file", str(TARGET), "--venv"]
        command += ["--no-compress", "--python", sys.executable]
        subprocess.run(command, check=True, cwd=directory)


def main() -> int:
    """Build the binary and print its size."""
    build()
    size = TARGET.stat().st_size / 1_048_576
    print(f"{TARGET.relative_to(ROOT)}: {size:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
