"""Discrete-event simulation of a fleet of nodes and servers that runs the production decision module."""
