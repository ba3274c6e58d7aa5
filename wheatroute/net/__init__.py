"""The platform's node on sockets: clients downstream, servers upstream, the list of servers, peers.

`balancer_driver` calls the decision module with what happens on the sockets and executes its commands;
nothing in this package selects a server. Import order, from below: connections and exchanges, the driver,
both sides.
"""
