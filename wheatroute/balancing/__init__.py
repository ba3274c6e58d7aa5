"""What `wheatroute.decide.Balancer` is made of: the types at its border and one module for each concern."""
