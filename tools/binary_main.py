"""Entry point (``__main__``) of the zip application.

The dynamic linker can't load C extensions from inside a zip file, so each is
written to a temporary file, loaded, and the file removed.
"""

import sys

if sys.version_info[:2] != (3, 11):
    version = ".".join(map(str, sys.version_info[:2]))
    sys.exit(f"this program needs Python 3.11, not {version}: run it with python3.11")

import os
import tempfile
from importlib.machinery import ExtensionFileLoader, ModuleSpec

from binary_extensions import EXTENSIONS

PROGRAM = sys.path[0]


class TemporaryFileLoader(ExtensionFileLoader):
    """Loads C extensions from the zip application."""

    def create_module(self, spec):
        """Load the extension from a temporary file, which is then removed."""
        try:
            return self._load(spec)
        except (OSError, ImportError) as error:
            sys.exit(
                f"can't load {spec.name} from a temporary file ({error}): set TMPDIR "
                "to a folder that allows writing and executing files"
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
    """Finds the C extensions in the zip application."""

    @staticmethod
    def find_spec(name, path=None, target=None):
        """Return the spec of an extension, or ``None`` for other modules."""
        if name not in EXTENSIONS:
            return None
        return ModuleSpec(name, TemporaryFileLoader(name, EXTENSIONS[name]))


sys.meta_path.append(ExtensionFinder)

from eelgrassmount.cmd.main import main  # noqa: E402

sys.exit(main())
