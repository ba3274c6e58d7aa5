"""The edge role: takes clients' requests and carries them to model servers."""
