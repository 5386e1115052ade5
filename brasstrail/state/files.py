"""The few operations on files that durable state is built from.

All of them go through a `Files` object, so that tests can put a disk that is
full, slow or failing in its place. Each raises `errors.DiskFailed`.
"""

import contextlib
import os
import pathlib

from brasstrail.core import errors


@contextlib.contextmanager
def typed(path):
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

    def append(self, file, chunk):
        """Write bytes at the end of an open file; they are not durable yet."""
        rest = memoryview(chunk)
        with typed(file.name):
            while rest:
                rest = rest[file.write(rest) :]
            file.flush()

    def sync(self, file):
        """Make what was written to an open file durable."""
        with typed(file.name):
            os.fdatasync(file.fileno())

    def sync_folder(self, folder):
        """Make the creation and removal of files in a folder durable."""
        with typed(folder):
            handle = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)

    def replace(self, path, chunk):
        """Put a whole file in place, durably and at once."""
        path = pathlib.Path(path)
        draft = path.with_suffix(".new")
        with typed(path):
            with open(draft, "wb") as file:
                self.append(file, chunk)
                self.sync(file)
            os.replace(draft, path)
        self.sync_folder(path.parent)
