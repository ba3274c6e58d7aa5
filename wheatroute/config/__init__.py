"""Defines, reads and validates the settings file of the processor."""
