"""etcd's v3 API: a client, what keys mean to us, membership of nodes. Off unless the file names it."""
