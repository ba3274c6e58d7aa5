"""A test rig: runs several processes on loopback, injects faults, and judges the processes from outside."""
