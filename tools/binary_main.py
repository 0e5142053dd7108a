"""Start of the one-file program; it stands in the file as ``__main__``.

The file is a zip application. Python imports its modules from inside the file,
but the C library loads C extensions from files only: each is written to a
temporary file, loaded, and removed again at once.
"""

import sys

if sys.version_info[:2] != (3, 11):
    version = ".".join(map(str, sys.version_info[:2]))
    sys.exit(f"this file needs Python 3.11, not {version}: start it by python3.11")

import os
import tempfile
from importlib.machinery import ExtensionFileLoader, ModuleSpec

from binary_extensions import EXTENSIONS

PROGRAM = sys.path[0]


class TemporaryFileLoader(ExtensionFileLoader):
    """Loads one C extension out of the program file."""

    def create_module(self, spec):
        """Load the extension; its file is gone when this returns."""
        try:
            return self._load(spec)
        except (OSError, ImportError) as error:
            sys.exit(
                f"can't load {spec.name} by a temporary file ({error}): set TMPDIR to "
                "a folder where files can be written and executed"
            )

    def _load(self, spec):
        content = __loader__.get_data(os.path.join(PROGRAM, self.path))
        handle, spec.origin = tempfile.mkstemp(suffix=".so")
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(content)
            return super().create_module(spec)
        finally:
            os.unlink(spec.origin)


class ExtensionFinder:
    """Finds the C extensions that are part of the program file."""

    @staticmethod
    def find_spec(name, path=None, target=None):
        """Return the spec of an extension, or ``None`` for other modules."""
        if name not in EXTENSIONS:
            return None
        return ModuleSpec(name, TemporaryFileLoader(name, EXTENSIONS[name]))


sys.meta_path.append(ExtensionFinder)

from eelgrassmount.cmd.main import main  # noqa: E402

sys.exit(main())
