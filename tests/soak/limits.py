"""A tenant with its limit, what it used, and what the rule allows it in any window."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Rule:
    """The figures of the rule; `settles_s` from the sending of a lower limit until no older one counts."""

    window_s: float
    excess: float
    slack: float
    settles_s: float


@dataclass
class LimitedTenant:
    """One tenant; `limits` are all that were sent, the present one last."""

    rule: Rule
    name: str
    rate: float
    burst: float
    unread: float  # tokens that a request without a count costs
    limits: list = field(default_factory=list)  # (when it was sent, rate, burst)
    used: list = field(default_factory=list)  # (when, tokens)

    def limit(self, now, rate, burst):
        """Another limit is sent."""
        self.rate, self.burst = rate, burst
        self.limits.append((now, rate, burst))

    @property
    def configured(self):
        """As operators write it."""
        return {
            "name": self.name,
            "api_keys": [f"key-{self.name}"],
            "unit": "token_usage",
            "uncached_tokens": self.unread,
            "rate_per_s": self.rate,
            "burst": self.burst,
        }

    def allowed(self, begin):
        """Tokens in the window from then on, by the highest limit that may have counted."""
        rule, first = self.rule, 0
        for number, (at, _, _) in enumerate(self.limits):
            if at <= begin - rule.settles_s:
                first = number
        end = begin + rule.window_s
        told = [rate * rule.window_s + burst for at, rate, burst in self.limits[first:] if at <= end]
        return max(told) * (1 + rule.excess) + rule.slack

    def most(self):
        """The window in which most of what is allowed was used: the part, the tokens, and when it begins."""
        best, total, first = (0.0, 0.0, 0.0), 0.0, 0
        for now, tokens in self.used:
            total += tokens
            while self.used[first][0] < now - self.rule.window_s:
                total -= self.used[first][1]
                first += 1
            begin = self.used[first][0]
            best = max(best, (total / self.allowed(begin), total, begin))
        return best

    def verdict(self):
        """A line if the rule was broken."""
        part, used, begin = self.most()
        if part <= 1.0:
            return []
        return [f"{self.name}: {part:.3f} of what is allowed, {used:.0f} from {begin:.2f} s on"]


def configuration(generation, tenants, timeout_ms, target_ms, host):
    """A whole configuration with one route and these tenants."""
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
        "tenants": [tenant.configured for tenant in tenants],
    }
