"""A fuzz of single execution: callers, entries, agents, servers and the ledger.

Two callers send requests with six keys through two entries, again and again.
Proposals are delayed, lost on the way there or back, and repeated. Entries and
agents die and start again; servers die before and after they act; members are
declared lost although they live. The oracle counts what the servers did.
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
PLACES = st.integers(0, 1000)
WALK_EVENTS = 120
# Each event of a random walk and how often it comes, relative to the others.
WALK = {
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
    """Return the error of a dispatch that brought no answer."""
    return errors.ServerFailed("It failed.", "Try again.", ran)


@dataclasses.dataclass
class Sending:
    """One sending of a request: its machine and what it waits for."""

    entry: str
    key: str
    machine: once.Once
    action: object
    agent: str = ""
    incarnation: int = 0


@dataclasses.dataclass
class Proposal:
    """A command on its way to the ledger; `tell` takes the result."""

    owner: object
    command: object
    tell: object


@dataclasses.dataclass
class Job:
    """A dispatch that runs at an agent's server."""

    dispatch: data.Dispatch
    key: str
    sending: Sending
    acted: bool = False


class Agent:
    """One life of an agent and what runs behind it."""

    def __init__(self, name, incarnation):
        self.name = name
        self.dispatches = dispatches.DispatchHistory(incarnation)
        self.jobs = []
        self.inbox = []

    @property
    def incarnation(self):
        """The incarnation of this life."""
        return self.dispatches.incarnation


