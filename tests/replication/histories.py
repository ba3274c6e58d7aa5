"""Random histories of faults, each within the number of machines that may be lost at one time."""

from contextlib import nullcontext
from random import Random

from replication.simulation import SYNC_S, Simulation, patched

from wheatroute.replication import lease as lease_module
from wheatroute.replication import timing
from wheatroute.replication.core import ReplicationCore

# Timing constants under which all members start elections at once and retry almost without a pause.
CONTESTED = {"ELECTION_STEP_S": 0.0, "MIN_RETRY_DELAY_S": 0.01, "RETRY_JITTER_S": 0.02}
FAULT_FREE_S = 6.0  # no fault begins in the last seconds of a history
# Faults of one machine, handled by `History.fail_machine`.
MACHINE_FAULTS = (
    "kill",
    "wipe",
    "isolate",
    "one-way partition",
    "slow disk",
    "full disk",
    "kill leader",
    "kill leader",
    "freeze",
    "remove",
    "wipe in succession",
)
# Faults that don't depend on how many machines are lost already, by the name of the method of `History`.
CLUSTER_FAULTS = (
    *(
        "power_failure",
        "power_failure",
        "degrade_network",
        "degrade_network",
        "restart_leader",
        "kill_successive_leaders",
        "kill_successive_leaders",
    ),
    *(
        "wipe_and_power_failure",
        "split_network",
        "planned_restart",
        "planned_replacement",
        "planned_replacement",
    ),
)
FOREVER = float("inf")


def random_history(seed, duration_s=20.0, hosts=3, seeds=3, tolerate=1, make_core=ReplicationCore):
    """Runs random faults within what may be lost at one time, then a recovery; returns the simulation.

    In histories with an odd seed all members start elections at once and retry almost without a pause, and no
    voter is bound by a lease, since the safety of acknowledged writes must not depend on clocks.
    """
    with patched(timing, **CONTESTED) if seed % 2 else nullcontext():
        with patched(lease_module, GRANT_S=0.0) if seed % 2 else nullcontext():
            return History(seed, duration_s, hosts, seeds, tolerate, make_core).run()


