"""Stand-ins for external systems, an etcd cluster and a proxy, for tests, benchmarks and demonstrations."""
