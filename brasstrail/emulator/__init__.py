"""Discrete-event simulation of inference engines and gateways under load."""
