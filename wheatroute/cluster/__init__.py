"""Code shared by the edge and control roles: settings, messages, error kinds, logs."""