class World:
    """Everything, and the oracle."""

    def __init__(self):
        self.ledger = ledger.Ledger()
        self.agents = {name: Agent(name, 1) for name in AGENTS}
        self.seen = {name: 1 for name in AGENTS}
        self.declared_lost = set()
        self.sendings = []
        self.proposals = []
        self.numbers = 0
        self.time_ms = 0
        self.acts = collections.Counter()
        self.receipts = {}
        self.ends = []
        self.patient = True

    def clock(self):
        """Return the time."""
        self.time_ms += 1
        return self.time_ms

    # Sendings.

    def send(self, entry, key):
        """Have a caller send a request through an entry."""
        machine = once.Once(
            ("w", key), b"digest", self.is_gone, lambda: self.patient, self.clock
        )
        sending = Sending(entry, key, machine, None)
        self.sendings.append(sending)
        self.act(sending, machine.begin())

    def is_gone(self, dispatch):
        """Return whether the view says that an incarnation is gone."""
        lost = (dispatch.agent, dispatch.incarnation) in self.declared_lost
        return lost or self.seen[dispatch.agent] > dispatch.incarnation

    def tell(self, sending, event):
        """Give a sending its event, if its entry still lives."""
        if sending in self.sendings:
            self.act(sending, sending.machine.step(event))

    def act(self, sending, action):
        """Begin to carry out an action."""
        sending.action = action
        if isinstance(action, once.ENDS):
            self.sendings.remove(sending)
            self.note_end(sending, action)
        elif isinstance(action, once.Propose):
            self.propose(sending, action.command, sending)
        elif isinstance(action, once.LookUp):
            self.propose(sending, None, sending)
        elif isinstance(action, once.Start):
            self.start(sending, action.dispatch)
        elif isinstance(action, once.Revoke):
            self.to_agent(action.dispatch.agent, sending, action.dispatch, "revoke")

    def propose(self, owner, command, sending):
        """Put a command, or a look-up, on its way to the ledger."""

        def tell(result):
            self.tell(sending, result)

        self.proposals.append(Proposal(owner, command, tell))

    def start(self, sending, dispatch):
        """Send a dispatch to whichever life of the agent there is."""
        sending.agent = dispatch.agent
        self.to_agent(dispatch.agent, sending, dispatch, "start")

    def to_agent(self, name, sending, dispatch, kind):
        """Put a message into the session with an agent."""
        self.agents[name].inbox.append((sending, dispatch, kind))

    # The ledger.

    def commit(self, proposal, answered):
        """Apply a proposal; its result may get lost, and it is then repeated."""
        if proposal.command is None:
            record = self.ledger.find("w", self.key_of(proposal))
            result = once.Result(record)
        else:
            outcome = self.ledger.apply(proposal.command)
            result = once.Result(outcome.record, outcome.applied, outcome.code)
        if answered:
            self.proposals.remove(proposal)
            proposal.tell(result)

    def key_of(self, proposal):
        """Return the key that a look-up is for."""
        return proposal.owner.key

    # Agents.

    def deliver(self, agent):
        """Have an agent take its next message."""
        sending, dispatch, kind = agent.inbox.pop(0)
        if kind == "revoke":
            certain = agent.dispatches.revoke_if_unstarted(
                dispatch.dispatch_id, dispatch.incarnation
            )
            self.tell(sending, once.RuledOut(certain))
            return
        refusal = agent.dispatches.rejection_reason(
            dispatch.dispatch_id, dispatch.incarnation
        )
        if refusal is not None:
            assert refusal != dispatches.ALREADY_STARTED
            self.tell(sending, once.Ended(failed(data.RunStatus.NOT_RUN)))
            return
        agent.dispatches.record_started(dispatch.dispatch_id)
        agent.jobs.append(Job(dispatch, sending.key, sending))

    def finish(self, agent, job, how):
        """Have a server end a job in one of the ways there are."""
        names = ("w", job.key, job.dispatch.dispatch_id)
        if how == "answer" and not job.acted:
            self.run(job)
            answer = data.Answer(201, (), job.dispatch.dispatch_id.encode())
            command = commands.Settle(*names, answer, self.clock())
            self.settle(agent, job, command, once.Ended())
        elif how == "dies before":
            command = commands.Doubt(*names, self.clock())
            self.settle(agent, job, command, once.Ended(failed(data.RunStatus.UNKNOWN)))
        elif how == "dies after" and not job.acted:
            self.run(job)
            command = commands.Doubt(*names, self.clock())
            self.settle(agent, job, command, once.Ended(failed(data.RunStatus.UNKNOWN)))
        elif how == "unreachable" and not job.acted:
            command = commands.Release(*names, self.clock())
            self.settle(agent, job, command, once.Ended(failed(data.RunStatus.NOT_RUN)))

    def run(self, job):
        """Have the server act."""
        job.acted = True
        self.acts[job.key] += 1
        self.receipts[job.key] = job.dispatch.dispatch_id.encode()

    def settle(self, agent, job, command, event):
        """Have the agent record an outcome and then tell the entry."""
        agent.jobs.remove(job)

        def tell(result):
            self.tell(job.sending, event)

        self.proposals.append(Proposal(agent, command, tell))

    def kill_agent(self, name):
        """End a life of an agent and begin the next."""
        old = self.agents[name]
        self.agents[name] = Agent(name, old.incarnation + 1)
        self.proposals = [item for item in self.proposals if item.owner is not old]
        for sending in list(self.sendings):
            started = isinstance(sending.action, once.Start)
            if started and sending.agent == name:
                self.tell(sending, once.Ended(failed(data.RunStatus.UNKNOWN)))
            elif isinstance(sending.action, once.Revoke):
                if sending.action.dispatch.agent == name:
                    self.tell(sending, once.RuledOut(False))

    def kill_entry(self, name):
        """Lose everything that an entry was about to do."""
        gone = [item for item in self.sendings if item.entry == name]
        self.sendings = [item for item in self.sendings if item.entry != name]
        self.proposals = [item for item in self.proposals if item.owner not in gone]

    # The oracle.

    def note_end(self, sending, action):
        """Check the final answer that a caller gets."""
        acts = self.acts[sending.key]
        self.ends.append((sending.key, action))
        if isinstance(action, once.Replay):
            body = action.record.answer.body
            assert acts == 1 and body == self.receipts[sending.key], "foreign answer"
        elif isinstance(action, once.Deliver):
            assert acts == 1, "an answer without an act"
        elif action.error.ran == data.RunStatus.NOT_RUN:
            assert acts == 0, "not_run is false"


