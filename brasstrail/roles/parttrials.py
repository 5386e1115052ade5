"""Trials of parts that have ended servers, between gateways.

`PartTrials` asks the gateway that coordinates the trials of a part, and answers the
others for the parts that this one coordinates (see `coordination.trials`).
"""

import asyncio
import dataclasses
import itertools

from brasstrail.coordination import trials
from brasstrail.core import clock
from brasstrail.protocol import messages

# A round trip between regions, and the time that a busy gateway takes.
ANSWER_TIMEOUT_MS = 400


@dataclasses.dataclass(frozen=True)
class Trial:
    """The permission to send one request with a part. `coordinator` has granted it."""

    part: int
    coordinator: str
    number: int


class PartTrials:
    """The trials of one gateway, and those that it coordinates for all.

    Parameters
    ----------
    gateway : `gateway.Gateway`.

    Attributes
    ----------
    names : all gateways that are listed, or None before they are known.
    leases : `trials.TrialLeases`.
    questions : the futures of the answers that are awaited, by number.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.names = None
        self.leases = trials.TrialLeases()
        self.numbers = itertools.count(1)
        self.questions = {}

    def set_peers(self, names):
        """Set the names of the other gateways."""
        self.names = sorted({*names, self.gateway.hub.name})

    async def acquire(self, part):
        """Return a `Trial` of a part, or None if it must not be tried now.

        None is also returned if the gateway that coordinates them does not answer.
        """
        if self.names is None:
            return None
        number = next(self.numbers)
        own_name = self.gateway.hub.name
        coordinator = trials.find_coordinator(self.names, part)
        if coordinator == own_name:
            is_granted = self.decide(part, own_name, number)
        else:
            is_granted = await self.ask(coordinator, part, number)
        return Trial(part, coordinator, number) if is_granted else None

    async def ask(self, coordinator, part, number):
        """Ask another gateway whether a part may be tried."""
        if coordinator not in self.gateway.gossip.peers:
            return False
        answer = self.gateway.hub.loop.create_future()
        self.questions[number] = answer
        try:
            self.gateway.gossip.send_message(
                (coordinator,), messages.TrialQuestion(part, number)
            )
            return await asyncio.wait_for(answer, ANSWER_TIMEOUT_MS / 1000)
        except asyncio.TimeoutError:
            return False
        finally:
            del self.questions[number]
            if answer.cancelled():
                # An answer that comes late is not used, nor is one without a caller.
                self.send_end(Trial(part, coordinator, number))

    def end(self, taken):
        """Tell the coordinator of a `Trial` that the request has ended."""
        if taken.coordinator == self.gateway.hub.name:
            self.leases.end(taken.part, taken.coordinator, taken.number, clock.now_ms())
        else:
            self.send_end(taken)

    def send_end(self, taken):
        """Send the coordinator of a `Trial` that it is not used any more."""
        if taken.coordinator in self.gateway.gossip.peers:
            message = messages.TrialEnd(taken.part, taken.number)
            self.gateway.gossip.send_message((taken.coordinator,), message)

    def decide(self, part, name, number):
        """Return whether a gateway may try a part that this one coordinates."""
        now_ms = clock.now_ms()
        suspicion = self.gateway.crashes.suspects.judge_parts((part,), now_ms)
        if suspicion is not None and not suspicion.needs_trial:
            return False
        return self.leases.grant(part, name, number, now_ms)

    # Messages of other gateways.

    def handle_question(self, question, name):
        """Answer another gateway that wants to try a part."""
        is_granted = self.decide(question.part, name, question.number)
        answer = messages.TrialAnswer(question.number, is_granted)
        self.gateway.gossip.send_message((name,), answer)

    def handle_answer(self, answer):
        """Pass on the answer to a question."""
        question = self.questions.get(answer.number)
        if question is not None and not question.done():
            question.set_result(answer.is_granted)

    def handle_end(self, message, name):
        """Record that a trial of another gateway has ended."""
        self.leases.end(message.part, name, message.number, clock.now_ms())
