"""The faults of the soak, all injected from outside the affected processes.

Each fault is a function that takes a `soak.Soak` and the name of a process and returns
a `FaultInjection`. The decorator `fault` states which group of processes it affects and
for how long. Faults use signals, relays and limits on the size of written files.
"""

import asyncio
import dataclasses
import resource
import signal
import time

from brasstrail.fakes import fleet, fleetcalls
from brasstrail.tools import (
    soakcheck,
    soakcrowds,
    soakforeign,
    soaklimits,
    soakload,
    soakparts,
    soakrests,
    soakstreams,
)


@dataclasses.dataclass(frozen=True)
class FaultInjection:
    """The callables that begin and end a fault; `end` may return a coroutine.

    `interrupts_requests` is whether the process may break off requests in progress.
    """

    begin: object
    end: object
    interrupts_requests: bool = True


@dataclasses.dataclass(frozen=True)
class FaultKind:
    """A kind of fault, which affects one process of a group at a time.

    The duration is drawn between `min_duration_s` and `max_duration_s`, and is
    `min_duration_s` if the latter is not larger. With `requires_healthy_controls`, the
    fault is injected only while no control host is busy. `make_injection` returns
    the `FaultInjection` for a `soak.Soak` and a process name.
    """

    name: str
    group: str
    min_duration_s: float
    max_duration_s: float
    make_injection: object
    requires_healthy_controls: bool = False

    async def inject(self, soak):
        """Inject the fault into a process that is not busy, wait, and end it.

        Does nothing if every process of the group is busy, see `soak.Soak`.
        """
        if self.requires_healthy_controls and not soak.are_controls_healthy():
            return
        process = soak.reserve_process(soak.process_names(self.group))
        if process is None:
            return
        injection = self.make_injection(soak, process)
        seconds = self.min_duration_s
        if self.max_duration_s > self.min_duration_s:
            seconds = soak.random.uniform(self.min_duration_s, self.max_duration_s)
        await soak.disturb(self.name, process, seconds, injection)


# Coroutine functions that inject a fault into a `soak.Soak`, by the fault's name.
FAULTS = {}


def fault(
    name, group, min_duration_s, max_duration_s=0.0, requires_healthy_controls=False
):
    """Return a decorator that registers a function making a `FaultInjection`.

    The function takes a `soak.Soak` and the name of a process.
    """

    def register(make_injection):
        kind = FaultKind(
            name,
            group,
            min_duration_s,
            max_duration_s,
            make_injection,
            requires_healthy_controls,
        )
        FAULTS[name] = kind.inject
        return make_injection

    return register


def cluster_fault(name):
    """Return a decorator that registers a fault which affects no single process.

    The decorated coroutine function takes a `soak.Soak` and the name of the fault.
    """

    def register(function):
        async def inject(soak):
            await function(soak, name)

        FAULTS[name] = inject
        return function

    return register


# Processes.


def killed(soak, name):
    """Return the fault that kills a daemon and starts it again."""
    running = soak.running
    return FaultInjection(lambda: running.kill(name), lambda: running.start(name))


def frozen(soak, name):
    """Return the fault that suspends a process and lets it continue."""
    running = soak.running
    return FaultInjection(lambda: running.suspend(name), lambda: running.resume(name))


def stopped(soak, name, start):
    """Return the fault that asks a process to stop and restarts it once it has ended.

    `start` is called with the name of the process.
    """
    return FaultInjection(
        lambda: soak.running.request_stop(name),
        lambda: soak.restart_after_exit(name, start),
        interrupts_requests=False,
    )


# Faults are drawn by position, so their order determines the run of a seed. Add new
# faults at the end.

fault("kill a gateway", "gateway", 0.2, 3.0)(killed)


@fault("stop a gateway", "gateway", 0.1)
def stop_gateway(soak, name):
    return stopped(soak, name, soak.running.start)


fault("freeze a gateway", "gateway", 0.5, 8.0)(frozen)


