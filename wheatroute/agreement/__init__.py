"""Changes settings in all processes consistently, within a bounded time.

Disabled unless a process's file configures a version store.
"""
