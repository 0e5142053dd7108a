"""Builds the zip application ``dist/eelgrassmount``."""

from __future__ import annotations

import importlib.machinery
import py_compile
import re
import shutil
import sys
import zipfile
from importlib.metadata import distribution
from pathlib import Path
from typing import TYPE_CHECKING

import fire

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parent.parent
LOCK = ROOT / "requirements-runtime.lock"
OUTPUT = ROOT / "dist" / "eelgrassmount"
INTERPRETER = "/usr/bin/env python3.11"

_PINNED = re.compile(r"^([a-zA-Z0-9._-]+)==([^ ]+)", re.MULTILINE)
_EXCLUDED_SUFFIXES = (".pyi", ".pyx", ".pxd", ".c", ".h", ".pyc", "RECORD", "INSTALLER")
# A fixed timestamp makes builds reproducible.
_TIMESTAMP = (1980, 1, 1, 0, 0, 0)
_EXTENSION_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)


def build(output: str = str(OUTPUT), stored: bool = False) -> None:
    """Build the program from the installed packages that the lock file names.

    Args:
        output: Where the file is written.
        stored: Do not compress the modules.
    """
    target = Path(output)
    staging = ROOT / "build" / "binary"
    shutil.rmtree(staging, ignore_errors=True)
    target.parent.mkdir(parents=True, exist_ok=True)
    _copy_sources(staging)
    _write_extensions(staging)
    _compile_modules(staging)
    shutil.copy(ROOT / "tools" / "binary_main.py", staging / "__main__.py")
    _write_archive(staging, target, stored)
    print(f"{target}: {target.stat().st_size} bytes")


def _copy_sources(staging: Path) -> None:
    for source, name in _list_sources():
        destination = staging / name
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(source, destination)


def _list_sources() -> Iterator[tuple[Path, str]]:
    """Yield each file of the program with its name in the archive."""
    for path in sorted((ROOT / "eelgrassmount").rglob("*.py")):
        yield path, str(path.relative_to(ROOT))
    for name, version in _PINNED.findall(LOCK.read_text()):
        package = distribution(name)
        if package.version != version:
            raise SystemExit(
                f"{name} {package.version} is installed, but {version} is locked: "
                "remove .venv and build again"
            )
        for file in package.files or ():
            if ".." not in file.parts and not file.name.endswith(_EXCLUDED_SUFFIXES):
                yield Path(file.locate()), str(file)


def _write_extensions(staging: Path) -> None:
    extensions = {}
    for path in sorted(staging.rglob("*.so")):
        name = str(path.relative_to(staging))
        suffix = next(s for s in _EXTENSION_SUFFIXES if name.endswith(s))
        extensions[name.removesuffix(suffix).replace("/", ".")] = name
    text = f'"""The C extensions of the program."""\n\nEXTENSIONS = {extensions!r}\n'
    (staging / "binary_extensions.py").write_text(text)


def _compile_modules(staging: Path) -> None:
    """Replace each module by its bytecode, which shortens the start."""
    for path in sorted(staging.rglob("*.py")):
        py_compile.compile(
            str(path),
            cfile=f"{path}c",
            dfile=str(path.relative_to(staging)),
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        path.unlink()


def _write_archive(staging: Path, target: Path, stored: bool) -> None:
    method = zipfile.ZIP_STORED if stored else zipfile.ZIP_DEFLATED
    with target.open("wb") as file:
        file.write(f"#!{INTERPRETER}\n".encode())
        with zipfile.ZipFile(file, "w", method) as archive:
            for path in sorted(filter(Path.is_file, staging.rglob("*"))):
                name = str(path.relative_to(staging))
                entry = zipfile.ZipInfo(name, _TIMESTAMP)
                entry.compress_type = method
                archive.writestr(entry, path.read_bytes())
    target.chmod(0o755)


if __name__ == "__main__":
    if sys.version_info[:2] != (3, 11):
        sys.exit("the program runs on Python 3.11 and must be built with it")
    fire.Fire(build)
