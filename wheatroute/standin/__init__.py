"""Stand-ins for the systems on the other side of our fronts, for tests, benchmarks and demonstrations."""
