"""Constants that several parts of the decisions share. Those of one part stand in its module."""

LATENCY_WINDOW_S = 10.0  # of this node's latencies, behind the hedge timer
UPDATE_INTERVAL_S = 1.0  # the latency quantiles are computed anew this often
TICK_INTERVAL_S = 0.25  # health, weights, limit and queue are looked at this often
MIN_SAMPLES = 20  # no hedge before this many latencies
SMOOTHING = 0.2  # weight of the newest value in a moving average
HEDGE_MARGIN = 0.1  # the hedge timer stands this fraction above the 95th percentile
MIN_IN_FLIGHT_PER_SERVER = 4.0  # a node may always have this many attempts in flight for its part of a server
EXCESS_CAPACITY_FRACTION = 0.5  # of the capacity is open to requests beyond their tenant's quota
CONGESTED_LOAD_RATIO = 1.5  # a server that reports this multiple of the mean load is congested
OUTLIER_LATENCY_RATIO = 3.0  # a server this multiple slower than the median server is left to trials
MAX_SCANS = 64  # requests looked at for each one that is queued, or that comes due
