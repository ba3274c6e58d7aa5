"""Drawn histories of faults, each within what may be lost at one time."""

from contextlib import nullcontext
from random import Random

from replication.simulation import SYNC_S, Simulation, patched

from wheatroute.replication import lease as lease_module
from wheatroute.replication import timing
from wheatroute.replication.core import ReplicationCore

CONTESTED = {"ELECTION_STEP_S": 0.0, "MIN_RETRY_DELAY_S": 0.01, "RETRY_JITTER_S": 0.02}
CALM = 6.0  # seconds at the end of a history in which no fault begins
LOSSES = ("kill", "wipe", "cut", "one way", "slow", "full", "leader", "leader", "freeze", "gone", "repair")
SHOCKS = (
    *("all", "all", "storm", "storm", "restart", "usurp", "usurp"),
    *("wipe_and_power", "halves", "stop", "replace", "replace"),
)
FOREVER = float("inf")


def random_history(seed, length=20.0, hosts=3, seeds=3, tolerate=1, make_core=ReplicationCore):
    """A day of drawn faults within what may be lost at one time, then calm; returns the simulation.

    In every other history all members stand for election at once, and again without a pause, and no voter is
    bound by a lease: what is acknowledged must not rest on clocks.
    """
    with patched(timing, **CONTESTED) if seed % 2 else nullcontext():
        with patched(lease_module, GRANT_S=0.0) if seed % 2 else nullcontext():
            return History(seed, length, hosts, seeds, tolerate, make_core).play()


