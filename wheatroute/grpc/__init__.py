"""gRPC on trio: HTTP/2 sessions, a server and a client, independent of the messages that calls carry."""
