"""The operators' API, served by control hosts.

Any control host serves it. Changes go through the replicated log. Reads are
confirmed by a quorum, so that a host that is cut off from it returns an error
instead of an old state.
"""

import asyncio
import dataclasses
import secrets

from brasstrail.core import clock, data, errors
from brasstrail.protocol import codec, commands
from brasstrail.roles import web

PROPOSAL_ATTEMPT_TIMEOUT_S = 1.0
QUORUM_TIMEOUT_S = 6.0
RETRY_DELAY_S = 0.05
IN_FORCE_TIMEOUT_S = 2.0


class Admin:
    """Serves the operators' calls through the control role.

    Parameters
    ----------
    hub : `hub.Hub` of the process.
    control : `control.Control` of the process.
    metrics : `metrics.Metrics` of the process.
    """

    def __init__(self, hub, control, metrics):
        self.hub = hub
        self.control = control
        self.metrics = metrics

    @property
    def ready(self):
        """Whether this host's replica has not failed and a leader is known."""
        replication = self.control.replication
        return replication.failed is None and bool(replication.leader_host)

    async def submit(self, command):
        """Propose a command until it is committed and return its result.

        Raises `errors.NoQuorum` after `QUORUM_TIMEOUT_S`; the command may still be
        committed later, so a repeat must have the same change id.
        """
        payload = codec.encode(codec.COMMAND, command)
        deadline = self.hub.loop.time() + QUORUM_TIMEOUT_S
        while self.hub.loop.time() < deadline:
            future = self.hub.loop.create_future()
            self.control.submit(payload, make_result_setter(future))
            outcome = await wait_for(future, PROPOSAL_ATTEMPT_TIMEOUT_S)
            if outcome is not None and outcome.committed:
                return codec.decode(codec.RESULT, outcome.result)
            await asyncio.sleep(RETRY_DELAY_S)
        raise no_quorum()

    async def read_barrier(self):
        """Wait until this host has applied all that was committed before the call.

        Returns the leader's `messages.ReadIndex`. Raises `errors.NoQuorum` after
        `QUORUM_TIMEOUT_S`.
        """
        deadline = self.hub.loop.time() + QUORUM_TIMEOUT_S
        while self.hub.loop.time() < deadline:
            reply = await self.control.read()
            if reply is not None and reply.index:
                await self.wait_applied(reply.index)
                return reply
            await asyncio.sleep(RETRY_DELAY_S)
        raise no_quorum()

    async def wait_applied(self, index):
        """Wait until this host has applied the log up to `index`.

        Raises `errors.NoQuorum` after `QUORUM_TIMEOUT_S`.
        """
        deadline = self.hub.loop.time() + QUORUM_TIMEOUT_S
        while self.control.machine.index < index:
            if self.hub.loop.time() > deadline:
                raise no_quorum()
            await asyncio.sleep(RETRY_DELAY_S)

    async def wait_until_in_force(self):
        """Wait until all members are current, for `IN_FORCE_TIMEOUT_S` at most.

        Returns the last `messages.ReadIndex`; its `behind` names the members that
        are not current.
        """
        deadline = self.hub.loop.time() + IN_FORCE_TIMEOUT_S
        while True:
            reply = await self.read_barrier()
            if not reply.behind or self.hub.loop.time() > deadline:
                return reply
            await asyncio.sleep(RETRY_DELAY_S)


def make_result_setter(future):
    """Return a function that sets a future's result, unless it is done."""

    def set_result_once(outcome):
        if not future.done():
            future.set_result(outcome)

    return set_result_once


async def wait_for(future, timeout_s):
    """Return a future's result, or None after `timeout_s`."""
    try:
        return await asyncio.wait_for(future, timeout_s)
    except asyncio.TimeoutError:
        return None


def no_quorum():
    """Return the error for a quorum that could not be reached."""
    return errors.NoQuorum(
        "No quorum of the control hosts answered in time.",
        "Look at `brasstrail status` on each control host; send a change again "
        "with the same change id.",
    )


class AdminHandler(web.Handler):
    """The base class of the handlers of operators' calls."""

    operators_only = True

    @property
    def view(self):
        """The view, up to the last log entry applied on this host."""
        return self.role.control.view


class ConfigHandler(AdminHandler):
    """GET and POST /admin/v1/config."""

    async def get(self):
        await self.role.read_barrier()
        self.write_json(dataclasses.asdict(self.view.config))

    async def post(self):
        change = self.read_change()
        result = await self.role.submit(change)
        if not result.applied:
            raise self.make_change_error(result)
        reply = await self.role.wait_until_in_force()
        self.role.metrics.count("config_changes")
        self.write_json(
            {
                "version": result.version,
                "change_id": change.change_id,
                "members": reply.members,
                "behind": list(reply.behind),
            }
        )

    def read_change(self):
        """Return the change in the request body, or raise a typed error."""
        read = self.read_record(self.read_json(), ChangeFields)
        fields = dict(vars(read))
        version = fields.pop("expected_version")
        change_id = fields.pop("change_id") or secrets.token_hex(8)
        return commands.ChangeConfig(
            change_id, version, self.token.name, clock.wall_ms(), **fields
        )

    def make_change_error(self, result):
        """Return the error for a change that was not applied."""
        if result.code == errors.Conflict.code:
            return errors.Conflict(
                f"{result.message} The change that stands is {result.winner!r}.",
                "Read the configuration, decide again and send its version.",
            )
        return errors.InvalidChange(
            result.message, "Correct what is named and send it again."
        )


