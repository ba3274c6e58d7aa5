"""One real node: sockets round the decisions. No file in here decides anything."""
