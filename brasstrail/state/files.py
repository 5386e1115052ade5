"""The file operations that durable storage uses.

They are methods of a `Files` object, so that tests can replace it by one that
behaves like a full, slow or failing disk. A failed operation raises
`errors.DiskFailed`.
"""

import contextlib
import os
import pathlib

from brasstrail.core import errors


@contextlib.contextmanager
def translate_os_errors(path):
    """Raise `errors.DiskFailed` in place of an `OSError` from the body."""
    try:
        yield
    except OSError as error:
        raise errors.DiskFailed(
            f"{path}: {error.strerror}.",
            "Free space or replace the disk; a process that runs then goes on.",
        ) from error


class Files:
    """File operations on the operating system's file system."""

    def append(self, file, content):
        """Append bytes to an open file; they are not durable until `sync`."""
        remaining = memoryview(content)
        with translate_os_errors(file.name):
            while remaining:
                remaining = remaining[file.write(remaining) :]
            file.flush()

    def sync(self, file):
        """Make the data written to an open file durable."""
        with translate_os_errors(file.name):
            os.fdatasync(file.fileno())

    def sync_folder(self, folder):
        """Make the creation and removal of files in a folder durable."""
        with translate_os_errors(folder):
            descriptor = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def remove(self, path):
        """Remove a file if it exists; that may come undone until `sync_folder`."""
        with translate_os_errors(path):
            pathlib.Path(path).unlink(missing_ok=True)

    def rename(self, path, target):
        """Rename a file; that may come undone until `sync_folder`."""
        with translate_os_errors(path):
            os.replace(path, target)

    def replace(self, path, content):
        """Create or replace a file atomically and durably."""
        path = pathlib.Path(path)
        temporary_path = path.with_suffix(".new")
        with translate_os_errors(path):
            with open(temporary_path, "wb") as file:
                self.append(file, content)
                self.sync(file)
        self.rename(temporary_path, path)
        self.sync_folder(path.parent)
