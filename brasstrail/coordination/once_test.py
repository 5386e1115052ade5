"""Stateful fuzz test of at-most-once execution, and related unit tests.

Callers repeatedly send requests with six keys through two entries, up to ten at
a time. Proposals are delayed, repeated, or lost before or after the commit.
Entries and agents crash and restart, backend servers crash before or after they
execute a request, and members that are still running are declared lost. The
oracle counts the executions on the backend servers.
"""

import collections
import dataclasses
import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from brasstrail.coordination import dispatches, once
from brasstrail.core import data, errors
from brasstrail.protocol import commands
from brasstrail.state import ledger
from brasstrail.tools import fuzzing

ENTRIES = ("e1", "e2")
AGENTS = ("a1", "a2")
KEYS = ("k1", "k2", "k3", "k4", "k5", "k6")
POSITIONS = st.integers(0, 1000)
WALK_EVENTS = 120
# The relative frequency of each event in a random walk.
EVENT_WEIGHTS = {
    "send": 8,
    "place_request": 16,
    "refuse": 5,
    "commit": 36,
    "commit_and_lose_the_answer": 4,
    "give_up_on_the_quorum": 2,
    "deliver": 16,
    "answer": 4,
    "dies before": 1,
    "dies after": 2,
    "unreachable": 3,
    "act_and_go_on": 2,
    "kill_agent": 1,
    "kill_entry": 1,
    "view_catches_up": 2,
    "declare_lost": 1,
}


def failed(ran):
    """Return the error of a dispatch that failed without an answer."""
    return errors.ServerFailed("It failed.", "Try again.", ran)


@dataclasses.dataclass
class Call:
    """One call with a request: its state machine and its pending action."""

    entry: str
    key: str
    machine: once.AtMostOnceRequest
    action: object
    agent: str = ""
    incarnation: int = 0


@dataclasses.dataclass
class Proposal:
    """A command in transit to the ledger; `on_result` is called with the result."""

    owner: object
    command: object
    on_result: object


@dataclasses.dataclass
class Job:
    """A dispatch that runs on an agent's backend server."""

    dispatch: data.Dispatch
    key: str
    call: Call
    executed: bool = False


class Agent:
    """One incarnation of an agent and the jobs on its backend server."""

    def __init__(self, name, incarnation):
        self.name = name
        self.dispatches = dispatches.DispatchHistory(incarnation)
        self.jobs = []
        self.inbox = []

    @property
    def incarnation(self):
        """The number of this incarnation."""
        return self.dispatches.incarnation


