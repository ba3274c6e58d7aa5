"""The external processor: tells other proxies, request by request, which server to send to."""
