"""The quota rule: how many tokens a tenant may use in any window, given the limits that it had over time."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class QuotaRule:
    """The parameters of the rule.

    `excess` is the fraction by which the limit may be exceeded, `slack` a number of tokens on top of it. From
    `settling_s` after a lower limit was sent, the older limits no longer apply.
    """

    window_s: float
    excess: float
    slack: float
    settling_s: float


@dataclass
class LimitedTenant:
    """A tenant with its usage; `limits` has every limit that was sent, the current one last."""

    rule: QuotaRule
    name: str
    rate: float
    burst: float
    uncached_tokens: float  # cost of a request without a token count
    limits: list = field(default_factory=list)  # (time sent, rate, burst)
    usage: list = field(default_factory=list)  # (time, tokens)

    def set_limit(self, now, rate, burst):
        """Records that a new limit is sent."""
        self.rate, self.burst = rate, burst
        self.limits.append((now, rate, burst))

    @property
    def configuration(self):
        """Returns the tenant's entry in the configuration."""
        return {
            "name": self.name,
            "api_keys": [f"key-{self.name}"],
            "unit": "token_usage",
            "uncached_tokens": self.uncached_tokens,
            "rate_per_s": self.rate,
            "burst": self.burst,
        }

    def allowed_tokens(self, begin):
        """Returns the tokens allowed in the window from `begin` on, by the highest limit that may apply."""
        rule, first = self.rule, 0
        for number, (at, _, _) in enumerate(self.limits):
            if at <= begin - rule.settling_s:
                first = number
        end = begin + rule.window_s
        allowed = [rate * rule.window_s + burst for at, rate, burst in self.limits[first:] if at <= end]
        return max(allowed) * (1 + rule.excess) + rule.slack

    def max_window(self):
        """Returns the window with the largest used fraction of its tokens: (fraction, tokens, begin)."""
        best, total, first = (0.0, 0.0, 0.0), 0.0, 0
        for now, tokens in self.usage:
            total += tokens
            while self.usage[first][0] < now - self.rule.window_s:
                total -= self.usage[first][1]
                first += 1
            begin = self.usage[first][0]
            best = max(best, (total / self.allowed_tokens(begin), total, begin))
        return best

    def violations(self):
        """Returns a list with one line if the rule was broken, an empty list otherwise."""
        fraction, used, begin = self.max_window()
        if fraction <= 1.0:
            return []
        return [
            f"{self.name}: used {fraction:.3f} times the allowed tokens, {used:.0f} from {begin:.2f} s on"
        ]


def make_configuration(generation, tenants, timeout_ms, target_ms, host):
    """Returns a configuration with one route and these tenants."""
    route = {
        "name": "ask",
        "hostname": host,
        "path_prefix": "/ask/",
        "kind": "unsafe",
        "timeout_ms": timeout_ms,
        "target_ms": target_ms,
        "priority": 1,
        "backend": "llm",
        "retries": 1,
    }
    return {
        "generation": generation,
        "routes": [route],
        "services": [{"name": "llm"}],
        "tenants": [tenant.configuration for tenant in tenants],
    }
