"""The external processor: other proxies ask, request by request, where to send; the module decides."""