class World:
    """The simulated entries, agents, backend servers and ledger, and the oracle."""

    def __init__(self):
        self.ledger = ledger.Ledger()
        self.agents = {name: Agent(name, 1) for name in AGENTS}
        self.known_incarnations = {name: 1 for name in AGENTS}
        self.declared_lost = set()
        self.calls = []
        self.proposals = []
        self.dispatch_count = 0
        self.time_ms = 0
        self.acts = collections.Counter()
        self.receipts = {}
        self.final_actions = []
        self.callers_wait = True

    def clock(self):
        """Return the simulated time, which advances by 1 ms on each call."""
        self.time_ms += 1
        return self.time_ms

    # Calls.

    def send(self, entry, key):
        """Start a call with a request through an entry."""
        machine = once.AtMostOnceRequest(
            ("w", key),
            b"digest",
            self.is_incarnation_gone,
            lambda: self.callers_wait,
            self.clock,
        )
        call = Call(entry, key, machine, None)
        self.calls.append(call)
        self.perform(call, machine.begin())

    def is_incarnation_gone(self, dispatch):
        """Return whether the entries' view shows that an incarnation has ended."""
        lost = (dispatch.agent, dispatch.incarnation) in self.declared_lost
        return lost or self.known_incarnations[dispatch.agent] > dispatch.incarnation

    def send_event(self, call, event):
        """Pass an event to a call, unless the call has ended or its entry crashed."""
        if call in self.calls:
            self.perform(call, call.machine.step(event))

    def perform(self, call, action):
        """Start an action, or check it if it is a final one."""
        call.action = action
        if isinstance(action, once.FINAL_ACTIONS):
            self.calls.remove(call)
            self.check_final_action(call, action)
        elif isinstance(action, once.Propose):
            self.propose(call, action.command, call)
        elif isinstance(action, once.LookUp):
            self.propose(call, None, call)
        elif isinstance(action, once.Start):
            self.start(call, action.dispatch)
        elif isinstance(action, once.Revoke):
            self.send_to_agent(action.dispatch.agent, call, action.dispatch, "revoke")

    def propose(self, owner, command, call):
        """Queue a command for the ledger, or a look-up if `command` is None."""

        def on_result(result):
            self.send_event(call, result)

        self.proposals.append(Proposal(owner, command, on_result))

    def start(self, call, dispatch):
        """Send a dispatch to the current incarnation of its agent."""
        call.agent = dispatch.agent
        self.send_to_agent(dispatch.agent, call, dispatch, "start")

    def send_to_agent(self, name, call, dispatch, kind):
        """Queue a message for an agent."""
        self.agents[name].inbox.append((call, dispatch, kind))

    # The ledger.

    def commit(self, proposal, answered):
        """Apply a proposal. If its result is lost, it stays queued to be repeated."""
        if proposal.command is None:
            record = self.ledger.find("w", self.key_of(proposal))
            result = once.Result(record)
        else:
            outcome = self.ledger.apply(proposal.command)
            result = once.Result(outcome.record, outcome.applied, outcome.code)
        if answered:
            self.proposals.remove(proposal)
            proposal.on_result(result)

    def key_of(self, proposal):
        """Return the key of a look-up."""
        return proposal.owner.key

    # Agents.

    def deliver(self, agent):
        """Process the next message of an agent."""
        call, dispatch, kind = agent.inbox.pop(0)
        if kind == "revoke":
            revoked = agent.dispatches.revoke_if_unstarted(
                dispatch.dispatch_id, dispatch.incarnation
            )
            self.send_event(call, once.RevokeResult(revoked))
            return
        refusal = agent.dispatches.rejection_reason(
            dispatch.dispatch_id, dispatch.incarnation
        )
        if refusal is not None:
            assert refusal != dispatches.ALREADY_STARTED
            self.send_event(call, once.Ended(failed(data.RunStatus.NOT_RUN)))
            return
        agent.dispatches.record_started(dispatch.dispatch_id)
        agent.jobs.append(Job(dispatch, call.key, call))

    def finish(self, agent, job, how):
        """End a job on a backend server in the way that `how` names."""
        names = ("w", job.key, job.dispatch.dispatch_id)
        if how == "answer" and not job.executed:
            self.run(job)
            answer = data.Answer(201, (), job.dispatch.dispatch_id.encode())
            command = commands.Settle(*names, answer, self.clock())
            self.record_outcome(agent, job, command, once.Ended())
        elif how == "dies before":
            command = commands.Doubt(*names, self.clock())
            self.record_outcome(
                agent, job, command, once.Ended(failed(data.RunStatus.UNKNOWN))
            )
        elif how == "dies after" and not job.executed:
            self.run(job)
            command = commands.Doubt(*names, self.clock())
            self.record_outcome(
                agent, job, command, once.Ended(failed(data.RunStatus.UNKNOWN))
            )
        elif how == "unreachable" and not job.executed:
            command = commands.Release(*names, self.clock())
            self.record_outcome(
                agent, job, command, once.Ended(failed(data.RunStatus.NOT_RUN))
            )

    def run(self, job):
        """Execute the job on the backend server and record its receipt."""
        job.executed = True
        self.acts[job.key] += 1
        self.receipts[job.key] = job.dispatch.dispatch_id.encode()

    def record_outcome(self, agent, job, command, event):
        """Have the agent propose an outcome; the call gets `event` after the commit."""
        agent.jobs.remove(job)

        def on_result(result):
            self.send_event(job.call, event)

        self.proposals.append(Proposal(agent, command, on_result))

    def kill_agent(self, name):
        """Crash an agent and start its next incarnation."""
        old = self.agents[name]
        self.agents[name] = Agent(name, old.incarnation + 1)
        self.proposals = [item for item in self.proposals if item.owner is not old]
        for call in list(self.calls):
            started = isinstance(call.action, once.Start)
            if started and call.agent == name:
                self.send_event(call, once.Ended(failed(data.RunStatus.UNKNOWN)))
            elif isinstance(call.action, once.Revoke):
                if call.action.dispatch.agent == name:
                    self.send_event(call, once.RevokeResult(False))

    def kill_entry(self, name):
        """Crash an entry, which loses its calls and their proposals."""
        gone = [item for item in self.calls if item.entry == name]
        self.calls = [item for item in self.calls if item.entry != name]
        self.proposals = [item for item in self.proposals if item.owner not in gone]

    # The oracle.

    def check_final_action(self, call, action):
        """Check a final action against the number of executions."""
        acts = self.acts[call.key]
        self.final_actions.append((call.key, action))
        if isinstance(action, once.Replay):
            body = action.record.answer.body
            assert acts == 1 and body == self.receipts[call.key], (
                "replayed answer of another execution"
            )
        elif isinstance(action, once.Complete):
            assert acts == 1, "answer delivered, but not executed exactly once"
        elif action.error.ran == data.RunStatus.NOT_RUN:
            assert acts == 0, "the error says not_run, but the request was executed"


