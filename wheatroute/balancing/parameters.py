"""Constants that several components of the balancer share; all others are in the module that uses them."""

LATENCY_WINDOW_S = 10.0  # length of the sliding window of latencies from which the hedge timer is computed
UPDATE_INTERVAL_S = 1.0  # interval at which the latency quantiles are recomputed
TICK_INTERVAL_S = 0.25  # interval at which server health, weights, concurrency limit and queue are updated
MIN_SAMPLES = 20  # number of latencies in the window below which no hedge is sent
SMOOTHING = 0.2  # weight of the newest value in a moving average
HEDGE_MARGIN = 0.1  # fraction by which the hedge timer exceeds the 95th percentile of latency
MIN_IN_FLIGHT_PER_SERVER = 4.0  # attempts that a node may always have in flight per server of its share
EXCESS_CAPACITY_FRACTION = 0.5  # fraction of the capacity that requests beyond their tenant's quota may use
CONGESTED_LOAD_RATIO = 1.5  # a server that reports more than this multiple of the mean load is congested
# A server slower than this multiple of the median server is an outlier and gets half-open trials only.
OUTLIER_LATENCY_RATIO = 3.0
MAX_SCANS = 64  # bounds how many queued requests, or timers of ended requests, are examined at one time
