"""The command groups, one module each: they parse options and print results, and contain no other logic."""