@dataclasses.dataclass(frozen=True)
class ChangeFields:
    """The fields of a configuration change in a request body."""

    expected_version: int
    change_id: str = ""
    services: tuple[data.Service, ...] = ()
    classes: tuple[data.WorkClass, ...] = ()
    workspaces: tuple[data.Workspace, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_classes: tuple[str, ...] = ()
    removed_workspaces: tuple[str, ...] = ()


class ConfigStatusHandler(AdminHandler):
    """GET /admin/v1/config/status: the version, and the members not at it yet."""

    async def get(self):
        reply = await self.role.read_barrier()
        self.write_json(
            {
                "version": self.view.config.version,
                "members": reply.members,
                "behind": list(reply.behind),
            }
        )


class MembersHandler(AdminHandler):
    """GET /admin/v1/members."""

    async def get(self):
        await self.role.read_barrier()
        members = [dataclasses.asdict(item) for item in self.view.members.values()]
        self.write_json({"members": members})


class StatusHandler(AdminHandler):
    """GET /admin/v1/status: this host's own state, without a quorum's confirmation."""

    def get(self):
        control = self.role.control
        replication = control.replication
        node = replication.replica.raft
        self.write_json(
            {
                "name": self.role.hub.name,
                "cluster_id": self.view.cluster_id,
                "phase": str(replication.replica.phase),
                "role": str(node.role) if node else "none",
                "leader": replication.leader_host,
                "term": node.term if node else 0,
                "index": control.machine.index,
                "voters": [voter.name for voter in node.log.voters] if node else [],
                "learners": [item.name for item in node.log.learners] if node else [],
                "attached": sorted(control.attached),
                "keys": len(control.machine.ledger.records),
                "failed": str(replication.failed) if replication.failed else "",
            }
        )


class ExecutionHandler(AdminHandler):
    """GET /admin/v1/executions/WORKSPACE/KEY: the execution record of a key."""

    operators_only = False

    async def get(self, workspace, key):
        if self.token.workspace not in ("", workspace):
            raise errors.Forbidden(
                f"This token is not for workspace {workspace!r}.",
                f"Ask for keys of workspace {self.token.workspace!r}.",
            )
        await self.role.read_barrier()
        record = self.role.control.machine.ledger.find(workspace, key)
        if record is None:
            raise errors.NotFound(
                "There is no record of this key.",
                "No request with this key was received; sending one is safe.",
            )
        self.write_json(describe_execution(record))


def describe_execution(record):
    """Return an execution record as a mapping of JSON types."""
    dispatch = record.dispatch
    answer = record.answer
    return {
        "workspace": record.workspace,
        "key": record.key,
        "state": record.state,
        "updated_ms": record.updated_ms,
        "agent": dispatch.agent if dispatch else "",
        "dispatch_id": dispatch.dispatch_id if dispatch else "",
        "answer_status": answer.status if answer else None,
        "answer_kept": record.answer_kept,
    }


class SuspicionsHandler(AdminHandler):
    """GET /admin/v1/suspicions, and POST to lift one."""

    async def get(self):
        await self.role.read_barrier()
        items = [dataclasses.asdict(item) for item in self.view.suspicions.values()]
        self.write_json({"suspicions": items})

    async def post(self):
        fingerprint = str(self.read_json().get("fingerprint", ""))
        result = await self.role.submit(commands.LiftSuspicion(fingerprint))
        if not result.applied:
            raise errors.NotFound(
                "There is no such suspicion.", "List them with GET on this path."
            )
        self.write_json({"lifted": fingerprint})


class ReplicasHandler(AdminHandler):
    """POST /admin/v1/replicas with {"remove": HOST} or {"promote": HOST}."""

    async def post(self):
        table = self.read_json()
        node = self.role.control.replication.replica.raft
        if not self.role.control.replication.is_leader:
            raise errors.NoQuorum(
                "This control host does not lead.",
                f"Send it to {self.role.control.replication.leader_host!r}.",
            )
        voters, learners = change_replicas(node.log, table)
        if node.change_replicas(voters, learners) is None:
            raise errors.Conflict(
                "Another change of the replicas is under way.",
                "Send it again in a few seconds.",
            )
        self.role.control.replication.work_available.set()
        self.write_json({"voters": [voter.name for voter in voters]})


def change_replicas(log, table):
    """Return the voters and the learners after an operator's change.

    Raises `errors.NotFound` for a host without a replica, or without a learner to
    promote.
    """
    if "remove" in table:
        host = table["remove"]
        if data.find_by_name((*log.voters, *log.learners), host) is None:
            raise errors.NotFound(
                f"There is no replica on {host!r}.",
                "`brasstrail status` lists voters and learners.",
            )
        remaining_voters = tuple(voter for voter in log.voters if voter.name != host)
        learners = tuple(item for item in log.learners if item.name != host)
        return remaining_voters, learners
    host = table.get("promote", "")
    found = data.find_by_name(log.learners, host)
    if found is None:
        raise errors.NotFound(
            f"There is no learner {host!r}.",
            "`brasstrail status` lists voters and learners.",
        )
    learners = tuple(item for item in log.learners if item != found)
    return (*log.voters, found), learners


ROUTES = [
    (r"/admin/v1/config", ConfigHandler),
    (r"/admin/v1/config/status", ConfigStatusHandler),
    (r"/admin/v1/members", MembersHandler),
    (r"/admin/v1/status", StatusHandler),
    (r"/admin/v1/executions/([^/]+)/([^/]+)", ExecutionHandler),
    (r"/admin/v1/suspicions", SuspicionsHandler),
    (r"/admin/v1/replicas", ReplicasHandler),
]
