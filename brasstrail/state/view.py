"""The part of the replicated state that every process holds.

It consists of the configuration, the members (the processes of the system, not the
replicas of the log) and the suspected requests. Control
hosts hold it as part of the complete state. Other processes receive a snapshot and
then the commands that change it. Both apply commands with this class, so their
views cannot diverge.
"""

import collections
import dataclasses

from brasstrail.core import data, errors
from brasstrail.protocol import commands, messages, snapshots
from brasstrail.state import configuration

MAX_REMEMBERED_CHANGES = 100_000


class View:
    """The configuration, the members and the suspected requests.

    Attributes
    ----------
    index : the index of the last log entry that changed the view for members.
    member_change_count : the number of changes to the members so far.
    changes : the results of the last `MAX_REMEMBERED_CHANGES` configuration
        changes, by change id.
    last_change : the operator and the id of the last applied change.
    """

    def __init__(self):
        self.cluster_id = ""
        self.index = 0
        self.config = data.Config()
        self.members = {}
        self.member_change_count = 0
        self.suspicions = {}
        self.changes = collections.OrderedDict()
        self.last_change = ""

    def restore(self, snapshot):
        """Replace the view by a `messages.ViewSnapshot`."""
        self.cluster_id = snapshot.cluster_id
        self.index = snapshot.index
        self.config = snapshot.config
        self.members = {member.name: member for member in snapshot.members}
        self.member_change_count += 1
        self.suspicions = {item.fingerprint: item for item in snapshot.suspicions}

    def snapshot(self):
        """Return the view as a `messages.ViewSnapshot`."""
        return messages.ViewSnapshot(
            self.cluster_id,
            self.index,
            self.config,
            tuple(self.members.values()),
            tuple(self.suspicions.values()),
        )

    def handles(self, command):
        """Return whether the view executes a command."""
        return type(command) in HANDLERS

    def is_relevant_to_members(self, command):
        """Return whether a command must be sent to the members.

        A change of only a member's epoch, when it attaches to another control host,
        is not sent: when a control host fails, that would flood all members.
        """
        if not self.handles(command):
            return False
        if not isinstance(command, commands.AddMember):
            return True
        known = self.members.get(command.member.name)
        if known is None:
            return True
        return dataclasses.replace(known, epoch=command.member.epoch) != command.member

    def apply(self, command):
        """Apply a command and return its result."""
        return HANDLERS[type(command)](self, command)

    def found_cluster(self, command):
        """Set the cluster's identity, unless it is set already."""
        if self.cluster_id:
            return commands.Plain(False)
        self.cluster_id = command.cluster_id
        return commands.Plain(True)

    def change_config(self, change):
        """Apply an operator's change, or return the result of the same change id."""
        remembered = self.changes.get(change.change_id)
        if remembered is not None:
            return remembered
        result = self.apply_new_change(change)
        self.changes[change.change_id] = result
        while len(self.changes) > MAX_REMEMBERED_CHANGES:
            self.changes.popitem(last=False)
        return result

    def apply_new_change(self, change):
        """Apply a change with a new change id and return its result."""
        version = self.config.version
        if change.expected_version != version:
            return commands.ConfigResult(
                False,
                version,
                self.index,
                self.last_change,
                errors.Conflict.code,
                f"The version is {version}, not {change.expected_version}.",
            )
        try:
            self.config = configuration.apply_change(self.config, change)
        except errors.InvalidChange as error:
            return commands.ConfigResult(
                False, version, self.index, self.last_change, error.code, error.message
            )
        self.last_change = f"{change.operator} {change.change_id}"
        return commands.ConfigResult(
            True, self.config.version, self.index, self.last_change
        )

    def add_member(self, command):
        """Add or replace a member, unless a later incarnation or epoch is recorded."""
        known = self.members.get(command.member.name)
        if known is not None and incarnation_and_epoch(known) > incarnation_and_epoch(
            command.member
        ):
            return commands.Plain(False)
        self.members[command.member.name] = command.member
        self.member_change_count += 1
        return commands.Plain(True)

    def remove_member(self, command):
        """Remove a member, unless it has restarted or attached again since."""
        known = self.members.get(command.name)
        if known is None or incarnation_and_epoch(known) != (
            command.incarnation,
            command.epoch,
        ):
            return commands.Plain(False)
        del self.members[command.name]
        self.member_change_count += 1
        return commands.Plain(True)

    def suspect(self, command):
        """Record that a request ran on a backend server that crashed.

        The command names the server by its agent.
        """
        known = self.suspicions.get(command.fingerprint)
        servers = known.servers if known else ()
        if command.server not in servers:
            servers = (*servers, command.server)
        self.suspicions[command.fingerprint] = data.Suspicion(
            command.fingerprint, servers, command.now_ms
        )
        return commands.Plain(True)

    def lift(self, command):
        """Remove the suspicion of a request."""
        suspicion = self.suspicions.pop(command.fingerprint, None)
        return commands.Plain(suspicion is not None)

    def count_crashed_servers(self, fingerprint):
        """Return how many backend servers crashed while they ran a request."""
        suspicion = self.suspicions.get(fingerprint)
        return len(suspicion.servers) if suspicion else 0

    def find_agents(self, service):
        """Return the members that are agents of a service's backend servers."""
        return [
            member
            for member in self.members.values()
            if "agent" in member.roles and member.service == service
        ]

    def remembered_changes(self):
        """Return the remembered results of changes as records."""
        return tuple(
            snapshots.ChangeMemory(change_id, result)
            for change_id, result in self.changes.items()
        )


def incarnation_and_epoch(member):
    """Return the incarnation and the epoch of a member, for comparison."""
    return member.incarnation, member.epoch


HANDLERS = {
    commands.FoundCluster: View.found_cluster,
    commands.ChangeConfig: View.change_config,
    commands.AddMember: View.add_member,
    commands.RemoveMember: View.remove_member,
    commands.Suspect: View.suspect,
    commands.LiftSuspicion: View.lift,
}
