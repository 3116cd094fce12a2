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
def build_directory():
    with tempfile.TemporaryDirectory(prefix="baobabwing-binary-") as name:
        yield Path(name)


@pytest.fixture(scope="session")
def binary(build_directory):
    """Build the binary as it is shipped."""
    return build(build_directory / "baobabwing")


@pytest.fixture(scope="session")
def probe(build_directory):
    """Build the same packages with an entry point that inspects its process."""
    options = ["--package", ROOT / "baobabwing", "--package", PAYLOAD]
    return build(build_directory / "probe", *options, "--entry", "payload.probe:main")
