"""Network side of the platform's node: clients (downstream), servers (upstream), discovery, peer nodes.

`balancer_driver` passes network events to the decision module and executes its commands; nothing in this
package selects a server. The layers from the bottom up are connections and exchanges, the driver, and the
downstream and upstream sides; modules import only from lower layers.
"""