@fault("reload a daemon", "daemon", 0.0)
def reload_daemon(soak, name):
    return FaultInjection(
        lambda: soak.running.reload(name), lambda: None, interrupts_requests=False
    )


fault("kill a control host", "control", 0.2, 4.0)(killed)


@fault(
    "lose the disk of a control host", "control", 0.5, requires_healthy_controls=True
)
def lose_disk(soak, name):
    def begin():
        soak.running.kill(name)
        soak.running.delete_data_folder(name)

    return FaultInjection(begin, lambda: soak.running.start(name))


@cluster_fault("kill all control hosts")
async def kill_all_controls(soak, kind):
    if not soak.are_controls_healthy():
        return
    names = soak.process_names("control")
    soak.busy.update(names)
    seconds = {name: soak.random.uniform(0.3, 1.0) for name in names}
    await asyncio.gather(
        *(soak.disturb(kind, name, seconds[name], killed(soak, name)) for name in names)
    )


fault("freeze a control host", "control", 0.5, 6.0)(frozen)


@fault("cut a control host off", "control", 1.0, 6.0)
def cut_control(soak, name):
    relay = soak.running.relays[name]
    cut_direction = soak.random.choice(("both", "silent_in", "silent_out"))

    def begin():
        for direction in ("silent_in", "silent_out"):
            setattr(relay, direction, cut_direction in ("both", direction))

    return FaultInjection(begin, relay.restore)


@fault("refuse what a control host writes", "control", 0.5, 4.0)
def refuse_writes(soak, name):
    pid = soak.running.processes[name].pid
    _, hard_limit_bytes = resource.prlimit(pid, resource.RLIMIT_FSIZE)

    def set_size_limit(size_bytes):
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size_bytes, hard_limit_bytes))

    return FaultInjection(
        lambda: set_size_limit(0), lambda: set_size_limit(hard_limit_bytes)
    )


@fault("reset connections to a control host", "control", 0.0)
def reset_control(soak, name):
    return FaultInjection(soak.running.relays[name].reset_connections, lambda: None)


@fault("kill a server", "server", 0.2, 4.0)
def kill_server(soak, name):
    return FaultInjection(
        lambda: soak.running.kill(name), lambda: soak.start_server(name)
    )


@fault("release a server", "server", 0.1)
def release_server(soak, name):
    return stopped(soak, name, soak.start_server)


fault("freeze a server", "server", 0.5, 5.0)(frozen)


@fault("break the way to a server", "server", 0.2, 4.0)
def break_server_connections(soak, name):
    relay = soak.running.relays[name]
    begin = soak.random.choice(
        (relay.reset_connections, relay.close_connections, relay.drop_traffic)
    )
    return FaultInjection(begin, relay.restore)


@fault("delay the way to a server", "server", 1.0, 5.0)
def delay_server_connections(soak, name):
    relay = soak.running.relays[name]

    def set_delay(seconds):
        relay.delay_s = seconds

    return FaultInjection(lambda: set_delay(0.3), lambda: set_delay(0.0))


@cluster_fault("a burst of calls")
async def burst(soak, kind):
    soak.fault_counts[kind] += 1
    await soak.load.burst(soak.random.uniform(1.0, 4.0))


@cluster_fault("repeat a request that ends its servers")
async def repeat_fatal_request(soak, kind):
    soak.fault_counts[kind] += 1
    draw = soak.random
    request = soakload.FatalRequest(
        f"{soak.options.seed}-{soak.fault_counts[kind]}",
        draw.choice(sorted(fleetcalls.ROUTES)),
        draw.choice(sorted(fleet.ENDINGS)),
        draw.choice((("key-steady",), ("key-steady", "key-small"))),
        draw.choice((1, 1, soak.options.gateways)),
    )
    await soak.load.repeat_fatal_request(request, draw.uniform(8.0, 16.0))


@fault("break off the answers of a server", "server", 1.0, 5.0)
def break_answers(soak, name):
    def toggle():
        if soak.running.is_running(name):
            soak.running.processes[name].send_signal(signal.SIGUSR1)

    return FaultInjection(toggle, toggle)


