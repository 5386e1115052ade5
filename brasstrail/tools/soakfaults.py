"""The faults of the soak, all from outside of the processes that they befall.

Each is a function of a `soak.Soak` and the name of a process that returns how it begins
and ends; the decorator says which processes it befalls and for how long. Signals,
relays and limits on written files do the work.
"""

import asyncio
import dataclasses
import resource


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """How a fault begins and ends; `end` may return a coroutine.

    `ends_answers` is whether the process may break off what it serves.
    """

    begin: object
    end: object
    ends_answers: bool = True


@dataclasses.dataclass(frozen=True)
class Kind:
    """A fault that befalls one process of a group.

    `shortest_s` and `longest_s` bound how long it lasts. With `needs_quorum` it comes
    only while all control hosts are well.
    """

    name: str
    group: str
    shortest_s: float
    longest_s: float
    make: object
    needs_quorum: bool = False

    async def bring(self, soak):
        """Bring the fault about, wait, and end it."""
        if self.needs_quorum and not soak.is_quorum_safe():
            return
        process = soak.pick(soak.names(self.group))
        if process is None:
            return
        made = self.make(soak, process)
        seconds = self.shortest_s
        if self.longest_s > self.shortest_s:
            seconds = soak.random.uniform(self.shortest_s, self.longest_s)
        await soak.disturb(self.name, process, seconds, made)


FAULTS = {}


def fault(name, group, shortest_s, longest_s=0.0, needs_quorum=False):
    """Register a function that makes the `Disturbance` of a process."""

    def register(make):
        kind = Kind(name, group, shortest_s, longest_s, make, needs_quorum)
        FAULTS[name] = kind.bring
        return make

    return register


def whole_fault(name):
    """Register a coroutine function of a `Soak` that befalls no single process."""

    def register(function):
        async def bring(soak):
            await function(soak, name)

        FAULTS[name] = bring
        return function

    return register


# Processes.


def killed(soak, name):
    """Return the disturbance of a daemon that is killed and started again."""
    running = soak.running
    return Disturbance(lambda: running.kill(name), lambda: running.start(name))


def frozen(soak, name):
    """Return the disturbance of a process that is stopped for a while."""
    running = soak.running
    return Disturbance(lambda: running.suspend(name), lambda: running.resume(name))


def stopped(soak, name, start):
    """Return the disturbance of a process that is told to stop and ends by itself."""
    return Disturbance(
        lambda: soak.running.request_stop(name),
        lambda: soak.restart_when_ended(name, start),
        ends_answers=False,
    )


# The order is part of what a seed means: new faults go to the end.

fault("kill a gateway", "gateway", 0.2, 3.0)(killed)


@fault("stop a gateway", "gateway", 0.1)
def stop_gateway(soak, name):
    return stopped(soak, name, soak.running.start)


fault("freeze a gateway", "gateway", 0.5, 8.0)(frozen)


@fault("reload a daemon", "daemon", 0.0)
def reload_daemon(soak, name):
    return Disturbance(
        lambda: soak.running.reload(name), lambda: None, ends_answers=False
    )


fault("kill a control host", "control", 0.2, 4.0)(killed)


@fault("lose the disk of a control host", "control", 0.5, needs_quorum=True)
def lose_disk(soak, name):
    def begin():
        soak.running.kill(name)
        soak.running.delete_data_folder(name)

    return Disturbance(begin, lambda: soak.running.start(name))


@whole_fault("kill all control hosts")
async def kill_all_controls(soak, kind):
    if not soak.is_quorum_safe():
        return
    names = soak.names("control")
    soak.busy.update(names)
    seconds = {name: soak.random.uniform(0.3, 1.0) for name in names}
    await asyncio.gather(
        *(soak.disturb(kind, name, seconds[name], killed(soak, name)) for name in names)
    )


fault("freeze a control host", "control", 0.5, 6.0)(frozen)


@fault("cut a control host off", "control", 1.0, 6.0)
def cut_control(soak, name):
    way = soak.running.relays[name]
    how = soak.random.choice(("both", "silent_in", "silent_out"))

    def begin():
        for direction in ("silent_in", "silent_out"):
            setattr(way, direction, how in ("both", direction))

    return Disturbance(begin, way.restore)


@fault("refuse what a control host writes", "control", 0.5, 4.0)
def refuse_writes(soak, name):
    pid = soak.running.processes[name].pid
    _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE)

    def limit(size):
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, most))

    return Disturbance(lambda: limit(0), lambda: limit(most))


@fault("reset connections to a control host", "control", 0.0)
def reset_control(soak, name):
    return Disturbance(soak.running.relays[name].reset_connections, lambda: None)


@fault("kill a server", "server", 0.2, 4.0)
def kill_server(soak, name):
    return Disturbance(lambda: soak.running.kill(name), lambda: soak.start_server(name))


@fault("release a server", "server", 0.1)
def release_server(soak, name):
    return stopped(soak, name, soak.start_server)


fault("freeze a server", "server", 0.5, 5.0)(frozen)


@fault("break the way to a server", "server", 0.2, 4.0)
def break_way(soak, name):
    way = soak.running.relays[name]
    begin = soak.random.choice(
        (way.reset_connections, way.close_connections, way.drop_traffic)
    )
    return Disturbance(begin, way.restore)


@fault("delay the way to a server", "server", 1.0, 5.0)
def delay_way(soak, name):
    way = soak.running.relays[name]

    def delay(seconds):
        way.delay_s = seconds

    return Disturbance(lambda: delay(0.3), lambda: delay(0.0))


@whole_fault("a burst of calls")
async def burst(soak, kind):
    soak.happened[kind] += 1
    await soak.load.burst(soak.random.uniform(1.0, 4.0))
