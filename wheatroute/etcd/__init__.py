"""Servers and nodes by their keys in etcd (v3 API). Not imported unless the settings file names etcd."""
