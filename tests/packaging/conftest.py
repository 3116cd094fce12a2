import subprocess
import sys
import tempfile
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAYLOAD = Path(__file__).parent / "payload"


def build(target: Path, *options: str | Path) -> Path:
    command = [sys.executable, ROOT / "packaging" / "build.py", "--target", target]
    subprocess.run([*command, *options], check=True)
    return target


@pytest.fixture(scope="session")
def folder():
    with tempfile.TemporaryDirectory(prefix="baobabwing-binary-") as name:
        yield Path(name)


@pytest.fixture(scope="session")
def binary(folder):
    """The binary as it ships."""
    return build(folder / "baobabwing")


@pytest.fixture(scope="session")
def probe(folder):
    """The same payload with an entry point that looks at the process."""
    options = ["--package", ROOT / "baobabwing", "--package", PAYLOAD]
    return build(folder / "probe", *options, "--entry", "payload.probe:main")