class History:
    """One day: who counts as lost until when, and what strikes next."""

    def __init__(self, seed, length, hosts, seeds, tolerate, make_core):
        self.it = Simulation(seed, hosts, seeds, tolerate, make_core)
        self.length, self.tolerate = length, tolerate
        self.rng = Random(f"{seed} faults")
        self.lost_until = {}
        self.leaving = set()

    def play(self):
        it = self.it
        it.at(0.5, self.loads)
        it.at(1.0, self.fault)
        it.run(self.length)
        it.partitions.clear()
        self.storm(0.0, 0.02, 0.2)
        it.run(self.length + 5.0)
        it.check_end()
        return it

    def loads(self):
        for name in self.it.leading():
            if not self.it.hosts[name].is_frozen:
                (self.it.write if self.rng.random() < 0.7 else self.it.read)(name)
        self.it.at(0.005 + 0.08 * self.rng.random(), self.loads)

    def lost(self):
        return [name for name, until in self.lost_until.items() if until > self.it.now]

    def up(self):
        return [name for name, host in self.it.hosts.items() if host.core is not None]

    def fault(self):
        if self.it.now > self.length - CALM:
            return
        kind = self.rng.choice(LOSSES + SHOCKS)
        if kind not in LOSSES:
            getattr(self, kind)()
        elif len(self.lost()) < self.tolerate:
            self.lose(kind)
        self.it.at(0.05 + 1.6 * self.rng.random() ** 2, self.fault)

    # losses, each of one machine

    def lose(self, kind):
        it = self.it
        serving = it.serving()
        candidates = [name for name in sorted(it.hosts) if name not in self.leaving]
        name = self.rng.choice(serving if serving and kind == "leader" else candidates)
        if name in self.leaving:
            return
        self.lost_until[name] = FOREVER
        partitions = set()
        if kind in ("kill", "leader"):
            it.kill(name)
        elif kind in ("wipe", "repair"):
            it.wipe(name)
        elif kind == "slow":
            it.hosts[name].disk_delay = 0.9
        elif kind == "full":
            it.hosts[name].is_disk_failing = True
        elif kind == "freeze" and it.hosts[name].core is not None:
            it.freeze(name)
        elif kind == "gone":
            it.at(0.5 + self.rng.random(), lambda: self.succeed(self.new_machine(), name))
            it.kill(name)
            del it.hosts[name]
            return
        elif kind in ("cut", "one way"):
            partitions = self.isolate(name, both=kind == "cut" or self.rng.random() < 0.5)
        back = 0.2 + 3.0 * self.rng.random()
        it.at(back, lambda: self.bring_back(name, frozenset(partitions)))
        if kind == "repair":  # the next loss strikes in the moment in which this one counts no more
            it.at(back + SYNC_S, lambda: self.lose("wipe") if len(self.lost()) < self.tolerate else None)

    def isolate(self, name, both):
        partitions = {(name, other) for other in self.it.hosts if other != name}
        if both:
            partitions |= {(other, name) for _, other in partitions}
        self.it.partitions |= partitions
        return partitions

    def bring_back(self, name, partitions=frozenset()):
        it = self.it
        it.partitions -= partitions
        if name not in it.hosts:
            return
        host = it.hosts[name]
        host.disk_delay, host.is_disk_failing = 0.002 + 0.03 * self.rng.random() ** 2, False
        if host.is_frozen:
            it.thaw(name)
        it.start(name)
        self.lost_until[name] = it.now + SYNC_S

    def new_machine(self):
        name = f"h{len(self.it.hosts)}-{next(self.it.nonces)}"
        self.it.add(name)
        self.it.start(name)
        return name

    def succeed(self, successor, lost):
        """A machine that is gone counts until its successor has had its time."""
        self.lost_until[lost] = self.it.now + SYNC_S
        return successor

    # what strikes whatever is lost

    def all(self):
        for name in self.it.hosts:
            self.power_off(name)

    def wipe_and_power(self):
        """One disk is lost, and all machines lose power at the same moment."""
        if self.lost() or self.leaving:
            return
        name = self.rng.choice(sorted(self.it.hosts))
        self.it.wipe(name)
        self.lost_until[name] = self.it.now + 1.0 + SYNC_S
        self.all()

    def power_off(self, name):
        self.it.kill(name)
        self.it.at(0.05 + 0.9 * self.rng.random(), lambda: self.start(name))

    def start(self, name):
        if name in self.it.hosts:
            self.it.start(name)

    def storm(self, loss=None, late=0.5, lateness=0.6):
        it = self.it
        it.loss = 0.3 * self.rng.random() if loss is None else loss
        it.late, it.lateness = late, lateness
        if loss is None:
            it.at(0.5 + 2.0 * self.rng.random(), lambda: self.storm(0.0, 0.02, 0.2))

    def restart(self):
        """So soon that nobody else has noticed."""
        self.unsettle(0.2)
        if self.it.serving():
            name = self.rng.choice(self.it.serving())
            self.it.kill(name)
            self.it.at(0.005 + 0.1 * self.rng.random(), lambda: self.start(name))

    def unsettle(self, seconds):
        """Whoever came back gets no time to settle in while leaders die beyond what may be lost."""
        for name in self.lost():
            self.lost_until[name] = max(self.lost_until[name], self.it.now + seconds + SYNC_S)

    def usurp(self):
        """The leader dies, and the next one as soon as it leads."""
        self.unsettle(3.0)
        if self.it.serving():
            leader = self.it.serving()[0]
            self.it.kill(leader)
            self.it.at(0.3 + 0.6 * self.rng.random(), lambda: self.start(leader))
            self.it.at(0.3, self.kill_next)

    def kill_next(self, tries=100):
        leaders = self.it.leading()
        if leaders:
            self.it.kill(leaders[0])
            self.it.at(0.3 + 0.5 * self.rng.random(), lambda: self.start(leaders[0]))
        elif tries:
            self.it.at(0.003 + 0.01 * self.rng.random(), lambda: self.kill_next(tries - 1))

    def halves(self):
        """Nothing is lost by it, whatever may be lost at one time."""
        names = sorted(self.it.hosts)
        self.rng.shuffle(names)
        one, other = names[: len(names) // 2], names[len(names) // 2 :]
        partitions = {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
        partitions -= self.it.partitions
        self.it.partitions |= partitions
        healed = 0.5 + 2.5 * self.rng.random()
        self.unsettle(healed)
        self.it.at(healed, lambda: self.it.partitions.difference_update(partitions))

    def stop(self):
        """A planned restart; it counts as lost from the signal on."""
        name = self.rng.choice(sorted(self.it.hosts))
        if self.lost() or name in self.leaving or name not in self.up() or self.it.hosts[name].is_frozen:
            return
        self.leaving.add(name)
        self.lost_until[name] = FOREVER

        def ended(released):
            self.it.at(0.3 + self.rng.random(), back)

        def back():
            self.leaving.discard(name)
            self.bring_back(name)

        self.it.stop(name, ended)

    def replace(self):
        """The successor first; once it has had its time, its predecessor is told to stop, for good."""
        if self.lost() or self.leaving or len(self.up()) < len(self.it.hosts):
            return
        name = self.rng.choice(sorted(self.it.hosts))
        self.leaving.add(name)
        self.new_machine()

        def ended(released):
            del self.it.hosts[name]
            self.leaving.discard(name)
            self.lost_until[name] = self.it.now + (0.0 if released else SYNC_S)
            if self.rng.random() < 0.7 and not self.lost():
                self.it.at(0.6 * self.rng.random(), lambda: self.lost() or self.lose("wipe"))

        def leave():
            if name not in self.up() or self.it.hosts[name].is_frozen or self.lost():
                self.leaving.discard(name)
                return
            self.lost_until[name] = FOREVER
            self.it.stop(name, ended)

        self.it.at(SYNC_S, leave)
