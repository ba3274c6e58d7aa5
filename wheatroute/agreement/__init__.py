"""Changes settings in all processes consistently, within a bounded time.

A process takes part only if its settings file configures a version store.
"""