class OnceMachine(RuleBasedStateMachine):
    """All events in any order."""

    @initialize()
    def start(self):
        self.world = World()

    @rule(seed=st.integers(0, 10**6))
    def random_walk(self, seed):
        """Run many events, mostly without faults, in an order set by the seed."""
        draw = random.Random(seed)
        names, weights = zip(*EVENT_WEIGHTS.items(), strict=True)
        for _ in range(WALK_EVENTS):
            self.apply_event(draw.choices(names, weights)[0], draw)
            self.nothing_runs_twice()

    def apply_event(self, name, draw):
        """Apply one event of a random walk."""
        position, agent = draw.randrange(1000), draw.choice(AGENTS)
        if name == "send":
            self.send(draw.choice(ENTRIES), draw.choice(KEYS))
        elif name == "place_request":
            self.place_request(position, agent, draw.random() < 0.2)
        elif name == "give_up_on_the_quorum":
            self.give_up_on_the_quorum(position, draw.random() < 0.5)
        elif name == "kill_entry":
            self.kill_entry(draw.choice(ENTRIES))
        elif name in ("answer", "dies before", "dies after", "unreachable"):
            self.finish_job(agent, position, name)
        elif name in ("refuse", "commit", "commit_and_lose_the_answer"):
            getattr(self, name)(position)
        elif name == "act_and_go_on":
            self.act_and_go_on(agent, position)
        else:
            getattr(self, name)(agent)

    def pick(self, items, position):
        """Return the item at `position`, modulo the count, or None if empty."""
        items = list(items)
        return items[position % len(items)] if items else None

    def calls_waiting_for(self, kind):
        """Return the calls whose pending action is of the given kind."""
        return [item for item in self.world.calls if isinstance(item.action, kind)]

    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def send(self, entry, key):
        if len(self.world.calls) < 10:
            self.world.send(entry, key)

    @rule(position=POSITIONS, agent=st.sampled_from(AGENTS), stale=st.booleans())
    def place_request(self, position, agent, stale):
        call = self.pick(self.calls_waiting_for(once.Submit), position)
        if call is None:
            return
        world = self.world
        world.dispatch_count += 1
        incarnation = world.agents[agent].incarnation
        if stale:
            incarnation = world.known_incarnations[agent]
        dispatch = data.Dispatch(f"d{world.dispatch_count}", agent, incarnation)
        world.send_event(call, once.Placed(dispatch))

    @rule(position=POSITIONS)
    def refuse(self, position):
        call = self.pick(self.calls_waiting_for(once.Submit), position)
        if call is not None:
            error = errors.not_run(errors.Overloaded, "Full.", "Later.")
            self.world.send_event(call, once.Refused(error))

    @rule(position=POSITIONS)
    def commit(self, position):
        proposal = self.pick(self.world.proposals, position)
        if proposal is not None:
            self.world.commit(proposal, answered=True)

    @rule(position=POSITIONS)
    def commit_and_lose_the_answer(self, position):
        proposal = self.pick(self.world.proposals, position)
        if proposal is not None:
            self.world.commit(proposal, answered=False)

    @rule(position=POSITIONS, late=st.booleans())
    def give_up_on_the_quorum(self, position, late):
        """Make an entry stop waiting for a proposal.

        If `late`, its command may still be committed later.
        """
        owners = [item for item in self.world.proposals if isinstance(item.owner, Call)]
        proposal = self.pick(owners, position)
        if proposal is None:
            return
        if not late or proposal.command is None:
            self.world.proposals.remove(proposal)
        call = proposal.owner
        proposal.on_result = lambda result: None
        proposal.owner = None
        error = errors.NoQuorum("None.", "Again.", data.RunStatus.UNKNOWN)
        self.world.send_event(call, once.NoQuorum(error))

    @rule(agent=st.sampled_from(AGENTS))
    def deliver(self, agent):
        if self.world.agents[agent].inbox:
            self.world.deliver(self.world.agents[agent])

    @rule(
        agent=st.sampled_from(AGENTS),
        position=POSITIONS,
        how=st.sampled_from(["answer", "dies before", "dies after", "unreachable"]),
    )
    def finish_job(self, agent, position, how):
        instance = self.world.agents[agent]
        job = self.pick(instance.jobs, position)
        if job is not None:
            self.world.finish(instance, job, how)

    @rule(agent=st.sampled_from(AGENTS), position=POSITIONS)
    def act_and_go_on(self, agent, position):
        """Execute a job without reporting it; the agent may crash before it does."""
        job = self.pick(self.world.agents[agent].jobs, position)
        if job is not None and not job.executed:
            self.world.run(job)

    @rule(agent=st.sampled_from(AGENTS))
    def kill_agent(self, agent):
        self.world.kill_agent(agent)

    @rule(entry=st.sampled_from(ENTRIES))
    def kill_entry(self, entry):
        self.world.kill_entry(entry)

    @rule(agent=st.sampled_from(AGENTS))
    def view_catches_up(self, agent):
        self.world.known_incarnations[agent] = self.world.agents[agent].incarnation

    @rule(agent=st.sampled_from(AGENTS))
    def declare_lost(self, agent):
        """Declare an agent lost that is still running but unreachable."""
        instance = self.world.agents[agent]
        self.world.declared_lost.add((agent, instance.incarnation))

    @invariant()
    def nothing_runs_twice(self):
        if not hasattr(self, "world"):
            return
        for key, count in self.world.acts.items():
            assert count <= 1, f"key {key} ran {count} times"

    def teardown(self):
        """Check that all calls, and one new call per key, end without faults."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for key in KEYS:
            world.send("e1", key)
        for _ in range(200):
            self.run_faultless_step()
        world.callers_wait = False
        for _ in range(100):
            self.run_faultless_step()
        assert not world.calls, "a caller still waits after the faults ended"

    def run_faultless_step(self):
        """Advance all agents, jobs and proposals by one step without faults."""
        world = self.world
        for agent in AGENTS:
            self.view_catches_up(agent)
            self.deliver(agent)
            for job in list(world.agents[agent].jobs):
                if job.executed:
                    self.settle_executed_job(world.agents[agent], job)
                else:
                    world.finish(world.agents[agent], job, "answer")
        self.place_request(0, "a1", False)
        self.commit(0)

    def settle_executed_job(self, agent, job):
        """Propose the answer of a job that the backend server has executed."""
        names = ("w", job.key, job.dispatch.dispatch_id)
        answer = data.Answer(201, (), job.dispatch.dispatch_id.encode())
        command = commands.Settle(*names, answer, self.world.clock())
        self.world.record_outcome(agent, job, command, once.Ended())


OnceFuzz = OnceMachine.TestCase
OnceFuzz.settings = settings(fuzzing.SETTINGS, max_examples=150, stateful_step_count=40)


class RefusalTest(unittest.TestCase):
    """A refusal reports `not_run` only after a confirmed read of the record."""

    def refuse(self, record):
        """Return the final action of a call refused while the ledger has `record`."""
        machine = once.AtMostOnceRequest(
            ("w", "k"), b"d", lambda dispatch: False, lambda: True, lambda: 0
        )
        machine.begin()
        received_record = data.Execution(
            "w", "k", b"d", data.ExecutionState.RECEIVED, 0
        )
        self.assertIsInstance(machine.step(once.Result(received_record)), once.Submit)
        error = errors.Overloaded("Full.", "Later.")
        action = machine.step(once.Refused(error))
        self.assertEqual(action, once.LookUp(wait=False))
        return machine.step(once.Result(record))

    def test_nothing_was_dispatched(self):
        received_record = data.Execution(
            "w", "k", b"d", data.ExecutionState.RECEIVED, 0
        )
        self.assertEqual(self.refuse(received_record).error.ran, data.RunStatus.NOT_RUN)

    def test_another_call_ran(self):
        answered = data.Execution("w", "k", b"d", data.ExecutionState.ANSWERED, 0)
        self.assertEqual(self.refuse(answered), once.Replay(answered))


class DispatchesTest(unittest.TestCase):
    """The rules for starting and revoking dispatches on an agent."""

    def test_started_dispatch_is_never_revoked(self):
        memory = dispatches.DispatchHistory(7)
        memory.record_started("d")
        self.assertFalse(memory.revoke_if_unstarted("d", 7))

    def test_revoked_dispatch_is_never_started(self):
        memory = dispatches.DispatchHistory(7)
        self.assertTrue(memory.revoke_if_unstarted("d", 7))
        self.assertEqual(memory.rejection_reason("d", 7), dispatches.REVOKED)

    def test_dispatch_of_another_incarnation_is_neither_revoked_nor_started(self):
        memory = dispatches.DispatchHistory(7)
        self.assertFalse(memory.revoke_if_unstarted("d", 6))
        self.assertEqual(memory.rejection_reason("d", 6), dispatches.OTHER_INCARNATION)

    def test_nothing_is_revoked_once_a_start_was_forgotten(self):
        memory = dispatches.DispatchHistory(7, max_remembered=2)
        for number in range(3):
            memory.record_started(f"d{number}")
        self.assertFalse(memory.revoke_if_unstarted("d0", 7))


if __name__ == "__main__":
    unittest.main()
