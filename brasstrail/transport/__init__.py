"""Transport over TCP: frames between processes and connections to servers.

This package does not interpret the payloads that it transports.
"""
