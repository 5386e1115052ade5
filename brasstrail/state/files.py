"""The few operations on files that durable state is built from.

All of them go through a `Files` object, so that tests can put a disk that is
full, slow or failing in its place. Each raises `errors.DiskFailed`.
"""

import contextlib
import os
import pathlib

from brasstrail.core import errors


@contextlib.contextmanager
def translate_os_errors(path):
    """Turn an operating system's error into a typed one."""
    try:
        yield
    except OSError as error:
        raise errors.DiskFailed(
            f"{path}: {error.strerror}.",
            "Free space or replace the disk, then start the process again.",
        ) from error


class Files:
    """Files of the operating system."""

    def append(self, file, content):
        """Write bytes at the end of an open file; they are not durable yet."""
        remaining = memoryview(content)
        with translate_os_errors(file.name):
            while remaining:
                remaining = remaining[file.write(remaining) :]
            file.flush()

    def sync(self, file):
        """Make what was written to an open file durable."""
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

    def replace(self, path, content):
        """Put a whole file in place, durably and at once."""
        path = pathlib.Path(path)
        temporary_path = path.with_suffix(".new")
        with translate_os_errors(path):
            with open(temporary_path, "wb") as file:
                self.append(file, content)
                self.sync(file)
            os.replace(temporary_path, path)
        self.sync_folder(path.parent)
