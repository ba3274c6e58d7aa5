"""An emulator of the systems we serve, in virtual time; hosts the decisions as they are shipped."""