def change_version(soak, name):
    """Make a server's next start one of another version."""
    others = set(soakstreams.VERSIONS) - {soak.server_versions[name]}
    soak.server_versions[name] = soak.random.choice(sorted(others))


@fault("release a server to another version", "engine", 0.1)
def release_to_another_version(soak, name):
    change_version(soak, name)
    return stopped(soak, name, soak.start_server)


@fault("restart a server at another version", "engine", 0.05, 2.0)
def restart_at_another_version(soak, name):
    change_version(soak, name)
    return FaultInjection(
        lambda: soak.running.kill(name), lambda: soak.start_server(name)
    )


@cluster_fault("kill gateways one after another")
async def kill_gateways_in_turn(soak, kind):
    kills = []
    for name in soak.process_names("gateway"):
        if name not in soak.busy:
            soak.busy.add(name)
            kill = soak.disturb(kind, name, 0.2, killed(soak, name))
            kills.append(asyncio.ensure_future(kill))
            await asyncio.sleep(soak.random.uniform(0.5, 2.0))
    await asyncio.gather(*kills)


@cluster_fault("send prompts with a part that ends servers")
async def send_fatal_part(soak, kind):
    seconds = soak.random.uniform(12.0, 20.0)
    if soak.fatal_parts >= soakparts.MAX_FATAL_PARTS:
        return
    soak.fault_counts[kind] += 1
    soak.fatal_parts += 1
    part = soakparts.draw_fatal_part(soak, soak.fault_counts[kind], seconds)
    await soakparts.repeat_fatal_part(soak.load, part, seconds)
    soak.fatal_parts -= 1


@fault("limit a server", "server", 8.0, 16.0)
def limit_server(soak, name):
    path = soak.folder / f"{name}.limit"
    rate_per_s = soak.random.choice(soaklimits.RATES_PER_S)

    def begin():
        path.write_text(f"{rate_per_s}")

    return FaultInjection(begin, path.unlink, interrupts_requests=False)


@fault("send answers without an end", "server", 2.0, 8.0)
def send_endless_answers(soak, name):
    path = soak.folder / f"{name}.endless"
    return FaultInjection(path.touch, path.unlink)


@cluster_fault("send documents in quick succession")
async def send_storm(soak, kind):
    soak.fault_counts[kind] += 1
    await soak.load.send_storm(soak.random.uniform(2.0, 6.0))


# How long all processes are gone when everything is lost, over which time they return,
# and how long no other fault comes after that: until the users' bound can be checked.
DOWN_S = (0.5, 1.5)
RETURN_SPREAD_S = 3.0
QUIET_AFTER_RETURN_S = 15.0


@cluster_fault("lose everything, and a disk")
async def lose_everything(soak, kind):
    """Kill all processes within 5 to 400 ms of a change; one disk is gone.

    They return at once or one after the other, and one of them may be killed again. The
    fault waits for all others to end, and no other fault begins before its end.
    """
    if soak.is_reserved:
        return
    soak.is_reserved = True
    await wait_for_others(soak)
    soak.fault_counts[kind] += 1
    change = asyncio.ensure_future(soak.load.send_next_document())
    await asyncio.sleep(soak.random.uniform(0.005, 0.4))
    await kill_all(soak)
    await change
    soak.is_reserved = False


async def wait_for_others(soak):
    """Wait until all other faults have ended."""
    others = soak.fault_tasks - {asyncio.current_task()}
    if others:
        await asyncio.wait(others)


