"""The control role: the operator's configuration, the registry of servers, quotas, and their distribution."""
