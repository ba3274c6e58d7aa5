"""Network side of the platform's node: clients (downstream), servers (upstream), discovery, peer nodes.

`balancer_driver` passes network events to the decision module and executes its commands; nothing in this
package selects a server. Modules import only from lower layers, which are from the bottom: connections and
exchanges, the driver, the downstream and upstream sides.
"""