async def kill_all(soak, disk_host=None):
    """Kill all processes, with one disk gone, and let them return; wait for calm.

    The disk is that of the control host `disk_host`, or of any one.
    """
    names = [*soak.process_names("daemon"), *soak.process_names("server")]
    soak.busy.update(names)
    index, begin_at = len(soak.observations.faults), time.time()
    soak.observations.faults += [
        soakcheck.Fault(name, begin_at, float("inf")) for name in names
    ]
    for name in names:
        soak.running.kill(name)
    if disk_host is None:
        disk_host = soak.random.choice(soak.process_names("control"))
    soak.running.delete_data_folder(disk_host)
    await asyncio.sleep(soak.random.uniform(*DOWN_S))
    await return_all(soak, names)
    back_at = time.time()
    for number, name in enumerate(names, index):
        soak.observations.faults[number] = soakcheck.Fault(
            name, begin_at, back_at + soakcheck.CONTACT_LIMIT_S
        )
    soak.observations.returns.append((back_at, back_at + QUIET_AFTER_RETURN_S))
    await asyncio.sleep(QUIET_AFTER_RETURN_S)
    soak.busy.difference_update(names)


async def return_all(soak, names):
    """Start all processes again, at once or spread over some seconds."""
    spread_s = soak.random.choice((0.0, RETURN_SPREAD_S))
    order = soak.random.sample(names, len(names))
    for name in order:
        start_process(soak, name)
        await asyncio.sleep(soak.random.uniform(0.0, 2.0) * spread_s / len(names))
    if soak.random.random() < 0.3:
        again = soak.random.choice(soak.process_names("daemon"))
        await asyncio.sleep(soak.random.uniform(0.1, 1.0))
        soak.running.kill(again)
        start_process(soak, again)


def start_process(soak, name):
    """Start a daemon or a backend server."""
    is_server = name in soak.server_arguments
    (soak.start_server if is_server else soak.running.start)(name)


@fault("ask for rest", "server", 3.0, 12.0)
def ask_for_rest(soak, name):
    path = soak.folder / f"{name}.rest"
    seconds = soak.random.choice(soakrests.REST_SECONDS)

    def begin():
        path.write_text(seconds)

    # The fault at all servers uses the same file.
    return FaultInjection(
        begin, lambda: path.unlink(missing_ok=True), interrupts_requests=False
    )


@cluster_fault("ask for rest at all servers")
async def ask_for_rest_everywhere(soak, kind):
    soak.fault_counts[kind] += 1
    seconds = soak.random.choice(soakrests.REST_SECONDS)
    paths = [soak.folder / f"{name}.rest" for name in soak.process_names("server")]
    free = [path for path in paths if not path.exists()]
    for path in free:
        path.write_text(seconds)
    await asyncio.sleep(soak.random.uniform(3.0, 8.0))
    for path in free:
        path.unlink(missing_ok=True)


@fault("say that a server leaves", "server", 2.0, 8.0)
def say_that_server_leaves(soak, name):
    """Let a server say that it leaves, while it announces itself as ready, and end."""
    path = soak.folder / f"{name}.leaving"

    def end():
        path.unlink()
        soak.running.kill(name)
        soak.start_server(name)

    return FaultInjection(path.touch, end)


@fault("write earlier answers once more", "server", 3.0, 10.0)
def write_earlier_answers(soak, name):
    path = soak.folder / f"{name}.earlier"
    return FaultInjection(path.touch, path.unlink)


@cluster_fault("break streams off and fail their rest")
async def fail_rest_of_streams(soak, kind):
    """Let servers of streams break new ones off and answer for the rest with errors.

    Servers that have another fault are left out.
    """
    names = [each for each in soak.process_names("engine") if each not in soak.busy]
    soak.busy.update(names)
    seconds = soak.random.uniform(3.0, 8.0)
    paths = [soak.folder / f"{name}.failing" for name in names]
    await asyncio.gather(
        *(
            soak.disturb(kind, name, seconds, FaultInjection(path.touch, path.unlink))
            for name, path in zip(names, paths, strict=True)
        )
    )


@cluster_fault("callers with many connections leave at once")
async def crowd_leaves(soak, kind):
    """Let some crowds leave, one after the other, each at one moment."""
    for _ in range(soak.random.randint(1, 3)):
        gateway = soak.random.choice(soak.process_names("gateway"))
        crowd = soakcrowds.Crowd(soak.load, gateway)
        soak.fault_counts[kind] += 1
        crowd.come()
        await asyncio.sleep(soak.random.uniform(*soakcrowds.STAY_S))
        crowd.leave()
        await crowd.wait()


