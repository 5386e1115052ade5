"""Losses of everything, together with disks, at any step of a repair or election.

Messages and disk writes take time here, and messages of one host to another arrive in
order, as over one connection.
"""

import itertools
import random
import unittest

from brasstrail.fakes import clusters
from brasstrail.protocol import messages

# Within this time after a host is back, the users count it as recovered.
CATCH_UP_MS = 4000
# Service must be back within this time after a loss of all hosts.
RECOVERY_MS = 12_000


def start_cluster(size, seed, delay_ms):
    """Return a cluster with a leader and some committed commands."""
    cluster = clusters.DelayedCluster(size, seed, delay_ms)
    cluster.run_for(CATCH_UP_MS)
    cluster.propose_some(5)
    return cluster


class RepairTest(unittest.TestCase):
    """All hosts lose power while the replica of a lost disk is being replaced."""

    STEP_MS = 40
    DELAY_MS = 30

    def check_recovery(self, cluster, lost_disks, case):
        """Lose power everywhere and some disks; check that service comes back."""
        cluster.lose_power(lost_disks)
        elapsed_ms = cluster.time_to_leader_ms(RECOVERY_MS)
        if elapsed_ms is None:
            self.failures.append((*case, "no leader"))
            return
        cluster.run_for(clusters.TICK_MS * 10)
        if cluster.missing_commands():
            self.failures.append((*case, "lost", cluster.missing_commands()))

    def check_all_steps(self, size, begin_repair):
        """Lose everything at each step of a repair, and the new disk again.

        `begin_repair` is called with the cluster and a host's name, and returns the
        name of the host whose disk is new. Among five voters, which tolerate the loss
        of two, the disk of another host is lost as well.
        """
        self.failures = []
        for number in range(size):
            for elapsed_ms in range(0, CATCH_UP_MS, self.STEP_MS):
                cluster = start_cluster(size, 3, self.DELAY_MS)
                name = list(cluster.hosts)[number]
                new_name = begin_repair(cluster, name)
                cluster.run_for(elapsed_ms)
                others = [each for each in cluster.hosts if each != new_name]
                lost_disks = [new_name, *others[: size // 2 - 1]]
                self.check_recovery(cluster, lost_disks, (name, elapsed_ms))
        self.assertEqual(self.failures, [])

    def lose_disk(self, cluster, name):
        cluster.lose_disk(name)
        return name

    def replace_host(self, cluster, name):
        cluster.replace_host(name, "c9")
        return "c9"

    def test_disk_lost_again_with_all_power_during_its_repair(self):
        """Guards against a repair in which the dead replica and the new one both vote.

        Three of four voters were needed then, and two were left.
        """
        self.check_all_steps(3, self.lose_disk)

    def test_new_host_lost_with_all_power_while_it_replaces_another(self):
        """Guards against the same for a host that returns at another address."""
        self.check_all_steps(3, self.replace_host)

    def test_disk_lost_again_with_all_power_among_five_voters(self):
        """Guards against the same with five voters."""
        self.check_all_steps(5, self.lose_disk)

    def test_repair_is_complete_before_another_disk_may_be_lost(self):
        """After the time that users grant, the loss of any other disk is tolerated."""
        self.failures = []
        for begin_repair in (self.lose_disk, self.replace_host):
            for first, second in itertools.permutations(range(3), 2):
                cluster = start_cluster(3, 3, self.DELAY_MS)
                names = list(cluster.hosts)
                begin_repair(cluster, names[first])
                cluster.run_for(CATCH_UP_MS)
                case = (begin_repair.__name__, names[first], names[second])
                self.check_recovery(cluster, [names[second]], case)
        self.assertEqual(self.failures, [])


class SeriesTest(unittest.TestCase):
    """Series of lost disks, replaced hosts and losses of everything that overlap."""

    SEEDS = 30
    REPAIRS = 6
    LOSSES = 4

    def run_series(self, seed):
        """Run one series; no second host loses its disk before a repair is complete."""
        draw = random.Random(seed)
        cluster = start_cluster(draw.choice((3, 3, 5)), seed, draw.choice((5, 30, 60)))
        for repair in range(self.REPAIRS):
            name = draw.choice(list(cluster.hosts))
            if draw.random() < 0.3:
                cluster.replace_host(name, f"n{repair}")
                name = f"n{repair}"
            else:
                cluster.lose_disk(name)
            for _ in range(draw.randrange(self.LOSSES)):
                for leader in cluster.leaders()[:1]:
                    cluster.propose(leader)
                cluster.run_for(draw.uniform(0, 1500))
                cluster.lose_power([name] if draw.random() < 0.7 else [])
                cluster.run_for(draw.uniform(0, 2500))
            self.check_repaired(cluster)

    def check_repaired(self, cluster):
        """Check the state at the end of the time that users grant for a recovery."""
        self.assertIsNotNone(cluster.time_to_leader_ms(RECOVERY_MS), "no leader")
        cluster.run_for(CATCH_UP_MS)
        self.assertTrue(cluster.has_working_leader())
        self.assertEqual(cluster.missing_commands(), [])
        log = cluster.leaders()[0].replica.raft.log
        disks = {
            messages.Replica(host.name, host.disk.identity.disk)
            for host in cluster.hosts.values()
        }
        self.assertLessEqual(set(log.voters), disks, "a lost replica is a voter")
        self.assertEqual(log.outgoing, ())

    def test_series_of_repairs_and_losses_of_everything(self):
        """Guards against losses in an order that leaves no quorum."""
        for seed in range(self.SEEDS):
            with self.subTest(seed=seed):
                self.run_series(seed)


class ElectionTest(unittest.TestCase):
    """Two voters of three are left, in different regions, with equal logs."""

    SEEDS = 60

    def times_to_leader_ms(self, delay_ms):
        """Return the sorted times to a leader after a loss of everything."""
        times_ms = []
        for seed in range(self.SEEDS):
            cluster = start_cluster(3, seed, delay_ms)
            near_host = list(cluster.hosts)[1 + seed % 2]
            cluster.lose_power([near_host])
            elapsed_ms = cluster.time_to_leader_ms(5 * RECOVERY_MS)
            times_ms.append(60_000 if elapsed_ms is None else round(elapsed_ms))
        return sorted(times_ms)

    def test_two_distant_voters_elect_a_leader_in_time(self):
        """Guards against two candidates that defeat each other again and again.

        Hosts count as recovered after `CATCH_UP_MS`, at which changes and requests
        are owed again.
        """
        for delay_ms in (30, 60, 100):
            with self.subTest(delay_ms=delay_ms):
                self.assertLess(self.times_to_leader_ms(delay_ms)[-1], CATCH_UP_MS)


class IdentityTest(unittest.TestCase):
    """What other replicas know of entries that a replica has acknowledged."""

    def setUp(self):
        self.cluster = clusters.Cluster(5, 2)
        self.cluster.run_rounds(60)
        self.leader = self.cluster.leaders()[0]
        self.holder, self.observer, *self.others = (
            host for host in self.cluster.hosts.values() if host != self.leader
        )

    def block(self, *pairs):
        self.cluster.blocked_links |= {(each.name, other.name) for each, other in pairs}

    def test_truncated_entries_are_no_loss(self):
        """Guards against a replica that gives up a disk which has lost nothing.

        One replica acknowledges entries to a leader that fails before they are
        committed. The one that heard of that leads next, and replaces them.
        """
        hosts = self.cluster.hosts.values()
        identity = self.holder.disk.identity
        absent = [(self.leader, other) for other in (self.observer, *self.others)]
        self.block(*absent)
        for _ in range(3):
            self.cluster.propose(self.leader)
        self.cluster.run_rounds(1)
        self.cluster.blocked_links.remove((self.leader.name, self.observer.name))
        self.block((self.observer, self.leader))
        self.cluster.run_rounds(4)
        self.leader.replica = None
        for host in self.others:
            host.replica.raft.election_due_ms += CATCH_UP_MS
        self.block(*((self.holder, other) for other in hosts))
        self.block(*((other, self.holder) for other in hosts))
        self.cluster.run_rounds(60)
        self.assertTrue(self.observer.replica.raft.is_leader)
        self.cluster.blocked_links.clear()
        self.cluster.run_rounds(10)
        self.holder.start(self.cluster.now_ms)
        self.cluster.run_rounds(10)
        self.assertEqual(self.holder.disk.identity, identity)
        self.cluster.check_all_present()

    def test_late_report_about_an_earlier_disk_is_ignored(self):
        """Guards against a new replica that gives up its disk for an earlier one.

        Reports about the earlier one may arrive after the host has joined again.
        """
        probe = messages.ReplicaProbe(
            self.holder.replica.descriptor, self.holder.disk.identity.cluster_id, False
        )
        self.observer.replica.receive(self.holder.name, probe, self.cluster.now_ms)
        (_, report), *_ = self.observer.replica.take_work().probes
        self.holder.lose_disk()
        self.holder.start(self.cluster.now_ms)
        while self.holder.replica.raft is None:
            self.cluster.run_rounds(1)
        self.holder.replica.raft.log.truncate(1)
        now_ms = self.cluster.now_ms
        self.holder.replica.receive(self.observer.name, report, now_ms)
        self.assertFalse(self.holder.replica.must_discard)


if __name__ == "__main__":
    unittest.main()
