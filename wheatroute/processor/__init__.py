"""The external processor: selects the server for each request of other proxies, which send the request."""