class History:
    """Draws the faults of one history, and tracks until when each machine counts as lost."""

    def __init__(self, seed, duration_s, hosts, seeds, tolerate, make_core):
        self.sim = Simulation(seed, hosts, seeds, tolerate, make_core)
        self.duration_s, self.tolerate = duration_s, tolerate
        self.rng = Random(f"{seed} faults")
        self.lost_until = {}
        self.leaving = set()

    def run(self):
        sim = self.sim
        sim.at(0.5, self.send_requests)
        sim.at(1.0, self.inject_fault)
        sim.run(self.duration_s)
        sim.partitions.clear()
        self.degrade_network(0.0, 0.02, 0.2)
        sim.run(self.duration_s + 5.0)
        sim.check_recovered()
        return sim

    def send_requests(self):
        for name in self.sim.leading():
            if not self.sim.hosts[name].is_frozen:
                (self.sim.write if self.rng.random() < 0.7 else self.sim.read)(name)
        self.sim.at(0.005 + 0.08 * self.rng.random(), self.send_requests)

    def lost_hosts(self):
        return [name for name, until in self.lost_until.items() if until > self.sim.now]

    def running_hosts(self):
        return [name for name, host in self.sim.hosts.items() if host.core is not None]

    def inject_fault(self):
        if self.sim.now > self.duration_s - FAULT_FREE_S:
            return
        fault = self.rng.choice(MACHINE_FAULTS + CLUSTER_FAULTS)
        if fault not in MACHINE_FAULTS:
            getattr(self, fault)()
        elif len(self.lost_hosts()) < self.tolerate:
            self.fail_machine(fault)
        self.sim.at(0.05 + 1.6 * self.rng.random() ** 2, self.inject_fault)

    # faults of one machine

    def fail_machine(self, fault):
        sim = self.sim
        serving = sim.serving()
        candidates = [name for name in sorted(sim.hosts) if name not in self.leaving]
        name = self.rng.choice(serving if serving and fault == "kill leader" else candidates)
        if name in self.leaving:
            return
        self.lost_until[name] = FOREVER
        partitions = set()
        if fault in ("kill", "kill leader"):
            sim.kill(name)
        elif fault in ("wipe", "wipe in succession"):
            sim.wipe(name)
        elif fault == "slow disk":
            sim.hosts[name].disk_delay = 0.9
        elif fault == "full disk":
            sim.hosts[name].is_disk_failing = True
        elif fault == "freeze" and sim.hosts[name].core is not None:
            sim.freeze(name)
        elif fault == "remove":
            sim.at(0.5 + self.rng.random(), lambda: self.count_until_replaced(self.new_machine(), name))
            sim.kill(name)
            del sim.hosts[name]
            return
        elif fault in ("isolate", "one-way partition"):
            partitions = self.isolate(name, both=fault == "isolate" or self.rng.random() < 0.5)
        recovery_delay_s = 0.2 + 3.0 * self.rng.random()
        sim.at(recovery_delay_s, lambda: self.recover(name, frozenset(partitions)))
        if fault == "wipe in succession":
            # The next disk is lost at the moment at which this machine no longer counts as lost.
            sim.at(
                recovery_delay_s + SYNC_S,
                lambda: self.fail_machine("wipe") if len(self.lost_hosts()) < self.tolerate else None,
            )

    def isolate(self, name, both):
        partitions = {(name, other) for other in self.sim.hosts if other != name}
        if both:
            partitions |= {(other, name) for _, other in partitions}
        self.sim.partitions |= partitions
        return partitions

    def recover(self, name, partitions=frozenset()):
        sim = self.sim
        sim.partitions -= partitions
        if name not in sim.hosts:
            return
        host = sim.hosts[name]
        host.disk_delay, host.is_disk_failing = 0.002 + 0.03 * self.rng.random() ** 2, False
        if host.is_frozen:
            sim.thaw(name)
        sim.start(name)
        self.lost_until[name] = sim.now + SYNC_S

    def new_machine(self):
        name = f"h{len(self.sim.hosts)}-{next(self.sim.nonces)}"
        self.sim.add(name)
        self.sim.start(name)
        return name

    def count_until_replaced(self, successor, lost):
        """A removed machine counts as lost until its successor has had `SYNC_S` to get in sync."""
        self.lost_until[lost] = self.sim.now + SYNC_S
        return successor

    # faults that don't depend on which machines are lost already

    def power_failure(self):
        for name in self.sim.hosts:
            self.power_cycle(name)

    def wipe_and_power_failure(self):
        """One disk is lost, and all machines lose power at the same time."""
        if self.lost_hosts() or self.leaving:
            return
        name = self.rng.choice(sorted(self.sim.hosts))
        self.sim.wipe(name)
        self.lost_until[name] = self.sim.now + 1.0 + SYNC_S
        self.power_failure()

    def power_cycle(self, name):
        self.sim.kill(name)
        self.sim.at(0.05 + 0.9 * self.rng.random(), lambda: self.start_if_present(name))

    def start_if_present(self, name):
        if name in self.sim.hosts:
            self.sim.start(name)

    def degrade_network(self, loss_rate=None, late_fraction=0.5, max_lateness_s=0.6):
        sim = self.sim
        sim.loss_rate = 0.3 * self.rng.random() if loss_rate is None else loss_rate
        sim.late_fraction, sim.max_lateness_s = late_fraction, max_lateness_s
        if loss_rate is None:
            sim.at(0.5 + 2.0 * self.rng.random(), lambda: self.degrade_network(0.0, 0.02, 0.2))

    def restart_leader(self):
        """The leader restarts so quickly that no other node notices."""
        self.extend_losses(0.2)
        if self.sim.serving():
            name = self.rng.choice(self.sim.serving())
            self.sim.kill(name)
            self.sim.at(0.005 + 0.1 * self.rng.random(), lambda: self.start_if_present(name))

    def extend_losses(self, duration_s):
        """Extends the time for which lost machines count as lost.

        Otherwise too much could be lost: machines that have just returned don't get in sync while leaders
        fail too.
        """
        for name in self.lost_hosts():
            self.lost_until[name] = max(self.lost_until[name], self.sim.now + duration_s + SYNC_S)

    def kill_successive_leaders(self):
        """The leader is killed, and so is the next one as soon as it leads."""
        self.extend_losses(3.0)
        if self.sim.serving():
            leader = self.sim.serving()[0]
            self.sim.kill(leader)
            self.sim.at(0.3 + 0.6 * self.rng.random(), lambda: self.start_if_present(leader))
            self.sim.at(0.3, self.kill_next_leader)

    def kill_next_leader(self, tries=100):
        leaders = self.sim.leading()
        if leaders:
            self.sim.kill(leaders[0])
            self.sim.at(0.3 + 0.5 * self.rng.random(), lambda: self.start_if_present(leaders[0]))
        elif tries:
            self.sim.at(0.003 + 0.01 * self.rng.random(), lambda: self.kill_next_leader(tries - 1))

    def split_network(self):
        """Partitions the network into two halves, by which no machine is lost."""
        hosts = sorted(self.sim.hosts)
        self.rng.shuffle(hosts)
        side, other = hosts[: len(hosts) // 2], hosts[len(hosts) // 2 :]
        partitions = {(a, b) for a in side for b in other} | {(b, a) for a in side for b in other}
        partitions -= self.sim.partitions
        self.sim.partitions |= partitions
        healed_after_s = 0.5 + 2.5 * self.rng.random()
        self.extend_losses(healed_after_s)
        self.sim.at(healed_after_s, lambda: self.sim.partitions.difference_update(partitions))

    def planned_restart(self):
        """Restarts one machine as planned; it counts as lost from the stop signal on."""
        name = self.rng.choice(sorted(self.sim.hosts))
        if (
            self.lost_hosts()
            or name in self.leaving
            or name not in self.running_hosts()
            or self.sim.hosts[name].is_frozen
        ):
            return
        self.leaving.add(name)
        self.lost_until[name] = FOREVER

        def on_ended(released):
            self.sim.at(0.3 + self.rng.random(), restart)

        def restart():
            self.leaving.discard(name)
            self.recover(name)

        self.sim.stop(name, on_ended)

    def planned_replacement(self):
        """Adds a new machine, waits until it is in sync, then stops an old machine for good."""
        if self.lost_hosts() or self.leaving or len(self.running_hosts()) < len(self.sim.hosts):
            return
        name = self.rng.choice(sorted(self.sim.hosts))
        self.leaving.add(name)
        self.new_machine()

        def on_ended(released):
            del self.sim.hosts[name]
            self.leaving.discard(name)
            self.lost_until[name] = self.sim.now + (0.0 if released else SYNC_S)
            if self.rng.random() < 0.7 and not self.lost_hosts():
                self.sim.at(0.6 * self.rng.random(), lambda: self.lost_hosts() or self.fail_machine("wipe"))

        def leave():
            if name not in self.running_hosts() or self.sim.hosts[name].is_frozen or self.lost_hosts():
                self.leaving.discard(name)
                return
            self.lost_until[name] = FOREVER
            self.sim.stop(name, on_ended)

        self.sim.at(SYNC_S, leave)
