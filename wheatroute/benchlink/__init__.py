"""The link to the bench: its wire on standard input and output, for many instances of the decisions."""
