"""A simulated disk that loses power, and a process that ends between any two steps.

After a power loss a file holds what its last sync covered. Each later write is kept,
lost or torn by itself, or all of them are gone. Names that were made, renamed or
removed come undone, each by itself, unless their folder was synced afterwards; a new
file's name becomes durable with the first sync of the file.
"""

import dataclasses
import os
import pathlib

from brasstrail.state import files


class PowerLost(Exception):
    """The process ended before the operation that raised this."""


@dataclasses.dataclass
class FileState:
    """The synced content of a file, and the (offset, bytes) written after it."""

    synced: bytes = b""
    writes: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class NameChange:
    """A removed or renamed name that a sync of the folder makes durable.

    `new_name` is empty if the name was removed.
    """

    name: str
    new_name: str
    state: FileState


class PowerLossDisk(files.Files):
    """File operations in one folder that can lose power.

    The files themselves are real, so that a process that only restarts reads what was
    written. Subfolders are not simulated.

    Parameters
    ----------
    folder : the folder, which need not exist yet.
    random : a `random.Random`, which decides what a power loss destroys.

    Attributes
    ----------
    steps : how many operations were carried out.
    last_step : the number of operations after which `PowerLost` is raised, or None.
    """

    def __init__(self, folder, random):
        self.folder = pathlib.Path(folder)
        self.random = random
        self.steps = 0
        self.last_step = None
        self.states = {}
        self.durable = {}
        self.changes = []

    def step(self):
        """Count an operation, or end the process before it."""
        if self.last_step is not None and self.steps >= self.last_step:
            raise PowerLost()
        self.steps += 1

    def append(self, file, content):
        """Write bytes that a power loss may keep, lose or tear."""
        self.step()
        name = pathlib.Path(file.name).name
        offset = os.fstat(file.fileno()).st_size
        super().append(file, content)
        state = self.states.setdefault(name, FileState())
        state.writes.append((offset, bytes(content)))

    def sync(self, file):
        """Make the content of a file durable, and its name if it is new."""
        self.step()
        path = pathlib.Path(file.name)
        state = self.states.setdefault(path.name, FileState())
        state.synced, state.writes = path.read_bytes(), []
        self.durable.setdefault(path.name, state)

    def sync_folder(self, folder):
        """Make all removed and renamed names durable."""
        self.step()
        for change in self.changes:
            apply_change(self.durable, change)
        self.changes = []

    def remove(self, path):
        """Remove a file; that may come undone."""
        self.step()
        super().remove(path)
        self.record_change(path.name, "")

    def rename(self, path, target):
        """Rename a file; that may come undone."""
        self.step()
        os.replace(path, target)
        in_folder = target.parent == self.folder
        self.record_change(path.name, target.name if in_folder else "")

    def record_change(self, name, new_name):
        """Record that a name was removed, or renamed if `new_name` is not empty."""
        state = self.states.pop(name, None)
        if state is None:
            return
        if new_name:
            self.states[new_name] = state
        self.changes.append(NameChange(name, new_name, state))

    def replace(self, path, content):
        """Create or replace a file by the steps of `files.Files.replace`."""
        path = pathlib.Path(path)
        temporary_path = path.with_suffix(".new")
        self.states.pop(temporary_path.name, None)
        with open(temporary_path, "wb") as file:
            self.append(file, content)
            self.sync(file)
        self.rename(temporary_path, path)
        self.sync_folder(path.parent)

    def lose_power(self):
        """Put the folder into a state that it may have after a power loss."""
        names = dict(self.durable)
        for name, state in self.states.items():
            if name not in names and self.is_kept():
                names[name] = state
        for change in self.changes:
            if self.is_kept():
                apply_change(names, change)
        keeps_writes = self.is_kept()
        contents = {
            name: self.surviving_content(state, keeps_writes)
            for name, state in names.items()
        }
        for path in self.folder.glob("*.*"):
            path.unlink()
        for name, content in contents.items():
            (self.folder / name).write_bytes(content)
        self.states = {name: FileState(each) for name, each in contents.items()}
        self.durable = dict(self.states)
        self.changes = []
        self.last_step = None

    def surviving_content(self, state, keeps_writes):
        """Return what is left of a file."""
        content = bytearray(state.synced)
        for offset, written in state.writes if keeps_writes else ():
            fate = self.random.choice(("kept", "lost", "torn"))
            if fate == "lost":
                continue
            if fate == "torn":
                written = written[: self.random.randrange(len(written))]
            content.extend(bytes(max(0, offset - len(content))))
            content[offset : offset + len(written)] = written
        return bytes(content)

    def is_kept(self):
        """Decide whether something that is not durable survives."""
        return self.random.random() < 0.5


def apply_change(names, change):
    """Apply a change of a name to a table of states by name."""
    if names.get(change.name) is change.state:
        del names[change.name]
    if change.new_name:
        names[change.new_name] = change.state
