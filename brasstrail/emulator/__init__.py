"""An emulator of model services under load, in virtual time, for experiments."""
