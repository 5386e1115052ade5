"""Roll-outs at a control host: orders, what gateways are sent, and the leader's steps.

Each control host passes the outcomes that its gateways report to the leader. The leader
judges them and commits the steps; without a quorum none is committed.
"""

from tornado import ioloop

from brasstrail.coordination import rollouts as judging
from brasstrail.core import clock, errors, servers
from brasstrail.protocol import codec, commands, messages

# An order is sent again after a second by its operator, for six seconds in all.
ORDER_TIMEOUT_S = 1.5
STEP_TIMEOUT_S = 1.0


class RolloutDesk:
    """The roll-outs at a control host.

    Parameters
    ----------
    publisher : `publisher.Publisher` of the process.

    Attributes
    ----------
    judges : `judging.Judge` by service, at the leader.
    committing : the services of which a step is being committed.
    sent_index : the log index of the roll-outs that subscribers were last sent.
    """

    def __init__(self, publisher):
        self.publisher = publisher
        self.hub = publisher.hub
        self.log = publisher.log
        self.control = publisher.control
        self.settings = publisher.hub.settings.control
        self.judges = {}
        self.committing = set()
        self.sent_index = 0
        self.ticker = ioloop.PeriodicCallback(self.tick, judging.LOOK_INTERVAL_MS)

    def start(self):
        """Start the periodic judgement and register the gauge."""
        self.publisher.metrics.gauge(
            "control_rollouts", lambda: len(self.rollouts.in_progress)
        )
        self.ticker.start()

    def close(self):
        """Stop the periodic judgement."""
        self.ticker.stop()

    @property
    def rollouts(self):
        """The replicated roll-outs, as `state.rollouts.Rollouts`."""
        return self.control.machine.rollouts

    # Operators.

    async def order(self, service, to, duration_ms):
        """Commit an order.

        Raises `errors.RolloutInProgress` if another one of the service is in progress,
        and `errors.NoQuorum` if it is not committed in time.
        """
        command = commands.StartRollout(clock.wall_ms(), service, to, duration_ms)
        outcome = await self.publisher.commit(command, ORDER_TIMEOUT_S)
        result = codec.decode(codec.RESULT, outcome.result) if outcome.result else None
        self.log.info(
            "rollouts: An order was proposed.",
            service=service,
            to=to,
            duration_ms=duration_ms,
            committed=outcome.committed,
            applied=result is not None and result.applied,
        )
        if not outcome.committed:
            raise errors.NoQuorum(
                "The order was not committed in time; it may still be.",
                "Send it again, to any control host.",
            )
        if not result.applied:
            raise errors.RolloutInProgress(
                f"A roll-out of {service} is in progress.",
                "Wait until it is completed or reverted.",
            )

    async def read(self, service):
        """Return the `messages.Rollout` of a service, confirmed by a quorum.

        Raises `errors.NoQuorum` without one, and `errors.NotFound` if there is none.
        """
        if not await self.publisher.wait_for_read_index():
            raise errors.NoQuorum(
                "It is not certain how far the roll-out is.",
                "Ask again, or ask another control host.",
            )
        rollout = self.rollouts.by_service.get(service)
        if rollout is None:
            raise errors.NotFound(
                f"No roll-out of {service!r} was ordered.", "Order one first."
            )
        return rollout

    # Gateways.

    def on_applied(self):
        """Send new records to the gateways at once, and log the steps."""
        index = self.rollouts.index
        if index == self.sent_index:
            return
        for rollout in self.rollouts.by_service.values():
            if rollout.index > self.sent_index:
                self.log_step(rollout)
        self.sent_index = index
        for subscriber in self.publisher.subscribers.values():
            if subscriber.link.connected:
                self.hub.run_callback(self.send, subscriber)

    def log_step(self, rollout):
        """Log a step that was committed."""
        self.log.info(
            "rollouts: A step was applied.",
            service=rollout.service,
            to=rollout.to,
            state=rollout.state,
            stage=rollout.stage,
            share=round(rollout.share, 4),
            reason=rollout.reason,
            deadline_ms=rollout.deadline_ms,
            index=rollout.index,
        )

    def send(self, subscriber):
        """Send a gateway the records if it lacks them.

        The confirmation of a heartbeat comes after them on the same link, so that a
        gateway with a fresh lease has all that were committed before its heartbeat.
        """
        index = self.rollouts.index
        if subscriber.rollouts_index < index:
            subscriber.rollouts_index = index
            records = tuple(self.rollouts.by_service.values())
            subscriber.link.send(messages.Rollouts(index, records))

    def handle_outcomes(self, outcomes):
        """Record a gateway's outcomes at the leader, or pass them to it."""
        if not self.control.replication.is_leader:
            # A host that takes itself for a follower was sent them by one that took it
            # for the leader; they are sent again with the next report.
            if outcomes.gateway in self.publisher.subscribers:
                self.control.send_to_leader(outcomes)
            return
        now_ms = clock.wall_ms()
        for progress in outcomes.progress:
            judge = self.judges.get(progress.service)
            if judge is None or judge.rollout.ordered_ms != progress.ordered_ms:
                continue
            routes = [
                each for each in outcomes.routes if each.service == progress.service
            ]
            judge.record(
                outcomes.gateway,
                outcomes.incarnation,
                outcomes.index,
                progress,
                routes,
                now_ms,
            )

    # The leader's steps.

    def tick(self):
        """Judge the roll-outs in progress if this host leads with a quorum."""
        if not self.rollouts.by_service:
            return
        if not self.control.replication.is_leader:
            self.judges = {}
            return
        self.update_judges()
        if not self.publisher.is_confirmed:
            return
        for service, judge in self.judges.items():
            if service not in self.committing:
                self.hub.run_callback(self.judge, judge)

    def update_judges(self):
        """Keep one judge for each order in progress, with its newest record."""
        now_ms = clock.wall_ms()
        judges = {}
        for rollout in self.rollouts.in_progress:
            judge = self.judges.get(rollout.service)
            if judge is None or judge.rollout.ordered_ms != rollout.ordered_ms:
                judge = judging.Judge(rollout, self.settings.canary_share, now_ms)
            judge.update(rollout, now_ms)
            judges[rollout.service] = judge
        self.judges = judges

    def judge(self, judge):
        """Decide the next step of an order, and commit it."""
        rollout = judge.rollout
        step = judge.decide(self.surroundings(rollout))
        if step is None:
            return
        self.committing.add(rollout.service)
        self.hub.spawn(self.commit(rollout, step))

    def surroundings(self, rollout):
        """Return the `judging.Surroundings` of a decision.

        A host that hears of no server of the service at all has just started or was
        held up itself, and says nothing against the new version.
        """
        listed = self.publisher.gateways
        server_registry = self.publisher.registry
        versions = {
            each.announcement.version
            for identity, each in server_registry.directory.known.items()
            if each.announcement.service == rollout.service
            and each.phase is servers.ServerPhase.READY
            and identity not in server_registry.silent
        }
        names = listed.names if listed is not None else ()
        has_servers = not versions or rollout.to in versions
        return judging.Surroundings(names, has_servers, clock.wall_ms())

    async def commit(self, rollout, step):
        """Commit a step; if that fails, the next look decides anew."""
        try:
            command = commands.AdvanceRollout(
                clock.wall_ms(),
                rollout.service,
                rollout.ordered_ms,
                rollout.index,
                step.state,
                step.stage,
                step.share,
                step.reason,
            )
            outcome = await self.publisher.commit(command, STEP_TIMEOUT_S)
            log = self.log.info if outcome.committed else self.log.warning
            log(
                "rollouts: A step was decided.",
                service=rollout.service,
                to=rollout.to,
                state=step.state,
                stage=step.stage,
                share=round(step.share, 4),
                reason=step.reason,
                committed=outcome.committed,
            )
            self.publisher.metrics.count("control_rollout_steps", state=step.state)
        finally:
            self.committing.discard(rollout.service)
