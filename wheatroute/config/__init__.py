"""The settings file of the processor: its sections, their checks, and how it is read."""