class OnceMachine(RuleBasedStateMachine):
    """All of it in any order."""

    @initialize()
    def start(self):
        self.world = World()

    @rule(seed=st.integers(0, 10**6))
    def random_walk(self, seed):
        """Many events in an order drawn from a seed, most of them good ones."""
        draw = random.Random(seed)
        names, weights = zip(*WALK.items(), strict=True)
        for _ in range(WALK_EVENTS):
            self.happen(draw.choices(names, weights)[0], draw)
            self.nothing_runs_twice()

    def happen(self, name, draw):
        """Have one event of a random walk happen."""
        place, agent = draw.randrange(1000), draw.choice(AGENTS)
        if name == "send":
            self.send(draw.choice(ENTRIES), draw.choice(KEYS))
        elif name == "place_request":
            self.place_request(place, agent, draw.random() < 0.2)
        elif name == "give_up_on_the_quorum":
            self.give_up_on_the_quorum(place, draw.random() < 0.5)
        elif name == "kill_entry":
            self.kill_entry(draw.choice(ENTRIES))
        elif name in ("answer", "dies before", "dies after", "unreachable"):
            self.server(agent, place, name)
        elif name in ("refuse", "commit", "commit_and_lose_the_answer"):
            getattr(self, name)(place)
        elif name == "act_and_go_on":
            self.act_and_go_on(agent, place)
        else:
            getattr(self, name)(agent)

    def pick(self, items, place):
        """Return one of some items, or None."""
        items = list(items)
        return items[place % len(items)] if items else None

    def waiting_for(self, kind):
        """Return the sendings whose action is of a kind."""
        return [item for item in self.world.sendings if isinstance(item.action, kind)]

    @rule(entry=st.sampled_from(ENTRIES), key=st.sampled_from(KEYS))
    def send(self, entry, key):
        if len(self.world.sendings) < 10:
            self.world.send(entry, key)

    @rule(place=PLACES, agent=st.sampled_from(AGENTS), stale=st.booleans())
    def place_request(self, place, agent, stale):
        sending = self.pick(self.waiting_for(once.Submit), place)
        if sending is None:
            return
        world = self.world
        world.numbers += 1
        incarnation = world.agents[agent].incarnation
        if stale:
            incarnation = world.seen[agent]
        dispatch = data.Dispatch(f"d{world.numbers}", agent, incarnation)
        world.tell(sending, once.Placed(dispatch))

    @rule(place=PLACES)
    def refuse(self, place):
        sending = self.pick(self.waiting_for(once.Submit), place)
        if sending is not None:
            error = errors.not_run(errors.Overloaded, "Full.", "Later.")
            self.world.tell(sending, once.Refused(error))

    @rule(place=PLACES)
    def commit(self, place):
        proposal = self.pick(self.world.proposals, place)
        if proposal is not None:
            self.world.commit(proposal, answered=True)

    @rule(place=PLACES)
    def commit_and_lose_the_answer(self, place):
        proposal = self.pick(self.world.proposals, place)
        if proposal is not None:
            self.world.commit(proposal, answered=False)

    @rule(place=PLACES, late=st.booleans())
    def give_up_on_the_quorum(self, place, late):
        """An entry stops waiting; its command may still be committed later."""
        owners = [
            item for item in self.world.proposals if isinstance(item.owner, Sending)
        ]
        proposal = self.pick(owners, place)
        if proposal is None:
            return
        if not late or proposal.command is None:
            self.world.proposals.remove(proposal)
        sending = proposal.owner
        proposal.tell = lambda result: None
        proposal.owner = None
        error = errors.NoQuorum("None.", "Again.", data.RunStatus.UNKNOWN)
        self.world.tell(sending, once.NoQuorum(error))

    @rule(agent=st.sampled_from(AGENTS))
    def deliver(self, agent):
        if self.world.agents[agent].inbox:
            self.world.deliver(self.world.agents[agent])

    @rule(
        agent=st.sampled_from(AGENTS),
        place=PLACES,
        how=st.sampled_from(["answer", "dies before", "dies after", "unreachable"]),
    )
    def server(self, agent, place, how):
        life = self.world.agents[agent]
        job = self.pick(life.jobs, place)
        if job is not None:
            self.world.finish(life, job, how)

    @rule(agent=st.sampled_from(AGENTS), place=PLACES)
    def act_and_go_on(self, agent, place):
        """The server acts, and the agent may die before it knows."""
        job = self.pick(self.world.agents[agent].jobs, place)
        if job is not None and not job.acted:
            self.world.run(job)

    @rule(agent=st.sampled_from(AGENTS))
    def kill_agent(self, agent):
        self.world.kill_agent(agent)

    @rule(entry=st.sampled_from(ENTRIES))
    def kill_entry(self, entry):
        self.world.kill_entry(entry)

    @rule(agent=st.sampled_from(AGENTS))
    def view_catches_up(self, agent):
        self.world.seen[agent] = self.world.agents[agent].incarnation

    @rule(agent=st.sampled_from(AGENTS))
    def declare_lost(self, agent):
        """A member that lives, and is cut off, is taken for lost."""
        life = self.world.agents[agent]
        self.world.declared_lost.add((agent, life.incarnation))

    @invariant()
    def nothing_runs_twice(self):
        if not hasattr(self, "world"):
            return
        for key, count in self.world.acts.items():
            assert count <= 1, f"{key} ran {count} times"

    def teardown(self):
        """Once faults end, every sending ends, and so does one more."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for key in KEYS:
            world.send("e1", key)
        for _ in range(200):
            self.settle_once()
        world.patient = False
        for _ in range(100):
            self.settle_once()
        assert not world.sendings, "a caller waits for ever"

    def settle_once(self):
        """Let everything go its good way for one step."""
        world = self.world
        for agent in AGENTS:
            self.view_catches_up(agent)
            self.deliver(agent)
            for job in list(world.agents[agent].jobs):
                if job.acted:
                    self.end_acted(world.agents[agent], job)
                else:
                    world.finish(world.agents[agent], job, "answer")
        self.place_request(0, "a1", False)
        self.commit(0)

    def end_acted(self, agent, job):
        """Record the outcome of a job whose server has acted."""
        names = ("w", job.key, job.dispatch.dispatch_id)
        answer = data.Answer(201, (), job.dispatch.dispatch_id.encode())
        command = commands.Settle(*names, answer, self.world.clock())
        self.world.settle(agent, job, command, once.Ended())


OnceFuzz = OnceMachine.TestCase
OnceFuzz.settings = settings(fuzzing.SETTINGS, max_examples=150, stateful_step_count=40)


class RefusalTest(unittest.TestCase):
    """A refusal says `not_run` only after it was confirmed."""

    def refuse(self, record):
        """Return the end of a sending that is refused when `record` stands."""
        machine = once.Once(
            ("w", "k"), b"d", lambda dispatch: False, lambda: True, lambda: 0
        )
        machine.begin()
        opened = data.Execution("w", "k", b"d", data.ExecutionState.RECEIVED, 0)
        self.assertIsInstance(machine.step(once.Result(opened)), once.Submit)
        error = errors.Overloaded("Full.", "Later.")
        asked = machine.step(once.Refused(error))
        self.assertEqual(asked, once.LookUp(wait=False))
        return machine.step(once.Result(record))

    def test_nothing_was_dispatched(self):
        opened = data.Execution("w", "k", b"d", data.ExecutionState.RECEIVED, 0)
        self.assertEqual(self.refuse(opened).error.ran, data.RunStatus.NOT_RUN)

    def test_another_sending_ran(self):
        answered = data.Execution("w", "k", b"d", data.ExecutionState.ANSWERED, 0)
        self.assertEqual(self.refuse(answered), once.Replay(answered))


class DispatchesTest(unittest.TestCase):
    """What an agent may say of a dispatch."""

    def test_what_was_started_is_never_ruled_out(self):
        memory = dispatches.DispatchHistory(7)
        memory.record_started("d")
        self.assertFalse(memory.revoke_if_unstarted("d", 7))

    def test_what_was_ruled_out_is_never_started(self):
        memory = dispatches.DispatchHistory(7)
        self.assertTrue(memory.revoke_if_unstarted("d", 7))
        self.assertEqual(memory.rejection_reason("d", 7), dispatches.REVOKED)

    def test_nothing_is_said_of_another_incarnation(self):
        memory = dispatches.DispatchHistory(7)
        self.assertFalse(memory.revoke_if_unstarted("d", 6))
        self.assertEqual(memory.rejection_reason("d", 6), dispatches.OTHER_INCARNATION)

    def test_nothing_is_ruled_out_once_something_was_forgotten(self):
        memory = dispatches.DispatchHistory(7, max_remembered=2)
        for number in range(3):
            memory.record_started(f"d{number}")
        self.assertFalse(memory.revoke_if_unstarted("d0", 7))


if __name__ == "__main__":
    unittest.main()
