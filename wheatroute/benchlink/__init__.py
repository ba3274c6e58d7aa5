"""The link to an outside simulator: drives many `Balancer` instances over standard input and output."""
