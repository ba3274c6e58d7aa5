"""Creates and connects the components that make a node's decisions. No I/O, no decisions."""

from collections.abc import Callable
from random import Random

from wheatroute.balancing.attempt_sender import AttemptSender
from wheatroute.balancing.concurrency_limit import ConcurrencyLimiter
from wheatroute.balancing.final_answers import FinalAnswers
from wheatroute.balancing.half_open_trials import HalfOpenTrials
from wheatroute.balancing.hedging import Hedging
from wheatroute.balancing.idle_connections import IdleConnectionStatistics
from wheatroute.balancing.load_reports import LoadReports
from wheatroute.balancing.membership_updates import MembershipUpdates
from wheatroute.balancing.node_state import BalancerState
from wheatroute.balancing.outcome_recorder import OutcomeRecorder
from wheatroute.balancing.outlier_ejection import OutlierEjection
from wheatroute.balancing.queue_management import QueueManager
from wheatroute.balancing.ready_servers import ReadyServers
from wheatroute.balancing.request_admission import RequestAdmission
from wheatroute.balancing.request_lifecycle import RequestLifecycle
from wheatroute.balancing.server_selection import ServerSelection
from wheatroute.balancing.server_subset import ServerSubset
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.balancing.settings_updates import SettingsUpdates
from wheatroute.balancing.slow_start import SlowStart
from wheatroute.balancing.tenant_quotas import TenantQuotas

FinalAnswersFactory = Callable[[BalancerState, TenantQuotas], FinalAnswers]


class Components:
    """Holds the components of one node's balancer, in the order in which they depend on each other."""

    def __init__(
        self, settings: DecisionSettings, rng: Random, make_final_answers: FinalAnswersFactory
    ) -> None:
        self.state = state = BalancerState(settings, rng)

        # measurements and load reports
        self.ready = ReadyServers()
        self.idle = IdleConnectionStatistics()
        self.reports = LoadReports(state, self.ready)

        # capacity and server selection
        self.limiter = ConcurrencyLimiter()
        self.quotas = TenantQuotas(state, self.limiter)
        self.slow_start = SlowStart(state)
        self.trials = HalfOpenTrials(state)
        self.subset = ServerSubset(
            state, self.ready, self.limiter, self.reports, self.slow_start, self.trials
        )
        self.selection = ServerSelection(state, self.limiter, self.reports, self.slow_start, self.subset)
        self.ejection = OutlierEjection(state, self.subset, self.selection, self.trials, self.limiter)
        self.recorder = OutcomeRecorder(state, self.limiter, self.reports, self.ejection, self.idle)

        # requests and their attempts
        self.admission = RequestAdmission(state, self.reports, self.quotas)
        self.hedging = Hedging(state, self.limiter, self.selection)
        self.sender = AttemptSender(
            state,
            self.limiter,
            self.reports,
            self.subset,
            self.selection,
            self.ejection,
            self.hedging,
            self.idle,
        )
        self.answers = make_final_answers(state, self.quotas)
        self.queue = QueueManager(
            state,
            self.limiter,
            self.subset,
            self.selection,
            self.trials,
            self.recorder,
            self.sender,
            self.answers,
        )
        self.lifecycle = RequestLifecycle(
            state,
            self.limiter,
            self.reports,
            self.subset,
            self.recorder,
            self.admission,
            self.sender,
            self.queue,
            self.answers,
        )

        # server list and settings
        self.membership = MembershipUpdates(state, self.ready, self.subset)
        configurable = (self.subset, self.quotas, self.reports, self.admission, self.hedging)
        self.settings_updates = SettingsUpdates(state, self.subset, self.slow_start, configurable)