@cluster_fault("stop a gateway while requests wait")
async def stop_with_crowd(soak, kind):
    """Stop a gateway at which more requests wait than its servers have places for."""
    name = soak.reserve_process(soak.process_names("gateway"))
    if name is None:
        return
    crowd = soakcrowds.Crowd(soak.load, name)
    crowd.come()
    await asyncio.sleep(soak.random.uniform(*soakcrowds.STAY_S))
    await soak.disturb(kind, name, 0.1, stopped(soak, name, soak.running.start))
    await crowd.wait()


# How long a report is under way that arrives after a withdrawal.
LATE_REPORT_S = (1.0, 6.0)


@cluster_fault("withdraw a server that has not been heard of, and report late")
async def report_first_after_withdrawal(soak, kind):
    """Let the first report of a server arrive after its withdrawal."""
    soak.fault_counts[kind] += 1
    phantom = soakforeign.Phantom(soak.load, f"u-{soak.fault_counts[kind]}")
    soak.observations.phantoms.append(phantom)
    await phantom.start()
    await asyncio.sleep(soak.random.uniform(*LATE_REPORT_S))
    await phantom.withdraw()
    await asyncio.sleep(soak.random.uniform(*LATE_REPORT_S))
    await phantom.report(1)


@cluster_fault("withdraw a server, lose everything, and report late")
async def report_late(soak, kind):
    """Let a report from before a withdrawal arrive after all processes were killed."""
    if soak.is_reserved:
        return
    soak.is_reserved = True
    await wait_for_others(soak)
    soak.fault_counts[kind] += 1
    phantom = soakforeign.Phantom(soak.load, f"p-{soak.fault_counts[kind]}")
    soak.observations.phantoms.append(phantom)
    await phantom.start()
    sequence = 1
    while not await phantom.report(sequence):
        await asyncio.sleep(0.1)
        sequence += 1
    await asyncio.sleep(soak.random.uniform(0.1, 1.0))
    await phantom.withdraw()
    killing = asyncio.ensure_future(kill_all(soak))
    await asyncio.sleep(soak.random.uniform(*LATE_REPORT_S))
    while not killing.done() and not await phantom.report(sequence + 1):
        await asyncio.sleep(0.1)
    await killing
    soak.is_reserved = False


# How long the replica of a lost disk is under repair before the next loss, and how
# long control hosts are gone then.
REPAIR_S = (0.0, 3.0)
RESTART_S = (0.1, 0.6)


@cluster_fault("lose a disk, and everything beside its repair")
async def lose_everything_beside_a_repair(soak, kind):
    """Lose a disk, and again with all control hosts, and with all processes at last.

    The later losses come before the host's new replica need be a voter.
    """
    if soak.is_reserved:
        return
    soak.is_reserved = True
    await wait_for_others(soak)
    soak.fault_counts[kind] += 1
    controls = soak.process_names("control")
    soak.busy.update(controls)
    disk_host = soak.random.choice(controls)
    change = asyncio.ensure_future(soak.load.send_next_document())
    await asyncio.sleep(soak.random.uniform(0.005, 0.4))
    for names in ([disk_host], controls):
        await restart_controls(soak, names, disk_host)
        await asyncio.sleep(soak.random.uniform(*REPAIR_S))
    await kill_all(soak, disk_host)
    await change
    soak.is_reserved = False


async def restart_controls(soak, names, disk_host):
    """Kill control hosts together, delete a disk, and start them again."""
    begin_at = time.time()
    soak.observations.faults += [
        soakcheck.Fault(name, begin_at, begin_at + soakcheck.CONTACT_LIMIT_S)
        for name in names
    ]
    for name in names:
        soak.running.kill(name)
    soak.running.delete_data_folder(disk_host)
    await asyncio.sleep(soak.random.uniform(*RESTART_S))
    for name in soak.random.sample(names, len(names)):
        soak.running.start(name)
