"""The edge role: accepts clients' requests and forwards them to model servers."""
