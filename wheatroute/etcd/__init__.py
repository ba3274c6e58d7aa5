"""Discovery of servers and nodes by their keys in etcd (v3 API); imported only if the settings name etcd."""
