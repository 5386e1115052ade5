"""A cluster of real processes on loopback, for demonstrations and measurements.

`Cluster` writes settings files, starts daemons and fake backend servers as
processes, and sends HTTP requests to them. Failures can be injected: it can kill,
suspend and restart processes, delete data folders, and drop the traffic to a
process.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import orjson
from tornado import httpclient

from brasstrail.tools import ports, relay

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 20.0
# The default time limit of an HTTP request.
CALL_TIMEOUT_S = 60.0
SECRET = "secret-of-a-test-cluster"
# The limit on simultaneous HTTP requests; Tornado queues further ones.
MAX_CLIENTS = 2000


@dataclasses.dataclass(frozen=True)
class NodeSpec:
    """A daemon to run.

    `extra_settings` is TOML text that is appended to the last table of the
    settings; port names in braces are replaced by port numbers. `relayed` states
    whether the other processes connect to the daemon through a relay.
    """

    name: str
    roles: tuple[str, ...]
    data_centre: str = "dc-1"
    region: str = "region-1"
    extra_settings: str = ""
    relayed: bool = True


@dataclasses.dataclass(frozen=True)
class ServerSpec:
    """A fake backend server and the daemon that serves as its agent.

    `agent` is the name of that daemon, `kind` is "model" or "plain", and `options`
    are further command-line options of the fake.
    """

    agent: str
    kind: str
    service: str
    options: tuple[str, ...] = ()


SETTINGS_TEMPLATE = """
[node]
name = "{name}"
roles = {roles}
region = "{region}"
data_centre = "{data_centre}"
peer_port = {peer}
peer_address = "127.0.0.1:{relay}"
[cluster]
name = "test"
secret = "{secret}"
seeds = {seeds}
"""
ENTRY_TEMPLATE = '[entry]\nhttp_port = {http}\npolicy = "{policy}"\n'
AGENT_TEMPLATE = "[agent]\nannounce_port = {announce}\n"
CONTROL_TEMPLATE = (
    '[control]\nadmin_port = {admin}\ndata_folder = "{folder}"\n'
    "initial_replicas = {replicas}\n"
)
GATEWAY_TEMPLATE = (
    '[gateway]\nhttp_address = "127.0.0.1:{http}"\n'
    'ready_address = "127.0.0.1:{ready}"\n'
)
# The ports that are allocated for each daemon, under the names by which templates and
# `NodeSpec.extra_settings` refer to them. `server_relay` is not used.
PORT_NAMES = (
    "peer",
    "relay",
    "http",
    "ready",
    "announce",
    "admin",
    "document",
    "server",
    "server_relay",
)


class Cluster:
    """The processes of a cluster.

    Parameters
    ----------
    folder : directory for settings files, process logs and data folders.
    nodes : the daemons, as `NodeSpec`s.
    servers : the fake backend servers, as `ServerSpec`s.
    policy : scheduling policy of the entries.
    relayed : put a relay in front of every peer port whose `NodeSpec` allows it,
        so that traffic to that port can be dropped.

    Use it as an asynchronous context manager: it starts all processes on entry and
    stops them on exit.
    """

    def __init__(self, folder, nodes, servers, policy="granted", relayed=True):
        self.folder = pathlib.Path(folder)
        self.nodes = {node.name: node for node in nodes}
        self.servers = {server.agent: server for server in servers}
        self.policy = policy
        self.relayed = relayed
        allocator = self.port_allocator = ports.PortAllocator()
        self.ports = {
            name: {each: allocator.allocate() for each in PORT_NAMES}
            for name in self.nodes
        }
        for name, node_ports in self.ports.items():
            # Seeds and peers connect to the port named `relay` in either case.
            if not self.is_reached_through_relay(name):
                node_ports["relay"] = node_ports["peer"]
        self.processes = {}
        self.relays = {}
        self.stack = contextlib.ExitStack()
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def __aenter__(self):
        for name in filter(self.is_reached_through_relay, self.nodes):
            node_ports = self.ports[name]
            await self.add_relay(name, node_ports["relay"], node_ports["peer"])
        for name in self.nodes:
            self.start(name)
        for name in self.servers:
            self.start_server(name)
        return self

    async def __aexit__(self, *exception_info):
        for name in list(self.processes):
            self.request_stop(name)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            await self.wait_for_exit(process, deadline)
        self.stack.close()

    def is_reached_through_relay(self, name):
        """Return whether the other processes connect to a daemon through a relay."""
        return self.relayed and self.nodes[name].relayed

    async def add_relay(self, name, port, target_port):
        """Relay connections from one port to another until the cluster stops."""
        tcp_relay = relay.Relay(port, target_port)
        await tcp_relay.start()
        self.stack.callback(tcp_relay.close)
        self.relays[name] = tcp_relay

    def request_stop(self, name):
        """Send SIGTERM to a running process; resume it first if it is suspended."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()

    async def wait_for_exit(self, process, deadline):
        """Wait for a process to exit; kill it at the deadline (monotonic time)."""
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            process.kill()
            process.wait()

    def nodes_with_role(self, role):
        """Return the names of the daemons that have a role."""
        return [name for name, node in self.nodes.items() if role in node.roles]

    # Processes.

    def start(self, name):
        """Write the settings file of a daemon and start it."""
        path = self.folder / f"{name}.toml"
        path.write_text(self.make_settings(name))
        self.run(name, "brasstrail.roles.daemon", "--settings", path)

    def make_settings(self, name):
        """Return a daemon's settings as TOML text."""
        node = self.nodes[name]
        control_hosts = self.nodes_with_role("control")
        seeds = [f"127.0.0.1:{self.ports[each]['relay']}" for each in control_hosts]
        values = {
            **self.ports[name],
            "name": name,
            "roles": list(node.roles),
            "region": node.region,
            "data_centre": node.data_centre,
            "secret": SECRET,
            "seeds": seeds,
            "policy": self.policy,
            "folder": self.data_folder(name),
            "replicas": control_hosts,
        }
        text = SETTINGS_TEMPLATE
        templates = (
            ("entry", ENTRY_TEMPLATE),
            ("agent", AGENT_TEMPLATE),
            ("control", CONTROL_TEMPLATE),
            ("gateway", GATEWAY_TEMPLATE),
        )
        for role, template in templates:
            if role in node.roles:
                text += template
        return (text + node.extra_settings).format(**values)

    def data_folder(self, name):
        """Return the path of a daemon's data folder."""
        return self.folder / f"{name}-data"

    def start_server(self, name):
        """Start the fake backend server whose agent is the named daemon."""
        spec = self.servers[name]
        node_ports = self.ports[name]
        self.run(
            f"server-{name}",
            f"brasstrail.fakes.{'engine' if spec.kind == 'model' else 'plain'}",
            "--port",
            node_ports["server"],
            "--announce",
            f"http://127.0.0.1:{node_ports['announce']}",
            "--service",
            spec.service,
            *spec.options,
        )

    def run(self, name, module, *arguments):
        """Run a Python module as a process and append its output to `NAME.log`."""
        log = self.stack.enter_context(open(self.folder / f"{name}.log", "ab"))
        command = [sys.executable, "-m", module, *map(str, arguments)]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def kill(self, name):
        """Send SIGKILL to a process and wait for its exit."""
        process = self.processes[name]
        process.kill()
        process.wait()

    def is_running(self, name):
        """Return whether a process has not exited; suspended counts as running."""
        return self.processes[name].poll() is None

    def suspend(self, name):
        """Suspend a process with SIGSTOP."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def reload(self, name):
        """Make a daemon reload its settings file, by SIGHUP."""
        self.processes[name].send_signal(signal.SIGHUP)

    def delete_data_folder(self, name):
        """Delete the data folder of a daemon that is not running."""
        shutil.rmtree(self.data_folder(name), ignore_errors=True)

    def memory_bytes(self, name):
        """Return the resident set size of a process in bytes."""
        pid = self.processes[name].pid
        pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def cpu_seconds(self, name):
        """Return the user and system CPU time that a process has used, in seconds."""
        pid = self.processes[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
        ticks = sum(map(int, fields.split()[11:13]))
        return ticks / os.sysconf("SC_CLK_TCK")

    # HTTP requests.

    async def fetch(self, port, path, body=None, timeout_s=CALL_TIMEOUT_S, **options):
        """Return the response to a request; status 599 if none was received."""
        options.setdefault("method", "GET" if body is None else "POST")
        request = httpclient.HTTPRequest(
            f"http://127.0.0.1:{port}{path}",
            body=body,
            request_timeout=timeout_s,
            connect_timeout=2.0,
            **options,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except httpclient.HTTPError as error:
            return httpclient.HTTPResponse(request, error.code, reason=str(error))

    async def call_admin(self, name, path, payload=None, timeout_s=10.0):
        """Return a control host's response to an operator request."""
        body = None if payload is None else orjson.dumps(payload)
        port = self.ports[name]["admin"]
        return await self.fetch(port, f"/admin/v1{path}", body, timeout_s)

    async def call_server(self, name, path, payload=None):
        """Return a fake backend server's JSON response, or None unless it is a 200."""
        body = None if payload is None else orjson.dumps(payload)
        reply = await self.fetch(self.ports[name]["server"], path, body, 5.0)
        return orjson.loads(reply.body) if reply.code == 200 else None

    async def apply_config(self, payload):
        """Apply a configuration change through the first control host that accepts it.

        Raises `RuntimeError` if none accepted it within `START_TIMEOUT_S`.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            for name in self.nodes_with_role("control"):
                reply = await self.call_admin(name, "/config", payload)
                if reply.code == 200:
                    return orjson.loads(reply.body)
            if time.monotonic() > deadline:
                raise RuntimeError(f"no control host accepted the change: {reply.body}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until(self, condition, description, timeout_s=START_TIMEOUT_S):
        """Wait until an asynchronous condition is true.

        Raises `RuntimeError`, which names the description, at the time-out.
        """
        deadline = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{description} took longer than {timeout_s} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_ready(self):
        """Wait until every entry lists every backend server."""
        for name in self.nodes_with_role("entry"):
            await self.wait_until(lambda each=name: self.sees_all_servers(each), name)

    async def sees_all_servers(self, name):
        """Return whether an entry lists every backend server, none of them leaving."""
        port = self.ports[name]["http"]
        reply = await self.fetch(port, "/admin/v1/servers", timeout_s=2.0)
        if reply.code != 200:
            return False
        rows = orjson.loads(reply.body)["servers"]
        open_rows = [row for row in rows if "service" in row and not row["leaving"]]
        return len(open_rows) == len(self.servers)
