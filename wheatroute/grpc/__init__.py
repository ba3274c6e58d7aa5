"""gRPC on trio: HTTP/2 sessions, a server and a client. No file in here knows what is asked or answered."""
