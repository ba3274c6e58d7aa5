"""wheatroute: a load balancer for calls between services."""
